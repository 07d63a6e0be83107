"""Exchange of load between gateways and the node that keeps the load board."""

import asyncio
from collections.abc import Callable
from time import monotonic

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    Frame,
    InstanceLoad,
    LoadReport,
    LoadSummary,
)
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import Gauge
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.load_board import (
    LoadBoard,
    NodeLoad,
    brief_report_gap_s,
    report_kept_s,
    report_period_s,
)
from wharfcart.routing.placement import GrantedPlacement
from wharfcart.routing.preemption import Preemption
from wharfcart.routing.slot_granting import SlotGranting

CALL_TIMEOUT_S = 0.4
IDLE_PERIOD_S = 1.0


class LoadReporter:
    """Tells the board this node's load and takes what it tells of the others.

    Parameters
    ----------
    board_address: where the board is kept now, or None.
    placement: asks that node for slots.
    """

    def __init__(
        self,
        node_id: str,
        choice: BackendChoice,
        transport: Transport,
        board_address: Callable[[], Address | None],
        placement: GrantedPlacement,
    ) -> None:
        self._node_id = node_id
        self._choice = choice
        self._transport = transport
        self._board_address = board_address
        self._placement = placement
        self._slot_freed = asyncio.Event()
        self._nodes = 1
        placement.wake_reports = self._slot_freed.set

    def fleet_size(self) -> int:
        """Return how many nodes report their load."""
        return self._nodes

    async def run(self) -> None:
        """Report until cancelled: each period, and soon after a granted slot has come free."""
        idle_reports = 0
        while True:
            loads = self._choice.own_loads(monotonic())
            idle_reports = 0 if loads else idle_reports + 1
            await self._report(loads)
            period_s = report_period_s(self._nodes)
            await self._report_freed_slots(IDLE_PERIOD_S if idle_reports > 2 else period_s)

    async def _report_freed_slots(self, seconds: float) -> None:
        """Send brief reports, as slots come free, until the next whole one is due."""
        until = monotonic() + seconds
        while (left_s := until - monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self._slot_freed.wait()
            except TimeoutError:
                return
            self._slot_freed.clear()
            await self._report(self._choice.own_loads(monotonic()), brief=True)
            await asyncio.sleep(brief_report_gap_s(self._nodes))

    async def _report(self, loads: list[NodeLoad], brief: bool = False) -> None:
        address = self._board_address()
        if address is None:
            return
        report = LoadReport(
            node_id=self._node_id,
            loads=[_to_message(load) for load in loads],
            sends_per_s=self._choice.own_rates(monotonic()),
            grants_seen=self._placement.grants_seen,
            brief=brief,
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self._transport.call(
                    address, Frame(load_report=report), TrafficClass.ONLINE
                )
        except (TimeoutError, PeerUnreachableError, ServingError):
            return
        if not brief:
            self._take_summary(answer.load_summary)

    def _take_summary(self, summary: LoadSummary) -> None:
        self._placement.granting = frozenset(summary.granting)
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
    """The board at the node that runs batch items, and grants the slots of their services.

    Args:
        node_id: of this node.
        choice: what this node knows of the back ends; kept up to date with each report.
        granting: the services whose slots are granted here.
        preemption: makes batch items leave their slots.
        log: takes the decisions on requests that wait for a slot.
        requests_waiting: shows how many wait.
    """

    def __init__(
        self,
        node_id: str,
        choice: BackendChoice,
        granting: Callable[[], frozenset[str]],
        preemption: Preemption,
        log: DecisionLog,
        requests_waiting: Gauge,
    ) -> None:
        self._node_id = node_id
        self._choice = choice
        self._granting = granting
        self._preemption = preemption
        self._board = LoadBoard()
        self.slots = SlotGranting(
            node_id, choice, self._board, granting, preemption, log, requests_waiting
        )

    def take(self, report: LoadReport) -> LoadSummary:
        """Take a report; tell the reporter the load of all others, this node's items included."""
        now = monotonic()
        loads = [_from_message(load) for load in report.loads]
        touched = self._board.taken_by(report.node_id)
        self._board.report(report.node_id, loads, now, dict(report.sends_per_s), report.grants_seen)
        touched |= self._board.taken_by(report.node_id)
        if report.brief:
            self._update_choice(touched, now)
            self._slots_changed()
            return LoadSummary()
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
        self._slots_changed()
        summary = self._board.summary_for(report.node_id, now)
        return LoadSummary(
            others=[_to_message(load) for load in summary],
            nodes=nodes,
            sends_per_s=self._board.others_rates(report.node_id, now),
            granting=sorted(self._granting()),
        )

    def _slots_changed(self) -> None:
        """Requests that wait come first, then items."""
        self.slots.slots_changed()
        self._preemption.slots_changed()

    def _update_choice(self, instance_ids: set[str], now: float) -> None:
        kept_s = report_kept_s(self._board.nodes(now))
        for instance_id in instance_ids:
            load = self._board.other(self._node_id, instance_id)
            self._choice.other_reported(load, now, kept_s)


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
