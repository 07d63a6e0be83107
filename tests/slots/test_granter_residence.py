"""Requests and items that are bound to regions get slots there alone, and hold up no others."""

from random import Random

from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import ANYWHERE, Residence, residence_in
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.eligibility import Eligibility
from wharfcart.slots.events import (
    Granted,
    HolderId,
    ItemOffered,
    ItemsWaiting,
    Manner,
    NoneHere,
    RefusalCause,
    Refused,
    SessionKey,
    SessionOpened,
    SlotAsked,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
)
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.messages import (
    asked_from_message,
    asked_to_message,
    event_from_message,
    event_to_message,
)
from wharfcart.slots.queue import MOST_WAITING
from wharfcart.slots.urgency import Urgency

GATEWAY = SessionKey(HolderId("g"), 1)
LEADER = SessionKey(HolderId("leader/0"), 1)
NORTH, SOUTH, EAST = (residence_in([name]) for name in ("north", "south", "east"))
TOPOLOGY = Topology({"n1": RegionName("north"), "s1": RegionName("south")})
PATIENT = Urgency(left_s=15.0, remaining_s=4.0)


class Bench:
    """A granter before one back end in each of two regions."""

    def __init__(self, slots: int = 1) -> None:
        choice = BackendSelector("n1", Random(1), Eligibility(TOPOLOGY))
        for zone in TOPOLOGY.region_by_zone:
            choice.put(BackendInstance(f"in-{zone}", "s", "127.0.0.1", 1, zone, slots, True))
        self.granter = SlotGranter(choice, lambda _instance: True)
        self.now = 0.0
        self.number = 0
        for key in (GATEWAY, LEADER):
            self.tell(SessionOpened(key, "n1"))

    def tell(self, event: object) -> list[SlotInstruction]:
        return self.granter.handle(event, self.now)

    def ask(
        self, residence: Residence, in_time_s: float = 9.0, manner: Manner = Manner.WAIT
    ) -> list[SlotInstruction]:
        self.number += 1
        number = SlotNumber(self.number)
        until = self.now + in_time_s
        asked = SlotAsked(GATEWAY, number, "s", until, 20.0, manner, residence=residence)
        return self.tell(asked)

    def free(self, number: int) -> list[SlotInstruction]:
        return self.tell(SlotReleased(GATEWAY, SlotNumber(number)))

    def demand(self, count: int, residence: Residence, **more: int) -> list[SlotInstruction]:
        return self.tell(ItemsWaiting(LEADER, "s", count, 0, PATIENT, residence=residence, **more))


def backends(instructions: list[SlotInstruction]) -> list[str]:
    kinds = (Granted, ItemOffered)
    return [found.instance_id for found in instructions if isinstance(found, kinds)]


def test_a_bound_request_gets_a_slot_in_its_regions_alone() -> None:
    bench = Bench(slots=3)
    for _ in range(3):
        assert backends(bench.ask(SOUTH)) == ["in-s1"]
    assert bench.ask(SOUTH) == []
    assert backends(bench.ask(NORTH)) == ["in-n1"]


def test_a_request_without_any_back_end_in_its_regions_is_told_so_at_once() -> None:
    bench = Bench()
    assert bench.ask(EAST) == [NoneHere(GATEWAY, SlotNumber(1))]
    assert bench.ask(NORTH.within(SOUTH)) == [NoneHere(GATEWAY, SlotNumber(2))]


def test_a_request_that_waits_for_a_full_region_holds_up_no_other() -> None:
    bench = Bench()
    assert backends(bench.ask(SOUTH)) == ["in-s1"]
    assert bench.ask(SOUTH) == []
    assert backends(bench.ask(ANYWHERE)) == ["in-n1"]
    assert bench.ask(ANYWHERE, in_time_s=10.0) == []
    assert bench.free(3) == [Granted(GATEWAY, SlotNumber(4), "in-n1")]
    assert bench.free(1) == [Granted(GATEWAY, SlotNumber(2), "in-s1")]


def test_a_free_slot_is_given_at_once_while_others_wait_elsewhere() -> None:
    bench = Bench()
    bench.ask(SOUTH)
    assert bench.ask(SOUTH) == []
    assert backends(bench.ask(NORTH, manner=Manner.FREE)) == ["in-n1"]


def test_of_two_lines_the_request_goes_first_that_has_the_least_time_left() -> None:
    bench = Bench()
    bench.ask(SOUTH)
    bench.ask(NORTH)
    bench.ask(ANYWHERE, in_time_s=5.0)
    bench.ask(SOUTH, in_time_s=2.0)
    assert bench.free(1) == [Granted(GATEWAY, SlotNumber(4), "in-s1")]
    assert bench.free(2) == [Granted(GATEWAY, SlotNumber(3), "in-n1")]


def test_a_full_line_turns_away_its_own_requests_alone() -> None:
    bench = Bench()
    bench.ask(SOUTH)
    bench.ask(NORTH)
    for _ in range(MOST_WAITING):
        bench.ask(SOUTH)
    refused = bench.ask(SOUTH)
    assert isinstance(refused[0], Refused)
    assert refused[0].cause is RefusalCause.QUEUE_FULL
    assert (refused[0].slots, refused[0].waiting) == (1, MOST_WAITING)
    assert bench.ask(NORTH) == []


def test_items_are_offered_slots_in_their_regions_alone() -> None:
    bench = Bench(slots=2)
    assert backends(bench.demand(5, SOUTH)) == ["in-s1", "in-s1"]
    assert bench.demand(5, EAST) == []
    assert backends(bench.demand(5, NORTH)) == ["in-n1", "in-n1"]


def test_an_offer_tells_which_items_it_is_for() -> None:
    bench = Bench()
    offers = bench.demand(1, SOUTH)
    assert isinstance(offers[0], ItemOffered)
    assert offers[0].residence == SOUTH


def test_requests_that_wait_elsewhere_keep_no_slot_from_items() -> None:
    bench = Bench(slots=3)
    for _ in range(3):
        bench.ask(NORTH)
    assert bench.ask(NORTH) == []
    assert backends(bench.demand(1, SOUTH)) == ["in-s1"]


def test_a_request_that_may_go_there_keeps_a_slot_from_items() -> None:
    bench = Bench(slots=2)
    bench.ask(NORTH)
    bench.ask(NORTH)
    bench.ask(SOUTH)
    bench.ask(SOUTH)
    assert bench.ask(ANYWHERE) == []
    assert bench.demand(1, SOUTH) == []
    assert backends(bench.free(3)) == ["in-s1"]
    assert bench.granter.total_waiting() == 0


def test_a_residence_travels_with_what_is_asked_and_told() -> None:
    asked = SlotAsked(GATEWAY, SlotNumber(1), "s", 1.0, 2.0, residence=NORTH.within(SOUTH))
    message = asked_to_message(0, asked, "", 0.0)
    assert asked_from_message(GATEWAY, message, 0.0).residence == asked.residence
    told = ItemsWaiting(LEADER, "s", 1, 0, PATIENT, residence=SOUTH)
    assert event_from_message(LEADER, event_to_message(told)) == told
