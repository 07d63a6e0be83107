"""Permits under tenants' limits, with slots and alone."""

import asyncio

import pytest

from tests.slots.network import SETTLE_S, Fleet, Holder, play, request
from wharfcart.admission.tenant_limits import WINDOW_S
from wharfcart.configuration.serving import RequestLimit
from wharfcart.routing.placement import OverLimitError, SendResult
from wharfcart.slots.permits import STAND_IN_WAIT_S
from wharfcart.slots.service import RELAYS_S
from wharfcart.slots.session import GRANT_TIMEOUT_S

LIMIT = RequestLimit(4.0, 4.0)


async def send(holder: Holder, limit: RequestLimit = LIMIT, tenant: str = "t") -> None:
    """Have one request placed, answered at once."""
    placed = await holder.placement.place(request(tenant=tenant, limit=limit))
    assert placed is not None
    holder.placement.send_finished(placed, SendResult.BACKEND_OK)


async def sent(holder: Holder, most: int = 50) -> int:
    """Send until the tenant may send no more; return how many that were."""
    for count in range(most):
        try:
            await send(holder)
        except OverLimitError:
            return count
    return most


def test_a_tenant_over_its_limit_is_refused_and_others_are_not() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        assert await sent(first) == 4
        with pytest.raises(OverLimitError) as refused:
            await send(second)
        assert refused.value.is_confirmed
        assert 0.0 < refused.value.retry_after_s < 1.0
        await send(second, limit=RequestLimit(9.0, 9.0), tenant="u")
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 0

    play(scenario)


def test_a_request_that_finds_no_slot_does_not_count() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        gateway = await fleet.gateway("g1")
        taken = [await gateway.placement.place(request()) for _ in range(4)]
        for _ in range(20):
            with pytest.raises(Exception, match="no slot"):
                await gateway.placement.place(request(waits_s=0.0, tenant="t", limit=LIMIT))
        for placed in taken:
            gateway.placement.send_finished(placed, SendResult.BACKEND_OK)
        assert await sent(gateway) == 4

    play(scenario)


def test_a_new_granting_node_knows_what_was_sent() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        assert await sent(first) == 4
        fleet.change_leader()
        await asyncio.sleep(SETTLE_S)
        assert await sent(second) <= 2

    play(scenario)


def test_a_gateway_without_a_granting_node_goes_on_at_its_pace() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        for _ in range(20):
            await send(first)
            await asyncio.sleep(0.4)
        fleet.network.dark.add(fleet.leader.address)
        await asyncio.sleep(0.4)
        await send(first)
        assert await sent(second) == 0
        with pytest.raises(OverLimitError) as refused:
            await send(second)
        assert not refused.value.is_confirmed

    play(scenario)


def test_a_node_that_may_not_keep_limits_any_more_permits_nothing() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        gateway = await fleet.gateway("g1")
        await send(gateway)
        fleet.leader.unsure = True
        await asyncio.sleep(5.0)
        await send(gateway)  # its own part, and a slot all the same
        assert await sent(gateway) == 0

    play(scenario)


def test_another_node_stands_in_for_one_that_is_dark() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        fleet.stand_ins = [fleet.nodes[1]]
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        assert await sent(first) == 4
        fleet.network.dark.add(fleet.leader.address)
        began = asyncio.get_running_loop().time()
        await send(second)  # notices that the node is dark, and waits until the other one stands in
        assert asyncio.get_running_loop().time() - began < STAND_IN_WAIT_S + GRANT_TIMEOUT_S
        await asyncio.sleep(5.0)
        assert await sent(second) >= 4  # of its own it would have none
        with pytest.raises(OverLimitError) as refused:
            await send(second)
        assert refused.value.is_confirmed

    play(scenario)


def test_a_new_granting_node_takes_over_from_the_one_that_stood_in() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        fleet.stand_ins = [fleet.nodes[1]]
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        fleet.network.dark.add(fleet.leader.address)
        with pytest.raises(OverLimitError):
            await sent_all(first)
        await asyncio.sleep(6.0)
        count = 0
        for _ in range(10):  # 2.5 s at the stand-in
            count += await sent(first)
            await asyncio.sleep(0.25)
        assert count >= 10
        fleet.leader = fleet.nodes[1]
        fleet.leader.service.begin(2)
        await asyncio.sleep(SETTLE_S)
        for _ in range(8):  # 2 s at the new granting node
            count += await sent(second)
            await asyncio.sleep(0.25)
        assert 16 <= count <= LIMIT.per_s * WINDOW_S + LIMIT.burst
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 0

    play(scenario)


async def sent_all(holder: Holder) -> None:
    """Send until the tenant may send no more."""
    for _ in range(50):
        await send(holder)


def test_a_gateway_that_is_cut_off_asks_by_way_of_another_one() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        cut_off, other = await fleet.gateway("g1"), await fleet.gateway("g2")
        await asyncio.sleep(RELAYS_S)
        fleet.network.break_connection("g1", fleet.leader)
        cut_off.task.cancel()
        await asyncio.sleep(1.0)
        assert await sent(cut_off) == 4  # of its own it would have none
        with pytest.raises(OverLimitError) as refused:
            await send(other)
        assert refused.value.is_confirmed
        await asyncio.sleep(0.5)
        assert await sent(cut_off) == 2

    play(scenario)


def test_a_gateway_that_has_no_contact_either_is_no_help() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, _ = await fleet.gateway("g1"), await fleet.gateway("g2")
        await asyncio.sleep(RELAYS_S)
        fleet.network.dark.add(fleet.leader.address)
        with pytest.raises(OverLimitError) as refused:
            await send(first)
        assert not refused.value.is_confirmed

    play(scenario)
