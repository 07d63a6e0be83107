"""A small fleet in virtual time: gateways, the node that grants slots, model servers.

The decisions are the product's own (placement, granting, load board, job execution); the servers
are slots with a queue, first in first out, as the users' engines are. Messages take one way's time.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from random import Random
from time import time
from types import SimpleNamespace
from typing import Any, cast

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.batch.item_run import ItemAttempt, ItemRunner, RunOutcome
from wharfcart.batch.job_execution import JobExecution
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    Frame,
    ItemOutcome,
    RequestItem,
    RequestJob,
)
from wharfcart.cluster.topology import Distance
from wharfcart.cluster.transport import TrafficClass, Transport
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import (
    Route,
    RouteKind,
    ServiceSpec,
    ServingConfiguration,
    TrafficShare,
)
from wharfcart.experiments.virtual_time import virtual_monotonic
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.placement import NoSlotError, PlacementRequest, SendResult
from wharfcart.slots.events import HolderId
from wharfcart.slots.fleet_load import FleetLoad
from wharfcart.slots.granted_placement import GrantedPlacement
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.group_backends import GroupBackends
from wharfcart.slots.group_order import RequestStep
from wharfcart.slots.item_slots import ItemSlots
from wharfcart.slots.ledger import TakenSlot
from wharfcart.slots.permit_relays import PermitRelays
from wharfcart.slots.service import SlotService
from wharfcart.slots.session import SlotUpdateListener
from wharfcart.slots.sessions import SlotSessions
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.partial_texts import PartialTexts

SERVICE = "writing"
HOST = "batch.example"
ZONE = "a"
LEADER_ADDRESS = Address("10.0.0.1", 7000)
ONE_WAY_DELAY_S = 0.001
# Of a model server: time to the first token, tokens read a second, time between two events.
FIRST_TOKEN_DELAY_S = 0.03
PREFILL_TOKENS_PER_SECOND = 51_200
EVENT_INTERVAL_S = 0.018
VIRTUAL_CLOCK_MODULES = (
    "wharfcart.routing.placement",
    "wharfcart.slots.fleet_load",
    "wharfcart.slots.granted_placement",
    "wharfcart.slots.item_slots",
    "wharfcart.slots.permits",
    "wharfcart.slots.service",
    "wharfcart.slots.session",
    "wharfcart.slots.sessions",
    "wharfcart.batch.job_execution",
)


class SimulatedModelServer:
    """A model server: so many requests run, the others wait in the order in which they came."""

    def __init__(self, slots: int) -> None:
        self._slots = asyncio.Semaphore(slots)

    async def run(self, prompt_tokens: int, events: int, on_event: Callable[[], None]) -> None:
        """Run a request; cancelled, it frees its slot at once."""
        async with self._slots:
            await asyncio.sleep(FIRST_TOKEN_DELAY_S + prompt_tokens / PREFILL_TOKENS_PER_SECOND)
            on_event()
            for _ in range(events - 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                on_event()


class SimulatedItemRunner:
    """Runs batch items at the servers, each one from where it was cut."""

    def __init__(self, selector: BackendSelector, servers: dict[str, SimulatedModelServer]) -> None:
        self._selector = selector
        self._servers = servers
        self.events_by_item: dict[str, int] = {}

    async def run(self, send: ItemAttempt) -> RunOutcome:
        """Run an item to its end; cancelled, it keeps the events that it has."""
        text = send.progress.partial_text
        left = self.events_by_item[send.item.item_id] - len(text.texts)
        server = self._servers[send.state.instance.instance_id]
        prompt_tokens = send.item.tokens + 5 * len(text.texts)

        def on_event() -> None:
            self._selector.record_first_byte(send.state, send.send_id)
            text.add_event(len(text.texts), "")

        try:
            await server.run(prompt_tokens, left, on_event)
        finally:
            self._selector.record_finished(send.state, send.send_id)
        return RunOutcome.SUCCEEDED


@dataclass
class LeadershipStub:
    """Stands in for a job group's leadership: results count at once."""

    due_at: dict[str, float] = field(default_factory=dict)
    done_at: dict[str, float] = field(default_factory=dict)  # by item
    jobs: dict[str, Any] = field(default_factory=dict)
    epoch: int = 1

    def append_result(self, job_id: str, outcome: ItemOutcome) -> bool:
        """Take a result."""
        self.done_at[outcome.item_id] = virtual_monotonic()
        self.jobs[job_id].results.append(outcome)
        return True

    def delete_job(self, job_id: str) -> None:
        """Drop a job."""
        self.jobs.pop(job_id, None)


class LoopbackTransport:
    """Calls to the node that grants slots, one way's time each."""

    def __init__(self, service: SlotService) -> None:
        self._service = service

    async def stream(
        self, _address: Address, frame: Frame, _traffic: TrafficClass
    ) -> AsyncGenerator[Frame, None]:
        """Open a session or ask for a slot."""
        answers: asyncio.Queue[Frame] = asyncio.Queue()

        async def answer(frame: Frame) -> None:
            answers.put_nowait(frame)

        await asyncio.sleep(ONE_WAY_DELAY_S)
        if frame.WhichOneof("body") == "slot_request":
            work = self._service.serve_request(frame.slot_request, answer)
        else:
            work = self._service.serve_session(frame.open_slot_session, answer)
        serving = asyncio.create_task(work)
        try:
            while True:
                found = await answers.get()
                await asyncio.sleep(ONE_WAY_DELAY_S)
                yield found
        finally:
            serving.cancel()

    def send(self, _address: Address, frame: Frame, _traffic: TrafficClass) -> None:
        """Tell what happens within a session."""
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_DELAY_S, self._service.handle_events, frame.slot_events)

    def round_trip_s(self, _address: Address) -> float:
        """Return the time of a message there and back."""
        return 2 * ONE_WAY_DELAY_S

    def drop(self, _address: Address, _traffic: TrafficClass) -> None:
        """Do nothing: connections are not simulated."""


class LocalChoicePlacement(GrantedPlacement):
    """A gateway that asks for no slot, but tells which ones it takes."""

    def _steps(self, request: PlacementRequest) -> list[RequestStep]:
        return []


class _NonPreemptingBackends(GroupBackends):
    """Items stay where they are until they are done."""

    def preemption_order(self, state: InstanceState, now: float) -> list[TakenSlot]:
        """Return no item: none leaves."""
        return []


class _NonPreemptingGranter(SlotGranter):
    def new_backends(self) -> GroupBackends:
        return _NonPreemptingBackends(
            self.selector, self.owns, self.is_leadership_confirmed, self._ledger
        )


class _NonPreemptingService(SlotService):
    def new_granter(self) -> SlotGranter:
        return _NonPreemptingGranter(self._selector, self._owns)


class SlotFleet:
    """Gateways, servers and the leader of one run.

    Args:
        seed: of every choice.
        grants: slots are granted; otherwise gateways choose by their own picture of the load.
        yields: items leave for online requests.
    """

    def __init__(
        self,
        seed: int,
        gateways: int,
        servers: int,
        slots: int,
        uses_grants: bool,
        preempts_items: bool,
    ) -> None:
        self._rng = Random(seed)
        self._servers = {f"server-{n}": SimulatedModelServer(slots) for n in range(servers)}
        self._instances = [
            BackendInstance(name, SERVICE, "10.0.1.1", 1, ZONE, slots, True)
            for name in self._servers
        ]
        self._metrics = ServingMetrics()
        self._log = DecisionLog("experiment")
        self.leadership = LeadershipStub()
        self._leader_selector = self._make_selector()
        self._runner = SimulatedItemRunner(self._leader_selector, self._servers)
        self._uses_grants = uses_grants
        kind = SlotService if preempts_items else _NonPreemptingService
        self._service = kind(
            0,
            self._leader_selector,
            lambda _instance: True,
            lambda _zone: Distance.SAME_ZONE,
            self._log,
            self._metrics.requests_waiting,
        )
        self._transport = cast(Transport, LoopbackTransport(self._service))
        self._item_slots = ItemSlots()
        self._execution = self._make_execution()
        self._gateways = [self._make_gateway(n) for n in range(gateways)]

    def start(self) -> list[asyncio.Task[None]]:
        """Begin to grant and to hold sessions; returns the tasks that do."""
        sessions = self._make_sessions("leader", self._leader_selector, self._item_slots)
        self._item_slots.begin(sessions)
        self._service.begin(1)
        self._execution.start()
        running = [sessions, *(held for _, _, held in self._gateways)]
        tasks = [asyncio.create_task(held.run()) for held in running]
        return [*tasks, asyncio.create_task(self._service.run())]

    async def send_request(
        self, request_id: str, prompt_tokens: int, events: int, objective_s: float
    ) -> float | None:
        """Play one online request; return the time to its first event, None if it was refused."""
        choice, placement, _ = self._rng.choice(self._gateways)
        began_at = virtual_monotonic()
        request = PlacementRequest(
            service=SERVICE,
            excluded=frozenset(),
            affinity_key="",
            unread_tokens=prompt_tokens,
            request_id=request_id,
            route_name="online",
            start_deadline=began_at + objective_s,
            queue_deadline=began_at + 1.0,
            priority=0,
        )
        try:
            placed = await placement.place(request)
        except NoSlotError:
            return None
        assert placed is not None
        state = placed.state
        use = choice.record_sent(state, virtual_monotonic(), prompt_tokens)
        sent_at = virtual_monotonic()
        first_s: list[float] = []

        def on_event() -> None:
            if not first_s:
                choice.record_first_byte(state, use)
                placement.first_byte_received("online", virtual_monotonic() - sent_at)
                first_s.append(virtual_monotonic() - began_at)

        await asyncio.sleep(ONE_WAY_DELAY_S)
        await self._servers[state.instance.instance_id].run(prompt_tokens, events, on_event)
        choice.record_finished(state, use)
        placement.send_finished(placed, SendResult.BACKEND_OK)
        return first_s[0]

    def submit(
        self,
        job_id: str,
        prompt_tokens: int,
        events: list[int],
        deadline_s: float,
        age_s: float = 0.0,
    ) -> None:
        """Accept a batch job whose items give so many events each, or take up one of some age."""
        items = [
            RequestItem(item_id=f"{job_id}-{n}", tokens=prompt_tokens) for n in range(len(events))
        ]
        for item, count in zip(items, events, strict=True):
            self._runner.events_by_item[item.item_id] = count
            self.leadership.due_at[item.item_id] = virtual_monotonic() + deadline_s - age_s
        job = RequestJob(
            job_id=job_id,
            host=HOST,
            path=f"/jobs/{job_id}",
            accepted_ms=int((time() - age_s) * 1000),
            objective_s=deadline_s,
            give_up_after_s=10 * deadline_s,
            items=items,
        )
        record = SimpleNamespace(job=job, results=[], ended=False, is_complete=False)
        self.leadership.jobs[job_id] = record
        self._execution.job_accepted(job)

    def _make_selector(self) -> BackendSelector:
        choice = BackendSelector(ZONE, Random(self._rng.random()))
        for instance in self._instances:
            choice.put(instance)
        return choice

    def _make_execution(self) -> JobExecution:
        group = SimpleNamespace(
            partial_texts=PartialTexts(),
            leadership=self.leadership,
            replicas_behind=0,
            is_confirmed_since_resume=True,
            wake_sessions=lambda: None,
        )
        route = Route(
            "jobs", HOST, "/jobs/", RouteKind.BATCH, (TrafficShare(SERVICE, 1.0),), 30.0, 0.4
        )
        configuration = ServingConfiguration(1, (route,), {SERVICE: ServiceSpec(SERVICE, 100)})
        return JobExecution(
            cast(JobGroup, group),
            cast(ItemRunner, self._runner),
            self._leader_selector,
            lambda: configuration,
            self._item_slots,
            3600.0,
            self._log,
            self._metrics,
            PoisonRequests(),
        )

    def _make_gateway(self, number: int) -> tuple[BackendSelector, GrantedPlacement, SlotSessions]:
        choice = self._make_selector()
        sessions = self._make_sessions(f"gateway-{number}", choice, FleetLoad(choice))
        kind = GrantedPlacement if self._uses_grants else LocalChoicePlacement
        placement = kind(
            choice,
            sessions,
            lambda _group: Distance.SAME_ZONE,
            lambda: (),
            self._metrics.placements,
            PermitRelays(self._transport, list),
        )
        return choice, placement, sessions

    def _make_sessions(
        self, holder: str, selector: BackendSelector, listener: SlotUpdateListener
    ) -> SlotSessions:
        return SlotSessions(
            HolderId(holder),
            selector,
            self._transport,
            lambda: 1,
            lambda _group: LEADER_ADDRESS,
            lambda _instance_id: 0,
            listener,
            self._log,
        )
