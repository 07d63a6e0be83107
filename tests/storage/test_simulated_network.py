"""Simulated connections behave like TCP connections that a caller may give up."""

import asyncio
import random

import pytest

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import FenceGroup, Frame
from wharfcart.cluster.transport import PeerUnreachableError
from wharfcart.experiments.simulated_network import (
    MAX_RETRANSMISSION_S,
    UNACKNOWLEDGED_TIMEOUT_S,
    Connection,
    SimulatedTransport,
)
from wharfcart.experiments.virtual_time import run_in_virtual_time

SOURCE, TARGET = 0, 1
TARGET_ADDRESS = Address("node", TARGET)
DELAY_S = 0.001


class Wire:
    """A network of two nodes whose link can be cut."""

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.cut = False
        self.late_calls = 0

    def one_way_delay_s(self, source: int, target: int) -> float:
        return DELAY_S

    def is_cut(self, source: int, target: int) -> bool:
        return self.cut

    def loses_segment(self) -> bool:
        return False


class Target:
    """Records the epochs of the calls that arrive; a call takes a while."""

    number = TARGET

    def __init__(self, call_s: float = 0.0) -> None:
        self.inbound: list[Connection] = []
        self.arrived: list[tuple[float, int]] = []
        self.finished: list[int] = []
        self.runs = True
        self._call_s = call_s

    async def handle_call(self, frame: Frame) -> Frame | None:
        epoch = frame.fence_group.epoch
        self.arrived.append((asyncio.get_running_loop().time(), epoch))
        await asyncio.sleep(self._call_s)
        self.finished.append(epoch)
        return Frame()

    @property
    def order(self) -> list[int]:
        return [epoch for _, epoch in self.arrived]


def make_transport(wire: Wire, target: Target) -> SimulatedTransport:
    return SimulatedTransport(wire, SOURCE, lambda _number: target if target.runs else None)


async def call(transport: SimulatedTransport, epoch: int, timeout_s: float = 0.9) -> bool:
    """Call the target; give the connection up after a timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await transport.call(TARGET_ADDRESS, Frame(fence_group=FenceGroup(epoch=epoch)))
    except TimeoutError:
        transport.drop(TARGET_ADDRESS)
        return False
    return True


def run(scenario) -> None:
    run_in_virtual_time(scenario())


def test_a_message_of_a_connection_that_was_given_up_arrives_after_later_ones() -> None:
    """Guards against a simulation in which a message of before a cut never arrives.

    Without effect if it arrives in one piece with its cancellation.
    """

    async def arrivals(seed: int) -> list[int]:
        wire, target = Wire(seed), Target()
        transport = make_transport(wire, target)
        assert await call(transport, 1)
        wire.cut = True
        assert not await call(transport, 2, timeout_s=0.1)
        wire.cut = False
        assert await call(transport, 3)
        await asyncio.sleep(UNACKNOWLEDGED_TIMEOUT_S)
        return target.order

    orders = [run_in_virtual_time(arrivals(seed)) for seed in range(20)]
    assert [1, 3, 2] in orders
    assert [1, 3] in orders
    assert all(order in ([1, 3, 2], [1, 3]) for order in orders)


def test_messages_of_one_connection_arrive_in_order_although_a_cut_held_them_back() -> None:
    async def scenario() -> None:
        wire, target = Wire(), Target()
        transport = make_transport(wire, target)
        assert await call(transport, 0)
        wire.cut = True
        calls = [asyncio.create_task(call(transport, epoch, 2.5)) for epoch in range(1, 6)]
        await asyncio.sleep(0.5)
        wire.cut = False
        assert all(await asyncio.gather(*calls))
        assert target.order == list(range(6))

    run(scenario)


@pytest.mark.parametrize("seed", range(20))
def test_no_message_arrives_later_than_connections_last(seed: int) -> None:
    async def scenario() -> None:
        wire, target = Wire(seed), Target()
        transport = make_transport(wire, target)
        assert await call(transport, 1)
        sent_at = asyncio.get_running_loop().time()
        wire.cut = True
        assert not await call(transport, 2)
        await asyncio.sleep(wire.random.uniform(0.0, 2 * UNACKNOWLEDGED_TIMEOUT_S))
        wire.cut = False
        await asyncio.sleep(3 * UNACKNOWLEDGED_TIMEOUT_S)
        late = [at for at, epoch in target.arrived if epoch == 2]
        assert all(at - sent_at <= UNACKNOWLEDGED_TIMEOUT_S + 2 * DELAY_S for at in late)

    run(scenario)


@pytest.mark.parametrize("seed", range(10))
def test_nothing_arrives_at_the_process_after_a_restart(seed: int) -> None:
    """A connection ends with the process that accepted it."""

    async def scenario() -> None:
        wire, target = Wire(seed), Target()
        transport = make_transport(wire, target)
        assert await call(transport, 1)
        wire.cut = True
        assert not await call(transport, 2, timeout_s=0.1)
        for connection in list(target.inbound):
            connection.reset_by_target()
        wire.cut = False
        await asyncio.sleep(2 * UNACKNOWLEDGED_TIMEOUT_S)
        assert target.order == [1]

    run(scenario)


def test_the_end_of_a_process_fails_its_callers() -> None:
    async def scenario() -> None:
        wire, target = Wire(), Target(call_s=5.0)
        transport = make_transport(wire, target)
        waiting = asyncio.create_task(call(transport, 1))
        await asyncio.sleep(0.1)
        target.runs = False
        for connection in list(target.inbound):
            connection.reset_by_target()
        with pytest.raises(PeerUnreachableError):
            await waiting
        with pytest.raises(PeerUnreachableError):
            await call(transport, 2)
        assert target.finished == []

    run(scenario)


def test_a_caller_that_gives_up_cancels_the_handler() -> None:
    async def scenario() -> None:
        wire, target = Wire(), Target(call_s=0.5)
        transport = make_transport(wire, target)
        assert not await call(transport, 1, timeout_s=0.1)
        await asyncio.sleep(MAX_RETRANSMISSION_S + 1.0)
        assert target.order == [1]
        assert target.finished == []

    run(scenario)
