"""Answers of every framing that end early must not look complete to their callers."""

import itertools
import random
from dataclasses import dataclass, field, replace
from time import monotonic, time

import pytest
import uvloop

from tests.routing.shaped_backends import ShapedServer
from wharfcart.admission.poison_requests import UNANSWERED_WEIGHT, PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import Route, RouteKind, TrafficShare
from wharfcart.emulator.answer_shapes import (
    AnswerFraming,
    AnswerShape,
    BackendFate,
    ConnectionEnd,
    Cut,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.platform.http_headers import RequestMetadata
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import AnswerTruncatedError, CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement

METRICS = ServingMetrics()
SERVICE = "s"
EVENTS = [f"id: {number}\ndata: event {number}\n\n".encode() for number in range(6)]
JSON_BODY = [b'{"choices": [', b'"a", "b"', b"]}"]
TEXT_BODY = [b"line one, ", b"line two, ", b"line three"]
STREAM = Route("r", "h", "/", RouteKind.STREAM, (TrafficShare(SERVICE, 1.0),), 5.0, 1.0)
ROUTES = {
    "stream": STREAM,
    "resumable": replace(STREAM, resumable=True),
    "safe": replace(STREAM, kind=RouteKind.REPEATABLE),
    "once": replace(STREAM, kind=RouteKind.AT_MOST_ONCE),
}
BROKEN_SHAPES = [
    AnswerShape(framing, cut, end, fate)
    for framing, cut, end, fate in itertools.product(
        AnswerFraming,
        (Cut.BEFORE_BODY, Cut.INSIDE_EVENT, Cut.BETWEEN_EVENTS),
        ConnectionEnd,
        BackendFate,
    )
]
WHOLE_SHAPES = [AnswerShape(framing) for framing in AnswerFraming]


@dataclass
class Caller:
    """Records what the caller is told."""

    status: int | None = None
    body: bytearray = field(default_factory=bytearray)
    is_cut: bool = False

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status = status
        self.body += body

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status

    async def send_part(self, data: bytes) -> None:
        self.body += data

    @property
    def was_told_complete(self) -> bool:
        return self.status == 200 and not self.is_cut


async def forward_shaped(
    shape: AnswerShape,
    route: Route,
    parts: list[bytes],
    content_type: str,
    poison_requests: PoisonRequests,
) -> Caller:
    """Forward one request to a back end with a shape; return what its caller was told."""
    server = ShapedServer(shape, parts, content_type)
    await server.start()
    selector = BackendSelector("z", random.Random(1))
    host, port = server.address
    selector.put(BackendInstance("i-1", SERVICE, host, port, "z", 8, True))
    pool = ConnectionPool()
    forwarder = Forwarder(
        selector,
        LocalPlacement(selector),
        pool,
        lambda _service: 8,
        DecisionLog("test"),
        METRICS,
        CrashDetector(poison_requests, DecisionLog("test")),
    )
    request = caller_request(route)
    caller = Caller()
    try:
        await forwarder.forward(request, caller)
    except AnswerTruncatedError:
        caller.is_cut = True
    finally:
        pool.close()
        server.stop()
    return caller


def caller_request(route: Route) -> CallerRequest:
    facts = RequestMetadata("request-1", None, (), 0, None, "")
    headers = [("host", "h"), (names.REQUEST_ID, "request-1")]
    return CallerRequest("POST", "/x", headers, b"{}", facts, route, SERVICE, monotonic())


def forward(
    shape: AnswerShape,
    route: Route,
    parts: list[bytes],
    content_type: str,
    poison_requests: PoisonRequests | None = None,
) -> Caller:
    return uvloop.run(
        forward_shaped(shape, route, parts, content_type, poison_requests or PoisonRequests())
    )


def shape_name(shape: AnswerShape) -> str:
    return f"{shape.framing}-{shape.cut}-{shape.end}-{shape.fate}"


def is_undecidable(shape: AnswerShape) -> bool:
    """Whether nothing but the text itself tells that the answer is short (RFC 9112, 6.3)."""
    return (
        shape.framing is AnswerFraming.UNTIL_CLOSE
        and shape.end is ConnectionEnd.IN_ORDER
        and shape.fate is BackendFate.SERVES_ON
    )


DECIDABLE_SHAPES = [shape for shape in BROKEN_SHAPES if not is_undecidable(shape)]
BROKEN_STREAMS = [
    shape
    for shape in BROKEN_SHAPES
    if not (is_undecidable(shape) and shape.cut is Cut.BETWEEN_EVENTS)
]


# Guards against a stream that its back end broke off and that its caller takes for complete.
@pytest.mark.parametrize("route_name", ["stream", "resumable"])
@pytest.mark.parametrize("shape", BROKEN_STREAMS, ids=shape_name)
def test_a_stream_that_is_broken_off_is_not_told_as_complete(
    shape: AnswerShape, route_name: str
) -> None:
    caller = forward(shape, ROUTES[route_name], EVENTS, "text/event-stream")
    assert not caller.was_told_complete


# Guards against a JSON answer that its back end broke off and that its caller takes for complete.
@pytest.mark.parametrize("route_name", ["safe", "once"])
@pytest.mark.parametrize("shape", BROKEN_SHAPES, ids=shape_name)
def test_a_json_body_that_is_broken_off_is_not_told_as_complete(
    shape: AnswerShape, route_name: str
) -> None:
    caller = forward(shape, ROUTES[route_name], JSON_BODY, "application/json")
    assert not caller.was_told_complete


# Guards against a body that ends with its back end and that its caller takes for complete.
@pytest.mark.parametrize("route_name", ["safe", "once"])
@pytest.mark.parametrize("shape", DECIDABLE_SHAPES, ids=shape_name)
def test_a_body_that_is_broken_off_is_not_told_as_complete(
    shape: AnswerShape, route_name: str
) -> None:
    caller = forward(shape, ROUTES[route_name], TEXT_BODY, "text/plain")
    assert not caller.was_told_complete


# Guards against whole answers that are taken for broken off since they have no length.
@pytest.mark.parametrize("route_name", list(ROUTES))
@pytest.mark.parametrize("shape", WHOLE_SHAPES, ids=shape_name)
def test_a_whole_answer_is_told_as_complete(shape: AnswerShape, route_name: str) -> None:
    is_stream = ROUTES[route_name].kind is RouteKind.STREAM
    parts, content_type = (
        (EVENTS, "text/event-stream") if is_stream else (JSON_BODY, "application/json")
    )
    caller = forward(shape, ROUTES[route_name], parts, content_type)
    assert caller.was_told_complete
    assert bytes(caller.body) == b"".join(parts)


# Guards against a poison request that is cleared by an answer that its crash broke off.
@pytest.mark.parametrize("route_name", list(ROUTES))
def test_a_broken_off_answer_does_not_clear_the_evidence_against_its_request(
    route_name: str,
) -> None:
    poison_requests = PoisonRequests()
    fingerprint = caller_request(ROUTES[route_name]).fingerprint
    poison_requests.record_crash(fingerprint, "i-0", UNANSWERED_WEIGHT, time())
    shape = AnswerShape(AnswerFraming.UNTIL_CLOSE, Cut.BETWEEN_EVENTS, fate=BackendFate.EXITS)
    forward(shape, ROUTES[route_name], EVENTS, "text/event-stream", poison_requests)
    assert "i-0" in poison_requests.evidence(fingerprint).crashes_by_key
