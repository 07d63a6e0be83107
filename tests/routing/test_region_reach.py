"""When a gateway takes a region for cut off, and when it tries again."""

from wharfcart.cluster.topology import RegionName
from wharfcart.routing.region_reach import FAILURES_IN_A_ROW, PROBE_PERIOD_S, RegionReach

WEST, EAST = RegionName("west"), RegionName("east")


def lost_west() -> RegionReach:
    reach = RegionReach()
    for n in range(FAILURES_IN_A_ROW):
        assert not reach.are_lost([WEST], 0.0)
        reach.failed(WEST, f"i{n}", 0.0)
    return reach


def test_a_region_is_lost_once_several_back_ends_in_a_row_were_not_reached() -> None:
    reach = lost_west()
    assert reach.are_lost([WEST], 0.1)
    assert not reach.are_lost([EAST], 0.1)
    assert not reach.are_lost([WEST, EAST], 0.1)


def test_one_back_end_that_fails_again_and_again_is_no_region() -> None:
    reach = RegionReach()
    for _ in range(10):
        reach.failed(WEST, "i", 0.0)
    assert not reach.are_lost([WEST], 0.1)


def test_one_request_tries_again_now_and_then() -> None:
    reach = lost_west()
    assert not reach.are_lost([WEST], PROBE_PERIOD_S)
    assert reach.are_lost([WEST], PROBE_PERIOD_S + 0.01)
    assert not reach.are_lost([WEST], 2 * PROBE_PERIOD_S)


def test_an_answer_brings_a_region_back() -> None:
    reach = lost_west()
    reach.reached(WEST)
    assert not reach.are_lost([WEST], 0.1)


def test_back_ends_of_no_known_region_count_for_none() -> None:
    reach = lost_west()
    reach.reached(None)
    reach.failed(None, "i", 0.0)
    assert reach.are_lost([WEST], 0.1)
