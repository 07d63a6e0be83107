"""Fixtures: small fleets inside the test process."""

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
    """Run a fleet on an event loop in its own thread."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    async def make() -> DevFleet:
        created = DevFleet(Profile.REGISTRATION, 3, "127.0.0.1:0")
        await created.start()
        return created

    running = asyncio.run_coroutine_threadsafe(make(), loop).result(START_TIMEOUT_S)
    yield running
    asyncio.run_coroutine_threadsafe(running.stop(), loop).result(START_TIMEOUT_S)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()


@pytest.fixture(scope="session")
def fleet() -> Iterator[DevFleet]:
    """Fleet shared by the tests that don't change its engines."""
    with _running_fleet() as running:
        yield running


@pytest.fixture
def own_fleet() -> Iterator[DevFleet]:
    """Separate fleet for a test that changes the engines' models or adapters."""
    with _running_fleet() as running:
        yield running
