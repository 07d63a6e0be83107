"""Load board core: what every node has in flight at each back end, gathered at one node.

Each gateway tells its own requests in flight and is told the sum of all others'. The node that
keeps the board runs batch items and so knows what online work leaves free, without asking the back
ends. Reports are a few times a second; an old one no longer counts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

REPORT_PERIOD_S = 0.15
MOST_REPORTS_A_SECOND = 120
# Reports count for so many periods, never shorter than this.
PERIODS_KEPT = 4
FEWEST_KEPT_S = 1.0
# A summary names the most loaded back ends: those left out have less.
MOST_LOADS_A_SUMMARY = 48


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """One node's requests at one back end.

    Parameters
    ----------
    unread_tokens: of prompts that were sent and have no answer yet.
    silent: a request there waits too long for its first byte.
    """

    instance_id: str
    in_flight: int
    unread_tokens: int
    silent: bool = False


@dataclass
class LoadBoard:
    """The latest report of each node."""

    _reports: dict[str, tuple[float, dict[str, NodeLoad]]] = field(default_factory=dict)

    def report(self, node_id: str, loads: Iterable[NodeLoad], now: float) -> None:
        """Take a node's report in place of its last one."""
        self._reports[node_id] = (now, {load.instance_id: load for load in loads})

    def summary_for(self, node_id: str, now: float) -> list[NodeLoad]:
        """Return what one node is told of all others: the most loaded back ends."""
        loads = self.others(node_id, now).values()
        ordered = sorted(loads, key=lambda load: (load.silent, load.in_flight), reverse=True)
        return ordered[:MOST_LOADS_A_SUMMARY]

    def others(self, node_id: str, now: float) -> dict[str, NodeLoad]:
        """Return the sum of all other nodes' reports, by back end."""
        self._expire(now)
        sums: dict[str, NodeLoad] = {}
        for reporter, (_, loads) in self._reports.items():
            if reporter == node_id:
                continue
            for instance_id, load in loads.items():
                known = sums.get(instance_id, NodeLoad(instance_id, 0, 0))
                sums[instance_id] = NodeLoad(
                    instance_id,
                    known.in_flight + load.in_flight,
                    known.unread_tokens + load.unread_tokens,
                    known.silent or load.silent,
                )
        return sums

    def nodes(self, now: float) -> int:
        """Return the number of nodes whose report still counts."""
        self._expire(now)
        return len(self._reports)

    def _expire(self, now: float) -> None:
        kept_s = report_kept_s(len(self._reports))
        old = [node for node, (at, _) in self._reports.items() if now - at > kept_s]
        for node in old:
            del self._reports[node]


def report_period_s(nodes: int) -> float:
    """Return the time between a node's reports, such that the board's rate stays bounded."""
    return max(REPORT_PERIOD_S, nodes / MOST_REPORTS_A_SECOND)


def report_kept_s(nodes: int) -> float:
    """Return how long a report or a summary counts."""
    return max(FEWEST_KEPT_S, PERIODS_KEPT * report_period_s(nodes))
