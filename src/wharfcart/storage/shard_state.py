"""Shard state machine: applies the committed entries of one shard.

Deterministic and pure. Rows on disk hold bulk values (file lines, item results, stored responses);
memory holds one byte per item and small records, so that a job of 690,000 items takes less than a
megabyte. Memory can be rebuilt from the rows alone, and applying an entry twice is harmless, so a
snapshot may be read while it changes (as in ZooKeeper's fuzzy snapshots).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, StrEnum

from wharfcart.cluster.messages_pb2 import (
    UNKNOWN,
    Command,
    FileAppend,
    FileRecord,
    FileSeal,
    ItemResult,
    ItemsComplete,
    ItemsLease,
    JobCancel,
    JobCreate,
    JobRecord,
    JobView,
    KeyFinish,
    KeyRecord,
    KeyStart,
    Lease,
    LeaseEnd,
    ProposeResult,
    Row,
)


class RowKind(StrEnum):
    """Kinds of rows that a shard stores on disk."""

    LINE = "line"  # id: file, number: input row
    CLASSES = "classes"  # id: file, number: first row, value: one byte per row
    RESULT = "result"  # id: job, number: input row
    FILE = "file"
    JOB = "job"
    LEASE = "lease"  # id: lease, value names its job
    KEY = "key"


class ItemState(IntEnum):
    """State of one batch item; stored as one byte."""

    PENDING = 0
    LEASED = 1
    COMPLETED = 2
    FAILED = 3
    UNKNOWN = 4
    CANCELLED = 5


# Attempts of builds that do not number them.
UNNUMBERED_ATTEMPT = 0


class KeyState(StrEnum):
    """State of an idempotency key."""

    STARTED = "started"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


FINAL_ITEM_STATES = (
    ItemState.COMPLETED,
    ItemState.FAILED,
    ItemState.UNKNOWN,
    ItemState.CANCELLED,
)
_STATE_BY_END = {0: ItemState.COMPLETED, 1: ItemState.FAILED, 2: ItemState.UNKNOWN}


@dataclass
class BatchJob:
    """One batch job in memory."""

    record: JobRecord
    states: bytearray
    classes: bytes  # one byte per row: index into the record's service names
    pending_from: dict[int, int] = field(default_factory=dict)  # first row to search, by class

    @property
    def cancelled(self) -> bool:
        """Whether the job was cancelled."""
        return self.record.cancelled_ms > 0

    def count(self, state: ItemState) -> int:
        """Return how many items are in ``state``."""
        return self.states.count(state)

    @property
    def finished(self) -> bool:
        """Whether every item is in a final state."""
        return self.record.finished_ms > 0

    def next_pending(self, class_: int, limit: int) -> list[int]:
        """Return up to ``limit`` pending rows of one class, lowest first, without marking them."""
        rows: list[int] = []
        position = self.pending_from.get(class_, 0)
        while len(rows) < limit:
            position = self._next_pending_row(class_, position)
            if not rows:
                self.pending_from[class_] = position if position >= 0 else len(self.states)
            if position < 0:
                break
            rows.append(position)
            position += 1
        return rows

    def _next_pending_row(self, class_: int, position: int) -> int:
        while position >= 0:
            position = self.states.find(ItemState.PENDING, position)
            if position < 0 or self.classes[position] == class_:
                return position
            # Skip to the next row of the class: a job may be long and of mixed classes.
            position = self.classes.find(class_, position)
        return position

    def has_open_items(self) -> bool:
        """Whether some item is pending or leased."""
        return ItemState.PENDING in self.states or ItemState.LEASED in self.states

    def make_pending(self, row: int) -> None:
        """Make a leased row pending again."""
        self.states[row] = ItemState.PENDING
        class_ = self.classes[row]
        self.pending_from[class_] = min(self.pending_from.get(class_, 0), row)

    def cancel_pending(self) -> None:
        """Cancel every item that is not leased."""
        pending = bytes([ItemState.PENDING])
        self.states = self.states.replace(pending, bytes([ItemState.CANCELLED]))

    @property
    def summarized(self) -> bool:
        """Whether only the counts of the items are kept."""
        return self.finished and not self.record.unknown

    def finish(self, now_ms: int) -> None:
        """Mark the job as finished and reduce its items to counts.

        A job with items of unknown outcome keeps its items, since a late result may resolve them.
        """
        record = self.record
        record.completed = self.count(ItemState.COMPLETED)
        record.failed = self.count(ItemState.FAILED)
        record.cancelled = self.count(ItemState.CANCELLED)
        record.unknown = self.count(ItemState.UNKNOWN)
        record.finished_ms = now_ms
        if self.summarized:
            self.states, self.classes = bytearray(), b""

    def _counts(self) -> dict[str, int]:
        if self.summarized:
            record = self.record
            return {
                "completed": record.completed,
                "failed": record.failed,
                "cancelled": record.cancelled,
            }
        return {
            "completed": self.count(ItemState.COMPLETED),
            "failed": self.count(ItemState.FAILED),
            "cancelled": self.count(ItemState.CANCELLED),
            "unknown": self.count(ItemState.UNKNOWN),
            "leased": self.count(ItemState.LEASED),
        }

    def to_view(self) -> JobView:
        """Return the job as callers see it."""
        create = self.record.create
        return JobView(
            job_id=create.job_id,
            tenant=create.tenant,
            state=self._state_name(),
            total=self.record.rows,
            **self._counts(),
            created_ms=self.record.created_ms,
            deadline_ms=create.deadline_ms,
            file_id=create.file_id,
            endpoint=create.endpoint,
            metadata=create.metadata,
            finished_ms=self.record.finished_ms,
            cancelled_ms=self.record.cancelled_ms,
        )

    def _state_name(self) -> str:
        if self.cancelled:
            return "cancelled" if self.finished else "cancelling"
        return "completed" if self.finished else "in_progress"


@dataclass
class ShardState:
    """State of one shard, and the rows that its last entries changed."""

    applied_index: int = 0
    files: dict[str, FileRecord] = field(default_factory=dict)
    jobs: dict[str, BatchJob] = field(default_factory=dict)
    leases: dict[str, Lease] = field(default_factory=dict)
    keys: dict[str, KeyRecord] = field(default_factory=dict)
    file_classes: dict[str, bytearray] = field(default_factory=dict)
    previous_backends: dict[tuple[str, int], str] = field(default_factory=dict)
    dropped_completions: int = 0
    changed_rows: list[Row] = field(default_factory=list)
    deleted_rows: list[Row] = field(default_factory=list)

    def apply(self, index: int, command: Command) -> ProposeResult:
        """Apply one committed entry and return the result for its proposer."""
        self.applied_index = index
        kind = command.WhichOneof("body")
        now_ms = command.at_ms
        if kind == "file_append":
            return self._file_append(command.file_append, now_ms)
        if kind == "file_seal":
            return self._file_seal(command.file_seal, now_ms)
        if kind == "job_create":
            return self._job_create(command.job_create, now_ms)
        if kind == "job_cancel":
            return self._job_cancel(command.job_cancel, now_ms)
        if kind == "items_lease":
            return self._items_lease(command.items_lease, now_ms)
        if kind == "items_complete":
            return self._items_complete(command.items_complete, now_ms)
        if kind == "lease_end":
            return self._lease_end(command.lease_end, now_ms)
        if kind == "key_start":
            return self._key_start(command.key_start, now_ms)
        if kind == "key_finish":
            return self._key_finish(command.key_finish, now_ms)
        if kind == "expire":
            return self._expire(command.expire.before_ms, command.expire.most)
        return ProposeResult(code="ok")

    def take_changes(self) -> tuple[list[Row], list[Row]]:
        """Return the rows to put and the rows to delete since the last call."""
        changes = (self.changed_rows, self.deleted_rows)
        self.changed_rows, self.deleted_rows = [], []
        return changes

    # ---- files ----

    def _file_append(self, append: FileAppend, now_ms: int) -> ProposeResult:
        record = self.files.get(append.file_id)
        if record is None:
            record = FileRecord(file_id=append.file_id, tenant=append.tenant, created_ms=now_ms)
            self.files[append.file_id] = record
            self.file_classes[append.file_id] = bytearray()
            self._put(RowKind.FILE, append.file_id, 0, record.SerializeToString())
        if record.sealed:
            return ProposeResult(code="sealed")
        classes = self.file_classes[append.file_id]
        # A repeated append writes the same rows; it must not truncate rows appended later.
        classes[append.first_row : append.first_row + len(append.classes)] = append.classes
        del record.service_names[:]
        record.service_names.extend(append.service_names)
        self._put(RowKind.CLASSES, append.file_id, append.first_row, append.classes)
        for offset, line in enumerate(append.lines):
            self._put(RowKind.LINE, append.file_id, append.first_row + offset, line)
        return ProposeResult(code="ok")

    def _file_seal(self, seal: FileSeal, now_ms: int) -> ProposeResult:
        record = self.files.get(seal.file_id)
        if record is None:
            record = FileRecord(file_id=seal.file_id, tenant=seal.tenant, created_ms=now_ms)
            self.files[seal.file_id] = record
        record.rows = seal.rows
        record.bytes = seal.bytes
        record.digest = seal.digest
        record.filename = seal.filename
        record.sealed = True
        self._put(RowKind.FILE, seal.file_id, 0, record.SerializeToString())
        return ProposeResult(code="ok", file=record)

    # ---- jobs ----

    def _job_create(self, create: JobCreate, now_ms: int) -> ProposeResult:
        known = self.jobs.get(create.job_id)
        if known is not None:
            return ProposeResult(code="ok", job=known.to_view())
        source = self.files.get(create.file_id)
        if source is None or not source.sealed or source.tenant != create.tenant:
            return ProposeResult(code="file_not_found")
        record = JobRecord(
            create=create,
            created_ms=now_ms,
            rows=source.rows,
            service_names=source.service_names,
        )
        classes = bytes(self.file_classes.get(create.file_id, b""))
        job = BatchJob(record, bytearray(source.rows), classes)
        if source.rows == 0:
            job.finish(now_ms)
        self.jobs[create.job_id] = job
        self._put_job(job)
        return ProposeResult(code="ok", job=job.to_view())

    def _job_cancel(self, cancel: JobCancel, now_ms: int) -> ProposeResult:
        job = self.jobs.get(cancel.job_id)
        if job is None or job.record.create.tenant != cancel.tenant:
            return ProposeResult(code="job_not_found")
        if not job.cancelled and not job.finished:
            job.record.cancelled_ms = now_ms
            job.cancel_pending()
            self._finish_if_done(job, now_ms)
            self._put_job(job)
        return ProposeResult(code="ok", job=job.to_view())

    def _finish_if_done(self, job: BatchJob, now_ms: int) -> None:
        if not job.finished and not job.has_open_items():
            job.finish(now_ms)
            self._put_job(job)

    # ---- items ----

    def _items_lease(self, lease: ItemsLease, now_ms: int) -> ProposeResult:
        job = self.jobs.get(lease.job_id)
        known = self.leases.get(lease.lease_id)
        if known is not None:
            return ProposeResult(code="ok", accepted=len(known.rows))
        if job is None or job.cancelled or job.finished:
            return ProposeResult(code="nothing_leased")
        rows = [row for row in lease.rows if job.states[row] == ItemState.PENDING]
        if not rows:
            return ProposeResult(code="nothing_leased")
        for row in rows:
            job.states[row] = ItemState.LEASED
        record = Lease(
            lease_id=lease.lease_id,
            job_id=lease.job_id,
            holder=lease.holder,
            rows=rows,
            at_ms=now_ms,
            backend_id=lease.backend_id,
            runner=lease.runner,
            poll=lease.poll,
        )
        self.leases[lease.lease_id] = record
        self._put(RowKind.LEASE, lease.lease_id, 0, record.SerializeToString())
        return ProposeResult(code="ok", accepted=len(rows))

    def _items_complete(self, complete: ItemsComplete, now_ms: int) -> ProposeResult:
        job = self.jobs.get(complete.job_id)
        if job is None:
            return ProposeResult(code="job_not_found", dropped=len(complete.results))
        accepted = 0
        for result in complete.results:
            if self._complete_item(job, result):
                accepted += 1
        dropped = len(complete.results) - accepted
        self.dropped_completions += dropped
        lease = self.leases.get(complete.lease_id)
        if lease is not None and not self._is_lease_open(job, lease):
            self._drop_lease(complete.lease_id)
        self._finish_if_done(job, now_ms)
        return ProposeResult(code="ok", accepted=accepted, dropped=dropped)

    def _complete_item(self, job: BatchJob, result: ItemResult) -> bool:
        # The first valid completion wins, even after its lease ended. A late result resolves an
        # item whose outcome was unknown.
        if result.row >= len(job.states):
            return False
        state = ItemState(job.states[result.row])
        end = _STATE_BY_END[result.end]
        definite_after_unknown = state is ItemState.UNKNOWN and end is not ItemState.UNKNOWN
        if state in FINAL_ITEM_STATES and not definite_after_unknown:
            return False
        job.states[result.row] = end
        job_id = job.record.create.job_id
        self._put(RowKind.RESULT, job_id, result.row, result.SerializeToString())
        return True

    def _is_lease_open(self, job: BatchJob, lease: Lease) -> bool:
        return not job.summarized and any(job.states[r] == ItemState.LEASED for r in lease.rows)

    def _lease_end(self, end: LeaseEnd, now_ms: int) -> ProposeResult:
        """End a lease or some of its rows; make rows pending that did not run or are repeatable."""
        lease = self.leases.get(end.lease_id)
        if lease is None:
            return ProposeResult(code="ok")
        job = self.jobs[lease.job_id]
        if job.summarized:
            self._drop_lease(end.lease_id)
            return ProposeResult(code="ok")
        not_run = set(end.not_run)
        for row in end.rows or lease.rows:
            if job.states[row] != ItemState.LEASED:
                continue
            if row not in not_run and not end.repeatable:
                self._complete_item(job, ItemResult(row=row, end=UNKNOWN))
            elif job.cancelled:
                job.states[row] = ItemState.CANCELLED
            else:
                job.make_pending(row)
                if row not in not_run:
                    self.previous_backends[(lease.job_id, row)] = lease.backend_id
        if not self._is_lease_open(job, lease):
            self._drop_lease(end.lease_id)
        self._finish_if_done(job, now_ms)
        return ProposeResult(code="ok")

    def _drop_lease(self, lease_id: str) -> None:
        del self.leases[lease_id]
        self._delete(RowKind.LEASE, lease_id, 0)

    # ---- idempotency keys ----

    def _key_start(self, start: KeyStart, now_ms: int) -> ProposeResult:
        """Claim a key, or return its known record."""
        known = self.keys.get(start.key)
        if known is not None and known.start.digest != start.digest:
            return ProposeResult(code="key_conflict", key_record=known)
        if known is not None and _is_late_claim(start, known):
            return ProposeResult(code="key_known", key_record=known)
        if known is not None and known.state != KeyState.NOT_RUN:
            if known.start.request_id != start.request_id or known.state != KeyState.STARTED:
                return ProposeResult(code="key_known", key_record=known)
            # Next attempt after a definite "not run".
            known.start.target = start.target
            known.start.attempt = start.attempt
            self._put(RowKind.KEY, start.key, 0, known.SerializeToString())
            return ProposeResult(code="ok", key_record=known)
        record = KeyRecord(start=start, state=KeyState.STARTED, at_ms=now_ms)
        self.keys[start.key] = record
        self._put(RowKind.KEY, start.key, 0, record.SerializeToString())
        return ProposeResult(code="ok", key_record=record)

    def _key_finish(self, finish: KeyFinish, now_ms: int) -> ProposeResult:
        record = self.keys.get(finish.key)
        if record is None or record.start.request_id != finish.request_id:
            return ProposeResult(code="key_not_found")
        if record.state == KeyState.COMPLETED or _is_late_outcome(finish, record):
            return ProposeResult(code="key_known", key_record=record)
        record.start.attempt = max(record.start.attempt, finish.attempt)
        record.state = finish.state
        record.status = finish.status
        record.content_type = finish.content_type
        record.at_ms = now_ms
        full = KeyRecord()
        full.CopyFrom(record)
        full.response = finish.response
        self._put(RowKind.KEY, finish.key, 0, full.SerializeToString())
        return ProposeResult(code="ok", key_record=full)

    # ---- retention ----

    def _expire(self, before_ms: int, limit: int) -> ProposeResult:
        """Delete finished jobs, files that no job uses, and keys older than ``before_ms``."""
        jobs = [
            job_id
            for job_id, job in self.jobs.items()
            if job.finished and job.record.finished_ms < before_ms
        ][:limit]
        for job_id in jobs:
            job = self.jobs.pop(job_id)
            self._delete(RowKind.JOB, job_id, 0)
            self._delete(RowKind.RESULT, job_id, job.record.rows, whole=True)
        in_use = {job.record.create.file_id for job in self.jobs.values()}
        files = [
            file_id
            for file_id, record in self.files.items()
            if record.created_ms < before_ms and file_id not in in_use
        ][:limit]
        for file_id in files:
            record = self.files.pop(file_id)
            self._delete(RowKind.FILE, file_id, 0)
            self.file_classes.pop(file_id, None)
            self._delete(RowKind.LINE, file_id, record.rows, whole=True)
            self._delete(RowKind.CLASSES, file_id, record.rows, whole=True)
        keys = [key for key, record in self.keys.items() if record.at_ms < before_ms][:limit]
        for key in keys:
            del self.keys[key]
            self._delete(RowKind.KEY, key, 0)
        return ProposeResult(code="ok", accepted=len(jobs) + len(files) + len(keys))

    # ---- rows ----

    def _put(self, kind: RowKind, id_: str, number: int, value: bytes) -> None:
        self.changed_rows.append(Row(kind=kind.value, id=id_, number=number, value=value))

    def _put_job(self, job: BatchJob) -> None:
        record = job.record
        self._put(RowKind.JOB, record.create.job_id, 0, record.SerializeToString())

    def _delete(self, kind: RowKind, id_: str, number: int, whole: bool = False) -> None:
        marker = b"whole" if whole else b""
        self.deleted_rows.append(Row(kind=kind.value, id=id_, number=number, value=marker))

    def _mark_leased(self, lease: Lease) -> None:
        job = self.jobs[lease.job_id]
        if job.summarized:
            return  # the job finished through other leases; this one is void
        for number in lease.rows:
            if job.states[number] == ItemState.PENDING:
                job.states[number] = ItemState.LEASED

    def load(self, rows: Iterable[Row], applied_index: int) -> None:
        """Rebuild memory from rows; skip lines, and use results only for the state of items."""
        results: list[tuple[str, int, int]] = []
        for row in rows:
            if row.kind == RowKind.FILE:
                self.files[row.id] = FileRecord.FromString(row.value)
                self.file_classes.setdefault(row.id, bytearray())
            elif row.kind == RowKind.CLASSES:
                self.file_classes.setdefault(row.id, bytearray())[row.number :] = row.value
            elif row.kind == RowKind.JOB:
                record = JobRecord.FromString(row.value)
                job = BatchJob(record, bytearray(), b"")
                if not job.summarized:
                    job.states = bytearray(record.rows)
                self.jobs[row.id] = job
            elif row.kind == RowKind.LEASE:
                self.leases[row.id] = Lease.FromString(row.value)
            elif row.kind == RowKind.KEY:
                stored = KeyRecord.FromString(row.value)
                stored.response = b""
                self.keys[row.id] = stored
            elif row.kind == RowKind.RESULT:
                results.append((row.id, row.number, ItemResult.FromString(row.value).end))
        open_jobs = [job for job in self.jobs.values() if not job.summarized]
        for job in open_jobs:
            job.classes = bytes(self.file_classes.get(job.record.create.file_id, b""))
        for job_id, number, end in results:
            if job_id in self.jobs and not self.jobs[job_id].summarized:
                self.jobs[job_id].states[number] = _STATE_BY_END[end]
        # A lease may precede its job in a snapshot: the log after the snapshot restores both.
        for lease_id, lease in list(self.leases.items()):
            if lease.job_id in self.jobs:
                self._mark_leased(lease)
            else:
                del self.leases[lease_id]
        for job in open_jobs:
            if job.cancelled:
                job.cancel_pending()
        self.applied_index = applied_index


def _is_late_claim(start: KeyStart, known: KeyRecord) -> bool:
    """Whether a claim of the known request was made before what the record says."""
    if start.request_id != known.start.request_id or start.attempt == UNNUMBERED_ATTEMPT:
        return False
    has_ended = known.state == KeyState.NOT_RUN and start.attempt == known.start.attempt
    return has_ended or start.attempt < known.start.attempt


def _is_late_outcome(finish: KeyFinish, record: KeyRecord) -> bool:
    """Whether an earlier attempt has this outcome; a response counts in any case."""
    if finish.state == KeyState.COMPLETED or finish.attempt == UNNUMBERED_ATTEMPT:
        return False
    return finish.attempt < record.start.attempt
