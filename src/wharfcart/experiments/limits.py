"""Experiment ``limits``: ways to keep tenants' limits over all gateways, on the same arrivals.

* ``permits``: the product: the granting node that is a tenant's home permits each request, within
  the call that asks for its slot; a gateway without contact keeps its pace;
* ``leases``: gateways take tokens in small batches from a home and spend them within a second; one
  that does not reach it spends from a bucket of twice its share;
* ``shares``: a home divides each limit by what gateways ask for, four times a second; each keeps
  its share by itself and knows of no other.

A day has square waves, one tenant that sends many times its usual, and a home that is lost for a
moment. Compared with a single token bucket that sees everything: how much more than that any
window saw, which requests were refused though it would have let them pass, and what it cost.
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
    """How limits are kept."""

    PERMITS = "permits"
    LEASES = "leases"
    SHARES = "shares"


@dataclass(frozen=True)
class LimitLoad:
    """Tenants and what they send; rates a second, times in seconds."""

    gateways: int
    tenants: int = 72
    max_limit: float = 100.0
    min_limit: float = 5.0
    mean_load_share: float = 0.62  # of its limit that a tenant sends on average
    duration_s: float = 60.0
    low_factor: float = 0.39
    high_factor: float = 1.91
    low_s: float = 3.6
    high_s: float = 2.4
    hot_tenant: tuple[float, float, float] = (20.0, 28.0, 5.0)  # from, until, times its usual
    coordinator_outage: tuple[float, float] = (40.0, 40.7)

    def limit_of(self, tenant: str) -> RequestLimit:
        """Return a tenant's limit: a few are large, most are small."""
        rank = int(tenant[1:]) + 1
        per_s = max(self.min_limit, round(self.max_limit / rank**0.8))
        return RequestLimit(per_s, per_s)

    def load_factor_at(self, at: float) -> float:
        """Return what the waves make of a rate at a time."""
        return self.low_factor if at % (self.low_s + self.high_s) < self.low_s else self.high_factor

    def is_coordinator_down(self, at: float) -> bool:
        """Whether nobody keeps the limits at a time."""
        return self.coordinator_outage[0] <= at < self.coordinator_outage[1]


Arrival = tuple[float, str, int]  # at, tenant, gateway


def generate_arrivals(load: LimitLoad, seed: int) -> list[Arrival]:
    """Draw what comes: each client of a tenant stays with its gateway."""
    rng = Random(seed)
    arrivals: list[Arrival] = []
    for number in range(load.tenants):
        tenant = f"t{number}"
        usual = load.limit_of(tenant).requests_per_s * load.mean_load_share
        clients = [rng.randrange(load.gateways) for _ in range(max(2, round(usual / 2)))]
        most = usual * load.high_factor * (load.hot_tenant[2] if number == 0 else 1.0)
        at = 0.0
        while (at := at + rng.expovariate(most)) < load.duration_s:
            hot = number == 0 and load.hot_tenant[0] <= at < load.hot_tenant[1]
            rate = usual * load.load_factor_at(at) * (load.hot_tenant[2] if hot else 1.0)
            if rng.random() < rate / most:
                arrivals.append((at, tenant, rng.choice(clients)))
    return sorted(arrivals)


class TenantLimiter(ABC):
    """Keeps limits over all gateways one way, and counts what that costs.

    Attributes:
        messages: between nodes, those of slots left out.
        round_trips: that requests waited for beside that of their slot.
    """

    def __init__(self, load: LimitLoad) -> None:
        self.load = load
        self.messages = 0
        self.round_trips = 0

    @abstractmethod
    def is_permitted(self, arrival: Arrival) -> bool:
        """Whether a request is sent."""


class PermitLimiter(TenantLimiter):
    """The product's way; the home knows nothing after it was lost."""

    def __init__(self, load: LimitLoad) -> None:
        super().__init__(load)
        self._sends = [SendHistory() for _ in range(load.gateways)]
        self._usage: dict[str, int] = {}
        self._last_contact_at = 0.0
        self._next_snapshot_at = 0.0
        self._coordinator = self._new_coordinator(0.0)

    def is_permitted(self, arrival: Arrival) -> bool:
        """Ask the home, or keep the gateway's pace."""
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
        home = TenantLimitCoordinator(self.load.limit_of, at)
        usage = [TenantUsage(tenant, count) for tenant, count in self._usage.items()]
        age_s = at - self._last_contact_at
        for gateway, sends in enumerate(self._sends):
            home.holder_connected(
                str(gateway), sends.recent(at), usage, age_s, self.load.gateways, at
            )
        return home


class LeaseLimiter(TenantLimiter):
    """Tokens taken in batches; a new home begins with full buckets, as the older path's does."""

    def __init__(self, load: LimitLoad) -> None:
        super().__init__(load)
        self._coordinator = BucketCoordinator()
        self._granted: defaultdict[tuple[int, str], GrantedTokens] = defaultdict(GrantedTokens)
        self._coordinator_lost = False

    def is_permitted(self, arrival: Arrival) -> bool:
        """Spend a token that the gateway has, or take some."""
        at, tenant, gateway = arrival
        limit = self.load.limit_of(tenant)
        taken = self._granted[gateway, tenant]
        if taken.spend(at):
            return True
        if self.load.is_coordinator_down(at):
            self._coordinator_lost = True
            return taken.spend_fallback(limit.requests_per_s, limit.burst, self.load.gateways, at)
        if self._coordinator_lost:
            self._coordinator, self._coordinator_lost = BucketCoordinator(), False
        if at < taken.refused_until:
            return False
        self.messages += 2
        self.round_trips += 1
        wanted = grant_size(limit.requests_per_s, limit.burst)
        granted, seconds = self._coordinator.take(
            tenant, wanted, limit.requests_per_s, limit.burst, at
        )
        if granted < 1.0:
            taken.refused_until = at + seconds
            return False
        taken.replace(granted, at)
        return taken.spend(at)


class ShareLimiter(TenantLimiter):
    """Parts of each limit that follow what was asked in the last second."""

    def __init__(self, load: LimitLoad) -> None:
        super().__init__(load)
        self._recent_requests: defaultdict[str, deque[tuple[float, int]]] = defaultdict(deque)
        self._buckets: dict[tuple[int, str], TokenBucket] = {}
        self._next_redistribution_at = 0.0

    def is_permitted(self, arrival: Arrival) -> bool:
        """Spend from the gateway's own bucket."""
        at, tenant, gateway = arrival
        if at >= self._next_redistribution_at and not self.load.is_coordinator_down(at):
            self._redistribute(at)
            self._next_redistribution_at = at + SNAPSHOT_INTERVAL_S
        self._recent_requests[tenant].append((at, gateway))
        limit = self.load.limit_of(tenant)
        even = 1.0 / self.load.gateways
        bucket = self._buckets.setdefault(
            (gateway, tenant), TokenBucket(limit.requests_per_s * even, limit.burst * even, 0.0, at)
        )
        return bucket.take(1.0, at) >= 1.0

    def _redistribute(self, at: float) -> None:
        self.messages += 2 * self.load.gateways
        for tenant, asked in self._recent_requests.items():
            while asked and asked[0][0] < at - 1.0:
                asked.popleft()
            limit = self.load.limit_of(tenant)
            by_gateway = Counter(gateway for _, gateway in asked)
            # One request more stands for what may come where none came lately.
            whole = len(asked) + self.load.gateways * 0.02
            for gateway in range(self.load.gateways):
                bucket = self._buckets.get((gateway, tenant))
                if bucket is None:
                    continue
                part = (by_gateway[gateway] + 0.02) / whole
                bucket.refill(at)
                bucket.rate = limit.requests_per_s * part
                bucket.burst = max(1.0, limit.burst * part)
                bucket.tokens = min(bucket.tokens, bucket.burst)


LIMITERS: dict[LimitStrategy, type[TenantLimiter]] = {
    LimitStrategy.PERMITS: PermitLimiter,
    LimitStrategy.LEASES: LeaseLimiter,
    LimitStrategy.SHARES: ShareLimiter,
}


@dataclass
class LimitResult:
    """What a way came to.

    Attributes:
        worst_window: the most requests of any tenant's window, as a part of what it may see.
        refused_wrongly: requests refused that one bucket would have let pass, as a part of these.
        hot_share: of the hot tenant's limit that it had while it was hot.
    """

    max_window_share: float = 0.0
    wrongly_refused_share: float = 0.0
    hot_tenant_share: float = 0.0
    messages_per_s: float = 0.0
    round_trips: float = 0.0
    sent_by_tenant: dict[str, list[float]] = field(default_factory=dict)


def simulate(strategy: LimitStrategy, load: LimitLoad, arrivals: list[Arrival]) -> LimitResult:
    """Play one way; the arrivals are in order."""
    keeper = LIMITERS[strategy](load)
    outcome = LimitResult(sent_by_tenant=defaultdict(list))
    single: dict[str, TokenBucket] = {}
    passed = wrongly = 0
    for arrival in arrivals:
        at, tenant, _ = arrival
        limit = load.limit_of(tenant)
        bucket = single.setdefault(
            tenant, TokenBucket(limit.requests_per_s, limit.burst, limit.burst, at)
        )
        would_pass = bucket.take(1.0, at) >= 1.0
        sent = keeper.is_permitted(arrival)
        passed += would_pass
        wrongly += would_pass and not sent
        if sent:
            outcome.sent_by_tenant[tenant].append(at)
    outcome.wrongly_refused_share = wrongly / max(1, passed)
    outcome.messages_per_s = keeper.messages / load.duration_s
    outcome.round_trips = keeper.round_trips / max(1, len(arrivals))
    outcome.max_window_share = max(
        _max_requests_in_window(times)
        / (load.limit_of(tenant).requests_per_s * WINDOW_S + load.limit_of(tenant).burst)
        for tenant, times in outcome.sent_by_tenant.items()
    )
    begun, until, _ = load.hot_tenant
    hot = sum(begun + 1.0 <= at < until for at in outcome.sent_by_tenant["t0"])
    outcome.hot_tenant_share = hot / (load.limit_of("t0").requests_per_s * (until - begun - 1.0))
    return outcome


def _max_requests_in_window(times: list[float]) -> int:
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def run_limits(seed: int, output: Path, sizes: tuple[int, ...] = GATEWAY_COUNTS) -> dict[str, Any]:
    """Play every way at every size; write the figures."""
    output.mkdir(parents=True, exist_ok=True)
    figures: dict[str, Any] = {"experiment": "limits", "seed": seed}
    for gateways in sizes:
        load = LimitLoad(gateways)
        arrivals = generate_arrivals(load, seed)
        for way in LimitStrategy:
            outcome = simulate(way, load, arrivals)
            name = f"{way}_{gateways}"
            figures[f"{name}_worst_window"] = round(outcome.max_window_share, 3)
            figures[f"{name}_refused_wrongly"] = round(outcome.wrongly_refused_share, 5)
            figures[f"{name}_hot_share"] = round(outcome.hot_tenant_share, 3)
            figures[f"{name}_messages_per_s"] = round(outcome.messages_per_s, 1)
            figures[f"{name}_round_trips"] = round(outcome.round_trips, 3)
    (output / "limits.json").write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    return figures
