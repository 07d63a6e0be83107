"""Spreading over the emptiest back ends."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wharfcart.routing.load_balancing import fill_level, pick_below

LOADS = st.lists(st.floats(min_value=0, max_value=3), min_size=1, max_size=40)


@given(LOADS, st.floats(min_value=0.01, max_value=500))
def test_capacity_below_the_level_equals_the_amount(loads: list[float], amount: float) -> None:
    slots = [8] * len(loads)
    level = fill_level(loads, slots, amount)
    room = sum(max(0.0, level - load) * 8 for load in loads)
    assert room == pytest.approx(amount, rel=1e-6)


def test_few_requests_go_to_the_emptiest_only() -> None:
    loads = [0.5, 0.1, 0.9]
    level = fill_level(loads, [10, 10, 10], 1)
    rng = random.Random(1)
    assert {pick_below(loads, [10, 10, 10], level, rng) for _ in range(50)} == {1}


def test_many_requests_fill_to_one_level() -> None:
    loads = [0.0, 0.2, 0.8]
    slots = [10, 10, 10]
    level = fill_level(loads, slots, 10)
    rng = random.Random(1)
    drawn = Counter(pick_below(loads, slots, level, rng) for _ in range(10_000))
    assert drawn[2] == 0
    assert drawn[0] / 10_000 == pytest.approx(0.6, abs=0.02)
    assert drawn[1] / 10_000 == pytest.approx(0.4, abs=0.02)
