"""Budget for sends that are repeated since the first one is slow.

A slow back end is passed by, but when all are slow such repeats only add load: they may be no more
than a small part of the requests.
"""

from dataclasses import dataclass

PART_OF_REQUESTS = 0.1
MOST_SAVED = 8.0


@dataclass
class HedgeBudget:
    """Tokens that requests earn and repeats spend."""

    tokens: float = MOST_SAVED

    def earn(self) -> None:
        """Note a request."""
        self.tokens = min(MOST_SAVED, self.tokens + PART_OF_REQUESTS)

    @property
    def available(self) -> bool:
        """Whether a repeat may be paid for."""
        return self.tokens >= 1.0

    def spend(self) -> None:
        """Pay for a repeat."""
        self.tokens = max(0.0, self.tokens - 1.0)
