"""A quantile of a stream of values, kept in one number. Pure."""

from dataclasses import dataclass

# Each value moves the estimate by at most this part of it.
STEP_FRACTION = 0.05


@dataclass
class RunningQuantile:
    """An estimate that values exceed with a given frequency.

    Attributes:
        share: part of the values below the estimate, between 0 and 1.
        value: the estimate; the first value observed begins it.
    """

    quantile: float
    estimate: float = 0.0

    def observe(self, value: float) -> None:
        """Learn from a value above 0."""
        if not self.estimate:
            self.estimate = value
        elif value > self.estimate:
            self.estimate *= 1 + STEP_FRACTION * self.quantile
        else:
            self.estimate *= 1 - STEP_FRACTION * (1 - self.quantile)
