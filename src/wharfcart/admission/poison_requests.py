"""Suspects core: which requests are held back since back ends ended while they ran them.

A request can end whichever back end runs it, and with it all others that run there. Callers repeat
it at any gateway, and gateways repeat it themselves; so what is known of it is kept by its content,
over attempts, nodes and restarts. A back end that ends has other requests running, too: one end
says little of each of them. What tells them apart is what happens to each elsewhere: others are
answered, and are suspects no longer.

Pure: time is handed in, as wall clock seconds, since evidence is shared between nodes.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from wharfcart.admission.request_fingerprint import RequestFingerprint

# Why a request is refused, in the decision log.
POISON_CAUSE = "suspected"
# A run that had no byte of answer as its back end ended. In the logs of an incident this was so of
# all 13 requests that ended a back end, and of 4 of the 90 others that ran there.
UNANSWERED_WEIGHT = 1.0
# A run whose answer had begun, as that of nearly every request does that is there by chance.
PARTIAL_ANSWER_WEIGHT = 0.5
# What ends a back end does so soon after it begins to run there; longer runs are there by chance.
MAX_EARLY_CRASH_S = 1.0
# From this weight on a request is held back: two ends without a byte between them.
QUARANTINE_WEIGHT = 2.0
# The first time for as long as a back end takes to be back and a cause of another kind to pass;
# each further end without a byte makes it longer by this factor.
FIRST_QUARANTINE_S = 30.0
QUARANTINE_GROWTH = 20.0
# From here on it is as long as it can be.
MAX_QUARANTINE_WEIGHT = 4.0
# Nodes let a content through again one after the other within this time; what comes of a run is
# known to the others some tenths of a second later.
RELEASE_JITTER_S = 3.0
# Nodes see the end of a back end within 0.35 s: a connection is tried, a process may linger. One
# that starts again, also under its old id, took 3.1 s in an incident, 0.6 s in the fault soak. So
# later ends of the same id are others.
SAME_CRASH_S = 0.5
# Follows the id in the key of a further end, with the end's time in milliseconds.
CRASH_KEY_SEPARATOR = "#"
# Evidence is kept for as long as anything is held back.
EVIDENCE_TTL_S = 600.0
# More contents than this are never suspected for a good reason; the oldest are forgotten.
MAX_FINGERPRINTS = 1024


@dataclass(frozen=True, slots=True)
class BackendCrash:
    """A back end has ended while it ran a request.

    Attributes:
        at: wall clock seconds.
        weight: how much it speaks against the request.
    """

    at: float
    weight: float


@dataclass(frozen=True)
class PoisonEvidence:
    """The ends of back ends that one content has had a part in, without an answer since.

    Attributes:
        ends_by_instance: one for each life of a back end: the first by its id, each further one by
            id and time.
    """

    crashes_by_key: Mapping[str, BackendCrash] = field(default_factory=dict)

    def merged(self, other: "PoisonEvidence") -> "PoisonEvidence":
        """Return what both know; an end that both saw is one."""
        if not other.crashes_by_key:
            return self
        ends = (*self.crashes_by_key.items(), *other.crashes_by_key.items())
        return PoisonEvidence(_merge_observations((_instance_id_of(key), end) for key, end in ends))

    def covers(self, other: "PoisonEvidence") -> bool:
        """Whether this knows all that another record does."""
        return all(
            any(
                _instance_id_of(own_key) == _instance_id_of(key)
                and abs(own.at - end.at) <= SAME_CRASH_S
                for own_key, own in self.crashes_by_key.items()
            )
            for key, end in other.crashes_by_key.items()
        )

    def total_weight(self) -> float:
        """Return how much speaks against the content."""
        return sum(end.weight for end in self.crashes_by_key.values())

    def last_crash_at(self) -> float:
        """Return when the last of its back ends ended; 0 if there is none."""
        return max((end.at for end in self.crashes_by_key.values()), default=0.0)

    def is_expired(self, now: float) -> bool:
        """Whether nothing has happened for so long that it is forgotten."""
        return now - self.last_crash_at() > EVIDENCE_TTL_S

    def quarantine_left_s(self, now: float) -> float:
        """Return for how much longer the content is held back; 0 if it may go."""
        weight = self.total_weight()
        if weight < QUARANTINE_WEIGHT:
            return 0.0
        if weight >= MAX_QUARANTINE_WEIGHT:
            hold_s = EVIDENCE_TTL_S
        else:
            growth: float = QUARANTINE_GROWTH ** (weight - QUARANTINE_WEIGHT)
            hold_s = min(EVIDENCE_TTL_S, FIRST_QUARANTINE_S * growth)
        return max(0.0, self.last_crash_at() + hold_s - now)

    def clamped_to(self, now: float) -> "PoisonEvidence":
        """Return this without a future: a clock that is ahead elsewhere holds back no longer.

        All ends move by the same time, so that those of one back end stay apart.
        """
        ahead_s = self.last_crash_at() - now
        if ahead_s <= 0:
            return self
        return PoisonEvidence(
            {key: replace(end, at=end.at - ahead_s) for key, end in self.crashes_by_key.items()}
        )


def _instance_id_of(key: str) -> str:
    """Return the id of the back end whose end has a key."""
    instance_id, separator, at_ms = key.rpartition(CRASH_KEY_SEPARATOR)
    return instance_id if separator and at_ms.isdigit() else key


def _merge_observations(crashes: Iterable[tuple[str, BackendCrash]]) -> dict[str, BackendCrash]:
    """Return each end once, by key; what was seen several times counts by its least weight.

    A content may run several times at a back end that ends: one answer that had begun speaks for
    it. Else contents that callers repeat often are held back for having been there by chance.
    """
    found: dict[str, BackendCrash] = {}
    last_keys_by_instance: dict[str, str] = {}
    for instance_id, end in sorted(crashes, key=lambda one: one[1].at):
        key = last_keys_by_instance.get(instance_id)
        if key is not None and end.at - found[key].at <= SAME_CRASH_S:
            found[key] = replace(found[key], weight=min(found[key].weight, end.weight))
            continue
        key = (
            instance_id
            if key is None
            else f"{instance_id}{CRASH_KEY_SEPARATOR}{round(end.at * 1000)}"
        )
        found[key] = end
        last_keys_by_instance[instance_id] = key
    return found


def crash_weight(answer_begun: bool, ran_s: float) -> float:
    """Return how much an end speaks against a request that ran there.

    Args:
        answer_begun: some of its answer had come.
        ran_s: how long ago it had been sent.
    """
    if not answer_begun:
        return UNANSWERED_WEIGHT
    return PARTIAL_ANSWER_WEIGHT if ran_s < MAX_EARLY_CRASH_S else 0.0


@dataclass
class PoisonRequests:
    """What one node knows: its own evidence and what the fleet has shared.

    Attributes:
        on_news: called when there is something that the fleet does not know yet.
        holds_longer_s: this node holds back for so much longer than a record says. Drawn at random
            by each node, it has copies of one content that wait at several let through one after
            the other: the next ones hear what came of the first.
    """

    on_update: Callable[[], None] = lambda: None
    release_jitter_s: float = 0.0
    _shared: dict[RequestFingerprint, PoisonEvidence] = field(default_factory=dict)
    _local: dict[RequestFingerprint, PoisonEvidence] = field(default_factory=dict)
    _unpublished: set[RequestFingerprint] = field(default_factory=set)
    _cleared: set[RequestFingerprint] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self._shared.keys() | self._local.keys())

    def quarantine_left_s(self, fingerprint: Callable[[], RequestFingerprint], now: float) -> float:
        """Return for how much longer a request is held back; 0 if it may go.

        Args:
            content: of the request; asked for only if there are any suspects.
            now: wall clock seconds.
        """
        if not self._shared and not self._local:
            return 0.0
        return self.evidence(fingerprint()).quarantine_left_s(now - self.release_jitter_s)

    def evidence(self, fingerprint: RequestFingerprint) -> PoisonEvidence:
        """Return what is known of a content."""
        return self._shared.get(fingerprint, PoisonEvidence()).merged(
            self._local.get(fingerprint, PoisonEvidence())
        )

    def quarantined_count(self, now: float) -> int:
        """Return how many contents are held back."""
        contents = self._shared.keys() | self._local.keys()
        return sum(self.evidence(content).quarantine_left_s(now) > 0 for content in contents)

    # ---- what this node sees ----

    def record_crash(
        self, fingerprint: RequestFingerprint, instance_id: str, weight: float, now: float
    ) -> PoisonEvidence:
        """Note that a back end has ended while it ran a request; return what is known then."""
        self._add_local(fingerprint, PoisonEvidence({instance_id: BackendCrash(now, weight)}))
        return self.evidence(fingerprint)

    def record_answer(self, fingerprint: Callable[[], RequestFingerprint]) -> None:
        """Note that a back end has run a request and lives: it is a suspect no longer.

        Args:
            content: of the request; asked for only if there are any suspects.
        """
        if not self._shared and not self._local:
            return
        known = fingerprint()
        if known not in self._shared and known not in self._local:
            return
        self._local.pop(known, None)
        self._shared.pop(known, None)
        self._unpublished.discard(known)
        self._cleared.add(known)
        self.on_update()

    def record_peer_evidence(
        self, fingerprint: RequestFingerprint, received: PoisonEvidence
    ) -> None:
        """Note what another node has seen and could not share."""
        if not self.evidence(fingerprint).covers(received):
            self._add_local(fingerprint, received)

    # ---- what the fleet shares ----

    def apply_shared(
        self, fingerprint: RequestFingerprint, evidence: PoisonEvidence | None
    ) -> None:
        """Take what was shared of a content; None: nothing speaks against it any more."""
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
        """Return what the others lack, whole: their evidence and this node's."""
        return {content: self.evidence(content) for content in sorted(self._unpublished)[:limit]}

    def mark_published(self, fingerprints: Iterable[RequestFingerprint]) -> None:
        """Note that the others have what was untold."""
        self._unpublished.difference_update(fingerprints)

    def removable(self, now: float, limit: int) -> list[RequestFingerprint]:
        """Return contents whose shared evidence may go: they were answered, or it is old."""
        old = (content for content, record in self._shared.items() if record.is_expired(now))
        return [*sorted(self._cleared), *old][:limit]

    def mark_removed(self, fingerprints: Iterable[RequestFingerprint]) -> None:
        """Note that the shared evidence of contents has been taken away."""
        self._cleared.difference_update(fingerprints)

    def _add_local(self, fingerprint: RequestFingerprint, added: PoisonEvidence) -> None:
        """Take evidence that the others do not have; an answer of before does not speak to it."""
        self._local[fingerprint] = self._local.get(fingerprint, PoisonEvidence()).merged(added)
        self._cleared.discard(fingerprint)
        self._unpublished.add(fingerprint)
        self._evict_oldest()
        self.on_update()

    def _evict_oldest(self) -> None:
        while len(self._local) > MAX_FINGERPRINTS:
            oldest = min(self._local, key=lambda content: self._local[content].last_crash_at())
            del self._local[oldest]
            self._unpublished.discard(oldest)
