"""Granting core: grants slots to online requests and offers them to batch items.

One node grants the slots of a group's back ends and knows which of them are taken. A free slot goes
to a waiting request first, and to a batch item only if online requests are unlikely to need the
slot before the start of the item has paid off. If no slot is free, an online request preempts the
item with the least loss.

This module does no I/O; callers pass in the time in seconds. Events go in, instructions come out.
"""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from wharfcart.configuration.instances import BackendInstance, BackendSoftware
from wharfcart.configuration.residence import ANYWHERE
from wharfcart.routing.backend_selection import BackendSelector, InstanceState, select_by_affinity
from wharfcart.routing.send_rates import SendRates
from wharfcart.routing.stream_origins import StreamOrigin, StreamOrigins
from wharfcart.slots.events import (
    BackendFailureReported,
    Granted,
    HolderId,
    ItemOffered,
    ItemPreempted,
    ItemStarted,
    ItemsWaiting,
    NoSlot,
    PreemptionCause,
    RefusalCause,
    Refused,
    RequestMode,
    ResponsivenessChanged,
    RunResult,
    SessionClosed,
    SessionKey,
    SessionOpened,
    SlotEvent,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
    SlotRequested,
    SlotTaken,
    SlotUse,
    StreamBegun,
)
from wharfcart.slots.group_backends import GroupBackends
from wharfcart.slots.ledger import SlotLedger, TakenSlot
from wharfcart.slots.queue import QueueKey, SlotQueue, WaitingRequest
from wharfcart.slots.snapshot import ServiceCapacity, SlotSnapshot
from wharfcart.slots.urgency import Urgency

# Of the round trip and setup, as a share of a back end's slots. Two more requests hardly slow down
# a back end with eight slots.
NEW_CONNECTION_COST = 0.25
# An item that is preempted within this time wastes more than it completes.
RESTART_COST_S = 0.06
MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 1.5
# The most loaded back ends: holders count the others as idle.
MAX_BACKENDS_PER_SNAPSHOT = 48
# Slot numbers below this one are assigned by holders.
FIRST_OFFER_NUMBER = 1 << 40


class DemandKey(NamedTuple):
    """Which items of a holder wait, and which back ends they may use.

    Attributes:
        session: session of the holder.
        service: service that runs the items.
        backends: which back ends of the service they may use.
    """

    session: SessionKey
    service: str
    backends: QueueKey


@dataclass
class _Demand:
    """Items of one holder that wait for the same back ends of one service.

    Attributes:
        reported: the last report of the holder.
        reported_at: monotonic time of that report.
        offered: slots offered since then.
    """

    reported: ItemsWaiting
    reported_at: float
    offered: int = 0

    @property
    def count(self) -> int:
        return self.reported.count - self.offered

    @property
    def has_urgent(self) -> bool:
        return self.reported.urgent_count > self.offered

    def current_urgency(self, now: float) -> Urgency:
        return self.reported.first_urgency.after_waiting(now - self.reported_at)


@dataclass
class SlotGranter:
    """Grants the slots of the back ends that it owns.

    Attributes:
        selector: state of all back ends.
        owns: whether this node grants the slots of a back end.
        is_leadership_confirmed: whether no other node can grant yet.
        origins: software that began recent streams.
    """

    selector: BackendSelector
    owns: Callable[[BackendInstance], bool]
    is_leadership_confirmed: Callable[[], bool] = lambda: True
    origins: StreamOrigins = field(default_factory=StreamOrigins)
    _ledger: SlotLedger = field(default_factory=SlotLedger)
    _queue: SlotQueue = field(default_factory=SlotQueue)
    _request_by_queue_number: dict[int, SlotRequested] = field(default_factory=dict)
    _waiting_by_slot: dict[tuple[SessionKey, SlotNumber], WaitingRequest] = field(
        default_factory=dict
    )
    _demands: dict[DemandKey, _Demand] = field(default_factory=dict)
    _offer_counts: dict[DemandKey, int] = field(default_factory=dict)
    _next_offer: int = FIRST_OFFER_NUMBER
    _rates: SendRates = field(default_factory=SendRates)
    _backends: GroupBackends = field(init=False)

    def __post_init__(self) -> None:
        self._backends = self.new_backends()

    def new_backends(self) -> GroupBackends:
        """Return the back ends of this granter."""
        return GroupBackends(self.selector, self.owns, self.is_leadership_confirmed, self._ledger)

    # ---- events ----

    def handle(self, event: SlotEvent, now: float) -> list[SlotInstruction]:
        """Handle an event and return the resulting instructions."""
        match event:
            case SessionOpened():
                self._open(event, now)
            case SessionClosed():
                self._close(event.session)
            case SlotRequested():
                return self._handle_request(event, now)
            case SlotTaken():
                self._record_taken(event, now)
                return []
            case SlotReleased():
                self._release(event, now)
            case ResponsivenessChanged():
                self._backends.refresh()
                self._ledger.set_unresponsive(event.session, event.instance_id, event.unresponsive)
            case BackendFailureReported():
                self._record_result(event.instance_id, RunResult.BACKEND_FAILED, now)
                return []
            case ItemsWaiting():
                self._update_demand(event, now)
            case ItemStarted():
                self._start_item(event)
                return []
            case StreamBegun():
                self.origins.record(event.origin, now)
                return []
        return self._assign_free_slots(now)

    def tick(self, now: float) -> list[SlotInstruction]:
        """Refuse expired requests, preempt excess items and retry back ends avoided until now."""
        self._backends.fill_cold_buckets(now)
        refused = [
            self._refuse(request, RefusalCause.TIMED_OUT, now)
            for request in list(self._request_by_queue_number.values())
            if now >= request.queue_deadline
        ]
        return [*refused, *self._preempt_excess_items(now), *self._assign_free_slots(now)]

    def backend_reported(self, instance_id: str, request_count: int) -> int:
        """Record a back end's own request count; return how many of its runs are orphaned."""
        orphaned = max(0, request_count - self._ledger.taken_count(instance_id))
        self._ledger.set_orphaned_runs(instance_id, orphaned)
        return orphaned

    def is_open(self, session: SessionKey) -> bool:
        """Whether a session is open."""
        return self._ledger.is_open(session)

    def session_of(self, holder: HolderId) -> SessionKey | None:
        """Return a holder's open session, or None."""
        return self._ledger.session_of(holder)

    def waiting(self, service: str) -> int:
        """Return the number of requests that wait for a slot of a service."""
        return self._queue.count(service)

    def total_waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._queue.total()

    def snapshot(self, now: float) -> SlotSnapshot:
        """Return the load snapshot for the holders."""
        states = [state for state in self.selector.states() if self.owns(state.instance)]
        services = {state.instance.service for state in states}
        loads = [self._backends.load_of(state, now) for state in states]
        loads = [load for load in loads if load.in_use or load.avoided]
        loads.sort(key=lambda load: (load.avoided, load.in_use), reverse=True)
        return SlotSnapshot(
            backends=tuple(loads[:MAX_BACKENDS_PER_SNAPSHOT]),
            capacities=tuple(self._capacity_of(service, now) for service in sorted(services)),
            sends_per_s=self._rates.rates(now),
            holders=self._ledger.session_count,
        )

    def avoided(self, now: float) -> frozenset[str]:
        """Return the instances that are avoided now."""
        return frozenset(
            state.instance.instance_id
            for state in self.selector.states()
            if self.owns(state.instance) and self._backends.is_avoided(state, now)
        )

    # ---- sessions and slots ----

    def _open(self, event: SessionOpened, now: float) -> None:
        previous = self._ledger.session_of(event.session.holder)
        if previous is not None:
            self._close(previous)
        self._ledger.open(event.session, event.zone, event.uses, now)
        for age_s, origin in event.origins:
            self.origins.record(origin, now - age_s)
        next_numbers = [use.number + 1 for use in event.uses if use.number >= FIRST_OFFER_NUMBER]
        self._next_offer = max([self._next_offer, *next_numbers])

    def _close(self, session: SessionKey) -> None:
        self._ledger.close(session)
        self._backends.refresh()
        for key, waiting in list(self._waiting_by_slot.items()):
            if key[0] == session:
                self._dequeue(key, waiting)
        for demand in [key for key in self._demands if key.session == session]:
            del self._demands[demand]
        for offers in [key for key in self._offer_counts if key.session == session]:
            del self._offer_counts[offers]

    def _record_taken(self, event: SlotTaken, now: float) -> None:
        state = self.selector.state(event.use.instance_id)
        if state is not None:
            self._rates.record(state.instance.service, now)
        self._ledger.take(event.session, event.use, now)

    def _release(self, event: SlotReleased, now: float) -> None:
        key = (event.session, event.number)
        waiting = self._waiting_by_slot.get(key)
        if waiting is not None:
            self._dequeue(key, waiting)
            return
        taken = self._ledger.release(event.session, event.number)
        if taken is not None:
            self._record_result(taken.use.instance_id, event.result, now)

    def _record_result(self, instance_id: str, result: RunResult, now: float) -> None:
        state = self.selector.state(instance_id)
        if result is RunResult.BACKEND_FAILED:
            self._backends.refresh()
        if state is not None and result is not RunResult.UNKNOWN:
            self.selector.record_outcome(state, result is RunResult.BACKEND_OK, now)

    # ---- online requests ----

    def _handle_request(self, request: SlotRequested, now: float) -> list[SlotInstruction]:
        candidates = self._candidates(request, now)
        if not candidates or not self._ledger.is_open(request.session):
            return [NoSlot(request.session, request.number)]
        others_wait = self._queue.count_in(request.service, _queue_key(request)) > 0
        if not others_wait and self._has_slot(candidates, request.mode, now):
            return self._grant(request, candidates, now)
        if request.mode is not RequestMode.WAIT:
            return [NoSlot(request.session, request.number)]
        waiting = self._queue.add(
            request.service,
            request.start_deadline,
            request.queue_deadline,
            request.priority,
            _queue_key(request),
        )
        if waiting is None:
            return [self._refuse(request, RefusalCause.QUEUE_FULL, now)]
        self._request_by_queue_number[waiting.number] = request
        self._waiting_by_slot[request.session, request.number] = waiting
        return self._assign_free_slots(now)

    def _candidates(self, request: SlotRequested, now: float) -> list[InstanceState]:
        return self._backends.candidates(
            request.service, request.residence, now, request.excluded, request.version
        )

    def _has_slot(self, candidates: list[InstanceState], mode: RequestMode, now: float) -> bool:
        candidates = self._backends.accepting(candidates, now)
        if any(self._backends.has_free_slot(state) for state in candidates):
            return True
        if mode is RequestMode.FREE:
            return False
        return any(self._backends.has_preemptible(state) for state in candidates)

    def _grant(
        self, request: SlotRequested, candidates: list[InstanceState], now: float
    ) -> list[SlotInstruction]:
        """Grant a request the best slot; preempt an item if no slot is free."""
        state = self._best_backend(request, self._backends.accepting(candidates, now), now)
        instructions: list[SlotInstruction] = []
        if not self._backends.has_free_slot(state):
            preempted = next(iter(self._backends.preemption_order(state, now)), None)
            if preempted is not None:
                instructions.append(self._preempt(preempted, PreemptionCause.GRANTED))
        use = SlotUse(request.number, state.instance.instance_id, request.unread_tokens)
        self._backends.record_grant(use.instance_id)
        self._ledger.take(request.session, use, now)
        self._rates.record(request.service, now)
        if request.origin_sequence:
            self._record_origin(request, state.instance.software, now)
        instructions.append(Granted(request.session, request.number, use.instance_id))
        return instructions

    def _record_origin(self, request: SlotRequested, software: BackendSoftware, now: float) -> None:
        """Record which software began a stream, if that follows from the grant.

        A gateway that never receives the grant selects a back end itself, which is of the same
        version only while there is one. Else gateways report what began their streams.
        """
        if not self.selector.has_several_versions(request.service, now):
            origin = StreamOrigin(request.request_id, software, request.origin_sequence)
            self.origins.record(origin, now)

    def _best_backend(
        self, request: SlotRequested, candidates: list[InstanceState], now: float
    ) -> InstanceState:
        """Return the back end: one with a free slot, else with a preemptible item, else any."""
        if request.affinity_key:
            return select_by_affinity(
                self._backends.warm_with_free_slot(candidates, now) or candidates,
                request.affinity_key,
                lambda state: self._backends.load_without_items(state, now),
            )
        zone = self._ledger.zone(request.session)

        def cost(state: InstanceState) -> float:
            new = state.instance.instance_id not in request.connected
            return self._backends.cost(state, zone, now) + (NEW_CONNECTION_COST if new else 0.0)

        free = [state for state in candidates if self._backends.has_free_slot(state)]
        if free:
            return min(free, key=cost)
        preemptible = [state for state in candidates if self._backends.has_preemptible(state)]
        return min(preemptible or candidates, key=cost)

    def _refuse(self, request: SlotRequested, cause: RefusalCause, now: float) -> Refused:
        key = (request.session, request.number)
        waiting = self._waiting_by_slot.get(key)
        if waiting is not None:
            self._dequeue(key, waiting)
        candidates = self._backends.candidates(
            request.service, request.residence, now, version=request.version
        )
        slots = sum(state.instance.slots for state in candidates)
        others = self._queue.count_in(request.service, _queue_key(request))
        freed_per_s = sum(self._backends.turnover_per_s(state, now) for state in candidates)
        retry_after_s = (1 + others) / max(1.0, freed_per_s)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, retry_after_s))
        return Refused(request.session, request.number, cause, retry_after_s, others, slots)

    def _dequeue(self, key: tuple[SessionKey, SlotNumber], waiting: WaitingRequest) -> None:
        self._queue.remove(waiting)
        del self._request_by_queue_number[waiting.number]
        del self._waiting_by_slot[key]

    # ---- free slots ----

    def _assign_free_slots(self, now: float) -> list[SlotInstruction]:
        """Assign free slots to waiting requests, then to batch items."""
        return [*self._serve_queue(now), *self._offer_to_items(now)]

    def _serve_queue(self, now: float) -> Iterator[SlotInstruction]:
        for service in self._queue.services():
            full: set[QueueKey] = set()
            while (waiting := self._queue.next(service, now, full)) is not None:
                request = self._request_by_queue_number[waiting.number]
                candidates = self._candidates(request, now)
                if candidates and not self._has_slot(candidates, RequestMode.WAIT, now):
                    full.add(waiting.key)
                    continue
                self._dequeue((request.session, request.number), waiting)
                if not candidates:
                    # All its back ends were removed or evacuated; other groups may have some.
                    yield NoSlot(request.session, request.number)
                    continue
                yield from self._grant(request, candidates, now)

    # ---- batch items ----

    def _update_demand(self, event: ItemsWaiting, now: float) -> None:
        backends = QueueKey(event.residence, event.version)
        key = DemandKey(event.session, event.service, backends)
        if not self._ledger.is_open(event.session):
            return
        if event.count <= 0:
            self._demands.pop(key, None)
            return
        # The report does not reflect offers that were in transit when it was sent.
        in_transit = self._offer_counts.get(key, 0) - event.offers_seen
        self._demands[key] = _Demand(event, now, max(0, in_transit))

    def _start_item(self, event: ItemStarted) -> None:
        self._ledger.item_started(event.session, event.number, event.urgency)

    def _offer_to_items(self, now: float) -> Iterator[SlotInstruction]:
        for service in {key.service for key in self._demands}:
            while (offer := self._next_item_offer(service, now)) is not None:
                yield offer

    def _next_item_offer(self, service: str, now: float) -> ItemOffered | None:
        """Offer a free slot to the items due first, unless it is reserved for online requests."""
        for key, demand in self._demands_in_order(service, now):
            usable = self._usable(service, key.backends, now)
            candidates = self._backends.accepting(usable, now)
            free = [state for state in candidates if self._backends.has_free_slot(state)]
            if not free:
                continue
            warm = [state for state in free if not self.selector.is_cold(state, now)]
            if (
                self._reserved_for_online(service, key.backends, free, now)
                and not demand.has_urgent
            ):
                continue
            state = self._least_costly(warm, demand.reported.excluded, now)
            if state is None and demand.has_urgent:
                state = self._least_costly(free, demand.reported.excluded, now)
            if state is not None:
                return self._offer(key, demand, state, now)
        return None

    def _reserved_for_online(
        self, service: str, backends: QueueKey, free: list[InstanceState], now: float
    ) -> bool:
        """Whether free slots are reserved for online requests, from items that are not urgent.

        Only requests that may use one of the slots reserve them.
        """
        free_ids = {state.instance.instance_id for state in free}
        for key in self._queue.keys(service):
            usable = self._usable(service, key, now)
            if any(state.instance.instance_id in free_ids for state in usable):
                return True
        return not self._worth_starting(service, backends, now)

    def _demands_in_order(self, service: str, now: float) -> list[tuple[DemandKey, _Demand]]:
        waiting = [
            (key, demand)
            for key, demand in self._demands.items()
            if key.service == service and demand.count > 0
        ]

        def order(entry: tuple[DemandKey, _Demand]) -> tuple[bool, float]:
            urgency = entry[1].current_urgency(now)
            return urgency.is_too_late, urgency.until_due_s

        return sorted(waiting, key=order)

    def _least_costly(
        self, free: list[InstanceState], excluded: Collection[str], now: float
    ) -> InstanceState | None:
        usable = [state for state in free if state.instance.instance_id not in excluded]
        return min(usable, key=lambda state: self._backends.cost(state, "", now), default=None)

    def _offer(
        self, key: DemandKey, demand: _Demand, state: InstanceState, now: float
    ) -> ItemOffered:
        session, service, backends = key
        number = SlotNumber(self._next_offer)
        self._next_offer += 1
        use = SlotUse(number, state.instance.instance_id, item=demand.current_urgency(now))
        self._backends.record_grant(use.instance_id)
        self._ledger.take(session, use, now)
        demand.offered += 1
        self._offer_counts[key] = self._offer_counts.get(key, 0) + 1
        return ItemOffered(session, number, service, use.instance_id, *backends)

    def _usable(self, service: str, key: QueueKey, now: float) -> list[InstanceState]:
        return self._backends.candidates(service, key.residence, now, version=key.version)

    def _worth_starting(self, service: str, backends: QueueKey, now: float) -> bool:
        """Whether online requests probably leave a slot free until a start has paid off."""
        needed_soon = self._rates.rates(now).get(service, 0.0) * RESTART_COST_S
        free_slots = self._backends.free_slots(self._usable(service, backends, now), now)
        return free_slots >= 1 + needed_soon

    def _preempt_excess_items(self, now: float) -> Iterator[SlotInstruction]:
        """Preempt items at back ends that have more runs than slots."""
        for instance_id in self._ledger.instances():
            state = self.selector.state(instance_id)
            if state is None:
                continue
            running = self._ledger.in_use(instance_id) - self._ledger.preempted_count(instance_id)
            excess = running - state.instance.slots
            for slot in self._backends.preemption_order(state, now)[: max(0, excess)]:
                yield self._preempt(slot, PreemptionCause.OVERCOMMITTED)

    def _preempt(self, slot: TakenSlot, cause: PreemptionCause) -> ItemPreempted:
        self._ledger.mark_preempted(slot)
        return ItemPreempted(slot.session, slot.use.number, cause)

    def _capacity_of(self, service: str, now: float) -> ServiceCapacity:
        candidates = self._backends.candidates(service, ANYWHERE, now)
        preemptible = sum(
            self._ledger.preemptible_count(state.instance.instance_id)
            for state in self._backends.accepting(candidates, now)
        )
        return ServiceCapacity(
            service,
            sum(state.instance.slots for state in candidates),
            self._backends.free_slots(candidates, now),
            preemptible,
            self._queue.count(service),
        )


def _queue_key(request: SlotRequested) -> QueueKey:
    return QueueKey(request.residence, request.version)
