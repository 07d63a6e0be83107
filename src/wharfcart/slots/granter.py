"""Granting core: which request gets which slot, which batch item leaves for it, and who waits.

One node grants the slots of some back ends. It knows each of them exactly: what it granted and
was not given back is taken. A free slot goes to the request that waits and can still be in time;
then to the batch items, unless online requests need it sooner than the start of an item pays off.
Where no slot is free, the item leaves that loses least by it.

Pure: time and randomness are handed in; events in, instructions out.
"""

from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, field

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.routing.backend_selection import BackendSelector, InstanceState, select_by_affinity
from wharfcart.routing.send_rates import SendRates
from wharfcart.slots.events import (
    BackendBlamed,
    Granted,
    HolderId,
    ItemBegun,
    ItemMustLeave,
    ItemOffered,
    ItemsWaiting,
    LeaveCause,
    Manner,
    NoneHere,
    RefusalCause,
    Refused,
    SessionClosed,
    SessionKey,
    SessionOpened,
    SilenceChanged,
    SlotAsked,
    SlotEvent,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
    SlotTaken,
    SlotUse,
    Verdict,
)
from wharfcart.slots.ledger import SlotLedger, TakenSlot
from wharfcart.slots.picture import ServiceRoom, SlotPicture
from wharfcart.slots.queue import SlotQueue, Waiting
from wharfcart.slots.slot_room import SlotRoom
from wharfcart.slots.urgency import Urgency

# A new connection takes a round trip and a moment of the back end; a back end runs a request hardly
# slower beside two more of eight, which this share of its slots comes to.
NEW_CONNECTION_COST = 0.25
# An item that must leave within this time has cost more than it has done.
RESTART_COST_S = 0.06
FEWEST_RETRY_AFTER_S = 0.2
MOST_RETRY_AFTER_S = 1.5
# A picture names the most loaded back ends: those left out have less, or nothing.
MOST_BACKENDS_A_PICTURE = 48
# Slots that are offered to items have numbers from here on; holders draw theirs below.
FIRST_OFFER = 1 << 40


# Whose items wait, for which service, and where their data may be.
DemandKey = tuple[SessionKey, str, Residence]


@dataclass
class _Demand:
    """Items of one holder and one residence that wait for one service.

    Attributes:
        told_at: when it was told last.
        offered: slots that were offered since.
    """

    told: ItemsWaiting
    told_at: float
    offered: int = 0

    @property
    def count(self) -> int:
        return self.told.count - self.offered

    @property
    def urgent(self) -> bool:
        return self.told.urgent > self.offered

    def first(self, now: float) -> Urgency:
        return self.told.first.after_waiting(now - self.told_at)


@dataclass
class SlotGranter:
    """Grants the slots of the back ends that it owns.

    Attributes:
        choice: what is known of all back ends.
        owns: which of them are granted here.
        leads_surely: whether no other node can grant yet.
    """

    choice: BackendSelector
    owns: Callable[[BackendInstance], bool]
    leads_surely: Callable[[], bool] = lambda: True
    _ledger: SlotLedger = field(default_factory=SlotLedger)
    _queue: SlotQueue = field(default_factory=SlotQueue)
    _asked_by_place: dict[int, SlotAsked] = field(default_factory=dict)  # by place in the queue
    _waiting_by_slot: dict[tuple[SessionKey, SlotNumber], Waiting] = field(default_factory=dict)
    _demands: dict[DemandKey, _Demand] = field(default_factory=dict)
    _offers: dict[DemandKey, int] = field(default_factory=dict)
    _next_offer: int = FIRST_OFFER
    _rates: SendRates = field(default_factory=SendRates)
    _room: SlotRoom = field(init=False)

    def __post_init__(self) -> None:
        self._room = self.new_room()

    def new_room(self) -> SlotRoom:
        """Return the view of the back ends that decisions are made by."""
        return SlotRoom(self.choice, self.owns, self.leads_surely, self._ledger)

    # ---- events ----

    def handle(self, event: SlotEvent, now: float) -> list[SlotInstruction]:
        """Take an event; return what follows from it."""
        match event:
            case SessionOpened():
                self._open(event, now)
            case SessionClosed():
                self._close(event.session)
            case SlotAsked():
                return self._ask(event, now)
            case SlotTaken():
                self._take(event, now)
                return []
            case SlotReleased():
                self._release(event, now)
            case SilenceChanged():
                self._room.look_anew()
                self._ledger.silence(event.session, event.instance_id, event.silent)
            case BackendBlamed():
                self._judge(event.instance_id, Verdict.BAD, now)
                return []
            case ItemsWaiting():
                self._note_demand(event, now)
            case ItemBegun():
                self._note_item(event)
                return []
        return self._hand_out(now)

    def tick(self, now: float) -> list[SlotInstruction]:
        """Do what time alone brings: refuse who waited long enough, try again what was avoided."""
        self._room.fill_cold_buckets(now)
        refused = [
            self._refuse(asked, RefusalCause.WAITED, now)
            for asked in list(self._asked_by_place.values())
            if now >= asked.leave_at
        ]
        return [*refused, *self._relieve(now), *self._hand_out(now)]

    def backend_reported(self, instance_id: str, present: int) -> int:
        """Take how many requests a back end has; return how many of them no session tells of."""
        leftover = max(0, present - self._ledger.told(instance_id))
        self._ledger.set_leftover(instance_id, leftover)
        return leftover

    def is_open(self, session: SessionKey) -> bool:
        """Whether a session is open."""
        return self._ledger.is_open(session)

    def session_of(self, holder: HolderId) -> SessionKey | None:
        """Return a holder's session that is open."""
        return self._ledger.session_of(holder)

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a slot of a service."""
        return self._queue.count(service)

    def total_waiting(self) -> int:
        """Return how many requests wait."""
        return self._queue.total()

    def picture(self, now: float) -> SlotPicture:
        """Return what the holders are told: the load of each back end, and where there is room."""
        states = [state for state in self.choice.states() if self.owns(state.instance)]
        services = {state.instance.service for state in states}
        loads = [self._room.load_of(state, now) for state in states]
        loads = [load for load in loads if load.in_use or load.avoided]
        loads.sort(key=lambda load: (load.avoided, load.in_use), reverse=True)
        return SlotPicture(
            backends=tuple(loads[:MOST_BACKENDS_A_PICTURE]),
            rooms=tuple(self._room_of(service, now) for service in sorted(services)),
            sends_per_s=self._rates.rates(now),
            holders=self._ledger.holders,
        )

    def avoided(self, now: float) -> frozenset[str]:
        """Return the back ends that are left out for now."""
        return frozenset(
            state.instance.instance_id
            for state in self.choice.states()
            if self.owns(state.instance) and self._room.is_avoided(state, now)
        )

    # ---- sessions and slots ----

    def _open(self, event: SessionOpened, now: float) -> None:
        older = self._ledger.session_of(event.session.holder)
        if older is not None:
            self._close(older)
        self._ledger.open(event.session, event.zone, event.uses, now)
        offered_elsewhere = [use.number + 1 for use in event.uses if use.number >= FIRST_OFFER]
        self._next_offer = max([self._next_offer, *offered_elsewhere])

    def _close(self, session: SessionKey) -> None:
        self._ledger.close(session)
        self._room.look_anew()
        for key, waiting in list(self._waiting_by_slot.items()):
            if key[0] == session:
                self._leave_queue(key, waiting)
        for demand in [key for key in self._demands if key[0] == session]:
            del self._demands[demand]
        for offers in [key for key in self._offers if key[0] == session]:
            del self._offers[offers]

    def _take(self, event: SlotTaken, now: float) -> None:
        state = self.choice.state(event.use.instance_id)
        if state is not None:
            self._rates.record(state.instance.service, now)
        self._ledger.take(event.session, event.use, now)

    def _release(self, event: SlotReleased, now: float) -> None:
        key = (event.session, event.number)
        waiting = self._waiting_by_slot.get(key)
        if waiting is not None:
            self._leave_queue(key, waiting)
            return
        taken = self._ledger.release(event.session, event.number)
        if taken is not None:
            self._judge(taken.use.instance_id, event.verdict, now)

    def _judge(self, instance_id: str, verdict: Verdict, now: float) -> None:
        state = self.choice.state(instance_id)
        if verdict is Verdict.BAD:
            self._room.look_anew()
        if state is not None and verdict is not Verdict.UNKNOWN:
            self.choice.record_outcome(state, verdict is Verdict.GOOD, now)

    # ---- online requests ----

    def _ask(self, asked: SlotAsked, now: float) -> list[SlotInstruction]:
        candidates = self._room.candidates(asked.service, asked.residence, now, asked.excluded)
        if not candidates or not self._ledger.is_open(asked.session):
            return [NoneHere(asked.session, asked.number)]
        others_wait = self._queue.count_in(asked.service, asked.residence) > 0
        if not others_wait and self._has_room(candidates, asked.manner, now):
            return self._grant(asked, candidates, now)
        if asked.manner is not Manner.WAIT:
            return [NoneHere(asked.session, asked.number)]
        waiting = self._queue.add(
            asked.service, asked.in_time_until, asked.leave_at, asked.priority, asked.residence
        )
        if waiting is None:
            return [self._refuse(asked, RefusalCause.QUEUE_FULL, now)]
        self._asked_by_place[waiting.number] = asked
        self._waiting_by_slot[asked.session, asked.number] = waiting
        return self._hand_out(now)

    def _has_room(self, candidates: list[InstanceState], manner: Manner, now: float) -> bool:
        candidates = self._room.bearing(candidates, now)
        if any(self._room.has_free_slot(state) for state in candidates):
            return True
        if manner is Manner.FREE:
            return False
        return any(self._room.has_yielding(state) for state in candidates)

    def _grant(
        self, asked: SlotAsked, candidates: list[InstanceState], now: float
    ) -> list[SlotInstruction]:
        """Give a request the best slot; an item leaves where none is free."""
        state = self._best(asked, self._room.bearing(candidates, now), now)
        instructions: list[SlotInstruction] = []
        if not self._room.has_free_slot(state):
            leaving = next(iter(self._room.yielding(state, now)), None)
            if leaving is not None:
                instructions.append(self._have_leave(leaving, LeaveCause.GRANTED))
        use = SlotUse(asked.number, state.instance.instance_id, asked.unread_tokens)
        self._room.granted(use.instance_id)
        self._ledger.take(asked.session, use, now)
        self._rates.record(asked.service, now)
        instructions.append(Granted(asked.session, asked.number, use.instance_id))
        return instructions

    def _best(self, asked: SlotAsked, candidates: list[InstanceState], now: float) -> InstanceState:
        """Return where a request goes: a free slot, then one that an item gives up, then any."""
        if asked.affinity_key:
            return select_by_affinity(
                self._room.warm_with_room(candidates, now) or candidates,
                asked.affinity_key,
                lambda state: self._room.load_without_items(state, now),
            )
        zone = self._ledger.zone(asked.session)

        def cost(state: InstanceState) -> float:
            new = state.instance.instance_id not in asked.connected
            return self._room.cost(state, zone, now) + (NEW_CONNECTION_COST if new else 0.0)

        free = [state for state in candidates if self._room.has_free_slot(state)]
        if free:
            return min(free, key=cost)
        yielding = [state for state in candidates if self._room.has_yielding(state)]
        return min(yielding or candidates, key=cost)

    def _refuse(self, asked: SlotAsked, cause: RefusalCause, now: float) -> Refused:
        key = (asked.session, asked.number)
        waiting = self._waiting_by_slot.get(key)
        if waiting is not None:
            self._leave_queue(key, waiting)
        candidates = self._room.candidates(asked.service, asked.residence, now)
        slots = sum(state.instance.slots for state in candidates)
        others = self._queue.count_in(asked.service, asked.residence)
        per_s = sum(self._room.turnover_per_s(state, now) for state in candidates)
        retry_after_s = (1 + others) / max(1.0, per_s)
        retry_after_s = min(MOST_RETRY_AFTER_S, max(FEWEST_RETRY_AFTER_S, retry_after_s))
        return Refused(asked.session, asked.number, cause, retry_after_s, others, slots)

    def _leave_queue(self, key: tuple[SessionKey, SlotNumber], waiting: Waiting) -> None:
        self._queue.remove(waiting)
        del self._asked_by_place[waiting.number]
        del self._waiting_by_slot[key]

    # ---- what has come free ----

    def _hand_out(self, now: float) -> list[SlotInstruction]:
        """Give slots that are free to the requests that wait, then to batch items."""
        return [*self._serve_queue(now), *self._offer_to_items(now)]

    def _serve_queue(self, now: float) -> Iterator[SlotInstruction]:
        for service in self._queue.services():
            full: set[Residence] = set()
            while (waiting := self._queue.next(service, now, full)) is not None:
                asked = self._asked_by_place[waiting.number]
                candidates = self._room.candidates(service, asked.residence, now, asked.excluded)
                if candidates and not self._has_room(candidates, Manner.WAIT, now):
                    full.add(asked.residence)
                    continue
                self._leave_queue((asked.session, asked.number), waiting)
                if not candidates:
                    # Its back ends are gone or were emptied while it waited: others may have some.
                    yield NoneHere(asked.session, asked.number)
                    continue
                yield from self._grant(asked, candidates, now)

    # ---- batch items ----

    def _note_demand(self, event: ItemsWaiting, now: float) -> None:
        key = (event.session, event.service, event.residence)
        if not self._ledger.is_open(event.session):
            return
        if event.count <= 0:
            self._demands.pop(key, None)
            return
        # Offers that were on their way when it was told are not in its count yet.
        on_their_way = self._offers.get(key, 0) - event.offers_seen
        self._demands[key] = _Demand(event, now, max(0, on_their_way))

    def _note_item(self, event: ItemBegun) -> None:
        self._ledger.item_begun(event.session, event.number, event.urgency)

    def _offer_to_items(self, now: float) -> Iterator[SlotInstruction]:
        for service in {service for _, service, _ in self._demands}:
            while (offer := self._next_item_offer(service, now)) is not None:
                yield offer

    def _next_item_offer(self, service: str, now: float) -> ItemOffered | None:
        """Offer a free slot to the items that go first, if it is worth starting one."""
        for key, demand in self._in_order(service, now):
            residence = key[2]
            candidates = self._room.bearing(self._room.candidates(service, residence, now), now)
            free = [state for state in candidates if self._room.has_free_slot(state)]
            if not free:
                continue
            warm = [state for state in free if not self.choice.is_cold(state, now)]
            if self._held_back(service, residence, free, now) and not demand.urgent:
                continue
            state = self._emptiest(warm, demand.told.excluded, now)
            if state is None and demand.urgent:
                state = self._emptiest(free, demand.told.excluded, now)
            if state is not None:
                return self._offer(key, demand, state, now)
        return None

    def _held_back(
        self, service: str, residence: Residence, free: list[InstanceState], now: float
    ) -> bool:
        """Whether free slots are kept from items that have time left, for online requests.

        A request that waits for other regions has no use of them.
        """
        free_ids = {state.instance.instance_id for state in free}
        for waits_in in self._queue.residences(service):
            usable = self._room.candidates(service, waits_in, now)
            if any(state.instance.instance_id in free_ids for state in usable):
                return True
        return not self._worth_starting(service, residence, now)

    def _in_order(self, service: str, now: float) -> list[tuple[DemandKey, _Demand]]:
        waiting = [
            (key, demand)
            for key, demand in self._demands.items()
            if key[1] == service and demand.count > 0
        ]

        def order(entry: tuple[DemandKey, _Demand]) -> tuple[bool, float]:
            first = entry[1].first(now)
            return first.too_late, first.left_s

        return sorted(waiting, key=order)

    def _emptiest(
        self, free: list[InstanceState], excluded: Collection[str], now: float
    ) -> InstanceState | None:
        usable = [state for state in free if state.instance.instance_id not in excluded]
        return min(usable, key=lambda state: self._room.cost(state, "", now), default=None)

    def _offer(
        self, key: DemandKey, demand: _Demand, state: InstanceState, now: float
    ) -> ItemOffered:
        session, service, residence = key
        number = SlotNumber(self._next_offer)
        self._next_offer += 1
        use = SlotUse(number, state.instance.instance_id, item=demand.first(now))
        self._room.granted(use.instance_id)
        self._ledger.take(session, use, now)
        demand.offered += 1
        self._offers[key] = self._offers.get(key, 0) + 1
        return ItemOffered(session, number, service, use.instance_id, residence)

    def _worth_starting(self, service: str, residence: Residence, now: float) -> bool:
        """Whether the last free slot is probably not needed before a start has paid off."""
        needed_soon = self._rates.rates(now).get(service, 0.0) * RESTART_COST_S
        return self._room.free_slots(service, residence, now) >= 1 + needed_soon

    def _relieve(self, now: float) -> Iterator[SlotInstruction]:
        """Have items leave back ends that are fuller than they can be."""
        for instance_id in self._ledger.instances():
            state = self.choice.state(instance_id)
            if state is None:
                continue
            staying = self._ledger.in_use(instance_id) - self._ledger.leaving(instance_id)
            excess = staying - state.instance.slots
            for slot in self._room.yielding(state, now)[: max(0, excess)]:
                yield self._have_leave(slot, LeaveCause.OVERFULL)

    def _have_leave(self, slot: TakenSlot, cause: LeaveCause) -> ItemMustLeave:
        self._ledger.item_leaves(slot)
        return ItemMustLeave(slot.session, slot.use.number, cause)

    def _room_of(self, service: str, now: float) -> ServiceRoom:
        candidates = self._room.candidates(service, ANYWHERE, now)
        yielding = sum(
            self._ledger.staying_items(state.instance.instance_id)
            for state in self._room.bearing(candidates, now)
        )
        return ServiceRoom(
            service,
            sum(state.instance.slots for state in candidates),
            self._room.free_slots(service, ANYWHERE, now),
            yielding,
            self._queue.count(service),
        )
