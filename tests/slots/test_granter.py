"""Grants to requests, the queue, offers to batch items and preemption."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.events import (
    BackendFailureReported,
    Granted,
    HolderId,
    ItemOffered,
    ItemPreempted,
    ItemStarted,
    ItemsWaiting,
    NoSlot,
    PreemptionCause,
    RefusalCause,
    Refused,
    RequestMode,
    ResponsivenessChanged,
    RunResult,
    SessionClosed,
    SessionKey,
    SessionOpened,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
    SlotRequested,
    SlotTaken,
    SlotUse,
)
from wharfcart.slots.granter import (
    FIRST_OFFER_NUMBER,
    MAX_BACKENDS_PER_SNAPSHOT,
    RESTART_COST_S,
    SlotGranter,
)
from wharfcart.slots.queue import MAX_WAITING
from wharfcart.slots.urgency import Urgency

G1 = SessionKey(HolderId("g1"), 1)
G2 = SessionKey(HolderId("g2"), 1)
LEADER = SessionKey(HolderId("leader/0"), 1)
PATIENT = Urgency(until_due_s=15.0, remaining_s=4.0)
URGENT = Urgency(until_due_s=4.5, remaining_s=4.0)
TOO_LATE = Urgency(until_due_s=-3.0, remaining_s=4.0)


class GranterHarness:
    """A granter with a clock and a counter of slot numbers."""

    def __init__(self, *names: str, slots: int = 2, zones: str = "", owns: str = "") -> None:
        self.selector = BackendSelector("z", Random(1))
        for n, name in enumerate(names):
            zone = zones[n] if zones else "z"
            self.selector.put(BackendInstance(name, "s", "127.0.0.1", 1, zone, slots, True))
        self.granter = SlotGranter(
            self.selector, lambda instance: not owns or instance.instance_id in owns
        )
        self.now = 0.0
        self.number = 0
        for key in (G1, G2, LEADER):
            self.send_event(SessionOpened(key, "z"))

    def send_event(self, event: object) -> list[SlotInstruction]:
        return self.granter.handle(event, self.now)

    def tick(self, seconds: float) -> list[SlotInstruction]:
        self.now += seconds
        return self.granter.tick(self.now)

    def request(
        self,
        key: SessionKey = G1,
        in_time_s: float = 9.0,
        waits_s: float = 9.0,
        mode: RequestMode = RequestMode.WAIT,
        **more: object,
    ) -> list[SlotInstruction]:
        self.number += 1
        return self.send_event(
            SlotRequested(
                key,
                SlotNumber(self.number),
                "s",
                self.now + in_time_s,
                self.now + waits_s,
                mode,
                **more,
            )
        )

    def request_and_get_instance(self, *arguments: object, **more: object) -> str:
        return next(
            (
                instruction.instance_id
                for instruction in self.request(*arguments, **more)
                if isinstance(instruction, Granted)
            ),
            "",
        )

    def offer_items(
        self, count: int, urgency: Urgency = PATIENT, key: SessionKey = LEADER, **more: object
    ) -> list[ItemOffered]:
        """Report waiting items and start those that are offered a slot."""
        urgent = count if urgency.is_urgent else 0
        instructions = self.send_event(ItemsWaiting(key, "s", count, urgent, urgency, **more))
        offers = [
            instruction for instruction in instructions if isinstance(instruction, ItemOffered)
        ]
        for offer in offers:
            self.send_event(ItemStarted(offer.session, offer.number, urgency))
        return offers


def preempted_numbers(instructions: list[SlotInstruction]) -> list[SlotNumber]:
    return [
        instruction.number for instruction in instructions if isinstance(instruction, ItemPreempted)
    ]


def test_grants_in_a_row_fill_every_slot_once() -> None:
    harness = GranterHarness("a", "b", "c")
    names = sorted(harness.request_and_get_instance(key) for key in (G1, G2) * 3)
    assert names == ["a", "a", "b", "b", "c", "c"]


def test_a_slot_that_came_free_is_granted_again() -> None:
    harness = GranterHarness("a", "b", slots=1)
    assert {harness.request_and_get_instance(), harness.request_and_get_instance()} == {"a", "b"}
    harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert harness.request_and_get_instance()


def test_a_request_without_a_slot_waits_until_one_comes_free() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    assert harness.request() == []
    assert harness.granter.waiting("s") == 1
    instructions = harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert instructions == [Granted(G1, SlotNumber(2), "a")]
    assert harness.granter.waiting("s") == 0


def test_request_that_can_be_in_time_goes_before_a_late_one() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    harness.request(in_time_s=-1.0)
    harness.request()
    (grant,) = harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert grant.number == SlotNumber(3)


def test_request_that_waited_too_long_is_refused_with_retry_after() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    harness.request(waits_s=0.5)
    assert harness.tick(0.4) == []
    (refusal,) = harness.tick(0.2)
    assert isinstance(refusal, Refused)
    assert refusal.cause is RefusalCause.TIMED_OUT
    assert refusal.retry_after_s > 0
    assert harness.granter.waiting("s") == 0


def test_full_queue_refuses_at_once() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    for _ in range(MAX_WAITING):
        assert harness.request() == []
    (refusal,) = harness.request()
    assert isinstance(refusal, Refused) and refusal.cause is RefusalCause.QUEUE_FULL


def test_cancelled_request_leaves_the_queue() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    harness.request()
    harness.request()
    harness.send_event(SlotReleased(G1, SlotNumber(2)))
    assert harness.granter.waiting("s") == 1
    (grant,) = harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert grant.number == SlotNumber(3)


def test_closed_session_frees_its_slots_and_queue_entries_at_once() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance(G1)
    harness.request(G1)
    harness.request(G2)
    (grant,) = harness.send_event(SessionClosed(G1))
    assert grant == Granted(G2, SlotNumber(3), "a")
    assert harness.granter.waiting("s") == 0


def test_new_granting_node_knows_taken_slots_after_holders_report() -> None:
    harness = GranterHarness("a", "b", slots=1)
    again = SessionKey(HolderId("g1"), 9)
    harness.send_event(SessionOpened(again, "z", (SlotUse(SlotNumber(4), "a"),)))
    assert harness.request_and_get_instance(again) == "b"
    assert harness.request(again) == []


def test_new_session_of_a_holder_drops_requests_of_the_old_one() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance(G2)
    harness.request(G1)
    harness.offer_items(2)
    harness.send_event(SessionOpened(SessionKey(G1.holder, 9), "z"))
    harness.send_event(SessionOpened(SessionKey(LEADER.holder, 9), "z"))
    assert harness.granter.waiting("s") == 0
    assert harness.send_event(SlotReleased(G2, SlotNumber(1))) == []


def test_slot_taken_by_local_choice_counts() -> None:
    harness = GranterHarness("a", "b", slots=1)
    harness.send_event(SlotTaken(G2, SlotUse(SlotNumber(90), "a")))
    assert harness.request_and_get_instance() == "b"


def test_request_modes() -> None:
    harness = GranterHarness("a", slots=1)
    (offer,) = harness.offer_items(1)
    assert isinstance(harness.request(mode=RequestMode.FREE)[0], NoSlot)
    instructions = harness.request(mode=RequestMode.PREEMPT)
    assert preempted_numbers(instructions) == [offer.number]
    assert isinstance(harness.request(mode=RequestMode.PREEMPT)[0], NoSlot)
    assert harness.request(mode=RequestMode.WAIT) == []


def test_new_request_does_not_overtake_waiting_ones() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    harness.request()
    assert isinstance(harness.request(G2, mode=RequestMode.PREEMPT)[0], NoSlot)


def test_unknown_session_gets_no_slot() -> None:
    harness = GranterHarness("a")
    stranger = SessionKey(HolderId("g9"), 1)
    assert isinstance(harness.request(stranger)[0], NoSlot)


def test_back_ends_of_other_groups_are_not_granted_here() -> None:
    harness = GranterHarness("a", "b", slots=1, owns="b")
    assert harness.request_and_get_instance() == "b"
    assert harness.request() == []
    assert isinstance(harness.request(excluded=frozenset("b"))[0], NoSlot)


def test_a_back_end_in_the_gateways_zone_comes_first() -> None:
    harness = GranterHarness("far", "near", slots=4, zones="yz")
    assert harness.request_and_get_instance() == "near"


def test_a_back_end_that_the_gateway_is_connected_to_comes_before_an_emptier_one() -> None:
    harness = GranterHarness("a", "b", slots=8)
    harness.send_event(SlotTaken(G2, SlotUse(SlotNumber(90), "b")))
    assert harness.request_and_get_instance(connected=frozenset("b")) == "b"
    assert harness.request_and_get_instance(connected=frozenset()) == "a"


def test_free_slot_is_preferred_to_an_existing_connection() -> None:
    harness = GranterHarness("a", "b", slots=1)
    harness.send_event(SlotTaken(G2, SlotUse(SlotNumber(90), "b")))
    assert harness.request_and_get_instance(connected=frozenset("b")) == "a"


def test_item_is_preempted_only_when_no_slot_is_free() -> None:
    harness = GranterHarness("a", "b")
    harness.offer_items(2)
    assert preempted_numbers(harness.request()) == []
    assert preempted_numbers(harness.request()) == []
    instructions = harness.request()
    assert len(preempted_numbers(instructions)) == 1
    assert any(isinstance(instruction, Granted) for instruction in instructions)


def test_item_with_the_least_loss_is_preempted_first() -> None:
    harness = GranterHarness("a", slots=3)
    (early,) = harness.offer_items(1, PATIENT)
    harness.offer_items(1, Urgency(8.0, 4.0), offers_seen=1)
    (late,) = harness.offer_items(1, TOO_LATE, offers_seen=2)
    assert preempted_numbers(harness.request()) == [late.number]
    assert preempted_numbers(harness.request()) == [early.number]


def test_item_is_preempted_once() -> None:
    harness = GranterHarness("a", slots=2)
    first, second = harness.offer_items(2)
    assert preempted_numbers(harness.request()) == [first.number]
    assert preempted_numbers(harness.request()) == [second.number]
    assert harness.request() == []


def test_any_item_is_preempted_for_an_online_request() -> None:
    for urgency in (URGENT, PATIENT, TOO_LATE):
        harness = GranterHarness("a", slots=1)
        (item,) = harness.offer_items(1, urgency)
        assert preempted_numbers(harness.request()) == [item.number]


def test_item_that_became_urgent_is_preempted_last() -> None:
    harness = GranterHarness("a", slots=2)
    (first,) = harness.offer_items(1, Urgency(until_due_s=8.0, remaining_s=4.0))
    harness.now = 7.0
    (second,) = harness.offer_items(1, Urgency(until_due_s=15.0, remaining_s=4.0), offers_seen=1)
    assert preempted_numbers(harness.request()) == [second.number]
    assert preempted_numbers(harness.request()) == [first.number]


def test_items_take_every_slot_that_is_free() -> None:
    harness = GranterHarness("a", "b")
    assert len(harness.offer_items(9)) == 4


def test_item_is_offered_the_least_loaded_back_end() -> None:
    harness = GranterHarness("a", "b", "c", slots=8)
    for number, name in enumerate("aaaabbbbc"):
        harness.send_event(SlotTaken(G1, SlotUse(SlotNumber(100 + number), name)))
    harness.now += 60.0
    assert [instruction.instance_id for instruction in harness.offer_items(2)] == ["c", "c"]


def test_released_offer_is_offered_again() -> None:
    harness = GranterHarness("a", slots=1)
    (offer,) = harness.offer_items(5)
    instructions = harness.send_event(SlotReleased(LEADER, offer.number))
    assert [
        instruction.instance_id
        for instruction in instructions
        if isinstance(instruction, ItemOffered)
    ] == ["a"]


def test_offers_in_transit_are_not_repeated() -> None:
    harness = GranterHarness("a", slots=4)
    assert len(harness.offer_items(2)) == 2
    assert harness.offer_items(2, offers_seen=0) == []
    assert len(harness.offer_items(1, offers_seen=2)) == 1


def test_no_item_starts_in_a_slot_that_online_requests_need_soon() -> None:
    harness = GranterHarness("a", slots=4)
    rate = 1.5 / RESTART_COST_S
    for _ in range(round(rate * 2)):
        harness.request_and_get_instance()
        harness.send_event(SlotReleased(G1, SlotNumber(harness.number)))
    assert len(harness.offer_items(9)) == 2


def test_urgent_item_starts_despite_online_requests() -> None:
    harness = GranterHarness("a", slots=2)
    for _ in range(100):
        harness.request_and_get_instance()
        harness.send_event(SlotReleased(G1, SlotNumber(harness.number)))
    assert harness.offer_items(2) == []
    assert len(harness.offer_items(2, URGENT)) == 2


def test_a_slot_goes_to_a_request_that_waits_before_it_goes_to_an_item() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    harness.request()
    harness.offer_items(3)
    instructions = harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert [type(instruction) for instruction in instructions] == [Granted]


def test_the_items_that_are_due_first_are_offered_a_slot_first() -> None:
    harness = GranterHarness("a", slots=1)
    other = SessionKey(HolderId("leader/1"), 1)
    harness.send_event(SessionOpened(other, "z"))
    harness.request_and_get_instance()
    harness.now += 60.0  # past the window of the send rates
    harness.offer_items(3, PATIENT)
    harness.offer_items(3, Urgency(9.0, 4.0), key=other)
    instructions = harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert [instruction.session for instruction in instructions] == [other]


def test_items_that_are_too_late_are_offered_a_slot_last() -> None:
    harness = GranterHarness("a", slots=1)
    other = SessionKey(HolderId("leader/1"), 1)
    harness.send_event(SessionOpened(other, "z"))
    harness.request_and_get_instance()
    harness.now += 60.0  # past the window of the send rates
    harness.offer_items(3, TOO_LATE)
    harness.offer_items(3, PATIENT, key=other)
    instructions = harness.send_event(SlotReleased(G1, SlotNumber(1)))
    assert [instruction.session for instruction in instructions] == [other]


def test_items_are_not_offered_excluded_back_ends() -> None:
    harness = GranterHarness("a", "b", slots=1)
    assert [
        instruction.instance_id for instruction in harness.offer_items(2, excluded=frozenset("a"))
    ] == ["b"]


def test_items_are_preempted_on_overcommitted_back_ends() -> None:
    harness = GranterHarness("a", slots=2)
    first, second = harness.offer_items(2)
    harness.send_event(SlotTaken(G1, SlotUse(SlotNumber(90), "a")))
    instructions = harness.tick(0.05)
    assert [(instruction.number, instruction.cause) for instruction in instructions] == [
        (first.number, PreemptionCause.OVERCOMMITTED)
    ]
    assert harness.tick(0.05) == []
    harness.send_event(SlotTaken(G1, SlotUse(SlotNumber(91), "a")))
    assert preempted_numbers(harness.tick(0.05)) == [second.number]


def test_offer_numbers_do_not_collide_with_those_a_leader_reports() -> None:
    harness = GranterHarness("a", slots=4)
    again = SessionKey(LEADER.holder, 5)
    brought = SlotUse(SlotNumber(FIRST_OFFER_NUMBER + 2), "a", item=PATIENT)
    harness.send_event(SessionOpened(again, "z", (brought,)))
    offers = harness.offer_items(3, key=again)
    assert brought.number not in [offer.number for offer in offers]
    assert len(offers) == 3


def test_demand_of_a_closed_session_is_dropped() -> None:
    harness = GranterHarness("a", slots=1)
    harness.request_and_get_instance()
    harness.offer_items(3)
    harness.send_event(SessionClosed(LEADER))
    assert harness.send_event(SlotReleased(G1, SlotNumber(1))) == []


def test_unresponsive_back_end_is_excluded_until_it_responds() -> None:
    harness = GranterHarness("a", "b")
    harness.send_event(ResponsivenessChanged(G2, "a", True))
    assert [harness.request_and_get_instance() for _ in range(2)] == ["b", "b"]
    assert harness.request() == []
    instructions = harness.send_event(ResponsivenessChanged(G2, "a", False))
    assert [instruction.instance_id for instruction in instructions] == ["a"]


def test_back_end_is_avoided_after_two_failed_runs() -> None:
    harness = GranterHarness("a", "b", slots=4)
    harness.send_event(SlotTaken(G1, SlotUse(SlotNumber(90), "a")))
    harness.send_event(SlotTaken(G2, SlotUse(SlotNumber(91), "a")))
    harness.send_event(SlotReleased(G1, SlotNumber(90), RunResult.BACKEND_FAILED))
    harness.send_event(SlotReleased(G2, SlotNumber(91), RunResult.BACKEND_FAILED))
    assert harness.granter.avoided(harness.now) == {"a"}
    assert {harness.request_and_get_instance() for _ in range(4)} == {"b"}


def test_back_end_failure_reported_after_the_run_counts() -> None:
    harness = GranterHarness("a", "b")
    harness.send_event(BackendFailureReported(LEADER, "a"))
    harness.send_event(BackendFailureReported(LEADER, "a"))
    assert harness.granter.avoided(harness.now) == {"a"}


def test_snapshot_is_bounded_and_lists_the_most_loaded() -> None:
    names = [f"i{n}" for n in range(200)]
    harness = GranterHarness(*names, slots=300)
    for n, name in enumerate(names):
        for copy in range(n):
            use = SlotUse(SlotNumber(1000 * n + copy + 1), name)
            harness.send_event(SlotTaken(G1, use))
    harness.send_event(ResponsivenessChanged(G2, "i0", True))
    backends = harness.granter.snapshot(harness.now).backends
    assert len(backends) == MAX_BACKENDS_PER_SNAPSHOT
    assert [load.instance_id for load in backends[:3]] == ["i0", "i199", "i198"]


def test_snapshot_has_load_and_capacity() -> None:
    harness = GranterHarness("a", "b", slots=2)
    harness.offer_items(1)
    harness.request_and_get_instance()
    harness.send_event(ResponsivenessChanged(G1, "b", True))
    load_snapshot = harness.granter.snapshot(harness.now)
    loads = {load.instance_id: load for load in load_snapshot.backends}
    assert sum(load.in_use for load in loads.values()) == 2
    assert loads["b"].avoided and not loads["a"].avoided
    capacity = load_snapshot.capacity_for("s")
    assert capacity is not None and (capacity.slots, capacity.waiting) == (2, 0)
    assert load_snapshot.capacity_for("other") is None
    assert load_snapshot.holders == 3


def test_orphaned_runs_take_slots() -> None:
    harness = GranterHarness("a", "b", slots=2)
    assert harness.granter.backend_reported("a", 2) == 2
    for _ in range(2):
        (granted,) = harness.request(mode=RequestMode.FREE)
        assert isinstance(granted, Granted) and granted.instance_id == "b"
    (none,) = harness.request(mode=RequestMode.FREE)
    assert isinstance(none, NoSlot)
    assert harness.granter.backend_reported("b", 2) == 0
    assert harness.granter.backend_reported("a", 1) == 1
    (granted,) = harness.request(mode=RequestMode.FREE)
    assert isinstance(granted, Granted) and granted.instance_id == "a"


def test_runs_reported_by_an_opening_session_are_not_orphaned() -> None:
    harness = GranterHarness("a", slots=2)
    assert harness.granter.backend_reported("a", 2) == 2
    late = SessionKey(HolderId("late"), 1)
    harness.send_event(SessionOpened(late, "z", (SlotUse(SlotNumber(1), "a"),)))
    assert harness.granter.snapshot(harness.now).backends[0].in_use == 2
    harness.send_event(SlotReleased(late, SlotNumber(1)))
    (granted,) = harness.request(mode=RequestMode.FREE)
    assert isinstance(granted, Granted)
    (none,) = harness.request(mode=RequestMode.FREE)
    assert isinstance(none, NoSlot)


def test_items_are_preempted_when_orphaned_runs_overcommit_a_back_end() -> None:
    harness = GranterHarness("a", slots=2)
    harness.send_event(ItemsWaiting(LEADER, "s", 2, 0, PATIENT))
    harness.granter.backend_reported("a", 3)
    assert [type(instruction) for instruction in harness.tick(0.1)] == [ItemPreempted]


def test_full_back_end_is_not_unresponsive() -> None:
    harness = GranterHarness("a", "b", slots=2)
    harness.granter.backend_reported("a", 2)
    harness.send_event(ResponsivenessChanged(G1, "a", True))
    assert harness.granter.avoided(harness.now) == frozenset()
    harness.granter.backend_reported("a", 1)
    assert harness.granter.avoided(harness.now) == frozenset("a")
