"""Plans drawn from a seed."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.soak.faults import FAULTS_BY_KIND
from wharfcart.soak.plan import REPLICA_CATCH_UP_S, FaultKind, generate_plan

SEEDS = st.integers(min_value=0, max_value=10**9)


@given(SEEDS)
def test_same_seed_gives_same_plan(seed: int) -> None:
    assert generate_plan(seed, 30.0, 3, 3) == generate_plan(seed, 30.0, 3, 3)


@given(SEEDS)
def test_storage_faults_do_not_overlap(seed: int) -> None:
    faults = [fault for fault in generate_plan(seed, 40.0, 3, 3) if fault.on_storage]
    for before, after in itertools.pairwise(faults):
        assert after.start_s >= before.start_s + before.duration_s + REPLICA_CATCH_UP_S


@given(SEEDS)
def test_every_fault_ends_before_the_load(seed: int) -> None:
    for fault in generate_plan(seed, 30.0, 3, 3):
        assert fault.start_s >= 0
        assert fault.start_s + fault.duration_s <= 30


def test_every_kind_is_generated_and_implemented() -> None:
    drawn = {fault.kind for seed in range(300) for fault in generate_plan(seed, 30.0, 3, 3)}
    assert drawn == set(FaultKind) == set(FAULTS_BY_KIND)
