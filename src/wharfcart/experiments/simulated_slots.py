"""A small fleet in virtual time: gateways, the granting node and model servers.

Placement, granting, load snapshots and job execution run the product's code. Model servers have
slots and a FIFO queue. Each message takes a fixed one-way delay.
"""

import asyncio
from collections.abc import AsyncGenerator, Callable
from dataclasses import dataclass, field
from random import Random
from time import time
from types import SimpleNamespace
from typing import Any, cast

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
from wharfcart.storage.replicated_job import ReplicatedJob

SERVICE = "writing"
HOST = "batch.example"
ZONE = "a"
LEADER_ADDRESS = Address("10.0.0.1", 7000)
ONE_WAY_DELAY_S = 0.001
# Latency of a model server.
FIRST_TOKEN_DELAY_S = 0.03
PREFILL_TOKENS_PER_SECOND = 51_200
EVENT_INTERVAL_S = 0.018
VIRTUAL_CLOCK_MODULES = (
    "wharfcart.routing.placement",
    "wharfcart.slots.fleet_load",
    "wharfcart.slots.granted_placement",
    "wharfcart.slots.item_slots",
    "wharfcart.slots.origin_lookup",
    "wharfcart.slots.permits",
    "wharfcart.slots.service",
    "wharfcart.slots.session",
    "wharfcart.slots.sessions",
    "wharfcart.batch.job_execution",
)


class SimulatedModelServer:
    """A model server that runs one request per slot and queues the others first in, first out."""

    def __init__(self, slots: int) -> None:
        self._slots = asyncio.Semaphore(slots)

    async def run(self, prompt_tokens: int, events: int, on_event: Callable[[], None]) -> None:
        """Run a request; cancellation frees its slot at once."""
        async with self._slots:
            await asyncio.sleep(FIRST_TOKEN_DELAY_S + prompt_tokens / PREFILL_TOKENS_PER_SECOND)
            on_event()
            for _ in range(events - 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                on_event()


class SimulatedItemRunner:
    """Runs batch items at the servers; a preempted item resumes after its last event."""

    def __init__(self, selector: BackendSelector, servers: dict[str, SimulatedModelServer]) -> None:
        self._selector = selector
        self._servers = servers
        self.events_by_item: dict[str, int] = {}

    async def run(self, send: ItemAttempt) -> RunOutcome:
        """Run an item to completion; after a cancellation it keeps its events."""
        text = send.progress.partial_text
        remaining_events = self.events_by_item[send.item.item_id] - len(text.texts)
        server = self._servers[send.state.instance.instance_id]
        prompt_tokens = send.item.tokens + 5 * len(text.texts)

        def on_event() -> None:
            self._selector.record_first_byte(send.state, send.send_id)
            text.add_event(len(text.texts), "")

        try:
            await server.run(prompt_tokens, remaining_events, on_event)
        finally:
            self._selector.record_finished(send.state, send.send_id)
        return RunOutcome.SUCCEEDED


@dataclass
class LeadershipStub:
    """Stub of a job group's leadership that accepts results at once."""

    due_at: dict[str, float] = field(default_factory=dict)
    done_at: dict[str, float] = field(default_factory=dict)  # by item
    jobs: dict[str, Any] = field(default_factory=dict)
    epoch: int = 1

    def append_result(self, job_id: str, outcome: ItemOutcome) -> bool:
        """Record a result."""
        self.done_at[outcome.item_id] = virtual_monotonic()
        self.jobs[job_id].results.append(outcome)
        return True

    def finished_jobs(self) -> list[ReplicatedJob]:
        """Return all finished jobs."""
        return [record for record in self.jobs.values() if record.is_finished]

    def delete_job(self, job_id: str) -> None:
        """Delete a job."""
        self.jobs.pop(job_id, None)


class LoopbackTransport:
    """Transport to the granting node, with a fixed one-way delay."""

    def __init__(self, service: SlotService) -> None:
        self._service = service

    async def stream(
        self, _address: Address, frame: Frame, _traffic: TrafficClass
    ) -> AsyncGenerator[Frame, None]:
        """Open a session or request a slot."""
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
        """Send events of a session."""
        loop = asyncio.get_running_loop()
        loop.call_later(ONE_WAY_DELAY_S, self._service.handle_events, frame.slot_events)

    def round_trip_s(self, _address: Address) -> float:
        """Return the round-trip time."""
        return 2 * ONE_WAY_DELAY_S

    def drop(self, _address: Address, _traffic: TrafficClass) -> None:
        """Do nothing: connections are not simulated."""


class LocalChoicePlacement(GrantedPlacement):
    """Placement by local choice: requests no slots, but reports the ones it uses."""

    def _steps(self, request: PlacementRequest) -> list[RequestStep]:
        return []


class _NonPreemptingBackends(GroupBackends):
    """Back ends whose items are never preempted."""

    def preemption_order(self, state: InstanceState, now: float) -> list[TakenSlot]:
        """Return no items."""
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
    """Gateways, model servers and the leader of one run.

    Args:
        seed: of all random choices.
        uses_grants: slots are granted; otherwise gateways choose by load snapshots.
        preempts_items: online requests preempt batch items.
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
        service_type = SlotService if preempts_items else _NonPreemptingService
        self._service = service_type(
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
        """Start granting and all sessions; return their tasks."""
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
        """Run an online request; return the seconds to its first event, None if it is refused."""
        selector, placement, _ = self._rng.choice(self._gateways)
        started_at = virtual_monotonic()
        request = PlacementRequest(
            service=SERVICE,
            excluded=frozenset(),
            affinity_key="",
            unread_tokens=prompt_tokens,
            request_id=request_id,
            route_name="online",
            start_deadline=started_at + objective_s,
            queue_deadline=started_at + 1.0,
            priority=0,
        )
        try:
            placed = await placement.place(request)
        except NoSlotError:
            return None
        assert placed is not None
        state = placed.state
        send_id = selector.record_sent(state, virtual_monotonic(), prompt_tokens)
        sent_at = virtual_monotonic()
        first_s: list[float] = []

        def on_event() -> None:
            if not first_s:
                selector.record_first_byte(state, send_id)
                placement.first_byte_received("online", virtual_monotonic() - sent_at)
                first_s.append(virtual_monotonic() - started_at)

        await asyncio.sleep(ONE_WAY_DELAY_S)
        await self._servers[state.instance.instance_id].run(prompt_tokens, events, on_event)
        selector.record_finished(state, send_id)
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
        """Submit a batch job; ``events`` has the number of events of each item.

        Args:
            job_id: of the job.
            prompt_tokens: of each item.
            events: of each item.
            deadline_s: time after acceptance at which the items are due.
            age_s: time since the job was accepted.
        """
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
        record = ReplicatedJob(job, epoch=1)
        self.leadership.jobs[job_id] = record
        self._execution.job_accepted(record)

    def _make_selector(self) -> BackendSelector:
        selector = BackendSelector(ZONE, Random(self._rng.random()))
        for instance in self._instances:
            selector.put(instance)
        return selector

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
        )

    def _make_gateway(self, number: int) -> tuple[BackendSelector, GrantedPlacement, SlotSessions]:
        selector = self._make_selector()
        sessions = self._make_sessions(f"gateway-{number}", selector, FleetLoad(selector))
        placement_type = GrantedPlacement if self._uses_grants else LocalChoicePlacement
        placement = placement_type(
            selector,
            sessions,
            lambda _group: Distance.SAME_ZONE,
            lambda: (),
            self._metrics.placements,
            PermitRelays(self._transport, list),
        )
        return selector, placement, sessions

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
