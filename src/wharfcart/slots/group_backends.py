"""Room core: which back ends of one granting node may get a request, and what suits it best.

Looks at what is taken, who fails or is silent, and what cold back ends bear; it decides nothing
about who gets a slot.

Pure: time is handed in as seconds.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import Residence
from wharfcart.routing.backend_selection import (
    UNREAD_TOKENS_PER_LOAD,
    BackendSelector,
    InstanceState,
)
from wharfcart.routing.cold_backends import ColdBuckets, granted_rate
from wharfcart.slots.ledger import SlotLedger, TakenSlot
from wharfcart.slots.snapshot import BackendLoad

# A cold back end takes what no warm one has a slot for: it costs more than a full warm one.
COLD_COST = 2.0
# A slot is taken for about so long: tells when one is likely to come free.
SLOT_TURNOVER_S = 0.5
# Which back ends may be used is looked at anew after so long, and whenever one was at fault: what
# time alone changes, as who is avoided no more, does not matter sooner.
USABLE_TTL_S = 0.02


@dataclass
class GroupBackends:
    """The back ends that one node grants slots of.

    Attributes:
        choice: what is known of all back ends.
        owns: which of them are granted here.
        leads_surely: whether no other node can grant yet.
        ledger: what is taken.
    """

    selector: BackendSelector
    owns: Callable[[BackendInstance], bool]
    is_leadership_confirmed: Callable[[], bool]
    ledger: SlotLedger
    _cold_buckets: ColdBuckets = field(default_factory=ColdBuckets)
    # By service and residence, of which a configuration names few.
    _usable: dict[tuple[str, Residence], tuple[float, list[InstanceState]]] = field(
        default_factory=dict
    )

    # ---- who may get a request ----

    def candidates(
        self, service: str, residence: Residence, now: float, excluded: Collection[str] = ()
    ) -> list[InstanceState]:
        """Return the back ends that a request may go to, those that seem to fail left out."""
        usable = self._usable_in(service, residence, now)
        if not excluded:
            return usable
        left = [state for state in usable if state.instance.instance_id not in excluded]
        if left:
            return left
        return self.selector.usable_instances(
            service, now, excluded, self.owns, self._is_unresponsive, residence
        )

    def _usable_in(self, service: str, residence: Residence, now: float) -> list[InstanceState]:
        looked_at, usable = self._usable.get((service, residence), (-USABLE_TTL_S, []))
        if now - looked_at >= USABLE_TTL_S:
            usable = self.selector.usable_instances(
                service, now, (), self.owns, self._is_unresponsive, residence
            )
            self._usable[service, residence] = (now, usable)
        return usable

    def refresh(self) -> None:
        """Look anew at who may be used: one was at fault, or a holder has left."""
        self._usable.clear()

    def record_grant(self, instance_id: str) -> None:
        """Note that a back end gets a request."""
        self._cold_buckets.spend(instance_id)

    # ---- items ----

    def has_preemptible(self, state: InstanceState) -> bool:
        """Whether any item at a back end leaves if asked to."""
        return self.ledger.preemptible_count(state.instance.instance_id) > 0

    def preemption_order(self, state: InstanceState, now: float) -> list[TakenSlot]:
        """Return the items at a back end in the order in which they leave.

        First are those that come too late anyway, then those with the most time left.
        """
        stood = [
            (urgency.order, slot)
            for slot in self.ledger.preemptible_items(state.instance.instance_id)
            if (urgency := slot.urgency(now)) is not None
        ]
        stood.sort(key=lambda entry: entry[0])
        return [slot for _, slot in stood]

    # ---- cold back ends ----

    def accepting(self, candidates: list[InstanceState], now: float) -> list[InstanceState]:
        """Return the back ends that bear one more request now: of cold ones, by their rate."""
        if not self.selector.cold.may_have_cold(now):
            return candidates
        return [state for state in candidates if self._accepts_one_more(state, now)]

    def _accepts_one_more(self, state: InstanceState, now: float) -> bool:
        per_s = self._cold_rate(state, now)
        return per_s is None or self._cold_buckets.allows(state.instance.instance_id, per_s, now)

    def _cold_rate(self, state: InstanceState, now: float) -> float | None:
        """Return the requests a second that a back end is granted; None for one that is warm."""
        limit = self.selector.cold_limit(state.instance.service)
        if limit is None or not self.selector.is_cold(state, now):
            return None
        return granted_rate(limit, self.is_leadership_confirmed())

    def warm_with_free_slot(
        self, candidates: list[InstanceState], now: float
    ) -> list[InstanceState]:
        """Return the back ends that are warm and have a slot; all while none is cold."""
        if not self.selector.cold.may_have_cold(now):
            return candidates
        return [
            state
            for state in candidates
            if not self.selector.is_cold(state, now) and self.has_free_slot(state)
        ]

    def fill_cold_buckets(self, now: float) -> None:
        """Have the buckets of cold back ends fill from the time on at which they turned cold."""
        cold = [state for state in self.selector.cold_instances(now) if self.owns(state.instance)]
        self._cold_buckets.retain({state.instance.instance_id for state in cold})
        for state in cold:
            self._accepts_one_more(state, now)

    def turnover_per_s(self, state: InstanceState, now: float) -> float:
        """Return about how many slots of a back end come free in a second."""
        by_slots = state.instance.slots / SLOT_TURNOVER_S
        cold_rate = self._cold_rate(state, now)
        return by_slots if cold_rate is None else min(by_slots, cold_rate)

    # ---- load and silence ----

    def _load(self, state: InstanceState) -> float:
        return self.ledger.in_use(state.instance.instance_id) / max(1, state.instance.slots)

    def load_without_items(self, state: InstanceState, now: float) -> float:
        """Return the share of slots that online requests take."""
        items = len(self.preemption_order(state, now))
        return self._load(state) - items / max(1, state.instance.slots)

    def has_free_slot(self, state: InstanceState) -> bool:
        """Whether nobody has some slot of a back end."""
        return self.ledger.in_use(state.instance.instance_id) < state.instance.slots

    def free_slots(self, service: str, residence: Residence, now: float) -> int:
        """Return how many requests of a residence a service can take at once."""
        return sum(
            self._free_slots_of(state, now) for state in self.candidates(service, residence, now)
        )

    def _free_slots_of(self, state: InstanceState, now: float) -> int:
        """Return how many requests a back end can take at once."""
        free = max(0, state.instance.slots - self.ledger.in_use(state.instance.instance_id))
        if self._cold_rate(state, now) is None:
            return free
        return min(free, int(self._accepts_one_more(state, now)))

    def cost(self, state: InstanceState, zone: str, now: float) -> float:
        """Return how little a back end suits a request from a zone; '' for no zone."""
        distance = self.selector.distance_cost(zone, state.instance.zone) if zone else 0.0
        unread = self.ledger.unread_tokens(state.instance.instance_id, now)
        cold = COLD_COST if self.selector.is_cold(state, now) else 0.0
        return self._load(state) + distance + unread / UNREAD_TOKENS_PER_LOAD + cold

    def load_of(self, state: InstanceState, now: float) -> BackendLoad:
        """Return what holders are told of a back end."""
        instance_id = state.instance.instance_id
        return BackendLoad(
            instance_id,
            self.ledger.in_use(instance_id),
            self.ledger.unread_tokens(instance_id, now),
            self.is_avoided(state, now),
        )

    def is_avoided(self, state: InstanceState, now: float) -> bool:
        """Whether failures or silence speak against a back end, as far as anybody told."""
        return state.should_avoid(now) or self._is_unresponsive(state.instance.instance_id)

    def _is_unresponsive(self, instance_id: str) -> bool:
        """Whether a back end answers nobody although it has a slot free.

        One that is full, perhaps with runs that nobody knows of, keeps whom it was sent waiting.
        """
        state = self.selector.state(instance_id)
        if state is not None and not self.has_free_slot(state):
            return False
        return self.ledger.is_unresponsive(instance_id)
