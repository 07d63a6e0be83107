"""Monotonic clock that keeps counting while the machine is suspended.

A machine may be suspended for seconds. The system's monotonic clock and every timer of the event
loop stop meanwhile, while time passes for the rest of the fleet: leases, permits and load snapshots
expire. Decisions therefore use this clock, and the event loop's time only limits how long a call
waits (see :class:`SuspensionDetector`).
"""

import math
import time

# Linux's clock that includes suspended time; without it, suspensions are not detected.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Shorter differences come from reading the two clocks one after the other.
MIN_SUSPENSION_S = 0.05


def monotonic() -> float:
    """Return seconds since an arbitrary point in the past, including suspended time."""
    return time.clock_gettime(_BOOT_CLOCK)


def suspended_s() -> float:
    """Return the total time in seconds that the machine has been suspended since it started."""
    return monotonic() - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionDetector:
    """Detects suspensions of the machine by comparing the two clocks on each query."""

    def __init__(self) -> None:
        self._last_total_s = suspended_s()
        self._resumed_at = -math.inf

    def resumed_at(self) -> float:
        """Return the monotonic time at which the last suspension was detected; -inf if none was.

        Leases and leaderships that were confirmed before this time must be confirmed again.
        """
        previous_s, self._last_total_s = self._last_total_s, suspended_s()
        if self._last_total_s - previous_s > MIN_SUSPENSION_S:
            self._resumed_at = monotonic()
        return self._resumed_at
