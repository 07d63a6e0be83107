"""Source of randomness that decision cores receive, so that a seed makes a run reproducible."""

from typing import Protocol


class RandomSource(Protocol):
    """Subset of :class:`random.Random` that decision cores use."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...
