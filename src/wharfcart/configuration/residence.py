"""Data residence: the regions in which a request's data may be processed, cached and stored."""

from collections.abc import Iterable
from dataclasses import dataclass

from wharfcart.cluster import messages_pb2 as pb
from wharfcart.cluster.topology import RegionName


@dataclass(frozen=True, slots=True)
class Residence:
    """Regions that are allowed for the data of a route, a tenant or both.

    Attributes:
        regions: allowed regions; None allows any region.
    """

    regions: frozenset[RegionName] | None = None

    @property
    def is_restricted(self) -> bool:
        """Whether the data is limited to certain regions."""
        return self.regions is not None

    def allows(self, region: RegionName | None) -> bool:
        """Whether the data may be in a region; None stands for an unknown region."""
        return self.regions is None or region in self.regions

    def intersect(self, other: "Residence") -> "Residence":
        """Return the residence of the regions that both allow."""
        if self.regions is None:
            return other
        if other.regions is None:
            return self
        return Residence(self.regions & other.regions)


ANYWHERE = Residence()


def residence_in(names: Iterable[str] | None) -> Residence:
    """Return the residence of the named regions; no names allow any region."""
    regions = frozenset(RegionName(name) for name in names or ())
    return Residence(regions) if regions else ANYWHERE


def residence_to_message(residence: Residence) -> pb.Residence | None:
    """Encode a residence; None if any region is allowed."""
    if residence.regions is None:
        return None
    return pb.Residence(regions=sorted(residence.regions))


def residence_from_message(
    message: pb.SlotRequest | pb.RequestJob | pb.WaitingItems | pb.ItemOffer,
) -> Residence:
    """Decode the residence field of a message; an absent field allows any region."""
    if not message.HasField("residence"):
        return ANYWHERE
    return Residence(frozenset(RegionName(name) for name in message.residence.regions))
