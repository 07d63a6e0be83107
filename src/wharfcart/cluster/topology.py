"""Topology core: regions of zones and distances between zones.

The settings map zones to regions. A zone without an entry, for example one added later, has no
known region: it counts as another region than every other zone, and data that must stay in a
region is not sent there.

Pure functions without I/O.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NewType

RegionName = NewType("RegionName", str)


class Distance(IntEnum):
    """Distance between two zones, nearest first."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


@dataclass(frozen=True)
class Topology:
    """Zones of a fleet and their regions.

    Attributes:
        region_by_zone: region of each zone; if empty, the whole fleet counts as one region.
    """

    region_by_zone: Mapping[str, RegionName] = field(default_factory=dict)

    def region(self, zone: str) -> RegionName | None:
        """Return the region of a zone; None if it is unknown."""
        return self.region_by_zone.get(zone)

    def distance(self, zone: str, other: str) -> Distance:
        """Return the distance between two zones."""
        if zone == other:
            return Distance.SAME_ZONE
        if not self.region_by_zone:
            return Distance.SAME_REGION
        region = self.region(zone)
        if region is not None and region == self.region(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
