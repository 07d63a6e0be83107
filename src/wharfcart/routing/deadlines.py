"""Deadlines of requests in progress, also over a suspension of the machine.

A timer of the event loop stands still while the machine is suspended. Set anew once it goes on, it
ends a request at its deadline, and with it the back end's work, not later by as long as that took.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wharfcart.clock import monotonic


class Deadlines:
    """Limits of the requests of one process."""

    def __init__(self) -> None:
        self._deadline_by_timeout: dict[asyncio.Timeout, float] = {}

    @asynccontextmanager
    async def enforce(self, deadline: float) -> AsyncIterator[None]:
        """End what runs inside at a deadline.

        Args:
            deadline: monotonic time.

        Raises:
            TimeoutError: it has passed.
        """
        async with asyncio.timeout(deadline - monotonic()) as limit:
            self._deadline_by_timeout[limit] = deadline
            try:
                yield
            finally:
                del self._deadline_by_timeout[limit]

    def reschedule_all(self) -> None:
        """Set all timers anew: the machine was suspended."""
        now = asyncio.get_running_loop().time()
        for limit, deadline in self._deadline_by_timeout.items():
            if not limit.expired():
                limit.reschedule(now + max(0.0, deadline - monotonic()))
