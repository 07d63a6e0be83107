"""Simulated clients of a journal shard; they record the answers that they get."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from wharfcart.cluster.messages_pb2 import (
    Command,
    FileAppend,
    FileSeal,
    ItemResult,
    ItemsComplete,
    ItemsLease,
    JobCancel,
    JobCreate,
    KeyFinish,
    KeyStart,
    ProposeResult,
)
from wharfcart.experiments.operation_history import Operation, OperationHistory
from wharfcart.experiments.simulated_journal_disk import SimulatedMachine
from wharfcart.storage.shard import LOST_LEADERSHIP, Shard
from wharfcart.storage.shard_state import ItemState

if TYPE_CHECKING:
    from wharfcart.experiments.journal_simulation import JournalSimulation

CLIENT_TIMEOUT_S = 0.3
CLIENT_PAUSE_S = 0.02
ROWS_PER_JOB = 150
KEY_COUNT = 60
JOB_ID = "job"
FILE_ID = "file"


def record_reads(
    history: OperationHistory, shard: Shard, started_at: float, finished_at: float
) -> None:
    """Record a read of every key and item."""
    for number in range(KEY_COUNT):
        record = shard.state.keys.get(f"key-{number}")
        value = None if record is None else (record.start.request_id, record.state)
        history.add(Operation("read_key", f"key-{number}", started_at, finished_at, value))
    job = shard.state.jobs.get(JOB_ID)
    if job is None:
        return
    if job.summarized:
        history.add(Operation("read_counts", JOB_ID, started_at, finished_at, job.record.completed))
    for row, state in enumerate(job.states):
        history.add(
            Operation("read_item", str(row), started_at, finished_at, ItemState(state).name)
        )
    history.add(Operation("read_cancelled", JOB_ID, started_at, finished_at, job.cancelled))


class SimulatedJournalClient:
    """Runs random operations one after another, mostly at a leader."""

    def __init__(self, simulation: "JournalSimulation", number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.stopped = False
        self._step = 0
        self._attempt = 0
        self._cancelled = False

    def next_step(self) -> None:
        """Start the next operation unless the client is stopped."""
        if self.stopped:
            return
        self._step += 1
        simulation = self.simulation
        roll = simulation.random.random()
        if self.number == 0 and self._step <= 3:
            self._prepare_job()
        elif roll < 0.25:
            self._read()
        elif roll < 0.55:
            self._use_key()
        elif roll < 0.97 or simulation.now < simulation.plan.duration_s * 0.6:
            self._run_item()
        else:
            cancel = Command(job_cancel=JobCancel(job_id=JOB_ID, tenant="t"))
            self._propose("cancel", JOB_ID, cancel, None)

    def _prepare_job(self) -> None:
        commands = [
            Command(
                file_append=FileAppend(
                    file_id=FILE_ID,
                    tenant="t",
                    lines=[b"{}"] * ROWS_PER_JOB,
                    classes=bytes(ROWS_PER_JOB),
                    service_names=["s"],
                )
            ),
            Command(file_seal=FileSeal(file_id=FILE_ID, tenant="t", rows=ROWS_PER_JOB)),
            Command(job_create=JobCreate(job_id=JOB_ID, tenant="t", file_id=FILE_ID)),
        ]
        command = commands[self._step - 1]
        self._propose("prepare", str(self._step), command, None, retry_until_done=True)

    def _use_key(self) -> None:
        name = f"key-{self.simulation.random.randrange(KEY_COUNT)}"
        request_id = f"c{self.number}-{self._step}"
        start = KeyStart(key=name, digest="d", request_id=request_id)

        def started(result: ProposeResult | None) -> None:
            if result is None or result.code != "ok":
                self.simulation.call_later(CLIENT_PAUSE_S, self.next_step)
            else:
                finish = KeyFinish(
                    key=name, request_id=request_id, state="completed", response=b"answer"
                )
                self._propose("finish", name, Command(key_finish=finish), request_id)

        self._propose("start", name, Command(key_start=start), request_id, started)

    def _run_item(self) -> None:
        row = self.simulation.random.randrange(ROWS_PER_JOB)
        lease_id = f"c{self.number}-{self._step}"
        lease = ItemsLease(lease_id=lease_id, job_id=JOB_ID, holder=str(self.number), rows=[row])

        def leased(result: ProposeResult | None) -> None:
            # Also completes without a lease, like a holder that lost its lease.
            outcome = ItemResult(row=row, body=lease_id.encode())
            complete = ItemsComplete(job_id=JOB_ID, lease_id=lease_id, results=[outcome])
            self._propose("complete", str(row), Command(items_complete=complete), lease_id)

        self._propose("lease", str(row), Command(items_lease=lease), lease_id, leased)

    def _read(self) -> None:
        started_at = self.simulation.now
        simulation = self.simulation

        def seen(shard: Shard | None) -> None:
            if shard is not None:
                record_reads(simulation.history, shard, started_at, simulation.now)

        simulation.read(self._choose_machine(), seen)
        simulation.call_later(CLIENT_PAUSE_S, self.next_step)

    def _choose_machine(self) -> SimulatedMachine:
        machines = self.simulation.machines
        leaders = [m for m in machines if m.shard is not None and m.shard.is_leader]
        if leaders and self.simulation.random.random() < 0.8:
            return self.simulation.random.choice(leaders)
        return self.simulation.random.choice(machines)

    def _propose(
        self,
        kind: str,
        target: str,
        command: Command,
        value: str | None,
        on_result: Callable[[ProposeResult | None], None] | None = None,
        retry_until_done: bool = False,
    ) -> None:
        simulation = self.simulation
        # The wall clock jumps: the journal must not rely on it.
        command.at_ms = max(1, int(1e6 + simulation.random.uniform(-5e5, 5e5)))
        started_at = simulation.now
        self._attempt += 1
        attempt = self._attempt

        def done(result: ProposeResult | None) -> None:
            if attempt != self._attempt:
                return
            self._attempt += 1
            is_unknown = result is None or result.code == LOST_LEADERSHIP
            if not is_unknown and result is not None:
                self._record(kind, target, started_at, value, result)
            if is_unknown and retry_until_done:
                self._step -= 1
            if on_result is not None and not is_unknown:
                on_result(result)
            else:
                simulation.call_later(CLIENT_PAUSE_S, self.next_step)

        def timed_out() -> None:
            if attempt == self._attempt:
                self._attempt += 1
                if retry_until_done:
                    self._step -= 1
                simulation.call_later(CLIENT_PAUSE_S, self.next_step)

        simulation.propose(self._choose_machine(), command, done)
        simulation.call_later(CLIENT_TIMEOUT_S, timed_out)

    def _record(
        self, kind: str, target: str, started_at: float, value: str | None, result: ProposeResult
    ) -> None:
        seen: object = (result.code, result.key_record.start.request_id, result.accepted)
        operation = Operation(kind, target, started_at, self.simulation.now, seen, value)
        self.simulation.history.add(operation)
