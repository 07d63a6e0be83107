"""Reach core: which regions a gateway gets no connection to, so that it need not try in vain.

A request that is bound to a region goes nowhere else. While the region is cut off it would spend
the time of several connects before it is refused; it is refused at once instead, but for one
request now and then that tries again.

Pure: time is handed in as seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from wharfcart.cluster.topology import RegionName

# So many back ends of a region in a row without any that was reached: it is not these that failed.
MIN_CONSECUTIVE_FAILURES = 3
# One request tries again so often. A region that is back is noticed sooner by its granting nodes,
# whose sessions open without any request; this is for regions where nobody grants.
PROBE_PERIOD_S = 1.0


@dataclass
class _RegionState:
    """What is known of the way to one region.

    Attributes:
        failed: back ends that were not reached since one was.
        probe_at: when a request may try again.
    """

    failed_instances: set[str] = field(default_factory=set)
    probe_at: float = 0.0


@dataclass
class RegionReachability:
    """The regions as one gateway reaches them."""

    _regions: dict[RegionName, _RegionState] = field(default_factory=dict)

    def record_success(self, region: RegionName | None) -> None:
        """Note that a back end of a region answered."""
        if region is not None:
            self._regions.pop(region, None)

    def record_failure(self, region: RegionName | None, instance_id: str, now: float) -> None:
        """Note that no connection to a back end of a region was made."""
        if region is None:
            return
        known = self._regions.setdefault(region, _RegionState())
        known.failed_instances.add(instance_id)
        known.probe_at = now + PROBE_PERIOD_S

    def are_unreachable(self, regions: Collection[RegionName], now: float) -> bool:
        """Whether none of some regions is reached; one call now and then is told otherwise."""
        known = [self._regions.get(region) for region in regions]
        lost = [
            one
            for one in known
            if one is not None and len(one.failed_instances) >= MIN_CONSECUTIVE_FAILURES
        ]
        if not lost or len(lost) < len(known):
            return False
        due = next((one for one in lost if now >= one.probe_at), None)
        if due is None:
            return True
        due.probe_at = now + PROBE_PERIOD_S
        return False
