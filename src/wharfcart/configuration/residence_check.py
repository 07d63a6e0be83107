"""Finds regions that the serving configuration names but the fleet does not have."""

from collections.abc import Iterator

from wharfcart.cluster.topology import Topology
from wharfcart.configuration.residence import Residence
from wharfcart.configuration.serving import ServingConfiguration
from wharfcart.errors import Finding

FINDING_SOURCE = "serving configuration"


def unknown_region_findings(
    configuration: ServingConfiguration, topology: Topology
) -> list[Finding]:
    """Return a finding for each region of a route or tenant that has no zone in the fleet.

    Args:
        configuration: the new configuration.
        topology: zones of the fleet with their regions.
    """
    known = set(topology.region_by_zone.values())
    findings = []
    for place, residence in _residences_by_place(configuration):
        for region in sorted((residence.regions or frozenset()) - known):
            reason = f"no zone of the fleet is in region {region!r}"
            findings.append(Finding(FINDING_SOURCE, place, reason))
    return findings


def _residences_by_place(configuration: ServingConfiguration) -> Iterator[tuple[str, Residence]]:
    for route in configuration.routes:
        yield f"routes.{route.name}.residence", route.residence
    if configuration.tenants is not None:
        for tenant in configuration.tenants.by_name.values():
            yield f"tenants.{tenant.name}.residence", tenant.residence
