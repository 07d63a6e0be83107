"""Background tasks of one object: referenced until done, with failures logged."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks that no caller awaits.

    The event loop has only weak references to tasks, so an unreferenced task can be garbage
    collected before it is done.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task and return the task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.track(task)
        return task

    def track(self, task: asyncio.Task[None]) -> None:
        """Hold a reference to a task until it is done."""
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def stop(self) -> None:
        """Cancel all tasks and wait until they are done."""
        self.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("task failed", exc_info=task.exception())
