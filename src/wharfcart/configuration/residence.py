"""Residence: the regions in which a request's data may be served, cached and stored."""

from collections.abc import Iterable
from dataclasses import dataclass

from wharfcart.cluster import messages_pb2 as pb
from wharfcart.cluster.topology import RegionName


@dataclass(frozen=True, slots=True)
class Residence:
    """Where the data of a route, a tenant or both may be.

    Attributes:
        regions: the regions; None for any.
    """

    regions: frozenset[RegionName] | None = None

    @property
    def is_restricted(self) -> bool:
        """Whether there is any region that the data may not be in."""
        return self.regions is not None

    def allows(self, region: RegionName | None) -> bool:
        """Whether the data may be in a region; None stands for one that is not known."""
        return self.regions is None or region in self.regions

    def intersect(self, other: "Residence") -> "Residence":
        """Return what both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return Residence(self.regions & other.regions)


ANYWHERE = Residence()


def residence_in(names: Iterable[str] | None) -> Residence:
    """Return a residence in regions by their names; no names allow any region."""
    regions = frozenset(RegionName(name) for name in names or ())
    return Residence(regions) if regions else ANYWHERE


def residence_to_message(residence: Residence) -> pb.Residence | None:
    """Write a residence; None stands for anywhere."""
    if residence.regions is None:
        return None
    return pb.Residence(regions=sorted(residence.regions))


def residence_from_message(
    message: pb.SlotRequest | pb.RequestJob | pb.WaitingItems | pb.ItemOffer,
) -> Residence:
    """Read the residence that a message bears, if any."""
    if not message.HasField("residence"):
        return ANYWHERE
    return Residence(frozenset(RegionName(name) for name in message.residence.regions))
