"""Experiment ``limits``: strategies for tenant limits."""

from wharfcart.experiments.limits import LimitLoad, LimitStrategy, generate_arrivals, simulate

LOAD = LimitLoad(
    10,
    tenants=6,
    duration_s=24.0,
    max_limit=40.0,
    hot_tenant=(6.0, 12.0, 5.0),
    coordinator_outage=(15.0, 15.7),
)


def test_the_same_seed_gives_the_same_arrivals() -> None:
    assert generate_arrivals(LOAD, 3) == generate_arrivals(LOAD, 3) != generate_arrivals(LOAD, 4)


def test_permits_keep_the_limit_and_refuse_hardly_anything_below_it() -> None:
    outcome = simulate(LimitStrategy.PERMITS, LOAD, generate_arrivals(LOAD, 1))
    assert outcome.max_window_share <= 1.0
    assert outcome.wrongly_refused_share < 0.01
    assert outcome.hot_tenant_share > 0.95
    assert outcome.round_trips == 0.0
