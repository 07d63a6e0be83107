"""Simulated gateways and limit coordinator of one tenant in virtual time."""

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
    """A gateway: its send history, its connection and the last usage report it received."""

    name: str
    history: SendHistory = field(default_factory=SendHistory)
    connected: bool = False
    last_contact_at: float | None = None
    received_usage: dict[str, int] = field(default_factory=dict)
    usage_received_at: float = 100.0
    received_gateway_count: int = 0
    unresponsive_since: float | None = None  # until the coordinator detects it


class LimitFleet:
    """Gateways and one coordinator in virtual time; records the time of every sent request."""

    def __init__(self, gateways: int, limit: RequestLimit = LIMIT, tenant: str = "t") -> None:
        self.limit = limit
        self.tenant = tenant
        self.now = 100.0
        self.sent: list[float] = []
        self.sent_unnoticed: list[float] = []  # before the coordinator detected the disconnect
        self.refused_count = 0
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
            gateway.history.recent(self.now),
            usage,
            self.now - gateway.usage_received_at,
            gateway.received_gateway_count,
            self.now,
        )
        gateway.connected = True
        gateway.unresponsive_since = None
        gateway.last_contact_at = self.now

    def disconnect(self, gateway: LimitGateway, unresponsive_s: float = 0.0) -> None:
        """Disconnect a gateway; the coordinator detects it at once."""
        if gateway.connected:
            gateway.connected = False
            self.coordinator.holder_lost(gateway.name, unresponsive_s, self.now)

    def become_unresponsive(self, gateway: LimitGateway) -> None:
        """Disconnect a gateway without the coordinator detecting it yet."""
        gateway.connected = False
        gateway.unresponsive_since = self.now

    def detect_unresponsive(self, gateway: LimitGateway) -> None:
        """Have the coordinator detect that a gateway is unresponsive."""
        if gateway.unresponsive_since is not None:
            self.coordinator.holder_lost(
                gateway.name, self.now - gateway.unresponsive_since, self.now
            )
            gateway.unresponsive_since = None

    def restart_gateway(self, n: int) -> None:
        """Restart a gateway without its state and without a connection."""
        self.disconnect(self.gateways[n])
        self.gateways[n] = LimitGateway(f"g{n}")

    def replace_coordinator(self) -> None:
        """Replace the coordinator by one without state, to which no gateway is connected."""
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
            gateway.last_contact_at = self.now

    def request(self, gateway: LimitGateway) -> bool:
        """Send a request if it is permitted; return whether it was."""
        if gateway.connected:
            gateway.last_contact_at = self.now
            permitted = self.coordinator.acquire(gateway.name, self.tenant, self.now) == 0.0
        else:
            permitted = gateway.history.may_send_disconnected(
                self.tenant,
                self.limit,
                gateway.last_contact_at,
                gateway.received_usage.get(self.tenant, 0),
                self.now,
            )
        if permitted:
            gateway.history.record(self.tenant, self.now)
            self.sent.append(self.now)
            if gateway.unresponsive_since is not None:
                self.sent_unnoticed.append(self.now)
        else:
            self.refused_count += 1
        return permitted

    def max_window_count(self) -> int:
        """Return the largest number of requests sent in any window."""
        max_count = first = 0
        for last, at in enumerate(self.sent):
            while self.sent[first] <= at - WINDOW_S:
                first += 1
            max_count = max(max_count, last - first + 1)
        return max_count

    def send_random(self, seconds: float, per_s: float, rng: Random) -> None:
        """Send requests at random times through random gateways."""
        until = self.now + seconds
        next_snapshot_at = self.now
        while self.now < until:
            self.now += rng.expovariate(per_s)
            if self.now >= next_snapshot_at:
                self.publish_snapshots()
                next_snapshot_at = self.now + SNAPSHOT_INTERVAL_S
            self.request(rng.choice(self.gateways))


def window_limit(limit: RequestLimit) -> float:
    return limit.requests_per_s * WINDOW_S + limit.burst


class SnapshotFleet(LimitFleet):
    """A fleet whose coordinator publishes snapshots periodically, as in production.

    Advancing the time publishes every snapshot that is due until then.
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
        """Return a coordinator that publishes its first snapshot after one interval."""
        self._next_snapshot_at = self.now + SNAPSHOT_INTERVAL_S
        return super().new_coordinator()
