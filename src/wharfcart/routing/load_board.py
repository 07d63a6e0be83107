"""Load board core: what every node has in flight at each back end, gathered at one node.

Each gateway tells its own requests in flight and is told the sum of all others'. The node that
keeps the board runs batch items and so knows what online work leaves free, without asking the back
ends. Reports are a few times a second; an old one no longer counts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

REPORT_PERIOD_S = 0.15
MOST_REPORTS_A_SECOND = 200
# Reports count for so many periods, never shorter than this.
PERIODS_KEPT = 4
FEWEST_KEPT_S = 1.0
EXPIRE_PERIOD_S = 0.1
# Reports between the periodic ones tell of slots that have come free.
MOST_BRIEF_REPORTS_A_SECOND = 800
FEWEST_BRIEF_GAP_S = 0.01
# Faded counts below this are not worth telling.
LEAST_COUNT = 0.2
# A summary names the most loaded back ends: those left out have less.
MOST_LOADS_A_SUMMARY = 48


@dataclass(frozen=True, slots=True)
class NodeLoad:
    """One node's requests at one back end.

    Parameters
    ----------
    unread_tokens: of prompts that were sent and have no answer yet.
    silent: a request there waits too long for its first byte.
    good, bad: faded numbers of answers that were well and that failed.
    """

    instance_id: str
    in_flight: int
    unread_tokens: int
    silent: bool = False
    good: float = 0.0
    bad: float = 0.0


@dataclass
class _Total:
    """Sum of all reports of one back end."""

    in_flight: int = 0
    unread_tokens: int = 0
    silent: int = 0
    good: float = 0.0
    bad: float = 0.0

    def add(self, load: NodeLoad, sign: int) -> None:
        self.in_flight += sign * load.in_flight
        self.unread_tokens += sign * load.unread_tokens
        self.silent += sign * load.silent
        self.good += sign * load.good
        self.bad += sign * load.bad

    @property
    def says_something(self) -> bool:
        """Whether any report speaks of this back end."""
        return bool(self.in_flight or self.silent or self.bad > LEAST_COUNT)


@dataclass(frozen=True)
class _Report:
    """What one node told."""

    at: float
    loads: dict[str, NodeLoad]
    rates: dict[str, float]


_NOTHING = _Report(0.0, {}, {})


@dataclass(frozen=True)
class _Grant:
    """A slot that was granted to a node whose reports do not include it yet."""

    instance_id: str
    at: float


@dataclass
class LoadBoard:
    """The latest report of each node, and their sums, kept up to date with each report.

    Slots granted to a node since its latest report count as taken.
    """

    _reports: dict[str, _Report] = field(default_factory=dict)
    _grants: dict[str, dict[int, _Grant]] = field(default_factory=dict)  # by node and number
    _last_grants: dict[str, int] = field(default_factory=dict)  # by node
    _totals: dict[str, _Total] = field(default_factory=dict)
    _rates: dict[str, float] = field(default_factory=dict)
    _expire_at: float = -1e9

    def report(
        self,
        node_id: str,
        loads: Iterable[NodeLoad],
        now: float,
        rates: dict[str, float] | None = None,
        grants_seen: int = 0,
    ) -> None:
        """Take a node's report in place of its last one.

        Parameters
        ----------
        rates: requests a second that the node sends, by service.
        grants_seen: number of the last grant that the report includes.
        """
        self._drop(node_id)
        self._drop_grants(node_id, grants_seen)
        report = _Report(now, {load.instance_id: load for load in loads}, rates or {})
        self._reports[node_id] = report
        for load in report.loads.values():
            self._totals.setdefault(load.instance_id, _Total()).add(load, 1)
        for service, rate in report.rates.items():
            self._rates[service] = self._rates.get(service, 0.0) + rate

    def grant(self, node_id: str, instance_id: str, now: float) -> int:
        """Count a slot as taken by a node; return the number of the grant."""
        number = self._last_grants.get(node_id, 0) + 1
        self._last_grants[node_id] = number
        self._grants.setdefault(node_id, {})[number] = _Grant(instance_id, now)
        self._totals.setdefault(instance_id, _Total()).add(_taken(instance_id), 1)
        return number

    def taken_by(self, node_id: str) -> set[str]:
        """Return the back ends where a node has requests in flight or slots granted."""
        report = self._reports.get(node_id, _NOTHING)
        grants = self._grants.get(node_id, {}).values()
        return report.loads.keys() | {grant.instance_id for grant in grants}

    def summary_for(self, node_id: str, now: float) -> list[NodeLoad]:
        """Return what one node is told of all others: the most loaded back ends."""
        loads = self.others(node_id, now).values()
        ordered = sorted(
            loads, key=lambda load: (load.silent, load.bad >= 1, load.in_flight), reverse=True
        )
        return ordered[:MOST_LOADS_A_SUMMARY]

    def others(self, node_id: str, now: float) -> dict[str, NodeLoad]:
        """Return the sum of all other nodes' reports, by back end."""
        self._expire(now)
        own = self._reports.get(node_id, _NOTHING).loads
        found = {}
        for instance_id, total in self._totals.items():
            load = _without(instance_id, total, own.get(instance_id))
            if load.in_flight > 0 or load.silent or load.bad > LEAST_COUNT:
                found[instance_id] = load
        return found

    def others_rates(self, node_id: str, now: float) -> dict[str, float]:
        """Return the sum of all other nodes' sends a second, by service."""
        self._expire(now)
        own = self._reports.get(node_id, _NOTHING).rates
        rates = {service: rate - own.get(service, 0.0) for service, rate in self._rates.items()}
        return {service: rate for service, rate in rates.items() if rate > 0}

    def nodes(self, now: float) -> int:
        """Return the number of nodes whose report still counts."""
        self._expire(now)
        return len(self._reports)

    def _drop(self, node_id: str) -> None:
        report = self._reports.pop(node_id, None)
        if report is None:
            return
        for load in report.loads.values():
            self._drop_load(load)
        for service, rate in report.rates.items():
            self._rates[service] -= rate

    def other(self, node_id: str, instance_id: str) -> NodeLoad:
        """Return the sum of all other nodes' reports of one back end."""
        own = self._reports.get(node_id, _NOTHING).loads.get(instance_id)
        return _without(instance_id, self._totals.get(instance_id, _Total()), own)

    def _drop_grants(self, node_id: str, seen: int) -> None:
        grants = self._grants.get(node_id, {})
        for number in [number for number in grants if number <= seen]:
            self._drop_load(_taken(grants.pop(number).instance_id))

    def _drop_load(self, load: NodeLoad) -> None:
        total = self._totals.get(load.instance_id)
        if total is None:
            return
        total.add(load, -1)
        if not total.says_something:
            del self._totals[load.instance_id]

    def _expire(self, now: float) -> None:
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRE_PERIOD_S
        kept_s = report_kept_s(len(self._reports))
        old = [node for node, report in self._reports.items() if now - report.at > kept_s]
        for node in old:
            self._drop(node)
        for grants in self._grants.values():
            lost = [number for number, grant in grants.items() if now - grant.at > kept_s]
            for number in lost:
                self._drop_load(_taken(grants.pop(number).instance_id))


def _without(instance_id: str, total: _Total, own: NodeLoad | None) -> NodeLoad:
    if own is None:
        own = NodeLoad(instance_id, 0, 0)
    return NodeLoad(
        instance_id,
        total.in_flight - own.in_flight,
        total.unread_tokens - own.unread_tokens,
        total.silent - own.silent > 0,
        max(0.0, total.good - own.good),
        max(0.0, total.bad - own.bad),
    )


def _taken(instance_id: str) -> NodeLoad:
    return NodeLoad(instance_id, 1, 0)


def brief_report_gap_s(nodes: int) -> float:
    """Return the least time between a node's reports of slots that have come free."""
    return max(FEWEST_BRIEF_GAP_S, nodes / MOST_BRIEF_REPORTS_A_SECOND)


def report_period_s(nodes: int) -> float:
    """Return the time between a node's reports, such that the board's rate stays bounded."""
    return max(REPORT_PERIOD_S, nodes / MOST_REPORTS_A_SECOND)


def report_kept_s(nodes: int) -> float:
    """Return how long a report or a summary counts."""
    return max(FEWEST_KEPT_S, PERIODS_KEPT * report_period_s(nodes))
