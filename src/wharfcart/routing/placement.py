"""Where an online request goes: the gateway's own choice, or a slot granted by one node.

The node that runs batch items of a service knows every slot of it: its own items exactly, and the
gateways' requests by their reports. It grants slots one at a time and has an item make room at once
where none is free. A gateway that hears nothing from it chooses by its own picture of the load, so
that nothing depends on that node.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass
from time import monotonic

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, SlotGrant, SlotRequest
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError
from wharfcart.observability.decisions import Counter
from wharfcart.routing.backend_choice import BackendChoice, InstanceState
from wharfcart.routing.running_quantile import RunningQuantile

# A grant takes two messages and a look-up; one that takes longer is not worth waiting for.
GRANT_TIMEOUT_S = 0.04
# After a grant that did not come, the gateway chooses by itself for so long.
PAUSE_AFTER_SILENCE_S = 0.5
# A node that has a request wait tells that it lives more often than this.
SIGN_OF_LIFE_TIMEOUT_S = 0.25
# Part of the requests whose answers begin within the time that is planned for it.
FIRST_BYTE_SHARE = 0.8


@dataclass(frozen=True)
class PlacementRequest:
    """What decides where a request goes.

    Attributes:
        service: whose back ends may take it.
        excluded: incarnations that it was already sent to.
        affinity_key: names the long shared prompt that decides where to go first; '' for none.
        unread_tokens: tokens of its prompt that are probably cached nowhere.
        request_id: its caller's id.
        route_name: of its route.
        in_time_until: monotonic time until which its answer must have begun to be in time.
        leave_at: monotonic time until which a slot is waited for.
        priority: 0 is the most urgent.
    """

    service: str
    excluded: frozenset[str]
    affinity_key: str
    unread_tokens: int
    request_id: str
    route_name: str
    in_time_until: float
    leave_at: float
    priority: int


class NoSlotError(Exception):
    """A request has waited for a slot long enough.

    Attributes:
        retry_after_s: when one is likely to be free.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("no slot")
        self.retry_after_s = retry_after_s


class Placement(ABC):
    """Chooses back ends for the requests of one gateway."""

    @abstractmethod
    async def place(self, request: PlacementRequest) -> InstanceState | None:
        """Return the incarnation to send to, or None where there is none.

        Raises:
            NoSlotError: every slot is taken, and the request has waited long enough.
        """

    @abstractmethod
    def answer_begun(self, route_name: str, seconds: float) -> None:
        """Note how long after it was sent a request's answer began."""

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

    def answer_begun(self, route_name: str, seconds: float) -> None:
        """Note how long after it was sent a request's answer began: nothing here depends on it."""

    def slot_freed(self, service: str) -> None:
        """Note that a request is no longer at a back end: the choice knows already."""


class GrantedPlacement(Placement):
    """Asks the node that grants the slots of a service; chooses locally where it grants none.

    Args:
        node_id: of this gateway.
        choice: what it knows of the back ends.
        transport: reaches the node that grants.
        board_address: where that is now, or None.
        counter: counts who chose: ``grant`` or ``own_choice``.

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
        counter: Counter,
    ) -> None:
        self._node_id = node_id
        self._counter = counter
        self._choice = choice
        self._transport = transport
        self._board_address = board_address
        self._local = LocalPlacement(choice)
        self._asked: Address | None = None
        self._last_number = 0
        self._paused_until = 0.0
        self._first_byte_by_route: dict[str, RunningQuantile] = {}
        self.granting: frozenset[str] = frozenset()
        self.wake_reports: Callable[[], None] = lambda: None

    @property
    def grants_seen(self) -> int:
        """Number of the last grant of the node that grants now; each one counts as in flight."""
        return self._last_number if self._asked == self._board_address() else 0

    async def place(self, request: PlacementRequest) -> InstanceState | None:
        """Return the incarnation to send to, or None where there is none.

        Raises:
            NoSlotError: every slot is taken, and the request has waited long enough.
        """
        address = self._board_address()
        asks = request.service in self.granting and monotonic() >= self._paused_until
        if asks and address is not None:
            granted = await self._ask(address, request)
            if granted is not None:
                self._counter.add("grant")
                return granted
        self._counter.add("own_choice")
        return await self._local.place(request)

    def answer_begun(self, route_name: str, seconds: float) -> None:
        """Note how long after it was sent a request's answer began."""
        self._first_byte_s(route_name).observe(seconds)

    def slot_freed(self, service: str) -> None:
        """Note that a request is no longer at a back end."""
        if service in self.granting:
            self.wake_reports()

    def _first_byte_s(self, route_name: str) -> RunningQuantile:
        return self._first_byte_by_route.setdefault(route_name, RunningQuantile(FIRST_BYTE_SHARE))

    async def _ask(self, address: Address, request: PlacementRequest) -> InstanceState | None:
        frame = Frame(slot_request=self._message(request))
        timeout_s = GRANT_TIMEOUT_S
        answers = self._transport.stream(address, frame, TrafficClass.ONLINE)
        try:
            async with aclosing(answers):
                while True:
                    async with asyncio.timeout(timeout_s):
                        answer = await anext(answers)
                    if not answer.slot_grant.waiting:
                        return self._take(address, answer.slot_grant)
                    if self._board_address() != address:
                        return None  # another node grants now; this one would grant nothing more
                    timeout_s = SIGN_OF_LIFE_TIMEOUT_S
        except (TimeoutError, PeerUnreachableError, ServingError, StopAsyncIteration):
            self._paused_until = monotonic() + PAUSE_AFTER_SILENCE_S
            return None

    def _message(self, request: PlacementRequest) -> SlotRequest:
        now = monotonic()
        first_byte_s = self._first_byte_s(request.route_name).value
        return SlotRequest(
            node_id=self._node_id,
            zone=self._choice.zone,
            service=request.service,
            affinity_key=request.affinity_key,
            excluded=request.excluded,
            unread_tokens=request.unread_tokens,
            in_time_for_ms=_milliseconds(request.in_time_until - now - first_byte_s),
            waits_for_ms=_milliseconds(request.leave_at - now),
            priority=request.priority,
            request_id=request.request_id,
        )

    def _take(self, address: Address, grant: SlotGrant) -> InstanceState | None:
        if grant.refused:
            raise NoSlotError(grant.retry_after_ms / 1000)
        if address != self._asked:
            self._asked = address
            self._last_number = 0
        self._last_number = max(self._last_number, grant.number)
        state = self._choice.state(grant.instance_id)
        if state is None or not state.instance.accepting or state.avoided(monotonic()):
            return None
        return state


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * 1000))
