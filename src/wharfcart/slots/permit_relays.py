"""Permit relays: gateways that request permits for one that cannot reach any storage node."""

import asyncio
from collections.abc import Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, PermitAnswer, RelayPermit
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError

# Includes the relay's wait for a backup coordinator.
ANSWER_TIMEOUT_S = 0.3
# For a relay that failed.
RETRY_PAUSE_S = 0.5


class PermitRelays:
    """Requests permits through other gateways, starting with the last successful one.

    Args:
        transport: transport to the relays.
        addresses: addresses of the relays.
    """

    def __init__(self, transport: Transport, addresses: Callable[[], list[Address]]) -> None:
        self._transport = transport
        self._addresses = addresses
        self._paused_until: dict[Address, float] = {}
        self._last_successful: Address | None = None

    async def request_permit(self, tenant: str) -> PermitAnswer | None:
        """Request a permit for one more request of a tenant; None if no relay can answer."""
        addresses = sorted(self._addresses(), key=lambda address: address != self._last_successful)
        for address in addresses:
            if monotonic() < self._paused_until.get(address, 0.0):
                continue
            answer = await self._request_from(address, tenant)
            if answer is not None and not answer.unsure:
                self._last_successful = address
                return answer
            self._paused_until[address] = monotonic() + RETRY_PAUSE_S
        return None

    async def _request_from(self, address: Address, tenant: str) -> PermitAnswer | None:
        frame = Frame(relay_permit=RelayPermit(tenant=tenant))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self._transport.call(address, frame, TrafficClass.SLOTS)
        except (TimeoutError, PeerUnreachableError, ServingError):
            return None
        return answer.permit_answer
