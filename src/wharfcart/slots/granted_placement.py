"""A gateway's placement: requests slots from granting nodes, with local choice as fallback."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from itertools import count

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import SlotGrant
from wharfcart.cluster.topology import Distance
from wharfcart.configuration.instances import BackendSoftware
from wharfcart.configuration.residence import Residence
from wharfcart.observability.decisions import Counter
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.origin_resolution import OriginReport
from wharfcart.routing.placement import (
    LocalPlacement,
    NoSlotError,
    OverLimitError,
    Placement,
    PlacementDecision,
    PlacementRequest,
    SendResult,
)
from wharfcart.routing.running_quantile import RunningQuantile
from wharfcart.routing.stream_origins import StreamOrigin
from wharfcart.slots.events import RequestMode, RunResult, SlotRequested, SlotUse, StreamBegun
from wharfcart.slots.group_order import RequestStep, order_groups, order_groups_by_affinity
from wharfcart.slots.origin_keepers import KEEPERS_PER_STREAM, select_keepers
from wharfcart.slots.origin_lookup import OriginLookup
from wharfcart.slots.permit_relays import PermitRelays
from wharfcart.slots.permits import Permit
from wharfcart.slots.session import HeldSlot, SlotSession
from wharfcart.slots.sessions import SlotSessions

# Quantile of a route's time to first byte that is reserved before the deadline.
FIRST_BYTE_QUANTILE = 0.8

_RESULTS = {
    SendResult.UNKNOWN: RunResult.UNKNOWN,
    SendResult.BACKEND_OK: RunResult.BACKEND_OK,
    SendResult.BACKEND_FAILED: RunResult.BACKEND_FAILED,
}


@dataclass(frozen=True, eq=False)
class PlacedInSlot(PlacementDecision):
    """A request in a slot that is recorded at the granting node."""

    slot: HeldSlot


class GrantedPlacement(Placement):
    """Places requests in granted slots.

    Args:
        selector: this gateway's state of the back ends.
        sessions: sessions with the granting nodes.
        distance: distance of a group's back ends from this gateway.
        connected: instances that this gateway has an open connection to.
        counter: counts placements by label: ``grant`` or ``own_choice`` (local choice).
        relays: gateways that request permits on behalf of this one.
    """

    def __init__(
        self,
        selector: BackendSelector,
        sessions: SlotSessions,
        distance: Callable[[int], Distance],
        connected: Callable[[], Collection[str]],
        counter: Counter,
        relays: PermitRelays,
    ) -> None:
        self._selector = selector
        self._sessions = sessions
        self._distance = distance
        self._connected = connected
        self._counter = counter
        self._relays = relays
        self._local = LocalPlacement(selector)
        self._first_byte_by_route: dict[str, RunningQuantile] = {}
        self._sequence = count(1)
        self._origin_lookup = OriginLookup(selector, sessions)

    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        """Return where to send a request; None if there is no back end.

        Raises:
            NoSlotError: every slot is taken and the request has waited until its deadline.
            OverLimitError: the request exceeds its tenant's limit.
        """
        permit = Permit(self._sessions, self._relays, request.tenant, request.limit)
        for group, mode in self._steps(request):
            session = self._sessions.by_group[group]
            if not session.is_available(monotonic()):
                continue
            placed = await self._request_slot(session, request, mode, permit)
            if placed is not None:
                self._counter.add("grant")
                return placed
        self._counter.add("own_choice")
        await permit.obtain()
        return await self._place_locally(request)

    async def find_origin(self, request_id: str, service: str, lifetime_s: float) -> OriginReport:
        """Return what this gateway and other nodes know of the software that began a stream."""
        return await self._origin_lookup.find(request_id, service, lifetime_s)

    def stream_begun(
        self,
        request_id: str,
        software: BackendSoftware,
        decision: PlacementDecision,
        was_placed_before: bool,
    ) -> None:
        """Record the software that began a stream, and see to it that other nodes keep it.

        While the service has one version, the record that comes with a grant is enough. Else two
        nodes keep what this gateway reports.
        """
        now = monotonic()
        origin = StreamOrigin(request_id, software, decision.sequence)
        granted_by = None
        if decision.granted and isinstance(decision, PlacedInSlot):
            granted_by = decision.slot.group
        has_several = self._selector.has_several_versions(software.service, now)
        if granted_by is not None and not has_several and not was_placed_before:
            self._sessions.origin_keepers.record(origin, {granted_by}, now)
            return
        groups = self._report_origin(origin, granted_by, was_placed_before)
        self._sessions.origin_keepers.record(origin, groups, now)

    def _report_origin(
        self, origin: StreamOrigin, granted_by: int | None, was_placed_before: bool
    ) -> list[int]:
        """Report an origin to two nodes, and return the groups whose granting nodes are among them.

        Granting nodes at which the request was placed before may have recorded other software; all
        of them learn the right one.
        """
        groups = [session.group for session in self._sessions.available()]
        if not was_placed_before:
            groups = select_keepers(origin.request_id, groups, preferred=granted_by)
        for group in groups:
            session = self._sessions.by_group[group]
            session.send(StreamBegun(session.key, origin))
        if len(groups) < KEEPERS_PER_STREAM:
            self._sessions.report_origin(origin, groups)
        return groups

    def is_granter_reachable(self, service: str, residence: Residence) -> bool:
        """Whether a node that grants slots of a service in a residence is available."""
        return bool(self._sessions.available_capacities(service, residence))

    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        """Release the slot of a request and report the result of the send."""
        if isinstance(decision, PlacedInSlot):
            session = self._sessions.by_group[decision.slot.group]
            session.release(decision.slot.number, _RESULTS[result])

    def first_byte_received(self, route_name: str, seconds: float) -> None:
        """Record the time to first byte of a request."""
        self._first_byte_s(route_name).observe(seconds)

    # ---- inner ----

    def _steps(self, request: PlacementRequest) -> list[RequestStep]:
        capacities = self._sessions.available_capacities(request.service, request.residence)
        if request.version is not None:
            groups = self._groups_with_version(request)
            capacities = {group: capacities[group] for group in capacities.keys() & groups}
        distances = {group: self._distance(group) for group in capacities}
        if request.affinity_key:
            return order_groups_by_affinity(capacities, request.affinity_key, distances)
        return order_groups(capacities, distances)

    def _groups_with_version(self, request: PlacementRequest) -> set[int | None]:
        """Return the groups with back ends of the version that began a request's answer."""
        accepting = self._selector.accepting_instances(
            request.service, monotonic(), request.residence, request.version
        )
        return {self._sessions.group_of(state.instance.instance_id) for state in accepting}

    async def _request_slot(
        self, session: SlotSession, request: PlacementRequest, mode: RequestMode, permit: Permit
    ) -> PlacementDecision | None:
        if not permit.comes_with_slot(session):
            await permit.obtain()
        slot_request = self._slot_request(session, request, mode)
        grant = await session.request_slot(slot_request, request.tenant if permit.needed else "")
        if grant is not None and grant.unsure:
            await permit.obtain_elsewhere()
            slot_request = self._slot_request(session, request, mode)
            grant = await session.request_slot(slot_request)
        return None if grant is None else self._accept_grant(session, slot_request, grant, permit)

    def _slot_request(
        self, session: SlotSession, request: PlacementRequest, mode: RequestMode
    ) -> SlotRequested:
        return SlotRequested(
            session=session.key,
            number=session.new_number(),
            service=request.service,
            start_deadline=request.start_deadline - self._first_byte_s(request.route_name).estimate,
            queue_deadline=request.queue_deadline,
            mode=mode,
            affinity_key=request.affinity_key,
            excluded=request.excluded,
            connected=self._connected_of(session.group, request.service),
            unread_tokens=request.unread_tokens,
            priority=request.priority,
            request_id=request.request_id,
            residence=request.residence,
            version=request.version,
            origin_sequence=next(self._sequence) if request.is_resumable else 0,
        )

    def _connected_of(self, group: int, service: str) -> frozenset[str]:
        """Return the instances of a service and group that this gateway is connected to."""
        found = []
        for instance_id in self._connected():
            state = self._selector.state(instance_id)
            in_group = self._sessions.group_of(instance_id) == group
            if state is not None and in_group and state.instance.service == service:
                found.append(instance_id)
        return frozenset(found)

    def _accept_grant(
        self, session: SlotSession, slot_request: SlotRequested, grant: SlotGrant, permit: Permit
    ) -> PlacementDecision | None:
        if grant.limited:
            raise OverLimitError(grant.retry_after_ms / 1000, is_confirmed=True)
        if grant.refused:
            raise NoSlotError(grant.retry_after_ms / 1000)
        if not grant.instance_id:
            return None
        permit.record_obtained()
        slot = session.record_granted(
            SlotUse(slot_request.number, grant.instance_id, slot_request.unread_tokens)
        )
        state = self._selector.state(grant.instance_id)
        if (
            state is None
            or self._selector.exclusion_reason(state, slot_request.residence, slot_request.version)
            or state.has_failed_recently(monotonic())
        ):
            session.release(slot.number)
            return None
        return PlacedInSlot(state, True, slot, sequence=slot_request.origin_sequence)

    async def _place_locally(self, request: PlacementRequest) -> PlacementDecision | None:
        placed = await self._local.place(request)
        if placed is None:
            return None
        instance_id = placed.state.instance.instance_id
        session = self._sessions.of_instance(instance_id)
        if session is None:
            return placed
        use = SlotUse(session.new_number(), instance_id, request.unread_tokens)
        return PlacedInSlot(
            placed.state, False, session.take_without_grant(use), sequence=next(self._sequence)
        )

    def _first_byte_s(self, route_name: str) -> RunningQuantile:
        return self._first_byte_by_route.setdefault(
            route_name, RunningQuantile(FIRST_BYTE_QUANTILE)
        )
