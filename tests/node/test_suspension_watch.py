"""A suspension is told once, and those whose timers stood still hear of it."""

import time

import pytest

from wharfcart.clock import SuspensionDetector
from wharfcart.node.suspension_watch import SuspensionWatch
from wharfcart.observability.decisions import DecisionLog, Event


class RecordingLog(DecisionLog):
    def __init__(self) -> None:
        super().__init__("n")
        self.lines: list[tuple[Event, dict[str, object]]] = []

    def write(self, event: Event, **fields: object) -> None:
        self.lines.append((event, fields))


def test_suspension_is_reported_once(monkeypatch: pytest.MonkeyPatch) -> None:
    now = {time.CLOCK_MONOTONIC: 10.0, time.CLOCK_BOOTTIME: 10.0}
    monkeypatch.setattr(time, "clock_gettime", lambda clock: now[clock])
    log = RecordingLog()
    suspensions = SuspensionDetector()
    watch = SuspensionWatch(suspensions, log)
    heard: list[float] = []
    watch.on_resumed = lambda: heard.append(suspensions.resumed_at())
    watch.check()
    assert not heard
    now[time.CLOCK_BOOTTIME] += 4.0
    # Whoever asks first notices it; it is told all the same.
    suspensions.resumed_at()
    watch.check()
    watch.check()
    assert heard == [14.0]
    assert log.lines == [(Event.MACHINE_RESUMED, {"suspended_s": 4.0})]
