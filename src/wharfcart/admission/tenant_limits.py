"""Request limits of tenants: one token bucket per tenant that holds over the whole fleet.

Each tenant has a limit coordinator: one granting node that permits the tenant's requests and counts
them by gateway. A gateway that is disconnected from the coordinator continues at its recent rate;
summed over all gateways that is about what the coordinator had permitted.

A new coordinator has no state. Each gateway opens its session with its recent requests and with the
last usage report of the previous coordinator. From these the new coordinator computes how many
tokens are left and how many may still be spent by gateways that are not connected to it yet.

If a gateway is lost together with the coordinator, nobody knows what it sent last; that may be a
whole burst. So a new coordinator grants at most :data:`INITIAL_BURST_SHARE` of a window's requests
beyond the rate, until every request sent before its start has left the window.

What a disconnected gateway may send is bounded by its busiest recent window. Coordinators report
the sum of these bounds over all gateways, so that a later coordinator can reserve the part of those
that it does not know.

For each tenant and every span of :data:`WINDOW_S`, at most ``rate * span + burst`` requests are
sent while gateways are connected, also when coordinators change. The limit may be exceeded by a few
percent while gateways are disconnected: a disconnected gateway may send its share of a window
unevenly, and a new coordinator only estimates the usage of gateways that are not connected to it. A
gateway that starts without contact to a coordinator sends up to :data:`NO_CONTACT_SHARE` of a
window's requests until it connects.

This module does no I/O; callers pass in the time in seconds.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from wharfcart.configuration.serving import RequestLimit

# Limits hold over every span of this length; a new coordinator looks back as far.
WINDOW_S = 5.0
# A disconnected gateway sends for this long; the coordinator reserves its share a little longer.
# Links within a region recover within seconds, or the machine is given up.
MAX_DISCONNECTED_S = 20.0
RESERVATION_S = MAX_DISCONNECTED_S + 3.0
# Share of a window's requests for a gateway that never had contact, and its least number. A
# tenant's callers use few gateways, and a coordinator counts these requests once it learns of them.
NO_CONTACT_SHARE = 1 / 16
MIN_NO_CONTACT_REQUESTS = 4.0
# Share of a window's requests that a new coordinator grants beyond the rate in its first window.
# Bounds the excess to a sixth if gateways lost with the previous coordinator had sent a whole
# burst. A tenant whose burst is one second of its rate is refused nothing because of it; one with a
# larger burst waits for at most a window.
INITIAL_BURST_SHARE = 1 / 6
# Share of its requests per window that a disconnected gateway may send at once. Until it detects
# the disconnect, the coordinator permits the whole limit to the others.
DISCONNECTED_BURST_SHARE = 0.5
# The coordinator reports the usage of tenants above this share of their limit. Below it, requests
# of gateways that a new coordinator does not know are assumed to be few compared with the limit.
REPORTED_SHARE = 0.25
# Coordinators report usage several times per second. If the last report is older than this, a new
# coordinator assumes that gateways not connected to it use the whole limit.
MAX_USAGE_AGE_S = 1.5
# Upper bound of the retry time sent to callers.
MAX_RETRY_AFTER_S = WINDOW_S


@dataclass(frozen=True, slots=True)
class PermittedSend:
    """One permitted request.

    Attributes:
        tenant: name of the tenant.
        age_s: seconds since the request was permitted.
    """

    tenant: str
    age_s: float


@dataclass
class SendHistory:
    """Recent requests of one gateway; decides what it may send while disconnected."""

    _times_by_tenant: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, tenant: str, now: float) -> None:
        """Record a permitted request."""
        times = self._times_by_tenant.setdefault(tenant, deque())
        times.append(now)
        while times[0] < now - MAX_DISCONNECTED_S - WINDOW_S:
            times.popleft()

    def recent(self, now: float) -> list[PermittedSend]:
        """Return the requests that counted at any usage report a coordinator still trusts."""
        return [
            PermittedSend(tenant, now - at)
            for tenant, times in self._times_by_tenant.items()
            for at in times
            if at > now - 2 * WINDOW_S - MAX_USAGE_AGE_S
        ]

    def may_send_disconnected(
        self,
        tenant: str,
        limit: RequestLimit,
        last_contact_at: float | None,
        usage: int,
        now: float,
    ) -> bool:
        """Whether one more request stays within the rate before the disconnect.

        The gateway may send at most :data:`DISCONNECTED_BURST_SHARE` of its share at once.

        Args:
            tenant: name of the tenant.
            limit: limit of the tenant at this gateway.
            last_contact_at: time of the last contact to a coordinator; None if there was none.
            usage: usage of the tenant as the coordinator reported it; 0 if below the reported
                share.
            now: current time in seconds.
        """
        times = self._times_by_tenant.get(tenant, ())
        if last_contact_at is None:
            max_requests = max(
                MIN_NO_CONTACT_REQUESTS, limit.requests_per_s * WINDOW_S * NO_CONTACT_SHARE
            )
            return _count_in_window(times, now) < min(max_requests, _window_limit(limit))
        if now - last_contact_at > MAX_DISCONNECTED_S:
            return False
        share = min(
            self.disconnected_share(tenant, limit, last_contact_at, usage), _window_limit(limit)
        )
        if _count_in_window(times, now) >= share:
            return False
        since_contact = [at for at in times if at > last_contact_at]
        burst = max(1.0, DISCONNECTED_BURST_SHARE * share)
        return _tokens_left(since_contact, share / WINDOW_S, burst, last_contact_at, now) >= 1.0

    def disconnected_share(
        self, tenant: str, limit: RequestLimit, last_contact_at: float, usage: int
    ) -> int:
        """Return the requests per window that this gateway may send while disconnected.

        That is what it sent in its busiest recent window. If the busiest windows of all gateways
        together exceed the limit, it is what it sent in the last window.

        Args:
            tenant: name of the tenant.
            limit: limit of the tenant at this gateway.
            last_contact_at: time of the last contact to a coordinator.
            usage: reported usage of the tenant; 0 if below the reported share.
        """
        times = self._times_by_tenant.get(tenant, ())
        if usage > _window_limit(limit):
            return _count_in_window(times, last_contact_at)
        return _max_in_window(times, last_contact_at)


@dataclass(frozen=True, slots=True)
class TenantUsage:
    """Usage of one tenant over all gateways, as a coordinator reported.

    Attributes:
        tenant: name of the tenant.
        count: sum of what each gateway sent in its busiest recent window, i.e. of what the gateways
            may send per window if all of them get disconnected.
    """

    tenant: str
    count: int


@dataclass
class _TenantState:
    """State of one tenant at its coordinator.

    Attributes:
        send_times_by_holder: times of the recent requests of each gateway.
        reported_times_by_holder: times of the requests that each gateway reported when it first
            connected to this coordinator.
        lost_at_by_holder: when the connection to each lost gateway broke.
        tokens: tokens in the bucket; below 0 if gateways sent requests without a permit.
        refilled_at: time of the last refill; None if the tokens must be recomputed.
        reported_count: usage over all gateways, as the previous coordinator reported.
        reported_at: time of that report.
        promised_until: time up to which all future tokens are promised to refused callers.
        sent_count: requests that this coordinator has counted since its start.
    """

    send_times_by_holder: dict[str, deque[float]] = field(default_factory=dict)
    reported_times_by_holder: dict[str, list[float]] = field(default_factory=dict)
    lost_at_by_holder: dict[str, float] = field(default_factory=dict)
    tokens: float = 0.0
    refilled_at: float | None = None
    reported_count: int = 0
    reported_at: float = 0.0
    promised_until: float = 0.0
    sent_count: int = 0
    _known_count_by_report_time: dict[float, int] = field(default_factory=dict)

    def record_reported(self, holder: str, times: list[float]) -> None:
        """Keep the requests that a gateway reported when it first connected."""
        self.reported_times_by_holder.setdefault(holder, times)
        self._known_count_by_report_time.clear()

    def known_count(self, reported_at: float) -> int:
        """Return the part of the usage at a past time that belongs to gateways now connected."""
        count = self._known_count_by_report_time.get(reported_at)
        if count is None:
            reported = self.reported_times_by_holder.values()
            count = sum(_max_in_window(times, reported_at) for times in reported)
            self._known_count_by_report_time[reported_at] = count
        return count

    def record(self, holder: str, at: float) -> None:
        """Count a request of a gateway."""
        times = self.send_times_by_holder.setdefault(holder, deque())
        times.append(at)
        while times[0] < at - 2 * WINDOW_S:
            times.popleft()

    def reserved(self, holder: str, now: float) -> int:
        """Return the requests per window reserved for a disconnected gateway."""
        lost_at = self.lost_at_by_holder.get(holder)
        times = self.send_times_by_holder.get(holder)
        if lost_at is None or not times or now - lost_at > RESERVATION_S:
            return 0
        return _max_in_window(times, times[-1])

    def usage(self, now: float) -> int:
        """Return what the known gateways may send per window if they get disconnected."""
        return sum(
            max(_max_in_window(times, now), self.reserved(holder, now))
            if holder in self.lost_at_by_holder
            else _max_in_window(times, now)
            for holder, times in self.send_times_by_holder.items()
        )

    def used(self, now: float) -> int:
        """Return the requests of the last window, including reserved ones."""
        return sum(
            max(_count_in_window(times, now), self.reserved(holder, now))
            for holder, times in self.send_times_by_holder.items()
        )


class TenantLimitCoordinator:
    """Coordinates the limits of tenants on one node.

    Args:
        limit_of: returns a tenant's limit in the current configuration, or None.
        now: time in seconds at which this node becomes the coordinator.
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
        """Record that a gateway connected, with its recent requests.

        The requests include those sent while disconnected. A restarted gateway may report fewer
        than this coordinator has counted; the larger set is kept.

        Args:
            holder: the gateway.
            sends: its requests of the last two windows.
            usage: usage over all gateways, as the gateway last received it from any coordinator.
            usage_age_s: age of that report in seconds.
            gateways: number of gateways in that report.
            now: current time in seconds.
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
            tenant.record_reported(holder, times)
            if _count_in_window(times, now) >= _count_in_window(
                tenant.send_times_by_holder.get(holder, ()), now
            ):
                tenant.send_times_by_holder[holder] = deque(sorted(times))
                tenant.refilled_at = None
        received_at = now - usage_age_s
        self._usage_received_at = max(self._usage_received_at, received_at)
        for report in usage:
            tenant = self._tenant(report.tenant)
            if received_at > tenant.reported_at:
                tenant.reported_at = received_at
                tenant.reported_count = report.count
                tenant.refilled_at = None

    def holder_lost(self, holder: str, unresponsive_s: float, now: float) -> None:
        """Reserve the share of a disconnected gateway, which may continue to send.

        Args:
            holder: the gateway.
            unresponsive_s: seconds since its last message; it may have sent requests since.
            now: current time in seconds.
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
        """Permit a request and return 0, or return the seconds after which to retry."""
        limit = self._limit_of(name)
        if limit is None:
            return 0.0
        tenant = self._tenant(name)
        rate = self._refill(tenant, limit, now)
        available = min(tenant.tokens, self._initial_tokens(tenant, limit, now))
        if available < 1.0:
            return self._retry_after(tenant, available, rate, now)
        self._spend(tenant, holder, now)
        return 0.0

    def count_unpermitted(self, holder: str, name: str, now: float) -> None:
        """Count a request that a gateway sent without a permit."""
        limit = self._limit_of(name)
        if limit is None:
            return
        tenant = self._tenant(name)
        self._refill(tenant, limit, now)
        self._spend(tenant, holder, now)

    def release(self, holder: str, name: str, now: float) -> None:
        """Release a permit whose request was not sent."""
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
        """Return the number of gateways that are connected or may send while disconnected."""
        reported = self._reported_gateways if now - self._started_at <= RESERVATION_S else 0
        return max(reported, self._known_gateway_count(now))

    def reserved_usage(self, name: str, now: float) -> float:
        """Return the requests per window reserved for gateways that are not connected."""
        tenant = self._tenants_by_name.get(name)
        limit = self._limit_of(name)
        if tenant is None or limit is None:
            return 0.0
        return self._reserved(tenant, now) + self._unreported_usage(tenant, limit, now)

    def window_usage(self, name: str, now: float) -> int:
        """Return the known requests of a tenant in the last window."""
        tenant = self._tenants_by_name.get(name)
        return 0 if tenant is None else tenant.used(now)

    def usage_by_tenant(self, now: float) -> dict[str, int]:
        """Return the usage by tenant, above the reported share only.

        Gateways that are not connected to a later coordinator may send what is reported here, so
        both sides measure by the busiest window.
        """
        self._expire(now)
        usage = {}
        for name, tenant in self._tenants_by_name.items():
            limit = self._limit_of(name)
            if limit is None:
                continue
            total = tenant.usage(now) + self._unreported_usage(tenant, limit, now)
            if total > REPORTED_SHARE * _window_limit(limit):
                usage[name] = int(total)
        return usage

    # ---- internal ----

    def _tenant(self, name: str) -> _TenantState:
        return self._tenants_by_name.setdefault(name, _TenantState())

    def _spend(self, tenant: _TenantState, holder: str, now: float) -> None:
        tenant.tokens -= 1.0
        tenant.sent_count += 1
        tenant.record(holder, now)

    def _refill(self, tenant: _TenantState, limit: RequestLimit, now: float) -> float:
        """Add the tokens since the last refill; return the refill rate in tokens per second."""
        reserved_requests = self._reserved(tenant, now)
        unreported_requests = self._unreported_usage(tenant, limit, now)
        available = limit.requests_per_s * WINDOW_S - reserved_requests - unreported_requests
        rate = max(0.0, available / WINDOW_S)
        burst = max(1.0, limit.burst) + min(0.0, available)
        if tenant.refilled_at is None:
            tenant.tokens = _replay_tokens(tenant, rate, burst, now) - unreported_requests
        else:
            gained = (now - tenant.refilled_at) * rate
            tenant.tokens = min(burst, tenant.tokens + gained)
        tenant.refilled_at = now
        return rate

    def _reserved(self, tenant: _TenantState, now: float) -> int:
        return sum(tenant.reserved(holder, now) for holder in tenant.lost_at_by_holder)

    def _known_gateway_count(self, now: float) -> int:
        lost = sum(now - lost_at <= RESERVATION_S for lost_at in self._lost_at_by_holder.values())
        return len(self._connected) + lost

    def _unreported_usage(self, tenant: _TenantState, limit: RequestLimit, now: float) -> float:
        """Return an upper bound of the requests per window of gateways not connected yet."""
        if (
            now - self._started_at > RESERVATION_S
            or self._known_gateway_count(now) >= self._reported_gateways
        ):
            return 0.0
        reported_at, reported_usage = tenant.reported_at, float(tenant.reported_count)
        if self._started_at - self._usage_received_at > MAX_USAGE_AGE_S:
            reported_at, reported_usage = self._started_at, _window_limit(limit)
        if not reported_usage:
            return 0.0
        return max(0.0, reported_usage - tenant.known_count(reported_at))

    def _initial_tokens(self, tenant: _TenantState, limit: RequestLimit, now: float) -> float:
        """Return the tokens that may be granted in the first window; unlimited after it."""
        age_s = now - self._started_at
        if age_s >= WINDOW_S:
            return float("inf")
        return (
            INITIAL_BURST_SHARE * _window_limit(limit)
            + limit.requests_per_s * age_s
            - tenant.sent_count
        )

    def _retry_after(self, tenant: _TenantState, tokens: float, rate: float, now: float) -> float:
        """Return the seconds until the next token that is not promised to another caller."""
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
            if now - self._started_at > RESERVATION_S:
                tenant.reported_times_by_holder.clear()
            for holder, times in list(tenant.send_times_by_holder.items()):
                is_outdated = not times or times[-1] < now - 2 * WINDOW_S
                if is_outdated and not tenant.reserved(holder, now):
                    del tenant.send_times_by_holder[holder]
                    tenant.lost_at_by_holder.pop(holder, None)


def _window_limit(limit: RequestLimit) -> float:
    """Return the number of requests allowed in one window."""
    return limit.requests_per_s * WINDOW_S + limit.burst


def _count_in_window(times: Iterable[float], until: float) -> int:
    """Return how many of the times lie in the window that ends at ``until``."""
    return sum(until - WINDOW_S < at <= until for at in times)


def _max_in_window(times: Iterable[float], until: float) -> int:
    """Return the largest count of any window that ends within the window before ``until``."""
    recent = [at for at in times if until - 2 * WINDOW_S < at <= until]
    if not recent or recent[-1] - recent[0] < WINDOW_S:
        return len(recent)
    max_count = first = 0
    for last, at in enumerate(recent):
        while recent[first] <= at - WINDOW_S:
            first += 1
        if at > until - WINDOW_S:
            max_count = max(max_count, last - first + 1)
    return max(max_count, _count_in_window(recent, until - WINDOW_S))


def _tokens_left(
    times: Iterable[float], rate: float, burst: float, full_at: float, now: float
) -> float:
    """Return the tokens left in a bucket that was full at a time, after requests since then."""
    tokens = burst
    last = full_at
    for at in times:
        tokens = min(burst, tokens + (at - last) * rate) - 1.0
        last = at
    return min(burst, tokens + (now - last) * rate)


def _replay_tokens(tenant: _TenantState, rate: float, burst: float, now: float) -> float:
    """Return the tokens left in a bucket that was full one window ago.

    Continuing with these tokens keeps every later span within ``rate * span + burst``.
    """
    window_start = now - WINDOW_S
    times = sorted(
        at for times in tenant.send_times_by_holder.values() for at in times if at > window_start
    )
    return _tokens_left(times, rate, burst, window_start, now)
