"""Running texts at the replicas."""

from wharfcart.storage.partial_texts import PartialTexts, SentParts


def test_a_replica_gets_what_it_lacks_and_no_more() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    sent = SentParts()
    text = leader.of("j", "i")
    text.add(0, "a")
    text.add(1, "b")
    replica.take(leader.since(sent))
    assert leader.since(sent) == []
    text.add(2, "c")
    (news,) = leader.since(sent)
    assert list(news.texts) == ["c"]
    replica.take([news])
    copy = replica.of("j", "i")
    assert (copy.last_event, copy.texts) == (2, ["a", "b", "c"])


def test_a_part_that_does_not_fit_on_is_left_out() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    sent = SentParts(events={"i": 1})
    text = leader.of("j", "i")
    text.add(0, "a")
    text.add(1, "b")
    replica.take(leader.since(sent))
    assert replica.of("j", "i").texts == []


def test_finished_items_and_ended_jobs_are_dropped() -> None:
    texts = PartialTexts()
    texts.of("j", "i").add(0, "a")
    texts.of("k", "l").add(0, "a")
    texts.drop("i")
    texts.drop_job("k")
    assert texts.since(SentParts()) == []


def test_a_replica_knows_where_an_item_failed_though_it_gave_no_event() -> None:
    leader, replica = PartialTexts(), PartialTexts()
    sent = SentParts()
    leader.of("j", "i").failed_at += ["a", "b"]
    replica.take(leader.since(sent))
    assert leader.since(sent) == []
    leader.of("j", "i").failed_at.append("a")
    replica.take(leader.since(sent))
    copy = replica.of("j", "i")
    assert (copy.failed_at, copy.last_event, copy.texts) == (["a", "b", "a"], None, [])


def test_items_that_run_no_more_are_named_once() -> None:
    texts = PartialTexts()
    saved = SentParts()
    texts.of("j", "i").add(0, "a")
    texts.since(saved)
    texts.drop("i")
    assert texts.gone(saved) == {"i"}
    texts.since(saved)
    assert texts.gone(saved) == set()


def test_saved_parts_are_taken_up_as_far_as_they_follow_on() -> None:
    texts, again = PartialTexts(), PartialTexts()
    saved = SentParts()
    parts = []
    for number in range(3):
        texts.of("j", "i").add(number, str(number))
        parts += texts.since(saved)
    again.take([parts[0], parts[2]])
    assert (again.events("i"), again.events("other")) == (1, 0)
