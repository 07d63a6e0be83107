"""Eligibility core: whether a request may go to a back end, and what rules it out.

Whoever sends work to a back end asks here: grants, a gateway's own choice, items of batch jobs,
retries and resumed streams; once when the back end is chosen, and once more as the request leaves,
since a connection may have taken a while to come up.

Pure.
"""

from enum import Enum

from wharfcart.cluster.topology import Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import ANYWHERE, Residence


class ExclusionReason(Enum):
    """Why a request does not go to a back end.

    Attributes:
        LEAVING: it takes no new requests.
        EVACUATED: the operator asks that nothing goes to its zone.
        OUTSIDE_RESIDENCE: the request's data may not be in its region.
        COLD: it is cold, and the permit to send to it is old.
    """

    DRAINING = "leaving"
    EVACUATED = "evacuated"
    OUTSIDE_RESIDENCE = "outside_residence"
    COLD = "cold"


class Eligibility:
    """What rules back ends out on one node.

    Args:
        topology: the zones of the fleet.

    Attributes:
        evacuated_zones: zones whose back ends get nothing new.
    """

    def __init__(self, topology: Topology | None = None) -> None:
        self.topology = topology or Topology()
        self.evacuated_zones: frozenset[str] = frozenset()

    def exclusion_reason(
        self, instance: BackendInstance, residence: Residence = ANYWHERE
    ) -> ExclusionReason | None:
        """Return why a request does not go to a back end, or None if it may.

        Args:
            instance: the back end as discovery tells it.
            residence: of the request.
        """
        if not instance.accepting:
            return ExclusionReason.DRAINING
        if instance.zone in self.evacuated_zones:
            return ExclusionReason.EVACUATED
        if not residence.allows(self.topology.region(instance.zone)):
            return ExclusionReason.OUTSIDE_RESIDENCE
        return None
