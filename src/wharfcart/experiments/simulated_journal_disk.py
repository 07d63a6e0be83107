"""Disk and process of a simulated journal replica."""

from collections.abc import Callable
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import (
    Command,
    LogEntry,
    ReplicaMessage,
    ReplicaSet,
    Row,
)
from wharfcart.storage.shard import ReadSnapshotRows, Shard
from wharfcart.storage.shard_writes import ShardRecord, ShardWrites


@dataclass
class SimulatedJournalDisk:
    """In-memory replacement for :class:`wharfcart.storage.journal_database.Database`."""

    identity: str
    record: ShardRecord | None = None
    rows: dict[tuple[str, str, int], Row] = field(default_factory=dict)

    def write(self, writes: ShardWrites) -> None:
        """Apply writes as one commit."""
        record = self.record
        assert record is not None
        log = {entry.index: entry for entry in record.log}
        base = (record.base_index, record.base_epoch, record.base_set)
        applied = record.applied_index
        installing = record.installing
        if writes.begin_install:
            log, self.rows, applied, installing = {}, {}, 0, True
            base = (0, 0, record.base_set)
        if writes.entries:
            first = writes.entries[0].index
            log = {index: entry for index, entry in log.items() if index < first}
            log.update({entry.index: entry for entry in writes.entries})
        self._write_rows(writes)
        if writes.applied_index is not None:
            applied = writes.applied_index
        if writes.compact_to is not None:
            base = self._compact(log, base, min(writes.compact_to, applied))
        if writes.end_install is not None:
            end = writes.end_install
            base = (end.index, end.epoch, end.replica_set)
            applied, installing = end.index, False
        self.record = ShardRecord(
            0,
            writes.hard_state or record.hard_state,
            *base,
            applied,
            installing,
            [log[index] for index in sorted(log) if index > base[0]],
        )

    def _write_rows(self, writes: ShardWrites) -> None:
        for row in writes.rows:
            self.rows[(row.kind, row.id, row.number)] = row
        for row in writes.deleted_rows:
            self.rows.pop((row.kind, row.id, row.number), None)

    def _compact(
        self, log: dict[int, LogEntry], base: tuple[int, int, ReplicaSet], index: int
    ) -> tuple[int, int, ReplicaSet]:
        if index not in log:
            return base
        replica_set = base[2]
        for number in sorted(log):
            if number > index:
                break
            command = Command.FromString(log[number].command)
            if command.WhichOneof("body") == "replica_set":
                replica_set = command.replica_set
        return (index, log[index].epoch, replica_set)


@dataclass
class SimulatedMachine:
    """A machine: a persistent disk and the volatile state of its process."""

    name: str
    disk: SimulatedJournalDisk
    shard: Shard | None = None
    paused: bool = False
    generation: int = 0
    backlog: list[Callable[[], None]] = field(default_factory=list)
    writing: bool = False
    pending_writes: ShardWrites | None = None
    messages_after_write: list[ReplicaMessage] = field(default_factory=list)
    pending_mark: tuple[int, int] | None = None
    reload: bool = False
    pending_reads: list[ReadSnapshotRows] = field(default_factory=list)
