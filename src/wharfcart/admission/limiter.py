"""Limiter driver: tenants' and services' rate limits over the whole fleet."""

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
    """Limits as one node applies them."""

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

        Raises
        ------
        ServingError
            ``rate_limited``, ``not_run``, with the time to come back.
        """
        taken = self._tokens_by_bucket.setdefault(bucket, GrantedTokens())
        if taken.spend(monotonic()):
            return
        # One asks for all that wait: else a burst of callers drains the bucket of tokens that
        # nobody spends.
        async with self._locks_by_bucket.setdefault(bucket, asyncio.Lock()):
            if taken.spend(monotonic()):
                return
            if monotonic() < taken.refused_until:
                raise _rate_limited(taken.refused_until - monotonic())
            await self._request_tokens(bucket, limits, taken)

    async def _request_tokens(
        self, bucket: str, limits: Limits, local_tokens: GrantedTokens
    ) -> None:
        rate, burst = limits.requests_per_second, float(limits.burst)
        nodes = self._live_nodes()
        home = choose_owner(bucket, nodes) or self._node_id
        wanted = grant_size(rate, burst)
        request = TakeTokens(bucket=bucket, wanted=wanted, rate=rate, burst=burst)
        try:
            answer = await self._call_coordinator(home, request)
        except (PeerUnreachableError, TimeoutError):
            now = monotonic()
            if not local_tokens.spend_fallback(rate, burst, len(nodes), now):
                raise _rate_limited(1.0 / rate) from None
            return
        now = monotonic()
        if answer.granted < 1.0:
            local_tokens.refused_until = now + answer.retry_after_ms / 1000
            raise _rate_limited(answer.retry_after_ms / 1000)
        local_tokens.replace(answer.granted, now)
        local_tokens.spend(now)

    async def _call_coordinator(self, coordinator: str, request: TakeTokens) -> TokensTaken:
        address = self._address_of(coordinator)
        if coordinator == self._node_id or address is None:
            return self.grant(request)
        async with asyncio.timeout(COORDINATOR_TIMEOUT_S):
            frame = Frame(take_tokens=request)
            answer = await self._transport.call(address, frame, TrafficClass.ONLINE)
        return answer.tokens_taken

    def grant(self, request: TakeTokens) -> TokensTaken:
        """Give tokens of a bucket whose home is this node."""
        now = monotonic()
        granted, seconds = self._coordinator.take(
            request.bucket, request.wanted, request.rate, request.burst, now
        )
        return TokensTaken(granted=granted, retry_after_ms=int(seconds * 1000) + 1)


def _rate_limited(seconds: float) -> ServingError:
    return ServingError(
        "rate_limited", "the limit of requests is reached", 429, retry_after_seconds=seconds
    )
