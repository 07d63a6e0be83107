"""Budget for sends that are repeated since the first one is slow.

A slow back end is passed by, but when all are slow such repeats only add load: they may be no more
than a small part of the requests.
"""

from dataclasses import dataclass

HEDGES_PER_REQUEST = 0.1
MAX_TOKENS = 8.0


@dataclass
class HedgeBudget:
    """Tokens that requests earn and repeats spend."""

    tokens: float = MAX_TOKENS

    def deposit(self) -> None:
        """Note a request."""
        self.tokens = min(MAX_TOKENS, self.tokens + HEDGES_PER_REQUEST)

    @property
    def can_hedge(self) -> bool:
        """Whether a repeat may be paid for."""
        return self.tokens >= 1.0

    def withdraw(self) -> None:
        """Pay for a repeat."""
        self.tokens = max(0.0, self.tokens - 1.0)
