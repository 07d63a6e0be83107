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
        mean_events: events of a whole item; 0 while none has finished.
        seconds_per_event: running time, waits for a slot left out.
    """

    mean_events: float = 0.0
    seconds_per_event: float = 0.0

    def record_finished(self, events: int, run_time_s: float) -> None:
        """Learn from an item that has succeeded.

        Args:
            events: that it gave in all its runs.
            run_time_s: sum of the times of its runs.
        """
        if events <= 0:
            return
        if not self.seconds_per_event:
            self.mean_events, self.seconds_per_event = events, run_time_s / events
            return
        self.mean_events += LEARNING_RATE * (events - self.mean_events)
        self.seconds_per_event += LEARNING_RATE * (run_time_s / events - self.seconds_per_event)

    def record_earlier_result(self, events: int) -> None:
        """Learn how large items are from one that an earlier leader had finished.

        Args:
            events: that it gave.
        """
        if not self.seconds_per_event and events > 0:
            self.mean_events += (LEARNING_RATE if self.mean_events else 1.0) * (
                events - self.mean_events
            )

    def remaining_s(self, events_done: int, objective_s: float, run_time_s: float = 0.0) -> float:
        """Return how long an item probably still runs if nothing cuts it.

        Args:
            events_done: events that it has given so far.
            objective_s: of its job, for the time before any item has finished.
            run_time_s: how long it has run so far, for that time.
        """
        if not self.seconds_per_event:
            planned_s = objective_s * DEFAULT_SHARE_OF_OBJECTIVE
            if self.mean_events:
                share_left = 1 - events_done / (self.mean_events * SIZE_MARGIN_FACTOR)
                return planned_s * max(MIN_REMAINING_SHARE, share_left)
            return max(planned_s - run_time_s, planned_s * MIN_REMAINING_SHARE)
        planned = self.mean_events * SIZE_MARGIN_FACTOR - events_done
        return max(planned, self.mean_events * MIN_REMAINING_SHARE) * self.seconds_per_event
