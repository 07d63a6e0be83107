"""Placement of online requests: by a granted slot or by the gateway's local choice."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum

from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendSoftware, SoftwareVersion
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.configuration.serving import RequestLimit
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.origin_resolution import OriginReport
from wharfcart.routing.stream_origins import StreamOrigin, StreamOrigins

# Retry time if all back ends are cold and this gateway has no share left; a granting node is found
# within it.
RETRY_AFTER_COLD_S = 0.5


@dataclass(frozen=True)
class PlacementRequest:
    """Inputs of the placement of a request.

    Attributes:
        service: name of the service.
        excluded: ids of instances that it was already sent to.
        affinity_key: key of the long shared prompt, '' if there is none.
        unread_tokens: prompt tokens that are probably not cached.
        request_id: the caller's request id.
        route_name: name of the route.
        start_deadline: monotonic time by which the answer must begin to be in time.
        queue_deadline: monotonic time until which the request waits for a slot.
        priority: priority while waiting, 0 is the most urgent.
        tenant: name of the tenant, or ''.
        limit: limit of the tenant that the request counts towards; None if there is none or the
            request was already counted.
        residence: regions in which its data may be processed.
        version: software version that began its answer; None for a new answer.
        is_resumable: whether its answer is a stream that can be resumed.
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
    version: SoftwareVersion | None = None
    is_resumable: bool = False


class SendResult(Enum):
    """What a send showed about its back end."""

    UNKNOWN = "unknown"
    BACKEND_OK = "good"
    BACKEND_FAILED = "bad"


@dataclass(frozen=True, eq=False)
class PlacementDecision:
    """The instance to which a request is sent.

    Attributes:
        state: state of the instance.
        granted: whether a granting node selected it instead of this gateway.
        sequence: number of the placement, as in :class:`StreamOrigin`.
    """

    state: InstanceState
    granted: bool
    sequence: int = field(default=0, kw_only=True)


class NoSlotError(Exception):
    """No slot became free while the request could wait.

    Attributes:
        retry_after_s: seconds until a slot is likely to be free.
    """

    def __init__(self, retry_after_s: float) -> None:
        super().__init__("no slot")
        self.retry_after_s = retry_after_s


class OverLimitError(Exception):
    """The tenant's request limit is reached.

    Attributes:
        retry_after_s: seconds until the tenant may send another request.
        is_confirmed: False if the limit coordinator is unresponsive and only this gateway's share
            is known.
    """

    def __init__(self, retry_after_s: float, is_confirmed: bool) -> None:
        super().__init__("over limit")
        self.retry_after_s = retry_after_s
        self.is_confirmed = is_confirmed


class Placement(ABC):
    """Selects back ends for the requests of one gateway."""

    @abstractmethod
    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        """Return where to send a request, or None if there is no back end.

        Raises:
            NoSlotError: No slot became free before the request's queue deadline.
            OverLimitError: The tenant's request limit is reached.
        """

    @abstractmethod
    async def find_origin(self, request_id: str, service: str, lifetime_s: float) -> OriginReport:
        """Return what is known of the software that began the stream of a request.

        Args:
            request_id: the request that brought the stream's first event.
            service: service of the route.
            lifetime_s: seconds after which no caller resumes a stream.
        """

    @abstractmethod
    def stream_begun(
        self,
        request_id: str,
        software: BackendSoftware,
        decision: PlacementDecision,
        was_placed_before: bool,
    ) -> None:
        """Record that the first event of a resumable stream has come.

        Called before the caller receives the event, so that a caller can only resume streams whose
        origin is recorded.

        Args:
            request_id: the request.
            software: software of the back end when the request was sent.
            decision: where it was sent.
            was_placed_before: whether it had been placed elsewhere, where it brought no event.
        """

    @abstractmethod
    def is_granter_reachable(self, service: str, residence: Residence) -> bool:
        """Whether a granting node of the service in the allowed regions is reachable."""

    @abstractmethod
    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        """Handle the end of a send and what it showed about its back end."""

    @abstractmethod
    def first_byte_received(self, route_name: str, seconds: float) -> None:
        """Handle the first byte of an answer, some seconds after the send."""


class LocalPlacement(Placement):
    """Selects instances by this node's own view of the load."""

    def __init__(self, selector: BackendSelector) -> None:
        self._selector = selector
        self._origins = StreamOrigins()

    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        """Return where to send a request, or None if there is no back end.

        Raises:
            NoSlotError: All back ends are cold, and this gateway has no share left.
        """
        now = monotonic()
        state = self._selector.select(
            request.service,
            now,
            request.excluded,
            request.affinity_key,
            request.residence,
            request.version,
        )
        if state is not None:
            return PlacementDecision(state, granted=False)
        if self._selector.usable_instances(
            request.service,
            now,
            request.excluded,
            residence=request.residence,
            version=request.version,
        ):
            raise NoSlotError(RETRY_AFTER_COLD_S)
        return None

    async def find_origin(self, request_id: str, service: str, lifetime_s: float) -> OriginReport:
        """Return what this gateway knows of the software that began a stream."""
        now = monotonic()
        known = self._selector.known_versions(service, now)
        return OriginReport(self._origins.find(request_id, now), known, lifetime_s)

    def stream_begun(
        self,
        request_id: str,
        software: BackendSoftware,
        decision: PlacementDecision,
        was_placed_before: bool,
    ) -> None:
        """Record the software that began a stream."""
        self._origins.record(StreamOrigin(request_id, software), monotonic())

    def is_granter_reachable(self, service: str, residence: Residence) -> bool:
        """Return False: local placement has no granting node."""
        return False

    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        """Do nothing: the selector already has the result."""

    def first_byte_received(self, route_name: str, seconds: float) -> None:
        """Do nothing: local placement does not depend on answer times."""
