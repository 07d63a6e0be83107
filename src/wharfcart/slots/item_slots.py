"""Slots for the batch items of one job group's leader, from all granting nodes."""

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import SlotNews
from wharfcart.configuration.instances import SoftwareVersion
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
from wharfcart.slots.messages import version_from_message
from wharfcart.slots.session import HeldSlot, SlotUpdateListener
from wharfcart.slots.sessions import SlotSessions
from wharfcart.slots.snapshot import ServiceCapacity, SlotSnapshot
from wharfcart.slots.urgency import Urgency

# Demand is reported again if the first item's slack differs by more from the expected one.
MIN_SLACK_CHANGE_S = 0.5


@dataclass(frozen=True)
class ItemSlot(HeldSlot):
    """A slot that was offered to a leader's items.

    Attributes:
        instance_id: instance of the back end.
    """

    service: str
    instance_id: str


@dataclass(frozen=True)
class ItemDemand:
    """Items of one service that wait for slots.

    Attributes:
        count: number of waiting items.
        urgent_count: items that finish in time only if they start now.
        first_urgency: urgency of the item that runs next.
        excluded: instances that none of the items can use.
    """

    count: int
    urgent_count: int
    first_urgency: Urgency
    excluded: frozenset[str] = frozenset()


# Group, service, residence and version of a reported demand.
_DemandKey = tuple[int, str, Residence, SoftwareVersion | None]


@dataclass(frozen=True)
class _ReportedDemand:
    """The last demand that was reported to a granting node.

    Attributes:
        reported_at: monotonic time of the report.
        offers_seen: offers received before the report.
    """

    demand: ItemDemand
    reported_at: float
    offers_seen: int

    def differs(self, demand: ItemDemand, now: float, offers_seen: int) -> bool:
        """Whether a demand differs from what the granting node computes from the last report.

        The granting node subtracts later offers and reduces the slack as time passes.
        """
        offered = offers_seen - self.offers_seen
        expected = (
            max(0, self.demand.count - offered),
            max(0, self.demand.urgent_count - offered),
            self.demand.excluded,
        )
        if expected != (demand.count, demand.urgent_count, demand.excluded):
            return True
        if not demand.count:
            return False
        slack_s = self.demand.first_urgency.after_waiting(now - self.reported_at).slack_s
        return abs(slack_s - demand.first_urgency.slack_s) > MIN_SLACK_CHANGE_S


class ItemSlots(SlotUpdateListener):
    """Reports items that wait for slots, and passes on offers and preemptions.

    Args:
        is_remote: whether a group's back ends are in another region.

    Attributes:
        sessions: sessions of the current leadership with the granting nodes.
        on_offer: called with a slot that is reserved for an item.
        on_preempted: called with a slot whose item must stop, and the cause.
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
        """Begin a leadership with new sessions, in which nothing is reported yet."""
        self.sessions = sessions
        self._reported.clear()
        self._offers_seen.clear()

    def is_avoided(self, instance_id: str) -> bool:
        """Whether the node that grants a back end's slots avoids it."""
        return any(instance_id in avoided for avoided in self._avoided_by_group.values())

    # ---- reports of the leader ----

    def report_demand(
        self,
        service: str,
        demand: ItemDemand,
        residence: Residence = ANYWHERE,
        version: SoftwareVersion | None = None,
    ) -> None:
        """Report waiting items, divided over the granting nodes.

        Groups that grant no slots in the regions of the residence get no report.

        Args:
            service: service that runs the items.
            demand: the items.
            residence: regions where their data may be processed.
            version: software version that began their texts; None for items that can begin.
        """
        capacities = self.sessions.reported_capacities(service, residence)
        remote = frozenset(group for group in capacities if self._is_remote(group))
        for group, count in divide_items(demand.count, capacities, remote).items():
            urgent = min(count, demand.urgent_count)
            part = ItemDemand(count, urgent, demand.first_urgency, demand.excluded)
            self._send_demand((group, service, residence, version), part)

    def report_started(self, slot: ItemSlot, urgency: Urgency) -> None:
        """Report that an item runs in a slot, with its urgency."""
        session = self.sessions.by_group[slot.group]
        session.record_granted(SlotUse(slot.number, slot.instance_id, item=urgency))
        session.send(ItemStarted(session.key, slot.number, urgency))

    def release(self, slot: HeldSlot, result: RunResult = RunResult.UNKNOWN) -> None:
        """Give a slot back."""
        self.sessions.by_group[slot.group].release(slot.number, result)

    def report_backend_failure(self, instance_id: str) -> None:
        """Report that a back end caused the failure of a run that was already released."""
        session = self.sessions.of_instance(instance_id)
        if session is not None:
            session.send(BackendFailureReported(session.key, instance_id))

    # ---- updates from granting nodes ----

    def snapshot_received(self, group: int, snapshot: SlotSnapshot) -> None:
        """Record which back ends are avoided."""
        self._avoided_by_group[group] = frozenset(
            load.instance_id for load in snapshot.backends if load.avoided
        )

    def session_opened(self, group: int) -> None:
        """Forget what was reported in the previous session, so that demand is reported again."""
        for key in [key for key in self._reported if key[0] == group]:
            del self._reported[key]
        for key in [key for key in self._offers_seen if key[0] == group]:
            del self._offers_seen[key]

    def item_updates_received(self, group: int, updates: SlotNews) -> None:
        """Pass on slot offers and preemptions."""
        for offer in updates.offers:
            residence, version = residence_from_message(offer), version_from_message(offer)
            key = (group, offer.service, residence, version)
            self._offers_seen[key] = self._offers_seen.get(key, 0) + 1
            number = SlotNumber(offer.number)
            self.on_offer(ItemSlot(group, number, offer.service, offer.instance_id))
        for preemption in updates.leaving:
            slot = HeldSlot(group, SlotNumber(preemption.number))
            self.on_preempted(slot, PreemptionCause(preemption.cause))

    # ---- inner ----

    def _send_demand(self, key: _DemandKey, demand: ItemDemand) -> None:
        now = monotonic()
        group, service, residence, version = key
        offers_seen = self._offers_seen.get(key, 0)
        last = self._reported.get(key)
        if last is None and not demand.count:
            return
        if last is not None and not last.differs(demand, now, offers_seen):
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
                version,
            )
        )


def divide_items(
    count: int, capacity_by_group: Mapping[int, ServiceCapacity], remote: Collection[int] = ()
) -> dict[int, int]:
    """Divide waiting items over groups in proportion to one more than their free slots.

    So a group without free slots still gets some. Groups in other regions get only items for which
    the own region has no free slot, and no more than their free slots. Parts are rounded up; a
    surplus offer is released.

    Args:
        count: waiting items.
        capacity_by_group: capacity of each group as reported last.
        remote: groups in other regions.
    """
    local_capacities = {
        group: capacity for group, capacity in capacity_by_group.items() if group not in remote
    }
    if not local_capacities:
        return _divide_by_free_slots(count, capacity_by_group)
    parts = _divide_by_free_slots(count, local_capacities)
    overflow = max(0, count - sum(capacity.free for capacity in local_capacities.values()))
    remote_capacities = {group: capacity_by_group[group] for group in remote}
    for group, part in _divide_by_free_slots(overflow, remote_capacities).items():
        parts[group] = min(part, remote_capacities[group].free)
    return parts


def _divide_by_free_slots(
    count: int, capacity_by_group: Mapping[int, ServiceCapacity]
) -> dict[int, int]:
    weights = {group: 1 + capacity.free for group, capacity in capacity_by_group.items()}
    total = sum(weights.values())
    return {group: math.ceil(count * weight / total) for group, weight in weights.items()}
