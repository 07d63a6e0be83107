"""Texts of items that still run: at the leader as they come, at the replicas a moment later.

Kept in memory only: losing one costs a run, not a result. A new leader goes on after the last
event.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import PartialText

MOST_BYTES_A_MESSAGE = 256 * 1024


@dataclass
class RunningText:
    """Data of an item's events so far; ``last_event`` is the number of the last one, if any."""

    job_id: str
    last_event: int | None = None
    texts: list[str] = field(default_factory=list)

    def add(self, number: int, text: str) -> None:
        """Add the next event."""
        self.last_event = number
        self.texts.append(text)


@dataclass
class PartialTexts:
    """Running texts of one job group, by item."""

    _texts: dict[str, RunningText] = field(default_factory=dict)

    def of(self, job_id: str, item_id: str) -> RunningText:
        """Return an item's text, empty at first."""
        return self._texts.setdefault(item_id, RunningText(job_id))

    def drop(self, item_id: str) -> None:
        """Forget an item that has its result."""
        self._texts.pop(item_id, None)

    def drop_job(self, job_id: str) -> None:
        """Forget the items of a job that is over."""
        over = [item_id for item_id, text in self._texts.items() if text.job_id == job_id]
        for item_id in over:
            del self._texts[item_id]

    def since(self, sent: dict[str, int]) -> list[PartialText]:
        """Return what a replica lacks that has so many events of each item, and note it as sent."""
        news = []
        size = 0
        for item_id, text in self._texts.items():
            known = sent.get(item_id, 0)
            if len(text.texts) <= known or text.last_event is None:
                continue
            message = PartialText(
                job_id=text.job_id,
                item_id=item_id,
                from_event=known,
                last_event=text.last_event,
                texts=text.texts[known:],
            )
            sent[item_id] = len(text.texts)
            news.append(message)
            size += message.ByteSize()
            if size > MOST_BYTES_A_MESSAGE:
                break
        for item_id in sent.keys() - self._texts.keys():
            del sent[item_id]
        return news

    def take(self, news: Iterable[PartialText]) -> None:
        """Take what the leader sent; a part that does not fit on is left out."""
        for message in news:
            text = self.of(message.job_id, message.item_id)
            if message.from_event > len(text.texts):
                continue
            text.texts[message.from_event :] = list(message.texts)
            text.last_event = message.last_event
