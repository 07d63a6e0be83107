"""Choice core: which incarnation of a service's back ends a request goes to.

Slots are granted (:mod:`wharfcart.slots`); a node chooses by itself where nobody grants any. It
judges by what it sees itself: its own requests in flight, the load that answers tell, connections
that failed, answers that stay away; and by the last picture of the load that the granting nodes
told. Load is counted as the share of slots that are taken. Long shared prompts go where they were
read before, as long as that back end is not overloaded (rendezvous hashing with bounded load);
everything else goes to the least loaded, in the zone first.

Pure: time and randomness are handed in.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

import xxhash

from wharfcart.cluster.randomness import RandomSource
from wharfcart.cluster.topology import Distance
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.cold_backends import PERMIT_TTL_S, ColdBackends, ColdPeriod, LocalColdShares
from wharfcart.routing.eligibility import Eligibility, ExclusionReason
from wharfcart.routing.load_balancing import fill_level, pick_below
from wharfcart.routing.outcome_record import OutcomeRecord, counts_as_failing
from wharfcart.routing.send_rates import SendRates

MAX_REPORT_AGE_S = 1.5
MIN_AVOID_S = 0.5
MAX_AVOID_S = 4.0
# No byte of an answer after this time, and longer by what prompts there take to read, is silence.
FIRST_BYTE_TIMEOUT_S = 0.35
PREFILL_TOKENS_PER_SECOND = 40_000
OTHER_ZONE_PENALTY = 0.04
# A request to another region comes a round trip or two later, and its bytes cost most: it goes
# there only where the own region is full. The load there is hardly known here either.
OTHER_REGION_PENALTY = 1.0
DISTANCE_COSTS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: OTHER_ZONE_PENALTY,
    Distance.OTHER_REGION: OTHER_REGION_PENALTY,
}
# Entries of most of a service that vanish without a drain speak for an outage of discovery, in
# which they lapse although the back ends work on. Without other signs of one they count only as
# long as a back end that leaves unannounced still serves.
VANISHED_TTL_S = 1.5
VANISHED_TTL_IN_OUTAGE_S = 10.0
MIN_AFFINITY_TOKENS = 1000
AFFINITY_MAX_LOAD = 0.9
# Reading a long shared prompt anew costs more than waiting a little longer than elsewhere.
AFFINITY_MAX_LOAD_ABOVE_MIN = 0.35
# Where nobody else sends, only back ends that are equally empty are drawn from.
MIN_FILL_REQUESTS = 0.05
# When more than the rest seem to fail, it is something else that fails.
MIN_HEALTHY_SHARE = 0.2
# The picture of the load counts as no older than this, however old it is.
MAX_SNAPSHOT_AGE_S = 1.0
# A picture counts for so long after it came, as a rough guess at what others do.
SNAPSHOT_TTL_S = 3.0
# So many prompt tokens that wait to be read weigh as much as all slots taken.
UNREAD_TOKENS_PER_LOAD = 24_000


@dataclass
class InstanceState:
    """What this node knows of one incarnation.

    Parameters
    ----------
    waiting_since: for each request in flight without a byte of answer, when it was sent.
    unread: for each of these, the tokens of its prompt that are probably not cached.
    others_in_flight: what all other nodes had there by the last picture, taken ``others_at``.
    others_unread: tokens of their prompts that were not read yet.
    others_avoid: the node that grants its slots leaves it out.
    cold: what it told of being cold.
    """

    instance: BackendInstance
    in_flight: int = 0
    reported_load: int = 0
    in_flight_at_report: int = 0
    reported_at: float = -1e9
    avoid_until: float = -1e9
    failures: int = 0
    unanswered_since: dict[int, float] = field(default_factory=dict)
    unread_by_send: dict[int, int] = field(default_factory=dict)
    peers_in_flight: int = 0
    peers_unread_tokens: int = 0
    avoided_by_granter: bool = False
    snapshot_at: float = -1e9
    outcomes: OutcomeRecord = field(default_factory=OutcomeRecord)
    cold: ColdPeriod = field(default_factory=ColdPeriod)

    def load(self, now: float) -> float:
        """Return the estimated share of slots that are taken; above 1 requests wait."""
        taken = self.in_flight
        if self._is_snapshot_valid(now):
            taken += self.peers_in_flight
        elif now - self.reported_at < MAX_REPORT_AGE_S:
            taken = max(taken, self.reported_load + self.in_flight - self.in_flight_at_report)
        return taken / max(1, self.instance.slots)

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens that wait to be read there."""
        tokens = sum(self.unread_by_send.values())
        return tokens + self.peers_unread_tokens if self._is_snapshot_valid(now) else tokens

    def should_avoid(self, now: float) -> bool:
        """Whether failures or silence speak against this incarnation now."""
        if self.has_failed_recently(now) or self.is_unresponsive(now) or self.is_failing(now):
            return True
        return self.avoided_by_granter and self._is_snapshot_valid(now)

    def has_failed_recently(self, now: float) -> bool:
        """Whether this node itself could not reach the incarnation a moment ago."""
        return now < self.avoid_until

    def is_failing(self, now: float) -> bool:
        """Whether too many of its answers that this node knows of failed lately."""
        return counts_as_failing(*self.outcomes.counts(now))

    def is_unresponsive(self, now: float) -> bool:
        """Whether a request of this node waits too long for the first byte of its answer."""
        if not self.unanswered_since:
            return False
        patience_s = FIRST_BYTE_TIMEOUT_S + self.unread_tokens(now) / PREFILL_TOKENS_PER_SECOND
        return now - min(self.unanswered_since.values()) > patience_s

    def _is_snapshot_valid(self, now: float) -> bool:
        return now - self.snapshot_at < SNAPSHOT_TTL_S


@dataclass
class BackendSelector:
    """All incarnations that this node knows, by service.

    Attributes:
        cold: which of them are cold.
        own_cold_shares: at which of these this node has a share when it chooses by itself; None
            where it never does.
    """

    zone: str
    random: RandomSource
    eligibility: Eligibility = field(default_factory=Eligibility)
    cold: ColdBackends = field(default_factory=ColdBackends)
    local_cold_shares: LocalColdShares | None = None
    _states: dict[str, InstanceState] = field(default_factory=dict)
    _by_service: dict[str, dict[str, InstanceState]] = field(default_factory=dict)
    _vanished: dict[str, tuple[float, InstanceState]] = field(default_factory=dict)  # until when
    _last_send_id: int = 0
    _send_rates: SendRates = field(default_factory=SendRates)
    _fleet_rates: dict[str, float] = field(default_factory=dict)  # by service
    _fleet_rates_at: float = -1e9

    def put(self, instance: BackendInstance, now: float = 0.0, revision: int = 0) -> None:
        """Take what discovery tells of an incarnation.

        One that has started again under its id begins anew: what ran there, failed or was read
        belongs to its life before. News of an earlier life than the known one is dropped.

        Args:
            instance: what its entry tells.
            now: monotonic time in seconds; from here on it counts how long it is cold.
            revision: of the entry.
        """
        self._vanished.pop(instance.instance_id, None)
        state = self._states.get(instance.instance_id)
        if state is not None and state.instance.is_restart_of(instance):
            return
        if state is not None and instance.is_restart_of(state.instance):
            self._forget(state)
            state = None
        if state is None:
            state = InstanceState(instance)
            self._states[instance.instance_id] = state
        else:
            self._by_service.get(state.instance.service, {}).pop(instance.instance_id, None)
            if instance.started_at_ms is None:
                instance = replace(instance, started_at_ms=state.instance.started_at_ms)
            state.instance = instance
        self._by_service.setdefault(instance.service, {})[instance.instance_id] = state
        self.cold.report_received(state.cold, instance.cold_for_s, now, revision)

    def remove(
        self, instance_id: str, now: float, in_outage: bool = False, drained: bool = False
    ) -> None:
        """Take an incarnation off the list that discovery no longer tells.

        Parameters
        ----------
        in_outage: discovery itself could not be reached a moment ago.
        drained: it had said that it leaves, even if this node did not hear of that.
        """
        state = self._states.get(instance_id)
        if state is None:
            return
        self._forget(state)
        if state.instance.accepting and not drained:
            kept_s = VANISHED_TTL_IN_OUTAGE_S if in_outage else VANISHED_TTL_S
            self._vanished[instance_id] = (now + kept_s, state)

    def _forget(self, state: InstanceState) -> None:
        instance_id = state.instance.instance_id
        del self._states[instance_id]
        self._by_service.get(state.instance.service, {}).pop(instance_id, None)
        if self.local_cold_shares is not None:
            self.local_cold_shares.discard(instance_id)

    def state(self, instance_id: str) -> InstanceState | None:
        """Return what is known of an incarnation."""
        return self._states.get(instance_id)

    def states(self) -> Collection[InstanceState]:
        """Return all incarnations that discovery tells of."""
        return self._states.values()

    def accepting_instances(
        self, service: str, now: float, residence: Residence = ANYWHERE
    ) -> list[InstanceState]:
        """Return the incarnations of a service that take new requests of a residence.

        When more have vanished than are left, those count, too: each send names the incarnation
        that it means, so that nothing else runs it.
        """
        states = self._by_service.get(service, {}).values()
        listed = [state for state in states if not self.exclusion_reason(state, residence)]
        vanished = [
            state
            for state in self._vanished_of(service, now)
            if not self.exclusion_reason(state, residence)
        ]
        return listed + vanished if len(vanished) > len(listed) else listed

    def exclusion_reason(
        self, state: InstanceState, residence: Residence = ANYWHERE
    ) -> ExclusionReason | None:
        """Return why a request does not go to an incarnation, or None if it may."""
        return self.eligibility.exclusion_reason(state.instance, residence)

    def exclusion_before_send(
        self,
        state: InstanceState,
        placed_at: float,
        now: float,
        residence: Residence = ANYWHERE,
    ) -> ExclusionReason | None:
        """Return why a request does not leave now that its connection is up; None if it does.

        Args:
            state: where it was placed.
            placed_at: monotonic time of that: a connection may have taken a while.
            now: monotonic time in seconds.
            residence: of the request.
        """
        ruled_out = self.exclusion_reason(state, residence)
        if ruled_out is None and now - placed_at > PERMIT_TTL_S and self.is_cold(state, now):
            return ExclusionReason.COLD
        return ruled_out

    def is_cold(self, state: InstanceState, now: float) -> bool:
        """Whether an incarnation counts as cold."""
        instance = state.instance
        return self.cold.is_cold(instance.service, instance.zone, state.cold, now)

    def cold_limit(self, service: str) -> ColdLimit | None:
        """Return what a cold back end of a service bears; None where that is no less than usual."""
        return self.cold.limits.get(service)

    def cold_instances(self, now: float) -> list[InstanceState]:
        """Return the incarnations that count as cold."""
        if not self.cold.may_have_cold(now):
            return []
        return [state for state in self._states.values() if self.is_cold(state, now)]

    def in_flight_in_zone(self, zone: str) -> int:
        """Return how many of this node's requests run at back ends of a zone."""
        vanished = (state for _, state in self._vanished.values())
        return sum(
            state.in_flight
            for state in (*self._states.values(), *vanished)
            if state.instance.zone == zone
        )

    def is_fully_evacuated(self, service: str) -> bool:
        """Whether a service has back ends, and the operator asks that nothing goes to any."""
        states = self._by_service.get(service, {}).values()
        reasons = {self.exclusion_reason(state) for state in states} - {ExclusionReason.DRAINING}
        return reasons == {ExclusionReason.EVACUATED}

    def _vanished_of(self, service: str, now: float) -> list[InstanceState]:
        old = [key for key, (until, _) in self._vanished.items() if now > until]
        for key in old:
            del self._vanished[key]
        return [state for _, state in self._vanished.values() if state.instance.service == service]

    def select(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
        affinity_key: str = "",
        residence: Residence = ANYWHERE,
    ) -> InstanceState | None:
        """Return the incarnation to ask, or None where there is none.

        Parameters
        ----------
        excluded: incarnations that this request was already sent to.
        affinity_key: names the shared prompt that decides where to go first; '' for none.
        residence: where the request's data may be.
        """
        candidates = self.usable_instances(service, now, excluded, residence=residence)
        candidates = self._prefer_warm(candidates, now)
        if not candidates:
            return None
        chosen = self._select_from(service, candidates, affinity_key, now)
        if self.local_cold_shares is not None and self.is_cold(chosen, now):
            self.local_cold_shares.spend(chosen.instance.instance_id)
        return chosen

    def _prefer_warm(self, candidates: list[InstanceState], now: float) -> list[InstanceState]:
        """Return back ends that are warm; cold ones where these are full, within this node's share.

        Empty if all are cold and this node has no share left.
        """
        if not self.cold.may_have_cold(now):
            return candidates
        warm = [state for state in candidates if not self.is_cold(state, now)]
        if any(state.load(now) < 1.0 for state in warm):
            return warm
        return [state for state in candidates if self._may_select_cold(state, now)] or warm

    def _may_select_cold(self, state: InstanceState, now: float) -> bool:
        limit = self.cold_limit(state.instance.service)
        shares = self.local_cold_shares
        if limit is None or shares is None or not self.is_cold(state, now):
            return False
        return shares.allows(state.instance.instance_id, limit, now)

    def _select_from(
        self, service: str, candidates: list[InstanceState], affinity_key: str, now: float
    ) -> InstanceState:
        if affinity_key:
            return select_by_affinity(candidates, affinity_key, lambda state: state.load(now))
        return self._select_balanced(service, candidates, now)

    def usable_instances(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
        is_candidate: Callable[[BackendInstance], bool] = lambda _instance: True,
        is_unresponsive: Callable[[str], bool] = lambda _instance_id: False,
        residence: Residence = ANYWHERE,
    ) -> list[InstanceState]:
        """Return the incarnations that a request may go to, those that seem to fail left out.

        Args:
            service: whose back ends are asked.
            now: monotonic time in seconds.
            excluded: incarnations that the request was already sent to.
            among: whether a back end is asked for at all.
            silent: whether an incarnation is known to be silent beyond what this core knows.
            residence: where the request's data may be.
        """
        usable = [
            state
            for state in self.accepting_instances(service, now, residence)
            if state.instance.instance_id not in excluded and is_candidate(state.instance)
        ]
        candidates = [
            state
            for state in usable
            if not state.should_avoid(now) and not is_unresponsive(state.instance.instance_id)
        ]
        if len(candidates) < len(usable) * MIN_HEALTHY_SHARE:
            candidates = usable
        return candidates

    def estimated_peer_sends(self, service: str, now: float) -> float:
        """Return how many requests other nodes have probably sent since the load picture."""
        age_s = min(MAX_SNAPSHOT_AGE_S, now - self._fleet_rates_at)
        by_others = self._fleet_rates.get(service, 0.0) - self._send_rates.rate(service, now)
        return max(0.0, by_others) * age_s

    def record_sent(self, state: InstanceState, now: float, unread_tokens: int = 0) -> int:
        """Note a request sent; return its number for :meth:`answered` and :meth:`ended`."""
        self._last_send_id += 1
        self._send_rates.record(state.instance.service, now)
        state.in_flight += 1
        state.unanswered_since[self._last_send_id] = now
        if unread_tokens:
            state.unread_by_send[self._last_send_id] = unread_tokens
        return self._last_send_id

    def unresponsive_instances(self, now: float) -> set[str]:
        """Return the incarnations that keep a request of this node waiting too long."""
        return {key for key, state in self._states.items() if state.is_unresponsive(now)}

    def load_received(
        self, instance_id: str, in_use: int, unread_tokens: int, avoided: bool, now: float
    ) -> None:
        """Take what a granting node tells of one back end.

        Args:
            instance_id: of the back end.
            in_use: slots that are taken there, this node's own included.
            unread_tokens: of prompts that wait to be read there, this node's own included.
            avoid: that node leaves it out.
            now: monotonic time in seconds.
        """
        state = self._states.get(instance_id)
        if state is None:
            return
        state.peers_in_flight = max(0, in_use - state.in_flight)
        state.peers_unread_tokens = max(0, unread_tokens - sum(state.unread_by_send.values()))
        state.avoided_by_granter = avoided
        state.snapshot_at = now

    def rates_received(self, sends_per_s: Mapping[str, float], now: float) -> None:
        """Take how many requests a second the whole fleet sends, by service."""
        self._fleet_rates = dict(sends_per_s)
        self._fleet_rates_at = now

    def record_first_byte(self, state: InstanceState, send_id: int) -> None:
        """Note the first byte of an answer."""
        state.unanswered_since.pop(send_id, None)
        state.unread_by_send.pop(send_id, None)
        state.failures = 0

    def record_outcome(self, state: InstanceState, succeeded: bool, now: float) -> None:
        """Note whether an answer was well, or failed on the back end's part."""
        state.outcomes.add(succeeded, now)

    def record_reported_load(
        self, state: InstanceState, running: int, waiting: int, now: float
    ) -> None:
        """Note the load that an answer told."""
        state.reported_load = running + waiting
        state.in_flight_at_report = state.in_flight
        state.reported_at = now

    def record_finished(self, state: InstanceState, send_id: int) -> None:
        """Note that a request is no longer at the back end."""
        state.in_flight -= 1
        state.unanswered_since.pop(send_id, None)
        state.unread_by_send.pop(send_id, None)

    def record_failure(self, state: InstanceState, now: float) -> float:
        """Avoid an incarnation for a while, longer with each failure in a row; return how long."""
        seconds = min(MAX_AVOID_S, MIN_AVOID_S * 2.0 ** min(state.failures, 8))
        state.failures += 1
        state.avoid_until = now + seconds
        return seconds

    def record_full(self, state: InstanceState, now: float) -> None:
        """Note that an incarnation turned a request away since it is full."""
        self.record_reported_load(state, state.instance.slots * 2, 0, now)

    def _select_balanced(
        self, service: str, candidates: Sequence[InstanceState], now: float
    ) -> InstanceState:
        costs = [self._cost(state, now) for state in candidates]
        slots = [state.instance.slots for state in candidates]
        amount = max(MIN_FILL_REQUESTS, self.estimated_peer_sends(service, now))
        level = fill_level(costs, slots, amount)
        return candidates[pick_below(costs, slots, level, self.random)]

    def _cost(self, state: InstanceState, now: float) -> float:
        unread = state.unread_tokens(now) / UNREAD_TOKENS_PER_LOAD
        return state.load(now) + unread + self.distance_cost(state.instance.zone, self.zone)

    def distance_cost(self, zone: str, other: str) -> float:
        """Return what the distance of two zones costs, as a share of a back end's slots."""
        return DISTANCE_COSTS[self.eligibility.topology.distance(zone, other)]


def select_by_affinity(
    candidates: Iterable[InstanceState], key: str, load_of: Callable[[InstanceState], float]
) -> InstanceState:
    """Return where a shared prompt goes: to the same back end unless that one is overloaded.

    Args:
        candidates: back ends that may take it.
        key: names the prompt.
        load_of: share of a back end's slots that is taken.
    """
    ranked = sorted(
        candidates,
        key=lambda state: xxhash.xxh64_intdigest((key + state.instance.instance_id).encode()),
    )
    loads = [load_of(state) for state in ranked]
    bound = max(AFFINITY_MAX_LOAD, min(loads) + AFFINITY_MAX_LOAD_ABOVE_MIN)
    return next(state for state, load in zip(ranked, loads, strict=True) if load < bound)
