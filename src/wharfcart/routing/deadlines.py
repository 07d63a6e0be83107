"""Deadlines of requests in progress that hold across a suspension of the machine.

Timers of the event loop do not advance while the machine is suspended. Rescheduling them afterwards
ensures that requests, and their work at the back ends, stop at their deadlines.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wharfcart.clock import monotonic


class Deadlines:
    """The deadlines of the requests of one process."""

    def __init__(self) -> None:
        self._deadline_by_timeout: dict[asyncio.Timeout, float] = {}

    @asynccontextmanager
    async def enforce(self, deadline: float) -> AsyncIterator[None]:
        """Cancel the body of the context at a deadline.

        Args:
            deadline: monotonic time in seconds.

        Raises:
            TimeoutError: The deadline has passed.
        """
        async with asyncio.timeout(deadline - monotonic()) as timer:
            self._deadline_by_timeout[timer] = deadline
            try:
                yield
            finally:
                del self._deadline_by_timeout[timer]

    def reschedule_all(self) -> None:
        """Reschedule all timers after a suspension of the machine."""
        now = asyncio.get_running_loop().time()
        for timer, deadline in self._deadline_by_timeout.items():
            if not timer.expired():
                timer.reschedule(now + max(0.0, deadline - monotonic()))
