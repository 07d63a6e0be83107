"""Fleet-wide token buckets and retry budgets.

Each bucket has a coordinator node, selected by rendezvous hashing over the live nodes. Other nodes
request tokens from it in small grants and spend them locally, so that a limit holds at whichever
nodes the requests arrive and most requests need no message.
"""

from dataclasses import dataclass, field

GRANT_REFILL_S = 0.1  # a grant covers the tokens refilled in this time
GRANT_TTL_S = 1.0  # unspent granted tokens expire after this time
FALLBACK_FACTOR = 2.0
RETRIES_PER_REQUEST = 0.1
INITIAL_RETRY_BALANCE = 10.0


@dataclass
class TokenBucket:
    """A token bucket that refills at ``rate`` tokens per second up to ``burst``."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
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
        """Return the seconds until ``wanted`` tokens are available."""
        return max(0.0, (wanted - self.tokens) / self.rate)


@dataclass
class BucketCoordinator:
    """The buckets that this node coordinates."""

    buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def take(
        self, name: str, wanted: float, rate: float, burst: float, now: float
    ) -> tuple[float, float]:
        """Return the granted tokens and, if there are none, the seconds until one is available."""
        bucket = self.buckets.get(name)
        if bucket is None or (bucket.rate, bucket.burst) != (rate, burst):
            tokens = burst if bucket is None else min(bucket.tokens, burst)
            bucket = TokenBucket(rate, burst, tokens, now)
            self.buckets[name] = bucket
        granted = bucket.take(wanted, now)
        return granted, 0.0 if granted else bucket.seconds_until(1.0)


@dataclass
class GrantedTokens:
    """Tokens of one bucket granted to this node, with a fallback for an unreachable coordinator."""

    tokens: float = 0.0
    granted_at: float = 0.0
    refused_until: float = 0.0
    fallback: TokenBucket | None = None

    def spend(self, now: float) -> bool:
        """Spend one token; return False if none is left."""
        if now - self.granted_at > GRANT_TTL_S:
            self.tokens = 0.0
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def replace(self, granted: float, now: float) -> None:
        """Replace the tokens by a new grant of the coordinator."""
        self.tokens = granted
        self.granted_at = now

    def spend_fallback(self, rate: float, burst: float, live_nodes: int, now: float) -> bool:
        """Spend one token of this node's share while the coordinator is unreachable."""
        if self.fallback is None:
            share = FALLBACK_FACTOR / max(1, live_nodes)
            tokens = max(1.0, burst * share)
            self.fallback = TokenBucket(rate * share, tokens, tokens, now)
        return self.fallback.take(1.0, now) >= 1.0


def grant_size(rate: float, burst: float) -> float:
    """Return how many tokens a node requests at once."""
    return max(1.0, min(rate * GRANT_REFILL_S, burst / 10))


@dataclass
class RetryBudget:
    """Bounds retries to a share of the requests, so that they do not multiply load in an outage.

    Works like the retry budgets of Finagle and Envoy: each request deposits a fraction of a token,
    each retry withdraws one.
    """

    balance: float = INITIAL_RETRY_BALANCE

    def deposit(self) -> None:
        """Deposit the share of one first attempt."""
        self.balance = min(INITIAL_RETRY_BALANCE * 10, self.balance + RETRIES_PER_REQUEST)

    def withdraw(self) -> bool:
        """Withdraw the token of one retry; return False if the budget is spent."""
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True
