"""Evacuated zones get no new work by grants, offers or local choice."""

import asyncio
from collections.abc import Iterable

import pytest

from tests.slots.network import SETTLE_S, Fleet, play, request
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.cold_backends import LocalColdShares
from wharfcart.routing.placement import NoSlotError, PlacementDecision, SendResult
from wharfcart.slots.events import PreemptionCause
from wharfcart.slots.item_slots import ItemDemand, ItemSlot
from wharfcart.slots.session import HeldSlot
from wharfcart.slots.urgency import Urgency

PATIENT = Urgency(until_due_s=15.0, remaining_s=4.0)
ZONES = {"i0": "a", "i1": "b", "i2": "c"}


def selectors(fleet: Fleet) -> list[BackendSelector]:
    return [
        *(node.selector for node in fleet.nodes),
        *(holder.selector for holder in fleet.holders.values()),
    ]


def put_in_zones(fleet: Fleet, cold_for_s: float = 0.0) -> None:
    now = asyncio.get_running_loop().time()
    for selector in selectors(fleet):
        for name, zone in ZONES.items():
            entry = BackendInstance(name, "s", "127.0.0.1", 1, zone, fleet.slots, True, cold_for_s)
            selector.put(entry, now)


def evacuate_zones(known_to: Iterable[BackendSelector], *zones: str) -> None:
    for selector in known_to:
        selector.eligibility.evacuated_zones = frozenset(zones)


def instance_id_of(placed: PlacementDecision | None) -> str:
    return "" if placed is None else placed.state.instance.instance_id


async def placed_instances(fleet: Fleet, count: int) -> set[str]:
    gateway = fleet.holders["g1"]
    return {instance_id_of(await gateway.placement.place(request(0.3))) for _ in range(count)}


def test_slots_are_granted_in_evacuated_zones_only_after_they_are_restored() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.gateway("g1")
        put_in_zones(fleet)
        evacuate_zones(selectors(fleet), "a", "b")
        await asyncio.sleep(SETTLE_S)
        assert await placed_instances(fleet, 4) == {"i2"}
        evacuate_zones(selectors(fleet), "b", "c")
        await asyncio.sleep(SETTLE_S)
        assert await placed_instances(fleet, 4) == {"i0"}

    play(scenario, servers=3, slots=4)


def test_gateway_releases_grant_in_zone_that_only_it_knows_is_evacuated() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        evacuate_zones([gateway.selector], "a", "b")
        assert await placed_instances(fleet, 4) == {"i2"}
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 4

    play(scenario, servers=3, slots=8)


def test_local_choice_excludes_evacuated_zones() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.gateway("g1")
        put_in_zones(fleet)
        evacuate_zones(selectors(fleet), "a", "b")
        fleet.network.unreachable.add(fleet.leader.address)
        assert await placed_instances(fleet, 4) == {"i2"}

    play(scenario, servers=3, slots=4)


def test_shared_prompt_moves_out_of_an_evacuated_zone() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        first = await gateway.placement.place(request(affinity_key="k"))
        assert first is not None
        evacuate_zones(selectors(fleet), first.state.instance.zone)
        await asyncio.sleep(SETTLE_S)
        second = await gateway.placement.place(request(affinity_key="k"))
        assert second is not None and second.state is not first.state

    play(scenario, servers=3, slots=4)


def test_missing_back_ends_count_only_outside_evacuated_zones() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        now = asyncio.get_running_loop().time()
        for name in ZONES:
            gateway.selector.remove(name, now, in_outage=True)
        fleet.network.unreachable.add(fleet.leader.address)
        evacuate_zones([gateway.selector], "a", "b")
        assert await placed_instances(fleet, 4) == {"i2"}

    play(scenario, servers=3, slots=4)


def test_request_is_refused_at_once_when_all_zones_are_evacuated() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        evacuate_zones(selectors(fleet), "a", "b", "c")
        await asyncio.sleep(SETTLE_S)
        began_at = asyncio.get_running_loop().time()
        assert await gateway.placement.place(request(9.0)) is None
        assert asyncio.get_running_loop().time() - began_at < 0.1
        assert gateway.selector.is_fully_evacuated("s")

    play(scenario, servers=3, slots=4)


def test_waiting_request_fails_when_the_last_zone_is_evacuated() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        evacuate_zones(selectors(fleet), "b", "c")
        await asyncio.sleep(SETTLE_S)
        await gateway.placement.place(request())
        waiting = asyncio.create_task(gateway.placement.place(request(9.0)))
        await asyncio.sleep(0.5)
        assert not waiting.done()
        evacuate_zones(selectors(fleet), "a", "b", "c")
        async with asyncio.timeout(0.3):
            assert await waiting is None

    play(scenario, servers=3, slots=1)


def test_reported_capacity_excludes_evacuated_zones() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        put_in_zones(fleet)
        evacuate_zones(selectors(fleet), "a", "b")
        await asyncio.sleep(1.0)
        capacity = gateway.sessions.by_group[0].snapshot.capacity_for("s")
        assert capacity is not None and (capacity.slots, capacity.free) == (4, 4)

    play(scenario, servers=3, slots=4)


def test_items_get_no_offers_in_evacuated_zones_and_running_ones_finish() -> None:
    async def scenario(fleet: Fleet) -> None:
        slots = await fleet.items()
        put_in_zones(fleet)
        running: list[ItemSlot] = []
        preempted: list[HeldSlot] = []

        def start(slot: ItemSlot) -> None:
            running.append(slot)
            slots.report_started(slot, PATIENT)

        def stop(slot: HeldSlot, _cause: PreemptionCause) -> None:
            preempted.append(slot)

        slots.on_offer, slots.on_preempted = start, stop
        slots.report_demand("s", ItemDemand(3, 0, PATIENT))
        await asyncio.sleep(SETTLE_S)
        assert {slot.instance_id for slot in running} == set(ZONES)
        evacuate_zones(selectors(fleet), "a", "b")
        slots.report_demand("s", ItemDemand(9, 0, PATIENT))
        await asyncio.sleep(SETTLE_S)
        assert {slot.instance_id for slot in running[3:]} == {"i2"}
        assert not preempted

    play(scenario, servers=3, slots=4)


def set_cold_limit(fleet: Fleet, per_s: float) -> None:
    for selector in selectors(fleet):
        selector.cold.limits = {"s": ColdLimit(per_s, 6.0)}


def test_requests_wait_for_the_cold_rate_when_all_back_ends_are_cold() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        set_cold_limit(fleet, 2.0)
        put_in_zones(fleet, cold_for_s=6.0)
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        placements = [gateway.placement.place(request(9.0)) for _ in range(6)]
        placed = await asyncio.gather(*placements)
        assert all(placed)
        # Three back ends at 0.85 of 2 requests per second each, starting with empty buckets.
        assert 1.0 < loop.time() - began_at < 2.0

    play(scenario, servers=3, slots=8)


def test_disconnected_gateway_refuses_requests_beyond_its_cold_share() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        set_cold_limit(fleet, 4.0)
        gateway.selector.local_cold_shares = LocalColdShares("g1", lambda: 1)
        put_in_zones(fleet, cold_for_s=60.0)
        fleet.network.unreachable.add(fleet.leader.address)
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


@pytest.mark.parametrize("reported", [False, True])
def test_restored_zone_counts_as_cold_until_its_back_ends_report(
    reported: bool,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        set_cold_limit(fleet, 4.0)
        put_in_zones(fleet)
        now = asyncio.get_running_loop().time()
        for backend_selector in selectors(fleet):
            for zone in ZONES.values():
                backend_selector.cold.zone_restored(zone, now, revision=50)
            for name, zone in ZONES.items():
                entry = BackendInstance(name, "s", "127.0.0.1", 1, zone, 8, True)
                backend_selector.put(entry, now, revision=51 if reported else 49)
        assert len(gateway.selector.cold_instances(now)) == (0 if reported else 3)
        assert not gateway.selector.cold_instances(now + 3.0)

    play(scenario, servers=3, slots=8)
