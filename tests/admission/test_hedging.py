"""Budget of repeated sends."""

from wharfcart.admission.hedging import MOST_SAVED, PART_OF_REQUESTS, HedgeBudget


def test_repeats_are_a_small_part_of_the_requests_in_the_long_run() -> None:
    budget = HedgeBudget()
    repeats = 0
    for _ in range(1000):
        budget.earn()
        if budget.available:
            budget.spend()
            repeats += 1
    assert repeats <= 1000 * PART_OF_REQUESTS + MOST_SAVED
