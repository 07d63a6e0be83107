"""Cold back ends and the rate of requests that they receive.

A back end is cold for some seconds after a start and may turn cold at any time. While cold, it
handles only a limited rate of requests from all nodes together. Requests reach it in two ways, each
with a share of that rate, so that the sum stays within it even if nodes lose contact:

* The granting node keeps one token bucket (:class:`ColdBuckets`) for all holders of slots.
* A gateway that selects locally has a share only at a few back ends, selected by hashing. Few
  gateways share one back end, so a fleet of gateways with a saved token each can't overload it.

In any second, with a limit of r, a back end receives at most 0.85 r from a granting node whose
leadership is confirmed, 0.15 r from one that may have been replaced, and 0.1 r from each gateway
with a share. With two such gateways that is 1.2 r. A request may arrive up to ``PERMIT_TTL_S``
after its permit, which makes it 1.44 r, plus 5 tokens saved by two granting nodes and two gateways.
Back ends are expected to handle 1.5 r + 5. On average one gateway has a share at a back end; more
than two have one at 8 of 100. The bound is exceeded only if, in addition, two nodes grant slots and
all these gateways are disconnected.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from wharfcart.configuration.serving import ColdLimit

# Shares of the rate; the module docstring derives their sum.
GRANTED_SHARE = 0.85
UNCONFIRMED_SHARE = 0.15
LOCAL_CHOICE_SHARE = 0.1
# Mean number of gateways that may select one cold back end locally.
GATEWAYS_PER_BACKEND = 1
# Assumed number of gateways while it is unknown.
MAX_GATEWAYS = 512
HASH_RANGE = 1 << 64
# Bucket sizes. What a granting node saves above one token makes up for refills only on requests and
# ticks.
GRANTED_MAX_TOKENS = 1.5
LOCAL_MAX_TOKENS = 1.0
# A permitted request whose connection takes longer than this is placed again.
PERMIT_TTL_S = 0.2
# Longer than two report intervals of 1.2 s. Back ends of an evacuated zone may become cold just
# before it is restored; they count as cold until they report.
UNREPORTED_COLD_TTL_S = 3.0


@dataclass(slots=True)
class ColdPeriod:
    """The cold period of one back end, as it reported.

    Attributes:
        until: monotonic time in seconds at which the period ends.
        revision: revision of the entry with the report.
    """

    until: float = -1e9
    revision: int = 0


@dataclass(frozen=True, slots=True)
class _RestoredZone:
    """An evacuated zone that is in use again.

    Attributes:
        until: monotonic time in seconds until which back ends without a report count as cold.
        revision: revision at which the zone was restored.
    """

    until: float
    revision: int


class ColdBackends:
    """Decides which back ends are cold, as one node knows them.

    Attributes:
        limits: limits of cold back ends by service; services without a limit have no cold ones.
    """

    def __init__(self) -> None:
        self.limits: Mapping[str, ColdLimit] = {}
        self._restored_by_zone: dict[str, _RestoredZone] = {}
        self._latest_until = -1e9

    def report_received(
        self, period: ColdPeriod, cold_for_s: float, now: float, revision: int
    ) -> None:
        """Update a cold period from a back end's entry.

        The period starts when the entry arrives. Since the entry was written earlier, no back end
        counts as warm too early.
        """
        period.until = now + cold_for_s if cold_for_s > 0 else -1e9
        period.revision = revision
        self._latest_until = max(self._latest_until, period.until)

    def zone_restored(self, zone: str, now: float, revision: int) -> None:
        """Record that an evacuated zone is in use again."""
        self._restored_by_zone[zone] = _RestoredZone(now + UNREPORTED_COLD_TTL_S, revision)
        self._latest_until = max(self._latest_until, now + UNREPORTED_COLD_TTL_S)

    def may_have_cold(self, now: float) -> bool:
        """Whether any back end may currently be cold."""
        return now < self._latest_until and bool(self.limits)

    def is_cold(self, service: str, zone: str, period: ColdPeriod, now: float) -> bool:
        """Whether a back end counts as cold."""
        if now >= self._latest_until or service not in self.limits:
            return False
        until = period.until
        restored = self._restored_by_zone.get(zone)
        if restored is not None and period.revision <= restored.revision:
            until = max(until, restored.until)
        return now < until


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


@dataclass
class ColdBuckets:
    """Token buckets of the requests that cold back ends may receive from this node.

    A bucket starts empty, since requests sent before by other nodes, or while the back end counted
    as warm, are unknown.

    Attributes:
        max_tokens: size of each bucket.
    """

    max_tokens: float = GRANTED_MAX_TOKENS
    _buckets: dict[str, _Bucket] = field(default_factory=dict)  # by instance

    def allows(self, instance_id: str, per_s: float, now: float) -> bool:
        """Whether a cold back end may receive a request now."""
        return self._refilled(instance_id, per_s, now).tokens >= 1.0

    def spend(self, instance_id: str) -> None:
        """Spend the token of a request to a cold back end."""
        bucket = self._buckets.get(instance_id)
        if bucket is not None:
            bucket.tokens -= 1.0

    def retain(self, cold: Collection[str]) -> None:
        """Discard the buckets of back ends that are no longer cold; later ones start empty."""
        for instance_id in [key for key in self._buckets if key not in cold]:
            del self._buckets[instance_id]

    def discard(self, instance_id: str) -> None:
        """Discard the bucket of one back end."""
        self._buckets.pop(instance_id, None)

    def _refilled(self, instance_id: str, per_s: float, now: float) -> _Bucket:
        bucket = self._buckets.get(instance_id)
        if bucket is None:
            bucket = self._buckets[instance_id] = _Bucket(0.0, now)
        bucket.tokens = min(
            self.max_tokens, bucket.tokens + max(0.0, now - bucket.refilled_at) * per_s
        )
        bucket.refilled_at = now
        return bucket


class LocalColdShares:
    """Shares of cold back ends for the local choices of one gateway.

    Args:
        gateway_id: id of this gateway.
        gateway_count: returns the number of gateways; 0 while it is unknown.
    """

    def __init__(self, gateway_id: str, gateway_count: Callable[[], int]) -> None:
        self._gateway_id = gateway_id
        self._gateway_count = gateway_count
        self._buckets = ColdBuckets(LOCAL_MAX_TOKENS)

    def allows(self, instance_id: str, limit: ColdLimit, now: float) -> bool:
        """Whether this gateway may send a request to a cold back end by local choice."""
        if not self._has_share(instance_id):
            return False
        return self._buckets.allows(instance_id, _local_rate(limit), now)

    def spend(self, instance_id: str) -> None:
        """Spend the token of a request sent by local choice."""
        self._buckets.spend(instance_id)

    def discard(self, instance_id: str) -> None:
        """Discard the bucket of a removed back end."""
        self._buckets.discard(instance_id)

    def _has_share(self, instance_id: str) -> bool:
        """Whether this gateway is one of the few that may select the back end while it is cold."""
        digest = xxhash.xxh64_intdigest(f"{self._gateway_id}/{instance_id}".encode())
        return digest * (self._gateway_count() or MAX_GATEWAYS) < GATEWAYS_PER_BACKEND * HASH_RANGE


def granted_rate(limit: ColdLimit, is_confirmed: bool) -> float:
    """Return the requests per second that a granting node may grant at one cold back end.

    Args:
        limit: limit of the service.
        is_confirmed: whether the node's leadership is confirmed, so that no other node grants.
    """
    return limit.requests_per_s * (GRANTED_SHARE if is_confirmed else UNCONFIRMED_SHARE)


def _local_rate(limit: ColdLimit) -> float:
    return limit.requests_per_s * LOCAL_CHOICE_SHARE
