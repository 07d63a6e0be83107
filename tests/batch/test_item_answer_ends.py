"""Runs of items whose answers end early."""

import asyncio
from random import Random
from time import monotonic

import pytest
import uvloop

from tests.routing.shaped_backends import ShapedServer
from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.batch.item_run import ItemAttempt, ItemProgress, ItemRunner, RunOutcome
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.configuration.instances import BackendInstance
from wharfcart.emulator.answer_shapes import (
    AnswerFraming,
    AnswerShape,
    BackendFate,
    ConnectionEnd,
    Cut,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.storage.partial_texts import ItemPartialText

EVENTS = [f"id: {number}\ndata: part {number}\n\n".encode() for number in range(6)]


async def run_item(shape: AnswerShape) -> RunOutcome:
    """Run an item once at a back end whose answer has a shape."""
    server = ShapedServer(shape, EVENTS, "text/event-stream")
    await server.start()
    selector = BackendSelector("z", Random(1))
    host, port = server.address
    selector.put(BackendInstance("i", "s", host, port, "z", 8, True))
    state = selector.state("i")
    assert state is not None
    pool = ConnectionPool()
    detector = CrashDetector(PoisonRequests(), DecisionLog("test"))
    runner = ItemRunner(selector, pool, lambda _service: 8, detector)
    progress = ItemProgress(ItemPartialText("j", 1))
    send_id = selector.record_sent(state, monotonic())
    item = RequestItem(item_id="q", path="/x")
    attempt = ItemAttempt(item, "h", "", state, send_id, progress, monotonic() + 9.0)
    try:
        async with asyncio.timeout(20):
            return await runner.run(attempt)
    finally:
        pool.close()
        server.stop()


# Guards against a short text that stands as an item's result for good.
@pytest.mark.parametrize("cut", [Cut.BEFORE_BODY, Cut.INSIDE_EVENT, Cut.BETWEEN_EVENTS])
@pytest.mark.parametrize("end", list(ConnectionEnd))
def test_a_text_that_ends_with_its_back_end_is_not_a_result(cut: Cut, end: ConnectionEnd) -> None:
    shape = AnswerShape(AnswerFraming.UNTIL_CLOSE, cut, end, BackendFate.EXITS)
    assert uvloop.run(run_item(shape)) is RunOutcome.INTERRUPTED


# Guards against whole texts that are run again since their answers have no length.
@pytest.mark.parametrize("framing", list(AnswerFraming))
def test_a_whole_text_is_a_result(framing: AnswerFraming) -> None:
    assert uvloop.run(run_item(AnswerShape(framing))) is RunOutcome.SUCCEEDED
