"""Cold core: which back ends are cold, and how many requests a second they get while they are.

A back end is cold for some seconds after a start and may turn cold at any moment; it bears only so
many requests a second from all nodes together. Two ways send to it, and each keeps a part of that
rate, so that their sum stays within it whatever is lost:

* The node that grants its slots keeps a token bucket (:class:`ColdBuckets`) for all holders.
* A gateway that chooses by itself has a share only at a few back ends, drawn by lot: hardly any
  gateways share one back end, so that a fleet of them, each with a token saved, can't meet there.

What may arrive in any second, with a rate of r: granted by a node that surely leads 0.85 r, by
one that may have been replaced 0.15 r, by each gateway that has a share 0.1 r. With two of these
that is 1.2 r, and since a request may arrive up to ``PERMIT_KEPT_S`` after it was permitted, 1.2
times that, 1.44 r; and what two granting nodes and two gateways have saved, 5. A back end is taken
to fail above 1.5 r + 5. The lot gives a back end one gateway on the mean, and more than two in 8 of
100: the bound is passed only if two nodes grant and all these gateways are cut off besides.

Pure: time is handed in as seconds.
"""

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from wharfcart.configuration.serving import ColdLimit

# Parts of the rate; the sum is explained above.
GRANTED_SHARE = 0.85
UNCONFIRMED_SHARE = 0.15
LOCAL_CHOICE_SHARE = 0.1
# Gateways that may choose one cold back end by themselves, on the mean.
GATEWAYS_PER_BACKEND = 1
# A fleet is taken for this large while it is not known how many gateways it has.
MAX_GATEWAYS = 512
HASH_RANGE = 1 << 64
# A bucket saves no more than this: so many more may meet in a second. What a granting node saves
# beyond one token makes up for its buckets being looked at only as requests and ticks come.
GRANTED_MAX_TOKENS = 1.5
LOCAL_MAX_TOKENS = 1.0
# A permitted request whose connection comes up later than this is placed anew.
PERMIT_TTL_S = 0.2
# Back ends tell every 1.2 s how they are. In a zone that was emptied they may have turned cold just
# before it is given back: until two reports were due, and some time to hear of them, those that
# have told nothing since count as cold.
UNREPORTED_COLD_S = 3.0


@dataclass(slots=True)
class ColdPeriod:
    """What one back end told of its being cold.

    Attributes:
        until: monotonic time until which it is cold.
        revision: of the entry that told so.
    """

    until: float = -1e9
    revision: int = 0


@dataclass(frozen=True, slots=True)
class _RestoredZone:
    """A zone that was emptied and is in use again.

    Attributes:
        until: monotonic time until which back ends that told nothing since may be cold.
        revision: at which it was given back.
    """

    until: float
    revision: int


class ColdBackends:
    """Which back ends are cold, as one node knows.

    Attributes:
        limits: what a cold back end bears, by service; those left out bear as much as ever.
    """

    def __init__(self) -> None:
        self.limits: Mapping[str, ColdLimit] = {}
        self._restored_by_zone: dict[str, _RestoredZone] = {}
        self._latest_until = -1e9

    def report_received(
        self, period: ColdPeriod, cold_for_s: float, now: float, revision: int
    ) -> None:
        """Take what a back end's entry tells.

        The time counts from when the entry came: it was written before, so that no back end is
        taken for warm too early.
        """
        period.until = now + cold_for_s if cold_for_s > 0 else -1e9
        period.revision = revision
        self._latest_until = max(self._latest_until, period.until)

    def zone_restored(self, zone: str, now: float, revision: int) -> None:
        """Note that an emptied zone is in use again."""
        self._restored_by_zone[zone] = _RestoredZone(now + UNREPORTED_COLD_S, revision)
        self._latest_until = max(self._latest_until, now + UNREPORTED_COLD_S)

    def may_have_cold(self, now: float) -> bool:
        """Whether any back end may be cold."""
        return now < self._latest_until and bool(self.limits)

    def is_cold(self, service: str, zone: str, period: ColdPeriod, now: float) -> bool:
        """Whether a back end counts as cold."""
        if now >= self._latest_until or service not in self.limits:
            return False
        until = period.until
        given_back = self._restored_by_zone.get(zone)
        if given_back is not None and period.revision <= given_back.revision:
            until = max(until, given_back.until)
        return now < until


@dataclass(slots=True)
class _Bucket:
    tokens: float
    refilled_at: float


@dataclass
class ColdBuckets:
    """Requests that cold back ends may get from here.

    A bucket begins empty: what was sent before by others, or while the back end was thought to be
    warm, is not known.

    Attributes:
        most_saved: requests that may be sent at once after a rest.
    """

    max_tokens: float = GRANTED_MAX_TOKENS
    _buckets: dict[str, _Bucket] = field(default_factory=dict)  # by instance

    def allows(self, instance_id: str, per_s: float, now: float) -> bool:
        """Whether a cold back end may get a request now."""
        return self._refilled(instance_id, per_s, now).tokens >= 1.0

    def spend(self, instance_id: str) -> None:
        """Note that a cold back end gets a request."""
        bucket = self._buckets.get(instance_id)
        if bucket is not None:
            bucket.tokens -= 1.0

    def retain(self, cold: Collection[str]) -> None:
        """Forget back ends that are not cold any more: their next bucket begins empty."""
        for instance_id in [key for key in self._buckets if key not in cold]:
            del self._buckets[instance_id]

    def discard(self, instance_id: str) -> None:
        """Drop what is kept of one back end."""
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
    """At which cold back ends a gateway that chooses by itself has a share.

    Args:
        own_id: of this gateway.
        gateways: how many there are; 0 while that is not known.
    """

    def __init__(self, gateway_id: str, gateway_count: Callable[[], int]) -> None:
        self._gateway_id = gateway_id
        self._gateway_count = gateway_count
        self._buckets = ColdBuckets(LOCAL_MAX_TOKENS)

    def allows(self, instance_id: str, limit: ColdLimit, now: float) -> bool:
        """Whether this gateway may send a request to a cold back end by its own choice."""
        if not self._has_share(instance_id):
            return False
        return self._buckets.allows(instance_id, _local_rate(limit), now)

    def spend(self, instance_id: str) -> None:
        """Note a request that is sent so."""
        self._buckets.spend(instance_id)

    def discard(self, instance_id: str) -> None:
        """Drop what is kept of a back end that has gone."""
        self._buckets.discard(instance_id)

    def _has_share(self, instance_id: str) -> bool:
        """Whether this gateway is one of the few that may choose a back end while it is cold."""
        drawn = xxhash.xxh64_intdigest(f"{self._gateway_id}/{instance_id}".encode())
        return drawn * (self._gateway_count() or MAX_GATEWAYS) < GATEWAYS_PER_BACKEND * HASH_RANGE


def granted_rate(limit: ColdLimit, is_confirmed: bool) -> float:
    """Return the requests a second that a granting node sends to one cold back end.

    Args:
        limit: of the service.
        surely: no other node can grant yet.
    """
    return limit.requests_per_s * (GRANTED_SHARE if is_confirmed else UNCONFIRMED_SHARE)


def _local_rate(limit: ColdLimit) -> float:
    return limit.requests_per_s * LOCAL_CHOICE_SHARE
