"""Quarantine of requests whose prompts hold a part that crashes back ends.

One part of a prompt may crash every back end that begins to answer it, in requests that are never
alike otherwise. Each crash names all parts of the runs that it may have been: those that had just
begun to be written, or not yet. A part is sound as of the moment at which a back end began to write
an answer to it and went on. What is left over several crashes is suspected, as in group testing:

* the part at the most crashes explains them, and they say nothing against the parts beside it;
* parts that were at the same crashes can't be told apart. Only requests that hold all of them are
  quarantined, so that requests with some of them show which one it is.

Nodes share what they saw; each concludes by itself. This module does no I/O. Times are wall-clock
seconds, since nodes share them.
"""

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import NewType

from wharfcart.admission.prompt_parts import PromptPartKey

# Identifies one crash: the instance that ended by it.
CrashId = NewType("CrashId", str)

# Separates instance id and start time in the id of a crash.
START_SEPARATOR = "@"
# Nodes detect one crash within this time.
SAME_CRASH_S = 0.5
# Longer than wall clocks of nodes differ after one of them was stepped.
MAX_CLOCK_DIFFERENCE_S = 5.0
# A back end that has written an answer for this time was not crashed by it.
MIN_SOUND_S = 0.3
# A content that crashes back ends again and again may do so alone, whatever parts it has.
FIRST_CRASH_WEIGHT = 1.0
REPEATED_CRASH_WEIGHT = 0.5
QUARANTINE_WEIGHT = 3.0
# With less weight than this a part must be at most of the crashes of its time: where back ends
# crash for causes of their own, some parts are at three of many crashes by chance.
CERTAIN_WEIGHT = 5.0
MIN_CRASH_SHARE = 0.75
# Parts that were sound after a crash are probably bystanders of the later ones too.
PROVEN_WEIGHT = 10.0
# Parts are suspected this long after the crash that brought them to the weight, in which sound ones
# begin to be answered elsewhere.
SETTLE_S = 0.5
# Grows by the factor per further crash.
FIRST_QUARANTINE_S = 30.0
QUARANTINE_GROWTH = 20.0
EVIDENCE_TTL_S = 600.0
# The oldest crashes are evicted beyond this number.
MAX_CRASHES = 128
# The parts that were sound the longest ago are forgotten beyond this number.
MAX_SOUND_PARTS = 1024
# From this weight of crashes on, nodes share that a part is sound: one more would suspect it.
SHARE_SOUND_WEIGHT = QUARANTINE_WEIGHT - FIRST_CRASH_WEIGHT


def crash_id_of(instance_id: str, started_at_ms: int | None) -> CrashId:
    """Return the id of the crash of an instance, which crashes once.

    Args:
        instance_id: id of the instance.
        started_at_ms: its start time in milliseconds, which tells restarts under one id apart.
    """
    start = "" if started_at_ms is None else f"{START_SEPARATOR}{started_at_ms}"
    return CrashId(instance_id + start)


def instance_of(crash_id: CrashId) -> str:
    """Return the id of the instance that crashed."""
    instance_id, separator, start = crash_id.rpartition(START_SEPARATOR)
    return instance_id if separator and start.isdigit() else crash_id


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The parts of the runs that may have caused a crash.

    Attributes:
        crash_id: the crash.
        at: time of the crash.
        weights: weight of the evidence by part.
    """

    crash_id: CrashId
    at: float
    weights: Mapping[PromptPartKey, float]

    def merged(self, other: "CrashReport") -> "CrashReport":
        """Return what both say of one crash, at the time of the earlier one."""
        weights = dict(self.weights)
        for part, weight in other.weights.items():
            weights[part] = max(weight, weights.get(part, 0.0))
        return CrashReport(self.crash_id, min(self.at, other.at), weights)

    def covers(self, other: "CrashReport") -> bool:
        """Whether this holds everything that the other report of the crash says."""
        return all(self.weights.get(part, 0.0) >= weight for part, weight in other.weights.items())


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Parts that crash back ends together or alone; what crashed can't tell them apart.

    Attributes:
        parts: the parts; a request that holds all of them is quarantined.
        crashes: the crashes that they explain.
        weight: weight of these crashes.
        last_crash_at: time of the last one.
    """

    parts: frozenset[PromptPartKey]
    crashes: frozenset[CrashId]
    weight: float
    last_crash_at: float

    def quarantine_left_s(self, now: float) -> float:
        """Return the remaining seconds of the quarantine."""
        growth: float = QUARANTINE_GROWTH ** (self.weight - QUARANTINE_WEIGHT)
        quarantine_s = min(EVIDENCE_TTL_S, FIRST_QUARANTINE_S * growth)
        return max(0.0, self.last_crash_at + quarantine_s - now)


@dataclass
class CrashingParts:
    """Evidence against parts of prompts that one node knows: its own and that of others.

    Attributes:
        on_update: called when there is something to share.
        release_jitter_s: seconds that this node adds to each quarantine, so that nodes release a
            part one after the other and later ones learn what became of it at the first.
    """

    on_update: Callable[[], None] = lambda: None
    release_jitter_s: float = 0.0
    _reports: dict[CrashId, CrashReport] = field(default_factory=dict)
    _crashes_by_part: dict[PromptPartKey, set[CrashId]] = field(default_factory=dict)
    _own_reports: dict[CrashId, CrashReport] = field(default_factory=dict)
    _unpublished: set[CrashId] = field(default_factory=set)
    _sound_at: dict[PromptPartKey, float] = field(default_factory=dict)
    _shared_sound_at: dict[PromptPartKey, float] = field(default_factory=dict)
    _suspicions: list[Suspicion] | None = None
    _valid_until: float = 0.0

    def __len__(self) -> int:
        return len(self._reports)

    # ---- decisions ----

    def quarantine_left_s(self, parts: Collection[PromptPartKey], now: float) -> float:
        """Return the remaining seconds of the quarantine of a request with these parts."""
        suspicion = self.suspicion_of(parts, now)
        return 0.0 if suspicion is None else self._left_s(suspicion, now)

    def suspicion_of(self, parts: Collection[PromptPartKey], now: float) -> Suspicion | None:
        """Return what quarantines a request with these parts for longest, or None."""
        if not self._reports or not parts:
            return None
        found = [one for one in self.suspicions(now) if one.parts.issubset(parts)]
        held = max(found, key=lambda one: self._left_s(one, now), default=None)
        return held if held is not None and self._left_s(held, now) else None

    def _left_s(self, suspicion: Suspicion, now: float) -> float:
        return suspicion.quarantine_left_s(now - self.release_jitter_s)

    def suspicions(self, now: float) -> list[Suspicion]:
        """Return what is suspected now, the most crashes first."""
        if self._suspicions is None or now >= self._valid_until:
            self._forget_expired(now)
            causes = self._possible_causes()
            proven = {part for part in causes if self._was_sound_after_a_crash(part)}
            self._suspicions, self._valid_until = _explain(
                self._reports.values(), causes, proven, now
            )
        return self._suspicions

    def explains(self, instance_id: str, at: float, now: float) -> bool:
        """Whether suspected parts explain the crash of an instance at a time.

        Clocks of nodes differ. Where the parts explain every known crash of the instance, it need
        not be told which of them is meant.
        """
        known = {
            crash_id: report.at
            for crash_id, report in self._reports.items()
            if instance_of(crash_id) == instance_id
        }
        suspected = {crash for suspicion in self.suspicions(now) for crash in suspicion.crashes}
        explained = known.keys() & suspected
        tolerance_s = MAX_CLOCK_DIFFERENCE_S if len(explained) == len(known) else SAME_CRASH_S
        return any(abs(known[crash_id] - at) <= tolerance_s for crash_id in explained)

    # ---- local observations ----

    def record_crash(self, report: CrashReport) -> None:
        """Record what this node saw of a crash."""
        own = self._own_reports.get(report.crash_id)
        self._own_reports[report.crash_id] = report if own is None else own.merged(report)
        self._unpublished.add(report.crash_id)
        self._add(report)
        self.on_update()

    def record_sound(self, parts: Iterable[PromptPartKey], began_at: float) -> None:
        """Record that a back end began to write an answer to these parts and went on.

        Args:
            parts: parts of the request.
            began_at: time at which it began.
        """
        if not self._reports:
            return
        later = [
            part
            for part in parts
            if part in self._crashes_by_part and began_at > self._sound_at.get(part, 0.0)
        ]
        if not later:
            return
        self._sound_at.update(dict.fromkeys(later, began_at))
        self._suspicions = None
        if self.unpublished_sound():
            self.on_update()

    # ---- shared evidence ----

    def apply_report(self, report: CrashReport) -> bool:
        """Apply another node's report; return whether it says anything new."""
        known = self._reports.get(report.crash_id)
        if known is not None and known.covers(report):
            return False
        self._add(report)
        if self.unpublished_sound():
            self.on_update()
        return True

    def relay_report(self, report: CrashReport) -> None:
        """Apply a report of a node that could not share it, and share it in its place."""
        if self.apply_report(report):
            self.record_crash(report)

    def remove(self, crash_id: CrashId) -> None:
        """Forget a crash that was removed from what nodes share, as after a part was mended."""
        if crash_id in self._reports:
            self._forget(crash_id)
            self._suspicions = None

    def apply_sound(self, part: PromptPartKey, began_at: float) -> None:
        """Apply that a part was sound at a time, as another node has shared."""
        # Kept for parts at no known crash too: the report of a crash may arrive later.
        self._shared_sound_at[part] = max(began_at, self._shared_sound_at.get(part, 0.0))
        if began_at > self._sound_at.get(part, 0.0):
            self._sound_at[part] = began_at
            self._suspicions = None
        if len(self._shared_sound_at) > MAX_SOUND_PARTS:
            oldest = min(self._shared_sound_at, key=lambda one: self._shared_sound_at[one])
            del self._shared_sound_at[oldest]
            self._sound_at.pop(oldest, None)

    def unpublished_reports(self, limit: int) -> list[CrashReport]:
        """Return own reports that were not shared."""
        return [self._own_reports[crash_id] for crash_id in sorted(self._unpublished)[:limit]]

    def mark_published(self, published: Iterable[CrashReport]) -> None:
        """Record shared reports; what was seen since they were taken remains unpublished."""
        for report in published:
            own = self._own_reports.get(report.crash_id)
            if own is None or report.covers(own):
                self._unpublished.discard(report.crash_id)

    def unpublished_sound(self) -> dict[PromptPartKey, float]:
        """Return parts that others are about to suspect, with the time at which they were sound."""
        return {
            part: sound_at
            for part, sound_at in self._sound_at.items()
            if sound_at > (shared_at := self._shared_sound_at.get(part, 0.0))
            and self._weight_since(part, shared_at) >= SHARE_SOUND_WEIGHT
        }

    # ---- internals ----

    def _add(self, report: CrashReport) -> None:
        known = self._reports.get(report.crash_id)
        self._reports[report.crash_id] = report if known is None else known.merged(report)
        for part in report.weights:
            self._crashes_by_part.setdefault(part, set()).add(report.crash_id)
        self._suspicions = None
        while len(self._reports) > MAX_CRASHES:
            self._forget(min(self._reports, key=lambda crash_id: self._reports[crash_id].at))

    def _forget_expired(self, now: float) -> None:
        for report in list(self._reports.values()):
            if report.at > now:
                # A node's clock that runs ahead would extend the quarantine.
                self._reports[report.crash_id] = replace(report, at=now)
            elif now - report.at > EVIDENCE_TTL_S:
                self._forget(report.crash_id)

    def _forget(self, crash_id: CrashId) -> None:
        for part in self._reports.pop(crash_id).weights:
            crash_ids = self._crashes_by_part[part]
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self._crashes_by_part[part]
                self._sound_at.pop(part, None)
                self._shared_sound_at.pop(part, None)
        self._own_reports.pop(crash_id, None)
        self._unpublished.discard(crash_id)

    def _crashes_since(self, part: PromptPartKey, sound_at: float) -> dict[CrashId, CrashReport]:
        """Return the crashes at which a part was since a time."""
        reports = (self._reports[crash_id] for crash_id in self._crashes_by_part.get(part, ()))
        return {report.crash_id: report for report in reports if report.at > sound_at}

    def _weight_since(self, part: PromptPartKey, sound_at: float) -> float:
        return sum(report.weights[part] for report in self._crashes_since(part, sound_at).values())

    def _was_sound_after_a_crash(self, part: PromptPartKey) -> bool:
        sound_at = self._sound_at.get(part, 0.0)
        return any(
            self._reports[crash_id].at < sound_at for crash_id in self._crashes_by_part[part]
        )

    def _possible_causes(self) -> dict[PromptPartKey, dict[CrashId, CrashReport]]:
        """Return the parts that weigh enough to be suspected, each with its crashes."""
        causes = {}
        for part in self._crashes_by_part:
            sound_at = self._sound_at.get(part, 0.0)
            if self._weight_since(part, sound_at) >= QUARANTINE_WEIGHT:
                causes[part] = self._crashes_since(part, sound_at)
        return causes


def _explain(
    reports: Collection[CrashReport],
    crashes_by_part: Mapping[PromptPartKey, Mapping[CrashId, CrashReport]],
    proven: Collection[PromptPartKey],
    now: float,
) -> tuple[list[Suspicion], float]:
    """Return the fewest parts that explain the crashes, and until when this holds."""
    suspicions: list[Suspicion] = []
    explained: set[CrashId] = set()
    valid_until = now + EVIDENCE_TTL_S
    while True:
        suspicion = _strongest(reports, crashes_by_part, proven, explained)
        if suspicion is None:
            return suspicions, valid_until
        settled_at = _settled_at(suspicion, crashes_by_part)
        if settled_at <= now:
            suspicions.append(suspicion)
        else:
            valid_until = min(valid_until, settled_at)
        explained |= suspicion.crashes


def _strongest(
    all_reports: Collection[CrashReport],
    crashes_by_part: Mapping[PromptPartKey, Mapping[CrashId, CrashReport]],
    proven: Collection[PromptPartKey],
    explained: set[CrashId],
) -> Suspicion | None:
    """Return the parts at the most crashes that nothing explains yet, if they weigh enough.

    Args:
        all_reports: every crash.
        crashes_by_part: crashes since each part was last sound.
        proven: parts that were sound after some crash.
        explained: crashes that other parts explain.
    """
    parts_by_crashes: dict[frozenset[CrashId], set[PromptPartKey]] = defaultdict(set)
    for part, crashes in crashes_by_part.items():
        unexplained = frozenset(crashes.keys() - explained)
        if unexplained:
            parts_by_crashes[unexplained].add(part)
    found: Suspicion | None = None
    for crash_ids, parts in parts_by_crashes.items():
        reports = [crashes_by_part[min(parts)][crash_id] for crash_id in crash_ids]
        weight = sum(max(report.weights[part] for part in parts) for report in reports)
        is_proven = all(part in proven for part in parts)
        least_weight = PROVEN_WEIGHT if is_proven else QUARANTINE_WEIGHT
        if weight < least_weight or (found is not None and weight <= found.weight):
            continue
        first_crash_at = min(report.at for report in reports)
        last_crash_at = max(report.at for report in reports)
        meanwhile = sum(
            first_crash_at <= report.at <= last_crash_at and report.crash_id not in explained
            for report in all_reports
        )
        if weight < CERTAIN_WEIGHT and len(reports) < MIN_CRASH_SHARE * meanwhile:
            continue
        found = Suspicion(frozenset(parts), crash_ids, weight, last_crash_at)
    return found


def _settled_at(
    suspicion: Suspicion, crashes_by_part: Mapping[PromptPartKey, Mapping[CrashId, CrashReport]]
) -> float:
    """Return when the crash that brought the parts to the weight is old enough."""
    crashes = crashes_by_part[min(suspicion.parts)]
    weight = 0.0
    for report in sorted((crashes[one] for one in suspicion.crashes), key=lambda one: one.at):
        weight += max(report.weights[part] for part in suspicion.parts)
        if weight >= QUARANTINE_WEIGHT:
            return report.at + SETTLE_S
    return suspicion.last_crash_at + SETTLE_S
