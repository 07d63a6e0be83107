"""Simulation of rate limits for cold back ends; compares strategies on the same arrivals.

* ``product``: token buckets at the granting node; each gateway without a granting node has a share
  at a few back ends (:mod:`wharfcart.routing.cold_backends`);
* ``divided``: the same, but each such gateway has a smaller share at every back end;
* ``free``: such gateways send without a limit.

All warm back ends are full, so every request needs a cold one. A third of the gateways is
partitioned for a while. The granting node is replaced: at first no node grants, then two do.
Run as a module, it prints figures as JSON lines.
"""

import json
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.cold_backends import (
    LOCAL_CHOICE_SHARE,
    LOCAL_MAX_TOKENS,
    ColdBuckets,
    LocalColdShares,
    granted_rate,
)

SIZES = (10, 60, 200, 410)
RATES = (4.0, 19.0)
BACKENDS = tuple(f"i{n}" for n in range(20))
DURATION_S = 20.0
STEP_S = 0.01
DEMAND_FACTOR = 1.2
CUT_OFF_INTERVAL_S = (4.0, 14.0)
CUT_OFF_SHARE = 1 / 3
NO_GRANTER_INTERVAL_S = (8.0, 9.0)
TWO_GRANTERS_INTERVAL_S = (9.0, 9.5)
GRANT_WAIT_TIMEOUT_S = 0.25


class RateStrategy(StrEnum):
    """How gateways without a granting node limit the rate."""

    PRODUCT = "product"
    DIVIDED = "divided"
    FREE = "free"


@dataclass
class ColdBackendResult:
    """Result of one run.

    Attributes:
        max_excess: most requests within one second at one back end, minus the allowed number.
        requested: all requests.
        refused: refused requests.
        avoidable_refusals: refused requests although some back end was below its rate.
    """

    max_excess: float = -1e9
    requested: int = 0
    refused: int = 0
    avoidable_refusals: int = 0


class ColdBackendSimulation:
    """One run of a strategy."""

    def __init__(self, strategy: RateStrategy, gateways: int, rate: float, seed: int) -> None:
        self._strategy = strategy
        self._limit = ColdLimit(rate, DURATION_S)
        self._rng = Random(seed)
        names = [f"g{n}" for n in range(gateways)]
        self._shares = [LocalColdShares(name, lambda: gateways) for name in names]
        self._buckets = [ColdBuckets(LOCAL_MAX_TOKENS) for _ in names]
        self._granters = [ColdBuckets(), ColdBuckets()]
        self._arrivals: dict[str, deque[float]] = {name: deque() for name in BACKENDS}
        self.outcome = ColdBackendResult()

    def run(self) -> ColdBackendResult:
        """Run the simulation to its end and return the result."""
        demand = DEMAND_FACTOR * self._limit.requests_per_s * len(BACKENDS) * STEP_S
        waiting: deque[tuple[float, int]] = deque()
        for step in range(round(DURATION_S / STEP_S)):
            now = step * STEP_S
            arrival_count = int(demand) + (self._rng.random() < demand % 1)
            self.outcome.requested += arrival_count
            new = [(now, self._rng.randrange(len(self._shares))) for _ in range(arrival_count)]
            waiting.extend(new)
            self._serve(waiting, now)
        return self.outcome

    def _serve(self, waiting: deque[tuple[float, int]], now: float) -> None:
        for _ in range(len(waiting)):
            arrived_at, gateway = waiting.popleft()
            granter = self._granter_of(gateway, now)
            chosen = (
                self._choose_locally(gateway, now)
                if granter is None
                else self._choose_granted(granter, now)
            )
            if chosen is not None:
                self._send(chosen, now)
            elif granter is None or now - arrived_at >= GRANT_WAIT_TIMEOUT_S:
                self._refuse(now)
            else:
                waiting.append((arrived_at, gateway))

    def _granter_of(self, gateway: int, now: float) -> int | None:
        """Return the granting node that a gateway reaches; None if it reaches none."""
        cut_off = (
            gateway < len(self._shares) * CUT_OFF_SHARE
            and CUT_OFF_INTERVAL_S[0] <= now < CUT_OFF_INTERVAL_S[1]
        )
        if cut_off or NO_GRANTER_INTERVAL_S[0] <= now < NO_GRANTER_INTERVAL_S[1]:
            return None
        if now < NO_GRANTER_INTERVAL_S[0]:
            return 0
        return gateway % 2 if now < TWO_GRANTERS_INTERVAL_S[1] else 1

    def _choose_granted(self, granter: int, now: float) -> str | None:
        is_leadership_confirmed = granter == 1 or now < NO_GRANTER_INTERVAL_S[0]
        per_s = granted_rate(self._limit, is_leadership_confirmed)
        buckets = self._granters[granter]
        allowed = [name for name in BACKENDS if buckets.allows(name, per_s, now)]
        return self._spend_at_random(allowed, buckets)

    def _choose_locally(self, gateway: int, now: float) -> str | None:
        if self._strategy is RateStrategy.FREE:
            return self._rng.choice(BACKENDS)
        if self._strategy is RateStrategy.PRODUCT:
            shares = self._shares[gateway]
            allowed = [name for name in BACKENDS if shares.allows(name, self._limit, now)]
            return self._spend_at_random(allowed, shares)
        per_s = self._limit.requests_per_s * LOCAL_CHOICE_SHARE / len(self._shares)
        buckets = self._buckets[gateway]
        allowed = [name for name in BACKENDS if buckets.allows(name, per_s, now)]
        return self._spend_at_random(allowed, buckets)

    def _spend_at_random(
        self, allowed: list[str], buckets: ColdBuckets | LocalColdShares
    ) -> str | None:
        if not allowed:
            return None
        chosen = self._rng.choice(allowed)
        buckets.spend(chosen)
        return chosen

    def _send(self, name: str, now: float) -> None:
        arrivals = self._arrivals[name]
        arrivals.append(now)
        over = self._requests_in_last_second(name, now) - (1.5 * self._limit.requests_per_s + 5)
        self.outcome.max_excess = max(self.outcome.max_excess, over)

    def _refuse(self, now: float) -> None:
        self.outcome.refused += 1
        min_requests = min(self._requests_in_last_second(name, now) for name in BACKENDS)
        if min_requests + 1 <= self._limit.requests_per_s:
            self.outcome.avoidable_refusals += 1

    def _requests_in_last_second(self, name: str, now: float) -> int:
        arrivals = self._arrivals[name]
        while arrivals and now - arrivals[0] >= 1.0:
            arrivals.popleft()
        return len(arrivals)


def main() -> None:
    """Print the figures of all strategies and sizes."""
    for rate in RATES:
        for strategy in RateStrategy:
            for gateways in SIZES:
                result = ColdBackendSimulation(strategy, gateways, rate, seed=1).run()
                line = {
                    "rate": rate,
                    "way": strategy.value,
                    "gateways": gateways,
                    "worst_over_bound": result.max_excess,
                    "asked": result.requested,
                    "refused_share": round(result.refused / result.requested, 3),
                    "needless_share": round(result.avoidable_refusals / result.requested, 3),
                }
                print(json.dumps(line))


if __name__ == "__main__":
    main()
