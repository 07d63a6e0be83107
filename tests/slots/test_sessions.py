"""Slot sessions of gateways and leaders with granting nodes over an unreliable network."""

import asyncio
from random import Random
from typing import Any

import pytest

from tests.slots.network import ONE_WAY_S, SETTLE_S, Fleet, Holder, play, request
from wharfcart.cluster.messages_pb2 import (
    Frame,
    OpenSlotSession,
    PermitRequest,
    SlotEvent,
    SlotEvents,
    SlotRelease,
    SlotRequest,
    SlotUse,
)
from wharfcart.routing.placement import NoSlotError, PlacementDecision, SendResult
from wharfcart.slots.events import PreemptionCause, session_number
from wharfcart.slots.item_slots import ItemDemand, ItemSlot, ItemSlots
from wharfcart.slots.service import MAX_SNAPSHOTS_PER_SECOND
from wharfcart.slots.session import (
    GRANT_TIMEOUT_S,
    PAUSE_AFTER_TIMEOUT_S,
    HeldSlot,
    SlotSession,
)
from wharfcart.slots.sessions import SlotSessions
from wharfcart.slots.urgency import Urgency

PATIENT = Urgency(until_due_s=15.0, remaining_s=4.0)


def instance_id_of(placed: PlacementDecision | None) -> str:
    assert placed is not None
    return placed.state.instance.instance_id


def test_gateway_uses_and_releases_a_granted_slot() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        placed = [await gateway.placement.place(request()) for _ in range(4)]
        assert sorted(map(instance_id_of, placed)) == ["i0", "i0", "i1", "i1"]
        assert fleet.in_use() == 4
        for placed_request in placed:
            gateway.placement.send_finished(placed_request, SendResult.BACKEND_OK)
        await asyncio.sleep(2 * ONE_WAY_S)
        assert fleet.in_use() == 0

    play(scenario)


def test_gateway_reuses_back_ends_with_an_open_connection() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        gateway.connected = {"i3", "gone"}
        placed = [await gateway.placement.place(request()) for _ in range(2)]
        assert set(map(instance_id_of, placed)) == {"i3"}

    play(scenario, servers=4, slots=8)


def test_gateway_waits_while_heartbeats_arrive() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        first = await gateway.placement.place(request())
        waiting = asyncio.create_task(gateway.placement.place(request()))
        await asyncio.sleep(1.0)
        assert not waiting.done()
        gateway.placement.send_finished(first, SendResult.BACKEND_OK)
        assert instance_id_of(await waiting) == "i0"
        assert fleet.in_use() == 1

    play(scenario, servers=1, slots=1)


def test_refusal_has_retry_after() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        await gateway.placement.place(request())
        with pytest.raises(NoSlotError) as raised:
            await gateway.placement.place(request(waits_s=0.3))
        assert raised.value.retry_after_s > 0
        assert fleet.in_use() == 1

    play(scenario, servers=1, slots=1)


def test_cancelled_waiting_request_takes_no_slot() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        first = await gateway.placement.place(request())
        waiting = asyncio.create_task(gateway.placement.place(request()))
        await asyncio.sleep(0.5)
        waiting.cancel()
        await asyncio.sleep(0.1)
        gateway.placement.send_finished(first, SendResult.BACKEND_OK)
        await asyncio.sleep(0.1)
        assert fleet.in_use() == 0

    play(scenario, servers=1, slots=1)


def test_gateway_without_response_chooses_locally_and_pauses_requests() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        fleet.network.unreachable.add(fleet.leader.address)
        began_at = asyncio.get_running_loop().time()
        for _ in range(5):
            assert instance_id_of(await gateway.placement.place(request()))
        assert asyncio.get_running_loop().time() - began_at < 2 * GRANT_TIMEOUT_S

    play(scenario)


def test_gateway_stops_waiting_for_an_unresponsive_node() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        await gateway.placement.place(request())
        waiting = asyncio.create_task(gateway.placement.place(request()))
        await asyncio.sleep(0.5)
        fleet.network.unreachable.add(fleet.leader.address)
        async with asyncio.timeout(0.5):
            assert instance_id_of(await waiting) == "i0"

    play(scenario, servers=1, slots=1)


def test_waiting_requests_leave_a_node_that_stopped_granting() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        await gateway.placement.place(request())
        waiting = asyncio.create_task(gateway.placement.place(request()))
        await asyncio.sleep(0.5)
        fleet.change_leader()
        async with asyncio.timeout(0.5):
            assert instance_id_of(await waiting) == "i0"

    play(scenario, servers=1, slots=1)


def test_grant_of_a_removed_back_end_is_released() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        gateway.selector.remove("i0", 0.0, drained=True)
        placed = [await gateway.placement.place(request()) for _ in range(2)]
        assert list(map(instance_id_of, placed)) == ["i1", "i1"]
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 2

    play(scenario)


def test_slots_taken_without_granting_node_are_reported_on_reconnect() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        fleet.network.unreachable.add(fleet.leader.address)
        fleet.network.break_connection("g1", fleet.leader)
        await asyncio.sleep(0.1)
        placed = await gateway.placement.place(request())
        fleet.network.unreachable.clear()
        await asyncio.sleep(1.0)
        assert fleet.in_use() == 1
        gateway.placement.send_finished(placed, SendResult.BACKEND_OK)
        await asyncio.sleep(0.1)
        assert fleet.in_use() == 0

    play(scenario)


def test_slots_of_a_killed_gateway_are_free_within_half_a_second() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        await gateway.placement.place(request())
        other = await fleet.gateway("g2")
        waiting = asyncio.create_task(other.placement.place(request()))
        await asyncio.sleep(0.1)
        gateway.task.cancel()
        fleet.network.break_connection("g1", fleet.leader)
        async with asyncio.timeout(0.5):
            assert instance_id_of(await waiting) == "i0"

    play(scenario, servers=1, slots=1)


def test_gateway_reports_its_slots_after_a_broken_connection() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        placed = [await gateway.placement.place(request()) for _ in range(3)]
        fleet.network.break_connection("g1", fleet.leader)
        gateway.placement.send_finished(placed[0], SendResult.BACKEND_OK)
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 2

    play(scenario)


def test_lost_connection_unnoticed_by_the_node_does_not_count_slots_twice() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        await gateway.placement.place(request())
        fleet.network.break_connection("g1", fleet.leader, notify_node=False)
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 1

    play(scenario)


@pytest.mark.parametrize("limits_only", [False, True])
def test_a_late_or_repeated_opening_does_not_replace_a_session(limits_only: bool) -> None:
    """Guards against slots granted twice: the node forgets what the gateway holds for a second."""

    async def scenario(fleet: Fleet) -> None:
        service = fleet.nodes[1 if limits_only else 0].service
        refused: list[int] = []

        def opening(holder: str, session: int, *instance_ids: str) -> "asyncio.Task[None]":
            async def respond(frame: Frame) -> None:
                if frame.slot_news.refused:
                    refused.append(session)

            uses = [SlotUse(number=n, instance_id=used) for n, used in enumerate(instance_ids)]
            message = OpenSlotSession(
                holder=holder, session=session, uses=uses, limits_only=limits_only
            )
            return asyncio.create_task(service.serve_session(message, respond))

        first = session_number(7, 1)
        opening("g1", first + 1, "i0", "i1")
        await asyncio.sleep(SETTLE_S)
        late, repeated = opening("g1", first, "i0"), opening("g1", first + 1)
        opening("g2", first, "i0")
        await asyncio.wait((late, repeated), timeout=1.0)
        assert refused == [first, first + 1]
        assert fleet.in_use() == (0 if limits_only else 3)
        restarted = session_number(6, 1)
        opening("g1", restarted)
        await asyncio.sleep(SETTLE_S)
        assert restarted not in refused
        assert fleet.in_use() == (0 if limits_only else 1)

    play(scenario)


def test_each_opening_of_a_gateway_has_a_higher_number() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        earlier = gateway.sessions.by_group[0].key
        fleet.network.break_connection("g1", fleet.leader)
        await asyncio.sleep(SETTLE_S)
        later = gateway.sessions.by_group[0].key
        assert earlier.precedes(later)
        assert not later.precedes(earlier)

    play(scenario)


def test_next_granting_node_knows_all_slots_within_a_fraction_of_a_second() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateways = [await fleet.gateway(f"g{n}") for n in range(3)]
        for gateway in gateways:
            await gateway.placement.place(request())
        fleet.change_leader()
        await asyncio.sleep(0.4)
        assert fleet.in_use() == 3
        assert instance_id_of(await gateways[0].placement.place(request()))
        assert fleet.in_use() == 4

    play(scenario)


def test_node_with_stale_leadership_does_no_harm() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        old = fleet.leader
        fleet.leader = fleet.nodes[1]
        fleet.leader.service.begin(2)
        await asyncio.sleep(0.4)
        placed = await gateway.placement.place(request())
        assert fleet.in_use() == 1
        assert old.service.granter.snapshot(0.0).holders == 0
        gateway.placement.send_finished(placed, SendResult.BACKEND_OK)

    play(scenario)


def test_late_grant_is_released() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        placing = asyncio.create_task(gateway.placement.place(request()))
        await asyncio.sleep(1.5 * ONE_WAY_S)
        fleet.network.unreachable.add(fleet.leader.address)
        placed = await placing
        fleet.network.unreachable.clear()
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 1, "only the local choice counts, not the late grant"
        gateway.placement.send_finished(placed, SendResult.BACKEND_OK)
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 0

    play(scenario)


def test_back_end_unresponsive_to_one_gateway_is_avoided_by_all() -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        loop = asyncio.get_running_loop()
        first.selector.record_sent(first.selector.state("i0"), loop.time() - 1.0)
        await asyncio.sleep(0.1)
        placed = [await second.placement.place(request()) for _ in range(2)]
        assert list(map(instance_id_of, placed)) == ["i1", "i1"]
        # A newly avoided back end triggers the next snapshot.
        await asyncio.sleep(0.1)
        assert second.selector.state("i0").should_avoid(loop.time())

    play(scenario)


def test_run_results_reach_all_gateways() -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second = await fleet.gateway("g1"), await fleet.gateway("g2")
        for _ in range(2):
            placed = await first.placement.place(request(excluded=frozenset({"i1"})))
            first.placement.send_finished(placed, SendResult.BACKEND_FAILED)
        await asyncio.sleep(0.1)
        assert second.selector.state("i0").should_avoid(asyncio.get_running_loop().time())

    play(scenario)


def test_snapshot_rate_is_bounded_for_any_number_of_holders() -> None:
    async def scenario(fleet: Fleet) -> None:
        for number in range(250):
            fleet.holders[f"g{number}"] = Holder(fleet, f"g{number}")
        await asyncio.sleep(2.0)
        before = fleet.network.snapshots
        await asyncio.sleep(5.0)
        rate = (fleet.network.snapshots - before) / 5.0
        assert MAX_SNAPSHOTS_PER_SECOND / 2 < rate < MAX_SNAPSHOTS_PER_SECOND * 1.05

    play(scenario)


def test_holders_in_other_zones_receive_snapshots_less_often() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.gateway("near")
        await fleet.gateway("far", zone="y")
        before = dict(fleet.network.snapshots_by_holder)
        await asyncio.sleep(10.0)
        received = {
            name: count - before[name] for name, count in fleet.network.snapshots_by_holder.items()
        }
        assert received["near"] > 3 * received["far"]
        assert received["far"] >= 9

    play(scenario)


class Items:
    """Batch items that run until they are preempted."""

    def __init__(self, slots: ItemSlots, waiting: int) -> None:
        self.slots = slots
        self.waiting = waiting
        self.running: dict[tuple[int, int], ItemSlot] = {}
        slots.on_offer = self._take
        slots.on_preempted = self._stop

    def send_demand(self) -> None:
        self.slots.report_demand("s", ItemDemand(self.waiting, 0, PATIENT))

    def _take(self, slot: ItemSlot) -> None:
        if not self.waiting:
            self.slots.release(slot)
            return
        self.waiting -= 1
        self.running[slot.group, slot.number] = slot
        self.slots.report_started(slot, PATIENT)

    def _stop(self, slot: HeldSlot, _cause: PreemptionCause) -> None:
        if self.running.pop((slot.group, slot.number), None) is not None:
            self.waiting += 1
            self.slots.release(slot)


def test_items_are_offered_slots_and_preempted() -> None:
    async def scenario(fleet: Fleet) -> None:
        items = Items(await fleet.items(), 9)
        gateway = await fleet.gateway("g1")
        items.send_demand()
        await asyncio.sleep(0.1)
        assert len(items.running) == 4
        assert instance_id_of(await gateway.placement.place(request()))
        await asyncio.sleep(0.01)
        assert len(items.running) == 3
        assert fleet.in_use() == 4

    play(scenario)


def test_items_keep_running_under_the_next_granting_node() -> None:
    async def scenario(fleet: Fleet) -> None:
        items = Items(await fleet.items(), 3)
        gateway = await fleet.gateway("g1")
        items.send_demand()
        await asyncio.sleep(0.1)
        fleet.change_leader()
        await asyncio.sleep(0.4)
        items.send_demand()
        await asyncio.sleep(0.1)
        assert len(items.running) == 3
        assert fleet.in_use() == 3
        for _ in range(2):
            await gateway.placement.place(request())
        await asyncio.sleep(0.01)
        assert len(items.running) == 2

    play(scenario)


def test_surplus_offers_are_released() -> None:
    async def scenario(fleet: Fleet) -> None:
        items = Items(await fleet.items(), 2)
        items.send_demand()
        items.waiting = 1
        await asyncio.sleep(0.1)
        assert len(items.running) == 1
        assert fleet.in_use() == 1

    play(scenario)


def test_slots_of_a_killed_leader_are_freed() -> None:
    async def scenario(fleet: Fleet) -> None:
        items = Items(await fleet.items(), 3)
        items.send_demand()
        await asyncio.sleep(0.1)
        assert fleet.in_use() == 3
        fleet.holders["leader/0"].task.cancel()
        fleet.network.break_connection("leader/0", fleet.leader)
        await asyncio.sleep(0.1)
        assert fleet.in_use() == 0

    play(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_granting_node_knows_taken_slots_after_random_faults(seed: int) -> None:
    rng = Random(seed)

    async def run_gateway(
        fleet: Fleet, name: str, held: list[PlacementDecision], until: float
    ) -> None:
        holder = fleet.holders[name]
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(rng.uniform(0.001, 0.05))
            if held and rng.random() < 0.5:
                held.remove(released := rng.choice(held))
                holder.placement.send_finished(released, rng.choice(list(SendResult)[:2]))
                continue
            try:
                placed = await holder.placement.place(request(waits_s=0.2))
            except NoSlotError:
                continue
            if placed is not None:
                held.append(placed)

    async def inject_faults(fleet: Fleet, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until - PAUSE_AFTER_TIMEOUT_S:
            await asyncio.sleep(rng.uniform(0.05, 0.6))
            name = rng.choice(list(fleet.holders))
            match rng.randrange(4):
                case 0:
                    fleet.network.break_connection(name, fleet.leader)
                case 1:
                    fleet.network.break_connection(name, fleet.leader, notify_node=False)
                case 2:
                    fleet.change_leader()
                case 3:
                    fleet.network.unreachable.add(fleet.leader.address)
                    await asyncio.sleep(rng.uniform(0.01, 0.1))
                    fleet.network.unreachable.clear()

    async def scenario(fleet: Fleet) -> None:
        held: dict[str, list[PlacementDecision]] = {}
        for n in range(4):
            await fleet.gateway(f"g{n}")
            held[f"g{n}"] = []
        until = asyncio.get_running_loop().time() + 10.0
        work = [run_gateway(fleet, name, taken, until) for name, taken in held.items()]
        await asyncio.gather(*work, inject_faults(fleet, until))
        await asyncio.sleep(3.0)
        for name, taken in held.items():
            session = fleet.holders[name].sessions.by_group[0]
            assert session.is_open
            assert len(session.uses) == len(taken)
        assert fleet.in_use() == sum(
            len(fleet.holders[name].sessions.by_group[0].uses) for name in held
        )

    play(scenario, servers=4, slots=3)


def test_granted_slot_is_used_although_peers_avoid_its_back_end() -> None:
    """The granting node knows more than the snapshot; local choice would cause a herd."""

    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        for state in gateway.selector.states():
            gateway.selector.load_received(
                state.instance.instance_id, 0, 0, True, state.snapshot_at
            )
            state.snapshot_at = asyncio.get_running_loop().time()
        placed = await gateway.placement.place(request())
        assert placed is not None and placed.granted

    play(scenario, servers=1)


def test_granted_slot_is_released_when_the_gateway_could_not_connect() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        for state in gateway.selector.states():
            gateway.selector.record_failure(state, asyncio.get_running_loop().time())
        placed = await gateway.placement.place(request())
        assert placed is not None and not placed.granted
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 1

    play(scenario, servers=1)


def test_events_and_requests_of_another_session_are_ignored() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        placed = await gateway.placement.place(request())
        key = gateway.sessions.by_group[0].key
        service = fleet.leader.service
        answers: list[Frame] = []

        async def respond(frame: Frame) -> None:
            answers.append(frame)

        for holder, session in (("g1", key.number - 1), ("g2", key.number)):
            release = SlotEvent(released=SlotRelease(number=placed.slot.number))
            taken = SlotEvent(taken=SlotUse(number=99, instance_id="i1"))
            service.handle_events(
                SlotEvents(holder=holder, session=session, events=[release, taken])
            )
            slot_request = SlotRequest(holder=holder, session=session, number=98, service="s")
            await service.serve_request(slot_request, respond)
            permit_request = PermitRequest(holder=holder, session=session, tenant="t")
            await service.serve_permit(permit_request, respond)
        assert fleet.in_use() == 1
        assert [answer.slot_grant.no_session for answer in answers[::2]] == [True, True]
        assert [answer.permit_answer.unsure for answer in answers[1::2]] == [True, True]

    play(scenario)


def test_a_repeated_event_counts_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        key = gateway.sessions.by_group[0].key
        for number, in_use in ((97, 1), (98, 2)):
            taken = SlotEvent(taken=SlotUse(number=number, instance_id="i1"))
            events = SlotEvents(holder="g1", session=key.number, events=[taken, taken])
            fleet.leader.service.handle_events(events)
            assert fleet.in_use() == in_use
        released = SlotEvent(released=SlotRelease(number=97))
        events = SlotEvents(holder="g1", session=key.number, events=[released, released])
        fleet.leader.service.handle_events(events)
        assert fleet.in_use() == 1

    play(scenario)


# Guards against a holder that counts as connected to a granting node, but reports nothing to it.
@pytest.mark.parametrize("name", ["_handle_updates", "_hold_session", "_flush"])
def test_a_session_opens_again_after_an_unexpected_error(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        placed = [await gateway.placement.place(request()) for _ in range(2)]
        original = getattr(SlotSession, name)
        failed: list[str] = []

        def fail_once(*args: Any) -> Any:
            if not failed:
                failed.append(name)
                raise ZeroDivisionError
            return original(*args)

        monkeypatch.setattr(SlotSession, name, fail_once)
        fleet.network.unreachable.add(fleet.leader.address)
        await asyncio.sleep(3.0)
        fleet.network.unreachable.clear()
        await asyncio.sleep(3.0)
        assert failed
        assert fleet.in_use() == 2
        for placed_request in placed:
            gateway.placement.send_finished(placed_request, SendResult.BACKEND_OK)
        await asyncio.sleep(SETTLE_S)
        assert fleet.in_use() == 0

    play(scenario)


# Guards against sessions that are all closed for good by one error of the loop that opens them.
def test_sessions_stay_open_after_an_unexpected_error_of_their_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        original = SlotSessions._send_responsiveness
        calls: list[int] = []

        def fail_once(sessions: SlotSessions) -> None:
            calls.append(1)
            if len(calls) == 1:
                raise ZeroDivisionError
            original(sessions)

        monkeypatch.setattr(SlotSessions, "_send_responsiveness", fail_once)
        await asyncio.sleep(3.0)
        assert len(calls) > 2
        await gateway.placement.place(request())
        assert fleet.in_use() == 1

    play(scenario)


# Guards against a granting node whose loop ends by the sum of what callers say of their prompts.
def test_prompts_beyond_any_sum_leave_the_granting_node_at_work() -> None:
    async def scenario(fleet: Fleet) -> None:
        gateway = await fleet.gateway("g1")
        for _ in range(3):
            await gateway.placement.place(request(unread_tokens=2**32 - 1))
        await asyncio.sleep(3 * SETTLE_S)
        (session,) = gateway.sessions.by_group.values()
        assert max(load.unread_tokens for load in session.snapshot.backends) == 2**32 - 1
        assert len(gateway.sessions.available()) == 1

    play(scenario, servers=1, slots=8)
