"""A replica of a job group that receives late, repeated and refused messages."""

import asyncio
from types import SimpleNamespace
from typing import cast

from wharfcart.cluster.messages_pb2 import (
    FenceGroup,
    ItemOutcome,
    JobUpdate,
    PartialText,
    ReplicateJobs,
    ReplicateResult,
    RequestItem,
    RequestJob,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.storage.group_context import GroupContext
from wharfcart.storage.group_replica import GroupReplica
from wharfcart.storage.job_database import JobDatabase

EPOCH = 3


class InstantDisk:
    """A database whose calls return at once, in order."""

    def __init__(self) -> None:
        self.database = JobDatabase(None)

    def __getattr__(self, name: str):
        async def call(*arguments):
            return getattr(self.database, name)(*arguments)

        return call


class Replica:
    """A replica and the messages of its leader."""

    def __init__(self) -> None:
        self.disk = InstantDisk()
        self.is_leading = False
        self.counts: dict[str, int] = {}
        context = SimpleNamespace(
            identity="b",
            disk=self.disk,
            log=DecisionLog("b"),
            count_mismatch=lambda kind, count: self.counts.update({kind: count}),
        )
        self.replica = GroupReplica(
            0, cast(GroupContext, context), lambda: self.is_leading, lambda *_: None
        )

    def promise(self, session: int) -> None:
        message = FenceGroup(epoch=EPOCH, leader="a", target="b", session=session)
        assert asyncio.run(self.replica.promise(message)).granted

    def write(
        self, session: int, sequence: int, *updates: JobUpdate, failed_at: tuple[str, ...] = ()
    ) -> ReplicateResult:
        texts = [PartialText(job_id="j", item_id="0", failed_at=failed_at)] if failed_at else []
        message = ReplicateJobs(
            epoch=EPOCH,
            leader="a",
            target="b",
            updates=updates,
            partial_texts=texts,
            session=session,
            sequence=sequence,
        )
        return asyncio.run(self.replica.write(message))

    @property
    def failures(self) -> list[str]:
        return self.replica.partial_texts.get_or_create("j", "0").failed_at


def complete_job(job_id: str = "j") -> JobUpdate:
    items = [RequestItem(item_id="0")]
    return JobUpdate(job_id=job_id, epoch=EPOCH, job=RequestJob(job_id=job_id, items=items))


def test_a_late_or_repeated_message_changes_nothing() -> None:
    """Guards against failures, which name no base, that a late message takes back."""
    replica = Replica()
    replica.promise(1)
    assert replica.write(1, 1, complete_job(), failed_at=("x",)).accepted
    assert replica.write(1, 3, failed_at=("x", "y")).accepted
    for sequence in (1, 2, 3):
        assert not replica.write(1, sequence, failed_at=("x",)).accepted
    replica.promise(2)
    assert not replica.write(1, 4, failed_at=("x",)).accepted
    assert replica.failures == ["x", "y"]
    assert replica.write(2, 1, failed_at=("x", "y", "z")).accepted
    assert replica.failures == ["x", "y", "z"]


def test_a_late_deletion_in_one_epoch_spares_a_job_that_was_submitted_again() -> None:
    """Guards against the loss of an accepted job, where only the order tells the two apart."""
    replica = Replica()
    replica.promise(1)
    deletion = JobUpdate(job_id="j", forgotten=True, base_epoch=EPOCH)
    assert replica.write(1, 1, complete_job()).accepted
    assert replica.write(1, 2, deletion).accepted
    assert replica.write(1, 3, complete_job()).accepted
    assert not replica.write(1, 2, deletion).accepted
    assert [state.job_id for state in replica.disk.database.job_states(0)] == ["j"]


def test_a_message_of_an_earlier_leader_does_not_change_the_texts_of_this_one() -> None:
    """Guards against a leader whose items go on after events that they did not receive."""
    replica = Replica()
    replica.promise(1)
    replica.is_leading = True
    replica.write(1, 1, complete_job(), failed_at=("x",))
    assert replica.failures == []


def test_a_refused_update_is_told_with_what_is_held() -> None:
    replica = Replica()
    replica.promise(1)
    replica.write(1, 1, complete_job())
    gap = JobUpdate(job_id="j", epoch=EPOCH, from_result=1, base_epoch=EPOCH)
    gap.results.append(ItemOutcome(item_id="1"))
    (held,) = replica.write(1, 2, gap).mismatched_jobs
    assert (held.job_id, held.epoch, held.results) == ("j", EPOCH, 0)


def test_a_leader_of_an_earlier_build_is_not_told_that_a_refused_update_is_written() -> None:
    """Guards against a result that counts as committed although no replica holds it."""
    replica = Replica()
    replica.promise(0)
    assert replica.write(0, 0, complete_job()).accepted
    gap = JobUpdate(job_id="j", epoch=EPOCH, from_result=1)
    gap.results.append(ItemOutcome(item_id="1"))
    assert not replica.write(0, 0, gap).accepted
