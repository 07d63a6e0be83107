"""Quarantine of poison requests: requests that crash the back ends that run them.

A poison request crashes every back end that runs it, and with it all other requests there. Callers
retry it at any gateway, and gateways retry it themselves, so evidence is kept by request
fingerprint, across attempts, nodes and restarts. Other requests also run at a back end when it
crashes, so one crash is weak evidence against each of them. The others are answered elsewhere,
which clears their evidence; the poison request never is. A crash that a suspected poison request
explains is no evidence against requests that had begun to be answered there.

This module does no I/O. Times are wall-clock seconds, since nodes share the evidence.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from wharfcart.admission.crashing_parts import CrashingParts
from wharfcart.admission.prompt_parts import PromptPartKey
from wharfcart.admission.request_fingerprint import RequestFingerprint

# Cause of a refusal in the decision log.
POISON_CAUSE = "suspected"
# Weight of a crash before the first byte of the answer, as a poison request causes it. In the logs
# of an incident this held for all 13 requests that crashed a back end, and for 4 of 90 bystanders.
UNANSWERED_WEIGHT = 1.0
# Weight of a crash after the answer had begun, as bystanders see it.
PARTIAL_ANSWER_WEIGHT = 0.5
# A run whose answer had begun counts only if the crash came within this time after the send: a
# poison request crashes its back end soon after it starts there, longer runs are bystanders.
MAX_EARLY_CRASH_S = 1.0
# Requests are quarantined from this weight: two crashes before the first byte.
QUARANTINE_WEIGHT = 2.0
# Longer than a back end needs to restart and a crash of another cause to pass; grows by the factor
# per further unanswered crash.
FIRST_QUARANTINE_S = 30.0
QUARANTINE_GROWTH = 20.0
# From this weight the quarantine lasts until the evidence expires.
MAX_QUARANTINE_WEIGHT = 4.0
# Nodes release a fingerprint at random times within this span, so that later ones see the outcome,
# which takes some tenths of a second to reach them.
RELEASE_JITTER_S = 3.0
# Longer than nodes differ in detecting one crash, at most 0.35 s; shorter than a restart under the
# same id, which took 3.1 s in an incident and 0.6 s in the fault soak.
SAME_CRASH_S = 0.5
# Separates instance id and time (in ms) in the key of every crash of an id but the first.
CRASH_KEY_SEPARATOR = "#"
# Evidence is kept as long as the longest quarantine.
EVIDENCE_TTL_S = 600.0
# More requests than this are never suspected with good reason; the oldest are evicted beyond it.
MAX_FINGERPRINTS = 1024


@dataclass(frozen=True, slots=True)
class BackendCrash:
    """A crash of a back end while it ran a request.

    Attributes:
        at: time of the crash in wall-clock seconds.
        weight: weight of the evidence against the request.
    """

    at: float
    weight: float


@dataclass(frozen=True)
class PoisonEvidence:
    """The crashes during which one request ran, since its last answer.

    Attributes:
        crashes_by_key: crashes by key. The key of the first crash of an instance id is the id; the
            key of a later one, after a restart under the same id, is the id with the crash time.
    """

    crashes_by_key: Mapping[str, BackendCrash] = field(default_factory=dict)

    def merged(self, other: "PoisonEvidence") -> "PoisonEvidence":
        """Return the union of both; a crash that both contain counts once."""
        if not other.crashes_by_key:
            return self
        crashes = (*self.crashes_by_key.items(), *other.crashes_by_key.items())
        return PoisonEvidence(
            _merge_observations((_instance_id_of(key), crash) for key, crash in crashes)
        )

    def covers(self, other: "PoisonEvidence") -> bool:
        """Whether this contains every crash of the other evidence."""
        return all(
            any(
                _instance_id_of(own_key) == _instance_id_of(key)
                and abs(own.at - crash.at) <= SAME_CRASH_S
                for own_key, own in self.crashes_by_key.items()
            )
            for key, crash in other.crashes_by_key.items()
        )

    def total_weight(self) -> float:
        """Return the sum of the weights of all crashes."""
        return sum(crash.weight for crash in self.crashes_by_key.values())

    def unanswered(self) -> "PoisonEvidence":
        """Return the crashes before the first byte of an answer."""
        return PoisonEvidence(
            {
                key: crash
                for key, crash in self.crashes_by_key.items()
                if crash.weight >= UNANSWERED_WEIGHT
            }
        )

    def without_explained(self, suspects: Iterable["PoisonEvidence"]) -> "PoisonEvidence":
        """Return the crashes that no other request explains.

        A run whose answer had begun is weak evidence: a suspect whose run at the same crash had no
        answer explains the crash instead.

        Args:
            suspects: unanswered crashes of each request that is suspected by these alone.
        """
        crash_times: dict[str, list[float]] = {}
        for suspect in suspects:
            for key, crash in suspect.crashes_by_key.items():
                crash_times.setdefault(_instance_id_of(key), []).append(crash.at)
        return PoisonEvidence(
            {
                key: crash
                for key, crash in self.crashes_by_key.items()
                if crash.weight >= UNANSWERED_WEIGHT
                or not any(
                    abs(at - crash.at) <= SAME_CRASH_S
                    for at in crash_times.get(_instance_id_of(key), ())
                )
            }
        )

    def without_crashes_of(self, parts: CrashingParts, now: float) -> "PoisonEvidence":
        """Return the crashes that no suspected parts of prompts explain.

        A request that holds the suspected parts is quarantined for these.
        """
        return PoisonEvidence(
            {
                key: crash
                for key, crash in self.crashes_by_key.items()
                if not parts.explains(_instance_id_of(key), crash.at, now)
            }
        )

    def last_crash_at(self) -> float:
        """Return the time of the latest crash; 0 if there is none."""
        return max((crash.at for crash in self.crashes_by_key.values()), default=0.0)

    def is_expired(self, now: float) -> bool:
        """Whether the latest crash is older than the lifetime of evidence."""
        return now - self.last_crash_at() > EVIDENCE_TTL_S

    def quarantine_left_s(self, now: float) -> float:
        """Return the remaining seconds of the quarantine; 0 if the request may be sent."""
        weight = self.total_weight()
        if weight < QUARANTINE_WEIGHT:
            return 0.0
        if weight >= MAX_QUARANTINE_WEIGHT:
            quarantine_s = EVIDENCE_TTL_S
        else:
            growth: float = QUARANTINE_GROWTH ** (weight - QUARANTINE_WEIGHT)
            quarantine_s = min(EVIDENCE_TTL_S, FIRST_QUARANTINE_S * growth)
        return max(0.0, self.last_crash_at() + quarantine_s - now)

    def clamped_to(self, now: float) -> "PoisonEvidence":
        """Return the evidence with no crash after ``now``.

        A peer's clock that runs ahead would otherwise extend the quarantine. All crashes move by
        the same time, so that crashes of one instance id stay distinct.
        """
        ahead_s = self.last_crash_at() - now
        if ahead_s <= 0:
            return self
        return PoisonEvidence(
            {
                key: replace(crash, at=crash.at - ahead_s)
                for key, crash in self.crashes_by_key.items()
            }
        )


def _instance_id_of(key: str) -> str:
    """Return the instance id in a crash key."""
    instance_id, separator, at_ms = key.rpartition(CRASH_KEY_SEPARATOR)
    return instance_id if separator and at_ms.isdigit() else key


def _merge_observations(crashes: Iterable[tuple[str, BackendCrash]]) -> dict[str, BackendCrash]:
    """Return each crash once, by key, with the least weight of its observations.

    Several runs of one request may be in progress at a back end when it crashes. If one of them had
    begun to answer, the request is probably a bystander; without this rule, popular requests would
    be quarantined.
    """
    merged: dict[str, BackendCrash] = {}
    last_key_by_instance: dict[str, str] = {}
    for instance_id, crash in sorted(crashes, key=lambda observation: observation[1].at):
        key = last_key_by_instance.get(instance_id)
        if key is not None and crash.at - merged[key].at <= SAME_CRASH_S:
            merged[key] = replace(merged[key], weight=min(merged[key].weight, crash.weight))
            continue
        key = (
            instance_id
            if key is None
            else f"{instance_id}{CRASH_KEY_SEPARATOR}{round(crash.at * 1000)}"
        )
        merged[key] = crash
        last_key_by_instance[instance_id] = key
    return merged


def crash_weight(answer_begun: bool, ran_s: float) -> float:
    """Return the weight of a crash as evidence against a request that ran there.

    Args:
        answer_begun: whether any byte of the answer had arrived.
        ran_s: seconds between the send and the crash.
    """
    if not answer_begun:
        return UNANSWERED_WEIGHT
    return PARTIAL_ANSWER_WEIGHT if ran_s < MAX_EARLY_CRASH_S else 0.0


@dataclass
class PoisonRequests:
    """Evidence known to one node: its own and what the fleet has shared.

    Attributes:
        on_update: called when there are changes to publish to the fleet.
        parts: evidence against parts of prompts, which crash back ends in requests that differ.
        release_jitter_s: seconds that this node adds to each quarantine. Each node picks it at
            random, so that nodes release copies of one request one after the other and later nodes
            learn the outcome of the first.
    """

    on_update: Callable[[], None] = lambda: None
    parts: CrashingParts = field(default_factory=CrashingParts)
    release_jitter_s: float = 0.0
    _shared: dict[RequestFingerprint, PoisonEvidence] = field(default_factory=dict)
    _local: dict[RequestFingerprint, PoisonEvidence] = field(default_factory=dict)
    _unpublished: set[RequestFingerprint] = field(default_factory=set)
    _cleared: set[RequestFingerprint] = field(default_factory=set)
    # Unexplained evidence by fingerprint; emptied by each change of any evidence.
    _unexplained: dict[RequestFingerprint, PoisonEvidence] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._fingerprints())

    def quarantine_left_s(
        self,
        fingerprint: Callable[[], RequestFingerprint],
        now: float,
        parts: Callable[[], Collection[PromptPartKey]] = tuple,
    ) -> float:
        """Return the remaining seconds of a request's quarantine; 0 if it may be sent.

        Args:
            fingerprint: computes the request's fingerprint; called only if there is any evidence.
            now: wall-clock seconds.
            parts: returns the parts of its prompt that other requests may share; called only if
                there is any evidence.
        """
        left_s = self.parts.quarantine_left_s(parts(), now) if self.parts else 0.0
        if not self._shared and not self._local:
            return left_s
        evidence = self.unexplained_evidence(fingerprint())
        if self.parts and evidence.total_weight() >= QUARANTINE_WEIGHT:
            evidence = evidence.without_crashes_of(self.parts, now)
        return max(left_s, evidence.quarantine_left_s(now - self.release_jitter_s))

    def evidence(self, fingerprint: RequestFingerprint) -> PoisonEvidence:
        """Return the shared and local evidence against a request."""
        return self._shared.get(fingerprint, PoisonEvidence()).merged(
            self._local.get(fingerprint, PoisonEvidence())
        )

    def unexplained_evidence(self, fingerprint: RequestFingerprint) -> PoisonEvidence:
        """Return the evidence against a request that no other suspected request explains."""
        found = self._unexplained.get(fingerprint)
        if found is None:
            found = self._find_unexplained(fingerprint)
            self._unexplained[fingerprint] = found
        return found

    def quarantined_count(self, now: float) -> int:
        """Return the number of quarantined fingerprints."""
        return sum(
            self.unexplained_evidence(fingerprint).quarantine_left_s(now) > 0
            for fingerprint in self._fingerprints()
        )

    # ---- local observations ----

    def record_crash(
        self, fingerprint: RequestFingerprint, instance_id: str, weight: float, now: float
    ) -> PoisonEvidence:
        """Record a crash of a back end that ran a request; return all evidence against it."""
        self._add_local(fingerprint, PoisonEvidence({instance_id: BackendCrash(now, weight)}))
        return self.evidence(fingerprint)

    def record_answer(self, fingerprint: Callable[[], RequestFingerprint]) -> None:
        """Clear the evidence against a request that a back end has answered.

        Args:
            fingerprint: computes the request's fingerprint; called only if there is any evidence.
        """
        if not self._shared and not self._local:
            return
        known = fingerprint()
        if known not in self._shared and known not in self._local:
            return
        self._local.pop(known, None)
        self._shared.pop(known, None)
        self._unexplained.clear()
        self._unpublished.discard(known)
        self._cleared.add(known)
        self.on_update()

    def record_peer_evidence(
        self, fingerprint: RequestFingerprint, received: PoisonEvidence
    ) -> None:
        """Record evidence received from a node that could not publish it."""
        if not self.evidence(fingerprint).covers(received):
            self._add_local(fingerprint, received)

    # ---- shared evidence ----

    def apply_shared(
        self, fingerprint: RequestFingerprint, evidence: PoisonEvidence | None
    ) -> None:
        """Apply shared evidence; None means that it was removed."""
        self._unexplained.clear()
        if evidence is None:
            self._shared.pop(fingerprint, None)
            if fingerprint not in self._unpublished:
                self._local.pop(fingerprint, None)
            self._cleared.discard(fingerprint)
            return
        if fingerprint in self._cleared:
            self.on_update()
            return
        self._shared[fingerprint] = evidence
        if evidence.covers(self._local.get(fingerprint, PoisonEvidence())):
            self._local.pop(fingerprint, None)
            self._unpublished.discard(fingerprint)

    def unpublished(self, limit: int) -> dict[RequestFingerprint, PoisonEvidence]:
        """Return the merged evidence of fingerprints with unpublished local evidence."""
        return {
            fingerprint: self.evidence(fingerprint)
            for fingerprint in sorted(self._unpublished)[:limit]
        }

    def mark_published(self, published: Mapping[RequestFingerprint, PoisonEvidence]) -> None:
        """Record published evidence; what was found since it was taken remains unpublished."""
        for fingerprint, evidence in published.items():
            if evidence.covers(self._local.get(fingerprint, PoisonEvidence())):
                self._unpublished.discard(fingerprint)

    def removable(self, now: float, limit: int) -> list[RequestFingerprint]:
        """Return fingerprints whose shared evidence may be removed: answered or expired."""
        expired = (
            fingerprint
            for fingerprint, evidence in self._shared.items()
            if evidence.is_expired(now)
        )
        return [*sorted(self._cleared), *expired][:limit]

    def mark_removed(self, fingerprints: Iterable[RequestFingerprint]) -> None:
        """Record that the shared evidence of some fingerprints was removed."""
        self._cleared.difference_update(fingerprints)

    def _add_local(self, fingerprint: RequestFingerprint, added: PoisonEvidence) -> None:
        """Add evidence that is not shared yet; an earlier answer does not clear it."""
        self._unexplained.clear()
        self._local[fingerprint] = self._local.get(fingerprint, PoisonEvidence()).merged(added)
        self._cleared.discard(fingerprint)
        self._unpublished.add(fingerprint)
        self._evict_oldest()
        self.on_update()

    def _fingerprints(self) -> set[RequestFingerprint]:
        return self._shared.keys() | self._local.keys()

    def _find_unexplained(self, fingerprint: RequestFingerprint) -> PoisonEvidence:
        evidence = self.evidence(fingerprint)
        if evidence.total_weight() < QUARANTINE_WEIGHT:
            return evidence
        others = (self.evidence(other).unanswered() for other in self._fingerprints())
        return evidence.without_explained(
            suspect for suspect in others if suspect.total_weight() >= QUARANTINE_WEIGHT
        )

    def _evict_oldest(self) -> None:
        while len(self._local) > MAX_FINGERPRINTS:
            oldest = min(
                self._local, key=lambda fingerprint: self._local[fingerprint].last_crash_at()
            )
            del self._local[oldest]
            self._unpublished.discard(oldest)
