"""Rules that exclude back ends for a request.

Every sender checks them: grants, local choices of a gateway, batch items, retries and resumed
streams. Each checks them when it selects a back end and again when it sends the request, since
connecting may take a while.

This module does no I/O.
"""

from enum import Enum

from wharfcart.cluster.topology import Topology
from wharfcart.configuration.instances import BackendInstance, SoftwareVersion
from wharfcart.configuration.residence import ANYWHERE, Residence


class ExclusionReason(Enum):
    """Why a back end is excluded for a request.

    Attributes:
        DRAINING: it accepts no new requests.
        EVACUATED: the operator has evacuated its zone.
        OUTSIDE_RESIDENCE: the request's data may not be processed in its region.
        OTHER_VERSION: it runs another software version than the one that began the answer.
        COLD: it is cold, and the permit to send to it has expired.
    """

    DRAINING = "leaving"
    EVACUATED = "evacuated"
    OUTSIDE_RESIDENCE = "outside_residence"
    OTHER_VERSION = "other_version"
    COLD = "cold"


class Eligibility:
    """Decides on one node which back ends are excluded.

    Args:
        topology: zones and regions of the fleet.

    Attributes:
        evacuated_zones: zones whose back ends receive no new requests.
    """

    def __init__(self, topology: Topology | None = None) -> None:
        self.topology = topology or Topology()
        self.evacuated_zones: frozenset[str] = frozenset()

    def exclusion_reason(
        self,
        instance: BackendInstance,
        residence: Residence = ANYWHERE,
        version: SoftwareVersion | None = None,
    ) -> ExclusionReason | None:
        """Return why a back end is excluded for a request, or None if it is eligible.

        Args:
            instance: the back end's entry in discovery.
            residence: residence of the request.
            version: software version that began its answer; None for a new answer.
        """
        if not instance.accepting:
            return ExclusionReason.DRAINING
        if instance.zone in self.evacuated_zones:
            return ExclusionReason.EVACUATED
        if not residence.allows(self.topology.region(instance.zone)):
            return ExclusionReason.OUTSIDE_RESIDENCE
        if version is not None and instance.version != version:
            return ExclusionReason.OTHER_VERSION
        return None
