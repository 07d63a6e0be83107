"""Journal driver: runs the shards of one node on its database and the transport.

All shards share one group commit: while one commit is being written, the next one collects writes.
Messages that depend on a write are sent after it.
"""

import asyncio
import logging
import random
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from typing import TypeVar

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    Command,
    ProposeResult,
    ReplicaMessage,
    ReplicaSet,
    Row,
    Rows,
    ShardPlacement,
)
from wharfcart.errors import Outcome, ServingError
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.storage.journal_database import MIN_FREE_BYTES, CorruptRecordError, Database
from wharfcart.storage.replica import NotLeaderError
from wharfcart.storage.replica_actions import HardState
from wharfcart.storage.shard import LOST_LEADERSHIP, ReadSnapshotRows, Shard, ShardOutput
from wharfcart.storage.shard_writes import ShardRecord, ShardWrites

TICK_INTERVAL_S = 0.03
PROPOSE_TIMEOUT_S = 5.0
SNAPSHOT_CHUNK_ROWS = 512
SNAPSHOT_CHUNK_BYTES = 2 * 1024 * 1024
GROWING_COMMANDS = ("file_append", "job_create")

logger = logging.getLogger(__name__)

SendReplicaMessages = Callable[[str, list[ReplicaMessage]], None]
_T = TypeVar("_T")
PlacementChanged = Callable[[ShardPlacement], None]
LeadershipChanged = Callable[[int, bool], None]


@dataclass
class _GroupCommit:
    """Writes of all shards for one database commit, and what follows it."""

    writes: dict[int, ShardWrites] = field(default_factory=dict)
    messages: list[ReplicaMessage] = field(default_factory=list)
    written_marks: dict[int, tuple[int, int]] = field(default_factory=dict)
    reloads: set[int] = field(default_factory=set)
    reads: list[tuple[Shard, ReadSnapshotRows]] = field(default_factory=list)


class Journal:
    """All shard replicas of one node."""

    def __init__(
        self,
        database: Database,
        send: SendReplicaMessages,
        placement_changed: PlacementChanged,
        leadership_changed: LeadershipChanged,
    ) -> None:
        self._database = database
        self._send = send
        self._placement_changed = placement_changed
        self._leadership_changed = leadership_changed
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="journal")
        self._loop = asyncio.get_running_loop()
        self._next_commit = _GroupCommit()
        self._work = asyncio.Event()
        self._futures: dict[int, asyncio.Future[ProposeResult]] = {}
        self._next_token = 1
        self._proposals: dict[int, list[tuple[int, Command]]] = {}
        self._tasks = BackgroundTasks()
        self._disk_full = False
        self.shards: dict[int, Shard] = {}
        self.commits = 0

    @property
    def identity(self) -> str:
        """Identity of this node's disk."""
        return self._database.identity

    async def start(self) -> None:
        """Load every shard on disk and start the writer."""
        for number in await self._on_writer(self._database.shards):
            await self._load(number)
        self._tasks.spawn(self._write_loop())
        self._tasks.spawn(self._tick_loop())

    async def stop(self) -> None:
        """Transfer leaderships, flush pending writes, and close the database."""
        self.step_down()
        while self._next_commit.writes or self._next_commit.messages:
            await self._write_once()
        await self._tasks.stop()
        await self._on_writer(self._database.close)
        self._executor.shutdown()

    async def _load(self, number: int) -> None:
        record = await self._on_writer(lambda: self._database.load(number))
        self._add_shard(record, await self._read_memory_rows(number))

    async def _read_memory_rows(self, number: int) -> list[Row]:
        return await self._on_writer(lambda: list(self._database.memory_rows(number)))

    def _add_shard(self, record: ShardRecord, rows: list[Row]) -> Shard:
        now = monotonic()
        shard = Shard(record, rows, self.identity, random.Random(), now)
        self.shards[record.shard] = shard
        self._placement_changed(self._placement_of(shard))
        return shard

    def create_shard(self, number: int, voters: list[str]) -> None:
        """Create an empty replica: an initial voter, or a learner if there are no voters."""
        if number in self.shards:
            return
        base_set = ReplicaSet(voters=voters, in_sync=voters)
        self._add_shard(ShardRecord(number, HardState(0, ""), 0, 0, base_set, 0, False, []), [])
        self._tasks.spawn(self._create_on_disk(number, base_set))

    async def _create_on_disk(self, number: int, base_set: ReplicaSet) -> None:
        # The single writer thread executes this before any write of the new replica.
        await self._on_writer(lambda: self._database.create_shard(number, base_set))

    # ---- inputs ----

    def receive(self, messages: list[ReplicaMessage]) -> None:
        """Handle messages from other replicas."""
        now = monotonic()
        for message in messages:
            if message.target != self.identity:
                continue
            shard = self.shards.get(message.shard)
            if shard is None:
                self.create_shard(message.shard, [])
                shard = self.shards[message.shard]
            shard.receive(message, now)
            self._collect_output(shard)

    def update_storage_members(self, live: dict[str, str], leaving: set[str]) -> None:
        """Update the live storage identities, with their zones, and those that are restarting."""
        for shard in self.shards.values():
            shard.update_storage_members(live, leaving, monotonic())
            self._collect_output(shard)

    def recover_as_sole_voter(self, number: int, live: dict[str, str], known_version: int) -> None:
        """Continue a shard whose other disks are lost, at an operator's request.

        Args:
            number: number of the shard.
            live: live storage identities in the cluster membership, with their zones.
            known_version: newest version of the shard's placement that any node reported.

        Raises:
            ServingError: ``recovery_refused`` if a majority of the voters is live, if this disk
                holds no voting replica of the shard, or if this replica is not in sync or missed a
                change of the shard's set.
        """
        shard = self.shards.get(number)
        if shard is None or self.identity not in shard.replica.replica_set.voters:
            raise _recovery_refused("this node holds no voting replica of the shard")
        voters = shard.replica.replica_set.voters
        if sum(voter in live for voter in voters) * 2 > len(voters):
            raise _recovery_refused("a majority of the voters lives: wait for an election")
        in_sync = shard.replica.replica_set.in_sync
        if self.identity not in in_sync or known_version > shard.replica.replica_set_index + 1:
            raise _recovery_refused("this replica was dropped from the in-sync set: it is behind")
        logger.warning("shard recovered with this node as the only voter", extra={"shard": number})
        shard.recover_as_sole_voter(monotonic())
        self._collect_output(shard)

    def step_down(self) -> None:
        """Transfer every leadership."""
        for shard in self.shards.values():
            shard.step_down(monotonic())
            self._collect_output(shard)

    async def propose(self, number: int, command: Command) -> ProposeResult:
        """Replicate a command and return its result.

        Raises:
            ServingError: ``not_leader`` with outcome ``not_run`` and the leader's identity as a
                note; ``lost_leadership`` or ``journal_timeout`` with outcome ``unknown``.
        """
        shard = self.shards.get(number)
        if shard is None or not shard.is_leader:
            raise not_leader(shard.replica.leader if shard else "")
        if self._disk_full and command.WhichOneof("body") in GROWING_COMMANDS:
            raise ServingError("disk_full", "no room for new work", 507, retry_after_seconds=60)
        token = self._next_token
        self._next_token += 1
        future: asyncio.Future[ProposeResult] = self._loop.create_future()
        self._futures[token] = future
        waiting = self._proposals.setdefault(number, [])
        if not waiting:
            self._loop.call_soon(self._flush_proposals, number)
        waiting.append((token, command))
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                result = await future
        except TimeoutError:
            raise ServingError(
                "journal_timeout", "the journal did not answer in time", 503, Outcome.UNKNOWN, 1.0
            ) from None
        finally:
            self._futures.pop(token, None)
        if result.code == LOST_LEADERSHIP:
            raise ServingError(
                LOST_LEADERSHIP,
                "leadership changed meanwhile",
                503,
                Outcome.UNKNOWN,
                0.5,
            )
        return result

    def _flush_proposals(self, number: int) -> None:
        proposals = self._proposals.pop(number, [])
        shard = self.shards[number]
        try:
            shard.propose(proposals, monotonic())
        except NotLeaderError as error:
            for token, _ in proposals:
                future = self._futures.get(token)
                if future is not None and not future.done():
                    future.set_exception(not_leader(error.leader))
            return
        self._collect_output(shard)

    def leading_shard(self, number: int) -> Shard:
        """Return the shard if reads of its memory are current.

        Raises:
            ServingError: ``not_leader``.
        """
        shard = self.shards.get(number)
        if shard is None or not shard.replica.lease_valid(monotonic()):
            raise not_leader(shard.replica.leader if shard and not shard.is_leader else "")
        return shard

    async def read_rows(
        self, number: int, kind: str, id_: str, first: int, limit: int, max_bytes: int
    ) -> Rows:
        """Read rows of one id as the leader."""
        self.leading_shard(number)
        # Collected before the read: otherwise a group commit that starts meanwhile hides its rows.
        unwritten = self._unwritten_rows(number, kind, id_, first)
        try:
            rows = await self._on_writer(
                lambda: self._database.read_rows(number, kind, id_, first, limit, max_bytes)
            )
        except CorruptRecordError as error:
            await self._handle_corrupt_record(error)
            raise not_leader("") from error
        if unwritten:
            merged = {row.number: row for row in rows} | unwritten
            rows = [merged[key] for key in sorted(merged)][:limit]
        return Rows(rows=rows)

    async def _handle_corrupt_record(self, error: CorruptRecordError) -> None:
        """Transfer leaderships and have the next start rebuild this disk from its peers."""
        logger.error(
            "corrupt row, restart this node",
            extra={"row": str(error)},
        )
        await self._on_writer(self._database.mark_corrupt)
        self.step_down()

    def _unwritten_rows(self, number: int, kind: str, id_: str, first: int) -> dict[int, Row]:
        # Rows may still wait for their group commit although their entries are committed.
        writes = self._next_commit.writes.get(number)
        if writes is None:
            return {}
        return {
            row.number: row
            for row in writes.rows
            if row.kind == kind and row.id == id_ and row.number >= first
        }

    # ---- loops ----

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = monotonic()
            for shard in self.shards.values():
                shard.tick(now)
                self._collect_output(shard)

    async def _write_loop(self) -> None:
        while True:
            await self._work.wait()
            await self._write_once()

    async def _write_once(self) -> None:
        group = self._next_commit
        self._next_commit = _GroupCommit()
        self._work.clear()
        if group.writes:
            try:
                free = await self._on_writer(lambda: self._write(group.writes))
            except Exception:
                # A disk that fails a write must not lead or acknowledge: drop the commit's messages
                # and wait, so that peers drop the unresponsive replica from the in-sync set.
                logger.exception("journal write failed")
                self._requeue(group)
                await asyncio.sleep(1.0)
                return
            self._disk_full = free < MIN_FREE_BYTES
            self.commits += 1
        for number in group.reloads:
            self.shards[number].reload(await self._read_memory_rows(number))
            self._collect_output(self.shards[number])
        for shard, read in group.reads:
            self._tasks.spawn(self._read_snapshot(shard, read))
        self._send_all(group.messages)
        now = monotonic()
        for number, mark in group.written_marks.items():
            self.shards[number].mark_written(mark, now)
            self._collect_output(self.shards[number])

    def _write(self, writes: dict[int, ShardWrites]) -> int:
        self._database.write(writes)
        return self._database.free_bytes()

    def _requeue(self, group: _GroupCommit) -> None:
        """Put a failed commit back in front of the writes collected since."""
        newer = self._next_commit
        self._next_commit = group
        group.messages = []
        for number, writes in newer.writes.items():
            self._merge_writes(number, writes)
        group.written_marks.update(newer.written_marks)
        group.messages.extend(newer.messages)
        group.reloads.update(newer.reloads)
        group.reads.extend(newer.reads)
        self._work.set()

    # ---- output of shards ----

    def _collect_output(self, shard: Shard) -> None:
        output = shard.take_output()
        number = shard.number
        if output.dirty:
            self._merge_writes(number, output.writes)
        if output.written_mark is not None:
            self._next_commit.written_marks[number] = output.written_mark
        if output.reload:
            self._next_commit.reloads.add(number)
        self._next_commit.messages.extend(output.send_after_write)
        if output.dirty or output.send_after_write:
            self._work.set()
        self._send_all(output.send_now)
        self._resolve_proposals(output)
        self._next_commit.reads.extend((shard, read) for read in output.reads)
        self._report_changes(shard, output)

    def _merge_writes(self, number: int, new: ShardWrites) -> None:
        known = self._next_commit.writes.get(number)
        self._next_commit.writes[number] = new if known is None else known.merge(new)

    def _send_all(self, messages: list[ReplicaMessage]) -> None:
        by_target: dict[str, list[ReplicaMessage]] = {}
        for message in messages:
            by_target.setdefault(message.target, []).append(message)
        for target, batch in by_target.items():
            self._send(target, batch)

    def _resolve_proposals(self, output: ShardOutput) -> None:
        for answer in output.proposal_results:
            future = self._futures.get(answer.token)
            if future is not None and not future.done():
                future.set_result(answer.result)

    def _report_changes(self, shard: Shard, output: ShardOutput) -> None:
        if output.role is not None:
            self._leadership_changed(shard.number, shard.is_leader)
        for _, command, _ in output.applied:
            if command.WhichOneof("body") == "replica_set":
                self._placement_changed(self._placement_of(shard))

    def _placement_of(self, shard: Shard) -> ShardPlacement:
        return ShardPlacement(
            shard=shard.number,
            replicas=shard.replica.replica_set.voters,
            version=shard.replica.replica_set_index + 1,
        )

    async def _read_snapshot(self, shard: Shard, read: ReadSnapshotRows) -> None:
        rows = await self._on_writer(
            lambda: self._database.rows_after(
                shard.number, read.after, SNAPSHOT_CHUNK_ROWS, SNAPSHOT_CHUNK_BYTES
            )
        )
        shard.snapshot_rows_read(read.target, rows, monotonic())
        self._collect_output(shard)

    async def _on_writer(self, work: Callable[[], _T]) -> _T:
        return await self._loop.run_in_executor(self._executor, work)


def _recovery_refused(reason: str) -> ServingError:
    return ServingError("recovery_refused", reason, 409)


def not_leader(leader: str) -> ServingError:
    """Return the error for a call that only the shard's leader may execute."""
    error = ServingError("not_leader", "this replica does not lead the shard", 503)
    if leader:
        error.add_note(leader)
    return error
