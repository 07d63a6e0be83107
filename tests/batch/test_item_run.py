"""Events of an item's runs: which ones are added to its text."""

import asyncio
from random import Random
from time import monotonic

from tests.routing.test_resumed_streams import ScriptedPool, event, stream
from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.batch.item_run import ItemAttempt, ItemProgress, ItemRunner, RunOutcome
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.configuration.instances import BackendInstance
from wharfcart.observability.decisions import DecisionLog
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.storage.partial_texts import ItemPartialText


def run_item(scripts: list[list[bytes]]) -> tuple[list[RunOutcome], list[str], list[str | None]]:
    """Run an item once for each script; return outcomes, its text and the resumed positions."""

    async def run() -> tuple[list[RunOutcome], list[str], list[str | None]]:
        selector = BackendSelector("z", Random(1))
        selector.put(BackendInstance("i", "s", "127.0.0.1", 1, "z", 8, True))
        state = selector.state("i")
        assert state is not None
        pool = ScriptedPool(scripts)
        detector = CrashDetector(PoisonRequests(), DecisionLog("test"))
        runner = ItemRunner(selector, pool, lambda _service: 8, detector)
        progress = ItemProgress(ItemPartialText("j", 1))
        outcomes = []
        for _ in range(len(scripts)):
            send_id = selector.record_sent(state, monotonic())
            item = RequestItem(item_id="q", path="/x")
            attempt = ItemAttempt(item, "h", "", state, send_id, progress, monotonic() + 9.0)
            outcomes.append(await runner.run(attempt))
        return outcomes, progress.partial_text.texts, pool.resumed_after

    return asyncio.run(asyncio.wait_for(run(), 20))


def test_repeated_events_are_added_once() -> None:
    outcomes, texts, resumed_after = run_item([[stream(0, 1), event(2)[:-1]], [stream(0, 1, 2)]])
    assert outcomes == [RunOutcome.INTERRUPTED, RunOutcome.SUCCEEDED]
    assert texts == ["part 0", "part 1", "part 2"]
    assert resumed_after == [None, "1"]


def test_a_run_ends_at_a_gap() -> None:
    """Guards against a text that lacks an event: the next run must go on before the gap."""
    outcomes, texts, resumed_after = run_item([[stream(0, 1), stream(2, 4)], [stream(3, 4)]])
    assert outcomes == [RunOutcome.INTERRUPTED, RunOutcome.SUCCEEDED]
    assert texts == [f"part {n}" for n in range(5)]
    assert resumed_after == [None, "2"]
