"""Lines of the decision log, and its rate limit."""

import json

from wharfcart.observability import decisions
from wharfcart.observability.decisions import DecisionLog, Event


def test_lines_are_json_with_node_and_event(capfd) -> None:
    log = DecisionLog("n1")
    log.write(Event.REQUEST_REFUSED, request="r", status=503)
    log.flush()
    line = json.loads(capfd.readouterr().out)
    assert (line["node"], line["event"], line["request"]) == ("n1", "request_refused", "r")


def test_lines_over_the_rate_limit_are_dropped_and_counted(capfd, monkeypatch) -> None:
    monkeypatch.setattr(decisions, "time", lambda: 1000.0)
    log = DecisionLog("n1")
    for number in range(decisions.MAX_LINES_PER_SECOND + 50):
        log.write(Event.REQUEST_ENDED, request=str(number))
    log.flush()
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    assert len(lines) == decisions.MAX_LINES_PER_SECOND + 1
    assert lines[-1]["event"] == "lines_dropped" and lines[-1]["count"] == 50
