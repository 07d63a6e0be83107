"""How long an item still has to run, learnt from finished items.

Pure: times are handed in as seconds.
"""

from dataclasses import dataclass

# Each finished item moves the means by this part.
LEARNING_RATE = 0.1
# Items differ: one that has given as many events as the mean may give some more.
MIN_REMAINING_SHARE = 0.2
# Longer items than the mean are planned for.
SIZE_MARGIN_FACTOR = 1.3
# Before any item has finished, a run is taken to need this part of its job's objective.
DEFAULT_SHARE_OF_OBJECTIVE = 0.4


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
        if not self.seconds_an_event:
            self.events, self.seconds_an_event = events, ran_s / events
            return
        self.events += LEARNING_RATE * (events - self.events)
        self.seconds_an_event += LEARNING_RATE * (ran_s / events - self.seconds_an_event)

    def finished_before(self, events: int) -> None:
        """Learn how large items are from one that an earlier leader had finished.

        Args:
            events: that it gave.
        """
        if not self.seconds_an_event and events > 0:
            self.events += (LEARNING_RATE if self.events else 1.0) * (events - self.events)

    def remaining_s(self, events_done: int, objective_s: float, ran_s: float = 0.0) -> float:
        """Return how long an item probably still runs if nothing cuts it.

        Args:
            events_done: events that it has given so far.
            objective_s: of its job, for the time before any item has finished.
            ran_s: how long it has run so far, for that time.
        """
        if not self.seconds_an_event:
            planned_s = objective_s * DEFAULT_SHARE_OF_OBJECTIVE
            if self.events:
                share_left = 1 - events_done / (self.events * SIZE_MARGIN_FACTOR)
                return planned_s * max(MIN_REMAINING_SHARE, share_left)
            return max(planned_s - ran_s, planned_s * MIN_REMAINING_SHARE)
        planned = self.events * SIZE_MARGIN_FACTOR - events_done
        return max(planned, self.events * MIN_REMAINING_SHARE) * self.seconds_an_event
