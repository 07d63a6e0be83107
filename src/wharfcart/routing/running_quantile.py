"""A quantile of a stream of values, kept in one number. Pure."""

from dataclasses import dataclass

# Each value moves the estimate by at most this part of it.
STEP = 0.05


@dataclass
class RunningQuantile:
    """An estimate that values exceed with a given frequency.

    Attributes:
        share: part of the values below the estimate, between 0 and 1.
        value: the estimate; the first value observed begins it.
    """

    share: float
    value: float = 0.0

    def observe(self, value: float) -> None:
        """Learn from a value above 0."""
        if not self.value:
            self.value = value
        elif value > self.value:
            self.value *= 1 + STEP * self.share
        else:
            self.value *= 1 - STEP * (1 - self.share)
