"""Groups that may hold a job's data, disks that may join one, and groups that may grant slots."""

import pytest

from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.residence import ANYWHERE, Residence, residence_in
from wharfcart.storage.job_move_tracker import RESUBMIT_WINDOW_S, JobMoveTracker
from wharfcart.storage.job_residence import (
    all_in_residence,
    hash_to_group,
    may_join_group,
    pick_group,
)
from wharfcart.storage.layout import Layout

WEST, EAST = residence_in(["west"]), residence_in(["east"])
BOTH = residence_in(["west", "east"])
NOWHERE = Residence(frozenset())
# The first letter of a disk's name is its region; other letters are unknown regions.
REGIONS = {"w": RegionName("west"), "e": RegionName("east")}
TOPOLOGY = Topology({"w1": REGIONS["w"], "w2": REGIONS["w"], "e1": REGIONS["e"]})


def region_of(disk: str) -> RegionName | None:
    return REGIONS.get(disk[0])


def test_a_job_goes_to_one_of_its_eligible_groups() -> None:
    ids = [f"job-{n}" for n in range(200)]
    assert {pick_group(job_id, (1, 4)) for job_id in ids} == {1, 4}
    assert pick_group("a", ()) is None


def test_an_unbound_job_goes_to_the_group_its_id_hashes_to() -> None:
    for n in range(200):
        assert pick_group(f"job-{n}", range(5)) == hash_to_group(f"job-{n}", 5)


@pytest.mark.parametrize(
    ("disks", "residence", "expected"),
    [
        (("w-1", "w-2"), WEST, True),
        (("w-1", "e-1"), WEST, False),
        (("w-1", "e-1"), BOTH, True),
        (("w-1", "?"), BOTH, False),
        (("w-1", "?"), ANYWHERE, True),
        (("w-1",), NOWHERE, False),
    ],
)
def test_all_disks_of_a_group_must_be_in_the_residence(disks, residence, expected) -> None:
    assert all_in_residence(disks, residence, region_of) is expected


def test_a_group_with_a_bound_job_admits_no_disk_outside_its_residence() -> None:
    assert may_join_group("w-9", ["w-1", "e-1"], [ANYWHERE, BOTH], [], region_of)
    assert may_join_group("e-9", ["w-1", "e-1"], [ANYWHERE, BOTH], [], region_of)
    assert not may_join_group("?", ["w-1", "e-1"], [ANYWHERE, BOTH], [], region_of)
    assert not may_join_group("e-9", ["w-1"], [WEST], [], region_of)
    assert may_join_group("e-9", ["w-1"], [ANYWHERE], [], region_of)


def test_a_disk_may_not_join_if_the_group_could_no_longer_hold_a_configured_residence() -> None:
    assert not may_join_group("e-9", ["w-1", "w-2"], [], [ANYWHERE, WEST], region_of)
    assert may_join_group("w-9", ["w-1", "w-2"], [], [ANYWHERE, WEST], region_of)
    # The group can't hold such jobs anyway.
    assert may_join_group("e-9", ["w-1", "e-1"], [], [WEST], region_of)
    assert may_join_group("e-9", ["w-1", "w-2"], [], [EAST], region_of)


def test_a_group_may_grant_slots_in_the_regions_of_its_zones() -> None:
    layout = Layout((("w1", "w2"), ("e1",)))
    assert [layout.may_grant_in(group, WEST, TOPOLOGY) for group in (0, 1)] == [True, False]
    assert [layout.may_grant_in(group, EAST, TOPOLOGY) for group in (0, 1)] == [False, True]
    assert [layout.may_grant_in(group, ANYWHERE, TOPOLOGY) for group in (0, 1)] == [True, True]
    assert [layout.may_grant_in(group, NOWHERE, TOPOLOGY) for group in (0, 1)] == [False, False]


def test_a_zone_that_no_group_names_may_belong_to_any() -> None:
    layout = Layout((("w1",), ("e1",)))
    assert layout.may_grant_in(1, WEST, TOPOLOGY)
    assert not layout.may_grant_in(0, EAST, TOPOLOGY)


def test_submissions_count_as_moved_for_a_period_after_the_groups_changed() -> None:
    moves = JobMoveTracker()
    source = ("route", "tenant")
    assert not moves.has_moved_recently(source, (0, 1), 0.0)
    assert not moves.has_moved_recently(source, (0, 1), 10.0)
    assert moves.has_moved_recently(source, (1,), 20.0)
    assert moves.has_moved_recently(source, (1,), 20.0 + RESUBMIT_WINDOW_S - 1.0)
    assert not moves.has_moved_recently(source, (1,), 20.0 + RESUBMIT_WINDOW_S)
    assert not moves.has_moved_recently(("other", "tenant"), (1,), 21.0)
