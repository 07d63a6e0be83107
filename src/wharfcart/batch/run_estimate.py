"""How long an item still has to run, learnt from finished items, and how urgent that makes it.

Pure: times are handed in as seconds.
"""

from dataclasses import dataclass

# Each finished item moves the means by this part.
LEARNING_RATE = 0.1
# Items differ: one that has given as many events as the mean may give some more.
LEAST_SHARE_LEFT = 0.2
# Longer items than the mean are planned for.
SIZE_MARGIN = 1.3
# Before any item has finished, a run is taken to need this part of its job's objective.
UNKNOWN_SHARE_OF_OBJECTIVE = 0.4
# An item is urgent once so little time is left beside what it probably still runs.
LEAST_SLACK_S = 1.0
# With less time left than this part of what it probably still runs it comes too late.
HOPELESS_SHARE = 0.5


@dataclass(frozen=True)
class Urgency:
    """How an item stands against its due time.

    Attributes:
        left_s: until the item is due; below 0 afterwards.
        remaining_s: that it probably still runs.
    """

    left_s: float
    remaining_s: float

    @property
    def slack_s(self) -> float:
        """Time that it may still wait."""
        return self.left_s - self.remaining_s

    @property
    def too_late(self) -> bool:
        """Whether it can't be done in time any more."""
        return self.left_s < self.remaining_s * HOPELESS_SHARE

    @property
    def urgent(self) -> bool:
        """Whether it is done in time only if it runs from now on."""
        return not self.too_late and self.slack_s < LEAST_SLACK_S

    @property
    def order(self) -> tuple[bool, float]:
        """Sorts first what loses least if it waits."""
        return not self.too_late, -self.slack_s


@dataclass
class RunEstimate:
    """Means over the items of one service.

    Attributes:
        events: events of a whole item; 0 while none has finished.
        seconds_an_event: running time, waits for a slot left out.
    """

    events: float = 0.0
    seconds_an_event: float = 0.0

    def finished(self, events: int, ran_s: float) -> None:
        """Learn from an item that has succeeded.

        Args:
            events: that it gave in all its runs.
            ran_s: sum of the times of its runs.
        """
        if events <= 0:
            return
        if not self.events:
            self.events, self.seconds_an_event = events, ran_s / events
            return
        self.events += LEARNING_RATE * (events - self.events)
        self.seconds_an_event += LEARNING_RATE * (ran_s / events - self.seconds_an_event)

    def remaining_s(self, events_done: int, objective_s: float) -> float:
        """Return how long an item probably still runs if nothing cuts it.

        Args:
            events_done: events that it has given so far.
            objective_s: of its job, for the time before anything is known.
        """
        if not self.events:
            return objective_s * UNKNOWN_SHARE_OF_OBJECTIVE
        planned = self.events * SIZE_MARGIN - events_done
        return max(planned, self.events * LEAST_SHARE_LEFT) * self.seconds_an_event
