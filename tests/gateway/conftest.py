"""One small fleet inside the test process, shared by the gateway's tests."""

import asyncio
import threading
from collections.abc import Iterator

import pytest

from wharfcart.experiments.dev_fleet import DevFleet
from wharfcart.experiments.example_fleets import Profile


@pytest.fixture(scope="session")
def fleet() -> Iterator[DevFleet]:
    """Run the embedded fleet on a loop of its own, as `wharfcart dev` does."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()

    async def make() -> DevFleet:
        made = DevFleet(Profile.REGISTRATION, 3, "127.0.0.1:0")
        await made.start()
        return made

    running = asyncio.run_coroutine_threadsafe(make(), loop).result(60)
    yield running
    asyncio.run_coroutine_threadsafe(running.stop(), loop).result(60)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
