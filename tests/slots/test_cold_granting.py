"""Grants at cold back ends stay within their rate limit."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.cold_backends import GRANTED_SHARE, UNCONFIRMED_SHARE
from wharfcart.slots.events import (
    Granted,
    HolderId,
    ItemOffered,
    ItemPreempted,
    ItemsWaiting,
    Refused,
    RequestMode,
    SessionKey,
    SessionOpened,
    SlotInstruction,
    SlotNumber,
    SlotRequested,
)
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.urgency import Urgency

GATEWAY = SessionKey(HolderId("g1"), 1)
LEADER = SessionKey(HolderId("leader/0"), 1)
PATIENT = Urgency(until_due_s=15.0, remaining_s=4.0)
URGENT = Urgency(until_due_s=4.5, remaining_s=4.0)
COLD_RATE_PER_S = 10.0
INTERVAL_S = 1 / (COLD_RATE_PER_S * GRANTED_SHARE)


class GranterHarness:
    """A granter with one warm and one cold back end."""

    def __init__(self, warm: int = 1, slots: int = 2) -> None:
        self.now = 0.0
        self.leadership_confirmed = True
        self.number = 0
        self.offers = 0
        self.selector = BackendSelector("z", Random(1))
        self.selector.cold.limits = {"s": ColdLimit(COLD_RATE_PER_S, 60.0)}
        for n in range(warm):
            self.selector.put(BackendInstance(f"w{n}", "s", "h", 1, "z", slots, True))
        self.selector.put(BackendInstance("cold", "s", "h", 1, "z", slots, True, 60.0))
        self.granter = SlotGranter(
            self.selector, lambda _instance: True, lambda: self.leadership_confirmed
        )
        for key in (GATEWAY, LEADER):
            self.granter.handle(SessionOpened(key, "z"), self.now)
        self.tick()

    def tick(self, seconds: float = 0.0) -> list[SlotInstruction]:
        self.now += seconds
        return self.granter.tick(self.now)

    def request(
        self, mode: RequestMode = RequestMode.WAIT, waits_s: float = 9.0, affinity_key: str = ""
    ) -> list[SlotInstruction]:
        self.number += 1
        number = SlotNumber(self.number)
        until = self.now + waits_s
        return self.granter.handle(
            SlotRequested(GATEWAY, number, "s", until, until, mode, affinity_key), self.now
        )

    def offer_items(self, count: int, urgency: Urgency) -> list[str]:
        urgent = count if urgency.is_urgent else 0
        demand = ItemsWaiting(LEADER, "s", count, urgent, urgency, offers_seen=self.offers)
        offers = offered_instances(self.granter.handle(demand, self.now))
        self.offers += len(offers)
        return offers


def granted_instances(instructions: list[SlotInstruction]) -> list[str]:
    return [
        instruction.instance_id for instruction in instructions if isinstance(instruction, Granted)
    ]


def offered_instances(instructions: list[SlotInstruction]) -> list[str]:
    return [
        instruction.instance_id
        for instruction in instructions
        if isinstance(instruction, ItemOffered)
    ]


def test_a_cold_back_end_is_granted_only_once_the_warm_ones_are_full() -> None:
    harness = GranterHarness()
    harness.tick(1.0)
    assert [granted_instances(harness.request()) for _ in range(3)] == [["w0"], ["w0"], ["cold"]]


def test_a_long_shared_prompt_goes_to_a_cold_back_end_only_once_the_warm_ones_are_full() -> None:
    for key in map(str, range(20)):
        harness = GranterHarness()
        harness.tick(1.0)
        placed = [granted_instances(harness.request(affinity_key=key)) for _ in range(3)]
        assert placed == [["w0"], ["w0"], ["cold"]]


def test_cold_back_end_starts_empty_and_is_granted_at_its_rate() -> None:
    harness = GranterHarness(warm=0, slots=100)
    assert granted_instances(harness.request()) == []
    assert granted_instances(harness.tick(INTERVAL_S * 0.9)) == []
    assert granted_instances(harness.tick(INTERVAL_S * 0.2)) == ["cold"]
    for _ in range(30):
        harness.request()
    served = sum(len(granted_instances(harness.tick(0.05))) for _ in range(40))
    assert 0.8 * 2.0 / INTERVAL_S <= served <= 2.0 / INTERVAL_S + 1


def test_rate_of_cold_back_end_accrues_from_when_it_turned_cold() -> None:
    harness = GranterHarness(warm=0)
    harness.tick(INTERVAL_S * 1.1)
    assert granted_instances(harness.request()) == ["cold"]


def test_granter_without_confirmed_leadership_grants_a_smaller_share() -> None:
    harness = GranterHarness(warm=0, slots=100)
    harness.leadership_confirmed = False
    for _ in range(30):
        harness.request()
    served = sum(len(granted_instances(harness.tick(0.05))) for _ in range(40))
    assert 0 < served <= 2.0 * COLD_RATE_PER_S * UNCONFIRMED_SHARE + 1


def test_refusal_at_cold_back_ends_returns_retry_after_from_their_rate() -> None:
    harness = GranterHarness(warm=0, slots=100)
    for _ in range(8):
        harness.request(waits_s=0.05)
    refused = [
        instruction for instruction in harness.tick(0.06) if isinstance(instruction, Refused)
    ]
    assert len(refused) == 8
    assert abs(refused[0].retry_after_s - 8 * INTERVAL_S) < 0.01


def test_an_item_goes_to_a_cold_back_end_only_if_it_is_urgent() -> None:
    harness = GranterHarness(slots=4)
    harness.tick(1.0)
    assert set(harness.offer_items(9, PATIENT)) == {"w0"}
    assert harness.offer_items(1, URGENT) == ["cold"]


def test_request_goes_to_cold_back_end_before_preempting_an_item() -> None:
    harness = GranterHarness()
    harness.offer_items(2, PATIENT)
    harness.tick(1.0)
    instructions = harness.request()
    assert granted_instances(instructions) == ["cold"]
    assert not any(isinstance(instruction, ItemPreempted) for instruction in instructions)


def test_reported_capacity_of_cold_back_ends_follows_their_rate() -> None:
    harness = GranterHarness(warm=0, slots=8)
    capacity = harness.granter.snapshot(harness.now).capacity_for("s")
    assert capacity is not None and capacity.free == 0
    harness.tick(INTERVAL_S * 1.1)
    capacity = harness.granter.snapshot(harness.now).capacity_for("s")
    assert capacity is not None and capacity.free == 1
