"""A job of requests as a replica holds it.

A job consists of its specification, an append-only list of results, and an end marker. The epoch of
the leader that last wrote the job and the length of its history identify a state: each epoch has
one leader, so two replicas with the same epoch and length hold the same history, and of two lengths
in one epoch the shorter is a prefix of the longer.

A job id may be submitted again after its job was deleted. The leader that accepts a job therefore
gives the submission an identity, and states of different submissions are different histories.
"""

from dataclasses import dataclass, field
from typing import NamedTuple, NewType

from wharfcart.cluster.messages_pb2 import ItemOutcome, JobUpdate, RequestJob
from wharfcart.configuration.residence import Residence, residence_from_message

# No leader has this epoch; a replica that lacks a job reports it with this epoch.
NO_EPOCH = 0

# Identity of a submission in its group; a later submission has a higher one.
SubmissionId = NewType("SubmissionId", int)
# Jobs that were accepted by builds without identities of submissions.
NO_SUBMISSION = SubmissionId(0)
_SUBMISSION_NUMBER_BITS = 32


def submission_id(epoch: int, number: int) -> SubmissionId:
    """Return the identity of a submission.

    Args:
        epoch: epoch of the leader that accepted it.
        number: number of the submission in that epoch, from 1.
    """
    return SubmissionId(epoch << _SUBMISSION_NUMBER_BITS | number)


@dataclass
class ReplicatedJob:
    """One job; results and end change only through its methods.

    Attributes:
        job: specification of the job.
        epoch: epoch of the leader that last wrote the job.
        results: results of items, in the order of their arrival.
        ended: whether the caller ended the job; an ended job accepts no results.
        submission: identity of the job's submission.
        waiting_tokens: tokens of the items without a result; 0 once the job has ended.
        residence: regions that may hold the job's data, fixed at its submission.
    """

    job: RequestJob
    epoch: int
    results: list[ItemOutcome] = field(default_factory=list)
    ended: bool = False
    submission: SubmissionId = NO_SUBMISSION
    waiting_tokens: int = field(init=False)
    residence: Residence = field(init=False)
    _pending_tokens_by_item: dict[str, int] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        self.residence = residence_from_message(self.job)
        self._pending_tokens_by_item = {item.item_id: item.tokens for item in self.job.items}
        for result in self.results:
            self._pending_tokens_by_item.pop(result.item_id, None)
        waiting = 0 if self.ended else sum(self._pending_tokens_by_item.values())
        self.waiting_tokens = waiting

    @property
    def version(self) -> int:
        """Length of the history: the acceptance, each result and the end count one each."""
        return 1 + len(self.results) + self.ended

    @property
    def state(self) -> "JobState":
        """Identity of the history so far."""
        return JobState(self.job.job_id, self.epoch, self.version, self.submission)

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.results) >= len(self.job.items)

    @property
    def is_finished(self) -> bool:
        """Whether no item of the job runs any more."""
        return self.ended or self.is_complete

    def append_result(self, outcome: ItemOutcome) -> bool:
        """Append a result; return False if the job has ended or the item already has a result."""
        if self.ended or outcome.item_id not in self._pending_tokens_by_item:
            return False
        self.results.append(outcome)
        self.waiting_tokens -= self._pending_tokens_by_item.pop(outcome.item_id)
        return True

    def end(self) -> None:
        """End the job; it accepts no further results."""
        self.ended = True
        self.waiting_tokens = 0

    def update_since(self, version: int, base_epoch: int) -> JobUpdate:
        """Return the part of the history after a version; 0 returns all of it.

        Args:
            version: version of the state to extend.
            base_epoch: epoch of that state on the replica.
        """
        first = min(max(0, version - 1), len(self.results))
        return JobUpdate(
            job_id=self.job.job_id,
            epoch=self.epoch,
            job=self.job if version == 0 else None,
            from_result=first,
            results=self.results[first:],
            ended=self.ended,
            base_epoch=base_epoch if version else NO_EPOCH,
            submission=self.submission,
        )


class JobState(NamedTuple):
    """Epoch, version and submission of a job's state on one replica.

    Attributes:
        job_id: id of the job.
        epoch: epoch of the leader that last wrote or deleted the job.
        version: length of its history.
        submission: identity of its submission.
        is_deleted: whether the replica has deleted the job and keeps a record of that.
    """

    job_id: str
    epoch: int
    version: int
    submission: SubmissionId = NO_SUBMISSION
    is_deleted: bool = False

    def is_newer_than(self, other: "JobState") -> bool:
        """Whether this state of a job replaces another one at a takeover.

        Within an epoch a deletion follows all states of its submission, and a later submission
        follows the deletion. States of builds that name no submission are compared without it.
        """
        if self.epoch != other.epoch:
            return self.epoch > other.epoch
        are_named = NO_SUBMISSION not in (self.submission, other.submission)
        if are_named and self.submission != other.submission:
            return self.submission > other.submission
        return (self.is_deleted, self.version) > (other.is_deleted, other.version)


def version_of(results: int, ended: bool) -> int:
    """Return the length of a history with some results and possibly an end."""
    return 1 + results + ended


def version_after(update: JobUpdate) -> int:
    """Return the version that a replica has once it wrote an update."""
    return version_of(update.from_result + len(update.results), update.ended)


def job_from_update(update: JobUpdate) -> ReplicatedJob:
    """Build a job from an update with its complete history."""
    return ReplicatedJob(
        update.job,
        update.epoch,
        list(update.results),
        update.ended,
        SubmissionId(update.submission),
    )
