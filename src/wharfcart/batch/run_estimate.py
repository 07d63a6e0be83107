"""Estimates the remaining run time of an item from the items that have finished.

This module does no I/O; callers pass in the time in seconds.
"""

from dataclasses import dataclass

# Weight of a finished item in the moving averages.
LEARNING_RATE = 0.1
# Lower bound of the remaining share: an item may produce more events than the mean.
MIN_REMAINING_SHARE = 0.2
# Plans for items that are longer than the mean.
SIZE_MARGIN_FACTOR = 1.3
# Share of the job's objective that a run takes, used until an item has finished.
DEFAULT_SHARE_OF_OBJECTIVE = 0.4


@dataclass
class RunEstimate:
    """Moving averages over the items of one service.

    Attributes:
        mean_events: events of a complete item; 0 until one has finished.
        seconds_per_event: run time per event, without waiting for a slot; 0 until an item has
            finished under this leader.
    """

    mean_events: float = 0.0
    seconds_per_event: float = 0.0

    def record_finished(self, events: int, run_time_s: float) -> None:
        """Update size and speed from an item that has succeeded.

        Args:
            events: events of the item over all attempts.
            run_time_s: total duration of its attempts.
        """
        if events <= 0:
            return
        if not self.seconds_per_event:
            self.mean_events, self.seconds_per_event = events, run_time_s / events
            return
        self.mean_events += LEARNING_RATE * (events - self.mean_events)
        self.seconds_per_event += LEARNING_RATE * (run_time_s / events - self.seconds_per_event)

    def record_earlier_result(self, events: int) -> None:
        """Update the size from an item that finished under an earlier leader.

        Has no effect once an item has finished under this leader.

        Args:
            events: events of the item.
        """
        if not self.seconds_per_event and events > 0:
            self.mean_events += (LEARNING_RATE if self.mean_events else 1.0) * (
                events - self.mean_events
            )

    def repeat_s(self, events_done: int, objective_s: float, run_time_s: float = 0.0) -> float:
        """Return the estimated run time that is lost if an item begins anew.

        The arguments are those of :meth:`remaining_s`.
        """
        if self.seconds_per_event:
            return events_done * self.seconds_per_event
        # Of an item that an earlier leader ran, the run time is unknown.
        planned_s = objective_s * DEFAULT_SHARE_OF_OBJECTIVE
        return max(run_time_s, planned_s * MIN_REMAINING_SHARE)

    def remaining_s(self, events_done: int, objective_s: float, run_time_s: float = 0.0) -> float:
        """Return the estimated remaining run time of an item, without interruptions.

        Args:
            events_done: events received so far.
            objective_s: completion objective of the job; used until an item has finished.
            run_time_s: run time so far; used until the size of an item is known.
        """
        if not self.seconds_per_event:
            planned_s = objective_s * DEFAULT_SHARE_OF_OBJECTIVE
            if self.mean_events:
                share_left = 1 - events_done / (self.mean_events * SIZE_MARGIN_FACTOR)
                return planned_s * max(MIN_REMAINING_SHARE, share_left)
            return max(planned_s - run_time_s, planned_s * MIN_REMAINING_SHARE)
        planned_events = self.mean_events * SIZE_MARGIN_FACTOR - events_done
        return max(planned_events, self.mean_events * MIN_REMAINING_SHARE) * self.seconds_per_event
