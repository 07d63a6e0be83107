"""Gateways and the home of one tenant's limit, in a time of their own, for tests of the limit."""

from dataclasses import dataclass, field
from random import Random

from wharfcart.admission.tenant_limits import (
    WINDOW_S,
    SendHistory,
    TenantLimitCoordinator,
    TenantUsage,
)
from wharfcart.configuration.serving import RequestLimit

LIMIT = RequestLimit(5.0, 5.0)
SNAPSHOT_INTERVAL_S = 0.25


@dataclass
class LimitGateway:
    """A gateway: what it sent, whether a home hears it, and what it heard."""

    name: str
    sends: SendHistory = field(default_factory=SendHistory)
    connected: bool = False
    contact_at: float | None = None
    received_usage: dict[str, int] = field(default_factory=dict)
    usage_received_at: float = 100.0
    received_gateway_count: int = 0
    unresponsive_since: float | None = None  # while the home has not noticed it


class LimitFleet:
    """Gateways and one home, in a time of their own; every request that was sent is kept."""

    def __init__(self, gateways: int, limit: RequestLimit = LIMIT, tenant: str = "t") -> None:
        self.limit = limit
        self.tenant = tenant
        self.now = 100.0
        self.sent: list[float] = []
        self.sent_unnoticed: list[float] = []  # while the home took their gateway for connected
        self.refused = 0
        self.gateways = [LimitGateway(f"g{n}") for n in range(gateways)]
        self.coordinator = self.new_coordinator()
        for gateway in self.gateways:
            self.connect(gateway)

    def new_coordinator(self) -> TenantLimitCoordinator:
        return TenantLimitCoordinator(
            lambda name: self.limit if name == self.tenant else None, self.now
        )

    def connect(self, gateway: LimitGateway) -> None:
        usage = [TenantUsage(name, count) for name, count in gateway.received_usage.items()]
        self.coordinator.holder_connected(
            gateway.name,
            gateway.sends.recent(self.now),
            usage,
            self.now - gateway.usage_received_at,
            gateway.received_gateway_count,
            self.now,
        )
        gateway.connected = True
        gateway.unresponsive_since = None
        gateway.contact_at = self.now

    def disconnect(self, gateway: LimitGateway, unresponsive_s: float = 0.0) -> None:
        """End a gateway's contact; the home notices it at once."""
        if gateway.connected:
            gateway.connected = False
            self.coordinator.holder_lost(gateway.name, unresponsive_s, self.now)

    def become_unresponsive(self, gateway: LimitGateway) -> None:
        """End a gateway's contact; the home has not noticed yet."""
        gateway.connected = False
        gateway.unresponsive_since = self.now

    def detect_unresponsive(self, gateway: LimitGateway) -> None:
        """Have the home notice that a gateway is silent."""
        if gateway.unresponsive_since is not None:
            self.coordinator.holder_lost(
                gateway.name, self.now - gateway.unresponsive_since, self.now
            )
            gateway.unresponsive_since = None

    def restart_gateway(self, n: int) -> None:
        """End a gateway and begin it anew, without contact."""
        self.disconnect(self.gateways[n])
        self.gateways[n] = LimitGateway(f"g{n}")

    def replace_coordinator(self) -> None:
        """Another node, which knows nothing, keeps the limit; nobody has reached it yet."""
        self.coordinator = self.new_coordinator()
        for gateway in self.gateways:
            gateway.connected = False
            gateway.unresponsive_since = None

    def publish_snapshots(self) -> None:
        usage = self.coordinator.usage_by_tenant(self.now)
        connected = [gateway for gateway in self.gateways if gateway.connected]
        for gateway in connected:
            gateway.received_usage, gateway.usage_received_at = usage, self.now
            gateway.received_gateway_count = self.coordinator.gateway_count(self.now)
            gateway.contact_at = self.now

    def request(self, gateway: LimitGateway) -> bool:
        """Send a request if that is permitted; returns whether it was."""
        if gateway.connected:
            gateway.contact_at = self.now
            permitted = self.coordinator.acquire(gateway.name, self.tenant, self.now) == 0.0
        else:
            permitted = gateway.sends.may_send_disconnected(
                self.tenant,
                self.limit,
                gateway.contact_at,
                gateway.received_usage.get(self.tenant, 0),
                self.now,
            )
        if permitted:
            gateway.sends.record(self.tenant, self.now)
            self.sent.append(self.now)
            if gateway.unresponsive_since is not None:
                self.sent_unnoticed.append(self.now)
        else:
            self.refused += 1
        return permitted

    def max_window_count(self) -> int:
        """Return the most requests that any window saw."""
        most = first = 0
        for last, at in enumerate(self.sent):
            while self.sent[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def send_random(self, seconds: float, per_s: float, rng: Random) -> None:
        """Have requests come, at gateways drawn by lot."""
        until = self.now + seconds
        next_picture = self.now
        while self.now < until:
            self.now += rng.expovariate(per_s)
            if self.now >= next_picture:
                self.publish_snapshots()
                next_picture = self.now + SNAPSHOT_INTERVAL_S
            self.request(rng.choice(self.gateways))


def window_limit(limit: RequestLimit) -> float:
    return limit.requests_per_s * WINDOW_S + limit.burst


class SnapshotFleet(LimitFleet):
    """A fleet whose home tells pictures while it lives, as it does in service.

    Setting the time forward has the home tell every picture that is due until then.
    """

    _now = 0.0
    _next_snapshot_at = float("inf")

    @property
    def now(self) -> float:
        return self._now

    @now.setter
    def now(self, value: float) -> None:
        while self._next_snapshot_at <= value:
            self._now = self._next_snapshot_at
            self.publish_snapshots()
            self._next_snapshot_at += SNAPSHOT_INTERVAL_S
        self._now = value

    def new_coordinator(self) -> TenantLimitCoordinator:
        """A home tells its first picture one period after it began."""
        self._next_snapshot_at = self.now + SNAPSHOT_INTERVAL_S
        return super().new_coordinator()
