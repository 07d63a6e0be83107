"""Placement of a group's replicas: near its preferred zones, tolerant of zone failures."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.storage.replica_placement import ReplicaPlacement

WEST, EAST = RegionName("west"), RegionName("east")
TOPOLOGY = Topology({"w1": WEST, "w2": WEST, "e1": EAST, "e2": EAST})


def make_placement(zones: dict[str, str], write_quorum: int = 3, **more) -> ReplicaPlacement:
    return ReplicaPlacement(write_quorum, 2 * write_quorum - 1, zones, **more)


def disks(**nodes_by_zone: int) -> dict[str, str]:
    return {f"{zone}-{n}": zone for zone, nodes in nodes_by_zone.items() for n in range(nodes)}


def test_a_spare_of_another_zone_is_preferred_to_the_first_by_name() -> None:
    zones = disks(a=4, b=2, c=2)
    wanted = make_placement(zones, tolerated_zone_failures=1).repaired_members(
        ["a-0", "a-1", "b-0"], ["b-1"], ["a-2", "c-0"]
    )
    assert wanted == {"a-0", "a-1", "b-0", "c-0"}


def test_spares_of_the_region_are_preferred_although_they_share_zones() -> None:
    zones = disks(w1=3, w2=2, e1=3)
    placement = make_placement(zones, topology=TOPOLOGY, preferred_zones=("w1", "w2"))
    assert set(placement.choose_additions([], zones)) == {"w1-0", "w1-1", "w1-2", "w2-0", "w2-1"}


def test_another_region_joins_if_one_zone_failure_would_lose_a_write() -> None:
    zones = disks(w1=3, w2=2, e1=3)
    placement = make_placement(
        zones, topology=TOPOLOGY, preferred_zones=("w1", "w2"), tolerated_zone_failures=1
    )
    members = placement.choose_additions([], zones)
    assert Counter(map(placement.zone_of, members)) == {"w1": 2, "w2": 2, "e1": 1}


def test_disks_that_may_not_hold_the_group_never_join() -> None:
    zones = disks(w1=2, w2=2, e1=3)
    placement = make_placement(
        zones,
        topology=TOPOLOGY,
        preferred_zones=("w1", "w2"),
        may_hold=lambda identity: identity.startswith("w"),
    )
    assert set(placement.choose_additions([], zones)) == {"w1-0", "w1-1", "w2-0", "w2-1"}
    members = ["w1-0", "w1-1", "w2-0", "e1-0"]
    assert placement.find_better_swap(members, zones.keys() - members, "w1-0") == ("e1-0", "w2-1")
    assert placement.shortfalls(members) == [
        "4 replicas of 5",
        "1 replicas are on disks that may not hold the group",
    ]


def test_a_replica_in_another_region_is_swapped_but_the_leader_stays() -> None:
    zones = disks(w1=3, w2=2, e1=2)
    placement = make_placement(zones, topology=TOPOLOGY, preferred_zones=("w1", "w2"))
    members = ["w1-0", "w1-1", "w2-0", "w2-1", "e1-0"]
    assert placement.find_better_swap(members, ["w1-2", "e1-1"], "w1-0") == ("e1-0", "w1-2")
    assert placement.find_better_swap(members, ["w1-2", "e1-1"], "e1-0") is None
    assert placement.find_better_swap(members, ["e1-1"], "w1-0") is None


def test_leaders_are_ranked_by_distance_from_the_preferred_zones() -> None:
    zones = disks(e1=1, w2=1, w1=1)
    placement = make_placement(zones, topology=TOPOLOGY, preferred_zones=("w1",))
    assert placement.rank_leaders(zones) == ["w1-0", "w2-0", "e1-0"]


def test_shortfalls_name_the_failures_that_a_set_does_not_tolerate() -> None:
    zones = disks(a=3, b=2)
    assert make_placement(zones).shortfalls(zones) == []
    assert make_placement(zones, tolerated_zone_failures=1).shortfalls(zones) == [
        "1 zones hold 3 replicas of 5"
    ]
    assert make_placement(zones).shortfalls(["a-0", "a-1"]) == ["2 replicas of 5"]


def test_a_fleet_of_one_zone_has_full_groups() -> None:
    zones = disks(a=6)
    assert len(make_placement(zones, tolerated_zone_failures=1).choose_additions([], zones)) == 5


@st.composite
def repairs(draw) -> tuple[ReplicaPlacement, list[str], list[str], list[str]]:
    """Return a placement, the live and dead members of a group, and the spares."""
    nodes_by_zone = draw(
        st.dictionaries(st.sampled_from(["w1", "w2", "e1", "e2"]), st.integers(1, 5), min_size=1)
    )
    zones = disks(**nodes_by_zone)
    write_quorum = draw(st.integers(2, 3))
    granted_zones = draw(st.sampled_from([(), ("w1",), ("w1", "w2"), ("e2",)]))
    topology = draw(st.sampled_from([Topology(), TOPOLOGY]))
    placement = make_placement(
        zones,
        write_quorum,
        topology=topology,
        preferred_zones=granted_zones,
        tolerated_zone_failures=1,
    )
    members: list[str] = []
    for identity in draw(st.permutations(sorted(zones))):
        fits = [zones[member] for member in members].count(zones[identity]) < write_quorum - 1
        if fits and len(members) < placement.replication_factor:
            members.append(identity)
    lost = draw(st.sets(st.sampled_from(sorted(zones))))
    alive = [identity for identity in members if identity not in lost]
    dead = [identity for identity in members if identity in lost]
    spares = [identity for identity in zones if identity not in members and identity not in lost]
    return placement, alive, dead, spares


@given(repairs())
def test_any_zone_may_fail_after_any_repair(repair) -> None:
    placement, alive, dead, spares = repair
    wanted = placement.repaired_members(alive, dead, spares)
    assert set(alive) <= wanted <= {*alive, *dead, *spares}
    assert len(wanted) <= placement.replication_factor
    count_by_zone = Counter(map(placement.zone_of, [*alive, *spares]))
    tolerable = sum(min(count, placement.max_per_zone) for count in count_by_zone.values())
    if tolerable >= placement.write_quorum:
        assert max(Counter(map(placement.zone_of, wanted)).values()) < placement.write_quorum


@given(repairs())
def test_no_spare_of_another_region_joins_while_a_local_one_fits(repair) -> None:
    placement, alive, dead, spares = repair
    wanted = placement.repaired_members(alive, dead, spares)
    added = wanted & set(spares)
    if not any(map(placement.in_other_region, added)):
        return
    in_zone = Counter(map(placement.zone_of, [*alive, *added]))
    for spare in set(spares) - wanted:
        assert (
            placement.in_other_region(spare)
            or in_zone[placement.zone_of(spare)] >= placement.max_per_zone
        )


@given(repairs())
def test_swaps_terminate(repair) -> None:
    placement, alive, dead, spares = repair
    members = set(placement.repaired_members(alive, dead, spares))
    outside = set(spares) - members
    for _ in range(len(members) * 3):
        swap = placement.find_better_swap(sorted(members), sorted(outside), min(members))
        if swap is None:
            return
        leaving, joining = swap
        members = members - {leaving} | {joining}
        outside = outside - {joining} | {leaving}
    raise AssertionError("swaps don't terminate")


def test_dead_members_of_overfilled_zones_leave_first() -> None:
    zones = disks(a=3, b=2, c=1)
    placement = make_placement(zones, tolerated_zone_failures=1)
    wanted = placement.repaired_members(["a-1", "b-0", "b-1"], ["a-0", "c-0"], ["a-2"])
    assert wanted == {"a-1", "a-2", "b-0", "b-1", "c-0"}
