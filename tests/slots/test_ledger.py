"""The ledger counts taken slots correctly for any order of events."""

import random

from wharfcart.slots.events import HolderId, SessionKey, SlotNumber, SlotUse
from wharfcart.slots.ledger import SlotLedger
from wharfcart.slots.urgency import Urgency

G1 = SessionKey(HolderId("g1"), 1)
G1_AGAIN = SessionKey(HolderId("g1"), 2)
G2 = SessionKey(HolderId("g2"), 1)


def use(number: int, instance_id: str = "a", **more: object) -> SlotUse:
    return SlotUse(SlotNumber(number), instance_id, **more)


def ledger_with_sessions(*keys: SessionKey) -> SlotLedger:
    ledger = SlotLedger()
    for key in keys:
        ledger.open(key, "z", (), 0.0)
    return ledger


def test_a_slot_is_taken_until_it_is_released() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.take(G1, use(1), 0.0)
    assert ledger.in_use("a") == 1
    assert ledger.release(G1, SlotNumber(1)) is not None
    assert ledger.in_use("a") == 0


def test_duplicate_release_frees_one_slot() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.take(G1, use(1), 0.0)
    ledger.take(G1, use(2), 0.0)
    ledger.release(G1, SlotNumber(1))
    assert ledger.release(G1, SlotNumber(1)) is None
    assert ledger.in_use("a") == 1


def test_slot_does_not_expire() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.take(G1, use(1), 0.0)
    assert ledger.unread_tokens("a", 1e9) == 0
    assert ledger.in_use("a") == 1


def test_all_slots_of_a_session_are_free_once_it_ends() -> None:
    ledger = ledger_with_sessions(G1, G2)
    for number in range(3):
        ledger.take(G1, use(number), 0.0)
    ledger.take(G2, use(0), 0.0)
    assert ledger.close(G1)
    assert ledger.in_use("a") == 1
    assert not ledger.close(G1)


def test_reopened_session_reports_its_taken_slots() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.take(G1, use(1), 0.0)
    ledger.take(G1, use(2, "b"), 0.0)
    ledger.open(G1_AGAIN, "z", [use(2, "b"), use(3, "b")], 1.0)
    assert (ledger.in_use("a"), ledger.in_use("b")) == (0, 2)
    assert ledger.session_count == 1


def test_late_events_of_a_closed_session_are_ignored() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.open(G1_AGAIN, "z", [use(1)], 1.0)
    ledger.take(G1, use(5), 1.0)
    assert ledger.release(G1, SlotNumber(1)) is None
    assert ledger.in_use("a") == 1


def test_closing_an_older_session_does_not_affect_the_newer_one() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.open(G1_AGAIN, "z", [use(1)], 1.0)
    assert not ledger.close(G1)
    assert ledger.is_open(G1_AGAIN)
    assert ledger.in_use("a") == 1


def test_back_end_is_unresponsive_while_any_session_reports_it() -> None:
    ledger = ledger_with_sessions(G1, G2)
    ledger.set_unresponsive(G1, "a", True)
    ledger.set_unresponsive(G2, "a", True)
    ledger.set_unresponsive(G1, "a", False)
    assert ledger.is_unresponsive("a")
    ledger.close(G2)
    assert not ledger.is_unresponsive("a")


def test_a_prompt_counts_as_unread_until_it_has_probably_been_read() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.take(G1, use(1, unread_tokens=40_000), 0.0)
    assert ledger.unread_tokens("a", 0.5) == 40_000
    assert ledger.unread_tokens("a", 1.1) == 0


def test_preempted_items_still_count_but_are_preempted_once() -> None:
    ledger = ledger_with_sessions(G1)
    ledger.take(G1, use(1, item=Urgency(10.0, 4.0)), 0.0)
    (item,) = ledger.preemptible_items("a")
    item.preempted = True
    assert ledger.preemptible_items("a") == []
    assert (ledger.in_use("a"), ledger.preempted_count("a")) == (1, 1)


def test_counts_match_the_slots_after_random_events() -> None:
    rng = random.Random(7)
    ledger = SlotLedger()
    model: dict[str, dict[int, str]] = {}  # slots by holder and number
    keys: dict[str, SessionKey] = {}
    for step in range(3000):
        holder = f"g{rng.randrange(5)}"
        number = rng.randrange(20)
        choice = rng.random()
        if holder not in keys or choice < 0.02:
            keys[holder] = SessionKey(HolderId(holder), step)
            model[holder] = {n: rng.choice("ab") for n in rng.sample(range(20), 3)}
            uses = [use(n, instance) for n, instance in model[holder].items()]
            ledger.open(keys[holder], "z", uses, step)
        elif choice < 0.04:
            ledger.close(keys.pop(holder))
            del model[holder]
        elif choice < 0.6:
            instance = rng.choice("ab")
            ledger.take(keys[holder], use(number, instance), step)
            model[holder][number] = instance
        else:
            ledger.release(keys[holder], SlotNumber(number))
            model[holder].pop(number, None)
        for instance in "ab":
            taken = [name for slots in model.values() for name in slots.values()]
            assert ledger.in_use(instance) == taken.count(instance)
