"""Which requests are held back, from what is known of ends of back ends."""

from random import Random

import pytest

from wharfcart.admission.request_content import ContentId, content_of
from wharfcart.admission.suspects import (
    BEGUN_WEIGHT,
    EARLY_S,
    FIRST_HOLD_S,
    KEPT_S,
    MOST_CONTENTS,
    UNANSWERED_WEIGHT,
    BackendEnd,
    SuspectRecord,
    Suspects,
    weight_of,
)

CONTENT = ContentId("c")
OTHER = ContentId("o")


def held(suspects: Suspects, now: float, content: ContentId = CONTENT) -> float:
    return suspects.held_for_s(lambda: content, now)


def end(suspects: Suspects, *instances: str, at: float = 0.0, weight: float = 1.0) -> None:
    for instance in instances:
        suspects.note_end(CONTENT, instance, weight, at)


def test_one_end_holds_nobody_back() -> None:
    suspects = Suspects()
    end(suspects, "a")
    assert held(suspects, 0.0) == 0.0


def test_one_back_end_counts_once_however_many_runs_it_had() -> None:
    suspects = Suspects()
    end(suspects, "a", "a", "a")
    assert held(suspects, 0.0) == 0.0


def test_two_ends_hold_back_for_a_while_and_a_third_for_as_long_as_it_is_known() -> None:
    suspects = Suspects()
    end(suspects, "a", "b")
    assert held(suspects, 1.0) == FIRST_HOLD_S - 1.0
    assert held(suspects, FIRST_HOLD_S) == 0.0, "it may show once more what it does"
    end(suspects, "c", at=FIRST_HOLD_S)
    assert held(suspects, FIRST_HOLD_S) == KEPT_S


def test_nodes_let_a_content_through_one_after_the_other() -> None:
    first, second = Suspects(), Suspects(holds_longer_s=2.0)
    for suspects in (first, second):
        end(suspects, "a", "b")
    assert held(first, FIRST_HOLD_S) == 0.0 < held(second, FIRST_HOLD_S)
    second.note_end(CONTENT, "c", 1.0, FIRST_HOLD_S + 0.5)
    assert held(second, FIRST_HOLD_S + 2.5) > FIRST_HOLD_S
    alone = Suspects(holds_longer_s=2.0)
    end(alone, "a")
    assert held(alone, 0.0) == 0.0, "one end holds nobody back there either"


def test_others_are_not_held_back() -> None:
    suspects = Suspects()
    end(suspects, "a", "b", "c")
    assert held(suspects, 0.0, OTHER) == 0.0


def test_a_run_whose_answer_had_begun_weighs_less_and_a_long_one_nothing() -> None:
    assert weight_of(False, 60.0) == UNANSWERED_WEIGHT
    assert weight_of(True, EARLY_S / 2) == BEGUN_WEIGHT
    assert weight_of(True, EARLY_S) == 0.0
    suspects = Suspects()
    end(suspects, "a", "b", "c", weight=BEGUN_WEIGHT)
    assert held(suspects, 0.0) == 0.0
    end(suspects, "d", weight=BEGUN_WEIGHT)
    assert held(suspects, 0.0) == FIRST_HOLD_S


def test_who_is_answered_is_a_suspect_no_longer() -> None:
    suspects = Suspects()
    end(suspects, "a", "b")
    suspects.note_answer(lambda: CONTENT)
    assert held(suspects, 0.0) == 0.0
    end(suspects, "c")
    assert held(suspects, 0.0) == 0.0


def test_a_clock_that_is_ahead_elsewhere_holds_back_no_longer() -> None:
    ahead = Suspects()
    end(ahead, "a", "b", at=5000.0)
    here = Suspects()
    here.take(CONTENT, ahead.record(CONTENT).not_after(100.0))
    assert held(here, 100.0) == FIRST_HOLD_S
    assert held(here, 100.0 + FIRST_HOLD_S) == 0.0


def test_however_many_ends_there_are_the_time_is_bounded() -> None:
    suspects = Suspects()
    end(suspects, *(f"b{number}" for number in range(2000)))
    assert held(suspects, 0.0) == KEPT_S


def test_evidence_of_two_nodes_adds_up() -> None:
    here, there = Suspects(), Suspects()
    end(here, "a")
    end(there, "b")
    here.take(CONTENT, there.untold(9)[CONTENT])
    assert held(here, 0.0) == FIRST_HOLD_S
    assert set(here.untold(9)[CONTENT].ends_by_instance) == {"a", "b"}


def test_what_the_others_have_is_not_told_again() -> None:
    suspects = Suspects()
    end(suspects, "a")
    untold = suspects.untold(9)
    suspects.take(CONTENT, untold[CONTENT])
    assert not suspects.untold(9)
    assert len(suspects) == 1


def test_an_answer_takes_shared_evidence_away() -> None:
    suspects = Suspects()
    end(suspects, "a", "b")
    suspects.take(CONTENT, suspects.untold(9)[CONTENT])
    suspects.note_answer(lambda: CONTENT)
    assert suspects.no_longer_suspect(0.0, 9) == [CONTENT]
    suspects.forgotten([CONTENT])
    suspects.take(CONTENT, None)
    assert not len(suspects) and not suspects.no_longer_suspect(0.0, 9)


def test_what_is_heard_after_an_answer_is_not_taken_away_by_it() -> None:
    suspects = Suspects()
    end(suspects, "a")
    suspects.note_answer(lambda: CONTENT)
    other = Suspects()
    end(other, "b")
    suspects.note_heard(CONTENT, other.record(CONTENT))
    suspects.told(suspects.untold(9))
    assert suspects.no_longer_suspect(0.0, 9) == []


def test_old_evidence_goes_and_holds_nobody_back() -> None:
    suspects = Suspects()
    end(suspects, "a", "b", "c")
    suspects.take(CONTENT, suspects.untold(9)[CONTENT])
    assert held(suspects, KEPT_S + 1.0) == 0.0
    assert suspects.no_longer_suspect(KEPT_S + 1.0, 9) == [CONTENT]


def test_no_more_than_a_bounded_number_of_contents_is_kept() -> None:
    suspects = Suspects()
    for number in range(MOST_CONTENTS + 50):
        suspects.note_end(ContentId(f"{number}"), "a", 1.0, float(number))
    assert len(suspects) == MOST_CONTENTS
    assert not len(suspects.record(ContentId("0")).ends_by_instance)


def test_the_content_is_asked_for_only_if_there_are_suspects() -> None:
    def never() -> ContentId:
        raise AssertionError("the digest of each request would be made")

    suspects = Suspects()
    assert suspects.held_for_s(never, 0.0) == 0.0
    suspects.note_answer(never)


@pytest.mark.parametrize("seed", range(20))
def test_of_all_that_run_where_one_ends_its_back_ends_only_that_one_is_held_back(
    seed: int,
) -> None:
    """Callers repeat what was cut; others are answered where the fatal request is not."""
    rng = Random(seed)
    suspects = Suspects()
    others = [ContentId(f"o{number}") for number in range(40)]
    fatal_runs = 0
    now = 0.0
    for number in range(60):
        now += rng.uniform(0.2, 2.0)
        there = rng.sample(others, 14)
        if held(suspects, now) == 0.0:
            fatal_runs += 1
            suspects.note_end(CONTENT, f"b{number}", 1.0, now)
            for content in there:
                answer_begun = rng.random() < 0.95
                ran_s = rng.uniform(0.0, 1.5)
                weight = weight_of(answer_begun, ran_s)
                if weight:
                    suspects.note_end(content, f"b{number}", weight, now)
        for content in rng.sample(others, 14):
            if held(suspects, now, content) == 0.0:
                suspects.note_answer(lambda content=content: content)
    assert fatal_runs <= 3
    assert all(held(suspects, now, content) == 0.0 for content in others)


def test_a_content_is_that_of_its_tenant_path_and_body() -> None:
    one = content_of("h", "POST", "/p", "t", b"body")
    assert one == content_of("h", "POST", "/p", "t", b"body")
    assert one != content_of("h", "POST", "/p", "u", b"body")
    assert one != content_of("h", "POST", "/q", "t", b"body")
    assert one != content_of("h", "POST", "/p", "t", b"bodies")
    assert content_of("h", "POST", "/pt", "", b"") != content_of("h", "POST", "/p", "t", b"")


def test_a_back_end_that_starts_again_under_its_id_counts_at_each_end() -> None:
    """Back ends may keep their id when they start again.

    The second end of an id took the place of the first: six ends weighed as one, and a request that
    ends the only back end of its service was never held back.
    """
    suspects = Suspects()
    for number in range(3):
        end(suspects, "a", at=number * 3.1)
    assert suspects.record(CONTENT).weight() == 3.0
    assert held(suspects, 6.2) > FIRST_HOLD_S


def test_an_end_that_several_nodes_saw_counts_once_and_each_later_one_again() -> None:
    here, there = Suspects(), Suspects()
    end(here, "a", at=10.0)
    end(there, "a", at=10.3)
    end(there, "a", at=13.4)
    here.note_heard(CONTENT, there.record(CONTENT))
    there.note_heard(CONTENT, here.record(CONTENT))
    for suspects in (here, there):
        assert suspects.record(CONTENT).weight() == 2.0
        assert suspects.record(CONTENT).covers(SuspectRecord({"a": BackendEnd(13.2, 1.0)}))
        assert not suspects.record(CONTENT).covers(SuspectRecord({"a": BackendEnd(20.0, 1.0)}))


def test_ends_of_one_id_stay_apart_when_another_nodes_clock_is_ahead() -> None:
    ahead = Suspects()
    end(ahead, "a", at=100.0)
    end(ahead, "a", at=103.0)
    here = Suspects()
    here.note_heard(CONTENT, ahead.record(CONTENT).not_after(5.0))
    end(here, "b", at=5.0, weight=BEGUN_WEIGHT)
    assert here.record(CONTENT).weight() == 2.0 + BEGUN_WEIGHT
    assert here.record(CONTENT).last_at() == 5.0


def test_one_answer_that_had_begun_speaks_for_all_runs_of_a_content_at_an_end() -> None:
    """Found by the fault soak: a body that many callers send was at three ends within a second.

    Of its runs at one end some had begun their answers and others had not.
    """
    suspects = Suspects()
    for number, instance in enumerate("abc"):
        end(suspects, instance, at=number * 0.4, weight=BEGUN_WEIGHT)
        end(suspects, instance, at=number * 0.4 + 0.01, weight=UNANSWERED_WEIGHT)
    assert suspects.record(CONTENT).weight() == 3 * BEGUN_WEIGHT
    assert held(suspects, 1.0) == 0.0
