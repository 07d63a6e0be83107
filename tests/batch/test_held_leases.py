"""What a runner's polls tell a shard's leader about its leases."""

import asyncio
from collections.abc import Callable
from typing import cast

import pytest

from wharfcart.batch.held_leases import HeldLease, HeldLeases
from wharfcart.cluster.messages_pb2 import Command, Frame, LeaseGrant, LeasePoll, ProposeResult
from wharfcart.errors import ServingError
from wharfcart.storage.journal_client import JournalClient


class FakeJournal:
    """Records polls, each sent twice as if the first attempt had no answer."""

    def __init__(self) -> None:
        self.polls: list[LeasePoll] = []
        self.end_allowed = asyncio.Event()
        self.fails = False

    async def ask_leader(
        self, _shard: int, make_frame: Callable[[], Frame], _timeout_s: float
    ) -> Frame:
        self.polls += [make_frame().lease_poll for _ in range(2)]
        return Frame(lease_grant=LeaseGrant())

    async def propose(self, _shard: int, _command: Command, _timeout_s: float) -> ProposeResult:
        await self.end_allowed.wait()
        if self.fails:
            raise ServingError("journal_unavailable", "no leader", 503)
        return ProposeResult(code="ok")


def make_leases() -> tuple[HeldLeases, FakeJournal]:
    journal = FakeJournal()
    return HeldLeases("node", "backend", cast(JournalClient, journal)), journal


def test_each_attempt_of_a_poll_has_a_higher_number() -> None:
    """Guards against a late attempt that takes back what a later one was granted."""

    async def scenario() -> list[LeasePoll]:
        leases, journal = make_leases()
        await leases.poll(0, ["t"], 4)
        await leases.poll(1, ["t"], 4)
        return journal.polls

    polls = asyncio.run(scenario())
    assert [poll.number for poll in polls] == [1, 2, 3, 4]
    assert len({poll.runner for poll in polls}) == 1 and polls[0].runner


def test_a_renewal_takes_nothing_back() -> None:
    """Guards against a grant on its way that a renewal beside it makes the leader take back."""

    async def scenario() -> list[LeasePoll]:
        leases, journal = make_leases()
        leases.add(HeldLease("l", 0, "job", False, {0}))
        await leases.renew_all()
        return journal.polls

    for poll in asyncio.run(scenario()):
        assert (poll.runner, poll.number, list(poll.held)) == ("", 0, ["l"])


@pytest.mark.parametrize("fails", [False, True])
def test_a_lease_is_named_until_its_end_is_confirmed(fails: bool) -> None:
    """Guards against items that were sent and whose lease the leader takes for not received."""

    async def scenario() -> list[tuple[list[str], list[str]]]:
        leases, journal = make_leases()
        journal.fails = fails
        lease = HeldLease("l", 0, "job", False, {0, 1})
        leases.add(lease)
        await leases.poll(0, ["t"], 4)
        ending = asyncio.create_task(leases.release(lease, [1]))
        await asyncio.sleep(0)
        await leases.poll(0, ["t"], 4)
        journal.end_allowed.set()
        await ending
        await leases.poll(0, ["t"], 4)
        return [(list(poll.held), list(poll.ending)) for poll in journal.polls[::2]]

    held, ended, after = asyncio.run(scenario())
    assert (held, ended) == ((["l"], []), ([], ["l"]))
    assert after == ([], ["l"] if fails else [])
