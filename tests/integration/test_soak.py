"""A short soak of real processes; longer ones are started by hand (``wharfcart soak``)."""

import asyncio
from pathlib import Path

import pytest

from wharfcart.soak.plan import FaultKind
from wharfcart.soak.run import SoakRun

# Both plans hold series of signals to gateways that overlap with faults of storage nodes.
SEEDS = (2, 12)
LOAD_S = 12.0


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_overlapping_faults(seed: int, tmp_path: Path) -> None:
    run = SoakRun(seed, LOAD_S, tmp_path)
    assert any(fault.kind is FaultKind.SIGNAL_SERIES for fault in run.plan)
    verdict = asyncio.run(run.execute())
    assert verdict.violations == []
    assert verdict.success_count > 100
