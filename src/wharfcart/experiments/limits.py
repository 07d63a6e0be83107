"""Experiment ``limits``: strategies for fleet-wide tenant limits, on the same arrivals.

* ``permits``: the product. The granting node that coordinates a tenant's limit permits each request
  within the call that requests its slot; a disconnected gateway keeps its recent rate;
* ``leases``: gateways take tokens in small batches from a coordinator and spend them within a
  second; a gateway that cannot reach it spends from a bucket of twice its share;
* ``shares``: a coordinator divides each limit by recent demand, four times a second; each gateway
  enforces its own share.

The load has square waves, a tenant that exceeds its limit for a while, and a short outage of the
coordinator. The baseline is a single token bucket that sees every request. The figures are the
busiest window, the wrongly refused requests, and the messages and round trips.
"""

import json
from abc import ABC, abstractmethod
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random
from typing import Any

from wharfcart.admission.limits import BucketCoordinator, GrantedTokens, TokenBucket, grant_size
from wharfcart.admission.tenant_limits import (
    WINDOW_S,
    SendHistory,
    TenantLimitCoordinator,
    TenantUsage,
)
from wharfcart.configuration.serving import RequestLimit

SNAPSHOT_INTERVAL_S = 0.25
GATEWAY_COUNTS = (10, 60, 200, 410)


class LimitStrategy(StrEnum):
    """How the limits are enforced."""

    PERMITS = "permits"
    LEASES = "leases"
    SHARES = "shares"


@dataclass(frozen=True)
class LimitLoad:
    """Tenants and their load; rates per second, times in seconds."""

    gateways: int
    tenants: int = 72
    max_limit: float = 100.0
    min_limit: float = 5.0
    mean_load_share: float = 0.62  # mean load of a tenant over its limit
    duration_s: float = 60.0
    low_factor: float = 0.39
    high_factor: float = 1.91
    low_s: float = 3.6
    high_s: float = 2.4
    hot_tenant: tuple[float, float, float] = (20.0, 28.0, 5.0)  # start, end, load factor
    coordinator_outage: tuple[float, float] = (40.0, 40.7)

    def limit_of(self, tenant: str) -> RequestLimit:
        """Return a tenant's limit; the limits follow a power law."""
        rank = int(tenant[1:]) + 1
        per_s = max(self.min_limit, round(self.max_limit / rank**0.8))
        return RequestLimit(per_s, per_s)

    def load_factor_at(self, at: float) -> float:
        """Return the load factor of the square wave at a time."""
        return self.low_factor if at % (self.low_s + self.high_s) < self.low_s else self.high_factor

    def is_coordinator_down(self, at: float) -> bool:
        """Whether there is no coordinator at a time."""
        return self.coordinator_outage[0] <= at < self.coordinator_outage[1]


Arrival = tuple[float, str, int]  # at, tenant, gateway


def generate_arrivals(load: LimitLoad, seed: int) -> list[Arrival]:
    """Generate the arrivals; each client of a tenant uses one gateway."""
    rng = Random(seed)
    arrivals: list[Arrival] = []
    for number in range(load.tenants):
        tenant = f"t{number}"
        mean_rate = load.limit_of(tenant).requests_per_s * load.mean_load_share
        clients = [rng.randrange(load.gateways) for _ in range(max(2, round(mean_rate / 2)))]
        max_rate = mean_rate * load.high_factor * (load.hot_tenant[2] if number == 0 else 1.0)
        at = 0.0
        while (at := at + rng.expovariate(max_rate)) < load.duration_s:
            is_hot = number == 0 and load.hot_tenant[0] <= at < load.hot_tenant[1]
            rate = mean_rate * load.load_factor_at(at) * (load.hot_tenant[2] if is_hot else 1.0)
            if rng.random() < rate / max_rate:
                arrivals.append((at, tenant, rng.choice(clients)))
    return sorted(arrivals)


class TenantLimiter(ABC):
    """Enforces limits over all gateways with one strategy, and counts its messages.

    Attributes:
        messages: sent between nodes, without those for slots.
        round_trips: waits of requests in addition to the round trip for their slot.
    """

    def __init__(self, load: LimitLoad) -> None:
        self.load = load
        self.messages = 0
        self.round_trips = 0

    @abstractmethod
    def is_permitted(self, arrival: Arrival) -> bool:
        """Whether a request may be sent."""


class PermitLimiter(TenantLimiter):
    """The product's strategy; a new coordinator starts without state."""

    def __init__(self, load: LimitLoad) -> None:
        super().__init__(load)
        self._sends = [SendHistory() for _ in range(load.gateways)]
        self._usage: dict[str, int] = {}
        self._last_contact_at = 0.0
        self._next_snapshot_at = 0.0
        self._coordinator = self._new_coordinator(0.0)

    def is_permitted(self, arrival: Arrival) -> bool:
        """Ask the coordinator; without one, keep the gateway's recent rate."""
        at, tenant, gateway = arrival
        sends = self._sends[gateway]
        if self.load.is_coordinator_down(at):
            limit = self.load.limit_of(tenant)
            usage = self._usage.get(tenant, 0)
            permitted = sends.may_send_disconnected(tenant, limit, self._last_contact_at, usage, at)
        else:
            self._sync_with_coordinator(at)
            permitted = self._coordinator.acquire(str(gateway), tenant, at) == 0.0
        if permitted:
            sends.record(tenant, at)
        return permitted

    def _sync_with_coordinator(self, at: float) -> None:
        if self._last_contact_at < self.load.coordinator_outage[0] <= at:
            self._coordinator = self._new_coordinator(at)
        if at >= self._next_snapshot_at:
            self._usage = self._coordinator.usage_by_tenant(at)
            self._next_snapshot_at = at + SNAPSHOT_INTERVAL_S
        self._last_contact_at = at

    def _new_coordinator(self, at: float) -> TenantLimitCoordinator:
        coordinator = TenantLimitCoordinator(self.load.limit_of, at)
        usage = [TenantUsage(tenant, count) for tenant, count in self._usage.items()]
        age_s = at - self._last_contact_at
        for gateway, sends in enumerate(self._sends):
            coordinator.holder_connected(
                str(gateway), sends.recent(at), usage, age_s, self.load.gateways, at
            )
        return coordinator


class LeaseLimiter(TenantLimiter):
    """Tokens granted in batches; a new coordinator starts with full buckets."""

    def __init__(self, load: LimitLoad) -> None:
        super().__init__(load)
        self._coordinator = BucketCoordinator()
        self._granted: defaultdict[tuple[int, str], GrantedTokens] = defaultdict(GrantedTokens)
        self._coordinator_lost = False

    def is_permitted(self, arrival: Arrival) -> bool:
        """Spend a granted token; request a batch if there is none."""
        at, tenant, gateway = arrival
        limit = self.load.limit_of(tenant)
        tokens = self._granted[gateway, tenant]
        if tokens.spend(at):
            return True
        if self.load.is_coordinator_down(at):
            self._coordinator_lost = True
            return tokens.spend_fallback(limit.requests_per_s, limit.burst, self.load.gateways, at)
        if self._coordinator_lost:
            self._coordinator, self._coordinator_lost = BucketCoordinator(), False
        if at < tokens.refused_until:
            return False
        self.messages += 2
        self.round_trips += 1
        wanted = grant_size(limit.requests_per_s, limit.burst)
        granted, seconds = self._coordinator.take(
            tenant, wanted, limit.requests_per_s, limit.burst, at
        )
        if granted < 1.0:
            tokens.refused_until = at + seconds
            return False
        tokens.replace(granted, at)
        return tokens.spend(at)


class ShareLimiter(TenantLimiter):
    """Shares of each limit, in proportion to the demand of the last second."""

    def __init__(self, load: LimitLoad) -> None:
        super().__init__(load)
        self._recent_requests: defaultdict[str, deque[tuple[float, int]]] = defaultdict(deque)
        self._buckets: dict[tuple[int, str], TokenBucket] = {}
        self._next_redistribution_at = 0.0

    def is_permitted(self, arrival: Arrival) -> bool:
        """Spend a token of the gateway's bucket."""
        at, tenant, gateway = arrival
        if at >= self._next_redistribution_at and not self.load.is_coordinator_down(at):
            self._redistribute(at)
            self._next_redistribution_at = at + SNAPSHOT_INTERVAL_S
        self._recent_requests[tenant].append((at, gateway))
        limit = self.load.limit_of(tenant)
        even_share = 1.0 / self.load.gateways
        bucket = self._buckets.setdefault(
            (gateway, tenant),
            TokenBucket(limit.requests_per_s * even_share, limit.burst * even_share, 0.0, at),
        )
        return bucket.take(1.0, at) >= 1.0

    def _redistribute(self, at: float) -> None:
        self.messages += 2 * self.load.gateways
        for tenant, requests in self._recent_requests.items():
            while requests and requests[0][0] < at - 1.0:
                requests.popleft()
            limit = self.load.limit_of(tenant)
            by_gateway = Counter(gateway for _, gateway in requests)
            # The added constant gives gateways without recent requests a share.
            total = len(requests) + self.load.gateways * 0.02
            for gateway in range(self.load.gateways):
                bucket = self._buckets.get((gateway, tenant))
                if bucket is None:
                    continue
                share = (by_gateway[gateway] + 0.02) / total
                bucket.refill(at)
                bucket.rate = limit.requests_per_s * share
                bucket.burst = max(1.0, limit.burst * share)
                bucket.tokens = min(bucket.tokens, bucket.burst)


LIMITERS: dict[LimitStrategy, type[TenantLimiter]] = {
    LimitStrategy.PERMITS: PermitLimiter,
    LimitStrategy.LEASES: LeaseLimiter,
    LimitStrategy.SHARES: ShareLimiter,
}


@dataclass
class LimitResult:
    """Result of a strategy.

    Attributes:
        max_window_share: requests in the busiest window of any tenant, over the window's limit.
        wrongly_refused_share: refused share of the requests that a single bucket permits.
        hot_tenant_share: requests of the hot tenant during its burst, over its limit.
    """

    max_window_share: float = 0.0
    wrongly_refused_share: float = 0.0
    hot_tenant_share: float = 0.0
    messages_per_s: float = 0.0
    round_trips: float = 0.0
    sent_by_tenant: dict[str, list[float]] = field(default_factory=dict)


def simulate(strategy: LimitStrategy, load: LimitLoad, arrivals: list[Arrival]) -> LimitResult:
    """Run a strategy on arrivals that are sorted by time."""
    limiter = LIMITERS[strategy](load)
    result = LimitResult(sent_by_tenant=defaultdict(list))
    single: dict[str, TokenBucket] = {}
    permitted = wrongly = 0
    for arrival in arrivals:
        at, tenant, _ = arrival
        limit = load.limit_of(tenant)
        bucket = single.setdefault(
            tenant, TokenBucket(limit.requests_per_s, limit.burst, limit.burst, at)
        )
        would_pass = bucket.take(1.0, at) >= 1.0
        sent = limiter.is_permitted(arrival)
        permitted += would_pass
        wrongly += would_pass and not sent
        if sent:
            result.sent_by_tenant[tenant].append(at)
    result.wrongly_refused_share = wrongly / max(1, permitted)
    result.messages_per_s = limiter.messages / load.duration_s
    result.round_trips = limiter.round_trips / max(1, len(arrivals))
    result.max_window_share = max(
        _max_requests_in_window(times)
        / (load.limit_of(tenant).requests_per_s * WINDOW_S + load.limit_of(tenant).burst)
        for tenant, times in result.sent_by_tenant.items()
    )
    start, end, _ = load.hot_tenant
    hot = sum(start + 1.0 <= at < end for at in result.sent_by_tenant["t0"])
    result.hot_tenant_share = hot / (load.limit_of("t0").requests_per_s * (end - start - 1.0))
    return result


def _max_requests_in_window(times: list[float]) -> int:
    max_requests = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        max_requests = max(max_requests, last - first + 1)
    return max_requests


def run_limits(seed: int, output: Path, sizes: tuple[int, ...] = GATEWAY_COUNTS) -> dict[str, Any]:
    """Run every strategy at every size; write the figures."""
    output.mkdir(parents=True, exist_ok=True)
    figures: dict[str, Any] = {"experiment": "limits", "seed": seed}
    for gateways in sizes:
        load = LimitLoad(gateways)
        arrivals = generate_arrivals(load, seed)
        for strategy in LimitStrategy:
            result = simulate(strategy, load, arrivals)
            name = f"{strategy}_{gateways}"
            figures[f"{name}_worst_window"] = round(result.max_window_share, 3)
            figures[f"{name}_refused_wrongly"] = round(result.wrongly_refused_share, 5)
            figures[f"{name}_hot_share"] = round(result.hot_tenant_share, 3)
            figures[f"{name}_messages_per_s"] = round(result.messages_per_s, 1)
            figures[f"{name}_round_trips"] = round(result.round_trips, 3)
    (output / "limits.json").write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    return figures
