"""Requests and items with a residence get slots only in its regions and do not block others."""

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
    NoSlot,
    RefusalCause,
    Refused,
    RequestMode,
    SessionKey,
    SessionOpened,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
    SlotRequested,
)
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.messages import (
    event_from_message,
    event_to_message,
    request_from_message,
    request_to_message,
)
from wharfcart.slots.queue import MAX_WAITING
from wharfcart.slots.urgency import Urgency

GATEWAY = SessionKey(HolderId("g"), 1)
LEADER = SessionKey(HolderId("leader/0"), 1)
NORTH, SOUTH, EAST = (residence_in([name]) for name in ("north", "south", "east"))
TOPOLOGY = Topology({"n1": RegionName("north"), "s1": RegionName("south")})
PATIENT = Urgency(until_due_s=15.0, remaining_s=4.0)


class GranterHarness:
    """A granter with one back end in each of two regions."""

    def __init__(self, slots: int = 1) -> None:
        selector = BackendSelector("n1", Random(1), Eligibility(TOPOLOGY))
        for zone in TOPOLOGY.region_by_zone:
            selector.put(BackendInstance(f"in-{zone}", "s", "127.0.0.1", 1, zone, slots, True))
        self.granter = SlotGranter(selector, lambda _instance: True)
        self.now = 0.0
        self.number = 0
        for key in (GATEWAY, LEADER):
            self.send_event(SessionOpened(key, "n1"))

    def send_event(self, event: object) -> list[SlotInstruction]:
        return self.granter.handle(event, self.now)

    def request(
        self, residence: Residence, in_time_s: float = 9.0, mode: RequestMode = RequestMode.WAIT
    ) -> list[SlotInstruction]:
        self.number += 1
        number = SlotNumber(self.number)
        until = self.now + in_time_s
        slot_request = SlotRequested(GATEWAY, number, "s", until, 20.0, mode, residence=residence)
        return self.send_event(slot_request)

    def release(self, number: int) -> list[SlotInstruction]:
        return self.send_event(SlotReleased(GATEWAY, SlotNumber(number)))

    def report_demand(self, count: int, residence: Residence, **more: int) -> list[SlotInstruction]:
        return self.send_event(
            ItemsWaiting(LEADER, "s", count, 0, PATIENT, residence=residence, **more)
        )


def instance_ids(instructions: list[SlotInstruction]) -> list[str]:
    kinds = (Granted, ItemOffered)
    return [
        instruction.instance_id for instruction in instructions if isinstance(instruction, kinds)
    ]


def test_request_with_residence_gets_a_slot_only_in_its_regions() -> None:
    harness = GranterHarness(slots=3)
    for _ in range(3):
        assert instance_ids(harness.request(SOUTH)) == ["in-s1"]
    assert harness.request(SOUTH) == []
    assert instance_ids(harness.request(NORTH)) == ["in-n1"]


def test_request_without_back_end_in_its_regions_gets_no_slot_at_once() -> None:
    harness = GranterHarness()
    assert harness.request(EAST) == [NoSlot(GATEWAY, SlotNumber(1))]
    assert harness.request(NORTH.intersect(SOUTH)) == [NoSlot(GATEWAY, SlotNumber(2))]


def test_request_waiting_for_a_full_region_does_not_block_others() -> None:
    harness = GranterHarness()
    assert instance_ids(harness.request(SOUTH)) == ["in-s1"]
    assert harness.request(SOUTH) == []
    assert instance_ids(harness.request(ANYWHERE)) == ["in-n1"]
    assert harness.request(ANYWHERE, in_time_s=10.0) == []
    assert harness.release(3) == [Granted(GATEWAY, SlotNumber(4), "in-n1")]
    assert harness.release(1) == [Granted(GATEWAY, SlotNumber(2), "in-s1")]


def test_free_slot_is_granted_at_once_while_others_wait_for_other_regions() -> None:
    harness = GranterHarness()
    harness.request(SOUTH)
    assert harness.request(SOUTH) == []
    assert instance_ids(harness.request(NORTH, mode=RequestMode.FREE)) == ["in-n1"]


def test_request_with_the_least_time_left_goes_first_across_queues() -> None:
    harness = GranterHarness()
    harness.request(SOUTH)
    harness.request(NORTH)
    harness.request(ANYWHERE, in_time_s=5.0)
    harness.request(SOUTH, in_time_s=2.0)
    assert harness.release(1) == [Granted(GATEWAY, SlotNumber(4), "in-s1")]
    assert harness.release(2) == [Granted(GATEWAY, SlotNumber(3), "in-n1")]


def test_full_queue_refuses_only_requests_of_its_residence() -> None:
    harness = GranterHarness()
    harness.request(SOUTH)
    harness.request(NORTH)
    for _ in range(MAX_WAITING):
        harness.request(SOUTH)
    refused = harness.request(SOUTH)
    assert isinstance(refused[0], Refused)
    assert refused[0].cause is RefusalCause.QUEUE_FULL
    assert (refused[0].slots, refused[0].waiting) == (1, MAX_WAITING)
    assert harness.request(NORTH) == []


def test_items_are_offered_slots_only_in_their_regions() -> None:
    harness = GranterHarness(slots=2)
    assert instance_ids(harness.report_demand(5, SOUTH)) == ["in-s1", "in-s1"]
    assert harness.report_demand(5, EAST) == []
    assert instance_ids(harness.report_demand(5, NORTH)) == ["in-n1", "in-n1"]


def test_offer_carries_the_residence_of_its_items() -> None:
    harness = GranterHarness()
    offers = harness.report_demand(1, SOUTH)
    assert isinstance(offers[0], ItemOffered)
    assert offers[0].residence == SOUTH


def test_requests_waiting_for_other_regions_reserve_no_slot() -> None:
    harness = GranterHarness(slots=3)
    for _ in range(3):
        harness.request(NORTH)
    assert harness.request(NORTH) == []
    assert instance_ids(harness.report_demand(1, SOUTH)) == ["in-s1"]


def test_waiting_request_for_the_region_reserves_a_slot() -> None:
    harness = GranterHarness(slots=2)
    harness.request(NORTH)
    harness.request(NORTH)
    harness.request(SOUTH)
    harness.request(SOUTH)
    assert harness.request(ANYWHERE) == []
    assert harness.report_demand(1, SOUTH) == []
    assert instance_ids(harness.release(3)) == ["in-s1"]
    assert harness.granter.total_waiting() == 0


def test_residence_is_kept_in_messages() -> None:
    slot_request = SlotRequested(
        GATEWAY, SlotNumber(1), "s", 1.0, 2.0, residence=NORTH.intersect(SOUTH)
    )
    message = request_to_message(0, slot_request, "", 0.0)
    assert request_from_message(GATEWAY, message, 0.0).residence == slot_request.residence
    demand = ItemsWaiting(LEADER, "s", 1, 0, PATIENT, residence=SOUTH)
    assert event_from_message(LEADER, event_to_message(demand)) == demand
