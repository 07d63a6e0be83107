"""Experiment waves: the product's decisions in virtual time."""

from wharfcart.experiments.waves import Policy, WaveLoad, draw_arrivals, play

LOAD = WaveLoad(seconds=14.0)


def test_the_same_seed_gives_the_same_run() -> None:
    assert draw_arrivals(LOAD, 3) == draw_arrivals(LOAD, 3)
    load = WaveLoad(seconds=8.0, job_due_s=5.0)
    first, second = (play(Policy.GRANTS, load, 3) for _ in range(2))
    assert sorted(first.first_events) == sorted(second.first_events)


def test_online_requests_begin_in_time_beside_batch_and_items_are_done() -> None:
    outcome = play(Policy.GRANTS, LOAD, 3)
    assert outcome.online_in_time(LOAD.objective_s) > 0.97
    assert outcome.items > 10
    assert outcome.items_in_time == outcome.items


def test_items_that_stay_make_online_requests_late() -> None:
    outcome = play(Policy.NO_YIELDING, LOAD, 3)
    assert outcome.online_in_time(LOAD.objective_s) < 0.9


def test_in_overload_those_are_served_in_time_that_can_be() -> None:
    load = WaveLoad(seconds=8.0, job_due_s=6.0, servers=4)
    capacity = load.servers * load.slots / (load.online_events * 0.018 + 0.04)
    overload = load.online_rate * load.high / capacity
    assert overload > 1
    outcome = play(Policy.GRANTS, load, 2)
    assert outcome.online_in_time(load.objective_s) > 0.8 / overload
