"""Scheduling core: which items of which jobs run next, earliest deadline first.

Pure: time is handed in as seconds.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from wharfcart.batch.item_run import ItemProgress
from wharfcart.cluster.messages_pb2 import RequestItem, RequestJob
from wharfcart.storage.partial_texts import PartialTexts


@dataclass
class ScheduledJob:
    """A job whose items are not all done.

    Parameters
    ----------
    due_at, give_up_at: monotonic times.
    waiting: items that are not running and have no result, by id, the next one first.
    """

    job: RequestJob
    due_at: float
    give_up_at: float
    waiting: OrderedDict[str, RequestItem]
    partial_texts: PartialTexts
    progress: dict[str, ItemProgress] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)

    def progress_of(self, item_id: str) -> ItemProgress:
        """Return what is known of an item."""
        known = self.progress.get(item_id)
        if known is None:
            known = ItemProgress(self.partial_texts.of(self.job.job_id, item_id))
            self.progress[item_id] = known
        return known


@dataclass
class JobScheduler:
    """All open jobs of one leader."""

    partial_texts: PartialTexts
    jobs: dict[str, ScheduledJob] = field(default_factory=dict)

    def add(self, job: RequestJob, finished_item_ids: set[str], accepted_at: float) -> ScheduledJob:
        """Take a job; ``done`` names the items that have their result.

        Items that ran under an earlier leader come first, those with the most events in front.
        """
        waiting = [item for item in job.items if item.item_id not in finished_item_ids]
        waiting.sort(key=lambda item: self.partial_texts.events(item.item_id), reverse=True)
        scheduled = ScheduledJob(
            job,
            accepted_at + job.objective_s,
            accepted_at + job.give_up_after_s,
            OrderedDict((item.item_id, item) for item in waiting),
            self.partial_texts,
        )
        self.jobs[job.job_id] = scheduled
        return scheduled

    def remove(self, job_id: str) -> ScheduledJob | None:
        """Drop a job that has ended."""
        return self.jobs.pop(job_id, None)

    def jobs_with_waiting_items(self) -> list[ScheduledJob]:
        """Return the jobs with items that wait."""
        return [job for job in self.jobs.values() if job.waiting]

    def by_due_time(
        self, jobs: list[ScheduledJob], can_meet_objective: Callable[[ScheduledJob], bool]
    ) -> list[ScheduledJob]:
        """Return jobs with items that wait, the one due first at the front.

        Jobs that can't be done in time come last: what they lose is lost, others must not follow.

        Args:
            jobs: that are put in order.
            can_meet_objective: whether the next item of a job may still be done in time.
        """
        return sorted(jobs, key=lambda job: (not can_meet_objective(job), job.due_at))

    def startable_items(self, scheduled: ScheduledJob, now: float) -> Iterator[RequestItem]:
        """Yield the items of a job that may be sent now, the first one first."""
        for item in scheduled.waiting.values():
            if scheduled.progress_of(item.item_id).not_before <= now:
                yield item

    def start_item(self, scheduled: ScheduledJob, item: RequestItem) -> None:
        """Take an item off the queue, to run it."""
        del scheduled.waiting[item.item_id]
        scheduled.running.add(item.item_id)

    def requeue(self, scheduled: ScheduledJob, item: RequestItem) -> None:
        """Queue an item again, before those that were not begun."""
        scheduled.running.discard(item.item_id)
        scheduled.waiting[item.item_id] = item
        scheduled.waiting.move_to_end(item.item_id, last=False)

    @property
    def open_items(self) -> int:
        """Items without a result."""
        return sum(len(job.waiting) + len(job.running) for job in self.jobs.values())
