"""Notices that the machine was suspended, and tells those whose timers stood still."""

import asyncio
from collections.abc import Callable

from wharfcart.clock import SuspensionDetector, suspended_s
from wharfcart.observability.decisions import DecisionLog, Event

# A suspension is noticed so late at most: timers go on from where they stood.
CHECK_INTERVAL_S = 0.2


class SuspensionWatch:
    """Looks from time to time.

    Args:
        suspensions: of the machine.
        log: takes a line for each suspension.

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
        """Look until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Tell if the machine was suspended since this was called last."""
        resumed_at = self._detector.resumed_at()
        if resumed_at == self._resumed_at:
            return
        self._resumed_at = resumed_at
        known_s, self._last_total_s = self._last_total_s, suspended_s()
        self._log.write(Event.MACHINE_RESUMED, suspended_s=round(self._last_total_s - known_s, 2))
        self.on_resumed()
