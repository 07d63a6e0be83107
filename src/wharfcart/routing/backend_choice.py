"""Choice core: which incarnation of a service's back ends a request goes to.

Each node judges by what it sees itself: its own requests in flight, the load that answers tell,
connections that failed, answers that stay away. Load is counted as the share of slots that are
taken. Long shared prompts go where they were read before, as long as that back end is not
overloaded (rendezvous hashing with bounded load); everything else goes to the least loaded, in the
zone first.

Pure: time and randomness are handed in.
"""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from wharfcart.cluster.randomness import RandomSource
from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.load_board import LEAST_COUNT, NodeLoad, report_period_s
from wharfcart.routing.outcome_record import OutcomeRecord, is_suspect
from wharfcart.routing.send_rates import SendRates
from wharfcart.routing.spreading import draw_below, fill_level

REPORT_FRESH_S = 1.5
AVOID_FIRST_S = 0.5
AVOID_MOST_S = 4.0
# No byte of an answer after this time, and longer by what prompts there take to read, is silence.
SILENT_AFTER_S = 0.35
READ_TOKENS_A_SECOND = 40_000
OTHER_ZONE_PENALTY = 0.04
# Entries of most of a service that vanish without a drain speak for an outage of discovery, in
# which they lapse although the back ends work on. Without other signs of one they count only as
# long as a back end that leaves unannounced still serves.
VANISHED_KEPT_S = 1.5
VANISHED_KEPT_IN_OUTAGE_S = 10.0
AFFINITY_TOKENS = 1000
AFFINITY_MOST_LOAD = 0.9
# Reading a long shared prompt anew costs more than waiting a little longer than elsewhere.
AFFINITY_MOST_ABOVE_LEAST = 0.35
# Where nobody else sends, only back ends that are equally empty are drawn from.
LEAST_SPREAD = 0.05
# When more than the rest seem to fail, it is something else that fails.
LEAST_SHARE_LEFT = 0.2
# The picture of the others' load counts as no older than this, however old it is.
MOST_PICTURE_AGE_S = 1.0
# So many prompt tokens that wait to be read weigh as much as all slots taken.
TOKENS_A_FULL_LOAD = 24_000


@dataclass
class InstanceState:
    """What this node knows of one incarnation.

    Parameters
    ----------
    waiting_since: for each request in flight without a byte of answer, when it was sent.
    unread: for each of these, the tokens of its prompt that are probably not cached.
    others: what all other nodes have there, as the load board told at ``others_at``; it counts
        until ``others_until``.
    """

    instance: BackendInstance
    in_flight: int = 0
    reported_load: int = 0
    in_flight_at_report: int = 0
    reported_at: float = -1e9
    avoid_until: float = -1e9
    failures: int = 0
    waiting_since: dict[int, float] = field(default_factory=dict)
    unread: dict[int, int] = field(default_factory=dict)
    others: NodeLoad | None = None
    others_at: float = -1e9
    others_until: float = -1e9
    outcomes: OutcomeRecord = field(default_factory=OutcomeRecord)

    def load(self, now: float) -> float:
        """Return the estimated share of slots that are taken; above 1 requests wait."""
        taken = self.in_flight
        if now < self.others_until:
            taken += self.others.in_flight if self.others is not None else 0
        elif now - self.reported_at < REPORT_FRESH_S:
            taken = max(taken, self.reported_load + self.in_flight - self.in_flight_at_report)
        return taken / max(1, self.instance.slots)

    def has_free_slot(self, now: float) -> bool:
        """Whether one more request would run at once."""
        return self.load(now) + 1 / max(1, self.instance.slots) <= 1

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens that wait to be read there."""
        tokens = sum(self.unread.values())
        if self.others is not None and now < self.others_until:
            tokens += self.others.unread_tokens
        return tokens

    def avoided(self, now: float) -> bool:
        """Whether failures or silence speak against this incarnation now."""
        if now < self.avoid_until or self.silent(now) or self.suspect(now):
            return True
        others = self.others
        return others is not None and others.silent and now < self.others_until

    def suspect(self, now: float) -> bool:
        """Whether too many of its answers failed lately, at this node and all others."""
        good, bad = self.outcomes.counts(now)
        if self.others is not None and now < self.others_until:
            good += self.others.good
            bad += self.others.bad
        return is_suspect(good, bad)

    def silent(self, now: float) -> bool:
        """Whether a request of this node waits too long for the first byte of its answer."""
        if not self.waiting_since:
            return False
        patience_s = SILENT_AFTER_S + self.unread_tokens(now) / READ_TOKENS_A_SECOND
        return now - min(self.waiting_since.values()) > patience_s


@dataclass
class BackendChoice:
    """All incarnations that this node knows, by service."""

    zone: str
    random: RandomSource
    _states: dict[str, InstanceState] = field(default_factory=dict)
    _by_service: dict[str, dict[str, InstanceState]] = field(default_factory=dict)
    _vanished: dict[str, tuple[float, InstanceState]] = field(default_factory=dict)  # until when
    _next_use: int = 0
    _sends: SendRates = field(default_factory=SendRates)
    _others_rates: dict[str, float] = field(default_factory=dict)
    _others_at: float = -1e9
    _nodes: int = 1

    def put(self, instance: BackendInstance) -> None:
        """Take what discovery tells of an incarnation."""
        self._vanished.pop(instance.instance_id, None)
        state = self._states.get(instance.instance_id)
        if state is None:
            state = InstanceState(instance)
            self._states[instance.instance_id] = state
        else:
            self._by_service.get(state.instance.service, {}).pop(instance.instance_id, None)
            state.instance = instance
        self._by_service.setdefault(instance.service, {})[instance.instance_id] = state

    def remove(
        self, instance_id: str, now: float, in_outage: bool = False, drained: bool = False
    ) -> None:
        """Take an incarnation off the list that discovery no longer tells.

        Parameters
        ----------
        in_outage: discovery itself could not be reached a moment ago.
        drained: it had said that it leaves, even if this node did not hear of that.
        """
        state = self._states.pop(instance_id, None)
        if state is None:
            return
        self._by_service.get(state.instance.service, {}).pop(instance_id, None)
        if state.instance.accepting and not drained:
            kept_s = VANISHED_KEPT_IN_OUTAGE_S if in_outage else VANISHED_KEPT_S
            self._vanished[instance_id] = (now + kept_s, state)

    def state(self, instance_id: str) -> InstanceState | None:
        """Return what is known of an incarnation."""
        return self._states.get(instance_id)

    def accepting(self, service: str, now: float) -> list[InstanceState]:
        """Return the incarnations of a service that take new requests.

        When more have vanished than are left, those count, too: each send names the incarnation
        that it means, so that nothing else runs it.
        """
        states = self._by_service.get(service, {}).values()
        listed = [state for state in states if state.instance.accepting]
        vanished = self._vanished_of(service, now)
        return listed + vanished if len(vanished) > len(listed) else listed

    def _vanished_of(self, service: str, now: float) -> list[InstanceState]:
        old = [key for key, (until, _) in self._vanished.items() if now > until]
        for key in old:
            del self._vanished[key]
        return [state for _, state in self._vanished.values() if state.instance.service == service]

    def choose(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
        affinity_key: str = "",
    ) -> InstanceState | None:
        """Return the incarnation to ask, or None where there is none.

        Parameters
        ----------
        excluded: incarnations that this request was already sent to.
        affinity_key: names the shared prompt that decides where to go first; '' for none.
        """
        candidates = self.usable(service, now, excluded)
        if not candidates:
            return None
        if affinity_key:
            return _by_affinity(candidates, affinity_key, lambda state: state.load(now))
        return self._spread(service, candidates, now)

    def choose_emptiest(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> InstanceState | None:
        """Return the incarnation with the most room, for the one node that places batch items.

        If there is no room, there is none elsewhere either.
        """
        candidates = self.usable(service, now, excluded)
        return min(candidates, key=lambda state: self._cost(state, now), default=None)

    def choose_by_exact_load(
        self,
        service: str,
        now: float,
        zone: str,
        items_at: Callable[[str], int],
        excluded: Collection[str] = (),
        affinity_key: str = "",
    ) -> InstanceState | None:
        """Return the incarnation for a request of another node, where every load is known.

        A free slot is taken first, then one that a batch item gives up, then the shortest queue.

        Args:
            service: whose back ends are asked.
            now: monotonic time in seconds.
            zone: of the node that sends the request.
            items_at: batch items at an incarnation that would make room.
            excluded: incarnations that the request was already sent to.
            affinity_key: names the shared prompt that decides where to go first; '' for none.
        """
        candidates = self.usable(service, now, excluded)
        if not candidates:
            return None

        def load_without_items(state: InstanceState) -> float:
            items = items_at(state.instance.instance_id)
            return state.load(now) - items / max(1, state.instance.slots)

        if affinity_key:
            return _by_affinity(candidates, affinity_key, load_without_items)

        def cost(state: InstanceState, load: float) -> float:
            other_zone = OTHER_ZONE_PENALTY if state.instance.zone != zone else 0.0
            return load + other_zone + state.unread_tokens(now) / TOKENS_A_FULL_LOAD

        free = [state for state in candidates if state.has_free_slot(now)]
        if free:
            return min(free, key=lambda state: cost(state, state.load(now)))
        with_items = [state for state in candidates if items_at(state.instance.instance_id)]
        if with_items:
            return min(with_items, key=lambda state: cost(state, load_without_items(state)))
        return min(candidates, key=lambda state: cost(state, state.load(now)))

    def free_slots(self, service: str, now: float) -> float:
        """Return how many slots of a service nobody has taken."""
        return sum(
            max(0.0, 1 - state.load(now)) * state.instance.slots
            for state in self.usable(service, now)
        )

    def usable(
        self, service: str, now: float, excluded: Collection[str] = ()
    ) -> list[InstanceState]:
        """Return the incarnations that a request may go to, those that seem to fail left out."""
        usable = [
            state
            for state in self.accepting(service, now)
            if state.instance.instance_id not in excluded
        ]
        candidates = [state for state in usable if not state.avoided(now)]
        if len(candidates) < len(usable) * LEAST_SHARE_LEFT:
            candidates = usable
        return candidates

    def sends_by_others(self, service: str, now: float) -> float:
        """Return how many requests other nodes have probably sent since the load picture."""
        age_s = min(MOST_PICTURE_AGE_S, now - self._others_at + report_period_s(self._nodes) / 2)
        return self._others_rates.get(service, 0.0) * age_s

    def rate_of_others(self, service: str) -> float:
        """Return how many requests a second other nodes send to a service."""
        return self._others_rates.get(service, 0.0)

    def own_rates(self, now: float) -> dict[str, float]:
        """Return this node's requests a second by service, for the load board."""
        return self._sends.rates(now)

    def sent(self, state: InstanceState, now: float, unread_tokens: int = 0) -> int:
        """Note a request sent; return its number for :meth:`answered` and :meth:`ended`."""
        self._next_use += 1
        self._sends.sent(state.instance.service, now)
        state.in_flight += 1
        state.waiting_since[self._next_use] = now
        if unread_tokens:
            state.unread[self._next_use] = unread_tokens
        return self._next_use

    def own_loads(self, now: float) -> list[NodeLoad]:
        """Return this node's requests by back end, for the load board."""
        loads = (_own_load(state, now) for state in self._states.values())
        return [load for load in loads if load.in_flight or load.bad > LEAST_COUNT]

    def others_reported(
        self,
        others: dict[str, NodeLoad],
        now: float,
        kept_s: float,
        rates: dict[str, float] | None = None,
        nodes: int = 1,
    ) -> None:
        """Take what the load board tells of all other nodes; it counts for a while.

        Parameters
        ----------
        others: sum of the others' requests by incarnation.
        rates: sum of the others' requests a second by service.
        nodes: how many nodes report.
        """
        self._others_rates = rates or {}
        self._others_at = now
        self._nodes = nodes
        for instance_id, state in self._states.items():
            state.others = others.get(instance_id)
            state.others_at = now
            state.others_until = now + kept_s

    def other_reported(self, load: NodeLoad, now: float, kept_s: float) -> None:
        """Take what the load board tells of all other nodes at one back end."""
        state = self._states.get(load.instance_id)
        if state is not None:
            state.others = load
            state.others_at = now
            state.others_until = now + kept_s

    def answered(self, state: InstanceState, use: int) -> None:
        """Note the first byte of an answer."""
        state.waiting_since.pop(use, None)
        state.unread.pop(use, None)
        state.failures = 0

    def turned_out(self, state: InstanceState, good: bool, now: float) -> None:
        """Note whether an answer was well, or failed on the back end's part."""
        state.outcomes.add(good, now)

    def reported(self, state: InstanceState, running: int, waiting: int, now: float) -> None:
        """Note the load that an answer told."""
        state.reported_load = running + waiting
        state.in_flight_at_report = state.in_flight
        state.reported_at = now

    def ended(self, state: InstanceState, use: int) -> None:
        """Note that a request is no longer at the back end."""
        state.in_flight -= 1
        state.waiting_since.pop(use, None)
        state.unread.pop(use, None)

    def failed(self, state: InstanceState, now: float) -> float:
        """Avoid an incarnation for a while, longer with each failure in a row; return how long."""
        seconds = min(AVOID_MOST_S, AVOID_FIRST_S * 2.0 ** min(state.failures, 8))
        state.failures += 1
        state.avoid_until = now + seconds
        return seconds

    def full(self, state: InstanceState, now: float) -> None:
        """Note that an incarnation turned a request away since it is full."""
        self.reported(state, state.instance.slots * 2, 0, now)

    def _spread(
        self, service: str, candidates: Sequence[InstanceState], now: float
    ) -> InstanceState:
        costs = [self._cost(state, now) for state in candidates]
        slots = [state.instance.slots for state in candidates]
        amount = max(LEAST_SPREAD, self.sends_by_others(service, now))
        level = fill_level(costs, slots, amount)
        return candidates[draw_below(costs, slots, level, self.random)]

    def _cost(self, state: InstanceState, now: float) -> float:
        other_zone = OTHER_ZONE_PENALTY if state.instance.zone != self.zone else 0.0
        unread = state.unread_tokens(now) / TOKENS_A_FULL_LOAD
        return state.load(now) + unread + other_zone


def _by_affinity(
    candidates: Iterable[InstanceState], key: str, load_of: Callable[[InstanceState], float]
) -> InstanceState:
    ranked = sorted(
        candidates,
        key=lambda state: xxhash.xxh64_intdigest((key + state.instance.instance_id).encode()),
    )
    loads = [load_of(state) for state in ranked]
    bound = max(AFFINITY_MOST_LOAD, min(loads) + AFFINITY_MOST_ABOVE_LEAST)
    return next(state for state, load in zip(ranked, loads, strict=True) if load < bound)


def _own_load(state: InstanceState, now: float) -> NodeLoad:
    good, bad = state.outcomes.counts(now)
    return NodeLoad(
        state.instance.instance_id,
        state.in_flight,
        sum(state.unread.values()),
        state.silent(now),
        good,
        bad,
    )
