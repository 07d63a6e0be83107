"""Where an online request goes: a granted slot, or the gateway's own choice."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from wharfcart.clock import monotonic
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.configuration.serving import RequestLimit
from wharfcart.routing.backend_selection import BackendSelector, InstanceState

# Told where a gateway that chooses by itself may not send to cold back ends: a cold back end warms
# up within seconds, and a granting node is found again within tenths of one.
RETRY_AFTER_COLD_S = 0.5


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
        tenant: whose request it is, or ''.
        limit: of the tenant's requests, towards which this one counts; None if it does not, or was
            counted before.
        residence: where its data may be.
    """

    service: str
    excluded: frozenset[str]
    affinity_key: str
    unread_tokens: int
    request_id: str
    route_name: str
    start_deadline: float
    queue_deadline: float
    priority: int
    tenant: str = ""
    limit: RequestLimit | None = None
    residence: Residence = ANYWHERE


class SendResult(Enum):
    """What a send told about its back end."""

    UNKNOWN = "unknown"
    BACKEND_OK = "good"
    BACKEND_FAILED = "bad"


@dataclass(frozen=True, eq=False)
class PlacementDecision:
    """Where a request goes.

    Attributes:
        state: the incarnation to send to.
        granted: the node that grants slots chose it, not this gateway.
    """

    state: InstanceState
    granted: bool


class NoSlotError(Exception):
    """A request has waited for a slot long enough.

    Attributes:
        retry_after_s: when one is likely to be free.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("no slot")
        self.retry_after_s = retry_after_s


class OverLimitError(Exception):
    """A tenant has sent as many requests as it may.

    Attributes:
        retry_after_s: when it may send one more.
        surely: False where only this gateway's part is known, since the node that keeps the limit
            does not answer.
    """

    def __init__(self, retry_after_s: float, is_confirmed: bool) -> None:
        super().__init__("over limit")
        self.retry_after_s = retry_after_s
        self.is_confirmed = is_confirmed


class Placement(ABC):
    """Chooses back ends for the requests of one gateway."""

    @abstractmethod
    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        """Return where to send a request, or None where there is no back end.

        Raises:
            NoSlotError: every slot is taken, and the request has waited long enough.
            OverLimitError: its tenant has sent as many requests as it may.
        """

    @abstractmethod
    def is_granter_reachable(self, service: str, residence: Residence) -> bool:
        """Whether a node that grants slots of a service in some regions is heard from there."""

    @abstractmethod
    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        """Note that a request is no longer at its back end, and what the send told of that."""

    @abstractmethod
    def first_byte_received(self, route_name: str, seconds: float) -> None:
        """Note how long after it was sent a request's answer began."""


class LocalPlacement(Placement):
    """Chooses by this node's own picture of the load."""

    def __init__(self, selector: BackendSelector) -> None:
        self._selector = selector

    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        """Return where to send a request, or None where there is no back end.

        Raises:
            NoSlotError: all back ends are cold, and this gateway may send nothing there now.
        """
        now = monotonic()
        state = self._selector.select(
            request.service,
            now,
            request.excluded,
            request.affinity_key,
            request.residence,
        )
        if state is not None:
            return PlacementDecision(state, granted=False)
        if self._selector.usable_instances(
            request.service, now, request.excluded, residence=request.residence
        ):
            raise NoSlotError(RETRY_AFTER_COLD_S)
        return None

    def is_granter_reachable(self, service: str, residence: Residence) -> bool:
        """Whether a node that grants is heard from: none is here."""
        return False

    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        """Note that a request is no longer at its back end: the choice knows already."""

    def first_byte_received(self, route_name: str, seconds: float) -> None:
        """Note how long after it was sent a request's answer began: nothing here depends on it."""
