"""Other gateways that ask for a permit in place of one that is cut off from all storage nodes."""

import asyncio
from collections.abc import Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, PermitAnswer, RelayPermit
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError

# Two calls of some milliseconds each, or one that waits until a node stands in.
ANSWER_TIMEOUT_S = 0.3
# A gateway that did not help is not asked again for so long.
RETRY_PAUSE_S = 0.5


class PermitRelays:
    """Asks other gateways, the one that helped last first.

    Args:
        transport: reaches them.
        addresses: where they are.
    """

    def __init__(self, transport: Transport, addresses: Callable[[], list[Address]]) -> None:
        self._transport = transport
        self._addresses = addresses
        self._paused_until: dict[Address, float] = {}
        self._last_successful: Address | None = None

    async def ask(self, tenant: str) -> PermitAnswer | None:
        """Ask whether a tenant may send one more request; None if nobody surely knows."""
        addresses = sorted(self._addresses(), key=lambda address: address != self._last_successful)
        for address in addresses:
            if monotonic() < self._paused_until.get(address, 0.0):
                continue
            answer = await self._ask(address, tenant)
            if answer is not None and not answer.unsure:
                self._last_successful = address
                return answer
            self._paused_until[address] = monotonic() + RETRY_PAUSE_S
        return None

    async def _ask(self, address: Address, tenant: str) -> PermitAnswer | None:
        frame = Frame(relay_permit=RelayPermit(tenant=tenant))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await self._transport.call(address, frame, TrafficClass.SLOTS)
        except (TimeoutError, PeerUnreachableError, ServingError):
            return None
        return answer.permit_answer
