"""Texts of items hold events of one software version."""

import asyncio
from dataclasses import replace
from pathlib import Path
from random import Random

import pytest

from tests.batch.test_job_execution import OBJECTIVE_S, ExecutionHarness, run_scenario
from tests.routing.versioned_backends import EVENTS_PER_STREAM, VersionedPool, backend
from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.batch import job_execution
from wharfcart.batch.item_run import ItemAttempt, ItemProgress, ItemRunner, RunOutcome
from wharfcart.batch.run_estimate import DEFAULT_SHARE_OF_OBJECTIVE
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import PartialText, RequestItem
from wharfcart.configuration.instances import UNNAMED_VERSION, SoftwareVersion
from wharfcart.observability.decisions import DecisionLog
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.slots.events import HolderId, SessionClosed, SessionKey
from wharfcart.storage.job_database import JobDatabase
from wharfcart.storage.partial_texts import ItemPartialText, PartialTexts, SentOffsets

V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")


async def run_at(versions: list[str], pool: VersionedPool, progress: ItemProgress) -> RunOutcome:
    """Run an item at back ends of some versions, one after the other; return the last outcome."""
    selector = BackendSelector("z", Random(1))
    detector = CrashDetector(PoisonRequests(), DecisionLog("test"))
    runner = ItemRunner(selector, pool, lambda _service: 8, detector)
    outcome = RunOutcome.REFUSED
    for n, version in enumerate(versions):
        selector.put(backend(f"i{n}", version))
        state = selector.state(f"i{n}")
        assert state is not None
        send_id = selector.record_sent(state, monotonic())
        item = RequestItem(item_id="j-1", path="/x")
        attempt = ItemAttempt(item, "h", "", state, send_id, progress, monotonic() + 9.0)
        outcome = await runner.run(attempt)
    return outcome


def breaking_pool(runs: int) -> VersionedPool:
    """Return a pool whose first runs break."""
    remaining = iter(range(runs))
    return VersionedPool(breaks=lambda _instance: next(remaining, None) is not None)


# Guards against an item's text joined from two software versions.
def test_an_item_that_goes_on_at_another_version_begins_anew() -> None:
    progress = ItemProgress(PartialTexts(1).get_or_create("j", "j-1"))
    outcome = asyncio.run(run_at(["v1", "v2"], breaking_pool(1), progress))
    assert outcome is RunOutcome.SUCCEEDED
    assert progress.partial_text.texts == ["v2"] * EVENTS_PER_STREAM


# Guards against runs whose events are thrown away without need.
def test_an_item_that_goes_on_at_its_version_keeps_its_events() -> None:
    progress = ItemProgress(PartialTexts(1).get_or_create("j", "j-1"))
    pool = breaking_pool(1)
    assert asyncio.run(run_at(["v1", "v1"], pool, progress)) is RunOutcome.SUCCEEDED
    assert progress.partial_text.texts == ["v1"] * EVENTS_PER_STREAM
    assert pool.resumed_after == [None, 1]


def replicate(leader: PartialTexts, offsets: SentOffsets, replica: PartialTexts) -> None:
    replica.apply(leader.take_unsent(offsets))


# Guards against a replica's copy joined from the texts of two versions, also by a late message.
def test_a_replica_gets_the_text_of_an_item_that_began_anew() -> None:
    leader, replica, offsets = PartialTexts(3), PartialTexts(), SentOffsets()
    text = leader.get_or_create("j", "j-1")
    text.continue_at(V1)
    for n in range(4):
        text.add_event(n, f"old {n}")
    replicate(leader, offsets, replica)
    text.add_event(4, "old 4")
    late = leader.take_unsent(offsets)
    text.continue_at(V2)
    for n in range(2):
        text.add_event(n, f"new {n}")
    replicate(leader, offsets, replica)
    replica.apply(late)
    copy = replica.get_or_create("j", "j-1")
    assert (copy.texts, copy.version, copy.last_event) == (["new 0", "new 1"], V2, 1)
    text.add_event(2, "new 2")
    replicate(leader, offsets, replica)
    assert copy.texts == ["new 0", "new 1", "new 2"]


# Guards against a new leader that goes on with another version's text, in memory or from its disk.
def test_a_new_leader_goes_on_at_the_version_of_the_copy(tmp_path: Path) -> None:
    leader, offsets = PartialTexts(3), SentOffsets()
    text = leader.get_or_create("j", "j-1")
    text.continue_at(V1)
    text.add_event(0, "old 0")
    parts = leader.take_unsent(offsets)
    text.continue_at(V2)
    text.add_event(0, "new 0")
    parts += leader.take_unsent(offsets)
    disk = JobDatabase(tmp_path / "jobs.db")
    assert disk.save_partial_texts(0, parts, []) == []
    successor = PartialTexts()
    successor.apply(parts)
    successor.begin_epoch(4)
    copy = successor.get_or_create("j", "j-1")
    copy.continue_at(V2)
    assert copy.texts == ["new 0"]
    copy.continue_at(V1)
    assert (copy.texts, copy.last_event) == ([], None)


# Guards against texts of earlier builds, which name no version, that another version goes on with.
def test_a_text_of_an_earlier_build_begins_anew_at_a_named_version() -> None:
    texts = PartialTexts()
    texts.apply([PartialText(job_id="j", item_id="j-1", texts=["a"], last_event=0, epoch=2)])
    text = texts.get_or_create("j", "j-1")
    text.continue_at(UNNAMED_VERSION)
    assert text.texts == ["a"]
    text.continue_at(V1)
    assert text.texts == []


def job_with_text(harness: ExecutionHarness) -> ItemPartialText:
    """Submit a job whose only item has a text of v1; return the text."""
    text = harness.group.partial_texts.get_or_create("j", "j-0")
    text.continue_at(V1)
    for n in range(10):
        text.add_event(n, str(n))
    harness.submit("j", 1)
    return text


def put_versions(harness: ExecutionHarness, *versions: str) -> None:
    """Let back end i0 run the first version, i1 the second one and so on."""
    for n, version in enumerate(versions):
        harness.selector.put(backend(f"i{n}", version, slots=1))


# Guards against text that is thrown away although a back end of its version is soon free, and
# against a leader that takes and returns slots of other versions meanwhile.
def test_an_item_waits_for_a_slot_of_its_version() -> None:
    async def scenario(harness: ExecutionHarness) -> None:
        put_versions(harness, "v1", "v2")
        harness.slots.occupy("i0", 1)
        job_with_text(harness)
        await harness.settle()
        assert harness.runner.running == {}
        assert harness.slots.offers == 0
        harness.slots.handle_event(SessionClosed(SessionKey(HolderId("g2"), 1)))
        await harness.settle()
        assert harness.items_at("i0") == ["j-0"]

    run_scenario(scenario, servers=2, slots=1)


# Guards against an item that waits for a version longer than its text took, or for one that went.
@pytest.mark.parametrize("gone", [False, True], ids=["no_slot", "version_gone"])
def test_an_item_begins_anew_rather_than_wait_for_long(gone: bool) -> None:
    async def scenario(harness: ExecutionHarness) -> None:
        put_versions(harness, "v1", "v2")
        harness.slots.occupy("i0", 1)
        job_with_text(harness)
        await harness.settle()
        if gone:
            harness.selector.put(replace(backend("i0", "v1"), accepting=False))
            await asyncio.sleep(job_execution.DEMAND_INTERVAL_S)
        else:
            await asyncio.sleep(OBJECTIVE_S * DEFAULT_SHARE_OF_OBJECTIVE)
        await harness.settle()
        assert harness.items_at("i1") == ["j-0"]

    run_scenario(scenario, servers=2, slots=1)
