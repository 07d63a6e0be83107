"""Requests stop at their deadlines even if the machine was suspended meanwhile."""

import asyncio

import pytest

from wharfcart.experiments.virtual_time import run_in_virtual_time
from wharfcart.routing import deadlines
from wharfcart.routing.deadlines import Deadlines


class SuspendableClock:
    """The loop's time plus the time of simulated suspensions."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended_s = 0.0
        monkeypatch.setattr(deadlines, "monotonic", self.now)

    def now(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended_s


async def seconds_until_timeout(limits: Deadlines, deadline: float) -> float:
    """Return the loop time in seconds after which an unanswered request times out."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    with pytest.raises(TimeoutError):
        async with limits.enforce(deadline):
            await asyncio.sleep(3600)
    return loop.time() - began_at


@pytest.mark.parametrize(("suspended_s", "ends_after_s"), [(0.0, 8.0), (3.0, 5.0), (60.0, 1.0)])
def test_deadline_includes_suspended_time(
    monkeypatch: pytest.MonkeyPatch, suspended_s: float, ends_after_s: float
) -> None:
    """The machine is suspended after one second."""

    async def scenario() -> float:
        clock = SuspendableClock(monkeypatch)
        limits = Deadlines()
        request = asyncio.create_task(seconds_until_timeout(limits, clock.now() + 8.0))
        await asyncio.sleep(1.0)
        clock.suspended_s = suspended_s
        limits.reschedule_all()
        return await request

    assert run_in_virtual_time(scenario()) == pytest.approx(ends_after_s, abs=0.01)


def test_finished_requests_are_removed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        clock = SuspendableClock(monkeypatch)
        limits = Deadlines()
        async with limits.enforce(clock.now() + 8.0):
            pass
        await seconds_until_timeout(limits, clock.now() + 1.0)
        assert not limits._deadline_by_timeout

    run_in_virtual_time(scenario())
