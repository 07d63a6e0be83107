"""Takeover of a job group by a new leader."""

import asyncio
from collections.abc import Sequence

import pytest

from wharfcart.cluster.messages_pb2 import ItemOutcome, JobUpdate, RequestJob
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.replicated_job import JobState, SubmissionId
from wharfcart.storage.takeover import MAX_JOBS_PER_FETCH, Takeover


class OverstatingLink:
    """A replica that reports more results of its job than it holds."""

    def __init__(self, reported: int, held: int) -> None:
        self.reported = reported
        self.held = held

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        return [JobState("j", 1, 1 + self.reported)]

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        results = [ItemOutcome(item_id=str(n)) for n in range(self.held)]
        return [JobUpdate(job_id="j", epoch=1, job=RequestJob(job_id="j"), results=results)]


def test_a_copy_that_reports_more_than_it_holds_is_not_chosen() -> None:
    """Guards against the loss of a result that another replica holds."""
    links = {"a": OverstatingLink(3, 1), "b": OverstatingLink(2, 2)}
    takeover = Takeover(
        GroupRecord(2, "a", frozenset({"a", "b"})),
        "a",
        1,
        lambda identity: links[identity],  # type: ignore[arg-type,return-value]
    )

    async def scenario() -> int:
        assert await takeover.collect_promises(lambda: False)
        (record,) = await takeover.newest_jobs()
        return len(record.results)

    assert asyncio.run(scenario()) == 2
    assert takeover.corrected_by_identity == {"a": [JobState("j", 1, 2)]}
    assert takeover.states_by_identity["a"] == [JobState("j", 1, 2)]


class FakeLink:
    """A replica that has some jobs; records the size of each fetch."""

    def __init__(self, states: list[JobState]) -> None:
        self.states = states
        self.fetch_sizes: list[int] = []
        self.submission = 0

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        return self.states

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        self.fetch_sizes.append(len(job_ids))
        return [
            JobUpdate(
                job_id=job_id,
                epoch=1,
                job=RequestJob(job_id=job_id),
                submission=self.submission,
            )
            for job_id in job_ids
        ]


def test_a_leader_that_lacks_many_jobs_fetches_them_in_parts() -> None:
    """One call for all jobs of a large group would exceed the timeout of a link each time."""
    count = 3 * MAX_JOBS_PER_FETCH + 1
    links = {"a": FakeLink([]), "b": FakeLink([JobState(f"j{n}", 1, 1) for n in range(count)])}
    takeover = Takeover(
        GroupRecord(2, "a", frozenset({"a", "b", "c"})),
        "a",
        2,
        lambda identity: links.get(identity, FakeLink([])),  # type: ignore[arg-type]
    )

    async def scenario() -> list[str]:
        assert await takeover.collect_promises(lambda: False)
        return [record.job.job_id for record in await takeover.newest_jobs()]

    assert sorted(asyncio.run(scenario())) == sorted(f"j{n}" for n in range(count))
    assert links["a"].fetch_sizes == []
    assert max(links["b"].fetch_sizes) == MAX_JOBS_PER_FETCH


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        pytest.param(JobState("j", 3, 9, 5), JobState("j", 3, 1, 6), id="later submission"),
        pytest.param(JobState("j", 3, 9, 6), JobState("j", 4, 1, 5), id="later epoch"),
        pytest.param(JobState("j", 3, 1, 5), JobState("j", 3, 2, 5), id="longer history"),
        pytest.param(JobState("j", 3, 1, 5), JobState("j", 3, 2), id="of an earlier build"),
    ],
)
def test_a_takeover_prefers_the_newer_state(older: JobState, newer: JobState) -> None:
    """Guards against a deleted job that a new leader takes for the one submitted again."""
    assert newer.is_newer_than(older)
    assert not older.is_newer_than(newer)


def test_a_job_that_one_replica_has_deleted_is_not_taken_over() -> None:
    """Guards against a deleted job that comes back with a replica that missed the deletion."""
    deletion = JobState("j", 1, 0, SubmissionId(5), is_deleted=True)
    kept, missed = JobState("k", 1, 1, SubmissionId(6)), JobState("j", 1, 3, SubmissionId(5))
    links = {
        "a": FakeLink([missed, deletion._replace(job_id="k")]),
        "b": FakeLink([deletion, kept]),
    }
    takeover = Takeover(
        GroupRecord(2, "a", frozenset({"a", "b"})),
        "a",
        1,
        lambda identity: links[identity],  # type: ignore[arg-type,return-value]
    )

    async def scenario() -> list[str]:
        assert await takeover.collect_promises(lambda: False)
        links["b"].submission = 6
        return [record.job.job_id for record in await takeover.newest_jobs()]

    assert asyncio.run(scenario()) == ["k"], "the deletion is of an earlier submission"
    assert takeover.deletions() == [deletion]
