"""Slots for the batch items of one job group's leader, from all nodes that grant any."""

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import SlotNews
from wharfcart.configuration.residence import ANYWHERE, Residence, residence_from_message
from wharfcart.slots.events import (
    BackendFailureReported,
    ItemStarted,
    ItemsWaiting,
    PreemptionCause,
    RunResult,
    SlotNumber,
    SlotUse,
)
from wharfcart.slots.session import HeldSlot, SlotUpdateListener
from wharfcart.slots.sessions import SlotSessions
from wharfcart.slots.snapshot import ServiceCapacity, SlotSnapshot
from wharfcart.slots.urgency import Urgency

# Demand is told anew once the first item's slack has moved by so much: the granting node itself
# counts the time that passes.
MIN_SLACK_CHANGE_S = 0.5


@dataclass(frozen=True)
class ItemSlot(HeldSlot):
    """A slot that was offered to a leader's items.

    Attributes:
        instance_id: incarnation of the back end.
    """

    service: str
    instance_id: str


@dataclass(frozen=True)
class ItemDemand:
    """Items of one service that wait for slots.

    Attributes:
        count: how many.
        urgent: how many of them are done in time only if they run from now on.
        first: how the one stands that goes first.
        excluded: incarnations that none of them takes.
    """

    count: int
    urgent_count: int
    first_urgency: Urgency
    excluded: frozenset[str] = frozenset()


# Which group was told, of items of which service, and where their data may be.
_DemandKey = tuple[int, str, Residence]


@dataclass(frozen=True)
class _ReportedDemand:
    """What a granting node was told, and what it makes of it as time passes and slots are offered.

    Attributes:
        at: monotonic time at which it was told.
        offers_seen: slots that had been offered before.
    """

    demand: ItemDemand
    reported_at: float
    offers_seen: int

    def differs(self, demand: ItemDemand, now: float, offers_seen: int) -> bool:
        """Whether the demand is another by now than the granting node reckons."""
        offered = offers_seen - self.offers_seen
        reckoned = (
            max(0, self.demand.count - offered),
            max(0, self.demand.urgent_count - offered),
            self.demand.excluded,
        )
        if reckoned != (demand.count, demand.urgent_count, demand.excluded):
            return True
        if not demand.count:
            return False
        slack_s = self.demand.first_urgency.after_waiting(now - self.reported_at).slack_s
        return abs(slack_s - demand.first_urgency.slack_s) > MIN_SLACK_CHANGE_S


class ItemSlots(SlotUpdateListener):
    """Asks for slots for items, and tells of offers and of items that must leave.

    Args:
        is_far: whether a group's back ends are in another region.

    Attributes:
        sessions: with the granting nodes, of the present leadership.
        on_offer: called with a slot that is kept for an item.
        on_leave: called with a slot whose item must leave.
    """

    def __init__(self, is_remote: Callable[[int], bool] = lambda _group: False) -> None:
        self._is_remote = is_remote
        self.sessions: SlotSessions
        self.on_offer: Callable[[ItemSlot], None] = lambda _slot: None
        self.on_preempted: Callable[[HeldSlot, PreemptionCause], None] = lambda _slot, _cause: None
        self._reported: dict[_DemandKey, _ReportedDemand] = {}
        self._offers_seen: dict[_DemandKey, int] = {}
        self._avoided_by_group: dict[int, frozenset[str]] = {}

    def begin(self, sessions: SlotSessions) -> None:
        """Begin a leadership: nothing was told in these sessions yet."""
        self.sessions = sessions
        self._reported.clear()
        self._offers_seen.clear()

    def is_avoided(self, instance_id: str) -> bool:
        """Whether the node that grants a back end's slots leaves it out."""
        return any(instance_id in avoided for avoided in self._avoided_by_group.values())

    # ---- what the leader tells ----

    def report_demand(
        self, service: str, demand: ItemDemand, residence: Residence = ANYWHERE
    ) -> None:
        """Tell the granting nodes how many items of a residence wait; each is told its part.

        Those that grant nothing in these regions hear nothing.
        """
        rooms = self.sessions.reported_capacities(service, residence)
        far = frozenset(group for group in rooms if self._is_remote(group))
        for group, count in divide_items(demand.count, rooms, far).items():
            urgent = min(count, demand.urgent_count)
            part = ItemDemand(count, urgent, demand.first_urgency, demand.excluded)
            self._send_demand(group, service, residence, part)

    def report_started(self, slot: ItemSlot, urgency: Urgency) -> None:
        """Tell that an item runs in a slot, and how it stands."""
        session = self.sessions.by_group[slot.group]
        session.record_granted(SlotUse(slot.number, slot.instance_id, item=urgency))
        session.send(ItemStarted(session.key, slot.number, urgency))

    def release(self, slot: HeldSlot, result: RunResult = RunResult.UNKNOWN) -> None:
        """Give a slot back."""
        self.sessions.by_group[slot.group].release(slot.number, result)

    def report_backend_failure(self, instance_id: str) -> None:
        """Tell that a back end was at fault for a run that had ended before."""
        session = self.sessions.of_instance(instance_id)
        if session is not None:
            session.send(BackendFailureReported(session.key, instance_id))

    # ---- news ----

    def snapshot_received(self, group: int, snapshot: SlotSnapshot) -> None:
        """Take which back ends are avoided."""
        self._avoided_by_group[group] = frozenset(
            load.instance_id for load in snapshot.backends if load.avoided
        )

    def session_opened(self, group: int) -> None:
        """Note that a session has begun: demand is told anew there."""
        for key in [key for key in self._reported if key[0] == group]:
            del self._reported[key]
        for key in [key for key in self._offers_seen if key[0] == group]:
            del self._offers_seen[key]

    def item_updates_received(self, group: int, updates: SlotNews) -> None:
        """Take slots that are offered to items, and items that must leave."""
        for offer in updates.offers:
            key = (group, offer.service, residence_from_message(offer))
            self._offers_seen[key] = self._offers_seen.get(key, 0) + 1
            number = SlotNumber(offer.number)
            self.on_offer(ItemSlot(group, number, offer.service, offer.instance_id))
        for leaving in updates.leaving:
            slot = HeldSlot(group, SlotNumber(leaving.number))
            self.on_preempted(slot, PreemptionCause(leaving.cause))

    # ---- inner ----

    def _send_demand(
        self, group: int, service: str, residence: Residence, demand: ItemDemand
    ) -> None:
        now = monotonic()
        key = (group, service, residence)
        offers_seen = self._offers_seen.get(key, 0)
        told = self._reported.get(key)
        if told is None and not demand.count:
            return
        if told is not None and not told.differs(demand, now, offers_seen):
            return
        self._reported[key] = _ReportedDemand(demand, now, offers_seen)
        session = self.sessions.by_group[group]
        session.send(
            ItemsWaiting(
                session.key,
                service,
                demand.count,
                demand.urgent_count,
                demand.first_urgency,
                demand.excluded,
                offers_seen,
                residence,
            )
        )


def divide_items(
    count: int, capacity_by_group: Mapping[int, ServiceCapacity], remote: Collection[int] = ()
) -> dict[int, int]:
    """Divide items over groups by their free slots; a group without any still hears of some.

    Groups in other regions hear only of items for which the own region has no free slot, and of no
    more than they have room for. Parts are rounded up: an offer too many is given back.

    Args:
        count: items that wait.
        rooms_by_group: room of each group, as it was told last.
        far: groups in other regions.
    """
    near = {group: room for group, room in capacity_by_group.items() if group not in remote}
    if not near:
        return _divide_by_free_slots(count, capacity_by_group)
    parts = _divide_by_free_slots(count, near)
    left_over = max(0, count - sum(room.free for room in near.values()))
    distant = {group: capacity_by_group[group] for group in remote}
    for group, part in _divide_by_free_slots(left_over, distant).items():
        parts[group] = min(part, distant[group].free)
    return parts


def _divide_by_free_slots(
    count: int, capacity_by_group: Mapping[int, ServiceCapacity]
) -> dict[int, int]:
    weights = {group: 1 + room.free for group, room in capacity_by_group.items()}
    total = sum(weights.values())
    return {group: math.ceil(count * weight / total) for group, weight in weights.items()}
