"""Jobs of requests, as a replica holds them.

A job is its specification, an append-only list of results, and an end. Its state is named by the
epoch of the leader that last wrote it and by its length: two replicas with the same epoch and
length hold the same, and of two lengths of one epoch the shorter is a prefix of the longer, since
an epoch has one leader.
"""

from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import ItemOutcome, JobUpdate, RequestJob


@dataclass
class JobRecord:
    """One job.

    Parameters
    ----------
    epoch: of the leader that last wrote it.
    ended: the caller ended it; nothing is appended any more.
    """

    job: RequestJob
    epoch: int
    results: list[ItemOutcome] = field(default_factory=list)
    ended: bool = False

    @property
    def version(self) -> int:
        """Length of its history: the acceptance, each result, the end."""
        return 1 + len(self.results) + int(self.ended)

    @property
    def complete(self) -> bool:
        """Whether every item has its result."""
        return len(self.results) >= len(self.job.items)

    def tokens_of(self, item_id: str) -> int:
        """Return the tokens of one of its items."""
        return next((item.tokens for item in self.job.items if item.item_id == item_id), 0)

    def waiting_tokens(self) -> int:
        """Return the tokens of the items without a result; 0 once it has ended."""
        if self.ended:
            return 0
        done = {result.item_id for result in self.results}
        return sum(item.tokens for item in self.job.items if item.item_id not in done)

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


def record_from(update: JobUpdate) -> JobRecord:
    """Build a record from an update that holds the whole of it."""
    return JobRecord(update.job, update.epoch, list(update.results), update.ended)
