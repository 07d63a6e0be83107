"""Small fleets inside the test process."""

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from wharfcart.experiments.dev_fleet import DevFleet
from wharfcart.experiments.example_fleets import Profile

START_TIMEOUT_S = 60


@contextmanager
def _running_fleet() -> Iterator[DevFleet]:
    """Run an embedded fleet on a loop of its own, as `wharfcart dev` does."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    async def make() -> DevFleet:
        made = DevFleet(Profile.REGISTRATION, 3, "127.0.0.1:0")
        await made.start()
        return made

    running = asyncio.run_coroutine_threadsafe(make(), loop).result(START_TIMEOUT_S)
    yield running
    asyncio.run_coroutine_threadsafe(running.stop(), loop).result(START_TIMEOUT_S)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@pytest.fixture(scope="session")
def fleet() -> Iterator[DevFleet]:
    """One fleet shared by the tests that leave it as it was."""
    with _running_fleet() as running:
        yield running


@pytest.fixture
def own_fleet() -> Iterator[DevFleet]:
    """A fleet for a test that changes what engines hold."""
    with _running_fleet() as running:
        yield running
