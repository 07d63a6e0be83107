"""The gate: online at once, batch into measured slack."""

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.admission.backend_gate import (
    POLICY_PARAMETERS,
    BackendGate,
    BackendState,
    GateCapacity,
)
from wharfcart.configuration.schema import PreemptionPolicy

BASE_S = 0.012
SLOPE_S = 0.0001
IDLE_S = 10.0


def _gate(policy: PreemptionPolicy = PreemptionPolicy.TAIL) -> BackendGate:
    return BackendGate("engine", GateCapacity(online=4, batch=40), policy)


def _fitted_gate(policy: PreemptionPolicy) -> BackendGate:
    gate = _gate(policy)
    for sequences in range(1, 41):
        gate.fit.add(sequences, BASE_S + SLOPE_S * sequences)
    return gate


def _fill(gate: BackendGate, until: float) -> float:
    """Start batch as slots are given, a step apart; return the time."""
    now = IDLE_S
    while now < IDLE_S + until:
        for _ in range(gate.available_batch_slots(now)):
            gate.start_batch(f"b{len(gate.batch)}-{now}", now)
        now += 0.02
    return now


def test_batch_fills_an_idle_back_end_step_by_step() -> None:
    gate = _gate()
    assert 0 < gate.available_batch_slots(IDLE_S) < 40
    _fill(gate, 2.0)
    assert len(gate.batch) == 40


def test_online_is_admitted_while_batch_fills_the_back_end() -> None:
    gate = _gate()
    now = _fill(gate, 2.0)
    assert gate.admit_online("o", now)


def test_online_arrival_preempts_batch_above_the_fitted_bound() -> None:
    for policy in PreemptionPolicy:
        gate = _fitted_gate(policy)
        now = _fill(gate, 2.0)
        gate.admit_online("o", now)
        stopped = gate.preempt_batch()
        tolerance = POLICY_PARAMETERS[policy].max_slowdown
        kept = 40 - len(stopped)
        assert kept == int(tolerance * (BASE_S + SLOPE_S) / SLOPE_S)
        assert gate.preempt_batch() == []  # told once


def test_no_batch_prompt_before_an_online_first_token() -> None:
    gate = _fitted_gate(PreemptionPolicy.THROUGHPUT)
    gate.admit_online("o", IDLE_S)
    assert gate.available_batch_slots(IDLE_S + 1) == 0
    gate.record_first_token("o", IDLE_S + 1)
    assert gate.available_batch_slots(IDLE_S + 1) == 1


def test_draining_back_end_admits_nothing() -> None:
    gate = _gate()
    gate.state = BackendState.DRAINING
    assert not gate.admit_online("o", IDLE_S)
    assert gate.available_batch_slots(IDLE_S) == 0


@given(
    st.lists(
        st.tuples(st.sampled_from(["online", "end", "batch", "token"]), st.floats(0.001, 0.5)),
        max_size=60,
    )
)
def test_bounds_hold_for_random_event_sequences(steps: list[tuple[str, float]]) -> None:
    gate = _fitted_gate(PreemptionPolicy.TAIL)
    now = IDLE_S
    for number, (step, seconds) in enumerate(steps):
        now += seconds
        if step == "online" and gate.admit_online(f"o{number}", now):
            for request_id in gate.preempt_batch():
                gate.finish_batch(request_id)
        elif step == "end" and gate.online:
            gate.finish_online(next(iter(gate.online)), now)
        elif step == "batch":
            for slot in range(gate.available_batch_slots(now)):
                gate.start_batch(f"b{number}-{slot}", now)
        elif step == "token" and gate.online:
            gate.record_first_token(next(iter(gate.online)), now)
        assert len(gate.online) <= 4
        assert len(gate.batch) <= 40
        if gate.online:
            assert len(gate.batch) <= int(0.05 * (BASE_S + SLOPE_S * 4) / SLOPE_S)
