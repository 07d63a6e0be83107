"""Budget of repeated sends."""

from wharfcart.admission.hedging import HEDGES_PER_REQUEST, MAX_TOKENS, HedgeBudget


def test_repeats_are_a_small_part_of_the_requests_in_the_long_run() -> None:
    budget = HedgeBudget()
    repeats = 0
    for _ in range(1000):
        budget.deposit()
        if budget.can_hedge:
            budget.withdraw()
            repeats += 1
    assert repeats <= 1000 * HEDGES_PER_REQUEST + MAX_TOKENS
