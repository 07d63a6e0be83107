"""Hedge budget."""

from wharfcart.admission.hedging import HEDGES_PER_REQUEST, MAX_TOKENS, HedgeBudget


def test_hedges_stay_a_small_share_of_requests() -> None:
    budget = HedgeBudget()
    hedges = 0
    for _ in range(1000):
        budget.deposit()
        if budget.can_hedge:
            budget.withdraw()
            hedges += 1
    assert hedges <= 1000 * HEDGES_PER_REQUEST + MAX_TOKENS
