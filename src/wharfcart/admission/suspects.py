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

from wharfcart.admission.request_content import ContentId

# Why a request is refused, in the decision log.
SUSPECTED = "suspected"
# A run that had no byte of answer as its back end ended. In the logs of an incident this was so of
# all 13 requests that ended a back end, and of 4 of the 90 others that ran there.
UNANSWERED_WEIGHT = 1.0
# A run whose answer had begun, as that of nearly every request does that is there by chance.
BEGUN_WEIGHT = 0.5
# What ends a back end does so soon after it begins to run there; longer runs are there by chance.
EARLY_S = 1.0
# From this weight on a request is held back: two ends without a byte between them.
FEWEST_WEIGHT = 2.0
# The first time for as long as a back end takes to be back and a cause of another kind to pass;
# each further end without a byte makes it longer by this factor.
FIRST_HOLD_S = 30.0
HOLD_GROWTH = 20.0
# From here on it is as long as it can be.
MOST_WEIGHT = 4.0
# Nodes let a content through again one after the other within this time; what comes of a run is
# known to the others some tenths of a second later.
SPREAD_S = 3.0
# Nodes see the end of a back end within 0.35 s: a connection is tried, a process may linger. One
# that starts again, also under its old id, took 3.1 s in an incident, 0.6 s in the fault soak. So
# later ends of the same id are others.
SAME_END_S = 0.5
# Follows the id in the key of a further end, with the end's time in milliseconds.
FURTHER_END = "#"
# Evidence is kept for as long as anything is held back.
KEPT_S = 600.0
# More contents than this are never suspected for a good reason; the oldest are forgotten.
MOST_CONTENTS = 1024


@dataclass(frozen=True, slots=True)
class BackendEnd:
    """A back end has ended while it ran a request.

    Attributes:
        at: wall clock seconds.
        weight: how much it speaks against the request.
    """

    at: float
    weight: float


@dataclass(frozen=True)
class SuspectRecord:
    """The ends of back ends that one content has had a part in, without an answer since.

    Attributes:
        ends_by_instance: one for each life of a back end: the first by its id, each further one by
            id and time.
    """

    ends_by_instance: Mapping[str, BackendEnd] = field(default_factory=dict)

    def merged(self, other: "SuspectRecord") -> "SuspectRecord":
        """Return what both know; an end that both saw is one."""
        if not other.ends_by_instance:
            return self
        ends = (*self.ends_by_instance.items(), *other.ends_by_instance.items())
        return SuspectRecord(_distinct((_instance_of(key), end) for key, end in ends))

    def covers(self, other: "SuspectRecord") -> bool:
        """Whether this knows all that another record does."""
        return all(
            any(
                _instance_of(own_key) == _instance_of(key) and abs(own.at - end.at) <= SAME_END_S
                for own_key, own in self.ends_by_instance.items()
            )
            for key, end in other.ends_by_instance.items()
        )

    def weight(self) -> float:
        """Return how much speaks against the content."""
        return sum(end.weight for end in self.ends_by_instance.values())

    def last_at(self) -> float:
        """Return when the last of its back ends ended; 0 if there is none."""
        return max((end.at for end in self.ends_by_instance.values()), default=0.0)

    def is_old(self, now: float) -> bool:
        """Whether nothing has happened for so long that it is forgotten."""
        return now - self.last_at() > KEPT_S

    def held_for_s(self, now: float) -> float:
        """Return for how much longer the content is held back; 0 if it may go."""
        weight = self.weight()
        if weight < FEWEST_WEIGHT:
            return 0.0
        if weight >= MOST_WEIGHT:
            hold_s = KEPT_S
        else:
            growth: float = HOLD_GROWTH ** (weight - FEWEST_WEIGHT)
            hold_s = min(KEPT_S, FIRST_HOLD_S * growth)
        return max(0.0, self.last_at() + hold_s - now)

    def not_after(self, now: float) -> "SuspectRecord":
        """Return this without a future: a clock that is ahead elsewhere holds back no longer.

        All ends move by the same time, so that those of one back end stay apart.
        """
        ahead_s = self.last_at() - now
        if ahead_s <= 0:
            return self
        return SuspectRecord(
            {key: replace(end, at=end.at - ahead_s) for key, end in self.ends_by_instance.items()}
        )


def _instance_of(key: str) -> str:
    """Return the id of the back end whose end has a key."""
    instance_id, separator, at_ms = key.rpartition(FURTHER_END)
    return instance_id if separator and at_ms.isdigit() else key


def _distinct(ends: Iterable[tuple[str, BackendEnd]]) -> dict[str, BackendEnd]:
    """Return each end once, by key; what was seen several times counts by its least weight.

    A content may run several times at a back end that ends: one answer that had begun speaks for
    it. Else contents that callers repeat often are held back for having been there by chance.
    """
    found: dict[str, BackendEnd] = {}
    last_keys_by_instance: dict[str, str] = {}
    for instance_id, end in sorted(ends, key=lambda one: one[1].at):
        key = last_keys_by_instance.get(instance_id)
        if key is not None and end.at - found[key].at <= SAME_END_S:
            found[key] = replace(found[key], weight=min(found[key].weight, end.weight))
            continue
        key = instance_id if key is None else f"{instance_id}{FURTHER_END}{round(end.at * 1000)}"
        found[key] = end
        last_keys_by_instance[instance_id] = key
    return found


def weight_of(answer_begun: bool, ran_s: float) -> float:
    """Return how much an end speaks against a request that ran there.

    Args:
        answer_begun: some of its answer had come.
        ran_s: how long ago it had been sent.
    """
    if not answer_begun:
        return UNANSWERED_WEIGHT
    return BEGUN_WEIGHT if ran_s < EARLY_S else 0.0


@dataclass
class Suspects:
    """What one node knows: its own evidence and what the fleet has shared.

    Attributes:
        on_news: called when there is something that the fleet does not know yet.
        holds_longer_s: this node holds back for so much longer than a record says. Drawn at random
            by each node, it has copies of one content that wait at several let through one after
            the other: the next ones hear what came of the first.
    """

    on_news: Callable[[], None] = lambda: None
    holds_longer_s: float = 0.0
    _shared: dict[ContentId, SuspectRecord] = field(default_factory=dict)
    _own: dict[ContentId, SuspectRecord] = field(default_factory=dict)
    _untold: set[ContentId] = field(default_factory=set)
    _cleared: set[ContentId] = field(default_factory=set)

    def __len__(self) -> int:
        return len(self._shared.keys() | self._own.keys())

    def held_for_s(self, content: Callable[[], ContentId], now: float) -> float:
        """Return for how much longer a request is held back; 0 if it may go.

        Args:
            content: of the request; asked for only if there are any suspects.
            now: wall clock seconds.
        """
        if not self._shared and not self._own:
            return 0.0
        return self.record(content()).held_for_s(now - self.holds_longer_s)

    def record(self, content: ContentId) -> SuspectRecord:
        """Return what is known of a content."""
        return self._shared.get(content, SuspectRecord()).merged(
            self._own.get(content, SuspectRecord())
        )

    def held(self, now: float) -> int:
        """Return how many contents are held back."""
        contents = self._shared.keys() | self._own.keys()
        return sum(self.record(content).held_for_s(now) > 0 for content in contents)

    # ---- what this node sees ----

    def note_end(
        self, content: ContentId, instance_id: str, weight: float, now: float
    ) -> SuspectRecord:
        """Note that a back end has ended while it ran a request; return what is known then."""
        self._learn(content, SuspectRecord({instance_id: BackendEnd(now, weight)}))
        return self.record(content)

    def note_answer(self, content: Callable[[], ContentId]) -> None:
        """Note that a back end has run a request and lives: it is a suspect no longer.

        Args:
            content: of the request; asked for only if there are any suspects.
        """
        if not self._shared and not self._own:
            return
        known = content()
        if known not in self._shared and known not in self._own:
            return
        self._own.pop(known, None)
        self._shared.pop(known, None)
        self._untold.discard(known)
        self._cleared.add(known)
        self.on_news()

    def note_heard(self, content: ContentId, heard: SuspectRecord) -> None:
        """Note what another node has seen and could not share."""
        if not self.record(content).covers(heard):
            self._learn(content, heard)

    # ---- what the fleet shares ----

    def take(self, content: ContentId, record: SuspectRecord | None) -> None:
        """Take what was shared of a content; None: nothing speaks against it any more."""
        if record is None:
            self._shared.pop(content, None)
            if content not in self._untold:
                self._own.pop(content, None)
            self._cleared.discard(content)
            return
        if content in self._cleared:
            self.on_news()
            return
        self._shared[content] = record
        if record.covers(self._own.get(content, SuspectRecord())):
            self._own.pop(content, None)
            self._untold.discard(content)

    def untold(self, most: int) -> dict[ContentId, SuspectRecord]:
        """Return what the others lack, whole: their evidence and this node's."""
        return {content: self.record(content) for content in sorted(self._untold)[:most]}

    def told(self, contents: Iterable[ContentId]) -> None:
        """Note that the others have what was untold."""
        self._untold.difference_update(contents)

    def no_longer_suspect(self, now: float, most: int) -> list[ContentId]:
        """Return contents whose shared evidence may go: they were answered, or it is old."""
        old = (content for content, record in self._shared.items() if record.is_old(now))
        return [*sorted(self._cleared), *old][:most]

    def forgotten(self, contents: Iterable[ContentId]) -> None:
        """Note that the shared evidence of contents has been taken away."""
        self._cleared.difference_update(contents)

    def _learn(self, content: ContentId, news: SuspectRecord) -> None:
        """Take evidence that the others do not have; an answer of before does not speak to it."""
        self._own[content] = self._own.get(content, SuspectRecord()).merged(news)
        self._cleared.discard(content)
        self._untold.add(content)
        self._forget_oldest()
        self.on_news()

    def _forget_oldest(self) -> None:
        while len(self._own) > MOST_CONTENTS:
            oldest = min(self._own, key=lambda content: self._own[content].last_at())
            del self._own[oldest]
            self._untold.discard(oldest)
