"""What rules a back end out for a request."""

from dataclasses import replace

from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import residence_in
from wharfcart.routing.eligibility import Eligibility, ExclusionReason

INSTANCE = BackendInstance("i", "s", "127.0.0.1", 1, "w1", 8, True)


def eligibility() -> Eligibility:
    return Eligibility(Topology({"w1": RegionName("west"), "e1": RegionName("east")}))


def test_draining_back_end_is_excluded() -> None:
    leaving = replace(INSTANCE, accepting=False)
    assert eligibility().exclusion_reason(leaving) is ExclusionReason.DRAINING
    assert eligibility().exclusion_reason(INSTANCE) is None


def test_back_end_in_an_evacuated_zone_is_excluded() -> None:
    one = eligibility()
    one.evacuated_zones = frozenset({"w1"})
    assert one.exclusion_reason(INSTANCE) is ExclusionReason.EVACUATED
    assert one.exclusion_reason(replace(INSTANCE, zone="e1")) is None


def test_residence_excludes_other_and_unknown_regions() -> None:
    west = residence_in(["west"])
    assert eligibility().exclusion_reason(INSTANCE, west) is None
    for zone in ("e1", "new"):
        ruled_out = eligibility().exclusion_reason(replace(INSTANCE, zone=zone), west)
        assert ruled_out is ExclusionReason.OUTSIDE_RESIDENCE
