"""Job moves core: whether jobs of a route and tenant went to other groups a while ago.

A gateway sees the configuration and the groups change. For some time after the groups that may hold
such jobs have become others, a submission may be one that was sent before the change, and taken.

Pure: time is handed in as seconds.
"""

from dataclasses import dataclass, field

# Who does not learn what became of a submission sends it again for so long, with a margin.
RESUBMIT_WINDOW_S = 120.0

# Name of a route, and of a tenant or ''.
JobSource = tuple[str, str]


@dataclass
class _SeenGroups:
    """Groups that may hold the jobs of one source.

    Attributes:
        changed_at: when they became these; None if they never were others here.
    """

    groups: tuple[int, ...]
    changed_at: float | None = None


@dataclass
class JobMoveTracker:
    """What one gateway has seen of the groups that jobs go to."""

    _seen_by_source: dict[JobSource, _SeenGroups] = field(default_factory=dict)

    def has_moved_recently(self, source: JobSource, groups: tuple[int, ...], now: float) -> bool:
        """Note the groups that may hold the jobs of a source; whether they were others of late."""
        seen = self._seen_by_source.setdefault(source, _SeenGroups(groups))
        if seen.groups != groups:
            seen.groups = groups
            seen.changed_at = now
        return seen.changed_at is not None and now - seen.changed_at < RESUBMIT_WINDOW_S
