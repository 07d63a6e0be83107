"""Gateways request slots only in a request's regions and check the grants."""

import asyncio
from dataclasses import replace

from tests.slots.network import Fleet, play, request
from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.residence import ANYWHERE, Residence, residence_in
from wharfcart.routing.eligibility import Eligibility
from wharfcart.slots.item_slots import ItemDemand
from wharfcart.slots.urgency import Urgency

WEST, EAST = residence_in(["west"]), residence_in(["east"])
TOPOLOGY = Topology({"z": RegionName("west")})


def grants_in_west(_group: int, residence: Residence) -> bool:
    return residence.allows(RegionName("west"))


def test_no_slot_is_requested_in_regions_without_granting_node() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        gateway.sessions._grants_in = grants_in_west
        gateway.selector.eligibility = Eligibility(TOPOLOGY)
        assert list(gateway.sessions.available_capacities("s", WEST)) == [0]
        assert list(gateway.sessions.available_capacities("s", ANYWHERE)) == [0]
        assert gateway.sessions.available_capacities("s", EAST) == {}
        began_at = asyncio.get_running_loop().time()
        assert await gateway.placement.place(request(residence=EAST)) is None
        assert asyncio.get_running_loop().time() == began_at
        placed = await gateway.placement.place(request(residence=WEST))
        assert placed is not None

    play(scenario)


def test_gateway_releases_grant_of_back_end_outside_the_residence() -> None:
    """Settings of the gateway and the granting node may differ in the zone's region."""

    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        for node in fleet.nodes:
            node.selector.eligibility = Eligibility(TOPOLOGY)
        gateway.selector.eligibility = Eligibility(Topology({"z": RegionName("east")}))
        assert await gateway.placement.place(request(residence=WEST)) is None
        await asyncio.sleep(0.2)
        assert fleet.in_use() == 0

    play(scenario)


def test_demand_is_reported_by_residence_to_groups_that_grant_there() -> None:
    async def scenario(fleet: Fleet) -> None:
        for node in fleet.nodes:
            node.selector.eligibility = Eligibility(TOPOLOGY)
        slots = await fleet.items()
        slots.sessions._grants_in = grants_in_west
        offered: list[str] = []
        slots.on_offer = lambda slot: offered.append(slot.instance_id)
        demand = ItemDemand(2, 0, Urgency(15.0, 4.0))
        slots.report_demand("s", demand, EAST)
        await asyncio.sleep(0.2)
        assert offered == []
        assert slots._reported == {}
        slots.report_demand("s", demand, WEST)
        await asyncio.sleep(0.2)
        assert len(offered) == 2
        # Offers are counted by residence, so the third item is an additional one.
        slots.report_demand("s", replace(demand, count=1), WEST)
        await asyncio.sleep(0.2)
        assert len(offered) == 3

    play(scenario)
