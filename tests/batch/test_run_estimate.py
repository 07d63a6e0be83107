"""How long an item still runs."""

from wharfcart.batch.run_estimate import LEAST_SHARE_LEFT, RunEstimate
from wharfcart.slots.urgency import Urgency


def test_before_anything_is_known_the_objective_decides() -> None:
    assert RunEstimate().remaining_s(0, 20.0) == 8.0


def test_an_item_needs_less_the_more_events_it_has_given() -> None:
    estimate = RunEstimate()
    estimate.finished(100, 2.0)
    assert estimate.remaining_s(0, 20.0) > 2.0
    assert estimate.remaining_s(60, 20.0) < estimate.remaining_s(0, 20.0) / 1.5
    assert estimate.remaining_s(500, 20.0) == 2.0 * LEAST_SHARE_LEFT


def test_slower_back_ends_are_learnt() -> None:
    estimate = RunEstimate()
    estimate.finished(100, 2.0)
    for _ in range(60):
        estimate.finished(100, 6.0)
    assert 7.0 < estimate.remaining_s(0, 20.0) < 8.0


def test_an_item_that_comes_too_late_is_not_urgent_and_waits_first() -> None:
    late = Urgency(until_due_s=-3.0, remaining_s=4.0)
    urgent = Urgency(until_due_s=4.5, remaining_s=4.0)
    early = Urgency(until_due_s=15.0, remaining_s=4.0)
    assert (late.is_urgent, urgent.is_urgent, early.is_urgent) == (False, True, False)
    assert sorted([urgent, early, late], key=lambda one: one.order) == [late, early, urgent]


def test_before_anything_is_known_what_an_item_has_run_counts() -> None:
    """After a power loss no item finishes for a while; those far on must not look hopeless."""
    estimate = RunEstimate()
    assert estimate.remaining_s(80, 20.0, ran_s=5.0) == 3.0
    assert estimate.remaining_s(200, 20.0, ran_s=30.0) == 8.0 * LEAST_SHARE_LEFT


def test_a_new_leader_knows_from_results_how_far_an_item_is() -> None:
    """Items that had given 63 of 144 events were taken to need the whole time, and cut."""
    estimate = RunEstimate()
    for _ in range(5):
        estimate.finished_before(100)
    assert estimate.remaining_s(0, 20.0) == 8.0
    assert abs(estimate.remaining_s(65, 20.0) - 4.0) < 1e-9
    assert estimate.remaining_s(140, 20.0) == 8.0 * LEAST_SHARE_LEFT
    estimate.finished(100, 2.0)
    assert estimate.remaining_s(0, 20.0) == 2.6
    estimate.finished_before(900)
    assert estimate.events == 100
