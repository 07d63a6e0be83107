"""Copies of partial texts under random histories of leaders, messages and restarts."""

import random
from dataclasses import dataclass, field

import pytest

from wharfcart.cluster.messages_pb2 import JobUpdate, PartialText, RequestItem, RequestJob
from wharfcart.storage.job_database import JobDatabase
from wharfcart.storage.partial_texts import ItemKey, PartialTexts, SentOffsets

STEPS = 150
NODES = 3


@dataclass
class Copy:
    """One node's copy of an item's text, in memory and on disk."""

    database: JobDatabase
    texts: PartialTexts = field(default_factory=PartialTexts)
    saved: SentOffsets = field(default_factory=SentOffsets)
    sent: dict[int, SentOffsets] = field(default_factory=dict)
    leads: bool = False

    @property
    def events(self) -> list[str]:
        return self.texts.get_or_create("j", "i").texts


class TextHistory:
    """Nodes that lead in turn; each message may arrive late, twice, in any order, or never.

    An event names the epoch of its run and the number of events that the run was asked to skip.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.copies = [Copy(make_database()) for _ in range(NODES)]
        self.messages: list[tuple[int, int, list[PartialText]]] = []
        self.epoch = 0
        self.mismatches = 0
        self.longest = 0

    def run(self) -> None:
        actions = [
            self.lead,
            self.add_events,
            self.add_events,
            self.send,
            self.send,
            self.deliver,
            self.deliver,
            self.deliver,
            self.lose_messages,
            self.save,
            self.save,
            self.restart,
        ]
        for _ in range(STEPS):
            self.random.choice(actions)()
            for copy in self.copies:
                check_runs(copy.events)
                self.longest = max(self.longest, len(copy.events))

    def lead(self) -> None:
        """Start the next epoch; the leader before may go on unaware."""
        self.epoch += 1
        leader = self.random.choice(self.copies)
        leader.leads = True
        leader.texts.begin_epoch(self.epoch)
        leader.sent = {}

    def add_events(self) -> None:
        for copy in self.copies:
            if copy.leads:
                text = copy.texts.get_or_create("j", "i")
                continues_run = text.last_epoch == text.leader_epoch
                asked_after = text.spans[-1].start if continues_run else len(text.texts)
                for _ in range(self.random.randint(1, 4)):
                    number = len(text.texts)
                    text.add_event(number, f"{text.leader_epoch}/{asked_after}/{number}")

    def send(self) -> None:
        for source, copy in enumerate(self.copies):
            target = self.random.randrange(NODES)
            if not copy.leads or target == source:
                continue
            offsets = copy.sent.setdefault(target, SentOffsets())
            parts = copy.texts.take_unsent(offsets)
            if parts:
                self.messages.append((copy.texts.leader_epoch, target, parts))
            if self.random.random() < 0.2:
                copy.sent[target] = SentOffsets()  # the answer is lost

    def deliver(self) -> None:
        if not self.messages:
            return
        message = self.random.choice(self.messages)
        if self.random.random() < 0.7:
            self.messages.remove(message)
        epoch, target, parts = message
        copy = self.copies[target]
        if copy.leads and copy.texts.leader_epoch >= epoch:
            return
        copy.leads = False
        mismatches = copy.texts.apply(parts)
        self.mismatches += len(mismatches)
        for sender in self.copies:
            if sender.leads and sender.texts.leader_epoch == epoch and target in sender.sent:
                sender.sent[target].forget(ItemKey(one.job_id, one.item_id) for one in mismatches)

    def lose_messages(self) -> None:
        self.messages = self.messages[-self.random.randrange(8) :]

    def save(self) -> None:
        copy = self.random.choice(self.copies)
        parts = copy.texts.take_unsent(copy.saved)
        if self.random.random() < 0.1:
            copy.saved = SentOffsets()  # the disk failed, before or after the write
            if self.random.random() < 0.5:
                return
        copy.saved.forget(copy.database.save_partial_texts(0, parts, []))

    def restart(self) -> None:
        copy = self.random.choice(self.copies)
        copy.leads = False
        copy.texts = PartialTexts()
        copy.texts.apply(copy.database.load_partial_texts(0))
        copy.saved = SentOffsets()
        copy.texts.take_unsent(copy.saved)


def make_database() -> JobDatabase:
    database = JobDatabase(None)
    job = RequestJob(job_id="j", items=[RequestItem(item_id="i")])
    database.apply_updates(0, 1, [JobUpdate(job_id="j", epoch=1, job=job)])
    return database


def check_runs(events: list[str]) -> None:
    """Check that each run goes on after the event that it was asked to go on after."""
    last_epoch = ""
    for number, event in enumerate(events):
        epoch, asked_after, own_number = event.split("/")
        assert int(own_number) == number, events
        if epoch != last_epoch:
            assert int(asked_after) == number, f"joined at {number}: {events}"
        last_epoch = epoch


@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_no_copy_joins_runs_whatever_arrives_late_twice_or_never(first_seed: int) -> None:
    """Guards against a text that goes on with a run that began after another event."""
    histories = [TextHistory(seed) for seed in range(first_seed, first_seed + 50)]
    for history in histories:
        history.run()
    assert sum(history.mismatches for history in histories) > len(histories) // 2
    assert sum(history.longest > 10 for history in histories) > len(histories) // 2
