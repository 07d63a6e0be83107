"""Durable storage of one node: logs, hard state and rows of all its shards in one SQLite file.

One thread writes everything in group commits with ``synchronous=FULL``, so a returned commit is on
disk. ``locking_mode=EXCLUSIVE`` is set before WAL mode so that SQLite does not map a shared-memory
file, which this project must not use. Each log entry and row has a checksum.
"""

import logging
import shutil
import sqlite3
import uuid
from collections.abc import Iterator
from pathlib import Path

import xxhash

from wharfcart.cluster.messages_pb2 import Command, JobRecord, LogEntry, ReplicaSet, Row
from wharfcart.storage.replica_actions import HardState
from wharfcart.storage.shard_state import BatchJob, RowKind
from wharfcart.storage.shard_writes import InstalledBase, ShardRecord, ShardWrites

DATABASE_NAME = "journal.sqlite"
CORRUPT_MARKER_NAME = "corrupt"
ROWS_PER_READ = 512
BYTES_PER_READ = 4 * 1024 * 1024
MIN_FREE_BYTES = 256 * 1024 * 1024

logger = logging.getLogger(__name__)

_SCHEMA = """
create table if not exists identity (name text primary key, value text not null);
create table if not exists shard (
  shard integer primary key, epoch integer not null, voted_for text not null,
  base_index integer not null, base_epoch integer not null, base_set blob not null,
  applied_index integer not null, installing integer not null);
create table if not exists log (
  shard integer not null, number integer not null, epoch integer not null,
  command blob not null, checksum blob not null, primary key (shard, number)) without rowid;
create table if not exists record (
  shard integer not null, kind text not null, id text not null, number integer not null,
  value blob not null, checksum blob not null, primary key (shard, kind, id, number)) without rowid;
"""


class CorruptRecordError(Exception):
    """A record does not match its checksum; the replica must be rebuilt from a peer."""


def open_database(folder: Path) -> "Database":
    """Open the data folder; move a corrupt database aside and create an empty one.

    A disk with a corrupt record counts as lost: under the old identity its replicas might vote
    without entries that they acknowledged. The new identity is rebuilt from the peers.
    """
    try:
        database = Database(folder)
        database.verify()
        return database
    except (CorruptRecordError, sqlite3.DatabaseError):
        logger.exception(
            "data folder corrupt, set aside",
            extra={"folder": str(folder)},
        )
    for path in folder.glob(f"{DATABASE_NAME}*"):
        path.rename(path.with_name(f"corrupt-{path.name}"))
    (folder / CORRUPT_MARKER_NAME).unlink(missing_ok=True)
    return Database(folder)


class Database:
    """Data folder of one node. Every method runs on the writer thread."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self._connection = sqlite3.connect(
            folder / DATABASE_NAME, isolation_level=None, check_same_thread=False
        )
        # Tables without rowid store up to a quarter of a page locally: rows of about 1 kB would
        # overflow 4 kB pages.
        self._connection.execute("pragma page_size=16384")
        self._connection.execute("pragma locking_mode=exclusive")
        self._connection.execute("pragma journal_mode=wal")
        self._connection.execute("pragma synchronous=full")
        self._connection.execute("pragma cache_size=-8192")
        self._connection.executescript(_SCHEMA)
        self.identity = self._read_identity()

    def close(self) -> None:
        """Close the file."""
        self._connection.close()

    def free_bytes(self) -> int:
        """Return the free space of the data folder's disk."""
        return shutil.disk_usage(self.folder).free

    def _read_identity(self) -> str:
        # Every new disk gets a new identity, so that an empty disk does not count as a voter.
        found = self._connection.execute("select value from identity where name='self'").fetchone()
        if found is not None:
            return str(found[0])
        identity = uuid.uuid4().hex[:12]
        self._connection.execute("insert into identity values ('self', ?)", (identity,))
        return identity

    # ---- reading ----

    def verify(self) -> None:
        """Verify logs and memory rows; bulk rows are verified when read.

        Raises:
            CorruptRecordError: a record does not match its checksum.
        """
        if (self.folder / CORRUPT_MARKER_NAME).exists():
            raise CorruptRecordError("a row read before was corrupt")
        for shard in self.shards():
            self.load(shard)
            for _ in self.memory_rows(shard):
                pass

    def mark_corrupt(self) -> None:
        """Have the next start move the database aside."""
        (self.folder / CORRUPT_MARKER_NAME).touch()

    def shards(self) -> list[int]:
        """Return the numbers of the shards in this folder."""
        return [row[0] for row in self._connection.execute("select shard from shard")]

    def load(self, shard: int) -> ShardRecord:
        """Read one shard's log and state.

        Raises:
            CorruptRecordError: a log entry does not match its checksum.
        """
        found = self._connection.execute("select * from shard where shard=?", (shard,)).fetchone()
        _, epoch, voted_for, base_index, base_epoch, base_set, applied, installing = found
        log = []
        query = "select number, epoch, command, checksum from log where shard=? order by number"
        for number, entry_epoch, command, checksum in self._connection.execute(query, (shard,)):
            if _checksum(command) != checksum:
                raise CorruptRecordError(f"log {shard}/{number}")
            if number > base_index:
                log.append(LogEntry(index=number, epoch=entry_epoch, command=command))
        return ShardRecord(
            shard,
            HardState(epoch, voted_for),
            base_index,
            base_epoch,
            ReplicaSet.FromString(base_set),
            applied,
            bool(installing),
            log,
        )

    def memory_rows(self, shard: int) -> Iterator[Row]:
        """Iterate over the rows from which a shard's memory is rebuilt.

        Excludes lines and the results of finished jobs, which may be numerous.
        """
        open_jobs: list[str] = []
        for kind in RowKind:
            if kind in (RowKind.LINE, RowKind.RESULT):
                continue
            for row in self._rows_of_kind(shard, kind, ""):
                if kind is RowKind.JOB and not _is_summarized(row):
                    open_jobs.append(row.id)
                yield row
        for job_id in open_jobs:
            yield from self._rows_of_kind(shard, RowKind.RESULT, job_id)

    def _rows_of_kind(self, shard: int, kind: RowKind, id_: str) -> Iterator[Row]:
        """Iterate over the rows of a kind, of one id unless it is ''."""
        query = (
            "select kind, id, number, value, checksum from record where shard=? and kind=?"
            " and (id, number) > (?, ?) and (?='' or id=?) order by id, number limit ?"
        )
        after = (id_, -1)
        while True:
            values = (shard, kind.value, *after, id_, id_, ROWS_PER_READ)
            chunk = self._select_rows(query, values, BYTES_PER_READ)
            yield from chunk
            if not chunk:
                return
            after = (chunk[-1].id, chunk[-1].number)

    def rows_after(
        self, shard: int, after: tuple[str, str, int], limit: int, max_bytes: int
    ) -> list[Row]:
        """Return rows with keys greater than ``after``, limited by count and bytes."""
        query = (
            "select kind, id, number, value, checksum from record where shard=?"
            " and (kind, id, number) > (?, ?, ?) order by kind, id, number limit ?"
        )
        return self._select_rows(query, (shard, *after, limit), max_bytes)

    def read_rows(
        self, shard: int, kind: str, id_: str, first: int, limit: int, max_bytes: int
    ) -> list[Row]:
        """Return rows of one id from number ``first`` on."""
        query = (
            "select kind, id, number, value, checksum from record where shard=? and kind=?"
            " and id=? and number>=? order by number limit ?"
        )
        return self._select_rows(query, (shard, kind, id_, first, limit), max_bytes)

    def _select_rows(self, query: str, values: tuple[object, ...], max_bytes: int) -> list[Row]:
        rows: list[Row] = []
        total = 0
        for kind, id_, number, value, checksum in self._connection.execute(query, values):
            if _checksum(value) != checksum:
                raise CorruptRecordError(f"{kind} {id_}/{number}")
            total += len(value)
            if rows and total > max_bytes:
                break
            rows.append(Row(kind=kind, id=id_, number=number, value=value))
        return rows

    # ---- writing ----

    def create_shard(self, shard: int, base_set: ReplicaSet) -> None:
        """Create an empty replica."""
        self._connection.execute(
            "insert or ignore into shard values (?, 0, '', 0, 0, ?, 0, 0)",
            (shard, base_set.SerializeToString()),
        )

    def write(self, writes: dict[int, ShardWrites]) -> None:
        """Write everything in one commit, which is on disk on return."""
        self._connection.execute("begin immediate")
        try:
            for shard, shard_writes in writes.items():
                self._write_shard(shard, shard_writes)
            self._connection.execute("commit")
        except BaseException:
            self._connection.execute("rollback")
            raise

    def _write_shard(self, shard: int, writes: ShardWrites) -> None:
        execute = self._connection.execute
        if writes.hard_state is not None:
            execute(
                "update shard set epoch=?, voted_for=? where shard=?",
                (writes.hard_state.epoch, writes.hard_state.voted_for, shard),
            )
        if writes.begin_install:
            self._begin_install(shard)
        if writes.entries:
            first = writes.entries[0].index
            execute("delete from log where shard=? and number>=?", (shard, first))
        self._connection.executemany(
            "insert or replace into log values (?, ?, ?, ?, ?)",
            [(shard, e.index, e.epoch, e.command, _checksum(e.command)) for e in writes.entries],
        )
        self._put_rows(shard, writes.rows)
        for row in writes.deleted_rows:
            condition = "number<=?" if row.value == b"whole" else "number=?"
            execute(
                f"delete from record where shard=? and kind=? and id=? and {condition}",
                (shard, row.kind, row.id, row.number),
            )
        if writes.applied_index is not None:
            execute("update shard set applied_index=? where shard=?", (writes.applied_index, shard))
        if writes.compact_to is not None:
            self._compact(shard, writes.compact_to)
        if writes.end_install is not None:
            self._end_install(shard, writes.end_install)

    def _put_rows(self, shard: int, rows: list[Row]) -> None:
        self._connection.executemany(
            "insert or replace into record values (?, ?, ?, ?, ?, ?)",
            [(shard, r.kind, r.id, r.number, r.value, _checksum(r.value)) for r in rows],
        )

    def _compact(self, shard: int, index: int) -> None:
        # Only entries already applied to the rows may be deleted from the log.
        query = "select applied_index, base_set from shard where shard=?"
        applied, base_set = self._connection.execute(query, (shard,)).fetchone()
        index = min(index, applied)
        query = "select epoch from log where shard=? and number=?"
        found = self._connection.execute(query, (shard, index)).fetchone()
        if found is None:
            return
        self._connection.execute(
            "update shard set base_index=?, base_epoch=?, base_set=? where shard=?",
            (index, found[0], self._replica_set_at(shard, index) or base_set, shard),
        )
        self._connection.execute("delete from log where shard=? and number<=?", (shard, index))

    def _replica_set_at(self, shard: int, index: int) -> bytes | None:
        query = (
            "select command from log where shard=? and number<=? and length(command)<4096"
            " order by number desc"
        )
        for (blob,) in self._connection.execute(query, (shard, index)):
            command = Command.FromString(blob)
            if command.WhichOneof("body") == "replica_set":
                return command.replica_set.SerializeToString()
        return None

    # ---- snapshots ----

    def _begin_install(self, shard: int) -> None:
        # The replica is empty until the snapshot ends, but keeps its epoch and vote.
        self._connection.execute("delete from log where shard=?", (shard,))
        self._connection.execute("delete from record where shard=?", (shard,))
        self._connection.execute(
            "update shard set base_index=0, base_epoch=0, applied_index=0, installing=1"
            " where shard=?",
            (shard,),
        )

    def _end_install(self, shard: int, base: InstalledBase) -> None:
        self._connection.execute(
            "update shard set base_index=?, base_epoch=?, base_set=?, applied_index=?,"
            " installing=0 where shard=?",
            (base.index, base.epoch, base.replica_set.SerializeToString(), base.index, shard),
        )


def _is_summarized(row: Row) -> bool:
    return BatchJob(JobRecord.FromString(row.value), bytearray(), b"").summarized


def _checksum(value: bytes) -> bytes:
    return xxhash.xxh3_64_digest(value)
