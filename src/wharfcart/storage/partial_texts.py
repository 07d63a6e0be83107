"""Partial texts of running items, which the leader replicates asynchronously.

Each node also saves them to its disk periodically: losing one costs a run, not a result. A new
leader continues after the last event and does not retry an item that has failed too often.

Copies of a text are compared like logs in Raft. Each event has the epoch of the leader that added
it, and a leader only appends, so that two copies whose events at one position have the same epoch
are equal up to that position. A part names the epoch of the event before it. A copy with another
event there refuses the part; the sender then sends the whole text.

A text has events of one software version. Where an item begins anew at another one, its leader
adds events in a new term, which differs from all earlier epochs, so that no copy joins the texts.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from wharfcart.cluster.messages_pb2 import PartialText
from wharfcart.configuration.instances import UNNAMED_VERSION, SoftwareVersion
from wharfcart.storage.replicated_job import NO_EPOCH, NO_SUBMISSION, SubmissionId

MAX_BYTES_PER_MESSAGE = 256 * 1024
# Above the bits of epochs, which count changes of leader.
RESTART_SHIFT = 48


class ItemKey(NamedTuple):
    """An item; callers choose its id, which is unique in its submission only."""

    job_id: str
    item_id: str
    submission: SubmissionId = NO_SUBMISSION


def item_key_of(part: PartialText) -> ItemKey:
    """Return the item that a part belongs to."""
    return ItemKey(part.job_id, part.item_id, SubmissionId(part.submission))


class EpochSpan(NamedTuple):
    """Consecutive events that the leader of one epoch added.

    Attributes:
        start: number of events before the span.
        epoch: epoch of the leader; after a restart of the item, its term.
    """

    start: int
    epoch: int


@dataclass
class ItemPartialText:
    """Events of one item so far, and the back ends at which it failed.

    Attributes:
        job_id: id of the item's job.
        leader_epoch: epoch of the events that this node adds. Events of builds that stored no epoch
            have NO_EPOCH.
        last_event: number of the last event, or None.
        last_epoch: epoch of the last event; NO_EPOCH if there is none.
        texts: data of the events, in order.
        spans: epochs of the events, in order.
        failed_at: back-end instances that returned a failure, one entry per failure.
        version: software version that wrote the events; texts of earlier builds have none.
        restarts: how often the item began anew at another version under this node.
    """

    job_id: str
    leader_epoch: int = NO_EPOCH
    last_event: int | None = None
    last_epoch: int = field(default=NO_EPOCH, init=False)
    texts: list[str] = field(default_factory=list)
    spans: list[EpochSpan] = field(default_factory=list)
    failed_at: list[str] = field(default_factory=list)
    version: SoftwareVersion = UNNAMED_VERSION
    restarts: int = 0

    @property
    def term(self) -> int:
        """Epoch of the events that this node adds; it changes when the item begins anew."""
        return self.leader_epoch | self.restarts << RESTART_SHIFT

    def continue_at(self, version: SoftwareVersion) -> None:
        """Let a version write the next events; drop the events of another version."""
        if self.texts and version != self.version:
            self._truncate(0)
            self.last_event = None
            self.restarts += 1
        self.version = version

    def add_event(self, number: int, text: str) -> None:
        """Append the next event."""
        self._append(self.term, number, [text])

    def epoch_before(self, position: int) -> int:
        """Return the epoch of the event before a position; NO_EPOCH if there is none."""
        if position > len(self.texts):
            return NO_EPOCH
        for span in reversed(self.spans):
            if span.start < position:
                return span.epoch
        return NO_EPOCH

    def apply(self, part: PartialText) -> bool:
        """Apply a part; return False, without a change, if it does not extend this copy.

        A part whose events are all present changes nothing: it arrived late or twice.
        """
        texts = part.texts
        if not texts:
            return True
        start, epoch = part.from_event, part.epoch
        if not self._is_extended_by(start, epoch, part.base_epoch):
            return False
        if self.epoch_before(start + len(texts)) != epoch:
            if start < len(self.texts):
                self._truncate(start)
            if start == 0:
                self.version = SoftwareVersion(part.version)
            self._append(epoch, part.last_event, texts)
        return True

    def parts_after(self, position: int) -> list[PartialText]:
        """Return the events after a position as parts, one for each leader that added some."""
        parts: list[PartialText] = []
        if self.last_event is None:
            return parts
        end = len(self.texts)
        first_number = self.last_event + 1 - end
        for span in reversed(self.spans):
            start = span.start if span.start > position else position
            if start < end:
                part = PartialText(
                    job_id=self.job_id,
                    from_event=start,
                    last_event=first_number + end - 1,
                    texts=self.texts[start:end],
                    failed_at=self.failed_at or None,
                    epoch=span.epoch,
                    base_epoch=span.epoch if start > span.start else self.epoch_before(start),
                    version="" if start else self.version,
                )
                parts.append(part)
            if span.start <= position:
                break
            end = span.start
        parts.reverse()
        return parts

    def failures(self) -> PartialText:
        """Return a part without events, after the last event."""
        return PartialText(
            job_id=self.job_id,
            from_event=len(self.texts),
            failed_at=self.failed_at,
            base_epoch=self.last_epoch,
        )

    def _is_extended_by(self, start: int, epoch: int, base_epoch: int) -> bool:
        if epoch == NO_EPOCH:
            return False
        if start == 0:
            return True
        return base_epoch != NO_EPOCH and base_epoch == self.epoch_before(start)

    def _append(self, epoch: int, last_event: int, texts: Iterable[str]) -> None:
        if self.last_epoch != epoch or not self.spans:
            self.spans.append(EpochSpan(len(self.texts), epoch))
            self.last_epoch = epoch
        self.texts += texts
        self.last_event = last_event

    def _truncate(self, position: int) -> None:
        del self.texts[position:]
        self.spans = [span for span in self.spans if span.start < position]
        self.last_epoch = self.spans[-1].epoch if self.spans else NO_EPOCH


@dataclass(slots=True)
class SentText:
    """What a replica or a disk was sent of one item.

    Attributes:
        events: number of events.
        epoch: epoch of the last of them; NO_EPOCH if there are none.
        failed_at: back-end instances that returned a failure.
    """

    events: int = 0
    epoch: int = NO_EPOCH
    failed_at: tuple[str, ...] = ()


_NOTHING_SENT = SentText()


@dataclass
class SentOffsets:
    """What a replica or a disk was sent, by item.

    An item that the receiver has refused or removed must be forgotten: it is then sent whole.
    """

    by_item: dict[ItemKey, SentText] = field(default_factory=dict)

    def forget(self, keys: Iterable[ItemKey]) -> None:
        """Send some items whole the next time."""
        for key in keys:
            self.by_item.pop(key, None)


@dataclass(frozen=True, slots=True)
class TextMismatch:
    """A part that does not extend the copy of its item.

    Attributes:
        job_id: id of the item's job.
        item_id: id of the item.
        submission: submission of the job.
        from_event: number of events before the part.
        base_epoch: epoch of the event before the part at the sender.
        held_events: number of events of the copy.
        held_epoch: epoch of the event before the part in the copy; 0 if there is none.
    """

    job_id: str
    item_id: str
    submission: SubmissionId
    from_event: int
    base_epoch: int
    held_events: int
    held_epoch: int


@dataclass
class PartialTexts:
    """Partial texts of one job group, by item.

    Attributes:
        leader_epoch: epoch of the events that this node adds as a leader.
    """

    leader_epoch: int = NO_EPOCH
    _texts: dict[ItemKey, ItemPartialText] = field(default_factory=dict)

    def begin_epoch(self, epoch: int) -> None:
        """Add events in an epoch that this node leads from now on."""
        self.leader_epoch = epoch
        for text in self._texts.values():
            text.leader_epoch = epoch

    def items(self) -> Iterable[tuple[ItemKey, ItemPartialText]]:
        """Return all items with their texts."""
        return self._texts.items()

    def get_or_create(
        self, job_id: str, item_id: str, submission: SubmissionId = NO_SUBMISSION
    ) -> ItemPartialText:
        """Return an item's partial text, which is created empty."""
        key = ItemKey(job_id, item_id, submission)
        text = self._texts.get(key)
        if text is None:
            text = self._texts[key] = ItemPartialText(job_id, self.leader_epoch)
        return text

    def event_count(
        self, job_id: str, item_id: str, submission: SubmissionId = NO_SUBMISSION
    ) -> int:
        """Return the number of events that an item has produced so far."""
        text = self._texts.get(ItemKey(job_id, item_id, submission))
        return 0 if text is None else len(text.texts)

    def remove_item(
        self, job_id: str, item_id: str, submission: SubmissionId = NO_SUBMISSION
    ) -> None:
        """Remove an item that has its result."""
        self._texts.pop(ItemKey(job_id, item_id, submission), None)

    def remove_job(self, job_id: str) -> None:
        """Remove the items of a finished job, of all its submissions."""
        self.remove_other_submissions(job_id, None)

    def remove_other_submissions(self, job_id: str, submission: SubmissionId | None) -> None:
        """Remove a job's items, except those of one submission."""
        for key in [key for key in self._texts if key.job_id == job_id]:
            if key.submission != submission:
                del self._texts[key]

    def keep_submissions(self, submissions: Mapping[str, SubmissionId]) -> None:
        """Remove the items of all other submissions than these, given by job."""
        for key in [key for key in self._texts if submissions.get(key.job_id) != key.submission]:
            del self._texts[key]

    def take_unsent(self, sent: SentOffsets) -> list[PartialText]:
        """Return the parts that were not sent yet, bounded in size, and record them as sent."""
        parts = []
        size = 0
        sent_of = sent.by_item.get
        for key, text in self._texts.items():
            known = sent_of(key, _NOTHING_SENT)
            if known.events == len(text.texts) and known.epoch == text.last_epoch:
                # Most texts have no failures.
                has_failures = text.failed_at or known.failed_at
                if not has_failures or known.failed_at == tuple(text.failed_at):
                    continue
            for part in _unsent_parts(text, known):
                part.item_id = key.item_id
                part.submission = key.submission
                parts.append(part)
                size += part.ByteSize()
            sent.by_item[key] = SentText(len(text.texts), text.last_epoch, tuple(text.failed_at))
            if size > MAX_BYTES_PER_MESSAGE:
                break
        if not sent.by_item.keys() <= self._texts.keys():
            sent.forget(self.removed_items(sent))
        return parts

    def removed_items(self, sent: SentOffsets) -> set[ItemKey]:
        """Return the items that were sent in part and no longer run."""
        return sent.by_item.keys() - self._texts.keys()

    def apply(self, parts: Iterable[PartialText]) -> list[TextMismatch]:
        """Apply parts of a leader or of the own disk; return those that fit no copy."""
        mismatches = []
        for part in parts:
            text = self.get_or_create(*item_key_of(part))
            text.failed_at = list(part.failed_at)
            if not text.apply(part):
                mismatches.append(
                    TextMismatch(
                        part.job_id,
                        part.item_id,
                        SubmissionId(part.submission),
                        part.from_event,
                        part.base_epoch,
                        len(text.texts),
                        text.epoch_before(part.from_event),
                    )
                )
        return mismatches


def _unsent_parts(text: ItemPartialText, sent: SentText) -> list[PartialText]:
    """Return the parts of a text that lie beyond what was sent of it.

    If another leader's text has replaced the one that was sent, these are all parts.
    """
    is_extended = sent.epoch == text.epoch_before(sent.events)
    parts = text.parts_after(sent.events if is_extended else 0)
    return parts or [text.failures()]  # only failures were added
