"""Streams go on at the software version that began them, in one answer and over several tries."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import pytest

from tests.routing.versioned_backends import (
    EVENTS_PER_STREAM,
    StreamCaller,
    StreamGateway,
    backend,
)
from tests.slots.network import SETTLE_S, Fleet, Holder, request
from wharfcart.configuration.instances import BackendInstance
from wharfcart.experiments.simulated_slots import VIRTUAL_CLOCK_MODULES
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_clock
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.placement import LocalPlacement

VERSION_MIXES = (
    ("v1", "v1", "v2", "v2"),
    ("v1", "v1", "v1", "v2", "v2", "v2"),
    ("v1", "v1", "v2", "v2", "v3", "v3", "v3"),
)
ROUTING_CLOCK_MODULES = (
    "wharfcart.routing.forwarder",
    "wharfcart.routing.sender",
    "wharfcart.routing.request_log",
    "wharfcart.routing.deadlines",
    "tests.routing.versioned_backends",
)


def backends_of(versions: tuple[str, ...]) -> list[BackendInstance]:
    return [backend(f"i{n}", version) for n, version in enumerate(versions)]


def breaks_once() -> Callable[[BackendInstance], bool]:
    """Return a function that lets the first run break and no other one."""
    runs = iter([True])
    return lambda _instance: next(runs, False)


class VersionedFleet(Fleet):
    """A fleet with back ends of several versions."""

    def __init__(self, versions: tuple[str, ...], seed: int = 1) -> None:
        self.versions = versions
        super().__init__()
        self.rng = Random(seed)

    def new_selector(self, zone: str = "z") -> BackendSelector:
        selector = BackendSelector(zone, self.rng)
        for instance in backends_of(self.versions):
            selector.put(instance)
        return selector

    async def stream_gateway(self, name: str) -> tuple[Holder, StreamGateway]:
        holder = await self.gateway(name)
        return holder, StreamGateway(holder.selector, holder.placement)

    async def take_slots(self, holder: Holder) -> None:
        """Take a random number of slots, but leave free ones at each version."""
        for _ in range(self.rng.randrange(len(self.versions))):
            assert await holder.placement.place(request())

    def kill(self, holder: Holder) -> None:
        """End a gateway; its granting node notices at once."""
        holder.task.cancel()
        self.network.break_connection(holder.name, self.leader)


def play(fleet: Callable[[], VersionedFleet], scenario: Callable[..., Awaitable[None]]) -> None:
    async def run() -> None:
        playing = fleet()
        await scenario(playing)
        for task in [*playing.tasks, *(holder.task for holder in playing.holders.values())]:
            task.cancel()

    with virtual_clock((*VIRTUAL_CLOCK_MODULES, *ROUTING_CLOCK_MODULES)):
        run_in_virtual_time(run())


async def leave_midway(gateway: StreamGateway, request_id: str, caller: StreamCaller) -> None:
    """Request a stream and leave after its second event, as after a reset of the connection."""
    stream = asyncio.create_task(gateway.request(request_id, caller))
    while len(caller.versions) < 2:
        assert not stream.done(), caller.status
        await asyncio.sleep(0.001)
    stream.cancel()
    await asyncio.wait((stream,))


# Guards against an answer joined from two software versions: the gateway that resumed a broken
# stream selected any back end.
@pytest.mark.parametrize("versions", VERSION_MIXES)
def test_a_broken_stream_goes_on_at_the_version_that_began_it(versions: tuple[str, ...]) -> None:
    mixed = []

    async def stream(seed: int) -> None:
        selector = BackendSelector("z", Random(seed))
        for instance in backends_of(versions):
            selector.put(instance)
        gateway = StreamGateway(selector, LocalPlacement(selector))
        gateway.pool.breaks = breaks_once()
        caller = StreamCaller()
        await gateway.request("q", caller)
        assert len(caller.versions) == EVENTS_PER_STREAM
        if len(set(caller.versions)) > 1:
            mixed.append((seed, caller.versions))

    with virtual_clock(ROUTING_CLOCK_MODULES):
        for seed in range(40):
            run_in_virtual_time(stream(seed))
    assert mixed == []


# Guards against a stream joined from two software versions over a client's tries: the gateway that
# took it up did not know which version had begun it, as the first one had ended.
@pytest.mark.parametrize("versions", VERSION_MIXES)
@pytest.mark.parametrize("ends", [False, True], ids=["same_gateway", "gateway_ended"])
def test_a_stream_that_a_client_takes_up_goes_on_at_its_version(
    versions: tuple[str, ...], ends: bool
) -> None:
    mixed = []

    async def scenario(fleet: VersionedFleet) -> None:
        first_holder, first = await fleet.stream_gateway("a")
        second_holder, second = await fleet.stream_gateway("b")
        before, after = StreamCaller(), StreamCaller()
        await leave_midway(first, "q1", before)
        if ends:
            fleet.kill(first_holder)
            await asyncio.sleep(SETTLE_S)
        await fleet.take_slots(second_holder)
        await (second if ends else first).request("q2", after, 1, "q1")
        assert len(before.versions + after.versions) == EVENTS_PER_STREAM
        if len(set(before.versions + after.versions)) > 1:
            mixed.append(before.versions + after.versions)

    for seed in range(40):
        play(partial(VersionedFleet, versions, seed), scenario)
    assert mixed == []
