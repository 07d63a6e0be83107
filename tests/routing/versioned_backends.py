"""Back ends of several software versions, whose events name the version that wrote them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance, SoftwareVersion
from wharfcart.configuration.serving import Route, RouteKind, TrafficShare
from wharfcart.http.connection import (
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
    ResponseHead,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.platform.http_headers import RequestMetadata
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import AnswerTruncatedError, CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import Placement

METRICS = ServingMetrics()
SERVICE = "s"
EVENT_INTERVAL_S = 0.01
EVENTS_PER_STREAM = 9
# Events of a run that breaks, of which the last one is incomplete.
EVENTS_BEFORE_BREAK = 3
ROUTE = Route(
    "r",
    "h",
    "/",
    RouteKind.STREAM,
    (TrafficShare(SERVICE, 1.0),),
    5.0,
    1.0,
    resumable=True,
    max_backends=3,
)


def backend(instance_id: str, version: str, slots: int = 8) -> BackendInstance:
    """Return a back end of a version."""
    return BackendInstance(
        instance_id, SERVICE, "127.0.0.1", 1, "z", slots, True, version=SoftwareVersion(version)
    )


@dataclass
class VersionedPool(ConnectionPool):
    """Connections to back ends that write the rest of a stream.

    Attributes:
        breaks: whether the next run breaks, given its instance.
        refuses: ids of instances that can't be connected to.
        used: instances that were sent a request, in order.
        resumed_after: number of the last event that each of these requests named, or None.
    """

    breaks: Callable[[BackendInstance], bool] = lambda _instance: False
    refuses: set[str] = field(default_factory=set)
    used: list[BackendInstance] = field(default_factory=list)
    resumed_after: list[int | None] = field(default_factory=list)

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> HttpConnection:
        if instance.instance_id in self.refuses:
            raise ConnectFailedError("refused", refused=True)
        return _VersionedConnection(instance, self)

    def release(self, instance: BackendInstance, connection: HttpConnection) -> None:
        return

    def discard(self, instance: BackendInstance, connection: HttpConnection) -> None:
        return


class _VersionedConnection(HttpConnection):
    """A connection on which a back end writes the events after the requested one."""

    def __init__(self, instance: BackendInstance, pool: VersionedPool) -> None:
        self.response_count = 1
        self._instance = instance
        self._pool = pool

    def send(self, *arguments: object) -> None:
        headers = dict(arguments[2])  # type: ignore[call-overload]
        after = headers.get(names.LAST_EVENT_ID)
        self._next_event = 0 if after is None else int(after) + 1
        self._pool.resumed_after.append(None if after is None else int(after))
        self._pool.used.append(self._instance)
        self._break_at = None
        if self._pool.breaks(self._instance):
            self._break_at = self._next_event + EVENTS_BEFORE_BREAK - 1

    async def read_head(self) -> ResponseHead:
        return ResponseHead(200, [(names.RESPONSE_STAMP, "s")])

    async def read_part(self) -> bytes | None:
        await asyncio.sleep(EVENT_INTERVAL_S)
        number = self._next_event
        if number >= EVENTS_PER_STREAM:
            return None
        self._next_event += 1
        data = f"id: {number}\ndata: {self._instance.version}\n\n".encode()
        if number == self._break_at:
            self._break_at = -1
            return data[:-3]
        if self._break_at == -1:
            raise ConnectionBrokenError("the back end closed the connection")
        return data


class StreamCaller:
    """Records an answer.

    Attributes:
        status: status of the answer; None while none has begun.
        headers: headers of the answer.
        versions: versions of the complete events, in order.
        is_cut: whether the answer was cut off.
    """

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.versions: list[str] = []
        self.is_cut = False

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status = status
        self.headers = dict(headers)

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status

    async def send_part(self, data: bytes) -> None:
        self.versions += [
            line.removeprefix("data: ")
            for line in data.decode().splitlines()
            if line.startswith("data: ")
        ]


class StreamGateway:
    """A gateway of resumable streams.

    Args:
        selector: its state of the back ends.
        placement: selects the back ends.
    """

    def __init__(self, selector: BackendSelector, placement: Placement) -> None:
        self.pool = VersionedPool()
        self.forwarder = Forwarder(
            selector,
            placement,
            self.pool,
            lambda _service: 8,
            DecisionLog("test"),
            METRICS,
            CrashDetector(PoisonRequests(), DecisionLog("test")),
        )

    async def request(
        self,
        request_id: str,
        caller: StreamCaller,
        resume_after: int | None = None,
        origin_request: str = "",
        service: str = SERVICE,
        route: Route = ROUTE,
    ) -> None:
        """Forward a request of a resumable stream to the end of its answer."""
        facts = RequestMetadata(request_id, None, (), 0, resume_after, origin_request)
        headers = [("host", "h")]
        request = CallerRequest("POST", "/x", headers, b"", facts, route, service, monotonic())
        try:
            await self.forwarder.forward(request, caller)
        except AnswerTruncatedError:
            caller.is_cut = True
