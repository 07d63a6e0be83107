"""How a batch item stands against its due time, and what that means for its slot.

Pure: times are handed in as seconds.
"""

from dataclasses import dataclass

# An item is urgent once so little time is left beside what it probably still runs.
MIN_SLACK_S = 1.0
# With less time left than this part of what it probably still runs it comes too late. What is
# planned is 1.3 times the mean, so that such an item is rather late than not. Where more comes than
# fits, items with a smaller chance take slots from others, which then have a small one themselves.
TOO_LATE_FRACTION = 0.77
# An item that has run as long as was thought still runs for this part of that time.
MIN_REMAINING_FRACTION = 0.2


@dataclass(frozen=True, slots=True)
class Urgency:
    """How an item stands against its due time.

    Attributes:
        left_s: until the item is due; below 0 afterwards.
        remaining_s: that it probably still runs.
    """

    until_due_s: float
    remaining_s: float

    @property
    def slack_s(self) -> float:
        """Time that it may still wait."""
        return self.until_due_s - self.remaining_s

    @property
    def is_too_late(self) -> bool:
        """Whether it can't be done in time any more."""
        return self.until_due_s < self.remaining_s * TOO_LATE_FRACTION

    @property
    def is_urgent(self) -> bool:
        """Whether it is done in time only if it runs from now on."""
        return not self.is_too_late and self.slack_s < MIN_SLACK_S

    @property
    def order(self) -> tuple[bool, float]:
        """Sorts first what loses least if it waits."""
        return not self.is_too_late, -self.slack_s

    def after_waiting(self, seconds: float) -> "Urgency":
        """Return how the item stands once it has waited for so long."""
        return Urgency(self.until_due_s - seconds, self.remaining_s)

    def after_running(self, seconds: float) -> "Urgency":
        """Return how the item stands once it has run for so long."""
        least_s = self.remaining_s * MIN_REMAINING_FRACTION
        return Urgency(self.until_due_s - seconds, max(least_s, self.remaining_s - seconds))
