"""Answers drawn from all that the protocol allows of framing, splits and ends, against one oracle.

The caller has the whole answer of its request, or a framing that says that it has not.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass

import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.routing.test_answer_ends import ROUTES, SERVICE, Caller, caller_request, is_undecidable
from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance
from wharfcart.emulator.answer_shapes import (
    AnswerFraming,
    AnswerShape,
    BackendFate,
    ConnectionEnd,
    Cut,
    body_parts,
    end_connection,
    head_of,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import AnswerTruncatedError
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement

METRICS = ServingMetrics()
EXAMPLES = 250


@dataclass(frozen=True)
class WireAnswer:
    """An answer as its bytes come over the wire.

    Attributes:
        shape: its framing and end.
        events: the whole stream.
        informational: responses before the head.
        trailer: a field after the last chunk.
        cuts: share of the bytes after which each segment ends.
    """

    shape: AnswerShape
    events: list[bytes]
    informational: int
    trailer: bool
    cuts: list[float]

    def wire_bytes(self) -> bytes:
        headers = [(names.REQUEST_ID, "request-1"), (names.RESPONSE_STAMP, "s")]
        headers.append(("Content-Type", "text/event-stream"))
        body = b"".join(body_parts(self.shape, self.events))
        if self.trailer and body.endswith(b"0\r\n\r\n"):
            body = body[:-2] + b"X-Trailer: 1\r\n\r\n"
        before = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * self.informational
        return before + head_of(self.shape, headers, b"".join(self.events)) + body

    def segments(self) -> list[bytes]:
        data = self.wire_bytes()
        edges = sorted({0, len(data), *(int(cut * len(data)) for cut in self.cuts)})
        return [data[start:end] for start, end in itertools.pairwise(edges)]


@st.composite
def wire_answers(draw: st.DrawFn) -> WireAnswer:
    line_end = draw(st.sampled_from(["\n", "\r\n"]))
    texts = draw(st.lists(st.text("aé€😀 :", max_size=12), min_size=1, max_size=6))
    events = [
        f"id: {number}{line_end}data: {text}{line_end}{line_end}".encode()
        for number, text in enumerate(texts)
    ]
    shape = AnswerShape(
        draw(st.sampled_from(AnswerFraming)),
        draw(st.sampled_from(Cut)),
        draw(st.sampled_from(ConnectionEnd)),
        draw(st.sampled_from(BackendFate)),
    )
    cuts = draw(st.lists(st.floats(0.0, 1.0), max_size=5))
    return WireAnswer(shape, events, draw(st.integers(0, 2)), draw(st.booleans()), cuts)


async def forward(answer: WireAnswer, route_name: str) -> Caller:
    """Forward one request to a back end that sends these bytes; return what its caller has."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        if answer.shape.fate is BackendFate.EXITS:
            server.close()
        for segment in answer.segments():
            writer.write(segment)
            await writer.drain()
            await asyncio.sleep(0)
        if answer.shape.closes_connection:
            end_connection(writer.transport, answer.shape.end)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    selector = BackendSelector("z", random.Random(1))
    selector.put(BackendInstance("i", SERVICE, host, port, "z", 8, True))
    log = DecisionLog("test")
    pool = ConnectionPool()
    detector = CrashDetector(PoisonRequests(), log)
    forwarder = Forwarder(
        selector, LocalPlacement(selector), pool, lambda _service: 8, log, METRICS, detector
    )
    caller = Caller()
    try:
        await forwarder.forward(caller_request(ROUTES[route_name]), caller)
    except AnswerTruncatedError:
        caller.is_cut = True
    finally:
        pool.close()
        server.close()
    return caller


def ends_whole(answer: WireAnswer) -> bool:
    """Whether the bytes that were sent are the whole answer, in a connection that ends in order."""
    shape = answer.shape
    is_reset = shape.closes_connection and shape.end is ConnectionEnd.RESET
    return shape.is_whole and not is_reset


# Guards against any drawn answer that looks whole and isn't, or is whole and told as broken off.
@settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
@given(wire_answers(), st.sampled_from(["stream", "resumable"]))
def test_callers_have_the_whole_answer_or_know_that_they_have_not(
    answer: WireAnswer, route_name: str
) -> None:
    caller = uvloop.run(forward(answer, route_name))
    whole = b"".join(answer.events)
    shape = answer.shape
    is_between_events = shape.cut is Cut.BETWEEN_EVENTS
    if caller.was_told_complete and not (is_undecidable(shape) and is_between_events):
        assert bytes(caller.body) == whole
    if ends_whole(answer) and shape.fate is BackendFate.SERVES_ON:
        assert caller.was_told_complete
