"""Measures what the replication of a job group costs, in bytes on the wire and in microseconds.

Prints JSON: updates of jobs at the leader and at a replica, partial texts of running items, and
takeovers. Times are medians of single calls; a leader's time is the one for all its replicas.
"""

import asyncio
import gc
import json
import tempfile
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from time import perf_counter

from wharfcart.cluster.messages_pb2 import (
    ItemOutcome,
    JobUpdate,
    PartialText,
    ReplicateJobs,
    ReplicateResult,
    RequestItem,
    RequestJob,
)
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_database import JobDatabase
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.message_order import FIRST_SESSION, MessageNumber, MessageOrder
from wharfcart.storage.partial_texts import PartialTexts, SentOffsets
from wharfcart.storage.replica_links import state_to_message
from wharfcart.storage.replicated_job import JobState
from wharfcart.storage.takeover import Takeover

GROUP = 3
EPOCH = 7
REPLICAS = ("3f1c09d2a7b4", "8e0f6b51c3d9", "c47a92e0f815")
JOBS = 40
ITEMS_PER_JOB = 16
BODY_BYTES = 4000
RESULT_BYTES = 1500
RUNNING_ITEMS = 250
WAITING_ITEMS = 2000
EVENTS_PER_ROUND = 60
EVENT_TEXT = "some words that were generated "
TEXT_ROUNDS = 150
TAKEOVERS = 3
JOBS_PER_WRITE = 500
TAKEOVER_JOBS = (400, 4000, 20_000)
TAKEOVER_ITEMS = 2
TAKEOVER_BODY_BYTES = 200


class Durations:
    """Durations of calls in microseconds, by name."""

    def __init__(self) -> None:
        self._values: dict[str, list[float]] = defaultdict(list)

    @contextmanager
    def measure(self, name: str) -> Iterator[None]:
        started_at = perf_counter()
        yield
        self._values[name].append((perf_counter() - started_at) * 1e6)

    def medians(self) -> dict[str, float]:
        return {name: round(median(values), 1) for name, values in self._values.items()}


class Replica:
    """Writes a leader's messages as a storage node does."""

    def __init__(self, folder: Path | None) -> None:
        self.database = JobDatabase(folder)
        self.database.promise_epoch(GROUP, EPOCH)
        self._order = MessageOrder()
        self._order.begin_session(EPOCH, FIRST_SESSION)
        self._partial_texts = PartialTexts()

    def handle(self, data: bytes) -> bytes:
        message = ReplicateJobs.FromString(data)
        number = MessageNumber(message.session, message.sequence)
        assert self._order.admit(message.epoch, number)
        applied = self.database.apply_updates(GROUP, message.epoch, list(message.updates))
        assert applied is not None
        mismatches = self._partial_texts.apply(message.partial_texts)
        result = ReplicateResult(
            accepted=True,
            epoch=message.epoch,
            mismatched_jobs=[state_to_message(state) for state in applied.mismatches] or None,
            mismatched_texts=[mismatch.item_id for mismatch in mismatches] or None,
        )
        assert not result.mismatched_jobs and not result.mismatched_texts
        return result.SerializeToString()


def new_message(
    number: MessageNumber, updates: Sequence[JobUpdate], texts: Sequence[PartialText]
) -> bytes:
    return ReplicateJobs(
        group=GROUP,
        epoch=EPOCH,
        leader=REPLICAS[0],
        target=REPLICAS[1],
        updates=updates,
        partial_texts=texts,
        session=number.session,
        sequence=number.sequence,
    ).SerializeToString()


def new_job(number: int, items: int, body_bytes: int) -> RequestJob:
    job_id = f"job-{number:020d}"
    requests = [
        RequestItem(item_id=f"{job_id}-{n}", path="/v1/c", body=b"b" * body_bytes, tokens=300)
        for n in range(items)
    ]
    return RequestJob(
        job_id=job_id, host="leha27.example", path="/v1/jobs", most_attempts=5, items=requests
    )


# ---- job updates ----


def job_update_figures(folder: Path | None) -> dict[str, object]:
    """Return costs of acceptances, results and ends, and of the epoch after a takeover."""
    durations = Durations()
    byte_counts: dict[str, list[int]] = defaultdict(list)
    leadership = JobLeadership(EPOCH, 2, frozenset(REPLICAS))
    for identity in REPLICAS:
        leadership.add_replica(identity, [])
    replica = Replica(folder)
    numbers = dict.fromkeys(REPLICAS, MessageNumber())

    def replicate(kind: str, change: Callable[[], object]) -> None:
        with durations.measure(f"leader_{kind}"):
            change()
            for identity in REPLICAS:
                updates = leadership.updates_for(identity)
                numbers[identity] = numbers[identity].next_message()
                data = new_message(numbers[identity], updates, [])
                leadership.record_written(identity, updates)
        with durations.measure(f"replica_{kind}"):
            answer = replica.handle(data)
        byte_counts[kind].append(len(data) + len(answer))

    for job_number in range(JOBS):
        job = new_job(job_number, ITEMS_PER_JOB, BODY_BYTES)
        replicate("accept", lambda job=job: leadership.accept_job(job))
        for item in job.items:
            outcome = ItemOutcome(item_id=item.item_id, succeeded=True, text=b"t" * RESULT_BYTES)
            replicate(
                "result",
                lambda job=job, outcome=outcome: leadership.append_result(job.job_id, outcome),
            )
        replicate("end", lambda job=job: leadership.end_job(job.job_id))
    for _ in range(JOBS):
        replicate("heartbeat", lambda: None)
    replica.database.close()
    updates = JOBS * (ITEMS_PER_JOB + 2)
    sizes = {kind: round(sum(counts) / len(counts), 1) for kind, counts in byte_counts.items()}
    total = sum(sum(counts) for kind, counts in byte_counts.items() if kind != "heartbeat")
    return {
        "microseconds": durations.medians(),
        "bytes": sizes | {"mean_update": round(total / updates, 1)},
    }


# ---- partial texts ----


def partial_text_figures(folder: Path) -> dict[str, object]:
    """Return costs of the texts of running items, while others wait."""
    durations = Durations()
    leader, copy = PartialTexts(), PartialTexts()
    leader.begin_epoch(EPOCH)
    running, waiting = [
        [f"job-{n // ITEMS_PER_JOB:020d}-{kind}{n}" for n in range(count)]
        for kind, count in (("r", RUNNING_ITEMS), ("w", WAITING_ITEMS))
    ]
    for n, item_id in enumerate(waiting):
        text = leader.get_or_create(item_id[:24], item_id)
        if n % 2:  # was interrupted
            text.add_event(0, EVENT_TEXT)
    receivers = [SentOffsets() for _ in REPLICAS]
    databases = {"disk": JobDatabase(folder), "memory": JobDatabase(None)}
    for sent in receivers:
        while leader.take_unsent(sent):
            pass
    number = MessageNumber()
    sizes, saved_parts = [], 0
    for round_number in range(TEXT_ROUNDS):
        for n in range(EVENTS_PER_ROUND):
            item_id = running[(round_number * EVENTS_PER_ROUND + n) % RUNNING_ITEMS]
            text = leader.get_or_create(item_id[:24], item_id)
            text.add_event(len(text.texts), EVENT_TEXT)
        with durations.measure("take_unsent_3_receivers"):
            parts = [leader.take_unsent(sent) for sent in receivers][-1]
        number = number.next_message()
        data = new_message(number, [], parts)
        sizes.append(len(data))
        message = ReplicateJobs.FromString(data)
        with durations.measure("apply"):
            mismatches = copy.apply(message.partial_texts)
        assert not mismatches
        for name, database in databases.items():
            with durations.measure(f"save_{name}"):
                database.save_partial_texts(GROUP, parts, ())
        saved_parts += len(parts)
        with durations.measure("take_nothing_3_receivers"):
            for sent in receivers:
                leader.take_unsent(sent)
    for database in databases.values():
        database.close()
    return {
        "microseconds": durations.medians(),
        "bytes_per_part": round(sum(sizes) / saved_parts, 1),
    }


# ---- takeovers ----


class DatabaseLink:
    """Link to a replica in this process."""

    def __init__(self, database: JobDatabase) -> None:
        self._database = database

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        self._database.promise_epoch(GROUP, epoch)
        return self._database.job_states(GROUP)

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        return self._database.load_jobs(job_ids)


def takeover_figures(count: int) -> dict[str, float]:
    """Return milliseconds of the promises and of the newest states, and until a replica has them.

    The jobs are small, so that the work for each one shows.
    """
    databases = {identity: JobDatabase(None) for identity in REPLICAS}
    for first in range(0, count, JOBS_PER_WRITE):
        updates = []
        for n in range(first, first + JOBS_PER_WRITE):
            job = new_job(n, TAKEOVER_ITEMS, TAKEOVER_BODY_BYTES)
            result = ItemOutcome(item_id=job.items[0].item_id, succeeded=True, text=b"t")
            updates.append(JobUpdate(job_id=job.job_id, epoch=EPOCH, job=job, results=[result]))
        for database in databases.values():
            database.apply_updates(GROUP, EPOCH, updates)
    durations = Durations()
    for epoch in range(EPOCH + 1, EPOCH + 1 + TAKEOVERS):
        gc.collect()
        asyncio.run(take_over(databases, epoch, durations))
    for database in databases.values():
        database.close()
    return {name: round(us / 1000, 2) for name, us in durations.medians().items()}


async def take_over(databases: dict[str, JobDatabase], epoch: int, durations: Durations) -> None:
    links = {identity: DatabaseLink(database) for identity, database in databases.items()}
    record = GroupRecord(epoch, REPLICAS[0], frozenset(REPLICAS))
    takeover = Takeover(record, REPLICAS[0], 2, links.__getitem__)  # type: ignore[arg-type]
    with durations.measure("until_leading"):
        with durations.measure("promises"):
            assert await takeover.collect_promises(lambda: False)
        with durations.measure("newest_jobs"):
            jobs = await takeover.newest_jobs()
        with durations.measure("leadership"):
            leadership = JobLeadership(epoch, 2, frozenset(REPLICAS))
            leadership.inherit(jobs)
            for identity, states in takeover.states_by_identity.items():
                leadership.add_replica(identity, states)
    for identity, database in databases.items():
        if identity not in takeover.states_by_identity:
            leadership.add_replica(identity, database.job_states(GROUP))
        with durations.measure("backlog_of_a_replica"):
            while updates := leadership.updates_for(identity):
                database.apply_updates(GROUP, epoch, updates)
                leadership.record_written(identity, updates)


def main() -> None:
    with tempfile.TemporaryDirectory(prefix="wharfcart-bench-") as folder:
        figures = {
            "benchmark": "job_replication",
            "job_updates_disk": job_update_figures(Path(folder) / "jobs"),
            "job_updates_memory": job_update_figures(None),
            "partial_texts": partial_text_figures(Path(folder) / "texts"),
            "takeover_ms_by_jobs": {str(count): takeover_figures(count) for count in TAKEOVER_JOBS},
        }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
