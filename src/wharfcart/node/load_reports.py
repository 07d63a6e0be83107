"""Exchange of load between gateways and the node that keeps the load board."""

import asyncio
from collections.abc import Callable
from time import monotonic

from wharfcart.cluster.membership import Address
from wharfcart.cluster.messages_pb2 import Frame, InstanceLoad, LoadReport, LoadSummary
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.load_board import LoadBoard, NodeLoad, report_kept_s, report_period_s

CALL_TIMEOUT_S = 0.4
IDLE_PERIOD_S = 1.0


class LoadReporter:
    """Tells the board this node's load and takes what it tells of the others.

    Parameters
    ----------
    board_address: where the board is kept now, or None.
    """

    def __init__(
        self,
        node_id: str,
        choice: BackendChoice,
        transport: Transport,
        board_address: Callable[[], Address | None],
    ) -> None:
        self._node_id = node_id
        self._choice = choice
        self._transport = transport
        self._board_address = board_address
        self._nodes = 1

    def fleet_size(self) -> int:
        """Return how many nodes report their load."""
        return self._nodes

    async def run(self) -> None:
        """Report until cancelled; seldom while nothing is in flight."""
        idle_reports = 0
        while True:
            loads = self._choice.own_loads(monotonic())
            idle_reports = 0 if loads else idle_reports + 1
            await self._report(loads)
            period_s = report_period_s(self._nodes)
            await asyncio.sleep(IDLE_PERIOD_S if idle_reports > 2 else period_s)

    async def _report(self, loads: list[NodeLoad]) -> None:
        address = self._board_address()
        if address is None:
            return
        report = LoadReport(
            node_id=self._node_id,
            loads=[_to_message(load) for load in loads],
            sends_per_s=self._choice.own_rates(monotonic()),
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._transport.call(
                    address, Frame(load_report=report), TrafficClass.ONLINE
                )
        except (TimeoutError, PeerUnreachableError, ServingError):
            return
        summary = answer.load_summary
        if not summary.nodes:
            return
        self._nodes = summary.nodes
        others = {load.instance_id: _from_message(load) for load in summary.others}
        self._choice.others_reported(
            others,
            monotonic(),
            report_kept_s(self._nodes),
            dict(summary.sends_per_s),
            self._nodes,
        )


class LoadBoardKeeper:
    """The board at the node that runs batch items."""

    def __init__(self, node_id: str, choice: BackendChoice) -> None:
        self._node_id = node_id
        self._choice = choice
        self._board = LoadBoard()

    def take(self, report: LoadReport) -> LoadSummary:
        """Take a report; tell the reporter the load of all others, this node's items included."""
        now = monotonic()
        loads = [_from_message(load) for load in report.loads]
        self._board.report(report.node_id, loads, now, dict(report.sends_per_s))
        own_rates = self._choice.own_rates(now)
        self._board.report(self._node_id, self._choice.own_loads(now), now, own_rates)
        nodes = self._board.nodes(now)
        self._choice.others_reported(
            self._board.others(self._node_id, now),
            now,
            report_kept_s(nodes),
            self._board.others_rates(self._node_id, now),
            nodes,
        )
        summary = self._board.summary_for(report.node_id, now)
        return LoadSummary(
            others=[_to_message(load) for load in summary],
            nodes=nodes,
            sends_per_s=self._board.others_rates(report.node_id, now),
        )


def _to_message(load: NodeLoad) -> InstanceLoad:
    return InstanceLoad(
        instance_id=load.instance_id,
        in_flight=load.in_flight,
        unread_tokens=load.unread_tokens,
        silent=load.silent,
        good=load.good,
        bad=load.bad,
    )


def _from_message(load: InstanceLoad) -> NodeLoad:
    return NodeLoad(
        load.instance_id, load.in_flight, load.unread_tokens, load.silent, load.good, load.bad
    )
