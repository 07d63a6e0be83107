"""How answers turned out."""

from wharfcart.routing.outcome_record import DECAY_S, OutcomeRecord, counts_as_failing


def test_failing_back_end_recovers_as_counts_decay() -> None:
    record = OutcomeRecord()
    for n in range(3):
        record.add(False, n / 10)
    assert counts_as_failing(*record.counts(0.3))
    assert not counts_as_failing(*record.counts(0.3 + 2 * DECAY_S))


def test_few_failures_do_not_count_as_failing() -> None:
    assert not counts_as_failing(0, 1)
    assert not counts_as_failing(20, 2)
    assert counts_as_failing(4, 2)
