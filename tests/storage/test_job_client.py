"""A gateway's calls to the leader of a job group."""

import asyncio
from collections.abc import Iterator
from unittest import mock

import pytest

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import DONE, Frame, JobAnswer, SubmitJob
from wharfcart.cluster.transport import PeerUnreachableError
from wharfcart.experiments.virtual_time import run_virtually, virtual_monotonic
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_client import JobCallFailure, JobClient

ADDRESSES = {name: Address("127.0.0.1", port) for port, name in enumerate(("a", "b", "c"), 1)}


@pytest.fixture(autouse=True)
def virtual_clock() -> Iterator[None]:
    with mock.patch("wharfcart.storage.job_client.monotonic", virtual_monotonic):
        yield


class Peers:
    """Nodes that answer, are gone, or are silent."""

    def __init__(self, *silent: str, gone: str = "") -> None:
        self.silent = {ADDRESSES[name] for name in silent}
        self.gone = ADDRESSES.get(gone)
        self.asked: list[Address] = []

    async def call(self, address: Address, _frame: Frame) -> Frame:
        self.asked.append(address)
        if address == self.gone:
            raise PeerUnreachableError(address, sent=False)
        if address in self.silent:
            await asyncio.Event().wait()
        return Frame(job_answer=JobAnswer(status=DONE))

    def round_trip_s(self, _address: Address) -> float:
        return 0.0

    def drop(self, _address: Address) -> None:
        return


class Client:
    """A client that believes what ``record`` says."""

    def __init__(self, peers: Peers) -> None:
        self.record = GroupRecord(1, "a", frozenset(ADDRESSES))
        self.client = JobClient(peers, lambda: 1, lambda _group: self.record, ADDRESSES.get)

    async def submit(self, timeout_s: float = 3.0, try_s: float = 2.0) -> Frame | JobCallFailure:
        frame = Frame(submit_job=SubmitJob())
        return await self.client.call("j", frame, "job_answer", timeout_s, try_s)


def test_a_silent_leader_is_left_as_soon_as_another_one_leads() -> None:
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
        assert peers.asked == [ADDRESSES["a"], ADDRESSES["b"]]
        assert loop.time() - began_at < 1.0

    run_virtually(scenario())


def test_a_leader_that_never_answers_leaves_it_unknown() -> None:
    async def scenario() -> None:
        answer = await Client(Peers("a")).submit(1.0, 0.4)
        assert answer == JobCallFailure(True, "timeout")

    run_virtually(scenario())


def test_a_leader_that_can_not_be_reached_was_not_told() -> None:
    async def scenario() -> None:
        answer = await Client(Peers(gone="a")).submit(1.0, 0.4)
        assert answer == JobCallFailure(False, "unreachable")

    run_virtually(scenario())
