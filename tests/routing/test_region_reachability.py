"""When a region counts as unreachable, and when it is probed."""

from wharfcart.cluster.topology import RegionName
from wharfcart.routing.region_reachability import (
    MIN_CONSECUTIVE_FAILURES,
    PROBE_INTERVAL_S,
    RegionReachability,
)

WEST, EAST = RegionName("west"), RegionName("east")


def with_unreachable_west() -> RegionReachability:
    reachability = RegionReachability()
    for n in range(MIN_CONSECUTIVE_FAILURES):
        assert not reachability.are_unreachable([WEST], 0.0)
        reachability.record_failure(WEST, f"i{n}", 0.0)
    return reachability


def test_region_is_unreachable_after_consecutive_failures() -> None:
    reachability = with_unreachable_west()
    assert reachability.are_unreachable([WEST], 0.1)
    assert not reachability.are_unreachable([EAST], 0.1)
    assert not reachability.are_unreachable([WEST, EAST], 0.1)


def test_repeated_failures_of_one_back_end_do_not_count_for_its_region() -> None:
    reachability = RegionReachability()
    for _ in range(10):
        reachability.record_failure(WEST, "i", 0.0)
    assert not reachability.are_unreachable([WEST], 0.1)


def test_one_request_per_period_probes_the_region() -> None:
    reachability = with_unreachable_west()
    assert not reachability.are_unreachable([WEST], PROBE_INTERVAL_S)
    assert reachability.are_unreachable([WEST], PROBE_INTERVAL_S + 0.01)
    assert not reachability.are_unreachable([WEST], 2 * PROBE_INTERVAL_S)


def test_answer_makes_the_region_reachable() -> None:
    reachability = with_unreachable_west()
    reachability.record_success(WEST)
    assert not reachability.are_unreachable([WEST], 0.1)


def test_back_ends_without_a_region_are_ignored() -> None:
    reachability = with_unreachable_west()
    reachability.record_success(None)
    reachability.record_failure(None, "i", 0.0)
    assert reachability.are_unreachable([WEST], 0.1)
