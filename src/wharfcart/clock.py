"""Time that decisions are made by: it goes on while the machine is suspended.

A machine may be suspended for seconds. The system's monotonic clock, and with it every timer of the
event loop, stands still meanwhile; to the rest of the fleet the time passes. A lease, a permit or a
picture of the load that was fresh before is old after it, whatever that clock says. So nothing here
is measured by the event loop's time but how long a call waits (see :class:`SuspensionDetector`).
"""

import math
import time

# Linux has a clock that counts suspensions; where there is none, suspensions are not noticed.
_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Two clocks that are read one after the other differ by less than this.
MIN_SUSPENSION_S = 0.05


def monotonic() -> float:
    """Return seconds since some moment in the past, time in which the machine was suspended too."""
    return time.clock_gettime(_BOOT_CLOCK)


def suspended_s() -> float:
    """Return for how long the machine has been suspended since it started."""
    return monotonic() - time.clock_gettime(time.CLOCK_MONOTONIC)


class SuspensionDetector:
    """Notices that the machine was suspended, whenever it is asked."""

    def __init__(self) -> None:
        self._last_total_s = suspended_s()
        self._resumed_at = -math.inf

    def resumed_at(self) -> float:
        """Return the monotonic time at which the last suspension was noticed; -inf if none was.

        What was confirmed before that is not sure any more.
        """
        known_s, self._last_total_s = self._last_total_s, suspended_s()
        if self._last_total_s - known_s > MIN_SUSPENSION_S:
            self._resumed_at = monotonic()
        return self._resumed_at
