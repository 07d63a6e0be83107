"""Leadership core: the state of a job group's leader in one epoch.

The group's record in the coordination service names one leader per epoch and the replica set; it
changes by compare-and-swap. Replication follows Viewstamped Replication:

* A write is committed once *write_quorum* replicas of the set have it on disk in this epoch
  (write_quorum = tolerated failures + 1).
* A new leader first obtains promises of its epoch, along with the state of every job, from all but
  ``write_quorum - 1`` replicas. Together these know every committed write. For each job the leader
  takes the state with the highest epoch, then of the latest submission, then the greatest length.
* A state that *write_quorum* replicas of the set report with the same older epoch was committed in
  that epoch: every leader since obtained a promise from one of them, and so inherited the state.
  The leader exposes it at once. Any other state may still lose to a state of a newer epoch on an
  unreachable replica; the leader first replicates it in its own epoch.
* During a change of the set a write needs a quorum in the old set and in the new one.
* A job id that is submitted again after its deletion is another submission: what a replica reports
  of an earlier one does not count, and the replica receives the job whole.
* A deletion is remembered on the disks until every replica of the set, present or away, has it on
  disk. Otherwise a leader could inherit the copy of a replica that missed the deletion.

Pure: no sockets, clock, files.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import chain, islice

from wharfcart.cluster.messages_pb2 import (
    CONFIRMED,
    DISCARD,
    REMEMBER,
    Deletion,
    ItemOutcome,
    JobUpdate,
    RequestJob,
)
from wharfcart.configuration.residence import Residence
from wharfcart.storage.replicated_job import (
    JobState,
    ReplicatedJob,
    submission_id,
    version_after,
)

MAX_UPDATE_BYTES = 1024 * 1024
MAX_CHANGED_JOBS_PER_MESSAGE = 64
# After a takeover the updates of most jobs contain nothing but the new epoch.
MAX_BACKLOG_JOBS_PER_MESSAGE = 512


@dataclass
class ReplicaProgress:
    """State of one replica as far as the leader knows it.

    Attributes:
        matched_versions: version up to which the replica's history matches the leader's, by job.
        written_versions: version that the replica wrote in this epoch, by job.
        base_epochs: epoch of the replica's state, by job, unless it was written in this epoch.
        inherited_versions: version that the replica reported with its promise, by job, if it has
            the epoch of the state that the leader inherited.
        jobs_to_delete: newest state to delete, by job that the replica must delete.
        confirmed_deletions: deletions whose record the replica may drop, by job.
        changed_jobs: jobs that have changed since the promise and that the replica has not
            completely written, longest waiting first.
        backlog_jobs: all other jobs that the replica has not completely written in this epoch.
    """

    matched_versions: dict[str, int] = field(default_factory=dict)
    written_versions: dict[str, int] = field(default_factory=dict)
    base_epochs: dict[str, int] = field(default_factory=dict)
    inherited_versions: dict[str, int] = field(default_factory=dict)
    jobs_to_delete: dict[str, JobState] = field(default_factory=dict)
    confirmed_deletions: dict[str, JobState] = field(default_factory=dict)
    changed_jobs: dict[str, None] = field(default_factory=dict)
    backlog_jobs: dict[str, None] = field(default_factory=dict)


@dataclass
class PendingDeletion:
    """A deletion that some replica may not have on disk.

    Attributes:
        state: the deletion.
        written_by: replicas that have it on disk in this epoch.
    """

    state: JobState
    written_by: set[str] = field(default_factory=set)


@dataclass
class JobLeadership:
    """Jobs of a group and the progress of each replica.

    Attributes:
        epoch: epoch of this leadership.
        write_quorum: replicas that must have a write on disk before it is committed.
        members: identities of the current replica set.
        target_members: identities of the next replica set during a change, else None.
        jobs: jobs by id.
    """

    epoch: int
    write_quorum: int
    members: frozenset[str]
    target_members: frozenset[str] | None = None
    jobs: dict[str, ReplicatedJob] = field(default_factory=dict)
    _inherited_states: dict[str, JobState] = field(default_factory=dict)
    # Inherited jobs whose inherited state is not known to be committed.
    _undecided_jobs: dict[str, None] = field(default_factory=dict)
    _inherited_members: frozenset[str] = field(init=False)
    _replicas: dict[str, ReplicaProgress] = field(default_factory=dict)
    _committed_versions: dict[str, int] = field(default_factory=dict)
    _job_count_by_residence: Counter[Residence] = field(default_factory=Counter)
    _submission_count: int = 0
    _pending_deletions: dict[str, PendingDeletion] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._inherited_members = self.members

    # ---- taking over ----

    @property
    def required_promises(self) -> int:
        """Replicas of the set that must promise before the leader knows every committed write."""
        return len(self.members) - self.write_quorum + 1

    def inherit(self, records: Iterable[ReplicatedJob], deletions: Iterable[JobState] = ()) -> None:
        """Start with the newest state of each job among the replicas that promised.

        Args:
            records: jobs in their newest state.
            deletions: newest states that are deletions.
        """
        for deletion in deletions:
            self._remember_deletion(deletion)
        for record in records:
            job_id = record.job.job_id
            self._inherited_states[job_id] = record.state
            self._undecided_jobs[job_id] = None
            record.epoch = self.epoch
            self.jobs[job_id] = record
            self._job_count_by_residence[record.residence] += 1

    # ---- replicas ----

    def add_replica(self, identity: str, states: Iterable[JobState]) -> None:
        """Add a replica that promised this epoch, with the states of its jobs."""
        progress = ReplicaProgress()
        self._replicas[identity] = progress
        progress.jobs_to_delete = {
            job_id: pending.state for job_id, pending in self._pending_deletions.items()
        }
        for state in states:
            if state.is_deleted:
                self._record_held_deletion(identity, state)
            elif state.job_id in self.jobs:
                self._record_held(progress, state)
            elif state.job_id not in self._pending_deletions:
                # Never committed, or deleted since: a later leader must not restore it.
                progress.jobs_to_delete[state.job_id] = state
        progress.inherited_versions = {
            job_id: version
            for job_id, version in progress.matched_versions.items()
            if job_id not in progress.written_versions
        }
        for job_id, record in self.jobs.items():
            written = progress.written_versions.get(job_id)
            if written is None or written < record.version:
                progress.backlog_jobs[job_id] = None
        self._advance_all_commits()

    def remove_replica(self, identity: str) -> None:
        """Remove a replica's progress after its connection closed or its disk was replaced."""
        self._replicas.pop(identity, None)

    def record_mismatches(self, identity: str, states: Iterable[JobState]) -> None:
        """Record what a replica holds of jobs whose updates it refused."""
        progress = self._replicas.get(identity)
        if progress is None:
            return
        for state in states:
            if state.job_id not in self.jobs:
                continue
            progress.written_versions.pop(state.job_id, None)
            progress.inherited_versions.pop(state.job_id, None)
            self._record_held(progress, state)
            if state.job_id not in progress.changed_jobs:
                progress.backlog_jobs[state.job_id] = None

    def updates_for(self, identity: str) -> list[JobUpdate]:
        """Return the next updates for a replica, bounded in size and number."""
        progress = self._replicas.get(identity)
        if progress is None:
            return []
        updates = [_deletion_update(state) for _, state in sorted(progress.jobs_to_delete.items())]
        updates += [
            _confirmation_update(state) for _, state in sorted(progress.confirmed_deletions.items())
        ]
        size = 0
        for job_id in self._next_jobs(progress):
            update = self.jobs[job_id].update_since(
                progress.matched_versions.get(job_id, 0),
                progress.base_epochs.get(job_id, self.epoch),
            )
            updates.append(update)
            size += update.ByteSize()
            if size > MAX_UPDATE_BYTES:
                break
        return updates

    def _next_jobs(self, progress: ReplicaProgress) -> Iterator[str]:
        """Return the jobs to update next at a replica.

        Changed jobs come first, so that callers' writes don't wait until a replica has caught up.
        Of the backlog, jobs that can't be read yet come first.
        """
        yield from islice(progress.changed_jobs, MAX_CHANGED_JOBS_PER_MESSAGE)
        if not progress.backlog_jobs:
            return
        undecided = (job_id for job_id in self._undecided_jobs if job_id in progress.backlog_jobs)
        decided = (job_id for job_id in progress.backlog_jobs if job_id not in self._undecided_jobs)
        yield from islice(chain(undecided, decided), MAX_BACKLOG_JOBS_PER_MESSAGE)

    def record_written(self, identity: str, updates: Iterable[JobUpdate]) -> list[str]:
        """Record updates as written by a replica; return the jobs whose committed version grew.

        Updates that the replica refused are not among them.
        """
        progress = self._replicas.get(identity)
        if progress is None:
            return []
        changed = []
        for update in updates:
            job_id = update.job_id
            if update.forgotten:
                self._record_deletion_written(identity, progress, update)
                continue
            record = self.jobs.get(job_id)
            version = version_after(update)
            if record is None or record.submission != update.submission:
                continue  # the job was deleted meanwhile, or deleted and submitted again
            progress.matched_versions[job_id] = version
            progress.written_versions[job_id] = version
            progress.base_epochs.pop(job_id, None)
            if version == record.version:
                progress.changed_jobs.pop(job_id, None)
                progress.backlog_jobs.pop(job_id, None)
            if self._advance_commit(job_id):
                changed.append(job_id)
        return changed

    def is_behind(self, identity: str) -> bool:
        """Whether a replica has not written everything."""
        progress = self._replicas.get(identity)
        if progress is None:
            return True
        return bool(progress.changed_jobs or progress.backlog_jobs)

    def is_nearly_caught_up(self, identity: str) -> bool:
        """Whether one message brings a replica up to date.

        While jobs change all the time, a replica always lacks what was written during the last
        round trip.
        """
        progress = self._replicas.get(identity)
        if progress is None or progress.backlog_jobs:
            return False
        return len(progress.changed_jobs) <= MAX_CHANGED_JOBS_PER_MESSAGE

    # ---- the replica set ----

    def begin_set_change(self, target_members: frozenset[str] | None) -> None:
        """Require a quorum in this set as well from now on; None cancels the change."""
        self.target_members = target_members
        self._finish_written_deletions()

    def is_set_change_safe(self) -> bool:
        """Whether a quorum of the target set has every state that a caller may have read.

        These are the committed states and the inherited ones. Anything newer is committed only
        once quorums of both sets have it.
        """
        target = self.target_members
        if target is None or not self._are_deletions_safe(target):
            return False
        return all(
            self._replicated_version(job_id, target) >= self._readable_version(job_id)
            for job_id in self.jobs
        )

    def finish_set_change(self, members: frozenset[str]) -> None:
        """Apply the replica set that the group's record now names."""
        self.members = members
        self.target_members = None
        self._advance_all_commits()
        self._finish_written_deletions()

    # ---- jobs ----

    @property
    def undecided_count(self) -> int:
        """Number of inherited jobs whose inherited state is not known to be committed."""
        return len(self._undecided_jobs)

    @property
    def deletion_count(self) -> int:
        """Number of deletions that some replica may not have on disk."""
        return len(self._pending_deletions)

    @property
    def residences(self) -> frozenset[Residence]:
        """Residences of all jobs, including finished jobs that are still retained."""
        return frozenset(self._job_count_by_residence)

    def accept_job(self, job: RequestJob) -> ReplicatedJob:
        """Accept a job; return the known job if one has the same id."""
        known = self.jobs.get(job.job_id)
        if known is not None:
            return known
        self._submission_count += 1
        submission = submission_id(self.epoch, self._submission_count)
        record = ReplicatedJob(job, self.epoch, submission=submission)
        self.jobs[job.job_id] = record
        self._forget_deletion(job.job_id)
        self._job_count_by_residence[record.residence] += 1
        self._mark_changed(job.job_id)
        return record

    def append_result(self, job_id: str, outcome: ItemOutcome) -> bool:
        """Append a result; return False if the job is unknown or ended or has the result."""
        record = self.jobs.get(job_id)
        if record is None or not record.append_result(outcome):
            return False
        self._mark_changed(job_id)
        return True

    def end_job(self, job_id: str) -> ReplicatedJob | None:
        """End a job at its caller's request; return None if there is no such job."""
        record = self.jobs.get(job_id)
        if record is not None:
            record.end()
            self._mark_changed(job_id)
        return record

    def delete_job(self, job_id: str) -> None:
        """Delete a job whose retention is over, here and on every replica."""
        record = self.jobs.pop(job_id, None)
        if record is None:
            return
        self._job_count_by_residence[record.residence] -= 1
        if not self._job_count_by_residence[record.residence]:
            del self._job_count_by_residence[record.residence]
        self._committed_versions.pop(job_id, None)
        self._inherited_states.pop(job_id, None)
        self._undecided_jobs.pop(job_id, None)
        self._remember_deletion(record.state)
        for progress in self._replicas.values():
            progress.matched_versions.pop(job_id, None)
            progress.written_versions.pop(job_id, None)
            progress.base_epochs.pop(job_id, None)
            progress.inherited_versions.pop(job_id, None)
            progress.changed_jobs.pop(job_id, None)
            progress.backlog_jobs.pop(job_id, None)

    def finished_jobs(self) -> Iterator[ReplicatedJob]:
        """Yield the jobs whose last result or end is committed."""
        for job_id, record in self.jobs.items():
            if record.is_finished and self.committed_version(job_id) == record.version:
                yield record

    def committed_version(self, job_id: str) -> int:
        """Return the committed version of a job; 0 for none."""
        return self._committed_versions.get(job_id, 0)

    def committed_results(self, job_id: str, after: int = 0) -> list[ItemOutcome]:
        """Return the committed results from a position on."""
        record = self.jobs[job_id]
        return record.results[after : max(after, self.committed_version(job_id) - 1)]

    # ---- inner ----

    def _mark_changed(self, job_id: str) -> None:
        for progress in self._replicas.values():
            progress.backlog_jobs.pop(job_id, None)
            progress.changed_jobs[job_id] = None

    def _remember_deletion(self, state: JobState) -> None:
        """Have all replicas write a deletion in this epoch."""
        deletion = state._replace(epoch=self.epoch, is_deleted=True)
        self._pending_deletions[state.job_id] = PendingDeletion(deletion)
        for progress in self._replicas.values():
            progress.jobs_to_delete[state.job_id] = deletion
            progress.confirmed_deletions.pop(state.job_id, None)

    def _forget_deletion(self, job_id: str) -> None:
        """Drop a deletion whose job was submitted again; the new copies replace its records."""
        self._pending_deletions.pop(job_id, None)
        for progress in self._replicas.values():
            progress.confirmed_deletions.pop(job_id, None)

    def _record_held_deletion(self, identity: str, state: JobState) -> None:
        """Record a deletion that a replica remembers."""
        if state.job_id in self.jobs:
            return  # not committed, or the job was submitted again: the replica receives it whole
        pending = self._pending_deletions.get(state.job_id)
        if pending is None:
            self._remember_deletion(state)
        elif (state.epoch, state.submission) == (pending.state.epoch, pending.state.submission):
            self._replicas[identity].jobs_to_delete.pop(state.job_id, None)
            pending.written_by.add(identity)
            self._finish_deletion_if_written(state.job_id)

    def _record_deletion_written(
        self, identity: str, progress: ReplicaProgress, update: JobUpdate
    ) -> None:
        job_id = update.job_id
        confirmed = progress.confirmed_deletions.get(job_id)
        if confirmed is not None and _confirmation_update(confirmed) == update:
            del progress.confirmed_deletions[job_id]
        state = progress.jobs_to_delete.get(job_id)
        if state is None or _deletion_update(state) != update:
            return  # another deletion of the id is to be written since
        del progress.jobs_to_delete[job_id]
        pending = self._pending_deletions.get(job_id)
        if pending is not None and pending.state == state:
            pending.written_by.add(identity)
            self._finish_deletion_if_written(job_id)

    def _finish_written_deletions(self) -> None:
        for job_id in list(self._pending_deletions):
            self._finish_deletion_if_written(job_id)

    def _finish_deletion_if_written(self, job_id: str) -> None:
        """Let the replicas drop a deletion once every replica of the set has it on disk."""
        pending = self._pending_deletions[job_id]
        required = self.members | (self.target_members or frozenset())
        if not required <= pending.written_by:
            return
        del self._pending_deletions[job_id]
        for progress in self._replicas.values():
            progress.confirmed_deletions[job_id] = pending.state

    def _are_deletions_safe(self, target: frozenset[str]) -> bool:
        """Whether every leader of a target set inherits each deletion.

        A quorum of the set has them on disk, and no replica that joins it holds a deleted job.
        """
        for identity in target - self.members:
            progress = self._replicas.get(identity)
            if progress is None or progress.jobs_to_delete:
                return False
        return all(
            len(pending.written_by & target) >= self.write_quorum
            for pending in self._pending_deletions.values()
        )

    def _record_held(self, progress: ReplicaProgress, state: JobState) -> None:
        """Record the state of a job on a replica."""
        job_id, epoch, version, submission, _ = state
        if submission != self.jobs[job_id].submission:
            progress.matched_versions[job_id] = 0
            progress.base_epochs[job_id] = epoch
            return
        if epoch == self.epoch:
            progress.matched_versions[job_id] = version
            progress.written_versions[job_id] = version
            progress.base_epochs.pop(job_id, None)
            return
        inherited = self._inherited_states.get(job_id)
        if inherited is None or inherited.epoch != epoch:
            progress.matched_versions[job_id] = 0
        else:
            progress.matched_versions[job_id] = min(inherited.version, version)
        progress.base_epochs[job_id] = epoch

    def _replicated_version(self, job_id: str, replicas: frozenset[str]) -> int:
        """Return the newest version that a quorum of some replicas has written; 0 for none."""
        return self._quorum_version(
            progress.written_versions.get(job_id, 0)
            for identity, progress in self._replicas.items()
            if identity in replicas
        )

    def _readable_version(self, job_id: str) -> int:
        """Return the version up to which this or an earlier leader may have exposed a job."""
        inherited = self._inherited_states.get(job_id)
        inherited_version = 0 if inherited is None else inherited.version
        return max(inherited_version, self.committed_version(job_id))

    def _decided_version(self, job_id: str) -> int:
        """Return the version that was committed in the epoch of the inherited state; 0 for none.

        Versions written in this epoch don't count here: a quorum of both kinds may still lose to
        an epoch between them.
        """
        return self._quorum_version(
            progress.inherited_versions.get(job_id, 0)
            for identity, progress in self._replicas.items()
            if identity in self._inherited_members
        )

    def _quorum_version(self, versions: Iterable[int]) -> int:
        """Return the greatest version that a write quorum has reached; 0 for none."""
        ordered = sorted(versions, reverse=True)
        return ordered[self.write_quorum - 1] if len(ordered) >= self.write_quorum else 0

    def _advance_commit(self, job_id: str) -> bool:
        """Advance a job's committed version; return whether it grew."""
        record = self.jobs.get(job_id)
        if record is None:
            return False
        version = self._replicated_version(job_id, self.members)
        if self.target_members is not None:
            version = min(version, self._replicated_version(job_id, self.target_members))
        if job_id in self._undecided_jobs:
            version = max(version, self._decided_version(job_id))
        version = min(version, record.version)
        if version <= self._committed_versions.get(job_id, 0):
            return False
        if job_id in self._undecided_jobs:
            if version < self._inherited_states[job_id].version:
                # An earlier leader may have exposed more, with a replica that did not promise.
                return False
            del self._undecided_jobs[job_id]
        self._committed_versions[job_id] = version
        return True

    def _advance_all_commits(self) -> None:
        if len(self._replicas) < self.write_quorum:
            return
        for job_id in self.jobs:
            self._advance_commit(job_id)


def _deletion_update(state: JobState) -> JobUpdate:
    """Return the update that deletes a copy, or has the deletion of its job remembered."""
    return _update_that_forgets(state, REMEMBER if state.is_deleted else DISCARD)


def _confirmation_update(state: JobState) -> JobUpdate:
    """Return the update that drops the record of a deletion."""
    return _update_that_forgets(state, CONFIRMED)


def _update_that_forgets(state: JobState, deletion: Deletion) -> JobUpdate:
    return JobUpdate(
        job_id=state.job_id,
        forgotten=True,
        base_epoch=state.epoch,
        submission=state.submission,
        deletion=deletion,
    )
