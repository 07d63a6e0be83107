"""Randomness as decision cores take it: handed in, so that a seed repeats a run."""

from typing import Protocol


class RandomSource(Protocol):
    """The part of :class:`random.Random` that cores draw on."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...
