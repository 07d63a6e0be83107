"""Where an online request goes: the gateway's own choice, or a slot granted by one node.

The node that runs batch items of a service knows every slot of it: its own items exactly, and the
gateways' requests by their reports. It grants slots one at a time and has an item make room at once
where none is free. A gateway that hears nothing from it chooses by its own picture of the load, so
that nothing depends on that node.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from wharfcart.cluster.membership import Address
from wharfcart.cluster.messages_pb2 import Frame, SlotGrant, SlotRequest
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError
from wharfcart.routing.backend_choice import BackendChoice, InstanceState

# A grant takes two messages and a look-up; one that takes longer is not worth waiting for.
GRANT_TIMEOUT_S = 0.04
# After a grant that did not come, the gateway chooses by itself for so long.
PAUSE_AFTER_SILENCE_S = 0.5


@dataclass(frozen=True)
class PlacementRequest:
    """What decides where a request goes.

    Attributes:
        service: whose back ends may take it.
        excluded: incarnations that it was already sent to.
        affinity_key: names the long shared prompt that decides where to go first; '' for none.
        unread_tokens: tokens of its prompt that are probably cached nowhere.
    """

    service: str
    excluded: frozenset[str]
    affinity_key: str
    unread_tokens: int


class Placement(ABC):
    """Chooses back ends for the requests of one gateway."""

    @abstractmethod
    async def place(self, request: PlacementRequest) -> InstanceState | None:
        """Return the incarnation to send to, or None where there is none."""

    @abstractmethod
    def slot_freed(self, service: str) -> None:
        """Note that a request is no longer at a back end."""


class LocalPlacement(Placement):
    """Chooses by this node's own picture of the load."""

    def __init__(self, choice: BackendChoice) -> None:
        self._choice = choice

    async def place(self, request: PlacementRequest) -> InstanceState | None:
        """Return the incarnation to send to, or None where there is none."""
        return self._choice.choose(
            request.service, monotonic(), request.excluded, request.affinity_key
        )

    def slot_freed(self, service: str) -> None:
        """Note that a request is no longer at a back end: the choice knows already."""


class GrantedPlacement(Placement):
    """Asks the node that grants the slots of a service; chooses locally where it grants none.

    Attributes:
        granting: services whose slots are granted, as the load board told last.
        wake_reports: called when a slot has come free that was granted.
    """

    def __init__(
        self,
        node_id: str,
        choice: BackendChoice,
        transport: Transport,
        board_address: Callable[[], Address | None],
    ) -> None:
        self._node_id = node_id
        self._choice = choice
        self._transport = transport
        self._board_address = board_address
        self._local = LocalPlacement(choice)
        self._asked: Address | None = None
        self._last_number = 0
        self._paused_until = 0.0
        self.granting: frozenset[str] = frozenset()
        self.wake_reports: Callable[[], None] = lambda: None

    @property
    def grants_seen(self) -> int:
        """Number of the last grant of the node that grants now; each one counts as in flight."""
        return self._last_number if self._asked == self._board_address() else 0

    async def place(self, request: PlacementRequest) -> InstanceState | None:
        """Return the incarnation to send to, or None where there is none."""
        address = self._board_address()
        asks = request.service in self.granting and monotonic() >= self._paused_until
        if asks and address is not None:
            granted = await self._ask(address, request)
            if granted is not None:
                return granted
        return await self._local.place(request)

    def slot_freed(self, service: str) -> None:
        """Note that a request is no longer at a back end."""
        if service in self.granting:
            self.wake_reports()

    async def _ask(self, address: Address, request: PlacementRequest) -> InstanceState | None:
        message = SlotRequest(
            node_id=self._node_id,
            zone=self._choice.zone,
            service=request.service,
            affinity_key=request.affinity_key,
            excluded=request.excluded,
            unread_tokens=request.unread_tokens,
        )
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                answer = await self._transport.call(
                    address, Frame(slot_request=message), TrafficClass.ONLINE
                )
        except (TimeoutError, PeerUnreachableError, ServingError):
            self._paused_until = monotonic() + PAUSE_AFTER_SILENCE_S
            return None
        return self._take(address, answer.slot_grant)

    def _take(self, address: Address, grant: SlotGrant) -> InstanceState | None:
        if address != self._asked:
            self._asked = address
            self._last_number = 0
        self._last_number = max(self._last_number, grant.number)
        state = self._choice.state(grant.instance_id)
        if state is None or not state.instance.accepting or state.avoided(monotonic()):
            return None
        return state
