"""Distances between known and unknown zones."""

from wharfcart.cluster.topology import Distance, RegionName, Topology

WEST, EAST = RegionName("west"), RegionName("east")
TOPOLOGY = Topology({"w1": WEST, "w2": WEST, "e1": EAST})


def test_distance_grows_from_zone_to_region_to_other_region() -> None:
    assert TOPOLOGY.distance("w1", "w1") is Distance.SAME_ZONE
    assert TOPOLOGY.distance("w1", "w2") is Distance.SAME_REGION
    assert TOPOLOGY.distance("w1", "e1") is Distance.OTHER_REGION


def test_unnamed_zone_is_in_no_region() -> None:
    assert TOPOLOGY.region("new") is None
    assert TOPOLOGY.distance("w1", "new") is Distance.OTHER_REGION
    assert TOPOLOGY.distance("new", "newer") is Distance.OTHER_REGION


def test_a_fleet_without_regions_counts_as_one() -> None:
    assert Topology().distance("a", "b") is Distance.SAME_REGION
