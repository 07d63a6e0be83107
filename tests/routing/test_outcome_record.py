"""How answers turned out."""

from wharfcart.routing.outcome_record import FADE_S, OutcomeRecord, is_suspect


def test_a_back_end_whose_answers_fail_is_suspect_until_that_fades() -> None:
    record = OutcomeRecord()
    for n in range(3):
        record.add(False, n / 10)
    assert is_suspect(*record.counts(0.3))
    assert not is_suspect(*record.counts(0.3 + 2 * FADE_S))


def test_one_failure_or_few_among_many_say_nothing() -> None:
    assert not is_suspect(0, 1)
    assert not is_suspect(20, 2)
    assert is_suspect(4, 2)
