"""Leadership core: the state of a job group's leader in one epoch.

The group's record in the coordination service names, by compare-and-swap, one leader an epoch and
the set of replicas. Viewstamped replication's rules hold the rest:

* A write counts once *copies* replicas of the set have it on disk in this epoch
  (copies = losses to be borne + 1).
* A new leader first has every replica that it reaches promise its epoch and tell what it holds;
  with all but ``copies - 1`` of the set it knows everything that ever counted. Of each job it takes
  the state with the highest epoch, then length.
* Before it shows a state it has it written in its own epoch: a state of an older epoch that happens
  to be on enough disks may yet lose against one of a newer epoch that is not reached now.
* While the set changes, a write needs enough copies in the old set and in the new one.

Pure: no sockets, clock, files.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import ItemOutcome, JobUpdate, RequestJob
from wharfcart.configuration.residence import Residence
from wharfcart.storage.replicated_job import JobState, ReplicatedJob

MAX_UPDATE_BYTES = 1024 * 1024
MAX_UPDATES_PER_MESSAGE = 64


@dataclass
class ReplicaProgress:
    """What one replica is known to hold.

    Parameters
    ----------
    base: job to the version up to which the replica's history is a prefix of the leader's.
    written: job to the version that the replica wrote in this epoch; only this counts.
    forget: jobs that the replica must drop.
    lacking: jobs of which it has not written everything, the longest waiting first.
    """

    matched_versions: dict[str, int] = field(default_factory=dict)
    written_versions: dict[str, int] = field(default_factory=dict)
    jobs_to_delete: set[str] = field(default_factory=set)
    incomplete_jobs: dict[str, None] = field(default_factory=dict)


@dataclass
class JobLeadership:
    """Jobs of a group and how far each replica has them.

    Parameters
    ----------
    copies: replicas that must have a write before it counts.
    members: identities of the replica set in force.
    target: identities of the set that is being changed to, or None.
    """

    epoch: int
    write_quorum: int
    members: frozenset[str]
    target_members: frozenset[str] | None = None
    jobs: dict[str, ReplicatedJob] = field(default_factory=dict)
    _inherited_states: dict[str, JobState] = field(default_factory=dict)
    _replicas: dict[str, ReplicaProgress] = field(default_factory=dict)
    _committed_versions: dict[str, int] = field(default_factory=dict)
    _job_count_by_residence: Counter[Residence] = field(default_factory=Counter)  # jobs of each

    # ---- taking over ----

    @property
    def required_promises(self) -> int:
        """Replicas of the set that must tell what they hold before the leader knows everything."""
        return len(self.members) - self.write_quorum + 1

    def inherit(self, records: Iterable[ReplicatedJob]) -> None:
        """Begin with the newest state of each job that any of the replicas asked holds."""
        for record in records:
            job_id = record.job.job_id
            self._inherited_states[job_id] = JobState(job_id, record.epoch, record.version)
            record.epoch = self.epoch
            self.jobs[job_id] = record
            self._job_count_by_residence[record.residence] += 1

    # ---- replicas ----

    def add_replica(self, identity: str, states: Iterable[JobState]) -> None:
        """Note what a replica holds that has just promised this epoch."""
        progress = ReplicaProgress()
        self._replicas[identity] = progress
        for state in states:
            record = self.jobs.get(state.job_id)
            if record is None:
                # Never counted, or forgotten since: it must not come back under a later leader.
                progress.jobs_to_delete.add(state.job_id)
            elif state.epoch == self.epoch:
                progress.matched_versions[state.job_id] = progress.written_versions[
                    state.job_id
                ] = state.version
            else:
                progress.matched_versions[state.job_id] = self._common_prefix_version(state)
        for job_id, record in self.jobs.items():
            if progress.written_versions.get(job_id, 0) < record.version:
                progress.incomplete_jobs[job_id] = None
        self._advance_all_commits()

    def remove_replica(self, identity: str) -> None:
        """Forget a replica's progress: its connection ended, or it is another disk now."""
        self._replicas.pop(identity, None)

    def updates_for(self, identity: str) -> list[JobUpdate]:
        """Return a bounded part of what a replica lacks."""
        progress = self._replicas.get(identity)
        if progress is None:
            return []
        updates = [JobUpdate(job_id=job_id, forgotten=True) for job_id in progress.jobs_to_delete]
        size = 0
        for job_id in progress.incomplete_jobs:
            update = self.jobs[job_id].update_since(progress.matched_versions.get(job_id, 0))
            updates.append(update)
            size += update.ByteSize()
            if size > MAX_UPDATE_BYTES or len(updates) >= MAX_UPDATES_PER_MESSAGE:
                break
        return updates

    def record_written(self, identity: str, updates: Iterable[JobUpdate]) -> list[str]:
        """Note updates on a replica's disk; return the jobs of which more counts now."""
        progress = self._replicas.get(identity)
        if progress is None:
            return []
        changed = []
        for update in updates:
            if update.forgotten:
                progress.jobs_to_delete.discard(update.job_id)
                continue
            version = 1 + update.from_result + len(update.results) + int(update.ended)
            progress.matched_versions[update.job_id] = progress.written_versions[update.job_id] = (
                version
            )
            record = self.jobs.get(update.job_id)
            if record is None or version >= record.version:
                progress.incomplete_jobs.pop(update.job_id, None)
            if self._advance_commit(update.job_id):
                changed.append(update.job_id)
        return changed

    def is_behind(self, identity: str) -> bool:
        """Whether a replica lacks anything."""
        progress = self._replicas.get(identity)
        if progress is None:
            return True
        return bool(progress.incomplete_jobs)

    # ---- the replica set ----

    def begin_set_change(self, target_members: frozenset[str] | None) -> None:
        """From now on writes need enough copies in this set, too."""
        self.target_members = target_members

    def is_set_change_safe(self) -> bool:
        """Whether the set may change to the target: everything has enough copies in it."""
        if self.target_members is None:
            return False
        return all(
            self._replicated_version(job_id, self.target_members) >= record.version
            for job_id, record in self.jobs.items()
        )

    def finish_set_change(self, members: frozenset[str]) -> None:
        """The group's record names another set now."""
        self.members = members
        self.target_members = None
        self._advance_all_commits()

    # ---- jobs ----

    @property
    def residences(self) -> frozenset[Residence]:
        """Where the data of the jobs may be, those included that are kept after their end."""
        return frozenset(self._job_count_by_residence)

    def accept_job(self, job: RequestJob) -> ReplicatedJob:
        """Take a job; the same id is the same job."""
        known = self.jobs.get(job.job_id)
        if known is not None:
            return known
        record = ReplicatedJob(job, self.epoch)
        self.jobs[job.job_id] = record
        self._job_count_by_residence[record.residence] += 1
        self._mark_changed(job.job_id)
        return record

    def append_result(self, job_id: str, outcome: ItemOutcome) -> bool:
        """Add a result; False if the job takes none any more or has one of that item."""
        record = self.jobs.get(job_id)
        if record is None or not record.append_result(outcome):
            return False
        self._mark_changed(job_id)
        return True

    def end_job(self, job_id: str) -> ReplicatedJob | None:
        """End a job on its caller's word; None if there is no such job."""
        record = self.jobs.get(job_id)
        if record is not None:
            record.end()
            self._mark_changed(job_id)
        return record

    def delete_job(self, job_id: str) -> None:
        """Drop a job that has been kept long enough, here and on every replica."""
        record = self.jobs.pop(job_id, None)
        if record is None:
            return
        self._job_count_by_residence[record.residence] -= 1
        if not self._job_count_by_residence[record.residence]:
            del self._job_count_by_residence[record.residence]
        self._committed_versions.pop(job_id, None)
        self._inherited_states.pop(job_id, None)
        for progress in self._replicas.values():
            progress.jobs_to_delete.add(job_id)
            progress.matched_versions.pop(job_id, None)
            progress.written_versions.pop(job_id, None)
            progress.incomplete_jobs.pop(job_id, None)

    def committed_version(self, job_id: str) -> int:
        """Return the version of a job that has enough copies; 0 for none."""
        return self._committed_versions.get(job_id, 0)

    def committed_results(self, job_id: str, after: int = 0) -> list[ItemOutcome]:
        """Return the results that may be shown, from a position on."""
        record = self.jobs[job_id]
        return record.results[after : max(after, self.committed_version(job_id) - 1)]

    # ---- inner ----

    def _mark_changed(self, job_id: str) -> None:
        for progress in self._replicas.values():
            progress.incomplete_jobs[job_id] = None

    def _common_prefix_version(self, state: JobState) -> int:
        inherited = self._inherited_states.get(state.job_id)
        if inherited is None or inherited.epoch != state.epoch:
            return 0
        return min(inherited.version, state.version)

    def _replicated_version(self, job_id: str, replicas: frozenset[str]) -> int:
        """Return the newest version that enough of some replicas have written; 0 for none."""
        written = sorted(
            (
                progress.written_versions.get(job_id, 0)
                for identity in replicas
                if (progress := self._replicas.get(identity)) is not None
            ),
            reverse=True,
        )
        return written[self.write_quorum - 1] if len(written) >= self.write_quorum else 0

    def _advance_commit(self, job_id: str) -> bool:
        """Count what has enough copies now; whether that is more than before."""
        record = self.jobs.get(job_id)
        if record is None:
            return False
        version = self._replicated_version(job_id, self.members)
        if self.target_members is not None:
            version = min(version, self._replicated_version(job_id, self.target_members))
        version = min(version, record.version)
        if version <= self._committed_versions.get(job_id, 0):
            return False
        self._committed_versions[job_id] = version
        return True

    def _advance_all_commits(self) -> None:
        for job_id in self.jobs:
            self._advance_commit(job_id)
