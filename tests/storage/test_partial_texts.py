"""Replication of the partial texts of running items."""

import pytest

from wharfcart.cluster.messages_pb2 import PartialText
from wharfcart.storage.partial_texts import (
    ItemKey,
    ItemPartialText,
    PartialTexts,
    SentOffsets,
    SentText,
)
from wharfcart.storage.replicated_job import SubmissionId


def test_a_replica_receives_each_part_once() -> None:
    leader, replica = PartialTexts(leader_epoch=1), PartialTexts()
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


def test_a_part_with_a_gap_before_it_is_refused_and_the_text_sent_whole() -> None:
    leader, replica = PartialTexts(leader_epoch=1), PartialTexts()
    offsets = SentOffsets({ItemKey("j", "i"): SentText(events=1, epoch=1)})
    text = leader.get_or_create("j", "i")
    text.add_event(0, "a")
    text.add_event(1, "b")
    (mismatch,) = replica.apply(leader.take_unsent(offsets))
    assert replica.get_or_create("j", "i").texts == []
    assert (mismatch.item_id, mismatch.from_event, mismatch.held_events) == ("i", 1, 0)
    offsets.forget([ItemKey("j", "i")])
    assert replica.apply(leader.take_unsent(offsets)) == []
    assert replica.get_or_create("j", "i").texts == ["a", "b"]


def test_finished_items_and_ended_jobs_are_removed() -> None:
    texts = PartialTexts()
    texts.get_or_create("j", "i").add_event(0, "a")
    texts.get_or_create("k", "l").add_event(0, "a")
    texts.remove_item("j", "i")
    texts.remove_job("k")
    assert texts.take_unsent(SentOffsets()) == []


def test_failures_of_an_item_without_events_are_replicated() -> None:
    leader, replica = PartialTexts(leader_epoch=1), PartialTexts()
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
    texts.remove_item("j", "i")
    assert texts.removed_items(saved) == {ItemKey("j", "i")}
    texts.take_unsent(saved)
    assert texts.removed_items(saved) == set()


def test_saved_parts_are_restored_up_to_the_first_gap() -> None:
    texts, restored = PartialTexts(leader_epoch=1), PartialTexts()
    saved = SentOffsets()
    parts = []
    for number in range(3):
        texts.get_or_create("j", "i").add_event(number, str(number))
        parts += texts.take_unsent(saved)
    restored.apply([parts[0], parts[2]])
    assert (restored.event_count("j", "i"), restored.event_count("j", "other")) == (1, 0)


def make_copy(*leaders: tuple[int, str]) -> ItemPartialText:
    """Return a text to which the leaders of some epochs added one event per character."""
    text = ItemPartialText("j")
    for epoch, events in leaders:
        text.leader_epoch = epoch
        for event in events:
            text.add_event(len(text.texts), event)
    return text


def make_part(first: int, texts: str, epoch: int, base_epoch: int) -> PartialText:
    last = first + len(texts) - 1
    return PartialText(
        from_event=first, last_event=last, texts=texts, epoch=epoch, base_epoch=base_epoch
    )


@pytest.mark.parametrize(
    ("leaders", "part", "is_accepted", "texts"),
    [
        # Late or repeated: the copy has these events, and more.
        ([(1, "abcd")], make_part(0, "ab", 1, 0), True, "abcd"),
        ([(1, "abcd")], make_part(2, "c", 1, 1), True, "abcd"),
        ([(1, "abcd")], make_part(2, "cd", 1, 1), True, "abcd"),
        # The next leader has fewer events of this one.
        ([(1, "abcd")], make_part(2, "xy", 2, 1), True, "abxy"),
        ([(1, "abcd")], make_part(0, "xy", 2, 0), True, "xy"),
        # Foreign: the event before the part is another leader's, unknown, or missing.
        ([(1, "ab"), (2, "cd")], make_part(4, "e", 3, 1), False, "abcd"),
        ([(1, "ab"), (2, "cd")], make_part(3, "x", 3, 1), False, "abcd"),
        ([(1, "abcd")], make_part(4, "e", 1, 0), False, "abcd"),
        ([(1, "abcd")], make_part(5, "f", 1, 1), False, "abcd"),
        # From a build that stored no epochs.
        ([(1, "abcd")], make_part(4, "e", 0, 0), False, "abcd"),
        ([], make_part(0, "ab", 0, 0), False, ""),
    ],
)
def test_only_a_part_of_the_same_text_extends_a_copy(
    leaders: list[tuple[int, str]], part: PartialText, is_accepted: bool, texts: str
) -> None:
    """Guards against copies that join two runs after a late, repeated or foreign part."""
    copy = make_copy(*leaders)
    assert copy.apply(part) is is_accepted
    assert "".join(copy.texts) == texts
    assert copy.last_event == (len(texts) - 1 if texts else None)


def test_a_text_that_another_leader_replaced_is_sent_whole() -> None:
    """Guards against a receiver that gets only what lies beyond its count of another run."""
    texts = PartialTexts(leader_epoch=1)
    sent = SentOffsets()
    texts.get_or_create("j", "i").add_event(0, "a")
    texts.get_or_create("j", "i").add_event(1, "b")
    texts.take_unsent(sent)
    replacement = make_part(1, "xyz", 2, 1)
    replacement.job_id, replacement.item_id = "j", "i"
    assert texts.apply([replacement]) == []
    parts = texts.take_unsent(sent)
    assert [(part.from_event, "".join(part.texts), part.epoch) for part in parts] == [
        (0, "a", 1),
        (1, "xyz", 2),
    ]


def test_failures_are_sent_again_after_another_leaders_failures_replaced_them() -> None:
    texts = PartialTexts(leader_epoch=1)
    sent = SentOffsets()
    texts.get_or_create("j", "i").failed_at.append("a")
    texts.take_unsent(sent)
    texts.apply([PartialText(job_id="j", item_id="i", failed_at=["b"])])
    (part,) = texts.take_unsent(sent)
    assert list(part.failed_at) == ["b"]


def test_events_keep_the_epochs_of_their_leaders_after_a_cut() -> None:
    """Guards against parts that name another epoch than that of their events."""
    copy = make_copy((1, "abcd"), (2, "ef"))
    assert copy.apply(make_part(2, "xyz", 3, 1))
    parts = [(part.from_event, "".join(part.texts), part.epoch) for part in copy.parts_after(0)]
    assert parts == [(0, "ab", 1), (2, "xyz", 3)]


def test_items_of_two_jobs_with_one_id_have_texts_of_their_own() -> None:
    """Guards against a result with the text of another job, possibly of another tenant."""
    leader, replica = PartialTexts(leader_epoch=1), PartialTexts()
    leader.get_or_create("j", "i").add_event(0, "a")
    leader.get_or_create("k", "i").add_event(0, "b")
    assert replica.apply(leader.take_unsent(SentOffsets())) == []
    leader.remove_item("j", "i")
    replica.remove_job("j")
    for texts in (leader, replica):
        assert texts.event_count("j", "i") == 0
        assert texts.get_or_create("k", "i").texts == ["b"]


def test_a_part_of_another_submission_changes_no_copy() -> None:
    """Guards against a text that goes on with the text of a deleted job."""
    old_leader, leader, replica = PartialTexts(1), PartialTexts(1), PartialTexts()
    old_leader.get_or_create("j", "i", SubmissionId(5)).texts += ["old 0", "old 1"]
    old_leader.get_or_create("j", "i", SubmissionId(5)).add_event(2, "old 2")
    replica.apply(old_leader.take_unsent(SentOffsets()))
    leader.get_or_create("j", "i", SubmissionId(6)).add_event(0, "new 0")
    replica.apply(leader.take_unsent(SentOffsets()))
    assert replica.get_or_create("j", "i", SubmissionId(6)).texts == ["new 0"]
    replica.remove_other_submissions("j", SubmissionId(6))
    assert [key for key, _ in replica.items()] == [ItemKey("j", "i", SubmissionId(6))]


def test_a_leader_keeps_texts_of_the_submissions_that_it_took_over() -> None:
    """Guards against texts of deleted jobs that stay in memory and are sent on."""
    texts = PartialTexts(leader_epoch=1)
    for key in (("j", "i", SubmissionId(5)), ("j", "i", SubmissionId(6)), ("k", "i")):
        texts.get_or_create(*key).add_event(0, "a")
    texts.keep_submissions({"j": SubmissionId(6)})
    assert [key for key, _ in texts.items()] == [ItemKey("j", "i", SubmissionId(6))]
