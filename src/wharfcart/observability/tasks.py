"""Background tasks of one object: referenced until done, with failures logged and counted."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from wharfcart.clock import monotonic

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0

logger = logging.getLogger(__name__)

# Unexpected errors of this process since its start, by the name of the task that met them.
failures_by_task: Counter[str] = Counter()


def record_failure(name: str, error: BaseException) -> None:
    """Log an unexpected error with its trace, and count it.

    Args:
        name: name of the task; one of few, since each becomes a label of a metric.
        error: the error.
    """
    failures_by_task[name] += 1
    logger.error("task failed", exc_info=error, extra={"task": name})


class BackgroundTasks:
    """Tasks that no caller awaits.

    The event loop has only weak references to tasks, so an unreferenced task can be garbage
    collected before it is done.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task and return the task.

        An unexpected error ends it. The coroutine itself leaves its work in a known state then.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        self.track(task)
        return task

    def supervise(self, run: Callable[[], Coroutine[Any, Any, None]]) -> asyncio.Task[None]:
        """Run a loop as a task that starts again after an unexpected error, and return the task.

        For loops that others rely on for as long as their process or leadership lasts. The delay
        before a start doubles while the loop fails soon after each.

        Args:
            run: the loop; each call continues from the state of its object.
        """
        return self.spawn(_run_supervised(run))

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
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            record_failure(_name_of(task.get_coro()), error)


async def _run_supervised(run: Callable[[], Coroutine[Any, Any, None]]) -> None:
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_at = monotonic()
        try:
            await run()
            return
        except Exception as error:
            record_failure(_name_of(run), error)
        if monotonic() - started_at > MAX_RESTART_DELAY_S:
            delay_s = MIN_RESTART_DELAY_S
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)


def _name_of(work: object) -> str:
    function = work.func if isinstance(work, partial) else work
    return str(getattr(function, "__qualname__", type(function).__name__))
