"""Takeover of a job group by a new leader."""

import asyncio
from collections.abc import Sequence

from wharfcart.cluster.messages_pb2 import JobUpdate, RequestJob
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.replicated_job import JobState
from wharfcart.storage.takeover import MAX_JOBS_PER_FETCH, Takeover


class FakeLink:
    """A replica that has some jobs; records the size of each fetch."""

    def __init__(self, states: list[JobState]) -> None:
        self.states = states
        self.fetch_sizes: list[int] = []

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        return self.states

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        self.fetch_sizes.append(len(job_ids))
        return [
            JobUpdate(job_id=job_id, epoch=1, job=RequestJob(job_id=job_id)) for job_id in job_ids
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
