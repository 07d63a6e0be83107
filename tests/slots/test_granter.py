"""Which request gets which slot, which batch item leaves, and who waits."""

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
    """A granter, time and numbers."""

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
                one.instance_id
                for one in self.request(*arguments, **more)
                if isinstance(one, Granted)
            ),
            "",
        )

    def offer_items(
        self, count: int, urgency: Urgency = PATIENT, key: SessionKey = LEADER, **more: object
    ) -> list[ItemOffered]:
        """Have items wait; begin those that are offered a slot."""
        urgent = count if urgency.is_urgent else 0
        told = self.send_event(ItemsWaiting(key, "s", count, urgent, urgency, **more))
        offers = [one for one in told if isinstance(one, ItemOffered)]
        for offer in offers:
            self.send_event(ItemStarted(offer.session, offer.number, urgency))
        return offers


def preempted_numbers(instructions: list[SlotInstruction]) -> list[SlotNumber]:
    return [one.number for one in instructions if isinstance(one, ItemPreempted)]


def test_grants_in_a_row_fill_every_slot_once() -> None:
    bench = GranterHarness("a", "b", "c")
    names = sorted(bench.request_and_get_instance(key) for key in (G1, G2) * 3)
    assert names == ["a", "a", "b", "b", "c", "c"]


def test_a_slot_that_came_free_is_granted_again() -> None:
    bench = GranterHarness("a", "b", slots=1)
    assert {bench.request_and_get_instance(), bench.request_and_get_instance()} == {"a", "b"}
    bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert bench.request_and_get_instance()


def test_a_request_without_a_slot_waits_until_one_comes_free() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    assert bench.request() == []
    assert bench.granter.waiting("s") == 1
    told = bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert told == [Granted(G1, SlotNumber(2), "a")]
    assert bench.granter.waiting("s") == 0


def test_request_that_can_be_in_time_goes_before_a_late_one() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    bench.request(in_time_s=-1.0)
    bench.request()
    (grant,) = bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert grant.number == SlotNumber(3)


def test_request_that_waited_too_long_is_refused_with_retry_after() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    bench.request(waits_s=0.5)
    assert bench.tick(0.4) == []
    (refusal,) = bench.tick(0.2)
    assert isinstance(refusal, Refused)
    assert refusal.cause is RefusalCause.TIMED_OUT
    assert refusal.retry_after_s > 0
    assert bench.granter.waiting("s") == 0


def test_full_queue_refuses_at_once() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    for _ in range(MAX_WAITING):
        assert bench.request() == []
    (refusal,) = bench.request()
    assert isinstance(refusal, Refused) and refusal.cause is RefusalCause.QUEUE_FULL


def test_cancelled_request_leaves_the_queue() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    bench.request()
    bench.request()
    bench.send_event(SlotReleased(G1, SlotNumber(2)))
    assert bench.granter.waiting("s") == 1
    (grant,) = bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert grant.number == SlotNumber(3)


def test_closed_session_frees_its_slots_and_queue_entries_at_once() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance(G1)
    bench.request(G1)
    bench.request(G2)
    (grant,) = bench.send_event(SessionClosed(G1))
    assert grant == Granted(G2, SlotNumber(3), "a")
    assert bench.granter.waiting("s") == 0


def test_new_granting_node_knows_taken_slots_after_holders_report() -> None:
    bench = GranterHarness("a", "b", slots=1)
    again = SessionKey(HolderId("g1"), 9)
    bench.send_event(SessionOpened(again, "z", (SlotUse(SlotNumber(4), "a"),)))
    assert bench.request_and_get_instance(again) == "b"
    assert bench.request(again) == []


def test_new_session_of_a_holder_drops_requests_of_the_old_one() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance(G2)
    bench.request(G1)
    bench.offer_items(2)
    bench.send_event(SessionOpened(SessionKey(G1.holder, 9), "z"))
    bench.send_event(SessionOpened(SessionKey(LEADER.holder, 9), "z"))
    assert bench.granter.waiting("s") == 0
    assert bench.send_event(SlotReleased(G2, SlotNumber(1))) == []


def test_slot_taken_by_local_choice_counts() -> None:
    bench = GranterHarness("a", "b", slots=1)
    bench.send_event(SlotTaken(G2, SlotUse(SlotNumber(90), "a")))
    assert bench.request_and_get_instance() == "b"


def test_request_modes() -> None:
    bench = GranterHarness("a", slots=1)
    (offer,) = bench.offer_items(1)
    assert isinstance(bench.request(mode=RequestMode.FREE)[0], NoSlot)
    told = bench.request(mode=RequestMode.PREEMPT)
    assert preempted_numbers(told) == [offer.number]
    assert isinstance(bench.request(mode=RequestMode.PREEMPT)[0], NoSlot)
    assert bench.request(mode=RequestMode.WAIT) == []


def test_new_request_does_not_overtake_waiting_ones() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    bench.request()
    assert isinstance(bench.request(G2, mode=RequestMode.PREEMPT)[0], NoSlot)


def test_unknown_session_gets_no_slot() -> None:
    bench = GranterHarness("a")
    stranger = SessionKey(HolderId("g9"), 1)
    assert isinstance(bench.request(stranger)[0], NoSlot)


def test_back_ends_of_other_groups_are_not_granted_here() -> None:
    bench = GranterHarness("a", "b", slots=1, owns="b")
    assert bench.request_and_get_instance() == "b"
    assert bench.request() == []
    assert isinstance(bench.request(excluded=frozenset("b"))[0], NoSlot)


def test_a_back_end_in_the_gateways_zone_comes_first() -> None:
    bench = GranterHarness("far", "near", slots=4, zones="yz")
    assert bench.request_and_get_instance() == "near"


def test_a_back_end_that_the_gateway_is_connected_to_comes_before_an_emptier_one() -> None:
    bench = GranterHarness("a", "b", slots=8)
    bench.send_event(SlotTaken(G2, SlotUse(SlotNumber(90), "b")))
    assert bench.request_and_get_instance(connected=frozenset("b")) == "b"
    assert bench.request_and_get_instance(connected=frozenset()) == "a"


def test_free_slot_is_preferred_to_an_existing_connection() -> None:
    bench = GranterHarness("a", "b", slots=1)
    bench.send_event(SlotTaken(G2, SlotUse(SlotNumber(90), "b")))
    assert bench.request_and_get_instance(connected=frozenset("b")) == "a"


def test_item_is_preempted_only_when_no_slot_is_free() -> None:
    bench = GranterHarness("a", "b")
    bench.offer_items(2)
    assert preempted_numbers(bench.request()) == []
    assert preempted_numbers(bench.request()) == []
    told = bench.request()
    assert len(preempted_numbers(told)) == 1
    assert any(isinstance(one, Granted) for one in told)


def test_item_with_the_least_loss_is_preempted_first() -> None:
    bench = GranterHarness("a", slots=3)
    (early,) = bench.offer_items(1, PATIENT)
    bench.offer_items(1, Urgency(8.0, 4.0), offers_seen=1)
    (late,) = bench.offer_items(1, TOO_LATE, offers_seen=2)
    assert preempted_numbers(bench.request()) == [late.number]
    assert preempted_numbers(bench.request()) == [early.number]


def test_item_is_preempted_once() -> None:
    bench = GranterHarness("a", slots=2)
    first, second = bench.offer_items(2)
    assert preempted_numbers(bench.request()) == [first.number]
    assert preempted_numbers(bench.request()) == [second.number]
    assert bench.request() == []


def test_any_item_is_preempted_for_an_online_request() -> None:
    for urgency in (URGENT, PATIENT, TOO_LATE):
        bench = GranterHarness("a", slots=1)
        (item,) = bench.offer_items(1, urgency)
        assert preempted_numbers(bench.request()) == [item.number]


def test_item_that_became_urgent_is_preempted_last() -> None:
    bench = GranterHarness("a", slots=2)
    (first,) = bench.offer_items(1, Urgency(until_due_s=8.0, remaining_s=4.0))
    bench.now = 7.0
    (second,) = bench.offer_items(1, Urgency(until_due_s=15.0, remaining_s=4.0), offers_seen=1)
    assert preempted_numbers(bench.request()) == [second.number]
    assert preempted_numbers(bench.request()) == [first.number]


def test_items_take_every_slot_that_is_free() -> None:
    bench = GranterHarness("a", "b")
    assert len(bench.offer_items(9)) == 4


def test_item_is_offered_the_least_loaded_back_end() -> None:
    bench = GranterHarness("a", "b", "c", slots=8)
    for number, name in enumerate("aaaabbbbc"):
        bench.send_event(SlotTaken(G1, SlotUse(SlotNumber(100 + number), name)))
    bench.now += 60.0
    assert [one.instance_id for one in bench.offer_items(2)] == ["c", "c"]


def test_released_offer_is_offered_again() -> None:
    bench = GranterHarness("a", slots=1)
    (offer,) = bench.offer_items(5)
    told = bench.send_event(SlotReleased(LEADER, offer.number))
    assert [one.instance_id for one in told if isinstance(one, ItemOffered)] == ["a"]


def test_offers_in_transit_are_not_repeated() -> None:
    bench = GranterHarness("a", slots=4)
    assert len(bench.offer_items(2)) == 2
    assert bench.offer_items(2, offers_seen=0) == []
    assert len(bench.offer_items(1, offers_seen=2)) == 1


def test_no_item_starts_in_a_slot_that_online_requests_need_soon() -> None:
    bench = GranterHarness("a", slots=4)
    rate = 1.5 / RESTART_COST_S
    for _ in range(round(rate * 2)):
        bench.request_and_get_instance()
        bench.send_event(SlotReleased(G1, SlotNumber(bench.number)))
    assert len(bench.offer_items(9)) == 2


def test_urgent_item_starts_despite_online_requests() -> None:
    bench = GranterHarness("a", slots=2)
    for _ in range(100):
        bench.request_and_get_instance()
        bench.send_event(SlotReleased(G1, SlotNumber(bench.number)))
    assert bench.offer_items(2) == []
    assert len(bench.offer_items(2, URGENT)) == 2


def test_a_slot_goes_to_a_request_that_waits_before_it_goes_to_an_item() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    bench.request()
    bench.offer_items(3)
    told = bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert [type(one) for one in told] == [Granted]


def test_the_items_that_are_due_first_are_offered_a_slot_first() -> None:
    bench = GranterHarness("a", slots=1)
    other = SessionKey(HolderId("leader/1"), 1)
    bench.send_event(SessionOpened(other, "z"))
    bench.request_and_get_instance()
    bench.now += 60.0  # nobody has asked for long
    bench.offer_items(3, PATIENT)
    bench.offer_items(3, Urgency(9.0, 4.0), key=other)
    told = bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert [one.session for one in told] == [other]


def test_items_that_are_too_late_are_offered_a_slot_last() -> None:
    bench = GranterHarness("a", slots=1)
    other = SessionKey(HolderId("leader/1"), 1)
    bench.send_event(SessionOpened(other, "z"))
    bench.request_and_get_instance()
    bench.now += 60.0  # nobody has asked for long
    bench.offer_items(3, TOO_LATE)
    bench.offer_items(3, PATIENT, key=other)
    told = bench.send_event(SlotReleased(G1, SlotNumber(1)))
    assert [one.session for one in told] == [other]


def test_items_are_not_offered_excluded_back_ends() -> None:
    bench = GranterHarness("a", "b", slots=1)
    assert [one.instance_id for one in bench.offer_items(2, excluded=frozenset("a"))] == ["b"]


def test_items_are_preempted_on_overcommitted_back_ends() -> None:
    bench = GranterHarness("a", slots=2)
    first, second = bench.offer_items(2)
    bench.send_event(SlotTaken(G1, SlotUse(SlotNumber(90), "a")))
    told = bench.tick(0.05)
    assert [(one.number, one.cause) for one in told] == [
        (first.number, PreemptionCause.OVERCOMMITTED)
    ]
    assert bench.tick(0.05) == []
    bench.send_event(SlotTaken(G1, SlotUse(SlotNumber(91), "a")))
    assert preempted_numbers(bench.tick(0.05)) == [second.number]


def test_offer_numbers_do_not_collide_with_those_a_leader_reports() -> None:
    bench = GranterHarness("a", slots=4)
    again = SessionKey(LEADER.holder, 5)
    brought = SlotUse(SlotNumber(FIRST_OFFER_NUMBER + 2), "a", item=PATIENT)
    bench.send_event(SessionOpened(again, "z", (brought,)))
    offers = bench.offer_items(3, key=again)
    assert brought.number not in [offer.number for offer in offers]
    assert len(offers) == 3


def test_demand_of_a_closed_session_is_dropped() -> None:
    bench = GranterHarness("a", slots=1)
    bench.request_and_get_instance()
    bench.offer_items(3)
    bench.send_event(SessionClosed(LEADER))
    assert bench.send_event(SlotReleased(G1, SlotNumber(1))) == []


def test_unresponsive_back_end_is_excluded_until_it_responds() -> None:
    bench = GranterHarness("a", "b")
    bench.send_event(ResponsivenessChanged(G2, "a", True))
    assert [bench.request_and_get_instance() for _ in range(2)] == ["b", "b"]
    assert bench.request() == []
    told = bench.send_event(ResponsivenessChanged(G2, "a", False))
    assert [one.instance_id for one in told] == ["a"]


def test_back_end_is_avoided_after_two_failed_runs() -> None:
    bench = GranterHarness("a", "b", slots=4)
    bench.send_event(SlotTaken(G1, SlotUse(SlotNumber(90), "a")))
    bench.send_event(SlotTaken(G2, SlotUse(SlotNumber(91), "a")))
    bench.send_event(SlotReleased(G1, SlotNumber(90), RunResult.BACKEND_FAILED))
    bench.send_event(SlotReleased(G2, SlotNumber(91), RunResult.BACKEND_FAILED))
    assert bench.granter.avoided(bench.now) == {"a"}
    assert {bench.request_and_get_instance() for _ in range(4)} == {"b"}


def test_back_end_failure_reported_after_the_run_counts() -> None:
    bench = GranterHarness("a", "b")
    bench.send_event(BackendFailureReported(LEADER, "a"))
    bench.send_event(BackendFailureReported(LEADER, "a"))
    assert bench.granter.avoided(bench.now) == {"a"}


def test_snapshot_is_bounded_and_lists_the_most_loaded() -> None:
    names = [f"i{n}" for n in range(200)]
    bench = GranterHarness(*names, slots=300)
    for n, name in enumerate(names):
        for copy in range(n):
            use = SlotUse(SlotNumber(1000 * n + copy + 1), name)
            bench.send_event(SlotTaken(G1, use))
    bench.send_event(ResponsivenessChanged(G2, "i0", True))
    backends = bench.granter.snapshot(bench.now).backends
    assert len(backends) == MAX_BACKENDS_PER_SNAPSHOT
    assert [load.instance_id for load in backends[:3]] == ["i0", "i199", "i198"]


def test_snapshot_has_load_and_capacity() -> None:
    bench = GranterHarness("a", "b", slots=2)
    bench.offer_items(1)
    bench.request_and_get_instance()
    bench.send_event(ResponsivenessChanged(G1, "b", True))
    picture = bench.granter.snapshot(bench.now)
    loads = {load.instance_id: load for load in picture.backends}
    assert sum(load.in_use for load in loads.values()) == 2
    assert loads["b"].avoided and not loads["a"].avoided
    room = picture.capacity_for("s")
    assert room is not None and (room.slots, room.waiting) == (2, 0)
    assert picture.capacity_for("other") is None
    assert picture.holders == 3


def test_orphaned_runs_take_slots() -> None:
    bench = GranterHarness("a", "b", slots=2)
    assert bench.granter.backend_reported("a", 2) == 2
    for _ in range(2):
        (granted,) = bench.request(mode=RequestMode.FREE)
        assert isinstance(granted, Granted) and granted.instance_id == "b"
    (none,) = bench.request(mode=RequestMode.FREE)
    assert isinstance(none, NoSlot)
    assert bench.granter.backend_reported("b", 2) == 0
    assert bench.granter.backend_reported("a", 1) == 1
    (granted,) = bench.request(mode=RequestMode.FREE)
    assert isinstance(granted, Granted) and granted.instance_id == "a"


def test_runs_reported_by_an_opening_session_are_not_orphaned() -> None:
    bench = GranterHarness("a", slots=2)
    assert bench.granter.backend_reported("a", 2) == 2
    late = SessionKey(HolderId("late"), 1)
    bench.send_event(SessionOpened(late, "z", (SlotUse(SlotNumber(1), "a"),)))
    assert bench.granter.snapshot(bench.now).backends[0].in_use == 2
    bench.send_event(SlotReleased(late, SlotNumber(1)))
    (granted,) = bench.request(mode=RequestMode.FREE)
    assert isinstance(granted, Granted)
    (none,) = bench.request(mode=RequestMode.FREE)
    assert isinstance(none, NoSlot)


def test_items_are_preempted_when_orphaned_runs_overcommit_a_back_end() -> None:
    bench = GranterHarness("a", slots=2)
    bench.send_event(ItemsWaiting(LEADER, "s", 2, 0, PATIENT))
    bench.granter.backend_reported("a", 3)
    assert [type(one) for one in bench.tick(0.1)] == [ItemPreempted]


def test_full_back_end_is_not_unresponsive() -> None:
    bench = GranterHarness("a", "b", slots=2)
    bench.granter.backend_reported("a", 2)
    bench.send_event(ResponsivenessChanged(G1, "a", True))
    assert bench.granter.avoided(bench.now) == frozenset()
    bench.granter.backend_reported("a", 1)
    assert bench.granter.avoided(bench.now) == frozenset("a")
