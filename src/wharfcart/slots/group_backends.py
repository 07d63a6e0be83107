"""Group core: candidate back ends of one granting node, and the cost of using each.

Considers taken slots, failures, unresponsiveness and the rate limit of cold back ends. The granter
decides who gets a slot.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from wharfcart.configuration.instances import BackendInstance, SoftwareVersion
from wharfcart.configuration.residence import Residence
from wharfcart.routing.backend_selection import (
    UNREAD_TOKENS_PER_LOAD,
    BackendSelector,
    InstanceState,
)
from wharfcart.routing.cold_backends import ColdBuckets, granted_rate
from wharfcart.slots.ledger import SlotLedger, TakenSlot
from wharfcart.slots.snapshot import BackendLoad

# Above the cost of a full warm back end.
COLD_COST = 2.0
# Mean time for which a slot is taken.
SLOT_TURNOVER_S = 0.5
# Lifetime of the cached list of usable back ends. Failures drop it at once; what only time changes,
# such as the end of a back-off, can wait this long.
USABLE_TTL_S = 0.02


@dataclass
class GroupBackends:
    """The back ends that one node grants slots of.

    Attributes:
        selector: state of all back ends.
        owns: whether this node grants the slots of a back end.
        is_leadership_confirmed: whether no other node can grant yet.
        ledger: taken slots.
    """

    selector: BackendSelector
    owns: Callable[[BackendInstance], bool]
    is_leadership_confirmed: Callable[[], bool]
    ledger: SlotLedger
    _cold_buckets: ColdBuckets = field(default_factory=ColdBuckets)
    # By service, residence and version; there are few of them.
    _usable: dict[
        tuple[str, Residence, SoftwareVersion | None], tuple[float, list[InstanceState]]
    ] = field(default_factory=dict)

    # ---- candidates ----

    def candidates(
        self,
        service: str,
        residence: Residence,
        now: float,
        excluded: Collection[str] = (),
        version: SoftwareVersion | None = None,
    ) -> list[InstanceState]:
        """Return the back ends that a request may go to, without those that seem to fail."""
        usable = self._usable_in(service, residence, version, now)
        if not excluded:
            return usable
        remaining = [state for state in usable if state.instance.instance_id not in excluded]
        if remaining:
            return remaining
        return self.selector.usable_instances(
            service, now, excluded, self.owns, self._is_unresponsive, residence, version
        )

    def _usable_in(
        self, service: str, residence: Residence, version: SoftwareVersion | None, now: float
    ) -> list[InstanceState]:
        cached_at, usable = self._usable.get((service, residence, version), (-USABLE_TTL_S, []))
        if now - cached_at >= USABLE_TTL_S:
            usable = self.selector.usable_instances(
                service, now, (), self.owns, self._is_unresponsive, residence, version
            )
            self._usable[service, residence, version] = (now, usable)
        return usable

    def refresh(self) -> None:
        """Drop the cached lists, for events that change which back ends are usable."""
        self._usable.clear()

    def record_grant(self, instance_id: str) -> None:
        """Record that a back end gets a request."""
        self._cold_buckets.spend(instance_id)

    # ---- items ----

    def has_preemptible(self, state: InstanceState) -> bool:
        """Whether a back end has an item that can be preempted."""
        return self.ledger.preemptible_count(state.instance.instance_id) > 0

    def preemption_order(self, state: InstanceState, now: float) -> list[TakenSlot]:
        """Return the items at a back end in the order of preemption.

        Items that are too late come first, then those with the most slack.
        """
        items = [
            (urgency.order, slot)
            for slot in self.ledger.preemptible_items(state.instance.instance_id)
            if (urgency := slot.urgency(now)) is not None
        ]
        items.sort(key=lambda entry: entry[0])
        return [slot for _, slot in items]

    # ---- cold back ends ----

    def accepting(self, candidates: list[InstanceState], now: float) -> list[InstanceState]:
        """Return the back ends that accept one more request now; cold ones are rate limited."""
        if not self.selector.cold.may_have_cold(now):
            return candidates
        return [state for state in candidates if self._accepts_one_more(state, now)]

    def _accepts_one_more(self, state: InstanceState, now: float) -> bool:
        rate_per_s = self._cold_rate(state, now)
        return rate_per_s is None or self._cold_buckets.allows(
            state.instance.instance_id, rate_per_s, now
        )

    def _cold_rate(self, state: InstanceState, now: float) -> float | None:
        """Return the requests per second that a cold back end is granted; None for a warm one."""
        limit = self.selector.cold_limit(state.instance.service)
        if limit is None or not self.selector.is_cold(state, now):
            return None
        return granted_rate(limit, self.is_leadership_confirmed())

    def warm_with_free_slot(
        self, candidates: list[InstanceState], now: float
    ) -> list[InstanceState]:
        """Return the warm back ends with a free slot; all back ends while none is cold."""
        if not self.selector.cold.may_have_cold(now):
            return candidates
        return [
            state
            for state in candidates
            if not self.selector.is_cold(state, now) and self.has_free_slot(state)
        ]

    def fill_cold_buckets(self, now: float) -> None:
        """Start and refill the rate limit buckets of cold back ends.

        A bucket fills from the time at which its back end turned cold, also without requests.
        """
        cold = [state for state in self.selector.cold_instances(now) if self.owns(state.instance)]
        self._cold_buckets.retain({state.instance.instance_id for state in cold})
        for state in cold:
            self._accepts_one_more(state, now)

    def turnover_per_s(self, state: InstanceState, now: float) -> float:
        """Return the approximate number of slots per second that a back end frees."""
        slots_per_s = state.instance.slots / SLOT_TURNOVER_S
        cold_rate = self._cold_rate(state, now)
        return slots_per_s if cold_rate is None else min(slots_per_s, cold_rate)

    # ---- load ----

    def _load(self, state: InstanceState) -> float:
        return self.ledger.in_use(state.instance.instance_id) / max(1, state.instance.slots)

    def load_without_items(self, state: InstanceState, now: float) -> float:
        """Return the share of a back end's slots that online requests take."""
        items = len(self.preemption_order(state, now))
        return self._load(state) - items / max(1, state.instance.slots)

    def has_free_slot(self, state: InstanceState) -> bool:
        """Whether a back end has a free slot."""
        return self.ledger.in_use(state.instance.instance_id) < state.instance.slots

    def free_slots(self, candidates: Iterable[InstanceState], now: float) -> int:
        """Return how many requests some back ends can take now."""
        return sum(self._free_slots_of(state, now) for state in candidates)

    def _free_slots_of(self, state: InstanceState, now: float) -> int:
        """Return how many requests a back end can take now."""
        free = max(0, state.instance.slots - self.ledger.in_use(state.instance.instance_id))
        if self._cold_rate(state, now) is None:
            return free
        return min(free, int(self._accepts_one_more(state, now)))

    def cost(self, state: InstanceState, zone: str, now: float) -> float:
        """Return the cost of sending a request from a zone to a back end; '' for no zone."""
        distance = self.selector.distance_cost(zone, state.instance.zone) if zone else 0.0
        unread = self.ledger.unread_tokens(state.instance.instance_id, now)
        cold = COLD_COST if self.selector.is_cold(state, now) else 0.0
        return self._load(state) + distance + unread / UNREAD_TOKENS_PER_LOAD + cold

    def load_of(self, state: InstanceState, now: float) -> BackendLoad:
        """Return the load of a back end for the snapshot."""
        instance_id = state.instance.instance_id
        return BackendLoad(
            instance_id,
            self.ledger.in_use(instance_id),
            self.ledger.unread_tokens(instance_id, now),
            self.is_avoided(state, now),
        )

    def is_avoided(self, state: InstanceState, now: float) -> bool:
        """Whether a back end has failed or is unresponsive according to any holder."""
        return state.should_avoid(now) or self._is_unresponsive(state.instance.instance_id)

    def _is_unresponsive(self, instance_id: str) -> bool:
        """Whether a back end does not respond although it has a free slot.

        A full back end queues requests, so a missing response does not count against it.
        """
        state = self.selector.state(instance_id)
        if state is not None and not self.has_free_slot(state):
            return False
        return self.ledger.is_unresponsive(instance_id)
