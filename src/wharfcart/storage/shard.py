"""One shard on one node: replica, state machine, pending proposals and snapshots, without I/O.

The driver (:mod:`wharfcart.storage.journal`) and the simulator both run this class: they execute
its :class:`ShardOutput` and report the writes that are on disk.
"""

import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import (
    Command,
    LogEntry,
    ProposeResult,
    ReplicaMessage,
    ReplicaSet,
    Row,
    SnapshotChunk,
    SnapshotResponse,
)
from wharfcart.cluster.randomness import RandomSource
from wharfcart.storage.replica import MAX_LOG_ENTRIES, NotLeaderError, Replica
from wharfcart.storage.replica_actions import (
    Apply,
    CompactLog,
    Persist,
    ReplicaAction,
    Role,
    RoleChanged,
    Send,
    StartSnapshot,
)
from wharfcart.storage.shard_state import ShardState
from wharfcart.storage.shard_writes import InstalledBase, ShardRecord, ShardWrites

SNAPSHOT_STEP_TIMEOUT_S = 3.0
LOST_LEADERSHIP = "lost_leadership"
RowKey = tuple[str, str, int]
FIRST_ROW: RowKey = ("", "", -1)

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class ReadSnapshotRows:
    """Request to the driver for the rows after a key, for a snapshot to ``target``.

    The driver must read them after this output's writes are on disk: the snapshot's index includes
    rows that are still waiting for a group commit when the snapshot starts.
    """

    target: str
    after: RowKey


@dataclass(frozen=True)
class ProposalResult:
    """Result of one proposal; its ``code`` is ``lost_leadership`` if the outcome is unknown."""

    token: int
    result: ProposeResult


@dataclass
class ShardOutput:
    """Everything that the driver must execute after a step."""

    writes: ShardWrites = field(default_factory=ShardWrites)
    dirty: bool = False
    send_now: list[ReplicaMessage] = field(default_factory=list)
    send_after_write: list[ReplicaMessage] = field(default_factory=list)
    written_mark: tuple[int, int] | None = None  # epoch and index to report as on disk
    proposal_results: list[ProposalResult] = field(default_factory=list)
    reads: list[ReadSnapshotRows] = field(default_factory=list)
    reload: bool = False
    role: Role | None = None
    applied: list[tuple[LogEntry, Command, ProposeResult]] = field(default_factory=list)


@dataclass
class _OutgoingSnapshot:
    index: int
    epoch: int
    replica_set: ReplicaSet
    stream: int
    sequence: int = 0
    after: RowKey = FIRST_ROW
    last_step_at: float | None = None


@dataclass
class _IncomingSnapshot:
    epoch: int
    stream: int
    next_sequence: int = 0


class Shard:
    """One replica with its state machine."""

    def __init__(
        self,
        record: ShardRecord,
        rows: Iterable[Row],
        identity: str,
        random: RandomSource,
        now: float,
        max_log_entries: int = MAX_LOG_ENTRIES,
    ) -> None:
        self.number = record.shard
        self.replica = Replica(
            shard=record.shard,
            identity=identity,
            random=random,
            started_at=now,
            base_set=record.base_set,
            epoch=record.hard_state.epoch,
            voted_for=record.hard_state.voted_for,
            log=list(record.log),
            base_index=record.base_index,
            base_epoch=record.base_epoch,
            commit_index=record.applied_index,
            installing=record.installing,
            max_log_entries=max_log_entries,
        )
        self.state = ShardState()
        self.state.load(rows, record.applied_index)
        self._output = ShardOutput()
        self._pending_proposals: dict[int, tuple[int, int]] = {}  # index -> epoch, token
        self._outgoing: dict[str, _OutgoingSnapshot] = {}
        self._streams = 0
        self._newest_stream = (0, 0)  # epoch and number of the newest incoming snapshot
        self._incoming: _IncomingSnapshot | None = None
        self._installed_base: InstalledBase | None = None

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the shard's leader."""
        return self.replica.role is Role.LEADER

    def take_output(self) -> ShardOutput:
        """Return and clear the pending output."""
        output = self._output
        self._output = ShardOutput()
        rows, deleted = self.state.take_changes()
        output.dirty = output.dirty or bool(output.reads)
        if rows or deleted:
            output.writes.rows.extend(rows)
            output.writes.deleted_rows.extend(deleted)
            output.writes.applied_index = self.state.applied_index
            output.dirty = True
        return output

    # ---- inputs ----

    def tick(self, now: float) -> None:
        """Advance timers."""
        self._execute(self.replica.tick(now))
        for target, snapshot in list(self._outgoing.items()):
            if snapshot.last_step_at is None:
                snapshot.last_step_at = now
            if now - snapshot.last_step_at > SNAPSHOT_STEP_TIMEOUT_S:
                del self._outgoing[target]
                self._execute(self.replica.snapshot_sent(target, 0, now))

    def receive(self, message: ReplicaMessage, now: float) -> None:
        """Handle a message from another replica."""
        kind = message.WhichOneof("body")
        if kind == "snapshot_chunk":
            self._handle_snapshot_chunk(message, now)
        elif kind == "snapshot_response":
            self._handle_snapshot_response(message, now)
        else:
            self._execute(self.replica.receive(message, now))

    def propose(self, proposals: Sequence[tuple[int, Command]], now: float) -> None:
        """Propose commands, each with a token that identifies its result.

        Raises:
            NotLeaderError: this replica does not lead the shard.
        """
        blobs = [command.SerializeToString() for _, command in proposals]
        first, actions = self.replica.propose(blobs, now)
        for offset, (token, _) in enumerate(proposals):
            self._pending_proposals[first + offset] = (self.replica.epoch, token)
        self._execute(actions)

    def mark_written(self, mark: tuple[int, int], now: float) -> None:
        """Record that the writes of an earlier output are on disk."""
        epoch, index = mark
        self._execute(self.replica.persisted(epoch, index, now))

    def update_storage_members(self, live: dict[str, str], leaving: set[str], now: float) -> None:
        """Update the live storage identities, with their zones, and those that are restarting."""
        self._execute(self.replica.update_storage_members(live, leaving, now))

    def recover_as_sole_voter(self, now: float) -> None:
        """Continue as the only voter, at an operator's request."""
        self._execute(self.replica.recover_as_sole_voter(now))

    def step_down(self, now: float) -> None:
        """Give up leadership for a planned stop."""
        self._execute(self.replica.step_down(now))

    # ---- actions ----

    def _execute(self, actions: Sequence[ReplicaAction]) -> None:
        output = self._output
        for action in actions:
            if isinstance(action, Persist):
                output.writes.hard_state = action.hard_state
                output.writes.add_entries(action.entries)
                output.written_mark = (action.hard_state.epoch, self.replica.last_index)
                output.dirty = True
            elif isinstance(action, Send):
                queue = output.send_after_write if action.after_persist else output.send_now
                queue.append(action.message)
            elif isinstance(action, Apply):
                self._apply(action.entries)
            elif isinstance(action, CompactLog):
                output.writes.compact_to = action.index
                output.writes.applied_index = self.state.applied_index
                output.dirty = True
            elif isinstance(action, StartSnapshot):
                self._start_snapshot(action.target)
            elif isinstance(action, RoleChanged):
                output.role = action.role

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            if entry.index <= self.state.applied_index:
                continue
            command = Command.FromString(entry.command)
            result = self.state.apply(entry.index, command)
            self._output.applied.append((entry, command, result))
            waiting = self._pending_proposals.pop(entry.index, None)
            if waiting is None:
                continue
            epoch, token = waiting
            if epoch != entry.epoch:
                result = ProposeResult(code=LOST_LEADERSHIP)
            self._output.proposal_results.append(ProposalResult(token, result))

    # ---- snapshots: sending ----

    def _start_snapshot(self, target: str) -> None:
        replica = self.replica
        index = self.state.applied_index
        entry = replica.entry(index)
        epoch = entry.epoch if entry is not None else replica.base_epoch
        self._streams += 1
        replica_set = replica.replica_set
        self._outgoing[target] = _OutgoingSnapshot(index, epoch, replica_set, self._streams)
        self._output.reads.append(ReadSnapshotRows(target, FIRST_ROW))

    def snapshot_rows_read(self, target: str, rows: list[Row], now: float) -> None:
        """Send the rows that :class:`ReadSnapshotRows` requested; no rows end the snapshot."""
        snapshot = self._outgoing.get(target)
        if snapshot is None or not self.is_leader:
            self._outgoing.pop(target, None)
            return
        snapshot.last_step_at = now
        if rows:
            snapshot.after = (rows[-1].kind, rows[-1].id, rows[-1].number)
        chunk = SnapshotChunk(
            snapshot_index=snapshot.index,
            snapshot_epoch=snapshot.epoch,
            stream=snapshot.stream,
            sequence=snapshot.sequence,
            rows=rows,
            last=not rows,
            voters=snapshot.replica_set.voters,
            in_sync=snapshot.replica_set.in_sync,
        )
        message = self._message(target, snapshot_chunk=chunk)
        self._output.send_now.append(message)

    def _handle_snapshot_response(self, message: ReplicaMessage, now: float) -> None:
        response = message.snapshot_response
        snapshot = self._outgoing.get(message.sender)
        if snapshot is None or response.stream != snapshot.stream:
            return
        if response.sequence != snapshot.sequence:
            return
        if response.last:
            del self._outgoing[message.sender]
            self._execute(self.replica.snapshot_sent(message.sender, snapshot.index, now))
            return
        snapshot.sequence += 1
        self._output.reads.append(ReadSnapshotRows(message.sender, snapshot.after))

    # ---- snapshots: receiving ----

    def _handle_snapshot_chunk(self, message: ReplicaMessage, now: float) -> None:
        chunk = message.snapshot_chunk
        if message.epoch < self.replica.epoch or message.target != self.replica.identity:
            return
        incoming = self._incoming
        if chunk.sequence == 0 and self._starts_new_snapshot(message.epoch, chunk):
            incoming = _IncomingSnapshot(message.epoch, chunk.stream)
            self._incoming = incoming
            self._newest_stream = (message.epoch, chunk.stream)
            self.replica.installing = True
            self._output.writes = ShardWrites(
                hard_state=self._output.writes.hard_state, begin_install=True
            )
            self._output.written_mark = None
        if incoming is None or (incoming.epoch, incoming.stream) != (message.epoch, chunk.stream):
            return
        if incoming.next_sequence != chunk.sequence:
            return
        incoming.next_sequence += 1
        self._output.writes.rows.extend(chunk.rows)
        self._output.dirty = True
        if chunk.last:
            self._end_install(chunk)
        response = SnapshotResponse(
            snapshot_index=chunk.snapshot_index,
            sequence=chunk.sequence,
            last=chunk.last,
            stream=chunk.stream,
        )
        answer = self._message(message.sender, snapshot_response=response)
        self._output.send_after_write.append(answer)

    def _starts_new_snapshot(self, epoch: int, chunk: SnapshotChunk) -> bool:
        """Whether a first chunk starts a new snapshot; a late copy must not empty the replica."""
        if chunk.snapshot_index <= self.replica.commit_index and not self.replica.installing:
            return False
        return (epoch, chunk.stream) > self._newest_stream

    def _end_install(self, chunk: SnapshotChunk) -> None:
        replica_set = ReplicaSet(voters=chunk.voters, in_sync=chunk.in_sync)
        base = InstalledBase(chunk.snapshot_index, chunk.snapshot_epoch, replica_set)
        self._output.writes.end_install = base
        self._output.reload = True
        self._incoming = None
        self._installed_base = base

    def reload(self, rows: Iterable[Row]) -> None:
        """Rebuild the state machine from the rows of a snapshot that is now on disk."""
        base = self._installed_base
        assert base is not None
        self.state = ShardState()
        self.state.load(rows, base.index)
        self.replica.snapshot_installed(base.index, base.epoch, base.replica_set)

    def _message(
        self,
        target: str,
        snapshot_chunk: SnapshotChunk | None = None,
        snapshot_response: SnapshotResponse | None = None,
    ) -> ReplicaMessage:
        return ReplicaMessage(
            shard=self.number,
            sender=self.replica.identity,
            target=target,
            epoch=self.replica.epoch,
            snapshot_chunk=snapshot_chunk,
            snapshot_response=snapshot_response,
        )


__all__ = ["NotLeaderError", "ProposalResult", "ReadSnapshotRows", "Shard", "ShardOutput"]
