"""Detects suspensions of the machine and notifies code whose timers stopped meanwhile."""

import asyncio
from collections.abc import Callable

from wharfcart.clock import SuspensionDetector, suspended_s
from wharfcart.observability.decisions import DecisionLog, Event

# Longest delay from the end of a suspension to its detection.
CHECK_INTERVAL_S = 0.2


class SuspensionWatch:
    """Checks for suspensions periodically.

    Args:
        detector: detects suspensions of the machine.
        log: receives a line for each suspension.

    Attributes:
        on_resumed: called after each suspension.
    """

    def __init__(self, detector: SuspensionDetector, log: DecisionLog) -> None:
        self._detector = detector
        self._log = log
        self._resumed_at = detector.resumed_at()
        self._last_total_s = suspended_s()
        self.on_resumed: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log a suspension since the last call, and notify its listener."""
        resumed_at = self._detector.resumed_at()
        if resumed_at == self._resumed_at:
            return
        self._resumed_at = resumed_at
        previous_s, self._last_total_s = self._last_total_s, suspended_s()
        self._log.write(
            Event.MACHINE_RESUMED, suspended_s=round(self._last_total_s - previous_s, 2)
        )
        self.on_resumed()
