"""Reachability of regions from one gateway.

A request bound to a region can't go elsewhere. While the region is unreachable, each such request
would wait for several connect timeouts. Instead, the gateway refuses it at once and lets one
request per interval probe the region.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from wharfcart.cluster.topology import RegionName

# Different back ends that fail to connect in a row before their region counts as unreachable.
MIN_CONSECUTIVE_FAILURES = 3
# Interval of probes by one request each. Sessions with granting nodes detect a restored region
# sooner; this covers regions without granting nodes.
PROBE_INTERVAL_S = 1.0


@dataclass
class _RegionState:
    """Reachability of one region.

    Attributes:
        failed_instances: instances that failed to connect since the last success.
        probe_at: time in seconds from which the next request may probe the region.
    """

    failed_instances: set[str] = field(default_factory=set)
    probe_at: float = 0.0


@dataclass
class RegionReachability:
    """Tracks which regions one gateway can reach."""

    _regions: dict[RegionName, _RegionState] = field(default_factory=dict)

    def record_success(self, region: RegionName | None) -> None:
        """Record that a back end in a region answered."""
        if region is not None:
            self._regions.pop(region, None)

    def record_failure(self, region: RegionName | None, instance_id: str, now: float) -> None:
        """Record that connecting to a back end in a region failed."""
        if region is None:
            return
        state = self._regions.setdefault(region, _RegionState())
        state.failed_instances.add(instance_id)
        state.probe_at = now + PROBE_INTERVAL_S

    def are_unreachable(self, regions: Collection[RegionName], now: float) -> bool:
        """Whether all of the regions are unreachable; False once per interval, for a probe."""
        states = [self._regions.get(region) for region in regions]
        unreachable = [
            state
            for state in states
            if state is not None and len(state.failed_instances) >= MIN_CONSECUTIVE_FAILURES
        ]
        if not unreachable or len(unreachable) < len(states):
            return False
        due = next((state for state in unreachable if now >= state.probe_at), None)
        if due is None:
            return True
        due.probe_at = now + PROBE_INTERVAL_S
        return False
