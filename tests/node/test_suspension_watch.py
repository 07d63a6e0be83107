"""A suspension is logged once and reported to the listener."""

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
    detector = SuspensionDetector()
    watch = SuspensionWatch(detector, log)
    resumed_times: list[float] = []
    watch.on_resumed = lambda: resumed_times.append(detector.resumed_at())
    watch.check()
    assert not resumed_times
    now[time.CLOCK_BOOTTIME] += 4.0
    # The watch reports the suspension even if another query detected it first.
    detector.resumed_at()
    watch.check()
    watch.check()
    assert resumed_times == [14.0]
    assert log.lines == [(Event.MACHINE_RESUMED, {"suspended_s": 4.0})]
