"""Which cold back ends are granted, and to whom."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.cold_backends import GRANTED_SHARE, UNCONFIRMED_SHARE
from wharfcart.slots.events import (
    Granted,
    HolderId,
    ItemMustLeave,
    ItemOffered,
    ItemsWaiting,
    Manner,
    Refused,
    SessionKey,
    SessionOpened,
    SlotAsked,
    SlotInstruction,
    SlotNumber,
)
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.urgency import Urgency

GATEWAY = SessionKey(HolderId("g1"), 1)
LEADER = SessionKey(HolderId("leader/0"), 1)
PATIENT = Urgency(left_s=15.0, remaining_s=4.0)
URGENT = Urgency(left_s=4.5, remaining_s=4.0)
RATE = 10.0
INTERVAL_S = 1 / (RATE * GRANTED_SHARE)


class Bench:
    """A granter with one warm and one cold back end."""

    def __init__(self, warm: int = 1, slots: int = 2) -> None:
        self.now = 0.0
        self.sure = True
        self.number = 0
        self.offers = 0
        self.choice = BackendSelector("z", Random(1))
        self.choice.cold.limits = {"s": ColdLimit(RATE, 60.0)}
        for n in range(warm):
            self.choice.put(BackendInstance(f"w{n}", "s", "h", 1, "z", slots, True))
        self.choice.put(BackendInstance("cold", "s", "h", 1, "z", slots, True, 60.0))
        self.granter = SlotGranter(self.choice, lambda _instance: True, lambda: self.sure)
        for key in (GATEWAY, LEADER):
            self.granter.handle(SessionOpened(key, "z"), self.now)
        self.tick()

    def tick(self, seconds: float = 0.0) -> list[SlotInstruction]:
        self.now += seconds
        return self.granter.tick(self.now)

    def ask(
        self, manner: Manner = Manner.WAIT, waits_s: float = 9.0, affinity_key: str = ""
    ) -> list[SlotInstruction]:
        self.number += 1
        number = SlotNumber(self.number)
        until = self.now + waits_s
        return self.granter.handle(
            SlotAsked(GATEWAY, number, "s", until, until, manner, affinity_key), self.now
        )

    def items(self, count: int, urgency: Urgency) -> list[str]:
        urgent = count if urgency.urgent else 0
        told = ItemsWaiting(LEADER, "s", count, urgent, urgency, offers_seen=self.offers)
        offers = offered(self.granter.handle(told, self.now))
        self.offers += len(offers)
        return offers


def granted(instructions: list[SlotInstruction]) -> list[str]:
    return [one.instance_id for one in instructions if isinstance(one, Granted)]


def offered(instructions: list[SlotInstruction]) -> list[str]:
    return [one.instance_id for one in instructions if isinstance(one, ItemOffered)]


def test_a_cold_back_end_is_granted_only_once_the_warm_ones_are_full() -> None:
    bench = Bench()
    bench.tick(1.0)
    assert [granted(bench.ask()) for _ in range(3)] == [["w0"], ["w0"], ["cold"]]


def test_a_long_shared_prompt_goes_to_a_cold_back_end_only_once_the_warm_ones_are_full() -> None:
    for key in map(str, range(20)):
        bench = Bench()
        bench.tick(1.0)
        placed = [granted(bench.ask(affinity_key=key)) for _ in range(3)]
        assert placed == [["w0"], ["w0"], ["cold"]]


def test_a_cold_back_end_gets_nothing_at_once_and_its_rate_from_then_on() -> None:
    bench = Bench(warm=0, slots=100)
    assert granted(bench.ask()) == []
    assert granted(bench.tick(INTERVAL_S * 0.9)) == []
    assert granted(bench.tick(INTERVAL_S * 0.2)) == ["cold"]
    for _ in range(30):
        bench.ask()
    served = sum(len(granted(bench.tick(0.05))) for _ in range(40))
    assert 0.8 * 2.0 / INTERVAL_S <= served <= 2.0 / INTERVAL_S + 1


def test_its_rate_counts_from_when_it_turned_cold_although_nobody_asked() -> None:
    bench = Bench(warm=0)
    bench.tick(INTERVAL_S * 1.1)
    assert granted(bench.ask()) == ["cold"]


def test_a_granter_that_may_have_been_replaced_keeps_to_a_smaller_part() -> None:
    bench = Bench(warm=0, slots=100)
    bench.sure = False
    for _ in range(30):
        bench.ask()
    served = sum(len(granted(bench.tick(0.05))) for _ in range(40))
    assert 0 < served <= 2.0 * RATE * UNCONFIRMED_SHARE + 1


def test_a_refusal_at_cold_back_ends_tells_the_time_that_their_rate_takes() -> None:
    bench = Bench(warm=0, slots=100)
    for _ in range(8):
        bench.ask(waits_s=0.05)
    refused = [one for one in bench.tick(0.06) if isinstance(one, Refused)]
    assert len(refused) == 8
    assert abs(refused[0].retry_after_s - 8 * INTERVAL_S) < 0.01


def test_an_item_goes_to_a_cold_back_end_only_if_it_is_urgent() -> None:
    bench = Bench(slots=4)
    bench.tick(1.0)
    assert set(bench.items(9, PATIENT)) == {"w0"}
    assert bench.items(1, URGENT) == ["cold"]


def test_a_request_goes_to_a_cold_back_end_before_an_item_is_cut_for_it() -> None:
    bench = Bench()
    bench.items(2, PATIENT)
    bench.tick(1.0)
    told = bench.ask()
    assert granted(told) == ["cold"]
    assert not any(isinstance(one, ItemMustLeave) for one in told)


def test_room_at_cold_back_ends_is_told_as_they_bear_it() -> None:
    bench = Bench(warm=0, slots=8)
    room = bench.granter.picture(bench.now).room("s")
    assert room is not None and room.free == 0
    bench.tick(INTERVAL_S * 1.1)
    room = bench.granter.picture(bench.now).room("s")
    assert room is not None and room.free == 1
