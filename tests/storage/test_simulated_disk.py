"""The simulated disk runs its calls like the real one."""

import asyncio
import random
import threading
from collections.abc import Awaitable, Callable
from pathlib import Path

from wharfcart.experiments.simulated_storage import SimulatedDisk
from wharfcart.experiments.virtual_time import run_in_virtual_time
from wharfcart.storage.disk import Disk
from wharfcart.storage.job_database import JobDatabase

Promise = Callable[[int], Awaitable[bool]]


async def cancel_running_and_waiting(
    promise: Promise, begin: Callable[[], Awaitable[None]]
) -> None:
    """Promise epochs 1 to 3; cancel the first call once it runs, and the second before it does."""
    calls = [asyncio.ensure_future(promise(epoch)) for epoch in (1, 2, 3)]
    await begin()
    calls[0].cancel()
    calls[1].cancel()
    await asyncio.sleep(0)
    assert calls[0].cancelled() and calls[1].cancelled()


def test_the_simulated_disk_runs_a_call_whose_caller_was_cancelled_after_it_began() -> None:
    """Guards against a simulation in which a cancelled handler leaves no write behind."""
    promised: list[int] = []

    async def scenario() -> None:
        database = JobDatabase(None)
        database.promise_epoch = lambda _group, epoch: promised.append(epoch) or True  # type: ignore
        disk = SimulatedDisk(random.Random(1), database)

        async def begin() -> None:
            await asyncio.sleep(disk.delay_s / 4)

        await cancel_running_and_waiting(lambda epoch: disk.promise_epoch(0, epoch), begin)
        await asyncio.sleep(1.0)

    run_in_virtual_time(scenario())
    assert promised == [1, 3]


def test_the_real_disk_runs_a_call_whose_caller_was_cancelled_after_it_began(
    tmp_path: Path,
) -> None:
    """The simulated disk is only as good as its likeness to this."""
    promised: list[int] = []
    began, may_end = threading.Event(), threading.Event()

    async def scenario() -> None:
        disk = Disk(tmp_path)
        await disk.open()
        database = disk._database
        assert database is not None

        def promise(_group: int, epoch: int) -> bool:
            began.set()
            may_end.wait(10)
            promised.append(epoch)
            return True

        database.promise_epoch = promise  # type: ignore[method-assign]

        async def begin() -> None:
            await asyncio.to_thread(began.wait, 10)

        await cancel_running_and_waiting(lambda epoch: disk.promise_epoch(0, epoch), begin)
        may_end.set()
        await disk.close()

    asyncio.run(scenario())
    assert promised == [1, 3]


def test_the_simulated_disk_runs_its_calls_in_order() -> None:
    """Guards against a simulation in which a short write overtakes a long one."""

    async def scenario() -> None:
        database = JobDatabase(None)
        promised: list[int] = []
        database.promise_epoch = lambda _group, epoch: promised.append(epoch) or True  # type: ignore
        disk = SimulatedDisk(random.Random(1), database)
        await asyncio.gather(*(disk.promise_epoch(0, epoch) for epoch in range(20)))
        assert promised == list(range(20))

    run_in_virtual_time(scenario())
