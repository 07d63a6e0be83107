"""A gateway's calls to the leader of a job group."""

import asyncio
from collections.abc import Iterator
from unittest import mock

import pytest

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import DONE, Frame, JobAnswer, SubmitJob
from wharfcart.cluster.transport import PeerUnreachableError
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_monotonic
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_client import JobCallFailure, JobClient

ADDRESSES = {name: Address("127.0.0.1", port) for port, name in enumerate(("a", "b", "c"), 1)}


@pytest.fixture(autouse=True)
def virtual_clock() -> Iterator[None]:
    with mock.patch("wharfcart.storage.job_client.monotonic", virtual_monotonic):
        yield


class Peers:
    """Nodes that answer, are unreachable, or don't respond."""

    def __init__(self, *unresponsive: str, unreachable: str = "") -> None:
        self.unresponsive = {ADDRESSES[name] for name in unresponsive}
        self.unreachable = ADDRESSES.get(unreachable)
        self.calls: list[Address] = []

    async def call(self, address: Address, _frame: Frame) -> Frame:
        self.calls.append(address)
        if address == self.unreachable:
            raise PeerUnreachableError(address, sent=False)
        if address in self.unresponsive:
            await asyncio.Event().wait()
        return Frame(job_answer=JobAnswer(status=DONE))

    def round_trip_s(self, _address: Address) -> float:
        return 0.0

    def drop(self, _address: Address) -> None:
        return


class Client:
    """A client whose group has the record in ``record``."""

    def __init__(self, peers: Peers) -> None:
        self.record = GroupRecord(1, "a", frozenset(ADDRESSES))
        self.client = JobClient(peers, lambda: 1, lambda _group: self.record, ADDRESSES.get)

    async def submit(
        self, timeout_s: float = 3.0, attempt_timeout_s: float = 2.0
    ) -> Frame | JobCallFailure:
        frame = Frame(submit_job=SubmitJob())
        return await self.client.call("j", frame, "job_answer", timeout_s, attempt_timeout_s)


def test_a_call_moves_to_a_new_leader_when_the_old_one_is_unresponsive() -> None:
    async def scenario() -> None:
        peers = Peers("a")
        client = Client(peers)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        submission = asyncio.create_task(client.submit())
        await asyncio.sleep(0.6)
        client.record = GroupRecord(2, "b", frozenset(ADDRESSES))
        answer = await submission
        assert isinstance(answer, Frame)
        assert peers.calls == [ADDRESSES["a"], ADDRESSES["b"]]
        assert loop.time() - began_at < 1.0

    run_in_virtual_time(scenario())


def test_a_timeout_leaves_the_outcome_unknown() -> None:
    async def scenario() -> None:
        answer = await Client(Peers("a")).submit(1.0, 0.4)
        assert answer == JobCallFailure(True, "timeout")

    run_in_virtual_time(scenario())


def test_an_unreachable_leader_has_not_executed_the_call() -> None:
    async def scenario() -> None:
        answer = await Client(Peers(unreachable="a")).submit(1.0, 0.4)
        assert answer == JobCallFailure(False, "unreachable")

    run_in_virtual_time(scenario())
