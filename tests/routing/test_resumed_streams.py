"""Streams that are resumed at another back end: what the caller receives."""

import asyncio
from random import Random
from time import monotonic

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import Route, RouteKind, TrafficShare
from wharfcart.http.connection import HttpConnection, ResponseHead
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import http_headers, names
from wharfcart.platform.http_headers import RequestMetadata
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement


def event(number: int) -> bytes:
    return f"id: {number}\ndata: part {number}\n\n".encode()


def stream(*numbers: int) -> bytes:
    return b"".join(map(event, numbers))


class ScriptedConnection(HttpConnection):
    """A connection whose back end sends given parts, whatever it is asked for."""

    def __init__(self, parts: list[bytes], resumed_after: list[str | None]) -> None:
        self.response_count = 1
        self._script = parts
        self._resumed_after = resumed_after

    def send(self, *arguments: object) -> None:
        headers = dict(arguments[2])  # type: ignore[call-overload]
        self._resumed_after.append(headers.get(names.LAST_EVENT_ID))

    async def read_head(self) -> ResponseHead:
        return ResponseHead(200, [(names.RESPONSE_STAMP, "s")])

    async def read_part(self) -> bytes | None:
        return self._script.pop(0) if self._script else None


class ScriptedPool(ConnectionPool):
    """Each acquired connection serves the next script."""

    def __init__(self, scripts: list[list[bytes]]) -> None:
        super().__init__()
        self.resumed_after: list[str | None] = []
        self._scripts = scripts

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> HttpConnection:
        return ScriptedConnection(self._scripts.pop(0), self.resumed_after)

    def release(self, instance: BackendInstance, connection: HttpConnection) -> None:
        return

    def discard(self, instance: BackendInstance, connection: HttpConnection) -> None:
        return


class Caller:
    """Records the body of an answer."""

    def __init__(self) -> None:
        self.body = b""

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.body = body

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        return

    async def send_part(self, data: bytes) -> None:
        self.body += data


def forward(
    scripts: list[list[bytes]], resume_after: int | None = None
) -> tuple[bytes, list[str | None]]:
    """Forward a resumable stream; return what the caller received and the resumed positions."""

    async def run() -> tuple[bytes, list[str | None]]:
        selector = BackendSelector("z", Random(1))
        for n in range(3):
            selector.put(BackendInstance(f"i{n}", "s", "127.0.0.1", 1, "z", 8, True))
        pool = ScriptedPool(scripts)
        forwarder = Forwarder(
            selector,
            LocalPlacement(selector),
            pool,
            lambda _service: 8,
            DecisionLog("test"),
            ServingMetrics(),
            CrashDetector(PoisonRequests(), DecisionLog("test")),
        )
        route = Route(
            "r",
            "h",
            "/",
            RouteKind.STREAM,
            (TrafficShare("s", 1.0),),
            5.0,
            1.0,
            resumable=True,
            max_backends=3,
        )
        facts = RequestMetadata("q", None, (), 0, resume_after)
        headers = [("host", "h"), (http_headers.REQUEST_ID_HEADER, "q")]
        caller = Caller()
        await forwarder.forward(
            CallerRequest("POST", "/x", headers, b"", facts, route, "s", monotonic()), caller
        )
        return caller.body, pool.resumed_after

    return asyncio.run(asyncio.wait_for(run(), 20))


def test_events_before_a_gap_reach_the_caller() -> None:
    """Guards against lost events: those before the gap counted as received but were not sent."""
    received, resumed_after = forward([[stream(0, 1), stream(2, 3, 5)], [stream(4, 5)]])
    assert received == stream(0, 1, 2, 3, 4, 5)
    assert resumed_after == [None, "3"]


def test_events_that_the_caller_has_are_not_sent_again() -> None:
    received, resumed_after = forward([[stream(0, 1), event(2)[:-1]], [stream(0, 1, 2, 3)]])
    assert received == stream(0, 1, 2, 3)
    assert resumed_after == [None, "1"]


def test_a_caller_that_resumes_gets_no_event_twice() -> None:
    """Guards against repeated events: a back end may begin before the caller's position."""
    received, resumed_after = forward([[stream(0, 1, 2, 3)]], resume_after=1)
    assert received == stream(2, 3)
    assert resumed_after == ["1"]


def test_a_caller_that_resumes_misses_no_event() -> None:
    """Guards against lost events: a back end may begin after the caller's position."""
    received, resumed_after = forward([[stream(4, 5)], [stream(2, 3, 4, 5)]], resume_after=1)
    assert received == stream(2, 3, 4, 5)
    assert resumed_after == ["1", "1"]
