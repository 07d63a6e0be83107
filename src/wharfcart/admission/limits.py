"""Limits: token buckets that hold over the whole fleet, and retry budgets.

A bucket has a home node, chosen by rendezvous hashing over the live nodes. Other nodes take tokens
from it in small batches and spend them locally, so that a limit holds wherever the calls arrive and
most requests cost no message.
"""

from dataclasses import dataclass, field

GRANT_REFILL_S = 0.1  # a node takes about as many tokens as refill in this time
GRANT_TTL_S = 1.0  # taken tokens not spent in this time are void
FALLBACK_FACTOR = 2.0
RETRIES_PER_REQUEST = 0.1
INITIAL_RETRY_BALANCE = 10.0


@dataclass
class TokenBucket:
    """A token bucket; ``rate`` tokens a second up to ``burst``."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add what time brought."""
        gained = max(0.0, now - self.updated_at) * self.rate
        self.tokens = min(self.burst, self.tokens + gained)
        self.updated_at = now

    def take(self, wanted: float, now: float) -> float:
        """Take up to ``wanted`` whole tokens; return how many."""
        self.refill(now)
        granted = float(int(min(wanted, self.tokens)))
        self.tokens -= granted
        return granted

    def seconds_until(self, wanted: float) -> float:
        """Return after how long ``wanted`` tokens will be there."""
        return max(0.0, (wanted - self.tokens) / self.rate)


@dataclass
class BucketCoordinator:
    """The buckets whose home is this node."""

    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def take(
        self, name: str, wanted: float, rate: float, burst: float, now: float
    ) -> tuple[float, float]:
        """Return tokens granted and, if none, the seconds until one is there."""
        bucket = self.buckets.get(name)
        if bucket is None or (bucket.rate, bucket.burst) != (rate, burst):
            tokens = burst if bucket is None else min(bucket.tokens, burst)
            bucket = TokenBucket(rate, burst, tokens, now)
            self.buckets[name] = bucket
        granted = bucket.take(wanted, now)
        return granted, 0.0 if granted else bucket.seconds_until(1.0)


@dataclass
class GrantedTokens:
    """Tokens of one bucket that this node holds, and what to do when the home is silent."""

    tokens: float = 0.0
    granted_at: float = 0.0
    refused_until: float = 0.0
    fallback: TokenBucket | None = None

    def spend(self, now: float) -> bool:
        """Spend one token if there is one."""
        if now - self.granted_at > GRANT_TTL_S:
            self.tokens = 0.0
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def replace(self, granted: float, now: float) -> None:
        """Add tokens taken from the home."""
        self.tokens = granted
        self.granted_at = now

    def spend_fallback(self, rate: float, burst: float, live_nodes: int, now: float) -> bool:
        """Spend from a local bucket of our share while the home cannot be reached."""
        if self.fallback is None:
            share = FALLBACK_FACTOR / max(1, live_nodes)
            tokens = max(1.0, burst * share)
            self.fallback = TokenBucket(rate * share, tokens, tokens, now)
        return self.fallback.take(1.0, now) >= 1.0


def grant_size(rate: float, burst: float) -> float:
    """Return how many tokens a node takes at once."""
    return max(1.0, min(rate * GRANT_REFILL_S, burst / 10))


@dataclass
class RetryBudget:
    """Retries are a fixed part of requests, so that a failing service is not asked twice as much.

    The budget of the Finagle and Envoy retry filters: each request deposits a part of a token, each
    retry withdraws one.
    """

    balance: float = INITIAL_RETRY_BALANCE

    def deposit(self) -> None:
        """Note a first try."""
        self.balance = min(INITIAL_RETRY_BALANCE * 10, self.balance + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Return whether a retry may be made."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
