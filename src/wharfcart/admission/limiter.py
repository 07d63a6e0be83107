"""Enforcement of the fleet-wide rate limits of tenants and services."""

import asyncio
from collections.abc import Callable

from wharfcart.admission.limits import BucketCoordinator, GrantedTokens, grant_size
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, TakeTokens, TokensTaken
from wharfcart.cluster.rendezvous import choose_owner
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.configuration.schema import Limits
from wharfcart.errors import ServingError

COORDINATOR_TIMEOUT_S = 0.25


class Limiter:
    """Applies the rate limits on one node."""

    def __init__(
        self,
        node_id: str,
        live_nodes: Callable[[], list[str]],
        address_of: Callable[[str], Address | None],
        transport: Transport,
    ) -> None:
        self._node_id = node_id
        self._live_nodes = live_nodes
        self._address_of = address_of
        self._transport = transport
        self._coordinator = BucketCoordinator()
        self._tokens_by_bucket: dict[str, GrantedTokens] = {}
        self._locks_by_bucket: dict[str, asyncio.Lock] = {}

    async def check(self, bucket: str, limits: Limits) -> None:
        """Spend one token of a bucket.

        Raises:
            ServingError: ``rate_limited`` with outcome ``not_run`` and a retry time.
        """
        local_tokens = self._tokens_by_bucket.setdefault(bucket, GrantedTokens())
        if local_tokens.spend(monotonic()):
            return
        # One caller requests tokens for all that wait; otherwise a burst of callers would take more
        # tokens from the coordinator than they spend.
        async with self._locks_by_bucket.setdefault(bucket, asyncio.Lock()):
            if local_tokens.spend(monotonic()):
                return
            if monotonic() < local_tokens.refused_until:
                raise _rate_limited(local_tokens.refused_until - monotonic())
            await self._request_tokens(bucket, limits, local_tokens)

    async def _request_tokens(
        self, bucket: str, limits: Limits, local_tokens: GrantedTokens
    ) -> None:
        rate, burst = limits.requests_per_second, float(limits.burst)
        nodes = self._live_nodes()
        coordinator = choose_owner(bucket, nodes) or self._node_id
        wanted = grant_size(rate, burst)
        request = TakeTokens(bucket=bucket, wanted=wanted, rate=rate, burst=burst)
        try:
            response = await self._call_coordinator(coordinator, request)
        except (PeerUnreachableError, TimeoutError):
            now = monotonic()
            if not local_tokens.spend_fallback(rate, burst, len(nodes), now):
                raise _rate_limited(1.0 / rate) from None
            return
        now = monotonic()
        if response.granted < 1.0:
            local_tokens.refused_until = now + response.retry_after_ms / 1000
            raise _rate_limited(response.retry_after_ms / 1000)
        local_tokens.replace(response.granted, now)
        local_tokens.spend(now)

    async def _call_coordinator(self, coordinator: str, request: TakeTokens) -> TokensTaken:
        address = self._address_of(coordinator)
        if coordinator == self._node_id or address is None:
            return self.grant(request)
        async with asyncio.timeout(COORDINATOR_TIMEOUT_S):
            frame = Frame(take_tokens=request)
            response = await self._transport.call(address, frame, TrafficClass.ONLINE)
        return response.tokens_taken

    def grant(self, request: TakeTokens) -> TokensTaken:
        """Grant tokens of a bucket that this node coordinates."""
        now = monotonic()
        granted, retry_after_s = self._coordinator.take(
            request.bucket, request.wanted, request.rate, request.burst, now
        )
        return TokensTaken(granted=granted, retry_after_ms=int(retry_after_s * 1000) + 1)


def _rate_limited(seconds: float) -> ServingError:
    return ServingError(
        "rate_limited", "the limit of requests is reached", 429, retry_after_seconds=seconds
    )
