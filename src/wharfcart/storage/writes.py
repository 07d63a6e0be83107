"""What a shard asks its node's storage to write, and what it is restored from."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import LogEntry, ReplicaSet, Row
from wharfcart.storage.replica import HardState


@dataclass(frozen=True)
class ShardRecord:
    """What a shard's replica starts from."""

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
    """Base of a replica after a snapshot."""

    index: int
    epoch: int
    replica_set: ReplicaSet


@dataclass
class ShardWrites:
    """All writes for one shard in one group commit."""

    hard_state: HardState | None = None
    entries: list[LogEntry] = field(default_factory=list)
    rows: list[Row] = field(default_factory=list)
    deleted_rows: list[Row] = field(default_factory=list)
    applied_index: int | None = None
    compact_to: int | None = None
    begin_install: bool = False
    end_install: InstalledBase | None = None

    def add_entries(self, entries: Sequence[LogEntry]) -> None:
        """Add entries, which replace everything from their first index on."""
        if not entries:
            return
        first = entries[0].index
        self.entries = [entry for entry in self.entries if entry.index < first]
        self.entries.extend(entries)
