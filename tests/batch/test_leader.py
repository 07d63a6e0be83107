"""Leases that a leader grants to polls whose answers are lost."""

import asyncio
from types import SimpleNamespace
from typing import cast

from wharfcart.batch.leader import BatchLeader
from wharfcart.cluster.messages_pb2 import (
    Command,
    JobCreate,
    JobRecord,
    LeasePoll,
    ProposeResult,
    Row,
    Rows,
)
from wharfcart.storage.journal import Journal
from wharfcart.storage.shard_state import BatchJob, ShardState


class CommittingJournal:
    """A journal of one shard that commits what was proposed, also if its proposer has left."""

    def __init__(self, state: ShardState) -> None:
        self._shard = SimpleNamespace(number=0, state=state)
        self.proposed = asyncio.Event()

    def leading_shard(self, _number: int) -> SimpleNamespace:
        return self._shard

    async def propose(self, _number: int, command: Command) -> ProposeResult:
        state = self._shard.state
        result = state.apply(state.applied_index + 1, command)
        self.proposed.set()
        await asyncio.sleep(0)
        return result

    async def read_rows(self, *arguments: object) -> Rows:
        first, count = cast(int, arguments[3]), cast(int, arguments[4])
        return Rows(rows=[Row(number=first + n, value=b"x") for n in range(count)])


def test_items_of_a_lost_grant_are_leased_again() -> None:
    """Guards against items that are recorded as unknown although they never ran."""

    async def scenario() -> None:
        state = ShardState()
        record = JobRecord(create=JobCreate(job_id="a"), rows=2, service_names=["s"])
        state.jobs["a"] = BatchJob(record, bytearray(2), bytes(2))
        journal = CommittingJournal(state)
        service = SimpleNamespace(target="model", repeatable=False)
        leader = BatchLeader(
            cast(Journal, journal),
            lambda _tenant, _name: service,  # type: ignore[arg-type, return-value]
            lambda _tenant: 1.0,
            1.0,
            lambda _holder, _lease_ids: None,
        )
        poll = LeasePoll(holder="h", backend_id="b", targets=["model"], most=2)
        lost = asyncio.create_task(leader.poll(poll))
        await journal.proposed.wait()
        lost.cancel()
        await asyncio.wait((lost,))
        grant = await leader.poll(poll)
        assert [list(granted.lease.rows) for granted in grant.leases] == [[0, 1]]

    asyncio.run(scenario())
