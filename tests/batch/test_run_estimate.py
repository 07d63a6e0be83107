"""Estimates of the remaining run time of items."""

from wharfcart.batch.run_estimate import MIN_REMAINING_SHARE, RunEstimate
from wharfcart.slots.urgency import Urgency


def test_without_data_the_estimate_is_a_share_of_the_objective() -> None:
    assert RunEstimate().remaining_s(0, 20.0) == 8.0


def test_more_events_reduce_the_estimate() -> None:
    estimate = RunEstimate()
    estimate.record_finished(100, 2.0)
    assert estimate.remaining_s(0, 20.0) > 2.0
    assert estimate.remaining_s(60, 20.0) < estimate.remaining_s(0, 20.0) / 1.5
    assert estimate.remaining_s(500, 20.0) == 2.0 * MIN_REMAINING_SHARE


def test_the_estimate_follows_slower_backends() -> None:
    estimate = RunEstimate()
    estimate.record_finished(100, 2.0)
    for _ in range(60):
        estimate.record_finished(100, 6.0)
    assert 7.0 < estimate.remaining_s(0, 20.0) < 8.0


def test_an_item_past_its_objective_is_not_urgent_and_is_preempted_first() -> None:
    late = Urgency(until_due_s=-3.0, remaining_s=4.0)
    urgent = Urgency(until_due_s=4.5, remaining_s=4.0)
    early = Urgency(until_due_s=15.0, remaining_s=4.0)
    assert (late.is_urgent, urgent.is_urgent, early.is_urgent) == (False, True, False)
    assert sorted([urgent, early, late], key=lambda urgency: urgency.order) == [late, early, urgent]


def test_without_data_the_run_time_reduces_the_estimate() -> None:
    """Guards against treating advanced items as too late while no item has finished yet."""
    estimate = RunEstimate()
    assert estimate.remaining_s(80, 20.0, run_time_s=5.0) == 3.0
    assert estimate.remaining_s(200, 20.0, run_time_s=30.0) == 8.0 * MIN_REMAINING_SHARE


def test_results_of_earlier_leaders_give_the_mean_item_size() -> None:
    """Guards against planning the full run time for advanced items, which preempts them."""
    estimate = RunEstimate()
    for _ in range(5):
        estimate.record_earlier_result(100)
    assert estimate.remaining_s(0, 20.0) == 8.0
    assert abs(estimate.remaining_s(65, 20.0) - 4.0) < 1e-9
    assert estimate.remaining_s(140, 20.0) == 8.0 * MIN_REMAINING_SHARE
    estimate.record_finished(100, 2.0)
    assert estimate.remaining_s(0, 20.0) == 2.6
    estimate.record_earlier_result(900)
    assert estimate.mean_events == 100
