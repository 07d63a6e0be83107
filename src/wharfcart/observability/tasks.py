"""Background tasks of one object: kept until they end, their failures logged."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that nobody awaits.

    The event loop holds tasks weakly: one that nobody keeps may vanish halfway.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work in a task of its own and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.track(task)
        return task

    def track(self, task: asyncio.Task[None]) -> None:
        """Keep a task until it ends."""
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def cancel(self) -> None:
        """Cancel every task that still runs."""
        for task in list(self._tasks):
            task.cancel()

    async def stop(self) -> None:
        """Cancel every task and wait until all have ended."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("task failed", exc_info=task.exception())
