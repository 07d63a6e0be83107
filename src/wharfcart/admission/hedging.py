"""Budget for hedged requests.

Hedging avoids a single slow back end. When all back ends are slow, hedges only add load, so the
budget bounds them to a share of the requests.
"""

from dataclasses import dataclass

HEDGES_PER_REQUEST = 0.1
MAX_TOKENS = 8.0


@dataclass
class HedgeBudget:
    """Token budget: each request deposits a fraction of a token, each hedge withdraws one."""

    tokens: float = MAX_TOKENS

    def deposit(self) -> None:
        """Deposit the share of one request."""
        self.tokens = min(MAX_TOKENS, self.tokens + HEDGES_PER_REQUEST)

    @property
    def can_hedge(self) -> bool:
        """Whether the budget covers a hedge."""
        return self.tokens >= 1.0

    def withdraw(self) -> None:
        """Withdraw the token of one hedge."""
        self.tokens = max(0.0, self.tokens - 1.0)
