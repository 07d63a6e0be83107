"""Database of a storage node: jobs of its groups, promised epochs, identity of the disk.

The database is one SQLite file with ``synchronous=FULL``: a method's writes are on disk once it
returns. The exclusive lock is set before WAL mode so that SQLite does not map a shared-memory file,
which this project must not use.
"""

import sqlite3
import uuid
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

import xxhash

from wharfcart.cluster.messages_pb2 import (
    CONFIRMED,
    REMEMBER,
    ItemOutcome,
    JobUpdate,
    PartialText,
    RequestJob,
)
from wharfcart.configuration.instances import BackendSoftware
from wharfcart.storage.partial_texts import ItemKey, item_key_of
from wharfcart.storage.replicated_job import (
    NO_EPOCH,
    NO_SUBMISSION,
    JobState,
    SubmissionId,
    version_after,
    version_of,
)

DATABASE_NAME = "jobs.sqlite"
PAGE_BYTES = 8192
CACHE_KIB = 2048
CHECKPOINT_PAGES = 256
# Files of this format hold every result that a job's row claims.
CHECKED_FORMAT = 1

_SCHEMA = """
create table if not exists identity (name text primary key, value text not null);
create table if not exists promise (job_group integer primary key, epoch integer not null);
create table if not exists job (
  job_id text primary key, job_group integer not null, epoch integer not null,
  ended integer not null, results integer not null, spec blob not null, checksum integer not null,
  submission integer not null default 0
) without rowid;
create table if not exists deleted_job (
  job_id text primary key, job_group integer not null, epoch integer not null,
  submission integer not null
) without rowid;
create table if not exists result (
  job_id text not null, position integer not null, value blob not null, checksum integer not null,
  primary key (job_id, position)) without rowid;
create table if not exists software (
  service text not null, version text not null, primary key (service, version)) without rowid;
drop table if exists running_text;
create table if not exists item_text (
  job_id text not null, submission integer not null, item_id text not null,
  from_event integer not null, job_group integer not null, value blob not null,
  checksum integer not null,
  primary key (job_id, submission, item_id, from_event)) without rowid;
"""
_ADD_SUBMISSION = "alter table job add column submission integer not null default 0"
_MOVE_TEXTS = """
insert into item_text
  select job_id, 0, item_id, from_event, job_group, value, checksum from partial_text
"""
# Jobs with fewer results than their row says.
_OVERSTATED_JOBS = """
select job_id, epoch, results from job where results > (
  select count(*) from result where result.job_id = job.job_id and position < job.results)
"""

_DELETE_TEXT = "delete from item_text where job_id=? and submission=? and item_id=?"

_DELETE_UNCLAIMED_RESULTS = """
delete from result where not exists (
  select 1 from job where job.job_id = result.job_id and result.position < job.results)
"""

_APPEND_TO_JOB = """
update job set epoch=?1, ended=?2, results=?3
where job_id=?4 and results=?5 and ended<=?2 and epoch in (?1, ?6) and epoch<=?1
  and submission=?7
"""


class CorruptJobError(Exception):
    """A record does not match its checksum; the disk must be replaced and rebuilt from peers."""


class _HeldJob(NamedTuple):
    """What the database holds of a job."""

    epoch: int
    results: int
    ended: int
    submission: SubmissionId

    @property
    def version(self) -> int:
        return 0 if self.epoch == NO_EPOCH else version_of(self.results, bool(self.ended))

    def state(self, job_id: str) -> JobState:
        return JobState(job_id, self.epoch, self.version, self.submission)


_NOT_HELD = _HeldJob(NO_EPOCH, 0, 0, NO_SUBMISSION)


@dataclass(frozen=True, slots=True)
class AppliedUpdates:
    """Result of a leader's updates.

    Attributes:
        mismatches: states of the jobs whose updates do not extend them; these were not written.
    """

    mismatches: tuple[JobState, ...] = ()


class JobDatabase:
    """Database file of one storage node. Every method runs on one writer thread.

    Attributes:
        identity: identity of the disk.
        corrected_claims: states of jobs whose row claimed more results than the file of an earlier
            build holds.
    """

    def __init__(
        self, folder: Path | None, new_identity: Callable[[], str] = lambda: uuid.uuid4().hex
    ) -> None:
        """Open the file in a folder.

        Args:
            folder: folder of the file; None opens an in-memory database for simulations.
            new_identity: returns the identity of a new disk, unique in the fleet.
        """
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        self._connection = sqlite3.connect(
            ":memory:" if folder is None else folder / DATABASE_NAME,
            isolation_level=None,
            check_same_thread=False,
        )
        execute = self._connection.execute
        execute(f"pragma page_size={PAGE_BYTES}")
        execute("pragma locking_mode=exclusive")
        execute("pragma journal_mode=wal")
        execute("pragma synchronous=full")
        execute(f"pragma cache_size=-{CACHE_KIB}")
        execute(f"pragma wal_autocheckpoint={CHECKPOINT_PAGES}")
        self._connection.executescript(_SCHEMA)
        self._add_submissions()
        self.identity = self._read_identity(new_identity)
        # The lock on the file is exclusive: nobody else writes promises.
        self._promised_epochs: dict[int, int] = dict(
            execute("select job_group, epoch from promise")
        )
        self.corrected_claims = self._correct_claims_of_earlier_builds()

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

    def promised_epoch(self, group: int) -> int:
        """Return the highest epoch promised to a leader; 0 for none."""
        return self._promised_epochs.get(group, 0)

    def promise_epoch(self, group: int, epoch: int) -> bool:
        """Refuse leaders of lower epochs from now on; return False if a higher one was promised."""
        known = self.promised_epoch(group)
        if known > epoch:
            return False
        if known < epoch:
            self._connection.execute("insert or replace into promise values (?, ?)", (group, epoch))
            self._promised_epochs[group] = epoch
        return True

    def job_states(self, group: int) -> list[JobState]:
        """Return the state of every job of a group, and of every deletion that is remembered."""
        rows = self._connection.execute(
            "select job_id, epoch, results, ended, submission from job where job_group=?", (group,)
        )
        states = [
            JobState(job_id, epoch, version_of(results, ended), SubmissionId(submission))
            for job_id, epoch, results, ended, submission in rows
        ]
        deletions = self._connection.execute(
            "select job_id, epoch, submission from deleted_job where job_group=?", (group,)
        )
        states += [
            JobState(job_id, epoch, 0, SubmissionId(submission), is_deleted=True)
            for job_id, epoch, submission in deletions
        ]
        return states

    def apply_updates(
        self, group: int, epoch: int, updates: Sequence[JobUpdate]
    ) -> AppliedUpdates | None:
        """Write a leader's updates in one commit; return None if a higher epoch was promised."""
        if not self.promise_epoch(group, epoch):
            return None
        if not updates:
            return AppliedUpdates()
        mismatches = []
        self._connection.execute("begin immediate")
        try:
            for update in updates:
                if not self._apply_update(group, update):
                    mismatches.append(self._held_job(update.job_id).state(update.job_id))
            self._connection.execute("commit")
        except BaseException:
            if self._connection.in_transaction:
                self._connection.execute("rollback")
            raise
        return AppliedUpdates(tuple(mismatches))

    def load_jobs(self, job_ids: Iterable[str]) -> list[JobUpdate]:
        """Return complete jobs; unknown ids are skipped.

        Raises:
            CorruptJobError: a record does not match its checksum.
        """
        found = (self._load_job(job_id) for job_id in job_ids)
        return [record for record in found if record is not None]

    def save_partial_texts(
        self, group: int, parts: Sequence[PartialText], finished_items: Collection[ItemKey]
    ) -> list[ItemKey]:
        """Save partial texts of running items in one commit.

        Args:
            group: number of the items' group.
            parts: events that were not saved before.
            finished_items: items that no longer run; their partial texts are deleted.

        Returns:
            Items with a part that does not extend what is saved; nothing is saved of them.
        """
        execute = self._connection.execute
        mismatched_items = []
        execute("begin immediate")
        try:
            for part in parts:
                key = item_key_of(part)
                if part.from_event == 0:
                    self._delete_text(key)
                elif not self._extends_saved_text(part):
                    mismatched_items.append(key)
                    continue
                value = part.SerializeToString()
                row = (key.job_id, key.submission, key.item_id, part.from_event, group, value)
                execute(
                    "insert or replace into item_text values (?, ?, ?, ?, ?, ?, ?)",
                    (*row, _checksum(value)),
                )
            for key in finished_items:
                self._delete_text(key)
            execute("commit")
        except BaseException:
            if self._connection.in_transaction:
                execute("rollback")
            raise
        return mismatched_items

    def load_partial_texts(self, group: int) -> list[PartialText]:
        """Return the partial texts of open jobs, ordered by item and event number.

        Parts that do not match their checksum are skipped; :meth:`PartialTexts.apply` then refuses
        the later events of the item.
        """
        rows = self._connection.execute(
            "select value, item_text.checksum from item_text join job using (job_id, submission)"
            " where item_text.job_group=? and job.job_group=? and not ended"
            " order by job_id, item_id, from_event",
            (group, group),
        )
        return [
            PartialText.FromString(value)
            for value, checksum in rows
            if _checksum(value) == checksum
        ]

    def load_software(self) -> frozenset[BackendSoftware]:
        """Return the software that was saved last."""
        rows = self._connection.execute("select service, version from software")
        return frozenset(BackendSoftware(service, version) for service, version in rows)

    def save_software(self, software: Collection[BackendSoftware]) -> None:
        """Replace the saved software of back ends in one commit."""
        execute = self._connection.execute
        execute("begin immediate")
        try:
            execute("delete from software")
            self._connection.executemany("insert into software values (?, ?)", software)
            execute("commit")
        except BaseException:
            if self._connection.in_transaction:
                execute("rollback")
            raise

    # ---- inner ----

    def _add_submissions(self) -> None:
        """Change a file of builds that gave submissions no identity."""
        execute = self._connection.execute
        if self._has_column("job", "submission"):
            return
        execute("begin immediate")
        execute(_ADD_SUBMISSION)
        if self._has_column("partial_text", "job_id"):
            execute(_MOVE_TEXTS)
            execute("drop table partial_text")
        execute("commit")

    def _has_column(self, table: str, column: str) -> bool:
        found = self._connection.execute(
            "select 1 from pragma_table_info(?) where name=?", (table, column)
        )
        return found.fetchone() is not None

    def _correct_claims_of_earlier_builds(self) -> list[JobState]:
        """Let rows of jobs claim no more results than are held; return the corrected states.

        Results that no row claims would stand in the way of others at their position. Builds before
        :data:`CHECKED_FORMAT` applied updates that began after a gap.
        """
        execute = self._connection.execute
        (known_format,) = execute("pragma user_version").fetchone()
        if known_format >= CHECKED_FORMAT:
            return []
        states = []
        execute("begin immediate")
        execute(_DELETE_UNCLAIMED_RESULTS)
        for job_id, epoch, claimed in execute(_OVERSTATED_JOBS).fetchall():
            positions = execute(
                "select position from result where job_id=? order by position", (job_id,)
            )
            held = 0
            while (row := positions.fetchone()) is not None and row[0] == held < claimed:
                held += 1
            execute("delete from result where job_id=? and position>=?", (job_id, held))
            execute("update job set results=?, ended=0 where job_id=?", (held, job_id))
            states.append(JobState(job_id, epoch, version_of(held, ended=False)))
        execute(f"pragma user_version={CHECKED_FORMAT}")
        execute("commit")
        return states

    def _extends_saved_text(self, part: PartialText) -> bool:
        """Whether a part begins where the saved text of its item ends, in the same epoch."""
        row = self._connection.execute(
            "select value, checksum from item_text where job_id=? and submission=? and item_id=?"
            " order by from_event desc limit 1",
            (part.job_id, part.submission, part.item_id),
        ).fetchone()
        if row is None or _checksum(row[0]) != row[1]:
            return False
        last = PartialText.FromString(row[0])
        last_epoch = last.epoch if last.texts else last.base_epoch
        end = last.from_event + len(last.texts)
        return part.base_epoch != NO_EPOCH and (end, last_epoch) == (
            part.from_event,
            part.base_epoch,
        )

    def _apply_update(self, group: int, update: JobUpdate) -> bool:
        """Apply an update; return False if it does not extend what is held of the job."""
        if not update.forgotten and self._append_update(group, update):
            return True
        held = self._held_job(update.job_id)
        if update.forgotten:
            self._apply_deletion(group, update, held)
            return True
        is_same_history = (held.epoch, held.submission) == (update.epoch, update.submission)
        if is_same_history and held.version >= version_after(update):
            return True  # arrived late or twice
        if not self._extends_held_job(update, held):
            return False
        self._replace_results(group, update)
        return True

    def _append_update(self, group: int, update: JobUpdate) -> bool:
        """Write a new job, or an update that begins where what is held ends; else return False.

        This is the usual case, and one statement does both: a search for a job costs a copy of its
        specification.
        """
        if update.HasField("job"):
            is_written = self._insert_job("ignore", group, update)
        elif update.base_epoch == NO_EPOCH:
            return False
        else:
            first = update.from_result
            parameters = (
                update.epoch,
                update.ended,
                first + len(update.results),
                update.job_id,
                first,
                update.base_epoch,
                update.submission,
            )
            is_written = self._connection.execute(_APPEND_TO_JOB, parameters).rowcount > 0
        if is_written:
            self._insert_results(update)
            if update.HasField("job"):
                self._connection.execute("delete from deleted_job where job_id=?", (update.job_id,))
        return is_written

    def _delete_text(self, key: ItemKey) -> None:
        self._connection.execute(_DELETE_TEXT, (key.job_id, key.submission, key.item_id))

    def _held_job(self, job_id: str) -> _HeldJob:
        row = self._connection.execute(
            "select epoch, results, ended, submission from job where job_id=?", (job_id,)
        ).fetchone()
        return _NOT_HELD if row is None else _HeldJob(*row)

    def _extends_held_job(self, update: JobUpdate, held: _HeldJob) -> bool:
        """Whether an update is complete or begins within what is held.

        States of one epoch and submission are prefixes of each other. Some earlier builds name no
        base.
        """
        if held.epoch > update.epoch:
            return False
        if update.HasField("job"):
            return held.epoch < update.epoch or held.submission <= update.submission
        if held.submission != update.submission:
            return False
        bases = (update.base_epoch, update.epoch)
        is_same_history = held.epoch in bases or update.base_epoch == NO_EPOCH
        return held is not _NOT_HELD and is_same_history and held.results >= update.from_result

    def _apply_deletion(self, group: int, update: JobUpdate, held: _HeldJob) -> None:
        """Delete a job, or remember or drop the record of its deletion."""
        execute = self._connection.execute
        if update.deletion == CONFIRMED:
            execute(
                "delete from deleted_job where job_id=? and submission<=?",
                (update.job_id, update.submission),
            )
            return
        if not _is_deleted_by(update, held):
            return
        self._delete_job(update.job_id)
        if update.deletion == REMEMBER:
            execute(
                "insert or replace into deleted_job values (?, ?, ?, ?)",
                (update.job_id, group, update.base_epoch, update.submission),
            )

    def _delete_job(self, job_id: str) -> None:
        for table in ("job", "result", "item_text"):
            self._connection.execute(f"delete from {table} where job_id=?", (job_id,))

    def _replace_results(self, group: int, update: JobUpdate) -> None:
        """Write an update that replaces held results, or the complete job."""
        execute = self._connection.execute
        if update.HasField("job"):
            self._insert_job("replace", group, update)
            execute(
                "delete from item_text where job_id=? and submission<>?",
                (update.job_id, update.submission),
            )
        else:
            results = update.from_result + len(update.results)
            execute(
                "update job set epoch=?, ended=?, results=? where job_id=?",
                (update.epoch, update.ended, results, update.job_id),
            )
        execute(
            "delete from result where job_id=? and position>=?",
            (update.job_id, update.from_result),
        )
        self._insert_results(update)

    def _insert_job(self, on_conflict: str, group: int, update: JobUpdate) -> bool:
        """Insert a job; return whether it was written."""
        results = update.from_result + len(update.results)
        spec = update.job.SerializeToString()
        row = (update.job_id, group, update.epoch, update.ended, results, spec, _checksum(spec))
        statement = f"insert or {on_conflict} into job values (?, ?, ?, ?, ?, ?, ?, ?)"
        return self._connection.execute(statement, (*row, update.submission)).rowcount > 0

    def _insert_results(self, update: JobUpdate) -> None:
        """Insert an update's results, and delete texts that they or the job's end make obsolete."""
        execute = self._connection.execute
        if update.ended:
            execute("delete from item_text where job_id=?", (update.job_id,))
        for position, outcome in enumerate(update.results, update.from_result):
            value = outcome.SerializeToString()
            execute(
                "insert into result values (?, ?, ?, ?)",
                (update.job_id, position, value, _checksum(value)),
            )
            self._delete_text(
                ItemKey(update.job_id, outcome.item_id, SubmissionId(update.submission))
            )

    def _load_job(self, job_id: str) -> JobUpdate | None:
        row = self._connection.execute(
            "select epoch, ended, submission, spec, checksum from job where job_id=?", (job_id,)
        ).fetchone()
        if row is None:
            return None
        epoch, ended, submission, spec, checksum = row
        _verify_checksum(spec, checksum)
        rows = self._connection.execute(
            "select value, checksum from result where job_id=? order by position", (job_id,)
        ).fetchall()
        for value, value_checksum in rows:
            _verify_checksum(value, value_checksum)
        return JobUpdate(
            job_id=job_id,
            epoch=epoch,
            job=RequestJob.FromString(spec),
            results=[ItemOutcome.FromString(value) for value, _ in rows],
            ended=bool(ended),
            submission=submission,
        )

    def _read_identity(self, new_identity: Callable[[], str]) -> str:
        # Every new disk gets a new identity, so that an empty disk does not count as a replica.
        row = self._connection.execute("select value from identity where name='self'").fetchone()
        if row is not None:
            return str(row[0])
        identity = new_identity()[:12]
        self._connection.execute("insert into identity values ('self', ?)", (identity,))
        return identity


def _is_deleted_by(update: JobUpdate, held: _HeldJob) -> bool:
    """Whether a deletion covers what is held of its job, and not a later submission."""
    is_older = held.epoch <= update.base_epoch or update.base_epoch == NO_EPOCH
    return is_older and held.submission <= update.submission


def _checksum(data: bytes) -> int:
    return xxhash.xxh32_intdigest(data)


def _verify_checksum(data: bytes, checksum: int) -> None:
    if _checksum(data) != checksum:
        raise CorruptJobError
