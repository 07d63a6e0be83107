"""Job move tracker core: whether jobs of a route and tenant recently moved to other groups.

The groups that may hold such jobs change with the configuration and the replica sets. For some time
after a change, a submission may be a retry of one that a former group has already accepted.

This module does no I/O; callers pass in the time in seconds.
"""

from dataclasses import dataclass, field

# Clients retry a submission with unknown outcome for less than this time.
RESUBMIT_WINDOW_S = 120.0

# Name of a route and name of a tenant, or '' without a tenant.
JobSource = tuple[str, str]


@dataclass
class _SeenGroups:
    """Groups that may hold the jobs of one source.

    Attributes:
        groups: numbers of the groups.
        changed_at: time of the last change in seconds; None if there was none.
    """

    groups: tuple[int, ...]
    changed_at: float | None = None


@dataclass
class JobMoveTracker:
    """Tracks the groups that jobs of each source go to, as one gateway sees them."""

    _seen_by_source: dict[JobSource, _SeenGroups] = field(default_factory=dict)

    def has_moved_recently(self, source: JobSource, groups: tuple[int, ...], now: float) -> bool:
        """Record the groups that may hold a source's jobs; return whether they changed recently."""
        seen = self._seen_by_source.setdefault(source, _SeenGroups(groups))
        if seen.groups != groups:
            seen.groups = groups
            seen.changed_at = now
        return seen.changed_at is not None and now - seen.changed_at < RESUBMIT_WINDOW_S
