"""Zones that are emptied: nothing new goes there by a grant, an offer or own choice."""

import asyncio
from collections.abc import Iterable

import pytest

from tests.slots.network import SETTLE_S, Fleet, play, request
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.cold_backends import LocalColdShares
from wharfcart.routing.placement import NoSlotError, PlacementDecision, SendResult
from wharfcart.slots.events import LeaveCause
from wharfcart.slots.item_slots import ItemDemand, ItemSlot
from wharfcart.slots.session import HeldSlot
from wharfcart.slots.urgency import Urgency

PATIENT = Urgency(left_s=15.0, remaining_s=4.0)
ZONES = {"i0": "a", "i1": "b", "i2": "c"}


def choices(fleet: Fleet) -> list[BackendSelector]:
    return [
        *(node.choice for node in fleet.nodes),
        *(holder.choice for holder in fleet.holders.values()),
    ]


def put_in_zones(fleet: Fleet, cold_for_s: float = 0.0) -> None:
    now = asyncio.get_running_loop().time()
    for choice in choices(fleet):
        for name, zone in ZONES.items():
            entry = BackendInstance(name, "s", "127.0.0.1", 1, zone, fleet.slots, True, cold_for_s)
            choice.put(entry, now)


def empty(known_to: Iterable[BackendSelector], *zones: str) -> None:
    for choice in known_to:
        choice.eligibility.evacuated_zones = frozenset(zones)


def name_of(placed: PlacementDecision | None) -> str:
    return "" if placed is None else placed.state.instance.instance_id


async def places(fleet: Fleet, count: int) -> set[str]:
    gateway = fleet.holders["g1"]
    return {name_of(await gateway.placement.place(request(0.3))) for _ in range(count)}


def test_nothing_is_granted_in_zones_that_are_emptied_and_again_when_they_are_given_back() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.gateway("g1")
        put_in_zones(fleet)
        empty(choices(fleet), "a", "b")
        await asyncio.sleep(SETTLE_S)
        assert await places(fleet, 4) == {"i2"}
        empty(choices(fleet), "b", "c")
        await asyncio.sleep(SETTLE_S)
        assert await places(fleet, 4) == {"i0"}

    play(scenario, servers=3, slots=4)


def test_a_grant_in_a_zone_that_only_the_gateway_knows_to_be_emptied_is_given_back() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        empty([gateway.choice], "a", "b")
        assert await places(fleet, 4) == {"i2"}
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 4

    play(scenario, servers=3, slots=8)


def test_a_gateway_that_chooses_itself_leaves_emptied_zones_out() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.gateway("g1")
        put_in_zones(fleet)
        empty(choices(fleet), "a", "b")
        fleet.network.dark.add(fleet.leader.address)
        assert await places(fleet, 4) == {"i2"}

    play(scenario, servers=3, slots=4)


def test_a_long_shared_prompt_leaves_the_zone_where_it_was_read() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        first = await gateway.placement.place(request(affinity_key="k"))
        assert first is not None
        empty(choices(fleet), first.state.instance.zone)
        await asyncio.sleep(SETTLE_S)
        second = await gateway.placement.place(request(affinity_key="k"))
        assert second is not None and second.state is not first.state

    play(scenario, servers=3, slots=4)


def test_back_ends_that_have_vanished_count_only_outside_emptied_zones() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        now = asyncio.get_running_loop().time()
        for name in ZONES:
            gateway.choice.remove(name, now, in_outage=True)
        fleet.network.dark.add(fleet.leader.address)
        empty([gateway.choice], "a", "b")
        assert await places(fleet, 4) == {"i2"}

    play(scenario, servers=3, slots=4)


def test_with_all_zones_emptied_a_request_is_refused_at_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        empty(choices(fleet), "a", "b", "c")
        await asyncio.sleep(SETTLE_S)
        began_at = asyncio.get_running_loop().time()
        assert await gateway.placement.place(request(9.0)) is None
        assert asyncio.get_running_loop().time() - began_at < 0.1
        assert gateway.choice.is_fully_evacuated("s")

    play(scenario, servers=3, slots=4)


def test_a_request_that_waits_as_the_last_zone_is_emptied_waits_no_longer() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        empty(choices(fleet), "b", "c")
        await asyncio.sleep(SETTLE_S)
        await gateway.placement.place(request())
        waiting = asyncio.create_task(gateway.placement.place(request(9.0)))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        empty(choices(fleet), "a", "b", "c")
        async with asyncio.timeout(0.3):
            assert await waiting is None

    play(scenario, servers=3, slots=1)


def test_room_is_told_without_emptied_zones() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        empty(choices(fleet), "a", "b")
        await asyncio.sleep(1.0)
        room = gateway.sessions.by_group[0].picture.room("s")
        assert room is not None and (room.slots, room.free) == (4, 4)

    play(scenario, servers=3, slots=4)


def test_items_are_offered_nothing_in_emptied_zones_and_end_where_they_run() -> None:
    async def scenario(fleet: Fleet) -> None:
        slots = await fleet.items()
        put_in_zones(fleet)
        running: list[ItemSlot] = []
        left: list[HeldSlot] = []

        def take(slot: ItemSlot) -> None:
            running.append(slot)
            slots.begun(slot, PATIENT)

        def leave(slot: HeldSlot, _cause: LeaveCause) -> None:
            left.append(slot)

        slots.on_offer, slots.on_leave = take, leave
        slots.items_wait("s", ItemDemand(3, 0, PATIENT))
        await asyncio.sleep(SETTLE_S)
        assert {slot.instance_id for slot in running} == set(ZONES)
        empty(choices(fleet), "a", "b")
        slots.items_wait("s", ItemDemand(9, 0, PATIENT))
        await asyncio.sleep(SETTLE_S)
        assert {slot.instance_id for slot in running[3:]} == {"i2"}
        assert not left

    play(scenario, servers=3, slots=4)


def bear_cold(fleet: Fleet, per_s: float) -> None:
    for choice in choices(fleet):
        choice.cold.limits = {"s": ColdLimit(per_s, 6.0)}


def test_with_all_back_ends_cold_requests_wait_for_the_rate_and_are_served_by_time_alone() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        bear_cold(fleet, 2.0)
        put_in_zones(fleet, cold_for_s=6.0)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        asked = [gateway.placement.place(request(9.0)) for _ in range(6)]
        placed = await asyncio.gather(*asked)
        assert all(placed)
        # Three back ends, each 0.85 of 2 a second, of which nothing was saved.
        assert 1.0 < loop.time() - began_at < 2.0

    play(scenario, servers=3, slots=8)


def test_a_gateway_without_a_share_refuses_at_once_where_all_back_ends_are_cold() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        bear_cold(fleet, 4.0)
        gateway.choice.local_cold_shares = LocalColdShares("g1", lambda: 1)
        put_in_zones(fleet, cold_for_s=60.0)
        fleet.network.dark.add(fleet.leader.address)
        sent = 0
        for _ in range(100):
            try:
                placed = await gateway.placement.place(request(9.0))
            except NoSlotError as error:
                assert error.retry_after_s > 0
            else:
                assert placed is not None
                gateway.placement.send_finished(placed, SendResult.BACKEND_OK)
                sent += 1
            await asyncio.sleep(0.05)
        assert 0 < sent <= 3 * (5.0 * 0.4 + 1)

    play(scenario, servers=3, slots=8)


@pytest.mark.parametrize("heard", [False, True])
def test_a_zone_that_is_given_back_counts_as_cold_until_its_back_ends_have_told(
    heard: bool,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        bear_cold(fleet, 4.0)
        put_in_zones(fleet)
        now = asyncio.get_running_loop().time()
        for choice in choices(fleet):
            for zone in ZONES.values():
                choice.cold.zone_restored(zone, now, revision=50)
            for name, zone in ZONES.items():
                entry = BackendInstance(name, "s", "127.0.0.1", 1, zone, 8, True)
                choice.put(entry, now, revision=51 if heard else 49)
        assert len(gateway.choice.cold_instances(now)) == (0 if heard else 3)
        assert not gateway.choice.cold_instances(now + 3.0)

    play(scenario, servers=3, slots=8)
