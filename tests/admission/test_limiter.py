"""A limit holds, and a burst of callers within it is not refused."""

import asyncio

from wharfcart.admission.limiter import Limiter
from wharfcart.cluster.address import Address
from wharfcart.cluster.transport import Transport
from wharfcart.configuration.schema import Limits
from wharfcart.errors import Outcome, ServingError


async def _refuse_calls(frame: object, respond: object) -> None:
    raise AssertionError("no call expected")


def _limiter() -> Limiter:
    return Limiter("a", lambda: ["a"], lambda _: None, Transport(_refuse_calls))


def _run_burst(callers: int, limits: Limits) -> list[BaseException | None]:
    async def burst() -> list[BaseException | None]:
        limiter = _limiter()
        checks = (limiter.check("tenant/x", limits) for _ in range(callers))
        return await asyncio.gather(*checks, return_exceptions=True)

    return asyncio.run(burst())


def test_burst_within_the_limit_is_admitted() -> None:
    outcomes = _run_burst(100, Limits(requests_per_second=200, burst=100))
    assert outcomes == [None] * 100


def test_burst_beyond_the_limit_is_refused_as_not_run() -> None:
    outcomes = _run_burst(60, Limits(requests_per_second=0.001, burst=40))
    refused = [outcome for outcome in outcomes if isinstance(outcome, ServingError)]
    assert len(refused) == 20
    assert {error.outcome for error in refused} == {Outcome.NOT_RUN}
    assert all(error.retry_after_seconds for error in refused)


def test_unresponsive_coordinator_falls_back_to_a_local_share() -> None:
    async def check() -> int:
        nobody_listens = Address("127.0.0.1", 1)
        transport = Transport(_refuse_calls)
        limiter = Limiter("a", lambda: ["gone"], lambda _: nobody_listens, transport)
        limits = Limits(requests_per_second=1, burst=10)
        checks = (limiter.check("tenant/x", limits) for _ in range(30))
        outcomes = await asyncio.gather(*checks, return_exceptions=True)
        return outcomes.count(None)

    assert 1 <= asyncio.run(check()) <= 20
