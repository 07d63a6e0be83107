"""Records of what callers of a soak observed; input of :mod:`.invariants`."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from wharfcart.emulator.stream_events import StreamEvent


class RequestKind(Enum):
    """Kinds of requests; the value is the first segment of the route's path."""

    REPEATABLE = "look"
    AT_MOST_ONCE = "charge"
    STREAM = "chat"
    RESUMABLE = "read"


@dataclass
class RequestRecord:
    """One request of a caller.

    Attributes:
        gateway: index of the gateway that received it.
        sent_at: send time, in seconds since the start of the load.
        finished_at: time of the response or failure, in seconds since the start of the load.
        status: HTTP status of a complete response; None if the caller received none.
        body: body of the response.
    """

    request_id: str
    kind: RequestKind
    gateway: int
    sent_at: float
    finished_at: float = 0.0
    status: int | None = None
    body: bytes = b""


@dataclass
class JobRecord:
    """One batch job as its caller knows it; times are in seconds since the start of the load.

    Attributes:
        item_count: number of items.
        submission_statuses: HTTP status of each submission; None for a failed connection.
        accepted_at: time of the first 202.
        results: (item id, state, text) by position, as first read.
        conflicts: descriptions of reads that differ from the first.
        denied_at: times at which a node answered that the accepted job does not exist.
        cancelled_at: time at which the cancellation was acknowledged.
        is_readable_at_end: whether every gateway served the job after the last fault.
        is_slow: whether its items run slowly.
    """

    job_id: str
    item_count: int
    submission_statuses: list[int | None] = field(default_factory=list)
    accepted_at: float | None = None
    results: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    conflicts: list[str] = field(default_factory=list)
    denied_at: list[float] = field(default_factory=list)
    cancelled_at: float | None = None
    is_readable_at_end: bool = False
    is_slow: bool = False

    def record_page(
        self,
        after: int,
        results: Sequence[tuple[str, str, str]],
        count_before: int,
        source: str,
    ) -> None:
        """Record a page of results, or conflicts with what was read before.

        Args:
            after: position of the first result.
            results: the results.
            count_before: number of results that were known when the page was requested.
            source: where the page was read.
        """
        for offset, result in enumerate(results):
            self.record_result(after + offset, result, source)
        end = after + len(results)
        if end < count_before:
            self.conflicts.append(f"{count_before} results were read before, then {end} {source}")

    def record_result(self, position: int, result: tuple[str, str, str], source: str) -> None:
        """Record the result read at a position, or a conflict if it changed."""
        first = self.results.setdefault(position, result)
        if first != result:
            self.conflicts.append(f"position {position}: {_difference(first, result)} {source}")

    @property
    def is_complete(self) -> bool:
        """Return whether every item has a result."""
        return len(self.results) == self.item_count


def _difference(first: tuple[str, str, str], result: tuple[str, str, str]) -> str:
    """Describe how a result differs from the one that was read first."""
    if first[:2] != result[:2]:
        return f"{first[:2]}, then {result[:2]}"
    lines = zip(first[2].split("\n"), result[2].split("\n"), strict=False)
    changed = next((pair for pair in lines if pair[0] != pair[1]), ("", ""))
    return f"{first[:2]}: {changed[0]!r}, then {changed[1]!r}"


@dataclass
class StreamTry:
    """One request of a stream that its caller resumes.

    Attributes:
        request_id: id of the request.
        status: HTTP status; None if the caller received none.
        events: events that the caller received.
        counts: whether two servers of the stream's version served when the request was sent.
    """

    request_id: str
    status: int | None = None
    events: list[StreamEvent] = field(default_factory=list)
    counts: bool = True


@dataclass
class ResumedStream:
    """A stream that its caller left and resumed, possibly several times.

    Attributes:
        tries: its requests, the first of which began it.
    """

    tries: list[StreamTry] = field(default_factory=list)

    @property
    def events(self) -> list[StreamEvent]:
        """Events of all tries, in order."""
        return [event for stream_try in self.tries for event in stream_try.events]


@dataclass
class RouteRecord:
    """One route that was added during the soak.

    Attributes:
        added_at: seconds since the start of the load.
        regressed_processes: gateway processes that answered 404 after they had served the route.
        serving_processes: gateway processes that have served the route.
    """

    path: str
    added_at: float
    regressed_processes: list[str] = field(default_factory=list)
    serving_processes: set[str] = field(default_factory=set)


@dataclass
class EvacuationRecord:
    """One evacuation of a zone by the operator.

    Attributes:
        started_at: monotonic time at which it was acknowledged.
        ended_at: monotonic time at which it was withdrawn; None while it is in force.
    """

    zone: str
    started_at: float
    ended_at: float | None = None


@dataclass
class SoakHistory:
    """Everything that callers recorded in one run.

    Attributes:
        started_at: monotonic time of the start of the load.
    """

    started_at: float = 0.0
    requests: list[RequestRecord] = field(default_factory=list)
    resumed_streams: list[ResumedStream] = field(default_factory=list)
    jobs_by_id: dict[str, JobRecord] = field(default_factory=dict)
    routes: list[RouteRecord] = field(default_factory=list)
