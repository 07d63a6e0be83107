"""Background tasks that meet unexpected errors."""

import asyncio
import logging

import pytest

from wharfcart.observability import tasks
from wharfcart.observability.tasks import BackgroundTasks, failures_by_task


class UnexpectedError(Exception):
    """An error that no code expects."""


class Loop:
    """A loop that fails at given rounds."""

    def __init__(self, failing_rounds: set[int]) -> None:
        self._failing_rounds = failing_rounds
        self.rounds = 0
        self.starts = 0

    async def run(self) -> None:
        self.starts += 1
        while True:
            await asyncio.sleep(0)
            self.rounds += 1
            if self.rounds in self._failing_rounds:
                raise UnexpectedError


@pytest.fixture(autouse=True)
def short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tasks, "MIN_RESTART_DELAY_S", 0.001)
    monkeypatch.setattr(tasks, "MAX_RESTART_DELAY_S", 0.004)


# Guards against a subsystem that stands still in a process that goes on.
def test_a_supervised_loop_starts_again_after_each_error() -> None:
    async def scenario() -> None:
        loop, background = Loop({3, 4, 9}), BackgroundTasks()
        before = failures_by_task["Loop.run"]
        background.supervise(loop.run)
        async with asyncio.timeout(5):
            while loop.rounds < 50:
                await asyncio.sleep(0)
        assert loop.starts == 4
        assert failures_by_task["Loop.run"] == before + 3
        await background.stop()
        rounds = loop.rounds
        await asyncio.sleep(0.01)
        assert loop.rounds == rounds

    asyncio.run(scenario())


def test_a_supervised_task_ends_when_its_work_is_done() -> None:
    async def work() -> None:
        await asyncio.sleep(0)

    async def scenario() -> None:
        await asyncio.wait_for(BackgroundTasks().supervise(work), 5)

    asyncio.run(scenario())


# Guards against a failure that can't be told from others in the log.
def test_a_failed_task_is_logged_by_its_name_and_counted(caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        loop, background = Loop({1}), BackgroundTasks()
        task = background.spawn(loop.run())
        await asyncio.wait((task,))
        await asyncio.sleep(0)

    before = failures_by_task["Loop.run"]
    with caplog.at_level(logging.ERROR):
        asyncio.run(scenario())
    (record,) = caplog.records
    assert record.__dict__["task"] == "Loop.run"
    assert record.exc_info is not None
    assert failures_by_task["Loop.run"] == before + 1
