"""Scheduling core: orders jobs and their items, earliest due time first.

This module does no I/O; callers pass in the time in seconds.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from wharfcart.batch.item_run import ItemProgress
from wharfcart.cluster.messages_pb2 import RequestItem, RequestJob
from wharfcart.storage.partial_texts import ItemKey, PartialTexts
from wharfcart.storage.replicated_job import NO_SUBMISSION, SubmissionId


@dataclass
class ScheduledJob:
    """A job with unfinished items.

    Attributes:
        job: the job.
        submission: identity of the job's submission.
        due_at: monotonic time at which the completion objective ends.
        give_up_at: monotonic time after which unfinished items are given up.
        waiting: items by id that neither run nor have a result, in the order of their start.
        partial_texts: partial texts of the group's items.
        added_at: monotonic time at which this leader got the job.
        progress: progress of items that have no result, by item id.
        running: ids of the items that run.
    """

    job: RequestJob
    submission: SubmissionId
    due_at: float
    give_up_at: float
    waiting: OrderedDict[str, RequestItem]
    partial_texts: PartialTexts
    added_at: float = 0.0
    progress: dict[str, ItemProgress] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)

    def key_of(self, item_id: str) -> ItemKey:
        """Return the key of an item."""
        return ItemKey(self.job.job_id, item_id, self.submission)

    def progress_of(self, item_id: str) -> ItemProgress:
        """Return the progress of an item."""
        known = self.progress.get(item_id)
        if known is None:
            text = self.partial_texts.get_or_create(*self.key_of(item_id))
            known = self.progress[item_id] = ItemProgress(text)
        return known


@dataclass
class JobScheduler:
    """All open jobs of one leader."""

    partial_texts: PartialTexts
    jobs: dict[str, ScheduledJob] = field(default_factory=dict)

    def add(
        self,
        job: RequestJob,
        finished_item_ids: set[str],
        accepted_at: float,
        submission: SubmissionId = NO_SUBMISSION,
        added_at: float = 0.0,
    ) -> ScheduledJob:
        """Add a job and return it.

        Items with partial texts of an earlier leader come first, the most advanced one in front.

        Args:
            job: the job.
            finished_item_ids: items that already have a result.
            accepted_at: monotonic time of acceptance.
            submission: identity of the job's submission.
            added_at: monotonic time at which this leader got the job.
        """
        waiting = [item for item in job.items if item.item_id not in finished_item_ids]
        waiting.sort(
            key=lambda item: self.partial_texts.event_count(job.job_id, item.item_id, submission),
            reverse=True,
        )
        scheduled = ScheduledJob(
            job,
            submission,
            accepted_at + job.objective_s,
            accepted_at + job.give_up_after_s,
            OrderedDict((item.item_id, item) for item in waiting),
            self.partial_texts,
            added_at,
        )
        self.jobs[job.job_id] = scheduled
        return scheduled

    def remove(self, job_id: str) -> ScheduledJob | None:
        """Remove a completed or cancelled job; return it, or None if it is unknown."""
        return self.jobs.pop(job_id, None)

    def is_scheduled(self, scheduled: ScheduledJob) -> bool:
        """Whether a job is still scheduled, and not another submission of its id."""
        return self.jobs.get(scheduled.job.job_id) is scheduled

    def jobs_with_waiting_items(self) -> list[ScheduledJob]:
        """Return the jobs that have waiting items."""
        return [job for job in self.jobs.values() if job.waiting]

    def by_due_time(
        self, jobs: list[ScheduledJob], can_meet_objective: Callable[[ScheduledJob], bool]
    ) -> list[ScheduledJob]:
        """Return jobs sorted by due time.

        Jobs that can no longer meet their objective come last, so that they don't make other jobs
        miss theirs.

        Args:
            jobs: jobs to sort.
            can_meet_objective: whether the next item of a job can still finish in time.
        """
        return sorted(jobs, key=lambda job: (not can_meet_objective(job), job.due_at))

    def start_item(self, scheduled: ScheduledJob, item: RequestItem) -> None:
        """Move an item from the queue to the running ones."""
        del scheduled.waiting[item.item_id]
        scheduled.running.add(item.item_id)

    def requeue(self, scheduled: ScheduledJob, item: RequestItem) -> None:
        """Put a running item back at the front of the queue."""
        scheduled.running.discard(item.item_id)
        scheduled.waiting[item.item_id] = item
        scheduled.waiting.move_to_end(item.item_id, last=False)

    @property
    def open_items(self) -> int:
        """Number of items without a result."""
        return sum(len(job.waiting) + len(job.running) for job in self.jobs.values())
