"""Streaming estimate of a quantile in constant space."""

from dataclasses import dataclass

# Largest relative change of the estimate per value.
STEP_FRACTION = 0.05


@dataclass
class RunningQuantile:
    """Estimates a quantile of a stream of positive values.

    Attributes:
        quantile: share of the values below the estimate, between 0 and 1.
        estimate: current estimate; the first value initializes it.
    """

    quantile: float
    estimate: float = 0.0

    def observe(self, value: float) -> None:
        """Update the estimate with a value above 0."""
        if not self.estimate:
            self.estimate = value
        elif value > self.estimate:
            self.estimate *= 1 + STEP_FRACTION * self.quantile
        else:
            self.estimate *= 1 - STEP_FRACTION * (1 - self.quantile)
