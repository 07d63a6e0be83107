"""The clock for decisions counts suspended time.

Guards against leases, permits and peer updates that still count as valid after a suspension.
"""

import ast
import time
from pathlib import Path

import pytest

import wharfcart
from wharfcart.clock import SuspensionDetector, monotonic, suspended_s

SOURCE = Path(wharfcart.__file__).parent
# Tools outside the fleet, the clock module itself, and the module that resets the event loop's
# timers after a suspension and therefore needs the loop's time.
EXEMPT_PATHS = ("experiments/", "emulator/", "soak/", "cli/", "clock.py", "routing/deadlines.py")
SUSPENDABLE_CLOCKS = ("monotonic", "perf_counter", "monotonic_ns")


class Machine:
    """Fake clocks of a machine that can be suspended."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 130.0}
        monkeypatch.setattr(time, "clock_gettime", lambda clock: self.now[clock])

    def run(self, seconds: float) -> None:
        for clock in self.now:
            self.now[clock] += seconds

    def suspend(self, seconds: float) -> None:
        self.now[time.CLOCK_BOOTTIME] += seconds


def test_time_goes_on_while_the_machine_is_suspended(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = Machine(monkeypatch)
    before = monotonic()
    machine.run(1.0)
    machine.suspend(6.0)
    assert monotonic() - before == 7.0
    assert suspended_s() == 36.0


def test_detector_reports_a_suspension_on_the_next_query(monkeypatch: pytest.MonkeyPatch) -> None:
    machine = Machine(monkeypatch)
    detector = SuspensionDetector()
    machine.run(50.0)
    assert detector.resumed_at() < 0
    machine.suspend(2.0)
    resumed_at = detector.resumed_at()
    assert resumed_at == monotonic()
    machine.run(1.0)
    assert detector.resumed_at() == resumed_at


def test_decisions_use_the_suspension_aware_clock() -> None:
    found = []
    for path in sorted(SOURCE.rglob("*.py")):
        relative_path = str(path.relative_to(SOURCE))
        if relative_path.startswith(EXEMPT_PATHS):
            continue
        found += [
            f"{relative_path}:{line}"
            for line in _suspendable_clock_lines(ast.parse(path.read_text()))
        ]
    assert found == []


def _suspendable_clock_lines(module: ast.Module) -> list[int]:
    """Return the lines that read a clock which stops during a suspension."""
    lines = []
    for node in ast.walk(module):
        if isinstance(node, ast.ImportFrom) and node.module == "time":
            lines += [node.lineno for name in node.names if name.name in SUSPENDABLE_CLOCKS]
        if isinstance(node, ast.Attribute) and node.attr in SUSPENDABLE_CLOCKS:
            lines.append(node.lineno)
        if isinstance(node, ast.Attribute) and node.attr in ("timeout_at", "call_at"):
            lines.append(node.lineno)
        # The event loop's clock: ``loop.time()``, ``get_running_loop().time()``.
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            owner = ast.unparse(node.func.value)
            if node.func.attr == "time" and "loop" in owner:
                lines.append(node.lineno)
    return lines
