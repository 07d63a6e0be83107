"""Simulated runs of batch items, with events that show which run of which text they belong to."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from wharfcart.cluster.messages_pb2 import ItemOutcome
from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.partial_texts import ItemPartialText
from wharfcart.storage.replicated_job import NO_EPOCH, ReplicatedJob

MIN_STEP_S = 0.05
MAX_STEP_S = 0.5
MAX_EVENTS_PER_STEP = 3
INTERRUPTED_SHARE = 0.1
FAILED_SHARE = 0.02
MIN_EVENTS = 2
MAX_EVENTS = 12
# Software versions of the back ends, one of which a run is at.
VERSIONS = (SoftwareVersion("v1"), SoftwareVersion("v2"))


def event_count_of(item_id: str) -> int:
    """Return the number of events that a complete text of an item has."""
    return MIN_EVENTS + xxhash.xxh32_intdigest(item_id.encode()) % (MAX_EVENTS - MIN_EVENTS + 1)


def find_text_fault(events: Sequence[str]) -> str:
    """Return what is wrong with the events of an item's text, or an empty string.

    Each event has its position and follows the events that its run has sent or was asked to skip,
    at the same software version.
    """
    run_before = ""
    preceding = xxhash.xxh32()
    for position, event in enumerate(events):
        run, asked_after, number, digest = event.split("/")
        if int(number) != position:
            return f"event {number} at position {position}: {list(events)}"
        if run != run_before and int(asked_after) != position:
            return f"joined at position {position}: {list(events)}"
        if digest != preceding.hexdigest():
            return f"another text before position {position}: {list(events)}"
        if run_before and _version_of(run) != _version_of(run_before):
            return f"two versions at position {position}: {list(events)}"
        run_before = run
        preceding.update(event.encode())
    return ""


def _version_of(run: str) -> str:
    return run.rpartition("@")[2]


@dataclass
class RunCounts:
    """Numbers of runs that went on with a text.

    Attributes:
        resumed: runs that were asked to skip events.
        inherited: those of them whose last known event was of another leader.
    """

    resumed: int = 0
    inherited: int = 0


class Run:
    """One run of an item at a version, which goes on after the events that are known there."""

    def __init__(
        self,
        name: str,
        record: ReplicatedJob,
        text: ItemPartialText,
        version: SoftwareVersion,
    ) -> None:
        text.continue_at(version)
        self.record = record
        self.text = text
        self.next_step_at = 0.0
        self.position = len(text.texts)
        self._prefix = f"{name}@{version}/{self.position}"
        self._preceding = xxhash.xxh32("".join(text.texts).encode())

    def add_event(self) -> None:
        """Receive the next event."""
        event = f"{self._prefix}/{self.position}/{self._preceding.hexdigest()}"
        self.text.add_event(self.position, event)
        self._preceding.update(event.encode())
        self.position += 1


class ItemRuns:
    """Runs the items of one leadership.

    Args:
        rng: source of randomness.
        name: name of the leader, unique among the leaders of all epochs.
        group: the leader's group.
        leadership: the leadership; the runs end with it.
        counts: counts the runs.
    """

    def __init__(
        self,
        rng: random.Random,
        name: str,
        group: JobGroup,
        leadership: JobLeadership,
        counts: RunCounts,
    ) -> None:
        self.leadership = leadership
        self._rng = rng
        self._name = name
        self._group = group
        self._counts = counts
        self._runs: dict[str, Run] = {}
        self._run_count = 0

    def advance(self, now: float, starts: int) -> None:
        """Start runs of some items, and let those that run receive events, fail, break or end."""
        open_jobs = [job for job in self.leadership.jobs.values() if _is_open(job)]
        for _ in range(starts):
            if open_jobs:
                self._start_item_of(self._rng.choice(open_jobs))
        for item_id, run in list(self._runs.items()):
            if now >= run.next_step_at:
                run.next_step_at = now + self._rng.uniform(MIN_STEP_S, MAX_STEP_S)
                self._step(item_id, run)

    def _start_item_of(self, record: ReplicatedJob) -> None:
        busy_ids = {result.item_id for result in record.results} | self._runs.keys()
        waiting_ids = [item.item_id for item in record.job.items if item.item_id not in busy_ids]
        if not waiting_ids:
            return
        self._run_count += 1
        item_id = self._rng.choice(waiting_ids)
        text = self._group.partial_texts.get_or_create(
            record.job.job_id, item_id, record.submission
        )
        # Drawn apart, so that seeds kept from earlier builds play the same runs.
        version = random.Random(f"{self._name}.{self._run_count}").choice(VERSIONS)
        self._runs[item_id] = Run(f"{self._name}.{self._run_count}", record, text, version)
        self._counts.resumed += bool(text.texts)
        self._counts.inherited += text.last_epoch not in (NO_EPOCH, self.leadership.epoch)

    def _step(self, item_id: str, run: Run) -> None:
        if run.record.ended or self._rng.random() < INTERRUPTED_SHARE:
            del self._runs[item_id]
            return
        if self._rng.random() < FAILED_SHARE:
            run.text.failed_at.append(self._name)
        missing = event_count_of(item_id) - run.position
        for _ in range(min(missing, self._rng.randint(1, MAX_EVENTS_PER_STEP))):
            run.add_event()
        if run.position == event_count_of(item_id):
            self._finish(item_id, run)

    def _finish(self, item_id: str, run: Run) -> None:
        del self._runs[item_id]
        text = "\n".join(run.text.texts).encode()
        outcome = ItemOutcome(item_id=item_id, succeeded=True, text=text)
        job_id = run.record.job.job_id
        self.leadership.append_result(job_id, outcome)
        self._group.partial_texts.remove_item(job_id, item_id, run.record.submission)
        self._group.wake_sessions()


def _is_open(record: ReplicatedJob) -> bool:
    return not record.is_complete and not record.ended
