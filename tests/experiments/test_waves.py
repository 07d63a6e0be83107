"""Experiment ``waves``: online requests and batch items in virtual time."""

from wharfcart.experiments.waves import WaveLoad, WavePolicy, generate_arrivals, simulate

LOAD = WaveLoad(duration_s=14.0)


def test_the_same_seed_gives_the_same_run() -> None:
    assert generate_arrivals(LOAD, 3) == generate_arrivals(LOAD, 3)
    load = WaveLoad(duration_s=8.0, job_deadline_s=5.0)
    first, second = (simulate(WavePolicy.GRANTS, load, 3) for _ in range(2))
    assert sorted(first.first_events) == sorted(second.first_events)


def test_online_requests_begin_in_time_beside_batch_and_items_are_done() -> None:
    outcome = simulate(WavePolicy.GRANTS, LOAD, 3)
    assert outcome.online_in_time_share(LOAD.objective_s) > 0.97
    assert outcome.items > 10
    assert outcome.items_in_time == outcome.items


def test_without_preemption_online_requests_are_late() -> None:
    outcome = simulate(WavePolicy.NO_PREEMPTION, LOAD, 3)
    assert outcome.online_in_time_share(LOAD.objective_s) < 0.9


def test_overload_serves_feasible_requests_in_time() -> None:
    load = WaveLoad(duration_s=8.0, job_deadline_s=6.0, servers=4)
    capacity = load.servers * load.slots / (load.online_events * 0.018 + 0.04)
    overload = load.online_requests_per_s * load.high_factor / capacity
    assert overload > 1
    outcome = simulate(WavePolicy.GRANTS, load, 2)
    assert outcome.online_in_time_share(load.objective_s) > 0.8 / overload


def test_batch_overload_prefers_items_that_can_meet_their_deadline() -> None:
    """Guards against starting each item only when it is nearly late, so that all are late."""
    load = WaveLoad(duration_s=24.0, jobs_per_s=1.3)
    outcome = simulate(WavePolicy.GRANTS, load, 1)
    assert outcome.items_in_time > 0.55 * outcome.items
    assert outcome.online_in_time_share(load.objective_s) > 0.97


def test_a_backlog_after_a_power_loss_does_not_delay_later_jobs() -> None:
    load = WaveLoad(duration_s=10.0, servers=10, backlog_jobs=8)
    outcome = simulate(WavePolicy.GRANTS, load, 1)
    too_old = sum(due_s < 5.0 for due_s in _backlog_deadlines_s(load)) * 1.3 * load.job_items
    assert outcome.items - outcome.items_in_time <= too_old


def _backlog_deadlines_s(load: WaveLoad) -> list[float]:
    return [load.job_deadline_s * (1 - n / load.backlog_jobs) for n in range(load.backlog_jobs)]
