"""Retention core: decides when finished jobs are deleted.

The time counts from the moment at which the leader finds a job finished and committed, on a clock
that neither a suspension of the machine nor a change of the time of day cuts short. A new leader
counts it anew: a job stays readable for longer, never for less.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wharfcart.storage.replicated_job import ReplicatedJob, SubmissionId


class _Submission(NamedTuple):
    job_id: str
    submission: SubmissionId


@dataclass
class JobRetention:
    """Finished jobs of one leadership.

    Attributes:
        keep_s: time for which a finished job stays readable.
    """

    keep_s: float
    _finished_at: dict[_Submission, float] = field(default_factory=dict)

    def expired_jobs(
        self, finished_jobs: Iterable[ReplicatedJob], now: float
    ) -> list[ReplicatedJob]:
        """Return the jobs to delete, the one that finished first in front.

        Args:
            finished_jobs: all jobs whose last result or end is committed.
            now: time of a clock that never goes back.
        """
        finished_at: dict[_Submission, float] = {}
        expired: list[tuple[float, ReplicatedJob]] = []
        for record in finished_jobs:
            key = _Submission(record.job.job_id, record.submission)
            since = finished_at[key] = self._finished_at.get(key, now)
            if now - since > self.keep_s:
                expired.append((since, record))
        self._finished_at = finished_at
        expired.sort(key=lambda found: found[0])
        return [record for _, record in expired]
