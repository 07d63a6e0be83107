"""When a gateway takes a region for cut off, and when it tries again."""

from wharfcart.cluster.topology import RegionName
from wharfcart.routing.region_reachability import (
    MIN_CONSECUTIVE_FAILURES,
    PROBE_PERIOD_S,
    RegionReachability,
)

WEST, EAST = RegionName("west"), RegionName("east")


def with_unreachable_west() -> RegionReachability:
    reach = RegionReachability()
    for n in range(MIN_CONSECUTIVE_FAILURES):
        assert not reach.are_unreachable([WEST], 0.0)
        reach.record_failure(WEST, f"i{n}", 0.0)
    return reach


def test_region_is_unreachable_after_consecutive_failures() -> None:
    reach = with_unreachable_west()
    assert reach.are_unreachable([WEST], 0.1)
    assert not reach.are_unreachable([EAST], 0.1)
    assert not reach.are_unreachable([WEST, EAST], 0.1)


def test_repeated_failures_of_one_back_end_do_not_count_for_its_region() -> None:
    reach = RegionReachability()
    for _ in range(10):
        reach.record_failure(WEST, "i", 0.0)
    assert not reach.are_unreachable([WEST], 0.1)


def test_one_request_per_period_probes_the_region() -> None:
    reach = with_unreachable_west()
    assert not reach.are_unreachable([WEST], PROBE_PERIOD_S)
    assert reach.are_unreachable([WEST], PROBE_PERIOD_S + 0.01)
    assert not reach.are_unreachable([WEST], 2 * PROBE_PERIOD_S)


def test_answer_makes_the_region_reachable() -> None:
    reach = with_unreachable_west()
    reach.record_success(WEST)
    assert not reach.are_unreachable([WEST], 0.1)


def test_back_ends_without_a_region_are_ignored() -> None:
    reach = with_unreachable_west()
    reach.record_success(None)
    reach.record_failure(None, "i", 0.0)
    assert reach.are_unreachable([WEST], 0.1)
