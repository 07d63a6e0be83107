"""Seeded simulation of one journal shard under virtual time and faults.

Runs :class:`wharfcart.storage.shard.Shard` on simulated disks and a simulated network that drops,
delays, duplicates and reorders messages, with random crashes, pauses, partitions and disk losses.
Some messages and calls arrive as late as those of a connection that was given up may.
Simulated clients record their operations in an :class:`OperationHistory`, which checks them
(:mod:`wharfcart.experiments.operation_history`). A run is deterministic for its seed.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from wharfcart.cluster.messages_pb2 import (
    Command,
    ProposeResult,
    ReplicaMessage,
    ReplicaSet,
)
from wharfcart.cluster.transport import UNACKNOWLEDGED_TIMEOUT_MS
from wharfcart.experiments.journal_clients import SimulatedJournalClient, record_reads
from wharfcart.experiments.operation_history import OperationHistory
from wharfcart.experiments.simulated_journal_disk import (
    SimulatedJournalDisk,
    SimulatedMachine,
)
from wharfcart.experiments.simulated_network import MAX_RETRANSMISSION_S
from wharfcart.storage.replica import NotLeaderError
from wharfcart.storage.replica_actions import HardState
from wharfcart.storage.shard import ReadSnapshotRows, Shard
from wharfcart.storage.shard_state import RowKind
from wharfcart.storage.shard_writes import ShardRecord, ShardWrites

TICK_S = 0.05
MIN_WRITE_S = 0.001
MIN_DELAY_S = 0.0005
MAX_DELAY_S = 0.02
# Linux counts the timeout of unacknowledged data from the first retransmission.
MAX_LATENESS_S = UNACKNOWLEDGED_TIMEOUT_MS / 1000 + MAX_RETRANSMISSION_S
MEMBERSHIP_LAG_S = 1.0
CLIENT_COUNT = 6
SNAPSHOT_PAGE_ROWS = 16
MAX_LOG_ENTRIES = 40


@dataclass(frozen=True)
class FaultPlan:
    """Faults of a run; rates are events per simulated second, ``message_*`` are probabilities."""

    duration_s: float = 20.0
    settle_s: float = 12.0
    message_loss: float = 0.02
    message_duplication: float = 0.02
    message_lateness: float = 0.02
    crash_rate: float = 0.2
    pause_rate: float = 0.15
    partition_rate: float = 0.15
    disk_loss_rate: float = 0.05
    max_fault_s: float = 3.0
    max_write_s: float = 0.02
    spare_machines: int = 1


class JournalSimulation:
    """One run of the simulation."""

    def __init__(self, seed: int, plan: FaultPlan) -> None:
        self.random = random.Random(seed)
        self.plan = plan
        self.now = 0.0
        self.history = OperationHistory()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._token = 0
        self._tokens: dict[int, Callable[[ProposeResult | None], None]] = {}
        self._cut_links: set[frozenset[str]] = set()
        self._healing = False
        self.late_messages = 0
        self.late_calls = 0
        count = 3 + plan.spare_machines
        self.machines = [
            SimulatedMachine(f"m{n}", SimulatedJournalDisk(f"m{n}-0")) for n in range(count)
        ]
        voters = [machine.disk.identity for machine in self.machines[:3]]
        for machine in self.machines[:3]:
            self._create_record(machine, voters)
        for machine in self.machines:
            self._start(machine)
        self.call_later(TICK_S, self._tick_all)
        self.call_later(0.5, self._send_membership)
        self.call_later(0.5, self._next_fault)
        self._clients = [SimulatedJournalClient(self, number) for number in range(CLIENT_COUNT)]
        for client in self._clients:
            self.call_later(1.5 + 0.01 * client.number, client.next_step)

    def run(self) -> OperationHistory:
        """Run with faults, then without faults, then read the final state."""
        end = self.plan.duration_s
        self.run_until(end)
        self._heal()
        self.run_until(end + self.plan.settle_s)
        for client in self._clients:
            client.stopped = True
        self._final_reads()
        self.run_until(end + self.plan.settle_s + 3.0)
        return self.history

    # ---- events ----

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after a delay of simulated time, in seconds."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, callback))

    def run_until(self, end: float) -> None:
        """Advance simulated time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self.now = end

    def _run_on(self, machine: SimulatedMachine, callback: Callable[[], None]) -> None:
        """Run ``callback`` on a machine; a paused machine runs it on resume, unless it restarts."""
        if machine.paused:
            machine.backlog.append(callback)
        else:
            callback()

    # ---- machines ----

    def _create_record(self, machine: SimulatedMachine, voters: list[str]) -> None:
        base = ReplicaSet(voters=voters, in_sync=voters)
        machine.disk.record = ShardRecord(0, HardState(0, ""), 0, 0, base, 0, False, [])

    def _start(self, machine: SimulatedMachine) -> None:
        machine.generation += 1
        machine.writing = False
        machine.pending_writes = None
        machine.messages_after_write = []
        machine.pending_mark = None
        machine.reload = False
        machine.pending_reads = []
        machine.backlog = []
        machine.paused = False
        if machine.disk.record is None:
            machine.shard = None
            return
        rows = [row for row in machine.disk.rows.values() if row.kind != RowKind.LINE]
        machine.shard = Shard(
            machine.disk.record, rows, machine.disk.identity, self.random, self.now, MAX_LOG_ENTRIES
        )

    def crash(self, machine: SimulatedMachine) -> None:
        """Crash a machine's process; its disk stays."""
        machine.generation += 1
        machine.shard = None
        machine.paused = False
        machine.backlog = []

    def _lose_disk(self, machine: SimulatedMachine) -> None:
        self.crash(machine)
        machine.disk = SimulatedJournalDisk(self._new_identity(machine))

    def _new_identity(self, machine: SimulatedMachine) -> str:
        base, number = machine.disk.identity.rsplit("-", 1)
        return f"{base}-{int(number) + 1}"

    def _tick_all(self) -> None:
        for machine in self.machines:
            if not machine.paused and machine.shard is not None:
                machine.shard.tick(self.now)
                self._process_output(machine)
        self.call_later(TICK_S, self._tick_all)

    def _send_membership(self) -> None:
        live = {m.disk.identity: m.name for m in self.machines if m.shard or not m.disk.record}
        live = {
            m.disk.identity: m.name
            for m in self.machines
            if m.disk.identity in live and not m.paused and (m.shard or m.disk.record is None)
        }

        def tell() -> None:
            for machine in self.machines:
                if machine.shard is not None and not machine.paused:
                    machine.shard.update_storage_members(live, set(), self.now)
                    self._process_output(machine)

        self.call_later(MEMBERSHIP_LAG_S, tell)
        self.call_later(0.5, self._send_membership)

    # ---- disk and network ----

    def _process_output(self, machine: SimulatedMachine) -> None:
        shard = machine.shard
        assert shard is not None
        output = shard.take_output()
        if output.dirty or output.send_after_write or output.reload:
            gathering = machine.pending_writes or ShardWrites()
            machine.pending_writes = gathering.merge(output.writes)
        machine.messages_after_write.extend(output.send_after_write)
        machine.pending_mark = output.written_mark or machine.pending_mark
        machine.reload = machine.reload or output.reload
        for message in output.send_now:
            self._send(machine, message)
        for answer in output.proposal_results:
            done = self._tokens.pop(answer.token, None)
            if done is not None:
                done(answer.result)
        machine.pending_reads.extend(output.reads)
        self._write(machine)

    def _write(self, machine: SimulatedMachine) -> None:
        if machine.writing or machine.pending_writes is None:
            return
        writes, messages, mark, reload = (
            machine.pending_writes,
            machine.messages_after_write,
            machine.pending_mark,
            machine.reload,
        )
        machine.pending_writes, machine.messages_after_write, machine.pending_mark = None, [], None
        machine.reload = False
        reads, machine.pending_reads = machine.pending_reads, []
        machine.writing = True
        generation = machine.generation

        def written() -> None:
            # A crash before this point loses the whole commit, as with SQLite.
            if machine.generation != generation:
                return
            machine.disk.write(writes)
            for read in reads:
                self._read_snapshot(machine, read)
            self._run_on(
                machine, lambda: self._finish_write(machine, generation, messages, mark, reload)
            )

        self.call_later(self.random.uniform(MIN_WRITE_S, self.plan.max_write_s), written)

    def _finish_write(
        self,
        machine: SimulatedMachine,
        generation: int,
        messages: list[ReplicaMessage],
        mark: tuple[int, int] | None,
        reload: bool,
    ) -> None:
        if machine.generation != generation or machine.shard is None:
            return
        machine.writing = False
        if reload:
            machine.shard.reload(
                [row for row in machine.disk.rows.values() if row.kind != RowKind.LINE]
            )
        for message in messages:
            self._send(machine, message)
        if mark is not None:
            machine.shard.mark_written(mark, self.now)
        self._process_output(machine)

    def _read_snapshot(self, machine: SimulatedMachine, read: ReadSnapshotRows) -> None:
        generation = machine.generation

        def answer() -> None:
            if machine.generation != generation or machine.shard is None:
                return
            keys = sorted(key for key in machine.disk.rows if key > read.after)[:SNAPSHOT_PAGE_ROWS]
            rows = [machine.disk.rows[key] for key in keys]
            machine.shard.snapshot_rows_read(read.target, rows, self.now)
            self._process_output(machine)

        self.call_later(0.005, lambda: self._run_on(machine, answer))

    def _send(self, sender: SimulatedMachine, message: ReplicaMessage) -> None:
        if self._is_message_lost():
            return
        copies = (
            2 if self.random.random() < self.plan.message_duplication and not self._healing else 1
        )
        for _ in range(copies):
            if self._is_message_late(sender, message):
                self._deliver_late(sender, message)
                continue
            delay = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
            self.call_later(delay, lambda: self._deliver(sender.name, message))

    def _is_message_late(self, sender: SimulatedMachine, message: ReplicaMessage) -> bool:
        if self._healing:
            return False
        target = self._machine_of(message.target)
        is_cut = target is not None and self._is_cut(sender.name, target.name)
        share = self.plan.message_lateness
        # Half of what a cut holds back is retransmitted once it has healed.
        return self.random.random() < (0.5 if is_cut and share else share)

    def _deliver_late(self, sender: SimulatedMachine, message: ReplicaMessage) -> None:
        """Deliver a message after later ones; it does not outlive the target's process."""
        target = self._machine_of(message.target)
        if target is None:
            return
        generation = target.generation

        def deliver() -> None:
            if target.generation == generation:
                self.late_messages += 1
                self._deliver(sender.name, message)

        self.call_later(self.random.uniform(MAX_DELAY_S, MAX_LATENESS_S), deliver)

    def _machine_of(self, identity: str) -> SimulatedMachine | None:
        return next((m for m in self.machines if m.disk.identity == identity), None)

    def _is_message_lost(self) -> bool:
        return not self._healing and self.random.random() < self.plan.message_loss

    def _deliver(self, sender: str, message: ReplicaMessage) -> None:
        for machine in self.machines:
            if machine.disk.identity != message.target or self._is_cut(sender, machine.name):
                continue
            if machine.shard is None and machine.disk.record is None:
                self._create_record(machine, [])
                self._start(machine)
            if machine.shard is not None:
                self._run_on(machine, lambda m=machine: self._receive(m, message))  # type: ignore[misc]

    def _receive(self, machine: SimulatedMachine, message: ReplicaMessage) -> None:
        if machine.shard is not None:
            machine.shard.receive(message, self.now)
            self._process_output(machine)

    def _is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self._cut_links

    # ---- faults ----

    def _next_fault(self) -> None:
        if self._healing:
            return
        plan = self.plan
        rates = {
            self._fault_crash: plan.crash_rate,
            self._fault_pause: plan.pause_rate,
            self._fault_partition: plan.partition_rate,
            self._fault_lose_disk: plan.disk_loss_rate,
        }
        for fault, rate in rates.items():
            if self.random.random() < rate * 0.5:
                fault()
        self.call_later(0.5, self._next_fault)

    def _random_machine(self) -> SimulatedMachine:
        return self.random.choice(self.machines)

    def _fault_duration(self) -> float:
        return self.random.uniform(0.05, self.plan.max_fault_s)

    def _fault_crash(self) -> None:
        machine = self._random_machine()
        self.crash(machine)
        generation = machine.generation
        self.call_later(self._fault_duration(), lambda: self._restart(machine, generation))

    def _restart(self, machine: SimulatedMachine, generation: int) -> None:
        if machine.generation == generation:
            self._start(machine)

    def _fault_pause(self) -> None:
        machine = self._random_machine()
        if machine.shard is None or machine.paused:
            return
        machine.paused = True
        generation = machine.generation
        self.call_later(self._fault_duration(), lambda: self._resume(machine, generation))

    def _resume(self, machine: SimulatedMachine, generation: int) -> None:
        if machine.generation != generation or not machine.paused:
            return
        machine.paused = False
        backlog, machine.backlog = machine.backlog, []
        for work in backlog:
            work()

    def _fault_partition(self) -> None:
        one, other = self.random.sample([m.name for m in self.machines], 2)
        pair = frozenset((one, other))
        self._cut_links.add(pair)
        self.call_later(self._fault_duration(), lambda: self._cut_links.discard(pair))

    def _fault_lose_disk(self) -> None:
        # The journal survives a lost disk only while a majority keeps the acknowledged entries.
        machine = self._random_machine()
        if not self._can_lose_disk(machine):
            return
        self._lose_disk(machine)
        self._start(machine)

    def _can_lose_disk(self, machine: SimulatedMachine) -> bool:
        """Whether a majority of the voters still has its disk after losing this machine's."""
        leaders = [m for m in self.machines if m.shard is not None and m.shard.is_leader]
        if not leaders:
            return False
        newest = max(leaders, key=lambda m: m.shard.replica.epoch if m.shard else 0)
        assert newest.shard is not None
        replica = newest.shard.replica
        voters = set(replica.replica_set.voters)
        present = {m.disk.identity for m in self.machines if m.disk.record is not None}
        remaining = (voters & present) - {machine.disk.identity}
        settled = replica.commit_index >= replica.replica_set_index
        return settled and len(voters) >= 3 and len(remaining) * 2 > len(voters)

    def _heal(self) -> None:
        self._healing = True
        self._cut_links.clear()
        for machine in self.machines:
            if machine.paused:
                self._resume(machine, machine.generation)
            if machine.shard is None and machine.disk.record is not None:
                self._start(machine)

    # ---- clients' access ----

    def propose(
        self,
        machine: SimulatedMachine,
        command: Command,
        done: Callable[[ProposeResult | None], None],
    ) -> None:
        """Send a command to a machine; ``done`` gets the result, or None if it cannot lead."""
        if self._is_message_lost():
            return

        def arrive() -> None:
            if machine.shard is None:
                return
            self._token += 1
            token = self._token
            self._tokens[token] = lambda result: self._answer(done, result)
            try:
                machine.shard.propose([(token, command)], self.now)
            except NotLeaderError:
                del self._tokens[token]
                self._answer(done, None)
                return
            self._process_output(machine)

        generation = machine.generation

        def arrive_late() -> None:
            if machine.generation == generation:
                self.late_calls += 1
                self._run_on(machine, arrive)

        if not self._healing and self.random.random() < self.plan.message_lateness:
            self.call_later(self.random.uniform(MAX_DELAY_S, MAX_LATENESS_S), arrive_late)
            return
        delay = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self.call_later(delay, lambda: self._run_on(machine, arrive))

    def read(self, machine: SimulatedMachine, done: Callable[[Shard | None], None]) -> None:
        """Read a machine's state; ``done`` gets the shard, or None without a valid lease."""

        def arrive() -> None:
            shard = machine.shard
            if shard is None:
                return
            done(shard if shard.replica.lease_valid(self.now) else None)

        delay = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
        self.call_later(delay, lambda: self._run_on(machine, arrive))

    def _answer(
        self, done: Callable[[ProposeResult | None], None], result: ProposeResult | None
    ) -> None:
        if not self._is_message_lost():
            delay = self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
            self.call_later(delay, lambda: done(result))

    def _final_reads(self) -> None:
        leaders = [m for m in self.machines if m.shard is not None and m.shard.is_leader]
        self.history.has_leader = bool(leaders)
        for machine in leaders:
            shard = machine.shard
            if shard is not None and shard.replica.lease_valid(self.now):
                record_reads(self.history, shard, self.now, self.now)
