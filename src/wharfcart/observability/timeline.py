"""Timeline of a request, job or item, assembled from the decision logs of all processes.

Besides the lines with the id, a timeline has the context lines of the same period about the back
ends and nodes of those lines, since they usually show the cause.
"""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

CONTEXT_WINDOW_S = 6.0
CONTEXT_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "dependency_lost",
        "dependency_regained",
        "configuration_taken",
        "backend_draining",
        "backend_gone",
        "backend_avoided",
        "granter_found",
        "granter_lost",
        "granting_begun",
        "granting_ended",
        "leadership_taken",
        "leadership_lost",
        "replica_set_changed",
        "replica_failed",
        "lines_dropped",
    }
)
ID_FIELDS = ("request", "job", "item")


@dataclass(frozen=True)
class LogLine:
    """One line of a decision log.

    Attributes:
        time: seconds since 1970.
        direct: whether the line has the searched id, and is not context.
    """

    time: float
    node: str
    event: str
    fields: dict[str, Any]
    direct: bool


@dataclass
class Timeline:
    """Log lines of one id and their context, in order of time.

    Attributes:
        wanted: the searched id.
        lines: lines with the id and context lines.
    """

    wanted: str
    lines: list[LogLine] = field(default_factory=list)

    @property
    def verdict(self) -> str:
        """The last logged outcome with its cause."""
        for line in reversed(self.lines):
            if not line.direct:
                continue
            if line.event == "request_placed":
                return "placed, but no outcome was logged: its gateway was killed or cut off"
            outcome = line.fields.get("outcome") or line.event
            cause = line.fields.get("cause")
            return f"{outcome}: {cause}" if cause else str(outcome)
        return "no line names this id"


def parse_decision_lines(log_lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the decision lines among log lines; skip any prefix before the JSON object."""
    for text in log_lines:
        start = text.find('{"time"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(line, dict) and "event" in line and "node" in line:
            yield line


def build_timeline(searched_id: str, log_lines: Iterable[str]) -> Timeline:
    """Return the timeline of an id."""
    lines = list(parse_decision_lines(log_lines))
    direct = [line for line in lines if any(line.get(name) == searched_id for name in ID_FIELDS)]
    timeline = Timeline(searched_id)
    if not direct:
        return timeline
    first_time = min(_started_at(line) for line in direct)
    last_time = max(float(line["time"]) for line in direct)
    nodes = {line["node"] for line in direct}
    backends = {line["backend"] for line in direct if line.get("backend")}
    for line in lines:
        has_id = any(line.get(name) == searched_id for name in ID_FIELDS)
        if has_id or _is_context(line, first_time, last_time, nodes, backends):
            timeline.lines.append(_log_line(line, has_id))
    timeline.lines.sort(key=lambda line: line.time)
    return timeline


def _started_at(line: dict[str, Any]) -> float:
    return float(line["time"]) - float(line.get("seconds") or 0.0)


def _is_context(
    line: dict[str, Any], first_time: float, last_time: float, nodes: set[str], backends: set[str]
) -> bool:
    if line["event"] not in CONTEXT_EVENTS:
        return False
    if not first_time - CONTEXT_WINDOW_S <= float(line["time"]) <= last_time + 1.0:
        return False
    if line.get("backend"):
        return line["backend"] in backends
    if line.get("backends"):
        return not backends.isdisjoint(line["backends"])
    return line["node"] in nodes or line["event"].startswith(("leadership", "granting", "replica"))


def _log_line(line: dict[str, Any], direct: bool) -> LogLine:
    fields = {name: value for name, value in line.items() if name not in ("time", "node", "event")}
    return LogLine(float(line["time"]), line["node"], line["event"], fields, direct)
