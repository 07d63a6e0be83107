"""Which request gets which slot, which batch item leaves, and who waits."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.events import (
    BackendBlamed,
    Granted,
    HolderId,
    ItemBegun,
    ItemMustLeave,
    ItemOffered,
    ItemsWaiting,
    LeaveCause,
    Manner,
    NoneHere,
    RefusalCause,
    Refused,
    SessionClosed,
    SessionKey,
    SessionOpened,
    SilenceChanged,
    SlotAsked,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
    SlotTaken,
    SlotUse,
    Verdict,
)
from wharfcart.slots.granter import (
    FIRST_OFFER,
    MOST_BACKENDS_A_PICTURE,
    RESTART_COST_S,
    SlotGranter,
)
from wharfcart.slots.queue import MOST_WAITING
from wharfcart.slots.urgency import Urgency

G1 = SessionKey(HolderId("g1"), 1)
G2 = SessionKey(HolderId("g2"), 1)
LEADER = SessionKey(HolderId("leader/0"), 1)
PATIENT = Urgency(left_s=15.0, remaining_s=4.0)
URGENT = Urgency(left_s=4.5, remaining_s=4.0)
TOO_LATE = Urgency(left_s=-3.0, remaining_s=4.0)


class Bench:
    """A granter, time and numbers."""

    def __init__(self, *names: str, slots: int = 2, zones: str = "", owns: str = "") -> None:
        self.choice = BackendSelector("z", Random(1))
        for n, name in enumerate(names):
            zone = zones[n] if zones else "z"
            self.choice.put(BackendInstance(name, "s", "127.0.0.1", 1, zone, slots, True))
        self.granter = SlotGranter(
            self.choice, lambda instance: not owns or instance.instance_id in owns
        )
        self.now = 0.0
        self.number = 0
        for key in (G1, G2, LEADER):
            self.tell(SessionOpened(key, "z"))

    def tell(self, event: object) -> list[SlotInstruction]:
        return self.granter.handle(event, self.now)

    def tick(self, seconds: float) -> list[SlotInstruction]:
        self.now += seconds
        return self.granter.tick(self.now)

    def ask(
        self,
        key: SessionKey = G1,
        in_time_s: float = 9.0,
        waits_s: float = 9.0,
        manner: Manner = Manner.WAIT,
        **more: object,
    ) -> list[SlotInstruction]:
        self.number += 1
        return self.tell(
            SlotAsked(
                key,
                SlotNumber(self.number),
                "s",
                self.now + in_time_s,
                self.now + waits_s,
                manner,
                **more,
            )
        )

    def granted(self, *arguments: object, **more: object) -> str:
        return next(
            (one.instance_id for one in self.ask(*arguments, **more) if isinstance(one, Granted)),
            "",
        )

    def items(
        self, count: int, urgency: Urgency = PATIENT, key: SessionKey = LEADER, **more: object
    ) -> list[ItemOffered]:
        """Have items wait; begin those that are offered a slot."""
        urgent = count if urgency.urgent else 0
        told = self.tell(ItemsWaiting(key, "s", count, urgent, urgency, **more))
        offers = [one for one in told if isinstance(one, ItemOffered)]
        for offer in offers:
            self.tell(ItemBegun(offer.session, offer.number, urgency))
        return offers


def leaving(instructions: list[SlotInstruction]) -> list[SlotNumber]:
    return [one.number for one in instructions if isinstance(one, ItemMustLeave)]


def test_grants_in_a_row_fill_every_slot_once() -> None:
    bench = Bench("a", "b", "c")
    names = sorted(bench.granted(key) for key in (G1, G2) * 3)
    assert names == ["a", "a", "b", "b", "c", "c"]


def test_a_slot_that_came_free_is_granted_again() -> None:
    bench = Bench("a", "b", slots=1)
    assert {bench.granted(), bench.granted()} == {"a", "b"}
    bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert bench.granted()


def test_a_request_without_a_slot_waits_until_one_comes_free() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    assert bench.ask() == []
    assert bench.granter.waiting("s") == 1
    told = bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert told == [Granted(G1, SlotNumber(2), "a")]
    assert bench.granter.waiting("s") == 0


def test_who_can_still_be_in_time_goes_before_who_is_late_already() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    bench.ask(in_time_s=-1.0)
    bench.ask()
    (grant,) = bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert grant.number == SlotNumber(3)


def test_who_has_waited_long_enough_is_told_when_to_come_back() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    bench.ask(waits_s=0.5)
    assert bench.tick(0.4) == []
    (refusal,) = bench.tick(0.2)
    assert isinstance(refusal, Refused)
    assert refusal.cause is RefusalCause.WAITED
    assert refusal.retry_after_s > 0
    assert bench.granter.waiting("s") == 0


def test_a_queue_that_is_full_refuses_at_once() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    for _ in range(MOST_WAITING):
        assert bench.ask() == []
    (refusal,) = bench.ask()
    assert isinstance(refusal, Refused) and refusal.cause is RefusalCause.QUEUE_FULL


def test_a_caller_that_leaves_gives_its_place_in_the_queue_up() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    bench.ask()
    bench.ask()
    bench.tell(SlotReleased(G1, SlotNumber(2)))
    assert bench.granter.waiting("s") == 1
    (grant,) = bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert grant.number == SlotNumber(3)


def test_a_gateway_that_is_killed_frees_its_slots_and_its_places_at_once() -> None:
    bench = Bench("a", slots=1)
    bench.granted(G1)
    bench.ask(G1)
    bench.ask(G2)
    (grant,) = bench.tell(SessionClosed(G1))
    assert grant == Granted(G2, SlotNumber(3), "a")
    assert bench.granter.waiting("s") == 0


def test_a_new_granting_node_knows_what_is_taken_once_the_holders_have_told() -> None:
    bench = Bench("a", "b", slots=1)
    again = SessionKey(HolderId("g1"), 9)
    bench.tell(SessionOpened(again, "z", (SlotUse(SlotNumber(4), "a"),)))
    assert bench.granted(again) == "b"
    assert bench.ask(again) == []


def test_a_holder_that_comes_again_no_longer_waits_within_its_old_session() -> None:
    bench = Bench("a", slots=1)
    bench.granted(G2)
    bench.ask(G1)
    bench.items(2)
    bench.tell(SessionOpened(SessionKey(G1.holder, 9), "z"))
    bench.tell(SessionOpened(SessionKey(LEADER.holder, 9), "z"))
    assert bench.granter.waiting("s") == 0
    assert bench.tell(SlotReleased(G2, SlotNumber(1))) == []


def test_a_gateways_own_choice_counts() -> None:
    bench = Bench("a", "b", slots=1)
    bench.tell(SlotTaken(G2, SlotUse(SlotNumber(90), "a")))
    assert bench.granted() == "b"


def test_manners_go_as_far_as_they_say() -> None:
    bench = Bench("a", slots=1)
    (offer,) = bench.items(1)
    assert isinstance(bench.ask(manner=Manner.FREE)[0], NoneHere)
    told = bench.ask(manner=Manner.YIELDED)
    assert leaving(told) == [offer.number]
    assert isinstance(bench.ask(manner=Manner.YIELDED)[0], NoneHere)
    assert bench.ask(manner=Manner.WAIT) == []


def test_nobody_overtakes_those_who_wait() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    bench.ask()
    assert isinstance(bench.ask(G2, manner=Manner.YIELDED)[0], NoneHere)


def test_a_session_that_is_not_known_gets_nothing() -> None:
    bench = Bench("a")
    stranger = SessionKey(HolderId("g9"), 1)
    assert isinstance(bench.ask(stranger)[0], NoneHere)


def test_back_ends_of_other_groups_are_not_granted_here() -> None:
    bench = Bench("a", "b", slots=1, owns="b")
    assert bench.granted() == "b"
    assert bench.ask() == []
    assert isinstance(bench.ask(excluded=frozenset("b"))[0], NoneHere)


def test_a_back_end_in_the_gateways_zone_comes_first() -> None:
    bench = Bench("far", "near", slots=4, zones="yz")
    assert bench.granted() == "near"


def test_a_back_end_that_the_gateway_is_connected_to_comes_before_an_emptier_one() -> None:
    bench = Bench("a", "b", slots=8)
    bench.tell(SlotTaken(G2, SlotUse(SlotNumber(90), "b")))
    assert bench.granted(connected=frozenset("b")) == "b"
    assert bench.granted(connected=frozenset()) == "a"


def test_a_connection_does_not_make_up_for_a_slot_that_is_taken() -> None:
    bench = Bench("a", "b", slots=1)
    bench.tell(SlotTaken(G2, SlotUse(SlotNumber(90), "b")))
    assert bench.granted(connected=frozenset("b")) == "a"


def test_an_item_leaves_only_where_no_slot_is_free() -> None:
    bench = Bench("a", "b")
    bench.items(2)
    assert leaving(bench.ask()) == []
    assert leaving(bench.ask()) == []
    told = bench.ask()
    assert len(leaving(told)) == 1
    assert any(isinstance(one, Granted) for one in told)


def test_the_item_leaves_that_loses_least_by_it() -> None:
    bench = Bench("a", slots=3)
    (early,) = bench.items(1, PATIENT)
    bench.items(1, Urgency(8.0, 4.0), offers_seen=1)
    (late,) = bench.items(1, TOO_LATE, offers_seen=2)
    assert leaving(bench.ask()) == [late.number]
    assert leaving(bench.ask()) == [early.number]


def test_an_item_is_told_to_leave_once() -> None:
    bench = Bench("a", slots=2)
    first, second = bench.items(2)
    assert leaving(bench.ask()) == [first.number]
    assert leaving(bench.ask()) == [second.number]
    assert bench.ask() == []


def test_no_item_keeps_a_slot_that_an_online_request_needs() -> None:
    for urgency in (URGENT, PATIENT, TOO_LATE):
        bench = Bench("a", slots=1)
        (item,) = bench.items(1, urgency)
        assert leaving(bench.ask()) == [item.number]


def test_an_item_that_has_become_urgent_leaves_last() -> None:
    bench = Bench("a", slots=2)
    (first,) = bench.items(1, Urgency(left_s=8.0, remaining_s=4.0))
    bench.now = 7.0
    (second,) = bench.items(1, Urgency(left_s=15.0, remaining_s=4.0), offers_seen=1)
    assert leaving(bench.ask()) == [second.number]
    assert leaving(bench.ask()) == [first.number]


def test_items_take_every_slot_that_is_free() -> None:
    bench = Bench("a", "b")
    assert len(bench.items(9)) == 4


def test_an_item_is_offered_the_back_end_with_the_most_room() -> None:
    bench = Bench("a", "b", "c", slots=8)
    for number, name in enumerate("aaaabbbbc"):
        bench.tell(SlotTaken(G1, SlotUse(SlotNumber(100 + number), name)))
    bench.now += 60.0
    assert [one.instance_id for one in bench.items(2)] == ["c", "c"]


def test_an_offer_that_is_given_back_is_offered_again() -> None:
    bench = Bench("a", slots=1)
    (offer,) = bench.items(5)
    told = bench.tell(SlotReleased(LEADER, offer.number))
    assert [one.instance_id for one in told if isinstance(one, ItemOffered)] == ["a"]


def test_offers_that_were_on_their_way_are_not_made_twice() -> None:
    bench = Bench("a", slots=4)
    assert len(bench.items(2)) == 2
    assert bench.items(2, offers_seen=0) == []
    assert len(bench.items(1, offers_seen=2)) == 1


def test_nothing_starts_in_a_slot_that_online_requests_need_in_a_moment() -> None:
    bench = Bench("a", slots=4)
    rate = 1.5 / RESTART_COST_S
    for _ in range(round(rate * 2)):
        bench.granted()
        bench.tell(SlotReleased(G1, SlotNumber(bench.number)))
    assert len(bench.items(9)) == 2


def test_an_urgent_item_starts_though_online_requests_come() -> None:
    bench = Bench("a", slots=2)
    for _ in range(100):
        bench.granted()
        bench.tell(SlotReleased(G1, SlotNumber(bench.number)))
    assert bench.items(2) == []
    assert len(bench.items(2, URGENT)) == 2


def test_a_slot_goes_to_a_request_that_waits_before_it_goes_to_an_item() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    bench.ask()
    bench.items(3)
    told = bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert [type(one) for one in told] == [Granted]


def test_the_items_that_are_due_first_are_offered_a_slot_first() -> None:
    bench = Bench("a", slots=1)
    other = SessionKey(HolderId("leader/1"), 1)
    bench.tell(SessionOpened(other, "z"))
    bench.granted()
    bench.now += 60.0  # nobody has asked for long
    bench.items(3, PATIENT)
    bench.items(3, Urgency(9.0, 4.0), key=other)
    told = bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert [one.session for one in told] == [other]


def test_items_that_come_too_late_are_offered_a_slot_last() -> None:
    bench = Bench("a", slots=1)
    other = SessionKey(HolderId("leader/1"), 1)
    bench.tell(SessionOpened(other, "z"))
    bench.granted()
    bench.now += 60.0  # nobody has asked for long
    bench.items(3, TOO_LATE)
    bench.items(3, PATIENT, key=other)
    told = bench.tell(SlotReleased(G1, SlotNumber(1)))
    assert [one.session for one in told] == [other]


def test_items_are_not_offered_a_back_end_that_none_of_them_takes() -> None:
    bench = Bench("a", "b", slots=1)
    assert [one.instance_id for one in bench.items(2, excluded=frozenset("a"))] == ["b"]


def test_items_leave_back_ends_that_are_fuller_than_thought() -> None:
    bench = Bench("a", slots=2)
    first, second = bench.items(2)
    bench.tell(SlotTaken(G1, SlotUse(SlotNumber(90), "a")))
    told = bench.tick(0.05)
    assert [(one.number, one.cause) for one in told] == [(first.number, LeaveCause.OVERFULL)]
    assert bench.tick(0.05) == []
    bench.tell(SlotTaken(G1, SlotUse(SlotNumber(91), "a")))
    assert leaving(bench.tick(0.05)) == [second.number]


def test_numbers_of_offers_never_meet_those_that_a_leader_brings_along() -> None:
    bench = Bench("a", slots=4)
    again = SessionKey(LEADER.holder, 5)
    brought = SlotUse(SlotNumber(FIRST_OFFER + 2), "a", item=PATIENT)
    bench.tell(SessionOpened(again, "z", (brought,)))
    offers = bench.items(3, key=again)
    assert brought.number not in [offer.number for offer in offers]
    assert len(offers) == 3


def test_a_leader_that_is_gone_leaves_no_demand_behind() -> None:
    bench = Bench("a", slots=1)
    bench.granted()
    bench.items(3)
    bench.tell(SessionClosed(LEADER))
    assert bench.tell(SlotReleased(G1, SlotNumber(1))) == []


def test_a_silent_back_end_is_left_out_and_comes_back() -> None:
    bench = Bench("a", "b")
    bench.tell(SilenceChanged(G2, "a", True))
    assert [bench.granted() for _ in range(2)] == ["b", "b"]
    assert bench.ask() == []
    told = bench.tell(SilenceChanged(G2, "a", False))
    assert [one.instance_id for one in told] == ["a"]


def test_two_runs_that_turned_out_badly_speak_against_a_back_end_for_everybody() -> None:
    bench = Bench("a", "b", slots=4)
    bench.tell(SlotTaken(G1, SlotUse(SlotNumber(90), "a")))
    bench.tell(SlotTaken(G2, SlotUse(SlotNumber(91), "a")))
    bench.tell(SlotReleased(G1, SlotNumber(90), Verdict.BAD))
    bench.tell(SlotReleased(G2, SlotNumber(91), Verdict.BAD))
    assert bench.granter.avoided(bench.now) == {"a"}
    assert {bench.granted() for _ in range(4)} == {"b"}


def test_a_back_end_that_failed_an_item_is_blamed_later() -> None:
    bench = Bench("a", "b")
    bench.tell(BackendBlamed(LEADER, "a"))
    bench.tell(BackendBlamed(LEADER, "a"))
    assert bench.granter.avoided(bench.now) == {"a"}


def test_a_picture_is_bounded_and_names_the_most_loaded() -> None:
    names = [f"i{n}" for n in range(200)]
    bench = Bench(*names, slots=300)
    for n, name in enumerate(names):
        for copy in range(n):
            use = SlotUse(SlotNumber(1000 * n + copy + 1), name)
            bench.tell(SlotTaken(G1, use))
    bench.tell(SilenceChanged(G2, "i0", True))
    backends = bench.granter.picture(bench.now).backends
    assert len(backends) == MOST_BACKENDS_A_PICTURE
    assert [load.instance_id for load in backends[:3]] == ["i0", "i199", "i198"]


def test_the_picture_tells_load_and_room() -> None:
    bench = Bench("a", "b", slots=2)
    bench.items(1)
    bench.granted()
    bench.tell(SilenceChanged(G1, "b", True))
    picture = bench.granter.picture(bench.now)
    loads = {load.instance_id: load for load in picture.backends}
    assert sum(load.in_use for load in loads.values()) == 2
    assert loads["b"].avoided and not loads["a"].avoided
    room = picture.room("s")
    assert room is not None and (room.slots, room.waiting) == (2, 0)
    assert picture.room("other") is None
    assert picture.holders == 3


def test_runs_that_no_session_tells_of_take_slots() -> None:
    bench = Bench("a", "b", slots=2)
    assert bench.granter.backend_reported("a", 2) == 2
    for _ in range(2):
        (granted,) = bench.ask(manner=Manner.FREE)
        assert isinstance(granted, Granted) and granted.instance_id == "b"
    (none,) = bench.ask(manner=Manner.FREE)
    assert isinstance(none, NoneHere)
    assert bench.granter.backend_reported("b", 2) == 0
    assert bench.granter.backend_reported("a", 1) == 1
    (granted,) = bench.ask(manner=Manner.FREE)
    assert isinstance(granted, Granted) and granted.instance_id == "a"


def test_what_a_session_tells_when_it_opens_is_no_leftover() -> None:
    bench = Bench("a", slots=2)
    assert bench.granter.backend_reported("a", 2) == 2
    late = SessionKey(HolderId("late"), 1)
    bench.tell(SessionOpened(late, "z", (SlotUse(SlotNumber(1), "a"),)))
    assert bench.granter.picture(bench.now).backends[0].in_use == 2
    bench.tell(SlotReleased(late, SlotNumber(1)))
    (granted,) = bench.ask(manner=Manner.FREE)
    assert isinstance(granted, Granted)
    (none,) = bench.ask(manner=Manner.FREE)
    assert isinstance(none, NoneHere)


def test_items_leave_a_back_end_that_leftover_runs_make_overfull() -> None:
    bench = Bench("a", slots=2)
    bench.tell(ItemsWaiting(LEADER, "s", 2, 0, PATIENT))
    bench.granter.backend_reported("a", 3)
    assert [type(one) for one in bench.tick(0.1)] == [ItemMustLeave]


def test_a_back_end_that_is_full_is_not_silent() -> None:
    bench = Bench("a", "b", slots=2)
    bench.granter.backend_reported("a", 2)
    bench.tell(SilenceChanged(G1, "a", True))
    assert bench.granter.avoided(bench.now) == frozenset()
    bench.granter.backend_reported("a", 1)
    assert bench.granter.avoided(bench.now) == frozenset("a")
