"""A gateway's placement: asks the nodes that grant slots; chooses by itself where none answers."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import SlotGrant
from wharfcart.cluster.topology import Distance
from wharfcart.configuration.residence import Residence
from wharfcart.observability.decisions import Counter
from wharfcart.routing.backend_selection import BackendSelector
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
from wharfcart.slots.asking_order import Step, asking_order, asking_order_by_affinity
from wharfcart.slots.events import Manner, SlotAsked, SlotUse, Verdict
from wharfcart.slots.permit_relays import PermitRelays
from wharfcart.slots.permits import Permit
from wharfcart.slots.session import HeldSlot, SlotSession
from wharfcart.slots.sessions import SlotSessions

# Part of the requests whose answers begin within the time that is planned for it.
FIRST_BYTE_SHARE = 0.8

_VERDICTS = {
    SendResult.UNKNOWN: Verdict.UNKNOWN,
    SendResult.BACKEND_OK: Verdict.GOOD,
    SendResult.BACKEND_FAILED: Verdict.BAD,
}


@dataclass(frozen=True, eq=False)
class PlacedInSlot(PlacementDecision):
    """A request in a slot that counts at the node that grants it."""

    slot: HeldSlot


class GrantedPlacement(Placement):
    """Asks for slots.

    Args:
        choice: what this gateway knows of the back ends.
        sessions: with the nodes that grant.
        distance: how far a group's back ends are from this gateway.
        connected: back ends that this gateway keeps a connection to.
        counter: counts who chose: ``grant`` or ``own_choice``.
        relays: gateways that ask for permits in place of this one.
    """

    def __init__(
        self,
        choice: BackendSelector,
        sessions: SlotSessions,
        distance: Callable[[int], Distance],
        connected: Callable[[], Collection[str]],
        counter: Counter,
        relays: PermitRelays,
    ) -> None:
        self._choice = choice
        self._sessions = sessions
        self._distance = distance
        self._connected = connected
        self._counter = counter
        self._relays = relays
        self._local = LocalPlacement(choice)
        self._first_byte_by_route: dict[str, RunningQuantile] = {}

    async def place(self, request: PlacementRequest) -> PlacementDecision | None:
        """Return where to send a request, or None where there is no back end.

        Raises:
            NoSlotError: every slot is taken, and the request has waited long enough.
            OverLimitError: its tenant has sent as many requests as it may.
        """
        permit = Permit(self._sessions, self._relays, request.tenant, request.limit)
        for group, manner in self._steps(request):
            session = self._sessions.by_group[group]
            if not session.answers(monotonic()):
                continue
            placed = await self._ask(session, request, manner, permit)
            if placed is not None:
                self._counter.add("grant")
                return placed
        self._counter.add("own_choice")
        await permit.obtain()
        return await self._place_by_own_choice(request)

    def is_granter_reachable(self, service: str, residence: Residence) -> bool:
        """Whether a node that grants slots of a service in some regions is heard from there."""
        return bool(self._sessions.rooms(service, residence))

    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        """Note that a request is no longer at its back end, and what the send told of that."""
        if isinstance(decision, PlacedInSlot):
            session = self._sessions.by_group[decision.slot.group]
            session.release(decision.slot.number, _VERDICTS[result])

    def first_byte_received(self, route_name: str, seconds: float) -> None:
        """Note how long after it was sent a request's answer began."""
        self._first_byte_s(route_name).observe(seconds)

    # ---- inner ----

    def _steps(self, request: PlacementRequest) -> list[Step]:
        rooms = self._sessions.rooms(request.service, request.residence)
        distances = {group: self._distance(group) for group in rooms}
        if request.affinity_key:
            return asking_order_by_affinity(rooms, request.affinity_key, distances)
        return asking_order(rooms, distances)

    async def _ask(
        self, session: SlotSession, request: PlacementRequest, manner: Manner, permit: Permit
    ) -> PlacementDecision | None:
        if not permit.comes_with_slot(session):
            await permit.obtain()
        asked = self._asked(session, request, manner)
        grant = await session.ask(asked, request.tenant if permit.needed else "")
        if grant is not None and grant.unsure:
            await permit.obtain_elsewhere()
            asked = self._asked(session, request, manner)
            grant = await session.ask(asked)
        return None if grant is None else self._take(session, asked, grant, permit)

    def _asked(self, session: SlotSession, request: PlacementRequest, manner: Manner) -> SlotAsked:
        return SlotAsked(
            session=session.key,
            number=session.new_number(),
            service=request.service,
            in_time_until=request.start_deadline - self._first_byte_s(request.route_name).estimate,
            leave_at=request.queue_deadline,
            manner=manner,
            affinity_key=request.affinity_key,
            excluded=request.excluded,
            connected=self._connected_of(session.group, request.service),
            unread_tokens=request.unread_tokens,
            priority=request.priority,
            request_id=request.request_id,
            residence=request.residence,
        )

    def _connected_of(self, group: int, service: str) -> frozenset[str]:
        """Return the back ends of a service and group that a connection is kept to."""
        found = []
        for instance_id in self._connected():
            state = self._choice.state(instance_id)
            in_group = self._sessions.group_of(instance_id) == group
            if state is not None and in_group and state.instance.service == service:
                found.append(instance_id)
        return frozenset(found)

    def _take(
        self, session: SlotSession, asked: SlotAsked, grant: SlotGrant, permit: Permit
    ) -> PlacementDecision | None:
        if grant.limited:
            raise OverLimitError(grant.retry_after_ms / 1000, is_confirmed=True)
        if grant.refused:
            raise NoSlotError(grant.retry_after_ms / 1000)
        if not grant.instance_id:
            return None
        permit.taken()
        slot = session.hold(SlotUse(asked.number, grant.instance_id, asked.unread_tokens))
        state = self._choice.state(grant.instance_id)
        if (
            state is None
            or self._choice.exclusion_reason(state, asked.residence)
            or state.has_failed_recently(monotonic())
        ):
            session.release(slot.number)
            return None
        return PlacedInSlot(state, True, slot)

    async def _place_by_own_choice(self, request: PlacementRequest) -> PlacementDecision | None:
        placed = await self._local.place(request)
        if placed is None:
            return None
        instance_id = placed.state.instance.instance_id
        session = self._sessions.of_instance(instance_id)
        if session is None:
            return placed
        use = SlotUse(session.new_number(), instance_id, request.unread_tokens)
        return PlacedInSlot(placed.state, False, session.take(use))

    def _first_byte_s(self, route_name: str) -> RunningQuantile:
        return self._first_byte_by_route.setdefault(route_name, RunningQuantile(FIRST_BYTE_SHARE))
