"""The journal under simulated faults: runs without violations, and seeded defects to detect."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from itertools import product
from typing import Any
from unittest.mock import patch

import pytest

from wharfcart.cluster.messages_pb2 import KeyStart, ProposeResult, ReplicaMessage
from wharfcart.experiments import journal_simulation
from wharfcart.experiments.journal_simulation import FaultPlan, JournalSimulation
from wharfcart.storage.replica import Replica
from wharfcart.storage.replica_actions import Role
from wharfcart.storage.shard import Shard
from wharfcart.storage.shard_state import BatchJob, ShardState

CLEAN_SEEDS = range(10)
MUTATION_SEEDS = range(1000, 1040)
HARSH = FaultPlan(crash_rate=0.5, pause_rate=0.4, partition_rate=0.4, disk_loss_rate=0.15)
SLOW_DISKS = FaultPlan(crash_rate=0.8, max_write_s=0.4)
LATE_MESSAGES = FaultPlan(
    message_lateness=0.1,
    crash_rate=0.6,
    pause_rate=0.5,
    partition_rate=0.5,
    disk_loss_rate=0.15,
    max_write_s=0.1,
)


@pytest.mark.parametrize("seed", CLEAN_SEEDS)
def test_invariants_hold_under_faults(seed: int) -> None:
    assert JournalSimulation(seed, FaultPlan()).run().check() == []


@pytest.mark.parametrize("seed", CLEAN_SEEDS)
def test_invariants_hold_under_harsh_faults(seed: int) -> None:
    assert JournalSimulation(seed, HARSH).run().check() == []


@pytest.mark.parametrize("seed", CLEAN_SEEDS)
def test_invariants_hold_on_slow_disks(seed: int) -> None:
    assert JournalSimulation(seed, SLOW_DISKS).run().check() == []


@pytest.mark.parametrize("seed", CLEAN_SEEDS)
def test_invariants_hold_with_late_messages(seed: int) -> None:
    """Guards against a message of a connection that was given up which undoes a later one."""
    simulation = JournalSimulation(seed, LATE_MESSAGES)
    assert simulation.run().check() == []
    assert simulation.late_messages > 10
    assert simulation.late_calls > 0


def test_same_seed_same_run() -> None:
    one = JournalSimulation(7, HARSH).run()
    other = JournalSimulation(7, HARSH).run()
    assert one.operations == other.operations


# ---- seeded defects ----


def _acknowledge_before_fsync() -> Any:
    original = Shard.take_output

    def take_output(self: Shard) -> Any:
        output = original(self)
        output.send_now.extend(output.send_after_write)
        output.send_after_write = []
        if output.written_mark is not None:
            self.mark_written(output.written_mark, self.replica._last_leader_contact_at)
            output.written_mark = None
        return output

    return patch.object(Shard, "take_output", take_output)


def _reuse_the_identity_of_an_empty_disk() -> Any:
    def new_identity(self: JournalSimulation, machine: Any) -> str:
        return str(machine.disk.identity)

    return patch.object(JournalSimulation, "_new_identity", new_identity)


def _commit_with_one_copy() -> Any:
    def commitable(self: Replica) -> int:
        return self._persisted_index

    return patch.object(Replica, "_committable_index", commitable)


def _vote_for_a_shorter_log() -> Any:
    original = Replica._handle_vote_request

    def vote_requested(self: Replica, message: ReplicaMessage, now: float) -> Any:
        message.vote_request.last_epoch = self.last_epoch + 1
        return original(self, message, now)

    return patch.object(Replica, "_handle_vote_request", vote_requested)


def _lease_for_ever() -> Any:
    def lease_valid(self: Replica, now: float) -> bool:
        return self.role is Role.LEADER

    return patch.object(Replica, "lease_valid", lease_valid)


def _second_completion_counts() -> Any:
    original = ShardState._complete_item

    def complete_item(self: ShardState, job: BatchJob, result: Any) -> bool:
        job.states[result.row] = 0
        return original(self, job, result)

    return patch.object(ShardState, "_complete_item", complete_item)


def _retry_after_started() -> Any:
    def key_start(self: ShardState, start: KeyStart, now_ms: int) -> ProposeResult:
        self.keys.pop(start.key, None)
        return _original_key_start(self, start, now_ms)

    return patch.object(ShardState, "_key_start", key_start)


def _lease_after_cancel() -> Any:
    return patch.object(BatchJob, "cancelled", property(lambda self: False))


def _forget_state_rows_at_restart() -> Any:
    return patch.object(ShardState, "load", _load_nothing)


def _load_nothing(self: ShardState, rows: Any, applied_index: int) -> None:
    self.applied_index = applied_index


_original_key_start = ShardState._key_start

MUTATIONS: list[Callable[[], Any]] = [
    _acknowledge_before_fsync,
    _reuse_the_identity_of_an_empty_disk,
    _commit_with_one_copy,
    _vote_for_a_shorter_log,
    _lease_for_ever,
    _second_completion_counts,
    _retry_after_started,
    _lease_after_cancel,
    _forget_state_rows_at_restart,
]


@contextmanager
def _mutated(mutation: Callable[[], Any]) -> Iterator[None]:
    with ExitStack() as stack:
        stack.enter_context(mutation())
        yield


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.__name__.strip("_"))
def test_checker_catches_a_seeded_defect(mutation: Callable[[], Any]) -> None:
    with _mutated(mutation):
        for seed, plan in product(MUTATION_SEEDS, (HARSH, SLOW_DISKS)):
            try:
                violations = JournalSimulation(seed, plan).run().check()
            except (AssertionError, KeyError, IndexError, AttributeError):
                return  # the defect crashed the simulation
            if violations:
                return
    pytest.fail("no seed showed the defect")


def test_late_messages_show_a_log_that_a_late_append_shortens() -> None:
    """The defect shows only if a message arrives after exchanges that followed it."""
    with patch.object(Replica, "_skip_known", lambda self, entries: list(entries)):
        violations = [JournalSimulation(seed, LATE_MESSAGES).run().check() for seed in (3006, 3017)]
    assert all(violations)


def test_simulation_reaches_snapshots_and_repair() -> None:
    """The simulation must reach the rare paths, or the runs above prove little."""
    seen: set[str] = set()
    original_snapshot = Shard._start_snapshot
    original_install = Shard._end_install

    def start_snapshot(self: Shard, target: str) -> None:
        seen.add("snapshot sent")
        original_snapshot(self, target)

    def end_install(self: Shard, chunk: Any) -> None:
        seen.add("snapshot installed")
        original_install(self, chunk)

    with (
        patch.object(Shard, "_start_snapshot", start_snapshot),
        patch.object(Shard, "_end_install", end_install),
    ):
        for seed in range(5):
            simulation = JournalSimulation(seed, HARSH)
            simulation.run()
            replicas = [m.shard.replica for m in simulation.machines if m.shard is not None]
            if any(len(r.replica_set.voters) == 3 and r.replica_set_index > 0 for r in replicas):
                seen.add("replica set changed")
    assert seen == {"snapshot sent", "snapshot installed", "replica set changed"}
    assert journal_simulation.MAX_LOG_ENTRIES < 100
