"""Permits for tenants' requests from coordinators, backups, relays and local shares."""

import asyncio

import pytest

from tests.slots.network import SETTLE_S, Fleet, Holder, play, request
from wharfcart.admission.tenant_limits import WINDOW_S
from wharfcart.cluster.messages_pb2 import (
    Frame,
    OpenSlotSession,
    PermitAnswer,
    PermitRequest,
    TenantSend,
)
from wharfcart.configuration.serving import RequestLimit
from wharfcart.routing.placement import OverLimitError, SendResult
from wharfcart.slots.permits import BACKUP_WAIT_S
from wharfcart.slots.service import RELAYS_INTERVAL_S, SlotService
from wharfcart.slots.session import GRANT_TIMEOUT_S

LIMIT = RequestLimit(4.0, 4.0)


async def send(holder: Holder, limit: RequestLimit = LIMIT, tenant: str = "t") -> None:
    """Place one request that finishes at once."""
    placed = await holder.placement.place(request(tenant=tenant, limit=limit))
    assert placed is not None
    holder.placement.send_finished(placed, SendResult.BACKEND_OK)


async def send_until_refused(holder: Holder, max_sends: int = 50) -> int:
    """Send requests until one is refused; return the number of permitted ones."""
    for count in range(max_sends):
        try:
            await send(holder)
        except OverLimitError:
            return count
    return max_sends


def test_a_tenant_over_its_limit_is_refused_and_others_are_not() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        assert await send_until_refused(first) == 4
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
        assert await send_until_refused(gateway) == 4

    play(scenario)


def test_a_new_granting_node_knows_what_was_sent() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        assert await send_until_refused(first) == 4
        fleet.change_leader()
        await asyncio.sleep(SETTLE_S)
        assert await send_until_refused(second) <= 2

    play(scenario)


def test_disconnected_gateway_keeps_sending_at_its_recent_rate() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        for _ in range(20):
            await send(first)
            await asyncio.sleep(0.4)
        fleet.network.unreachable.add(fleet.leader.address)
        await asyncio.sleep(0.4)
        await send(first)
        assert await send_until_refused(second) == 0
        with pytest.raises(OverLimitError) as refused:
            await send(second)
        assert not refused.value.is_confirmed

    play(scenario)


def test_node_without_confirmed_leadership_grants_no_permits() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        gateway = await fleet.gateway("g1")
        await send(gateway)
        fleet.leader.leadership_unconfirmed = True
        await asyncio.sleep(5.0)
        await send(gateway)  # permitted by the local share; the slot is granted
        assert await send_until_refused(gateway) == 0

    play(scenario)


def test_backup_coordinator_takes_over_for_an_unreachable_node() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        fleet.backups = [fleet.nodes[1]]
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        assert await send_until_refused(first) == 4
        fleet.network.unreachable.add(fleet.leader.address)
        began_at = asyncio.get_running_loop().time()
        await send(second)  # times out at the coordinator, then waits for the backup
        assert asyncio.get_running_loop().time() - began_at < BACKUP_WAIT_S + GRANT_TIMEOUT_S
        await asyncio.sleep(5.0)
        assert await send_until_refused(second) >= 4  # its local share is 0
        with pytest.raises(OverLimitError) as refused:
            await send(second)
        assert refused.value.is_confirmed

    play(scenario)


def test_new_granting_node_takes_over_from_the_backup_coordinator() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        fleet.backups = [fleet.nodes[1]]
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        fleet.network.unreachable.add(fleet.leader.address)
        with pytest.raises(OverLimitError):
            await send_until_error(first)
        await asyncio.sleep(6.0)
        count = 0
        for _ in range(10):  # 2.5 s at the backup coordinator
            count += await send_until_refused(first)
            await asyncio.sleep(0.25)
        assert count >= 10
        fleet.leader = fleet.nodes[1]
        fleet.leader.service.begin(2)
        await asyncio.sleep(SETTLE_S)
        for _ in range(8):  # 2 s at the new granting node
            count += await send_until_refused(second)
            await asyncio.sleep(0.25)
        assert 16 <= count <= LIMIT.requests_per_s * WINDOW_S + LIMIT.burst
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 0

    play(scenario)


async def send_until_error(holder: Holder) -> None:
    """Send requests until one is refused, and raise the refusal."""
    for _ in range(50):
        await send(holder)


def test_disconnected_gateway_obtains_permits_through_a_relay() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        disconnected, other = await fleet.gateway("g1"), await fleet.gateway("g2")
        await asyncio.sleep(RELAYS_INTERVAL_S)
        fleet.network.break_connection("g1", fleet.leader)
        disconnected.task.cancel()
        await asyncio.sleep(1.0)
        assert await send_until_refused(disconnected) == 4  # its local share is 0
        with pytest.raises(OverLimitError) as refused:
            await send(other)
        assert refused.value.is_confirmed
        await asyncio.sleep(0.5)
        assert await send_until_refused(disconnected) == 2

    play(scenario)


def test_relay_without_contact_does_not_help() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        first, _ = await fleet.gateway("g1"), await fleet.gateway("g2")
        await asyncio.sleep(RELAYS_INTERVAL_S)
        fleet.network.unreachable.add(fleet.leader.address)
        with pytest.raises(OverLimitError) as refused:
            await send(first)
        assert not refused.value.is_confirmed

    play(scenario)


class PermitOnlyHolder:
    """A gateway with sessions at a backup coordinator, one connection each."""

    def __init__(self, service: SlotService) -> None:
        self._service = service

    def open(self, session: int, sends: int = 0) -> "asyncio.Task[None]":
        """Open a session; cancelling the task closes its connection at the node."""
        message = OpenSlotSession(
            holder="g1",
            session=session,
            limits_only=True,
            sends=[TenantSend(tenant="t", age_ms=0)] * sends,
        )
        return asyncio.create_task(self._service.serve_session(message, self._ignore))

    async def permitted(self, session: int, seconds: float) -> int:
        """Return how many requests are permitted in a time."""
        answers: list[PermitAnswer] = []

        async def respond(frame: Frame) -> None:
            answers.append(frame.permit_answer)

        request = PermitRequest(holder="g1", session=session, tenant="t")
        for _ in range(round(seconds / 0.1)):
            await self._service.serve_permit(request, respond)
            await asyncio.sleep(0.1)
        return sum(answer.permitted for answer in answers)

    async def _ignore(self, _frame: Frame) -> None:
        return


def test_a_connection_lost_late_does_not_reserve_requests_for_a_connected_gateway() -> None:
    """Guards against refused requests: a backup takes the gateway for lost for 23 s."""

    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        gateway = PermitOnlyHolder(fleet.nodes[1].service)
        earlier = gateway.open(1)
        await asyncio.sleep(SETTLE_S)
        await gateway.permitted(1, 10.0)
        gateway.open(2)
        await asyncio.sleep(SETTLE_S)
        earlier.cancel()
        await asyncio.sleep(SETTLE_S)
        assert await gateway.permitted(2, 10.0) >= 10.0 * LIMIT.requests_per_s - 1

    play(scenario)


def test_a_permit_only_session_ends_with_its_coordinator() -> None:
    """Guards against permits of a new granting node that may not lead yet."""

    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        node = fleet.nodes[1]
        gateway = PermitOnlyHolder(node.service)
        gateway.open(1)
        await asyncio.sleep(SETTLE_S)
        node.leadership_unconfirmed = True
        node.service.begin(2)
        assert await gateway.permitted(1, 0.1) == 0

    play(scenario)


def test_a_permit_of_an_earlier_session_does_not_count() -> None:
    """Guards against an exceeded limit: the session's coordinator does not know of the permit."""

    async def scenario(fleet: Fleet) -> None:
        fleet.limits["t"] = LIMIT
        gateway = await fleet.gateway("g1")
        session = gateway.sessions.by_group[0]
        fleet.network.one_way_s = 0.3
        fleet.network.round_trip_s = 0.6
        earlier = session.key
        asked = asyncio.create_task(session.request_permit("t"))
        await asyncio.sleep(0.31)  # permitted; the answer arrives after the next session has begun
        fleet.leader = fleet.nodes[1]
        fleet.leader.service.begin(2)
        answer = await asked
        assert earlier.precedes(session.key)
        assert answer is None

    play(scenario)
