"""Limits of tenants' requests, cores: one token bucket a tenant that holds over the whole fleet.

Each tenant has a *home*: one granting node that permits its requests and knows which gateway sent
how many. A gateway that has no contact to a home goes on by itself, at most as fast as it went
lately when it had: over all gateways that is about what the home had permitted.

A home that begins knows nothing. Each gateway's session opens with what it sent lately, and with
what the last home had told of all gateways together; from both follows how many tokens are left,
and how many may still be spent by gateways that have not opened theirs.

What a gateway sent that was lost with the last home is known to nobody, and may be a whole burst.
So a home that begins lends no more than :data:`FIRST_BURST_SHARE` of a window's requests at once,
until all that was sent before it has left the window.

What holds, for each tenant and every span of :data:`WINDOW_S`: no more than ``rate * span + burst``
requests are sent while gateways have contact, whatever homes come and go. A gateway without contact
may send its part of a window faster than evenly, and a home that begins while others are out of
contact reckons with what these were told to use: together a few parts in a hundred too many. A
gateway that starts without contact sends up to :data:`FIRST_SHARE` of a window's requests until it
has.

Pure: time is handed in as seconds.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wharfcart.configuration.serving import RequestLimit

# Limits hold over every span of this length: so far back a home that begins looks.
WINDOW_S = 5.0
# A gateway without contact goes on for so long, and its part is kept for it a little longer: links
# between machines of one region come back within seconds, or the machine is given up.
MAX_DISCONNECTED_S = 20.0
RESERVATION_S = MAX_DISCONNECTED_S + 3.0
# Part of a window's requests that a gateway may send that never had contact, and how many at least:
# a tenant's callers come to few gateways, and a home counts these requests once it hears of them.
NO_CONTACT_SHARE = 1 / 16
MIN_NO_CONTACT_REQUESTS = 4.0
# Part of a window's requests that a home lends beyond the rate in its first window. Gateways that
# were lost with the last home may have sent a whole burst that nobody tells of: with this share a
# window sees a sixth too many at the most. A tenant whose burst is the rate of one second is not
# refused anything for it; one with a larger burst waits for a window at the most.
INITIAL_BURST_SHARE = 1 / 6
# Usage is told of tenants that use more than this part of their limit. What gateways that a new
# home does not hear may send for others is little beside the limit.
REPORTED_SHARE = 0.25
# A tenant that uses more than this part of its limit comes near it.
NEAR_LIMIT_SHARE = 0.7
# What gateways heard of usage says nothing once they had been without a home for so long: homes
# tell it a few times a second.
MAX_USAGE_AGE_S = 1.5
# A tenant over its limit is told to come back within this time, however many were told before.
MAX_RETRY_AFTER_S = WINDOW_S


@dataclass(frozen=True, slots=True)
class PermittedSend:
    """One request that was permitted.

    Attributes:
        age_s: seconds since it was.
    """

    tenant: str
    age_s: float


@dataclass
class SendHistory:
    """What one gateway has sent lately, and what it may send without contact to a home."""

    _times_by_tenant: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, tenant: str, now: float) -> None:
        """Note a request that was permitted."""
        times = self._times_by_tenant.setdefault(tenant, deque())
        times.append(now)
        while times[0] < now - MAX_DISCONNECTED_S - WINDOW_S:
            times.popleft()

    def recent(self, now: float) -> list[PermittedSend]:
        """Return the requests of the last two windows."""
        return [
            PermittedSend(tenant, now - at)
            for tenant, times in self._times_by_tenant.items()
            for at in times
            if at > now - 2 * WINDOW_S
        ]

    def may_send_disconnected(
        self,
        tenant: str,
        limit: RequestLimit,
        last_contact_at: float | None,
        usage: int,
        now: float,
    ) -> bool:
        """Whether one more request keeps to the pace of the time with contact.

        That is the pace of the last window for a tenant that came near its limit, and of the
        busiest one lately for others: all gateways together have room for it.

        Args:
            tenant: whose request it is.
            limit: of the tenant, in force at this gateway.
            contact_at: when the home was heard last; None if none ever was.
            usage: requests of the last window over all gateways, as the home told; 0 if few.
            now: the time.
        """
        times = self._times_by_tenant.get(tenant, ())
        if last_contact_at is None:
            most = max(MIN_NO_CONTACT_REQUESTS, limit.requests_per_s * WINDOW_S * NO_CONTACT_SHARE)
        elif now - last_contact_at > MAX_DISCONNECTED_S:
            most = 0.0
        elif usage > NEAR_LIMIT_SHARE * _window_limit(limit):
            most = _count_in_window(times, last_contact_at)
        else:
            most = _max_in_window(times, last_contact_at)
        return _count_in_window(times, now) < min(most, _window_limit(limit))


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """Requests of one tenant in one window over all gateways, as a home told."""

    tenant: str
    count: int


@dataclass
class _TenantState:
    """What a home knows of one tenant.

    Attributes:
        times_by_holder: when each gateway sent its last requests.
        lost_at_by_holder: when contact to a gateway was lost.
        level: tokens that are there; below 0 if more was sent than was permitted here.
        counted_at: time of the level; None if it must be reckoned anew.
        told_count: requests of one window over all gateways, as the last home told.
        told_at: end of that window.
        promised_until: until when each token that comes is promised to somebody.
        sent_here: requests that were sent since this home began, as far as it counted them itself.
    """

    send_times_by_holder: dict[str, deque[float]] = field(default_factory=dict)
    lost_at_by_holder: dict[str, float] = field(default_factory=dict)
    tokens: float = 0.0
    refilled_at: float | None = None
    reported_count: int = 0
    reported_at: float = 0.0
    promised_until: float = 0.0
    sent_count: int = 0

    def record(self, holder: str, at: float) -> None:
        """Count a request of a gateway."""
        times = self.send_times_by_holder.setdefault(holder, deque())
        times.append(at)
        while times[0] < at - 2 * WINDOW_S:
            times.popleft()

    def reserved(self, holder: str, now: float) -> int:
        """Return how many requests a window a gateway may send without contact."""
        lost_at = self.lost_at_by_holder.get(holder)
        times = self.send_times_by_holder.get(holder)
        if lost_at is None or not times or now - lost_at > RESERVATION_S:
            return 0
        return _max_in_window(times, times[-1])

    def used(self, now: float) -> int:
        """Return the requests of the last window, those that may be sent without contact too."""
        return sum(
            max(_count_in_window(times, now), self.reserved(holder, now))
            for holder, times in self.send_times_by_holder.items()
        )


class TenantLimitCoordinator:
    """The tenants whose home is one node.

    Args:
        limit_of: a tenant's limit by the configuration in force, or None.
        now: when this node begins to keep the limits.
    """

    def __init__(self, limit_of: Callable[[str], RequestLimit | None], now: float) -> None:
        self._limit_of = limit_of
        self._started_at = now
        self._usage_received_at = 0.0
        self._connected: set[str] = set()
        self._lost_at_by_holder: dict[str, float] = {}
        self._reported_gateways = 0
        self._tenants_by_name: dict[str, _TenantState] = {}

    # ---- gateways ----

    def holder_connected(
        self,
        holder: str,
        sends: Iterable[PermittedSend],
        usage: Iterable[TenantUsage],
        usage_age_s: float,
        gateways: int,
        now: float,
    ) -> None:
        """Take what a gateway sent lately, alone too; after a restart it knows less than this home.

        Args:
            holder: the gateway.
            sends: its requests of the last two windows.
            usage: of all gateways, as it heard last from any home.
            usage_age_s: seconds since then.
            gateways: how many gateways that home had counted.
            now: the time.
        """
        self._connected.add(holder)
        self._lost_at_by_holder.pop(holder, None)
        self._reported_gateways = max(self._reported_gateways, gateways)
        for tenant in self._tenants_by_name.values():
            tenant.lost_at_by_holder.pop(holder, None)
        times_by_tenant: dict[str, list[float]] = {}
        for send in sends:
            times_by_tenant.setdefault(send.tenant, []).append(now - send.age_s)
        for name, times in times_by_tenant.items():
            tenant = self._tenant(name)
            if _count_in_window(times, now) >= _count_in_window(
                tenant.send_times_by_holder.get(holder, ()), now
            ):
                tenant.send_times_by_holder[holder] = deque(sorted(times))
                tenant.refilled_at = None
        heard_at = now - usage_age_s
        self._usage_received_at = max(self._usage_received_at, heard_at)
        for told in usage:
            tenant = self._tenant(told.tenant)
            if heard_at > tenant.reported_at:
                tenant.reported_at = heard_at
                tenant.reported_count = told.count
                tenant.refilled_at = None

    def holder_lost(self, holder: str, unresponsive_s: float, now: float) -> None:
        """Keep a gateway's part for it: it may go on without contact.

        Args:
            holder: the gateway.
            silent_s: for how long nothing was heard of it; it may have gone on meanwhile.
            now: the time.
        """
        self._connected.discard(holder)
        self._lost_at_by_holder[holder] = now
        for name, tenant in self._tenants_by_name.items():
            limit = self._limit_of(name)
            if holder not in tenant.send_times_by_holder or limit is None:
                continue
            self._refill(tenant, limit, now)
            tenant.lost_at_by_holder[holder] = now
            tenant.tokens -= tenant.reserved(holder, now) * min(1.0, unresponsive_s / WINDOW_S)

    # ---- requests ----

    def acquire(self, holder: str, name: str, now: float) -> float:
        """Permit a request; 0, or the seconds after which to come back."""
        limit = self._limit_of(name)
        if limit is None:
            return 0.0
        tenant = self._tenant(name)
        rate = self._refill(tenant, limit, now)
        level = min(tenant.tokens, self._initial_tokens(tenant, limit, now))
        if level < 1.0:
            return self._retry_after(tenant, level, rate, now)
        self._spend(tenant, holder, now)
        return 0.0

    def count_unpermitted(self, holder: str, name: str, now: float) -> None:
        """Count a request that a gateway sent without asking."""
        limit = self._limit_of(name)
        if limit is None:
            return
        tenant = self._tenant(name)
        self._refill(tenant, limit, now)
        self._spend(tenant, holder, now)

    def release(self, holder: str, name: str, now: float) -> None:
        """Take back a permit whose request was not sent."""
        limit = self._limit_of(name)
        tenant = self._tenants_by_name.get(name)
        times = None if tenant is None else tenant.send_times_by_holder.get(holder)
        if limit is None or tenant is None or not times:
            return
        self._refill(tenant, limit, now)
        times.pop()
        tenant.sent_count -= 1
        tenant.tokens = min(max(1.0, limit.burst), tenant.tokens + 1.0)

    def gateway_count(self, now: float) -> int:
        """Return how many gateways have a session here, or may go on without one."""
        told = self._reported_gateways if now - self._started_at <= RESERVATION_S else 0
        return max(told, self._known_gateway_count(now))

    def window_usage(self, name: str, now: float) -> int:
        """Return a tenant's requests of the last window, as far as they are known."""
        tenant = self._tenants_by_name.get(name)
        return 0 if tenant is None else tenant.used(now)

    def usage_by_tenant(self, now: float) -> dict[str, int]:
        """Return the requests of the last window by tenant, of those that come near their limit."""
        self._expire(now)
        found = {}
        for name, tenant in self._tenants_by_name.items():
            limit = self._limit_of(name)
            if limit is None:
                continue
            used = tenant.used(now) + self._unreported_usage(tenant, limit, now)
            if used > REPORTED_SHARE * _window_limit(limit):
                found[name] = int(used)
        return found

    # ---- inner ----

    def _tenant(self, name: str) -> _TenantState:
        return self._tenants_by_name.setdefault(name, _TenantState())

    def _spend(self, tenant: _TenantState, holder: str, now: float) -> None:
        tenant.tokens -= 1.0
        tenant.sent_count += 1
        tenant.record(holder, now)

    def _refill(self, tenant: _TenantState, limit: RequestLimit, now: float) -> float:
        """Add the tokens that time brought; return the rate at which they come."""
        kept = sum(tenant.reserved(holder, now) for holder in tenant.lost_at_by_holder)
        unknown = self._unreported_usage(tenant, limit, now)
        left = limit.requests_per_s * WINDOW_S - kept - unknown
        rate = max(0.0, left / WINDOW_S)
        burst = max(1.0, limit.burst) + min(0.0, left)
        if tenant.refilled_at is None:
            tenant.tokens = _replay_tokens(tenant, rate, burst, now) - unknown
        else:
            gained = (now - tenant.refilled_at) * rate
            tenant.tokens = min(burst, tenant.tokens + gained)
        tenant.refilled_at = now
        return rate

    def _known_gateway_count(self, now: float) -> int:
        lost = sum(now - lost_at <= RESERVATION_S for lost_at in self._lost_at_by_holder.values())
        return len(self._connected) + lost

    def _unreported_usage(self, tenant: _TenantState, limit: RequestLimit, now: float) -> float:
        """Return the most requests a window of gateways that have not opened their session here."""
        if (
            now - self._started_at > RESERVATION_S
            or self._known_gateway_count(now) >= self._reported_gateways
        ):
            return 0.0
        told_at, told_count = tenant.reported_at, float(tenant.reported_count)
        if self._started_at - self._usage_received_at > MAX_USAGE_AGE_S:
            told_at, told_count = self._started_at, _window_limit(limit)
        known = sum(
            _count_in_window(times, told_at) for times in tenant.send_times_by_holder.values()
        )
        return max(0.0, told_count - known)

    def _initial_tokens(self, tenant: _TenantState, limit: RequestLimit, now: float) -> float:
        """Return the tokens that this home may lend by its first window's share; many after it."""
        age_s = now - self._started_at
        if age_s >= WINDOW_S:
            return float("inf")
        return (
            INITIAL_BURST_SHARE * _window_limit(limit)
            + limit.requests_per_s * age_s
            - tenant.sent_count
        )

    def _retry_after(self, tenant: _TenantState, tokens: float, rate: float, now: float) -> float:
        """Return when a token is there that was promised to nobody yet."""
        if rate <= 0.0:
            return MAX_RETRY_AFTER_S
        next_token = now + (1.0 - tokens) / rate
        tenant.promised_until = max(next_token, tenant.promised_until + 1.0 / rate)
        return min(MAX_RETRY_AFTER_S, tenant.promised_until - now)

    def _expire(self, now: float) -> None:
        for holder, lost_at in list(self._lost_at_by_holder.items()):
            if now - lost_at > RESERVATION_S:
                del self._lost_at_by_holder[holder]
        for tenant in self._tenants_by_name.values():
            for holder, times in list(tenant.send_times_by_holder.items()):
                over = not times or times[-1] < now - 2 * WINDOW_S
                if over and not tenant.reserved(holder, now):
                    del tenant.send_times_by_holder[holder]
                    tenant.lost_at_by_holder.pop(holder, None)


def _window_limit(limit: RequestLimit) -> float:
    """Return how many requests one window may see."""
    return limit.requests_per_s * WINDOW_S + limit.burst


def _count_in_window(times: Iterable[float], until: float) -> int:
    """Return how many of some times lie in the window that ends at a time."""
    return sum(until - WINDOW_S < at <= until for at in times)


def _max_in_window(times: Iterable[float], until: float) -> int:
    """Return the most times in any window that ends within the window before a time."""
    recent = [at for at in times if until - 2 * WINDOW_S < at <= until]
    most = first = 0
    for last, at in enumerate(recent):
        while recent[first] <= at - WINDOW_S:
            first += 1
        if at > until - WINDOW_S:
            most = max(most, last - first + 1)
    return max(most, _count_in_window(recent, until - WINDOW_S))


def _replay_tokens(tenant: _TenantState, rate: float, burst: float, now: float) -> float:
    """Return the tokens left of a bucket that was full a window ago.

    With that many tokens no span that begins later sees more than ``rate * span + burst``.
    """
    began = now - WINDOW_S
    times = sorted(
        at for times in tenant.send_times_by_holder.values() for at in times if at > began
    )
    level = burst
    last = began
    for at in times:
        level = min(burst, level + (at - last) * rate) - 1.0
        last = at
    return min(burst, level + (now - last) * rate)
