"""Timelines of requests from decision logs."""

import json

from wharfcart.observability.timeline import build_timeline


def line(time: float, node: str, event: str, **fields: object) -> str:
    return "12.3 " + node + " " + json.dumps({"time": time, "node": node, "event": event, **fields})


LOG_LINES = [
    line(100.0, "g1", "backend_gone", backend="i-1", service="s"),
    line(100.5, "g2", "backend_gone", backend="i-2", service="s"),
    line(101.0, "g1", "request_ended", request="r1", outcome="cut", cause="broken",
         backend="i-1", seconds=1.5),
    line(50.0, "g1", "backend_gone", backend="i-1", service="s"),
    line(101.0, "g1", "request_ended", request="r2", outcome="answered", backend="i-1"),
    "not a decision",
]  # fmt: skip


def test_timeline_has_lines_of_the_id_and_of_its_back_end() -> None:
    timeline = build_timeline("r1", LOG_LINES)
    assert [(entry.event, entry.direct) for entry in timeline.lines] == [
        ("backend_gone", False),
        ("request_ended", True),
    ]
    assert timeline.verdict == "cut: broken"


def test_an_unknown_id() -> None:
    timeline = build_timeline("nobody", LOG_LINES)
    assert timeline.lines == [] and "no line" in timeline.verdict


def test_a_request_whose_gateway_was_killed() -> None:
    logs = [
        line(100.0, "g1", "request_placed", request="r1", backend="i-1", waited_s=0.01),
        line(100.4, "g1", "started"),
    ]
    timeline = build_timeline("r1", logs)
    assert "gateway was killed" in timeline.verdict
    assert [entry.event for entry in timeline.lines] == ["request_placed", "started"]


def test_line_with_several_back_ends_is_context_of_each() -> None:
    logs = [
        line(100.0, "g1", "backend_gone", backends=["i-1", "i-2", "i-3"], service="s"),
        line(100.0, "g1", "backend_gone", backends=["i-4", "i-5"], service="s"),
        line(100.4, "g1", "request_ended", request="r1", outcome="cut", backend="i-2", seconds=1.0),
    ]
    timeline = build_timeline("r1", logs)
    assert [entry.event for entry in timeline.lines] == ["backend_gone", "request_ended"]
