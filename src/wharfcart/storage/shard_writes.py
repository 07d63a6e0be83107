"""Writes that a shard requests from its node's storage, and the record it is restored from."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import LogEntry, ReplicaSet, Row
from wharfcart.storage.replica_actions import HardState


@dataclass(frozen=True)
class ShardRecord:
    """Persistent state from which a shard's replica starts."""

    shard: int
    hard_state: HardState
    base_index: int
    base_epoch: int
    base_set: ReplicaSet
    applied_index: int
    installing: bool
    log: list[LogEntry]


@dataclass(frozen=True)
class InstalledBase:
    """Base of a replica's log after a snapshot."""

    index: int
    epoch: int
    replica_set: ReplicaSet


@dataclass
class ShardWrites:
    """All writes of one shard in one group commit."""

    hard_state: HardState | None = None
    entries: list[LogEntry] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    deleted_rows: list[Row] = field(default_factory=list)
    applied_index: int | None = None
    compact_to: int | None = None
    begin_install: bool = False
    end_install: InstalledBase | None = None

    def merge(self, newer: "ShardWrites") -> "ShardWrites":
        """Merge later writes into these and return the result."""
        if newer.begin_install:
            # An install empties the replica: of the earlier writes only epoch and vote remain.
            newer.hard_state = newer.hard_state or self.hard_state
            return newer
        self.hard_state = newer.hard_state or self.hard_state
        self.add_entries(newer.entries)
        # Rows are put before others are deleted: keep only the later write of a row.
        if newer.deleted_rows:
            self.rows = _without(self.rows, newer.deleted_rows)
        if self.deleted_rows:
            self.deleted_rows = _without(self.deleted_rows, newer.rows)
        self.rows.extend(newer.rows)
        self.deleted_rows.extend(newer.deleted_rows)
        if newer.applied_index is not None:
            self.applied_index = newer.applied_index
        self.compact_to = newer.compact_to or self.compact_to
        self.end_install = newer.end_install or self.end_install
        return self

    def add_entries(self, entries: Sequence[LogEntry]) -> None:
        """Add entries, which replace the log from their first index on."""
        if not entries:
            return
        first = entries[0].index
        self.entries = [entry for entry in self.entries if entry.index < first]
        self.entries.extend(entries)


def _without(rows: list[Row], others: list[Row]) -> list[Row]:
    keys = {(row.kind, row.id, row.number) for row in others}
    return [row for row in rows if (row.kind, row.id, row.number) not in keys]
