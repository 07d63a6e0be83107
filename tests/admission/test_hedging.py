"""Budget of repeated sends."""

from wharfcart.admission.hedging import HEDGES_PER_REQUEST, MAX_TOKENS, HedgeBudget


def test_hedges_stay_a_small_share_of_requests() -> None:
    budget = HedgeBudget()
    repeats = 0
    for _ in range(1000):
        budget.deposit()
        if budget.can_hedge:
            budget.withdraw()
            repeats += 1
    assert repeats <= 1000 * HEDGES_PER_REQUEST + MAX_TOKENS
