"""An asyncio event loop with virtual time: its clock advances to the next timer without waiting.

Tasks must not wait for real sockets or threads. With seeded randomness a run is deterministic.
"""

import asyncio
import selectors
from collections.abc import Coroutine, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar
from unittest import mock

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout and return at once."""
        if timeout is None:
            raise RuntimeError("deadlock: no task is ready and no timer is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _JumpingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to completion in virtual time and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def virtual_monotonic() -> float:
    """Return the virtual time; a replacement for :func:`time.monotonic`."""
    return asyncio.get_event_loop().time()


@contextmanager
def virtual_clock(modules: Iterable[str]) -> Iterator[None]:
    """Patch ``monotonic`` in the given modules to return virtual time."""
    patches = [mock.patch(f"{module}.monotonic", virtual_monotonic) for module in modules]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
