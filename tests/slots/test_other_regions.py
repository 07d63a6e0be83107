"""Slots over several regions: snapshots, timeouts and the division of items."""

import asyncio

from tests.slots.network import Fleet, play, request
from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.eligibility import Eligibility
from wharfcart.slots.item_slots import divide_items
from wharfcart.slots.service import OTHER_REGION_SNAPSHOT_INTERVAL_S
from wharfcart.slots.session import GRANT_TIMEOUT_S
from wharfcart.slots.snapshot import BackendLoad, ServiceCapacity, SlotSnapshot

INTER_REGION_ONE_WAY_S = 0.025


def test_a_grant_from_another_region_comes_in_time_once_its_distance_is_known() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1", "far")
        network = fleet.network
        network.one_way_s = INTER_REGION_ONE_WAY_S
        assert 2 * INTER_REGION_ONE_WAY_S > GRANT_TIMEOUT_S
        placed = await gateway.placement.place(request())
        assert placed is not None and not placed.granted
        await asyncio.sleep(1.0)
        network.round_trip_s = 2 * INTER_REGION_ONE_WAY_S
        placed = await gateway.placement.place(request())
        assert placed is not None and placed.granted

    play(scenario)


def test_holders_in_other_region_receive_snapshots_rarely_and_not_on_each_change() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.gateway("near")
        await fleet.gateway("far", "far-away")
        await asyncio.sleep(1.0)
        before = fleet.network.snapshots_by_holder.copy()
        for n in range(5):
            state = fleet.leader.selector.state(f"i{n % 2}")
            assert state is not None
            fleet.leader.selector.record_failure(state, asyncio.get_running_loop().time())
            await asyncio.sleep(2 * OTHER_REGION_SNAPSHOT_INTERVAL_S / 5)
        received = fleet.network.snapshots_by_holder - before
        assert received["far"] <= 3
        assert received["near"] >= 8

    play(scenario)


def test_snapshot_for_other_region_lists_only_avoided_back_ends() -> None:
    capacity = ServiceCapacity("s", 8, 3)
    snapshot = SlotSnapshot((BackendLoad("a", 5), BackendLoad("b", 1, avoided=True)), (capacity,))
    reduced = snapshot.for_other_region()
    assert [load.instance_id for load in reduced.backends] == ["b"]
    assert reduced.capacity_for("s") == capacity


def test_items_run_in_other_region_only_when_their_own_is_full() -> None:
    capacities = {
        0: ServiceCapacity("s", 8, 4),
        1: ServiceCapacity("s", 8, 8),
        2: ServiceCapacity("s", 8, 0),
    }
    assert divide_items(4, capacities, remote=(1, 2)) == {0: 4, 1: 0, 2: 0}
    assert divide_items(10, capacities, remote=(1, 2)) == {0: 10, 1: 6, 2: 0}
    assert divide_items(40, capacities, remote=(1, 2)) == {0: 40, 1: 8, 2: 0}


def test_items_of_region_without_back_ends_run_in_other_region() -> None:
    capacities = {1: ServiceCapacity("s", 8, 0), 2: ServiceCapacity("s", 8, 0)}
    assert divide_items(4, capacities, remote=(1, 2)) == {1: 2, 2: 2}


def test_local_choice_uses_other_region_only_when_own_region_is_full() -> None:
    async def scenario(fleet: Fleet) -> None:
        selector = fleet.new_selector("near-1")
        west, east = RegionName("west"), RegionName("east")
        topology = Topology({"near-1": west, "near-2": west, "far": east})
        selector.eligibility = Eligibility(topology)
        for zone in ("near-2", "far"):
            selector.put(BackendInstance(zone, "t", "127.0.0.1", 1, zone, 4, True))
        now = asyncio.get_running_loop().time()
        selected = []
        for _ in range(6):
            state = selector.select("t", now)
            assert state is not None
            selector.record_sent(state, now)
            selected.append(state.instance.instance_id)
        assert selected[:4] == ["near-2"] * 4
        assert "far" in selected[4:]

    play(scenario)


def test_granting_node_prefers_back_ends_in_the_region_of_the_gateway() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1", "west")
        topology = Topology({"west": RegionName("west"), "east": RegionName("east")})
        for backend_selector in (fleet.leader.selector, gateway.selector):
            backend_selector.eligibility = Eligibility(topology)
            for name, zone in (("a", "east"), ("b", "west")):
                backend_selector.put(BackendInstance(name, "t", "127.0.0.1", 1, zone, 4, True))
        await asyncio.sleep(1.5)  # the next snapshot includes the new service
        placed = [await gateway.placement.place(request(service="t")) for _ in range(5)]
        names = [
            placed_request.state.instance.instance_id
            for placed_request in placed
            if placed_request is not None
        ]
        assert names.count("b") == 4

    play(scenario)
