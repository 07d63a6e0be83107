"""Topology core: which region a zone is in, and how far two zones are from each other.

Settings name the zones of the fleet with their regions. A zone that they do not name, as one that a
back end was started in later, is in no known region: it is far from all others, and nothing that
must stay in a region goes there.

Pure.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NewType

RegionName = NewType("RegionName", str)


class Distance(IntEnum):
    """How far two zones are from each other, the least first."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True)
class Topology:
    """The zones of a fleet.

    Attributes:
        region_by_zone: region of each zone; empty for a fleet of which no regions are known, which
            counts as one region.
    """

    region_by_zone: Mapping[str, RegionName] = field(default_factory=dict)

    def region(self, zone: str) -> RegionName | None:
        """Return a zone's region, or None where it is not known."""
        return self.region_by_zone.get(zone)

    def distance(self, zone: str, other: str) -> Distance:
        """Return how far two zones are from each other."""
        if zone == other:
            return Distance.SAME_ZONE
        if not self.region_by_zone:
            return Distance.SAME_REGION
        region = self.region(zone)
        if region is not None and region == self.region(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
