"""Replication of the partial texts of running items."""

from wharfcart.storage.partial_texts import PartialTexts, SentOffsets


def test_a_replica_receives_each_part_once() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    offsets = SentOffsets()
    text = leader.get_or_create("j", "i")
    text.add_event(0, "a")
    text.add_event(1, "b")
    replica.apply(leader.take_unsent(offsets))
    assert leader.take_unsent(offsets) == []
    text.add_event(2, "c")
    (part,) = leader.take_unsent(offsets)
    assert list(part.texts) == ["c"]
    replica.apply([part])
    copy = replica.get_or_create("j", "i")
    assert (copy.last_event, copy.texts) == (2, ["a", "b", "c"])


def test_a_part_with_a_gap_before_it_is_ignored() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    offsets = SentOffsets(events={"i": 1})
    text = leader.get_or_create("j", "i")
    text.add_event(0, "a")
    text.add_event(1, "b")
    replica.apply(leader.take_unsent(offsets))
    assert replica.get_or_create("j", "i").texts == []


def test_finished_items_and_ended_jobs_are_removed() -> None:
    texts = PartialTexts()
    texts.get_or_create("j", "i").add_event(0, "a")
    texts.get_or_create("k", "l").add_event(0, "a")
    texts.remove_item("i")
    texts.remove_job("k")
    assert texts.take_unsent(SentOffsets()) == []


def test_failures_of_an_item_without_events_are_replicated() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    offsets = SentOffsets()
    leader.get_or_create("j", "i").failed_at += ["a", "b"]
    replica.apply(leader.take_unsent(offsets))
    assert leader.take_unsent(offsets) == []
    leader.get_or_create("j", "i").failed_at.append("a")
    replica.apply(leader.take_unsent(offsets))
    copy = replica.get_or_create("j", "i")
    assert (copy.failed_at, copy.last_event, copy.texts) == (["a", "b", "a"], None, [])


def test_removed_items_are_reported_once() -> None:
    texts = PartialTexts()
    saved = SentOffsets()
    texts.get_or_create("j", "i").add_event(0, "a")
    texts.take_unsent(saved)
    texts.remove_item("i")
    assert texts.removed_items(saved) == {"i"}
    texts.take_unsent(saved)
    assert texts.removed_items(saved) == set()


def test_saved_parts_are_restored_up_to_the_first_gap() -> None:
    texts, restored = PartialTexts(), PartialTexts()
    saved = SentOffsets()
    parts = []
    for number in range(3):
        texts.get_or_create("j", "i").add_event(number, str(number))
        parts += texts.take_unsent(saved)
    restored.apply([parts[0], parts[2]])
    assert (restored.event_count("i"), restored.event_count("other")) == (1, 0)
