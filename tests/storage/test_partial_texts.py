"""Running texts at the replicas."""

from wharfcart.storage.partial_texts import PartialTexts, SentOffsets


def test_a_replica_gets_what_it_lacks_and_no_more() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    sent = SentOffsets()
    text = leader.get_or_create("j", "i")
    text.add_event(0, "a")
    text.add_event(1, "b")
    replica.apply(leader.take_unsent(sent))
    assert leader.take_unsent(sent) == []
    text.add_event(2, "c")
    (news,) = leader.take_unsent(sent)
    assert list(news.texts) == ["c"]
    replica.apply([news])
    copy = replica.get_or_create("j", "i")
    assert (copy.last_event, copy.texts) == (2, ["a", "b", "c"])


def test_a_part_that_does_not_fit_on_is_left_out() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    sent = SentOffsets(events={"i": 1})
    text = leader.get_or_create("j", "i")
    text.add_event(0, "a")
    text.add_event(1, "b")
    replica.apply(leader.take_unsent(sent))
    assert replica.get_or_create("j", "i").texts == []


def test_finished_items_and_ended_jobs_are_dropped() -> None:
    texts = PartialTexts()
    texts.get_or_create("j", "i").add_event(0, "a")
    texts.get_or_create("k", "l").add_event(0, "a")
    texts.remove_item("i")
    texts.remove_job("k")
    assert texts.take_unsent(SentOffsets()) == []


def test_a_replica_knows_where_an_item_failed_though_it_gave_no_event() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    sent = SentOffsets()
    leader.get_or_create("j", "i").failed_at += ["a", "b"]
    replica.apply(leader.take_unsent(sent))
    assert leader.take_unsent(sent) == []
    leader.get_or_create("j", "i").failed_at.append("a")
    replica.apply(leader.take_unsent(sent))
    copy = replica.get_or_create("j", "i")
    assert (copy.failed_at, copy.last_event, copy.texts) == (["a", "b", "a"], None, [])


def test_items_that_run_no_more_are_named_once() -> None:
    texts = PartialTexts()
    saved = SentOffsets()
    texts.get_or_create("j", "i").add_event(0, "a")
    texts.take_unsent(saved)
    texts.remove_item("i")
    assert texts.removed_items(saved) == {"i"}
    texts.take_unsent(saved)
    assert texts.removed_items(saved) == set()


def test_saved_parts_are_taken_up_as_far_as_they_follow_on() -> None:
    texts, again = PartialTexts(), PartialTexts()
    saved = SentOffsets()
    parts = []
    for number in range(3):
        texts.get_or_create("j", "i").add_event(number, str(number))
        parts += texts.take_unsent(saved)
    again.apply([parts[0], parts[2]])
    assert (again.event_count("i"), again.event_count("other")) == (1, 0)
