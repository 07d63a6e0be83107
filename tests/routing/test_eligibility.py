"""What rules a back end out for a request."""

from dataclasses import replace

from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import residence_in
from wharfcart.routing.eligibility import Eligibility, RuledOut

INSTANCE = BackendInstance("i", "s", "127.0.0.1", 1, "w1", 8, True)


def eligibility() -> Eligibility:
    return Eligibility(Topology({"w1": RegionName("west"), "e1": RegionName("east")}))


def test_a_back_end_that_leaves_takes_nothing() -> None:
    leaving = replace(INSTANCE, accepting=False)
    assert eligibility().ruled_out(leaving) is RuledOut.LEAVING
    assert eligibility().ruled_out(INSTANCE) is None


def test_nothing_goes_to_an_evacuated_zone() -> None:
    one = eligibility()
    one.evacuated_zones = frozenset({"w1"})
    assert one.ruled_out(INSTANCE) is RuledOut.EVACUATED
    assert one.ruled_out(replace(INSTANCE, zone="e1")) is None


def test_data_that_stays_in_a_region_goes_to_no_other_and_to_none_unknown() -> None:
    west = residence_in(["west"])
    assert eligibility().ruled_out(INSTANCE, west) is None
    for zone in ("e1", "new"):
        ruled_out = eligibility().ruled_out(replace(INSTANCE, zone=zone), west)
        assert ruled_out is RuledOut.OUTSIDE_RESIDENCE
