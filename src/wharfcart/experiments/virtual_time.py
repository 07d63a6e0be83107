"""An asyncio event loop whose clock jumps to the next timer: hours pass in a moment.

Nothing may wait for a real socket or thread. With seeded randomness a run repeats exactly.
"""

import asyncio
import selectors
from collections.abc import Coroutine, Iterable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar
from unittest import mock

Result = TypeVar("Result")


class _JumpingSelector(selectors.SelectSelector):
    """A selector that, instead of waiting, tells the loop how long it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return at once; the clock moves on by the timeout."""
        if timeout is None:
            raise RuntimeError("every task waits for ever")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """The event loop."""

    def __init__(self) -> None:
        self._virtual_selector = _JumpingSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_in_virtual_time(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine to its end in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def virtual_monotonic() -> float:
    """Stand in for :func:`time.monotonic` inside the loop."""
    return asyncio.get_event_loop().time()


@contextmanager
def virtual_clock(modules: Iterable[str]) -> Iterator[None]:
    """Have modules that import ``monotonic`` by name read the virtual clock."""
    patches = [mock.patch(f"{module}.monotonic", virtual_monotonic) for module in modules]
    for patch in patches:
        patch.start()
    try:
        yield
    finally:
        for patch in patches:
            patch.stop()
