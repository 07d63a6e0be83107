"""A fleet in virtual time whose back ends crash as they begin to answer certain prompts.

Gateways share evidence through a stand-in of the coordination service. Each request has a body and
a last part of its own, so that no two are alike.
"""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from random import Random
from unittest import mock

from tests.node.test_poison_evidence_sync import Node, Service
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import Route, RouteKind, TrafficShare
from wharfcart.experiments.virtual_time import virtual_clock, virtual_monotonic
from wharfcart.http.connection import (
    BreakCause,
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
    ResponseHead,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.platform.http_headers import parse_request_metadata
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import AnswerTruncatedError, CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement

SERVICE = "s"
EVENT_INTERVAL_S = 0.04
FIRST_EVENT_S = 0.03
MIN_EVENTS = 4
MAX_EVENTS = 40
# From the start of a poison request's run to the crash.
CRASH_DELAY_S = (0.03, 0.085)
RESTART_S = 1.5
ROUTE = Route(
    "r",
    "h",
    "/",
    RouteKind.STREAM,
    (TrafficShare(SERVICE, 1.0),),
    8.0,
    0.3,
    max_backends=1,
)
METRICS = ServingMetrics()
MONOTONIC_MODULES = (
    "wharfcart.routing.placement",
    "wharfcart.routing.forwarder",
    "wharfcart.routing.sender",
    "wharfcart.routing.request_log",
    "wharfcart.routing.deadlines",
    "wharfcart.routing.crash_detection",
    "tests.routing.crashing_backends",
)
WALL_CLOCK_MODULES = (
    "wharfcart.routing.sender",
    "wharfcart.routing.crash_detection",
    "wharfcart.node.poison_evidence_sync",
)


@dataclass(eq=False)
class SimulatedBackend:
    """A back end that writes events until it crashes.

    Attributes:
        instance: its instance.
        is_up: whether it has not crashed.
        runs: connections on which it answers now.
    """

    instance: BackendInstance
    is_up: bool = True
    runs: set["_Connection"] = field(default_factory=set)


@dataclass
class Outcome:
    """What became of one request.

    Attributes:
        at: virtual time at which it was sent.
        parts: ids of the parts of its prompt.
        is_poison: whether one of its parts crashes back ends.
        reached_at: times at which back ends received it.
        status: status of the answer, None if it never began.
        events: bytes of events that its caller received.
        is_whole: whether the caller was told that the answer is complete.
    """

    at: float
    parts: tuple[str, ...]
    is_poison: bool
    reached_at: list[float] = field(default_factory=list)
    status: int | None = None
    events: int = 0
    is_whole: bool = False

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status = status

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status

    async def send_part(self, data: bytes) -> None:
        self.events += len(data)


class CrashingFleet:
    """Gateways and back ends in virtual time.

    Args:
        seed: seed of all randomness.
        gateways: number of gateways.
        backends: number of back ends.
        bad_parts: parts that crash each back end that begins to answer them.
        events_before_crash: events of a poison request that leave before the crash.

    Attributes:
        crashes: virtual times at which poison requests crashed back ends, by part.
        outcomes: every request, in the order of sending.
    """

    def __init__(
        self,
        seed: int,
        gateways: int = 4,
        backends: int = 16,
        bad_parts: frozenset[str] = frozenset(),
        events_before_crash: int = 0,
    ) -> None:
        self.rng = Random(seed)
        self.bad_parts = bad_parts
        self.events_before_crash = events_before_crash
        self.service = Service()
        self.crashes: dict[str, list[float]] = {part: [] for part in bad_parts}
        self.outcomes: list[Outcome] = []
        self.backends_by_id: dict[str, SimulatedBackend] = {}
        self.by_request: dict[str, Outcome] = {}
        self._next_number = 0
        self.gateways = [_Gateway(self, seed * 100 + n) for n in range(gateways)]
        for _ in range(backends):
            self._start_backend()
        self._tasks: set[asyncio.Task[None]] = set()

    def _start_backend(self) -> None:
        self._next_number += 1
        instance_id = f"i-{self._next_number}"
        # The address stands for the instance: nothing listens there.
        instance = BackendInstance(instance_id, SERVICE, instance_id, 1, "z", 19, True)
        self.backends_by_id[instance_id] = SimulatedBackend(instance)
        for gateway in self.gateways:
            gateway.selector.put(instance)

    def crash(self, backend: SimulatedBackend) -> None:
        """End a back end: its connections close, and another one starts after some time."""
        if not backend.is_up:
            return
        backend.is_up = False
        for run in list(backend.runs):
            run.broken.set()
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self._replace, backend)

    def _replace(self, backend: SimulatedBackend) -> None:
        for gateway in self.gateways:
            gateway.selector.remove(backend.instance.instance_id, monotonic())
        del self.backends_by_id[backend.instance.instance_id]
        self._start_backend()

    async def refuses_connections(self, host: str, _port: int) -> bool:
        """Stand in for the check of a back end's address."""
        await asyncio.sleep(0.001)
        backend = self.backends_by_id.get(host)
        return backend is None or not backend.is_up

    async def play(self, requests: Iterator[tuple[float, tuple[str, ...]]]) -> None:
        """Send requests, each a time and its shared parts, at random gateways, to their ends."""
        tasks = []
        for number, (at, shared_parts) in enumerate(requests):
            await asyncio.sleep(max(0.0, at - monotonic()))
            parts = (*shared_parts, f"own{number}")
            outcome = Outcome(at, parts, bool(self.bad_parts & set(shared_parts)))
            self.outcomes.append(outcome)
            gateway = self.rng.choice(self.gateways)
            tasks.append(asyncio.create_task(gateway.request(f"q{number}", outcome)))
        await asyncio.gather(*tasks)

    def stop(self) -> None:
        """Cancel the gateways' tasks."""
        for gateway in self.gateways:
            gateway.node.task.cancel()


class _Gateway:
    """One gateway with its own view of the back ends and its own evidence."""

    def __init__(self, fleet: CrashingFleet, seed: int) -> None:
        self._fleet = fleet
        self.selector = BackendSelector("z", Random(seed))
        self.node = Node(fleet.service, seed)
        log = DecisionLog("test")
        self._forwarder = Forwarder(
            self.selector,
            LocalPlacement(self.selector),
            _Pool(fleet),
            lambda _service: 300,
            log,
            METRICS,
            CrashDetector(self.node.poison_requests, log),
        )

    async def request(self, request_id: str, outcome: Outcome) -> None:
        """Forward a request to the end of its answer."""
        self._fleet.by_request[request_id] = outcome
        prompt = ",".join(f"{part}:100" for part in outcome.parts)
        headers = [
            ("host", "h"),
            (names.REQUEST_ID, request_id),
            (names.PROMPT_PREFIX, prompt),
        ]
        facts = parse_request_metadata(headers)
        body = request_id.encode()
        request = CallerRequest("POST", "/x", headers, body, facts, ROUTE, SERVICE, monotonic())
        try:
            await self._forwarder.forward(request, outcome)
            outcome.is_whole = outcome.status == 200
        except AnswerTruncatedError:
            pass


class _Pool(ConnectionPool):
    """Connections to the simulated back ends."""

    def __init__(self, fleet: CrashingFleet) -> None:
        super().__init__()
        self._fleet = fleet

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> HttpConnection:
        await asyncio.sleep(0.001)
        backend = self._fleet.backends_by_id.get(instance.instance_id)
        if backend is None or not backend.is_up:
            raise ConnectFailedError("refused", refused=True)
        return _Connection(self._fleet, backend)

    def release(self, instance: BackendInstance, connection: HttpConnection) -> None:
        return

    def discard(self, instance: BackendInstance, connection: HttpConnection) -> None:
        return


class _Connection(HttpConnection):
    """A connection on which a back end answers one request."""

    def __init__(self, fleet: CrashingFleet, backend: SimulatedBackend) -> None:
        self.response_count = 1
        self._fleet = fleet
        self._backend = backend
        self.broken = asyncio.Event()
        self._sent_events = 0
        self._event_count = fleet.rng.randint(MIN_EVENTS, MAX_EVENTS)

    def send(self, *arguments: object) -> None:
        headers = dict(arguments[2])  # type: ignore[call-overload]
        outcome = self._fleet.by_request[headers[names.REQUEST_ID]]
        outcome.reached_at.append(monotonic())
        self._backend.runs.add(self)
        if not self._backend.is_up:
            self.broken.set()
        self._is_poison = outcome.is_poison
        if self._is_poison:
            asyncio.get_running_loop().call_later(
                self._fleet.rng.uniform(*CRASH_DELAY_S), self._crash, outcome
            )

    def _crash(self, outcome: Outcome) -> None:
        if self._backend.is_up:
            for part in self._fleet.bad_parts & set(outcome.parts):
                self._fleet.crashes[part].append(monotonic())
            self._fleet.crash(self._backend)

    async def read_head(self) -> ResponseHead:
        await self._pause(FIRST_EVENT_S / 2)
        return ResponseHead(200, [(names.RESPONSE_STAMP, "s")])

    async def read_part(self) -> bytes | None:
        if self._sent_events >= self._event_count:
            self._backend.runs.discard(self)
            return None
        is_held = self._is_poison and self._sent_events >= self._fleet.events_before_crash
        await self._pause(8.0 if is_held else self._interval_s())
        self._sent_events += 1
        return f"id: {self._sent_events - 1}\ndata: x\n\n".encode()

    def _interval_s(self) -> float:
        return EVENT_INTERVAL_S if self._sent_events else FIRST_EVENT_S / 2

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.broken.wait()
        except TimeoutError:
            return
        self._backend.runs.discard(self)
        raise ConnectionBrokenError("ended by the peer", cause=BreakCause.CLOSED)


@contextmanager
def virtual_fleet(fleet: Callable[[], CrashingFleet]) -> Iterator[Callable[[], CrashingFleet]]:
    """Patch the clocks and the check of a back end's address for fleets in virtual time."""
    fleets: list[CrashingFleet] = []

    def build() -> CrashingFleet:
        fleets.append(fleet())
        return fleets[-1]

    async def refuses_connections(host: str, port: int) -> bool:
        return await fleets[-1].refuses_connections(host, port)

    with ExitStack() as stack:
        stack.enter_context(virtual_clock(MONOTONIC_MODULES))
        for module in WALL_CLOCK_MODULES:
            stack.enter_context(mock.patch(f"{module}.time", virtual_monotonic))
        stack.enter_context(
            mock.patch("wharfcart.routing.crash_detection.refuses_connections", refuses_connections)
        )
        yield build
