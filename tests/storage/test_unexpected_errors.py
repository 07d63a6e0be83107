"""Job groups whose tasks meet an unexpected error, in virtual time."""

import asyncio
from collections.abc import Callable
from typing import Any

import pytest

from tests.storage.test_job_group import Fleet, run_scenario
from wharfcart.cluster.messages_pb2 import ReadResults
from wharfcart.storage.group_replica import GroupReplica
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.partial_texts import PartialTexts
from wharfcart.storage.replica_session import ReplicaSession
from wharfcart.storage.replica_set_changer import ReplicaSetChanger

LOOPS: dict[str, tuple[type, str]] = {
    "elections": (JobGroup, "_follow_record"),
    "session": (ReplicaSession, "_step"),
    "updates of a session": (JobLeadership, "updates_for"),
    "written updates": (JobLeadership, "record_written"),
    "texts of a session": (PartialTexts, "take_unsent"),
    "changes of the replica set": (ReplicaSetChanger, "_live_spares"),
    "saving texts": (PartialTexts, "removed_items"),
    "a replica's write": (GroupReplica, "write"),
}
TAKEOVERS: dict[str, tuple[type, str]] = {
    "inherit": (JobLeadership, "inherit"),
    "begin an epoch": (PartialTexts, "begin_epoch"),
    "open a session": (JobGroup, "open_session"),
}


class UnexpectedError(Exception):
    """An error that no code expects."""


class FailingOnce:
    """Makes the first call of a method fail, and counts the later calls with the same arguments."""

    def __init__(self, owner: type, name: str, monkeypatch: pytest.MonkeyPatch) -> None:
        self._original: Callable[..., Any] = getattr(owner, name)
        self._failed: tuple[Any, ...] | None = None
        self.later_calls = 0
        monkeypatch.setattr(owner, name, lambda *args: self._call(*args))

    @property
    def has_failed(self) -> bool:
        return self._failed is not None

    def _call(self, *args: Any) -> Any:
        # The object, and what it was called for if that is a name.
        call = tuple(arg if isinstance(arg, str) else id(arg) for arg in args[:2])
        if self._failed is None:
            self._failed = call
            raise UnexpectedError
        self.later_calls += call[:1] == self._failed[:1] and (
            call == self._failed or not isinstance(call[-1], str)
        )
        return self._original(*args)


async def check_that_jobs_go_on(fleet: Fleet) -> None:
    """Check that a job submitted now is committed, with a result."""
    await fleet.until_led(15.0)
    await fleet.submit("after")
    fleet.append_results("after", "after-0")
    async with asyncio.timeout(15.0):
        while not await fleet.readable_now("after") or await results_of(fleet) != 1:
            await asyncio.sleep(0.05)


async def results_of(fleet: Fleet) -> int:
    leader = fleet.leader
    if leader is None or leader.service is None:
        return 0
    page = await leader.service.read_results(ReadResults(job_id="after"))
    return len(page.results)


# Guards against a loop that no longer elects, replicates, saves or repairs while its node goes on.
@pytest.mark.parametrize("place", LOOPS)
def test_a_loop_of_a_group_goes_on_after_an_unexpected_error(
    place: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start()
        await fleet.submit("before")
        failing = FailingOnce(*LOOPS[place], monkeypatch)
        fleet.append_results("before", "before-0")
        await fleet.until(lambda: failing.has_failed, 15.0)
        await fleet.until(lambda: failing.later_calls > 0, 15.0)
        await check_that_jobs_go_on(fleet)

    run_scenario(scenario)


# Guards against a node that counts as leader, but neither runs jobs nor lets another one lead.
@pytest.mark.parametrize("place", TAKEOVERS)
def test_a_takeover_that_meets_an_unexpected_error_ends(
    place: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        fleet = Fleet()
        await fleet.start()
        await fleet.submit("before")
        failing = FailingOnce(*TAKEOVERS[place], monkeypatch)
        leader = fleet.leader
        assert leader is not None
        leader.kill()
        await fleet.until(lambda: failing.has_failed, 15.0)
        await asyncio.sleep(0)
        groups = [node.group for node in fleet.nodes.values() if node.group is not None]
        assert all(group.leadership is None for group in groups)
        await check_that_jobs_go_on(fleet)

    run_scenario(scenario)
