"""Urgency of a batch item: its estimated run time compared with its due time.

This module does no I/O; callers pass in the time in seconds.
"""

from dataclasses import dataclass

# An item with less slack is urgent.
MIN_SLACK_S = 1.0
# Share of the remaining run time. That is estimated as 1.3 times the mean, so an item with less
# time left is more likely late than not, and would only take slots from items that can be in time.
TOO_LATE_FRACTION = 0.77
# Share of the estimated run time; the least that an item is assumed to still run.
MIN_REMAINING_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class Urgency:
    """Time until a batch item is due, and its estimated remaining run time.

    Attributes:
        until_due_s: seconds until the item is due; negative afterwards.
        remaining_s: estimated seconds that the item still has to run.
    """

    until_due_s: float
    remaining_s: float

    @property
    def slack_s(self) -> float:
        """Seconds that the item can wait and still finish in time."""
        return self.until_due_s - self.remaining_s

    @property
    def is_too_late(self) -> bool:
        """Whether the item is unlikely to finish in time even if it starts now."""
        return self.until_due_s < self.remaining_s * TOO_LATE_FRACTION

    @property
    def is_urgent(self) -> bool:
        """Whether the item finishes in time only if it runs from now on."""
        return not self.is_too_late and self.slack_s < MIN_SLACK_S

    @property
    def order(self) -> tuple[bool, float]:
        """Sort key of preemption: items that are too late first, then by descending slack."""
        return not self.is_too_late, -self.slack_s

    def after_waiting(self, seconds: float) -> "Urgency":
        """Return the urgency after the item has waited for a time."""
        return Urgency(self.until_due_s - seconds, self.remaining_s)

    def after_running(self, seconds: float) -> "Urgency":
        """Return the urgency after the item has run for a time."""
        min_remaining_s = self.remaining_s * MIN_REMAINING_FRACTION
        return Urgency(self.until_due_s - seconds, max(min_remaining_s, self.remaining_s - seconds))
