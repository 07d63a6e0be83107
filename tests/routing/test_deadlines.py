"""A request ends at its deadline although its timer stood still for a while."""

import asyncio

import pytest

from wharfcart.experiments.virtual_time import run_virtually
from wharfcart.routing import deadlines
from wharfcart.routing.deadlines import Deadlines


class SuspendedClock:
    """The loop's time, and what passed beside it in a suspension."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.suspended_s = 0.0
        monkeypatch.setattr(deadlines, "monotonic", self.now)

    def now(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended_s


async def ended_after(limits: Deadlines, deadline: float) -> float:
    """Return after how long, by the loop's time, a request that gets no answer ends."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    with pytest.raises(TimeoutError):
        async with limits.limit(deadline):
            await asyncio.sleep(3600)
    return loop.time() - began_at


@pytest.mark.parametrize(("suspended_s", "ends_after_s"), [(0.0, 8.0), (3.0, 5.0), (60.0, 1.0)])
def test_a_suspension_counts(
    monkeypatch: pytest.MonkeyPatch, suspended_s: float, ends_after_s: float
) -> None:
    """After a second the machine is suspended."""

    async def scenario() -> float:
        clock = SuspendedClock(monkeypatch)
        limits = Deadlines()
        request = asyncio.create_task(ended_after(limits, clock.now() + 8.0))
        await asyncio.sleep(1.0)
        clock.suspended_s = suspended_s
        limits.resumed()
        return await request

    assert run_virtually(scenario()) == pytest.approx(ends_after_s, abs=0.01)


def test_what_has_ended_is_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        clock = SuspendedClock(monkeypatch)
        limits = Deadlines()
        async with limits.limit(clock.now() + 8.0):
            pass
        await ended_after(limits, clock.now() + 1.0)
        assert not limits._deadline_by_limit

    run_virtually(scenario())
