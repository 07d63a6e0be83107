"""Partial texts of running items, which the leader replicates asynchronously.

Each node also saves them to its disk periodically: losing one costs a run, not a result. A new
leader continues after the last event and does not retry an item that has failed too often.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import PartialText

MAX_BYTES_PER_MESSAGE = 256 * 1024


@dataclass
class ItemPartialText:
    """Events of one item so far, and the back ends at which it failed.

    Attributes:
        job_id: id of the item's job.
        last_event: number of the last event, or None.
        texts: data of the events, in order.
        failed_at: back-end instances that returned a failure, one entry per failure.
    """

    job_id: str
    last_event: int | None = None
    texts: list[str] = field(default_factory=list)
    failed_at: list[str] = field(default_factory=list)

    def add_event(self, number: int, text: str) -> None:
        """Append the next event."""
        self.last_event = number
        self.texts.append(text)


@dataclass
class SentOffsets:
    """Events and failures of each item that were sent to a replica or saved to a disk, counted."""

    events: dict[str, int] = field(default_factory=dict)
    failures: dict[str, int] = field(default_factory=dict)

    def retain_only(self, item_ids: Collection[str]) -> None:
        """Remove all items except the given ones."""
        for sent in (self.events, self.failures):
            for item_id in sent.keys() - item_ids:
                del sent[item_id]


@dataclass(frozen=True, slots=True)
class TextMismatch:
    """A part that does not begin where the copy of its item ends.

    Attributes:
        item_id: id of the item.
        from_event: number of events before the part.
        held_events: number of events of the copy.
    """

    item_id: str
    from_event: int
    held_events: int


@dataclass
class PartialTexts:
    """Partial texts of one job group, by item."""

    _texts: dict[str, ItemPartialText] = field(default_factory=dict)

    def get_or_create(self, job_id: str, item_id: str) -> ItemPartialText:
        """Return an item's partial text, which is created empty."""
        return self._texts.setdefault(item_id, ItemPartialText(job_id))

    def event_count(self, item_id: str) -> int:
        """Return the number of events that an item has produced so far."""
        text = self._texts.get(item_id)
        return 0 if text is None else len(text.texts)

    def remove_item(self, item_id: str) -> None:
        """Remove an item that has its result."""
        self._texts.pop(item_id, None)

    def remove_job(self, job_id: str) -> None:
        """Remove the items of a finished job."""
        finished = [item_id for item_id, text in self._texts.items() if text.job_id == job_id]
        for item_id in finished:
            del self._texts[item_id]

    def take_unsent(self, sent: SentOffsets) -> list[PartialText]:
        """Return the parts that were not sent yet, bounded in size, and record them as sent."""
        parts = []
        size = 0
        for item_id, text in self._texts.items():
            events = sent.events.get(item_id, 0)
            failures = sent.failures.get(item_id, 0)
            if len(text.texts) <= events and len(text.failed_at) <= failures:
                continue
            message = PartialText(
                job_id=text.job_id,
                item_id=item_id,
                from_event=events,
                last_event=text.last_event,
                texts=text.texts[events:],
                failed_at=text.failed_at,
            )
            sent.events[item_id] = len(text.texts)
            sent.failures[item_id] = len(text.failed_at)
            parts.append(message)
            size += message.ByteSize()
            if size > MAX_BYTES_PER_MESSAGE:
                break
        sent.retain_only(self._texts.keys())
        return parts

    def removed_items(self, sent: SentOffsets) -> set[str]:
        """Return the items that were sent in part and no longer run."""
        return (sent.events.keys() | sent.failures.keys()) - self._texts.keys()

    def apply(self, parts: Iterable[PartialText]) -> list[TextMismatch]:
        """Apply parts from the leader; return those that do not begin at the end of the copy.

        A part that would leave a gap is ignored.
        """
        mismatches = []
        for message in parts:
            text = self.get_or_create(message.job_id, message.item_id)
            text.failed_at = list(message.failed_at)
            held_events = len(text.texts)
            if message.from_event != held_events:
                mismatches.append(TextMismatch(message.item_id, message.from_event, held_events))
            if message.from_event > held_events or not message.HasField("last_event"):
                continue
            text.texts[message.from_event :] = list(message.texts)
            text.last_event = message.last_event
        return mismatches
