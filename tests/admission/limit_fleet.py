"""Gateways and the home of one tenant's limit, in a time of their own, for tests of the limit."""

from dataclasses import dataclass, field
from random import Random

from wharfcart.admission.tenant_limits import WINDOW_S, TenantLimits, TenantSends, TenantUsage
from wharfcart.configuration.serving import RequestLimit

LIMIT = RequestLimit(5.0, 5.0)
PICTURE_S = 0.25


@dataclass
class Gateway:
    """A gateway: what it sent, whether a home hears it, and what it heard."""

    name: str
    sends: TenantSends = field(default_factory=TenantSends)
    connected: bool = False
    contact_at: float | None = None
    heard: dict[str, int] = field(default_factory=dict)
    heard_at: float = 100.0
    gateways_heard: int = 0
    silent_since: float | None = None  # while the home has not noticed it


class Fleet:
    """Gateways and one home, in a time of their own; every request that was sent is kept."""

    def __init__(self, gateways: int, limit: RequestLimit = LIMIT, tenant: str = "t") -> None:
        self.limit = limit
        self.tenant = tenant
        self.now = 100.0
        self.sent: list[float] = []
        self.sent_unnoticed: list[float] = []  # while the home took their gateway for connected
        self.refused = 0
        self.gateways = [Gateway(f"g{n}") for n in range(gateways)]
        self.home = self.new_home()
        for gateway in self.gateways:
            self.connect(gateway)

    def new_home(self) -> TenantLimits:
        return TenantLimits(lambda name: self.limit if name == self.tenant else None, self.now)

    def connect(self, gateway: Gateway) -> None:
        usage = [TenantUsage(name, count) for name, count in gateway.heard.items()]
        self.home.holder_opened(
            gateway.name,
            gateway.sends.recent(self.now),
            usage,
            self.now - gateway.heard_at,
            gateway.gateways_heard,
            self.now,
        )
        gateway.connected = True
        gateway.silent_since = None
        gateway.contact_at = self.now

    def cut(self, gateway: Gateway, silent_s: float = 0.0) -> None:
        """End a gateway's contact; the home notices it at once."""
        if gateway.connected:
            gateway.connected = False
            self.home.holder_lost(gateway.name, silent_s, self.now)

    def fall_silent(self, gateway: Gateway) -> None:
        """End a gateway's contact; the home has not noticed yet."""
        gateway.connected = False
        gateway.silent_since = self.now

    def notice(self, gateway: Gateway) -> None:
        """Have the home notice that a gateway is silent."""
        if gateway.silent_since is not None:
            self.home.holder_lost(gateway.name, self.now - gateway.silent_since, self.now)
            gateway.silent_since = None

    def kill(self, n: int) -> None:
        """End a gateway and begin it anew, without contact."""
        self.cut(self.gateways[n])
        self.gateways[n] = Gateway(f"g{n}")

    def change_home(self) -> None:
        """Another node, which knows nothing, keeps the limit; nobody has reached it yet."""
        self.home = self.new_home()
        for gateway in self.gateways:
            gateway.connected = False
            gateway.silent_since = None

    def tell_pictures(self) -> None:
        usage = self.home.usage(self.now)
        connected = [gateway for gateway in self.gateways if gateway.connected]
        for gateway in connected:
            gateway.heard, gateway.heard_at = usage, self.now
            gateway.gateways_heard = self.home.gateways(self.now)
            gateway.contact_at = self.now

    def request(self, gateway: Gateway) -> bool:
        """Send a request if that is permitted; returns whether it was."""
        if gateway.connected:
            gateway.contact_at = self.now
            permitted = self.home.take(gateway.name, self.tenant, self.now) == 0.0
        else:
            permitted = gateway.sends.may_send_alone(
                self.tenant,
                self.limit,
                gateway.contact_at,
                gateway.heard.get(self.tenant, 0),
                self.now,
            )
        if permitted:
            gateway.sends.sent(self.tenant, self.now)
            self.sent.append(self.now)
            if gateway.silent_since is not None:
                self.sent_unnoticed.append(self.now)
        else:
            self.refused += 1
        return permitted

    def busiest_window(self) -> int:
        """Return the most requests that any window saw."""
        most = first = 0
        for last, at in enumerate(self.sent):
            while self.sent[first] <= at - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def offer(self, seconds: float, per_s: float, rng: Random) -> None:
        """Have requests come, at gateways drawn by lot."""
        until = self.now + seconds
        next_picture = self.now
        while self.now < until:
            self.now += rng.expovariate(per_s)
            if self.now >= next_picture:
                self.tell_pictures()
                next_picture = self.now + PICTURE_S
            self.request(rng.choice(self.gateways))


def whole(limit: RequestLimit) -> float:
    return limit.requests_per_s * WINDOW_S + limit.burst


class PicturingFleet(Fleet):
    """A fleet whose home tells pictures while it lives, as it does in service.

    Setting the time forward has the home tell every picture that is due until then.
    """

    _now = 0.0
    _next_picture = float("inf")

    @property
    def now(self) -> float:
        return self._now

    @now.setter
    def now(self, value: float) -> None:
        while self._next_picture <= value:
            self._now = self._next_picture
            self.tell_pictures()
            self._next_picture += PICTURE_S
        self._now = value

    def new_home(self) -> TenantLimits:
        """A home tells its first picture one period after it began."""
        self._next_picture = self.now + PICTURE_S
        return super().new_home()
