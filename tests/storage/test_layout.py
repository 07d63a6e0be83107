"""The layout of a fleet: number of groups, their zones, and their initial records."""

from collections import Counter

from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.storage.layout import Layout, layout_from_bytes, plan_group_records, plan_layout
from wharfcart.storage.replica_placement import ReplicaPlacement

REPLICATION_FACTOR = 5
WRITE_QUORUM = 3
REGIONS = ("east", "north", "west")
TOPOLOGY = Topology(
    {f"{region}-{letter}": RegionName(region) for region in REGIONS for letter in "ab"}
)


def disks(nodes: int, zones: int) -> dict[str, str]:
    return {f"disk-{n:03}": f"zone-{n % zones}" for n in range(nodes)}


def instance(name: str, zone: str) -> BackendInstance:
    return BackendInstance(name, "s", "127.0.0.1", 1, zone, 8, True)


def test_a_small_fleet_has_one_group_for_all_zones() -> None:
    layout = plan_layout(disks(3, 3))
    assert layout.group_count == 1
    assert layout.group_of(instance("a", "zone-2")) == 0
    assert layout.group_of(instance("a", "elsewhere")) == 0
    assert layout.grants_zone(0, "zone-1")


def test_a_large_fleet_has_one_group_per_zone() -> None:
    layout = plan_layout(disks(30, 5))
    assert layout.group_count == 5
    assert [layout.group_of(instance("a", f"zone-{n}")) for n in range(5)] == list(range(5))


def test_groups_that_share_a_zone_share_its_back_ends() -> None:
    layout = plan_layout(disks(24, 2))
    assert layout.group_count == 4
    groups = Counter(layout.group_of(instance(f"i-{n}", "zone-0")) for n in range(400))
    assert set(groups) == {0, 2}
    assert min(groups.values()) > 150


def test_back_ends_of_a_zone_without_a_group_are_distributed_over_all_groups() -> None:
    layout = plan_layout(disks(30, 5))
    assert {layout.group_of(instance(f"i-{n}", "new")) for n in range(100)} == set(range(5))


def test_a_layout_survives_a_round_trip() -> None:
    layout = plan_layout(disks(30, 3))
    assert layout_from_bytes(layout.to_bytes()) == layout


def test_disks_are_distributed_over_groups_and_zones() -> None:
    zones = disks(30, 5)
    layout = plan_layout(zones)
    records = plan_group_records(layout, zones, REPLICATION_FACTOR)
    assert len(records) == layout.group_count
    uses = Counter(identity for record in records for identity in record.members)
    assert max(uses.values()) == 1
    for group, record in enumerate(records):
        assert len(record.members) == REPLICATION_FACTOR
        assert record.leader in record.members
        assert {zones[member] for member in record.members} == set(zones.values())
        assert layout.grants_zone(group, zones[record.leader])
    assert len({record.leader for record in records}) == len(records)


def test_few_disks_hold_every_group() -> None:
    zones = disks(3, 3)
    (record,) = plan_group_records(Layout((("zone-0", "zone-1", "zone-2"),)), zones, 3)
    assert record.members == frozenset(zones)


def regional_disks(**nodes_by_region: int) -> dict[str, str]:
    """Return disks that alternate between the two zones of each region."""
    return {
        f"{region}-disk-{n:02}": f"{region}-{'ab'[n % 2]}"
        for region, nodes in nodes_by_region.items()
        for n in range(nodes)
    }


def records_of(layout: Layout, zones: dict[str, str], tolerated_zone_failures: int = 0, **more):
    def placement_of(group: int) -> ReplicaPlacement:
        home_zones = layout.preferred_zones(group, TOPOLOGY)
        return ReplicaPlacement(
            WRITE_QUORUM,
            REPLICATION_FACTOR,
            zones,
            TOPOLOGY,
            home_zones,
            tolerated_zone_failures,
            **more,
        )

    return plan_group_records(layout, zones, REPLICATION_FACTOR, placement_of)


def members_by_region(zones: dict[str, str], record) -> Counter[str]:
    return Counter(str(TOPOLOGY.region(zones[member])) for member in record.members)


def test_each_region_has_groups_of_its_own_that_grant_its_zones() -> None:
    layout = plan_layout(regional_disks(east=5, north=4, west=4), TOPOLOGY, WRITE_QUORUM)
    assert layout.zones_by_group == (
        ("east-a", "east-b"),
        ("north-a", "north-b"),
        ("west-a", "west-b"),
    )
    assert layout.region_by_group == REGIONS


def test_a_large_region_has_several_groups() -> None:
    zones = regional_disks(east=12, north=4, west=4)
    layout = plan_layout(zones, TOPOLOGY, WRITE_QUORUM)
    assert layout.region_by_group == ("east", "east", "north", "west")
    assert layout.zones_by_group[:2] == (("east-a",), ("east-b",))
    first, second, _, _ = records_of(layout, zones)
    assert not first.members & second.members


def test_members_and_leaders_are_in_the_region_and_others_fill_gaps() -> None:
    zones = regional_disks(east=5, north=4, west=4)
    layout = plan_layout(zones, TOPOLOGY, WRITE_QUORUM)
    records = records_of(layout, zones)
    own = [
        members_by_region(zones, record)[region]
        for region, record in zip(REGIONS, records, strict=True)
    ]
    assert own == [5, 4, 4]
    assert {len(record.members) for record in records} == {REPLICATION_FACTOR}
    for group, record in enumerate(records):
        assert TOPOLOGY.region(zones[record.leader]) == layout.region(group)
        in_zone = Counter(zones[member] for member in record.members)
        assert max(in_zone.values()) <= 3


def test_members_stay_in_the_region_where_others_may_not_hold_the_group() -> None:
    zones = regional_disks(east=5, north=4, west=4)
    layout = plan_layout(zones, TOPOLOGY, WRITE_QUORUM)
    records = records_of(layout, zones, may_hold=lambda identity: identity.startswith("north"))
    assert members_by_region(zones, records[1]) == {"north": 4}


def test_a_region_with_too_few_nodes_is_served_by_the_group_with_fewest_zones() -> None:
    zones = regional_disks(east=5, north=2, west=4)
    layout = plan_layout(zones, TOPOLOGY, WRITE_QUORUM)
    assert layout.region_by_group == ("east", "west")
    assert layout.zones_by_group[0] == ("east-a", "east-b", "north-a", "north-b")
    assert layout.preferred_zones(0, TOPOLOGY) == ("east-a", "east-b")
    assert records_of(layout, zones)[0].members == {f"east-disk-{n:02}" for n in range(5)}


def test_a_fleet_without_a_large_enough_region_has_groups_without_regions() -> None:
    zones = regional_disks(east=2, north=2, west=2)
    assert plan_layout(zones, TOPOLOGY, WRITE_QUORUM) == plan_layout(zones)


def test_a_fleet_of_one_region_is_laid_out_like_one_without_regions() -> None:
    zones = disks(13, 3)
    region = Topology({f"zone-{n}": RegionName("only") for n in range(3)})
    assert plan_layout(zones, region, WRITE_QUORUM) == plan_layout(zones)


def test_groups_of_all_regions_stay_within_the_bound() -> None:
    layout = plan_layout(regional_disks(east=60, north=60, west=30), TOPOLOGY, WRITE_QUORUM)
    assert layout.group_count == 16
    assert set(layout.region_by_group) == set(REGIONS)


def test_back_ends_of_an_unnamed_zone_are_granted_in_their_region() -> None:
    layout = plan_layout(regional_disks(east=12, north=4, west=4), TOPOLOGY, WRITE_QUORUM)
    grown = Topology({**TOPOLOGY.region_by_zone, "east-c": RegionName("east")})
    groups = {layout.group_of(instance(f"i-{n}", "east-c"), grown) for n in range(100)}
    assert groups == {0, 1}
    elsewhere = {layout.group_of(instance(f"i-{n}", "unknown"), grown) for n in range(100)}
    assert elsewhere == set(range(layout.group_count))


def test_a_layout_over_regions_survives_a_round_trip() -> None:
    layout = plan_layout(regional_disks(east=5, north=4), TOPOLOGY, WRITE_QUORUM)
    assert layout_from_bytes(layout.to_bytes()) == layout


def test_a_layout_written_without_regions_is_kept() -> None:
    stored = (
        b'{"zones_by_group": [["east-a", "north-a", "west-a"], ["east-b", "north-b", "west-b"]]}'
    )
    layout = layout_from_bytes(stored)
    assert layout.region_by_group == ()
    assert layout.region(0) is None
    assert layout.preferred_zones(1, TOPOLOGY) == ("east-b", "north-b", "west-b")
    assert layout.group_of(instance("a", "north-b"), TOPOLOGY) == 1
    assert {layout.group_of(instance(f"i-{n}", "new"), TOPOLOGY) for n in range(50)} == {0, 1}
    zones = regional_disks(east=5, north=4, west=4)
    placement = ReplicaPlacement(
        WRITE_QUORUM, REPLICATION_FACTOR, zones, TOPOLOGY, layout.preferred_zones(0, TOPOLOGY)
    )
    (first, _) = plan_group_records(layout, zones, REPLICATION_FACTOR)
    assert (
        placement.find_better_swap(first.members, zones.keys() - first.members, first.leader)
        is None
    )


def test_members_tolerate_a_zone_failure_if_configured() -> None:
    zones = {f"disk-{n}": "zone-0" if n < 6 else f"zone-{n % 2 + 1}" for n in range(10)}
    layout = plan_layout(zones)
    (record,) = plan_group_records(
        layout,
        zones,
        REPLICATION_FACTOR,
        lambda _: ReplicaPlacement(
            WRITE_QUORUM, REPLICATION_FACTOR, zones, tolerated_zone_failures=1
        ),
    )
    assert max(Counter(zones[member] for member in record.members).values()) == 2
