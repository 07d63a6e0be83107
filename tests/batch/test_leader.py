"""Leases that a leader grants to polls whose answers are lost."""

import asyncio
from types import SimpleNamespace
from typing import cast

import pytest

from wharfcart.batch.leader import BatchLeader
from wharfcart.cluster.messages_pb2 import (
    Command,
    JobCreate,
    JobRecord,
    LeaseGrant,
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


def make_leader() -> tuple[BatchLeader, ShardState]:
    """Return the leader of a shard with one job of two items that must not run twice."""
    state = ShardState()
    record = JobRecord(create=JobCreate(job_id="a"), rows=2, service_names=["s"])
    state.jobs["a"] = BatchJob(record, bytearray(2), bytes(2))
    leader = BatchLeader(
        cast(Journal, CommittingJournal(state)),
        lambda _tenant, _name: SimpleNamespace(  # type: ignore[arg-type, return-value]
            target="model", repeatable=False
        ),
        lambda _tenant: 1.0,
        1.0,
        lambda _holder, _lease_ids: None,
    )
    return leader, state


def numbered_poll(number: int, runner: str = "r", **fields: list[str]) -> LeasePoll:
    return LeasePoll(
        holder="h",
        backend_id="b",
        targets=["model"],
        most=2,
        runner=runner,
        number=number,
        **fields,  # type: ignore[arg-type]
    )


def rows_of(grant: LeaseGrant) -> list[list[int]]:
    return [list(granted.lease.rows) for granted in grant.leases]


def test_a_grant_whose_answer_is_lost_is_taken_back_by_the_next_poll() -> None:
    """Guards against items that are recorded as unknown because their grant never arrived."""

    async def scenario() -> None:
        leader, state = make_leader()
        lost = await leader.poll(numbered_poll(1))
        again = await leader.poll(numbered_poll(2))
        assert rows_of(lost) == rows_of(again) == [[0, 1]]
        assert state.leases.keys() == {again.leases[0].lease.lease_id}
        assert not state.previous_backends, "none of the items was sent"

    asyncio.run(scenario())


def test_a_late_poll_takes_back_nothing_and_keeps_nothing() -> None:
    """Guards against items that run twice, as their lease is ended while its holder runs them."""

    async def scenario() -> None:
        leader, state = make_leader()
        held = (await leader.poll(numbered_poll(2))).leases[0].lease.lease_id
        for late in (numbered_poll(1), numbered_poll(2)):
            assert rows_of(await leader.poll(late)) == []
        assert state.leases.keys() == {held}

    asyncio.run(scenario())


def test_a_lease_that_was_granted_to_a_late_poll_is_taken_back() -> None:
    """Guards against items that wait for the end of a lease that nobody holds."""

    async def scenario() -> None:
        leader, _ = make_leader()
        await leader.poll(LeasePoll(holder="h", runner="r", number=2))
        assert rows_of(await leader.poll(numbered_poll(1))) == [[0, 1]]
        assert rows_of(await leader.poll(numbered_poll(3))) == [[0, 1]]

    asyncio.run(scenario())


@pytest.mark.parametrize("field", ["held", "ending"])
def test_a_lease_that_its_runner_names_is_not_taken_back(field: str) -> None:
    """Guards against items that run twice: a lease that ends may still have sent some."""

    async def scenario() -> None:
        leader, state = make_leader()
        lease_id = (await leader.poll(numbered_poll(1))).leases[0].lease.lease_id
        assert rows_of(await leader.poll(numbered_poll(2, **{field: [lease_id]}))) == []
        assert state.leases.keys() == {lease_id}

    asyncio.run(scenario())


def test_a_lease_of_another_runner_of_the_node_is_not_taken_back() -> None:
    """Guards against items of an earlier process that may have run and are taken for not run."""

    async def scenario() -> None:
        leader, state = make_leader()
        await leader.poll(numbered_poll(1))
        assert rows_of(await leader.poll(numbered_poll(9, runner="restarted"))) == []
        assert rows_of(await leader.poll(LeasePoll(holder="h", targets=["model"], most=2))) == []
        assert len(state.leases) == 1

    asyncio.run(scenario())


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
