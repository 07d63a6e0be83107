"""Random histories of a group's leaders: what one leader exposed, every later leader exposes."""

from collections import Counter
from collections.abc import Callable
from random import Random

import pytest

from wharfcart.cluster.messages_pb2 import ItemOutcome, RequestItem, RequestJob
from wharfcart.storage import job_leadership
from wharfcart.storage.job_database import JobDatabase
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.replicated_job import JobState, SubmissionId, job_from_update

GROUP = 0
WRITE_QUORUM = 2
JOBS = 4
ITEMS = 6
STEPS = 300


class LeaderHistory:
    """Disks of one group and all its leaders, some of which have been replaced unknowingly.

    Promises and updates reach any disk at any time; answers get lost. Each disk is a real database.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.disks = {name: JobDatabase(None, lambda name=name: name) for name in "abcde"}
        self.members = frozenset("abc")
        self.epoch = 0
        self.leaders: list[JobLeadership] = []
        self.exposed: dict[str, list[bytes]] = {}
        self.exposed_before_rewrite = 0
        self.set_changes = 0
        self.elect()

    def actions(self) -> list[tuple[Callable[[], None], float]]:
        """Return the steps of a history with their weights."""
        return [
            (self.elect, 1),
            (self.promise_late, 3),
            (self.write, 16),
            (self.catch_up, 1),
            (self.accept, 2),
            (self.append_result, 6),
            (self.end, 0.3),
            (self.begin_set_change, 1),
            (self.finish_set_change, 4),
        ]

    def run(self) -> None:
        steps, weights = zip(*self.actions(), strict=True)
        for action in self.random.choices(steps, weights, k=STEPS):
            action()
            self.check()

    def check(self) -> None:
        """Check the committed results of all leaders against what was exposed before."""
        for leader in self.leaders:
            for job_id in leader.jobs:
                if leader.committed_version(job_id) == 0:
                    continue
                texts = [outcome.text for outcome in leader.committed_results(job_id)]
                known = self.exposed.setdefault(job_id, [])
                common = min(len(known), len(texts))
                assert texts[:common] == known[:common], f"{job_id}: an exposed result changed"
                if len(texts) > common:
                    self.exposed[job_id] = texts

    def check_inherited(self, leader: JobLeadership) -> None:
        """Check that a new leader has all that was exposed."""
        for job_id, texts in self.exposed.items():
            assert job_id in leader.jobs, f"{job_id}: an exposed job was lost"
            inherited = [result.text for result in leader.jobs[job_id].results]
            assert inherited[: len(texts)] == texts, f"{job_id}: an exposed result was lost"

    # ---- leaders ----

    def elect(self) -> None:
        """Let a new leader take over with the promises of just enough replicas."""
        self.epoch += 1
        required = len(self.members) - WRITE_QUORUM + 1
        promising = self.random.sample(sorted(self.members), required)
        states = {}
        for name in promising:
            assert self.disks[name].promise_epoch(GROUP, self.epoch)
            states[name] = self.disks[name].job_states(GROUP)
        newest: dict[str, tuple[JobState, str]] = {}
        for name in promising:
            for state in states[name]:
                known = newest.get(state.job_id)
                if known is None or state.is_newer_than(known[0]):
                    newest[state.job_id] = (state, name)
        leader = JobLeadership(self.epoch, WRITE_QUORUM, self.members)
        leader.inherit(
            (
                job_from_update(update)
                for job_id, (state, name) in newest.items()
                if not state.is_deleted
                for update in self.disks[name].load_jobs([job_id])
            ),
            [state for state, _ in newest.values() if state.is_deleted],
        )
        self.check_inherited(leader)
        for name in promising:
            leader.add_replica(name, states[name])
        self.exposed_before_rewrite += sum(
            leader.committed_version(job_id) > 0 for job_id in leader.jobs
        )
        self.leaders = [*self.leaders[-2:], leader]

    def any_leader(self) -> JobLeadership:
        return self.random.choice(self.leaders)

    def any_disk(self, leader: JobLeadership) -> str:
        return self.random.choice(sorted(leader.members | (leader.target_members or frozenset())))

    def promise_late(self) -> None:
        leader = self.any_leader()
        name = self.any_disk(leader)
        if self.disks[name].promise_epoch(GROUP, leader.epoch):
            leader.add_replica(name, self.disks[name].job_states(GROUP))

    def write(self) -> None:
        """Write the next updates to a disk; a lost answer ends the session."""
        leader = self.any_leader()
        name = self.any_disk(leader)
        updates = leader.updates_for(name)
        if not self.disks[name].apply_updates(GROUP, leader.epoch, updates):
            return
        if self.random.random() < 0.2:
            leader.remove_replica(name)
        else:
            leader.record_written(name, updates)

    def catch_up(self) -> None:
        """Write everything to every disk that has not promised a later epoch."""
        leader = self.any_leader()
        for name in sorted(leader.members | (leader.target_members or frozenset())):
            if not self.disks[name].promise_epoch(GROUP, leader.epoch):
                continue
            leader.add_replica(name, self.disks[name].job_states(GROUP))
            while leader.is_behind(name):
                updates = leader.updates_for(name)
                assert self.disks[name].apply_updates(GROUP, leader.epoch, updates)
                leader.record_written(name, updates)

    # ---- callers ----

    def accept(self) -> None:
        job_id = f"job-{self.random.randrange(JOBS)}"
        items = [RequestItem(item_id=str(n)) for n in range(ITEMS)]
        self.any_leader().accept_job(RequestJob(job_id=job_id, items=items))

    def append_result(self) -> None:
        leader = self.any_leader()
        if leader.jobs:
            text = f"{leader.epoch}-{self.random.random()}".encode()
            item = str(self.random.randrange(ITEMS))
            outcome = ItemOutcome(item_id=item, succeeded=True, text=text)
            leader.append_result(self.random.choice(sorted(leader.jobs)), outcome)

    def end(self) -> None:
        leader = self.any_leader()
        if leader.jobs:
            leader.end_job(self.random.choice(sorted(leader.jobs)))

    # ---- the replica set ----

    def begin_set_change(self) -> None:
        leader = self.any_leader()
        if leader.target_members is None:
            leaving = self.random.choice(sorted(leader.members))
            joining = self.random.choice(sorted(self.disks.keys() - leader.members))
            leader.begin_set_change(leader.members - {leaving} | {joining})
        elif self.random.random() < 0.2:
            leader.begin_set_change(None)

    def finish_set_change(self) -> None:
        """Swap the members as the group's record does: only in the current epoch."""
        leader = self.any_leader()
        target = leader.target_members
        if target is None or leader.epoch != self.epoch or not leader.is_set_change_safe():
            return
        self.members = target
        leader.finish_set_change(target)
        for name in self.disks.keys() - target:
            leader.remove_replica(name)
        self.set_changes += 1


class ResubmissionHistory(LeaderHistory):
    """Leaders also delete jobs, whose ids are then submitted again."""

    def __init__(self, seed: int) -> None:
        self.exposed_by_submission: dict[tuple[str, SubmissionId], list[bytes]] = {}
        self.deleted: set[tuple[str, SubmissionId]] = set()
        self.resubmitted: set[tuple[str, SubmissionId]] = set()
        super().__init__(seed)

    def actions(self) -> list[tuple[Callable[[], None], float]]:
        return [*super().actions(), (self.delete, 1)]

    def delete(self) -> None:
        leader = self.leaders[-1]
        committed = [job_id for job_id in sorted(leader.jobs) if leader.committed_version(job_id)]
        if committed:
            leader.delete_job(self.random.choice(committed))

    def check(self) -> None:
        """Check each submission by itself, and that deleted ones stay deleted."""
        self.record_deletions()
        for leader in self.leaders:
            for job_id, record in leader.jobs.items():
                if leader.committed_version(job_id) == 0:
                    continue
                key = (job_id, record.submission)
                if leader is self.leaders[-1]:
                    assert key not in self.deleted, f"{job_id}: a deleted job came back"
                if any(deleted_id == job_id for deleted_id, _ in self.deleted):
                    self.resubmitted.add(key)
                texts = [outcome.text for outcome in leader.committed_results(job_id)]
                known = self.exposed_by_submission.setdefault(key, [])
                common = min(len(known), len(texts))
                assert texts[:common] == known[:common], f"{job_id}: an exposed result changed"
                if len(texts) > common:
                    self.exposed_by_submission[key] = texts

    def record_deletions(self) -> None:
        """Note the deletions that a quorum of the set has on disk in the current epoch."""
        counts = Counter(
            (state.job_id, state.submission)
            for name in self.members
            for state in self.disks[name].job_states(GROUP)
            if state.is_deleted and state.epoch == self.epoch
        )
        self.deleted |= {key for key, count in counts.items() if count >= WRITE_QUORUM}

    def check_inherited(self, leader: JobLeadership) -> None:
        """Check that a new leader has what was exposed and not deleted, and nothing deleted."""
        for job_id, record in leader.jobs.items():
            key = (job_id, record.submission)
            assert key not in self.deleted, f"{job_id}: a deleted job came back"
            texts = self.exposed_by_submission.get(key, [])
            inherited = [result.text for result in record.results]
            assert inherited[: len(texts)] == texts, f"{job_id}: an exposed result was lost"


@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_exposed_jobs_and_results_stay_under_every_later_leader(
    first_seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against exposing an inherited state that a later leader does not inherit."""
    monkeypatch.setattr(job_leadership, "MAX_CHANGED_JOBS_PER_MESSAGE", 1)
    monkeypatch.setattr(job_leadership, "MAX_BACKLOG_JOBS_PER_MESSAGE", 1)
    exposed_before_rewrite = set_changes = 0
    for seed in range(first_seed, first_seed + 50):
        history = LeaderHistory(seed)
        history.run()
        exposed_before_rewrite += history.exposed_before_rewrite
        set_changes += history.set_changes
    assert exposed_before_rewrite > 20
    assert set_changes > 20


@pytest.mark.parametrize("first_seed", range(0, 200, 50))
def test_a_deleted_job_stays_deleted_and_leaves_the_next_submission_alone(
    first_seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a deleted job whose items run again, and its results in the next one."""
    monkeypatch.setattr(job_leadership, "MAX_CHANGED_JOBS_PER_MESSAGE", 1)
    monkeypatch.setattr(job_leadership, "MAX_BACKLOG_JOBS_PER_MESSAGE", 1)
    deletions = resubmissions = 0
    for seed in range(first_seed, first_seed + 50):
        history = ResubmissionHistory(seed)
        history.run()
        deletions += len(history.deleted)
        resubmissions += len(history.resubmitted)
    assert deletions > 50
    assert resubmissions > 20
