"""Jobs of requests, as a replica holds them.

A job is its specification, an append-only list of results, and an end. Its state is named by the
epoch of the leader that last wrote it and by its length: two replicas with the same epoch and
length hold the same, and of two lengths of one epoch the shorter is a prefix of the longer, since
an epoch has one leader.
"""

from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import ItemOutcome, JobUpdate, RequestJob
from wharfcart.configuration.residence import Residence, residence_from_message


@dataclass
class ReplicatedJob:
    """One job. Its results and its end are changed through its methods alone.

    Parameters
    ----------
    epoch: of the leader that last wrote it.
    ended: the caller ended it; nothing is appended any more.
    waiting_tokens: of the items without a result; 0 once it has ended.
    residence: where its data may be, as it was settled when it was taken.
    """

    job: RequestJob
    epoch: int
    results: list[ItemOutcome] = field(default_factory=list)
    ended: bool = False
    waiting_tokens: int = field(init=False)
    residence: Residence = field(init=False)
    _pending_tokens_by_item: dict[str, int] = field(init=False, repr=False)  # by item

    def __post_init__(self) -> None:
        self.residence = residence_from_message(self.job)
        self._pending_tokens_by_item = {item.item_id: item.tokens for item in self.job.items}
        for result in self.results:
            self._pending_tokens_by_item.pop(result.item_id, None)
        waiting = 0 if self.ended else sum(self._pending_tokens_by_item.values())
        self.waiting_tokens = waiting

    @property
    def version(self) -> int:
        """Length of its history: the acceptance, each result, the end."""
        return 1 + len(self.results) + int(self.ended)

    @property
    def is_complete(self) -> bool:
        """Whether every item has its result."""
        return len(self.results) >= len(self.job.items)

    def append_result(self, outcome: ItemOutcome) -> bool:
        """Add a result; False if the job has ended or has one of that item."""
        if self.ended or outcome.item_id not in self._pending_tokens_by_item:
            return False
        self.results.append(outcome)
        self.waiting_tokens -= self._pending_tokens_by_item.pop(outcome.item_id)
        return True

    def end(self) -> None:
        """End the job: it takes no result any more."""
        self.ended = True
        self.waiting_tokens = 0

    def update_since(self, version: int) -> JobUpdate:
        """Return what a replica lacks that holds this history up to a version; 0 means nothing."""
        first = min(max(0, version - 1), len(self.results))
        return JobUpdate(
            job_id=self.job.job_id,
            epoch=self.epoch,
            job=self.job if version == 0 else None,
            from_result=first,
            results=self.results[first:],
            ended=self.ended,
        )


@dataclass(frozen=True, slots=True)
class JobState:
    """Name of a job's state on one replica."""

    job_id: str
    epoch: int
    version: int


def job_from_update(update: JobUpdate) -> ReplicatedJob:
    """Build a record from an update that holds the whole of it."""
    return ReplicatedJob(update.job, update.epoch, list(update.results), update.ended)
