"""Selection of the back-end instance that a request goes to.

Granting nodes grant slots (:mod:`wharfcart.slots`); a node selects an instance itself where no
granting node is reachable. It uses its own observations (requests in flight, load reported in
answers, failed connections, missing answers) and the last load snapshot of the granting nodes. Load
is the share of slots in use. Requests with a long shared prompt go to the instance that has read
the prompt before, unless that one is overloaded (rendezvous hashing with bounded load). All other
requests go to the least loaded instances, in the node's own zone first.

This module does no I/O; callers pass in the time in seconds and the source of randomness.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

import xxhash

from wharfcart.cluster.randomness import RandomSource
from wharfcart.cluster.topology import Distance
from wharfcart.configuration.instances import BackendInstance, BackendSoftware, SoftwareVersion
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.configuration.serving import ColdLimit
from wharfcart.routing.cold_backends import PERMIT_TTL_S, ColdBackends, ColdPeriod, LocalColdShares
from wharfcart.routing.eligibility import Eligibility, ExclusionReason
from wharfcart.routing.load_balancing import fill_level, pick_below
from wharfcart.routing.outcome_record import OutcomeRecord, counts_as_failing
from wharfcart.routing.send_rates import SendRates
from wharfcart.routing.version_history import KnownVersions, VersionHistory

MAX_REPORT_AGE_S = 1.5
MIN_AVOID_S = 0.5
MAX_AVOID_S = 4.0
# Timeout of the first byte, to which the prefill time of queued prompts is added.
FIRST_BYTE_TIMEOUT_S = 0.35
PREFILL_TOKENS_PER_SECOND = 40_000
OTHER_ZONE_PENALTY = 0.04
# As much as a full back end: requests leave their region only if it is full. Elsewhere they start a
# round trip or two later, their traffic costs most, and the load there is hardly known.
OTHER_REGION_PENALTY = 1.0
DISTANCE_COSTS = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: OTHER_ZONE_PENALTY,
    Distance.OTHER_REGION: OTHER_REGION_PENALTY,
}
# An instance whose entry vanishes without a drain may still serve for this long.
VANISHED_TTL_S = 1.5
# During an outage of discovery, entries lapse although their instances still serve.
VANISHED_TTL_IN_OUTAGE_S = 10.0
MIN_AFFINITY_TOKENS = 1000
AFFINITY_MAX_LOAD = 0.9
# Prefill of a long shared prompt elsewhere costs more than some waiting.
AFFINITY_MAX_LOAD_ABOVE_MIN = 0.35
# Without other senders, only the instances with the least load are candidates.
MIN_FILL_REQUESTS = 0.05
# If fewer instances look healthy, the cause is elsewhere, and none is avoided.
MIN_HEALTHY_SHARE = 0.2
# Upper bound of the snapshot age in the estimate of peer sends.
MAX_SNAPSHOT_AGE_S = 1.0
# Older snapshots are ignored.
SNAPSHOT_TTL_S = 3.0
# Unread prompt tokens that count like a back end with all slots in use.
UNREAD_TOKENS_PER_LOAD = 24_000


@dataclass
class InstanceState:
    """State of one instance as this node knows it.

    Attributes:
        instance: the instance's entry in discovery.
        in_flight: requests of this node in flight.
        reported_load: running and waiting requests, as an answer reported them last.
        in_flight_at_report: requests of this node in flight at that time.
        reported_at: time of that answer.
        avoid_until: end of the back-off after a failure.
        failures: consecutive failures.
        unanswered_since: send time of each request without a first byte, by send id.
        unread_by_send: uncached prompt tokens of each of these requests, by send id.
        peers_in_flight: requests of other nodes in flight, in the last snapshot.
        peers_unread_tokens: unread prompt tokens of these requests.
        avoided_by_granter: whether the granting node avoids the instance.
        snapshot_at: time at which the snapshot was received.
        outcomes: recent outcomes known to this node; to a granting node, also those of its holders.
        cold: until when the instance is cold, as it reported.
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
        """Return the estimated share of slots in use; above 1, requests wait."""
        taken = self.in_flight
        if self._is_snapshot_valid(now):
            taken += self.peers_in_flight
        elif now - self.reported_at < MAX_REPORT_AGE_S:
            taken = max(taken, self.reported_load + self.in_flight - self.in_flight_at_report)
        return taken / max(1, self.instance.slots)

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens that wait for prefill."""
        tokens = sum(self.unread_by_send.values())
        return tokens + self.peers_unread_tokens if self._is_snapshot_valid(now) else tokens

    def should_avoid(self, now: float) -> bool:
        """Whether to avoid the instance: it fails, is unresponsive or is avoided by its granter."""
        if self.has_failed_recently(now) or self.is_unresponsive(now) or self.is_failing(now):
            return True
        return self.avoided_by_granter and self._is_snapshot_valid(now)

    def has_failed_recently(self, now: float) -> bool:
        """Whether the instance is in back-off after a failure seen by this node."""
        return now < self.avoid_until

    def is_failing(self, now: float) -> bool:
        """Whether too many of the recent outcomes known to this node are failures."""
        return counts_as_failing(*self.outcomes.counts(now))

    def is_unresponsive(self, now: float) -> bool:
        """Whether a request of this node has waited too long for the first byte."""
        if not self.unanswered_since:
            return False
        timeout_s = FIRST_BYTE_TIMEOUT_S + self.unread_tokens(now) / PREFILL_TOKENS_PER_SECOND
        return now - min(self.unanswered_since.values()) > timeout_s

    def _is_snapshot_valid(self, now: float) -> bool:
        return now - self.snapshot_at < SNAPSHOT_TTL_S


@dataclass
class BackendSelector:
    """Selects instances among all that this node knows.

    Attributes:
        zone: zone of this node.
        random: source of randomness.
        eligibility: rules that exclude instances.
        cold: cold instances.
        local_cold_shares: shares of cold instances for local choices; None if this node never
            selects cold instances itself.
    """

    zone: str
    random: RandomSource
    eligibility: Eligibility = field(default_factory=Eligibility)
    cold: ColdBackends = field(default_factory=ColdBackends)
    local_cold_shares: LocalColdShares | None = None
    _states: dict[str, InstanceState] = field(default_factory=dict)
    _by_service: dict[str, dict[str, InstanceState]] = field(default_factory=dict)
    _vanished: dict[str, tuple[float, InstanceState]] = field(default_factory=dict)  # with expiry
    _last_send_id: int = 0
    _send_rates: SendRates = field(default_factory=SendRates)
    _fleet_rates: dict[str, float] = field(default_factory=dict)  # by service
    _fleet_rates_at: float = -1e9
    _version_history: VersionHistory = field(default_factory=VersionHistory)

    def put(self, instance: BackendInstance, now: float = 0.0, revision: int = 0) -> None:
        """Add or update an instance from its entry in discovery.

        The state of an instance that restarted under its id is reset. Entries from before the known
        start are ignored.

        Args:
            instance: the entry.
            now: monotonic time in seconds, at which a reported cold period starts.
            revision: revision of the entry.
        """
        self._vanished.pop(instance.instance_id, None)
        state = self._states.get(instance.instance_id)
        if state is not None and state.instance.is_restart_of(instance):
            return
        if state is not None and instance.is_restart_of(state.instance):
            self._forget(state, now)
            state = None
        if state is None:
            state = InstanceState(instance)
            self._states[instance.instance_id] = state
            self._version_history.backend_listed(instance.software, now)
        else:
            self._by_service.get(state.instance.service, {}).pop(instance.instance_id, None)
            if instance.started_at_ms is None:
                instance = replace(instance, started_at_ms=state.instance.started_at_ms)
            if instance.software != state.instance.software:
                self._version_history.backend_removed(state.instance.software, now)
                self._version_history.backend_listed(instance.software, now)
            state.instance = instance
        self._by_service.setdefault(instance.service, {})[instance.instance_id] = state
        self.cold.report_received(state.cold, instance.cold_for_s, now, revision)

    def remove(
        self, instance_id: str, now: float, in_outage: bool = False, drained: bool = False
    ) -> None:
        """Remove an instance whose entry was removed from discovery.

        Args:
            instance_id: id of the instance.
            now: monotonic time in seconds.
            in_outage: whether discovery was unreachable recently.
            drained: whether the instance announced a drain, even if this node has not seen it.
        """
        state = self._states.get(instance_id)
        if state is None:
            return
        self._forget(state, now)
        if state.instance.accepting and not drained:
            ttl_s = VANISHED_TTL_IN_OUTAGE_S if in_outage else VANISHED_TTL_S
            self._vanished[instance_id] = (now + ttl_s, state)

    def _forget(self, state: InstanceState, now: float) -> None:
        instance_id = state.instance.instance_id
        self._version_history.backend_removed(state.instance.software, now)
        del self._states[instance_id]
        self._by_service.get(state.instance.service, {}).pop(instance_id, None)
        if self.local_cold_shares is not None:
            self.local_cold_shares.discard(instance_id)

    def state(self, instance_id: str) -> InstanceState | None:
        """Return the state of an instance, or None if it is unknown."""
        return self._states.get(instance_id)

    def states(self) -> Collection[InstanceState]:
        """Return the states of all instances in discovery."""
        return self._states.values()

    def known_versions(self, service: str, now: float) -> KnownVersions:
        """Return the software versions of a service that this node has seen recently."""
        return self._version_history.known_versions(service, now)

    @property
    def software_changes(self) -> int:
        """How often the first back end of a version was listed or the last one removed."""
        return self._version_history.changes

    def recent_software(self, now: float) -> frozenset[BackendSoftware]:
        """Return the software of all back ends that this node has seen recently."""
        return self._version_history.recent(now)

    def remember_software(self, software: BackendSoftware, now: float) -> None:
        """Record software that this node had seen before it restarted."""
        self._version_history.remember(software, now)

    def listed_software(self) -> frozenset[BackendSoftware]:
        """Return the software of all back ends in discovery."""
        return self._version_history.listed()

    def apply_version_record(
        self, service: str, versions: Collection[SoftwareVersion], now: float
    ) -> None:
        """Record which versions of a service the fleet has seen recently."""
        self._version_history.apply_record(service, versions, now)

    def has_several_versions(self, service: str, now: float) -> bool:
        """Whether streams of a service may have been begun by several software versions."""
        return self._version_history.has_several_versions(service, now)

    def accepting_instances(
        self,
        service: str,
        now: float,
        residence: Residence = ANYWHERE,
        version: SoftwareVersion | None = None,
    ) -> list[InstanceState]:
        """Return the instances of a service that accept new requests of a residence.

        If more instances have vanished than are left, the vanished ones are included. That is safe:
        each request names the instance it is meant for, so no other process runs it.

        Args:
            service: name of the service.
            now: monotonic time in seconds.
            residence: regions in which the request's data may be processed.
            version: software version that began its answer; None for a new answer.
        """
        states = self._by_service.get(service, {}).values()
        listed = [state for state in states if not self.exclusion_reason(state, residence)]
        vanished = [
            state
            for state in self._vanished_of(service, now)
            if not self.exclusion_reason(state, residence)
        ]
        accepting = listed + vanished if len(vanished) > len(listed) else listed
        if version is None:
            return accepting
        return [state for state in accepting if state.instance.version == version]

    def exclusion_reason(
        self,
        state: InstanceState,
        residence: Residence = ANYWHERE,
        version: SoftwareVersion | None = None,
    ) -> ExclusionReason | None:
        """Return why an instance is excluded for a request, or None if it is eligible."""
        return self.eligibility.exclusion_reason(state.instance, residence, version)

    def exclusion_before_send(
        self,
        state: InstanceState,
        placed_at: float,
        now: float,
        residence: Residence = ANYWHERE,
        version: SoftwareVersion | None = None,
    ) -> ExclusionReason | None:
        """Return why a placed request must not be sent, or None if it may.

        Checked once the connection is up, since connecting may take a while.

        Args:
            state: the selected instance.
            placed_at: monotonic time in seconds at which the request was placed.
            now: monotonic time in seconds.
            residence: residence of the request.
            version: software version that began its answer; None for a new answer.
        """
        reason = self.exclusion_reason(state, residence, version)
        if reason is None and now - placed_at > PERMIT_TTL_S and self.is_cold(state, now):
            return ExclusionReason.COLD
        return reason

    def is_cold(self, state: InstanceState, now: float) -> bool:
        """Whether an instance counts as cold."""
        instance = state.instance
        return self.cold.is_cold(instance.service, instance.zone, state.cold, now)

    def cold_limit(self, service: str) -> ColdLimit | None:
        """Return the limit of a service's cold back ends, or None if cold ones have no limit."""
        return self.cold.limits.get(service)

    def cold_instances(self, now: float) -> list[InstanceState]:
        """Return the instances that count as cold."""
        if not self.cold.may_have_cold(now):
            return []
        return [state for state in self._states.values() if self.is_cold(state, now)]

    def in_flight_in_zone(self, zone: str) -> int:
        """Return the number of this node's requests in flight at instances in a zone."""
        vanished = (state for _, state in self._vanished.values())
        return sum(
            state.in_flight
            for state in (*self._states.values(), *vanished)
            if state.instance.zone == zone
        )

    def is_fully_evacuated(self, service: str) -> bool:
        """Whether a service has instances, and all that do not drain are in evacuated zones."""
        states = self._by_service.get(service, {}).values()
        reasons = {self.exclusion_reason(state) for state in states} - {ExclusionReason.DRAINING}
        return reasons == {ExclusionReason.EVACUATED}

    def _vanished_of(self, service: str, now: float) -> list[InstanceState]:
        expired = [
            instance_id
            for instance_id, (expires_at, _) in self._vanished.items()
            if now > expires_at
        ]
        for instance_id in expired:
            del self._vanished[instance_id]
        return [state for _, state in self._vanished.values() if state.instance.service == service]

    def select(
        self,
        service: str,
        now: float,
        excluded: Collection[str] = (),
        affinity_key: str = "",
        residence: Residence = ANYWHERE,
        version: SoftwareVersion | None = None,
    ) -> InstanceState | None:
        """Return the instance to send a request to, or None if there is none.

        Args:
            service: name of the service.
            now: monotonic time in seconds.
            excluded: ids of instances that the request was already sent to.
            affinity_key: key of the long shared prompt, '' if there is none.
            residence: regions in which the request's data may be processed.
            version: software version that began its answer; None for a new answer.
        """
        candidates = self.usable_instances(
            service, now, excluded, residence=residence, version=version
        )
        candidates = self._prefer_warm(candidates, now)
        if not candidates:
            return None
        selected = self._select_from(service, candidates, affinity_key, now)
        if self.local_cold_shares is not None and self.is_cold(selected, now):
            self.local_cold_shares.spend(selected.instance.instance_id)
        return selected

    def _prefer_warm(self, candidates: list[InstanceState], now: float) -> list[InstanceState]:
        """Return the warm candidates, or the cold ones with a share left if all warm ones are full.

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
        version: SoftwareVersion | None = None,
    ) -> list[InstanceState]:
        """Return the instances that a request may go to, without those to avoid.

        Args:
            service: name of the service.
            now: monotonic time in seconds.
            excluded: ids of instances that the request was already sent to.
            is_candidate: whether an instance is considered at all.
            is_unresponsive: whether an instance is known to be unresponsive from other sources.
            residence: regions in which the request's data may be processed.
            version: software version that began its answer; None for a new answer.
        """
        usable = [
            state
            for state in self.accepting_instances(service, now, residence, version)
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
        """Return the estimated number of requests that other nodes sent since the snapshot."""
        age_s = min(MAX_SNAPSHOT_AGE_S, now - self._fleet_rates_at)
        peer_rate = self._fleet_rates.get(service, 0.0) - self._send_rates.rate(service, now)
        return max(0.0, peer_rate) * age_s

    def record_sent(self, state: InstanceState, now: float, unread_tokens: int = 0) -> int:
        """Record a send and return its id, which later calls for the same send pass in."""
        self._last_send_id += 1
        self._send_rates.record(state.instance.service, now)
        state.in_flight += 1
        state.unanswered_since[self._last_send_id] = now
        if unread_tokens:
            state.unread_by_send[self._last_send_id] = unread_tokens
        return self._last_send_id

    def unresponsive_instances(self, now: float) -> set[str]:
        """Return the ids of instances at which a request of this node waits too long."""
        return {
            instance_id for instance_id, state in self._states.items() if state.is_unresponsive(now)
        }

    def load_received(
        self, instance_id: str, in_use: int, unread_tokens: int, avoided: bool, now: float
    ) -> None:
        """Apply the load of one instance from the snapshot of a granting node.

        Args:
            instance_id: id of the instance.
            in_use: slots in use, including this node's own.
            unread_tokens: prompt tokens that wait for prefill, including this node's own.
            avoided: whether the granting node avoids the instance.
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
        """Apply the request rates of the whole fleet, per second and by service."""
        self._fleet_rates = dict(sends_per_s)
        self._fleet_rates_at = now

    def record_first_byte(self, state: InstanceState, send_id: int) -> None:
        """Record the first byte of an answer."""
        state.unanswered_since.pop(send_id, None)
        state.unread_by_send.pop(send_id, None)
        state.failures = 0

    def record_outcome(self, state: InstanceState, succeeded: bool, now: float) -> None:
        """Record whether a request succeeded or the back end failed."""
        state.outcomes.add(succeeded, now)

    def record_reported_load(
        self, state: InstanceState, running: int, waiting: int, now: float
    ) -> None:
        """Record the load reported in an answer."""
        state.reported_load = running + waiting
        state.in_flight_at_report = state.in_flight
        state.reported_at = now

    def record_finished(self, state: InstanceState, send_id: int) -> None:
        """Record that a request is no longer in flight."""
        state.in_flight -= 1
        state.unanswered_since.pop(send_id, None)
        state.unread_by_send.pop(send_id, None)

    def record_failure(self, state: InstanceState, now: float) -> float:
        """Avoid an instance with exponential back-off; return the back-off in seconds."""
        avoid_s = min(MAX_AVOID_S, MIN_AVOID_S * 2.0 ** min(state.failures, 8))
        state.failures += 1
        state.avoid_until = now + avoid_s
        return avoid_s

    def record_full(self, state: InstanceState, now: float) -> None:
        """Record that an instance refused a request because it is full."""
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
        """Return the cost of the distance of two zones, as a share of a back end's slots."""
        return DISTANCE_COSTS[self.eligibility.topology.distance(zone, other)]


def select_by_affinity(
    candidates: Iterable[InstanceState], key: str, load_of: Callable[[InstanceState], float]
) -> InstanceState:
    """Return the instance for a shared prompt: always the same one unless it is overloaded.

    Args:
        candidates: eligible instances.
        key: key of the shared prompt.
        load_of: returns the share of an instance's slots in use.
    """
    ranked = sorted(
        candidates,
        key=lambda state: xxhash.xxh64_intdigest((key + state.instance.instance_id).encode()),
    )
    loads = [load_of(state) for state in ranked]
    bound = max(AFFINITY_MAX_LOAD, min(loads) + AFFINITY_MAX_LOAD_ABOVE_MIN)
    return next(state for state, load in zip(ranked, loads, strict=True) if load < bound)
