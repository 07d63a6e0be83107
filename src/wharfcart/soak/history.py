"""What callers of a soak saw, as plain records that the promises are judged by."""

from dataclasses import dataclass, field
from enum import Enum


class RequestKind(Enum):
    """Kinds of requests; the value is the route's path."""

    REPEATABLE = "look"
    AT_MOST_ONCE = "charge"
    STREAM = "chat"
    RESUMABLE = "read"


@dataclass
class RequestRecord:
    """One request of a caller.

    Attributes:
        status: of the whole answer; None if the connection ended without one.
        sent_at, ended_at: seconds of the soak.
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
    """One batch job as its caller knows it.

    Attributes:
        statuses: answers to its submissions; None for a broken connection.
        accepted_at: time of the first 202.
        results: position to (item id, state, text), as first read.
        conflicts: reads that differed from the first.
        missing: times at which a node denied the job after it was accepted.
        ended_at: time at which its end was acknowledged.
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

    def record_result(self, position: int, result: tuple[str, str, str], source: str) -> None:
        """Take one result that was read at a position."""
        known = self.results.setdefault(position, result)
        if known != result:
            self.conflicts.append(f"position {position}: {known[:2]}, then {result[:2]} {source}")

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.results) == self.item_count


@dataclass
class RouteRecord:
    """One route that was added during the soak, and what each life of a gateway answered."""

    path: str
    added_at: float
    regressed_processes: list[str] = field(default_factory=list)
    serving_processes: set[str] = field(default_factory=set)


@dataclass
class EvacuationRecord:
    """One order of the operator that nothing new goes to the servers of a zone.

    Attributes:
        since: monotonic time at which it was acknowledged.
        until: monotonic time at which it was taken back; None while it stands.
    """

    zone: str
    started_at: float
    ended_at: float | None = None


@dataclass
class SoakHistory:
    """All that callers saw.

    Attributes:
        began_at: monotonic time of the soak's second 0.
    """

    started_at: float = 0.0
    requests: list[RequestRecord] = field(default_factory=list)
    jobs_by_id: dict[str, JobRecord] = field(default_factory=dict)
    routes: list[RouteRecord] = field(default_factory=list)
