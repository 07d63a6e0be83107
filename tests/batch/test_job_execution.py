"""Which items a leader starts, and which one leaves when an online request needs its slot."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from random import Random
from time import time
from types import SimpleNamespace

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.batch import job_execution
from wharfcart.batch.item_run import ItemAttempt, RunOutcome
from wharfcart.batch.job_execution import JobExecution
from wharfcart.cluster.messages_pb2 import ItemOutcome, RequestItem, RequestJob
from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import (
    ANYWHERE,
    Residence,
    residence_in,
    residence_to_message,
)
from wharfcart.configuration.serving import (
    Route,
    RouteKind,
    ServiceSpec,
    ServingConfiguration,
    TrafficShare,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.eligibility import Eligibility
from wharfcart.slots.events import (
    HolderId,
    ItemOffered,
    ItemPreempted,
    ItemStarted,
    ItemsWaiting,
    RequestMode,
    RunResult,
    SessionKey,
    SessionOpened,
    SlotNumber,
    SlotReleased,
    SlotRequested,
    SlotUse,
)
from wharfcart.slots.granter import RESTART_COST_S, SlotGranter
from wharfcart.slots.item_slots import ItemDemand, ItemSlot, ItemSlots
from wharfcart.slots.session import HeldSlot
from wharfcart.slots.urgency import Urgency
from wharfcart.storage.partial_texts import PartialTexts

OBJECTIVE_S = 20.0
LEADER = SessionKey(HolderId("leader/0"), 1)
TOPOLOGY = Topology({"w": RegionName("west"), "e": RegionName("east")})
GATEWAY = SessionKey(HolderId("g1"), 1)


class FakeItemRunner:
    """Items run until they are cancelled or fail."""

    def __init__(self, choice: BackendSelector) -> None:
        self._choice = choice
        self.running: dict[str, str] = {}  # item to back end
        self._failed: dict[str, asyncio.Event] = {}

    async def run(self, send: ItemAttempt) -> RunOutcome:
        self.running[send.item.item_id] = send.state.instance.instance_id
        try:
            await self._failed.setdefault(send.item.item_id, asyncio.Event()).wait()
        finally:
            del self.running[send.item.item_id]
            del self._failed[send.item.item_id]
            self._choice.record_finished(send.state, send.send_id)
        return RunOutcome.FAILED

    def fail(self, item_id: str) -> None:
        """Have a running item fail."""
        self._failed[item_id].set()


class InProcessItemSlots(ItemSlots):
    """Slots of a granter in the same process."""

    def __init__(self, choice: BackendSelector) -> None:
        super().__init__()
        self.granter = SlotGranter(choice, lambda _instance: True)
        self._offers: Counter[Residence] = Counter()
        self._numbers = 0
        for key in (LEADER, GATEWAY):
            self.handle_event(SessionOpened(key, "z"))

    def handle_event(self, event: object) -> None:
        loop = asyncio.get_running_loop()
        for instruction in self.granter.handle(event, loop.time()):
            match instruction:
                case ItemOffered():
                    self._offers[instruction.residence] += 1
                    slot = ItemSlot(0, instruction.number, "s", instruction.instance_id)
                    loop.call_soon(self.on_offer, slot)
                case ItemPreempted():
                    slot = HeldSlot(0, instruction.number)
                    loop.call_soon(self.on_preempted, slot, instruction.cause)

    @property
    def offers(self) -> int:
        """Slots that were offered so far."""
        return self._offers.total()

    def occupy(self, instance_id: str, slots: int) -> None:
        """Have a gateway come that has taken slots long ago."""
        uses = tuple(SlotUse(SlotNumber(n), instance_id) for n in range(slots))
        self.handle_event(SessionOpened(SessionKey(HolderId("g2"), 1), "z", uses))

    def request_slot(self) -> SlotNumber:
        """Have a gateway ask for a slot."""
        self._numbers += 1
        number = SlotNumber(self._numbers)
        now = asyncio.get_running_loop().time()
        self.handle_event(
            SlotRequested(GATEWAY, number, "s", now + 9.0, now + 9.0, RequestMode.WAIT)
        )
        return number

    def free_slot(self, number: SlotNumber) -> None:
        self.handle_event(SlotReleased(GATEWAY, number))

    def report_demand(
        self, service: str, demand: ItemDemand, residence: Residence = ANYWHERE
    ) -> None:
        self.handle_event(
            ItemsWaiting(
                LEADER,
                service,
                demand.count,
                demand.urgent_count,
                demand.first_urgency,
                demand.excluded,
                self._offers[residence],
                residence,
            )
        )

    def report_started(self, slot: ItemSlot, urgency: Urgency) -> None:
        self.handle_event(ItemStarted(LEADER, slot.number, urgency))

    def release(self, slot: HeldSlot, result: RunResult = RunResult.UNKNOWN) -> None:
        self.handle_event(SlotReleased(LEADER, slot.number, result))

    def tick(self) -> None:
        for instruction in self.granter.tick(asyncio.get_running_loop().time()):
            assert isinstance(instruction, ItemPreempted)
            self.on_preempted(HeldSlot(0, instruction.number), instruction.cause)


class FakeLeadership:
    """Stands in for the group's leadership: results count at once."""

    epoch = 1

    def __init__(self) -> None:
        self.jobs: dict[str, SimpleNamespace] = {}
        self.outcomes: list[ItemOutcome] = []

    def append(self, job_id: str, outcome: ItemOutcome) -> bool:
        self.outcomes.append(outcome)
        self.jobs.setdefault(job_id, SimpleNamespace(results=[], complete=False))
        return True


class ExecutionHarness:
    """A job execution before back ends that run items for ever."""

    def __init__(self, servers: int = 1, slots: int = 4, zones: str = "") -> None:
        self.choice = BackendSelector("z", Random(1), Eligibility(TOPOLOGY))
        for n in range(servers):
            zone = zones[n] if zones else "z"
            self.choice.put(BackendInstance(f"i{n}", "s", "127.0.0.1", 1, zone, slots, True))
        self.slots = InProcessItemSlots(self.choice)
        self.runner = FakeItemRunner(self.choice)
        self.leadership = FakeLeadership()
        route = Route(
            "jobs",
            "h",
            "/jobs/",
            RouteKind.BATCH,
            (TrafficShare("s", 1.0),),
            30.0,
            0.4,
            completion_objective_s=OBJECTIVE_S,
        )
        self.configuration = ServingConfiguration(1, (route,), {"s": ServiceSpec("s", 100)})
        self.group = SimpleNamespace(
            partial_texts=PartialTexts(),
            leadership=self.leadership,
            replicas_behind=0,
            is_confirmed=True,
            wake_sessions=lambda: None,
        )
        self.execution = JobExecution(
            self.group,
            self.runner,
            self.choice,
            lambda: self.configuration,
            self.slots,
            60.0,
            DecisionLog("test"),
            ServingMetrics(),
            PoisonRequests(),
        )
        self.execution.start()

    def restrict_route(self, residence: Residence) -> None:
        """Have a configuration come into force that binds the route."""
        route = replace(self.configuration.routes[0], residence=residence)
        self.configuration = replace(self.configuration, routes=(route,))

    def items_at(self, instance_id: str) -> list[str]:
        """Return the items that run at a back end."""
        running = self.runner.running.items()
        return sorted(item for item, backend in running if backend == instance_id)

    def submit(
        self, job_id: str, items: int, age_s: float = 0.0, residence: Residence = ANYWHERE
    ) -> None:
        self.execution.job_accepted(
            RequestJob(
                job_id=job_id,
                host="h",
                path=f"/jobs/{job_id}",
                accepted_ms=int((time() - age_s) * 1000),
                objective_s=OBJECTIVE_S,
                give_up_after_s=60.0,
                most_attempts=3,
                items=[RequestItem(item_id=f"{job_id}-{n}") for n in range(items)],
                residence=residence_to_message(residence),
            )
        )

    async def settle(self) -> None:
        for _ in range(20):
            await asyncio.sleep(job_execution.MIN_DEMAND_INTERVAL_S / 5)


def run_scenario(
    scenario: Callable[[ExecutionHarness], Awaitable[None]], **more: int | str
) -> None:
    async def run() -> None:
        bench = ExecutionHarness(**more)
        await bench.settle()
        await scenario(bench)
        bench.execution.stop()
        await asyncio.sleep(0)

    asyncio.run(run())


def test_items_use_every_free_slot() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 9)
        await bench.settle()
        assert len(bench.runner.running) == 4

    run_scenario(scenario)


def test_one_online_request_preempts_one_item_at_once() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 9)
        await bench.settle()
        bench.slots.request_slot()
        await bench.settle()
        assert len(bench.runner.running) == 3

    run_scenario(scenario)


def test_the_item_with_the_most_time_left_is_preempted() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("old", 2, age_s=5.0)
        bench.submit("new", 2)
        await bench.settle()
        assert len(bench.runner.running) == 4
        bench.slots.request_slot()
        bench.slots.request_slot()
        await bench.settle()
        assert sorted(bench.runner.running) == ["old-0", "old-1"]

    run_scenario(scenario)


def test_items_leave_headroom_for_the_recent_online_rate() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        for _ in range(round(2 * 1.5 / RESTART_COST_S)):
            bench.slots.free_slot(bench.slots.request_slot())
        bench.slots.request_slot()
        bench.submit("j", 9)
        await bench.settle()
        assert len(bench.runner.running) == 1

    run_scenario(scenario)


def test_items_are_preempted_on_overcommitted_backends() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 9)
        await bench.settle()
        bench.slots.occupy("i0", 2)
        bench.slots.tick()
        await bench.settle()
        assert len(bench.runner.running) == 2

    run_scenario(scenario)


def test_an_overdue_item_is_preempted_before_one_that_can_meet_its_objective() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("overdue", 2, age_s=OBJECTIVE_S + 5)
        bench.submit("new", 2)
        await bench.settle()
        assert len(bench.runner.running) == 4
        bench.slots.request_slot()
        await bench.settle()
        assert sum(item.startswith("new") for item in bench.runner.running) == 2

    run_scenario(scenario)


def test_jobs_that_can_meet_their_objective_start_before_an_overdue_one() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.slots.occupy("i0", 2)
        bench.submit("overdue", 4, age_s=OBJECTIVE_S + 5)
        bench.submit("new", 4)
        await bench.settle()
        assert sorted(bench.runner.running) == ["new-0", "new-1"]

    run_scenario(scenario)


def test_an_item_preempted_before_its_task_starts_is_requeued() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 2)
        while not bench.choice.state("i0").in_flight:
            await asyncio.sleep(0)
        assert not bench.runner.running
        numbers = [bench.slots.request_slot() for _ in range(4)]
        await bench.settle()
        assert bench.choice.state("i0").in_flight == 0
        assert not bench.runner.running
        await asyncio.sleep(job_execution.PREEMPTED_RETRY_DELAY_S * 2)
        for number in numbers:
            bench.slots.free_slot(number)
        await asyncio.sleep(job_execution.DEMAND_INTERVAL_S * 2)
        assert sorted(bench.runner.running) == ["j-0", "j-1"]

    run_scenario(scenario)


def test_an_unused_slot_is_released() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.slots.handle_event(ItemsWaiting(LEADER, "s", 3, 0, Urgency(9.0, 4.0)))
        await bench.settle()
        now = asyncio.get_running_loop().time()
        assert sum(load.in_use for load in bench.slots.granter.snapshot(now).backends) == 0

    run_scenario(scenario)


def test_a_leader_without_confirmed_leadership_starts_nothing() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.group.is_confirmed = False
        bench.submit("j", 4)
        await bench.settle()
        assert not bench.runner.running
        bench.group.is_confirmed = True
        await bench.settle()
        await asyncio.sleep(2 * job_execution.DEMAND_INTERVAL_S)
        assert len(bench.runner.running) == 4

    run_scenario(scenario)


def test_an_offer_in_a_zone_evacuated_meanwhile_is_released() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        take = bench.slots.on_offer

        def take_later(slot: ItemSlot) -> None:
            bench.choice.eligibility.evacuated_zones = frozenset({"z"})
            take(slot)

        bench.slots.on_offer = take_later
        bench.submit("j", 2)
        await bench.settle()
        assert not bench.runner.running
        assert not bench.slots.granter.snapshot(asyncio.get_running_loop().time()).backends
        bench.slots.on_offer = take
        bench.choice.eligibility.evacuated_zones = frozenset()
        async with asyncio.timeout(5.0):
            while len(bench.runner.running) < 2:
                await bench.settle()

    run_scenario(scenario)


def test_a_failed_item_is_retried_on_another_backend() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 1)
        await bench.settle()
        (first,) = bench.runner.running.values()
        bench.runner.fail("j-0")
        await asyncio.sleep(
            job_execution.FAILED_RETRY_DELAY_S + 2 * job_execution.DEMAND_INTERVAL_S
        )
        (second,) = bench.runner.running.values()
        assert first != second

    run_scenario(scenario, servers=2, slots=1)


def test_a_job_cancelled_before_its_items_start_leaves_nothing_in_flight() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 2)
        while not bench.choice.state("i0").in_flight:
            await asyncio.sleep(0)
        bench.execution.job_cancelled("j")
        await bench.settle()
        assert bench.choice.state("i0").in_flight == 0
        assert not bench.runner.running

    run_scenario(scenario)


def test_a_leader_that_loses_leadership_leaves_nothing_in_flight() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("j", 2)
        while not bench.choice.state("i0").in_flight:
            await asyncio.sleep(0)
        bench.execution.stop()
        await bench.settle()
        assert bench.choice.state("i0").in_flight == 0

    run_scenario(scenario)


def test_failures_under_earlier_leaders_count_towards_the_attempt_limit() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        known = bench.group.partial_texts.of("j", "j-0")
        known.failed_at += ["i0", "i1", "i2"]
        bench.submit("j", 1)
        await bench.settle()
        bench.runner.fail("j-0")
        await bench.settle()
        assert [outcome.succeeded for outcome in bench.leadership.outcomes] == [False]

    run_scenario(scenario, servers=4)


def test_items_run_only_in_the_residence_their_job_was_accepted_with() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("a", 6, residence=residence_in(["west"]))
        await bench.settle()
        assert bench.items_at("i0") == ["a-0", "a-1"]
        assert bench.items_at("i1") == []

    run_scenario(scenario, servers=2, slots=2, zones="we")


def test_items_run_only_in_the_current_residence_of_their_route() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.restrict_route(residence_in(["west"]))
        bench.submit("a", 6)
        await bench.settle()
        assert bench.items_at("i0") == ["a-0", "a-1"]
        assert bench.items_at("i1") == []

    run_scenario(scenario, servers=2, slots=2, zones="we")


def test_an_item_with_an_empty_residence_waits_without_using_slots() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("a", 6, residence=residence_in(["west"]))
        bench.restrict_route(residence_in(["east"]))
        bench.submit("b", 6)
        await bench.settle()
        assert bench.items_at("i0") == []
        assert bench.items_at("i1") == ["b-0", "b-1"]

    run_scenario(scenario, servers=2, slots=2, zones="we")


def test_jobs_of_several_residences_share_the_back_ends() -> None:
    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("w", 9, age_s=2.0, residence=residence_in(["west"]))
        bench.submit("e", 1, age_s=1.0, residence=residence_in(["east"]))
        bench.submit("any", 9)
        await bench.settle()
        assert bench.items_at("i0") == ["w-0", "w-1"]
        assert bench.items_at("i1") == ["any-0", "e-0"]

    run_scenario(scenario, servers=2, slots=2, zones="we")


def test_an_offer_outside_the_residence_is_released_and_not_repeated() -> None:
    """The configuration binds the route after its items were told to wait for any slot."""

    async def scenario(bench: ExecutionHarness) -> None:
        bench.submit("a", 2)
        bench.restrict_route(residence_in(["west"]))
        await bench.settle()
        assert bench.items_at("i1") == []
        offers = bench.slots.offers
        await asyncio.sleep(3 * job_execution.DEMAND_INTERVAL_S)
        assert bench.slots.offers == offers

    run_scenario(scenario, servers=2, slots=2, zones="we")


def test_a_new_leader_starts_the_most_advanced_items_first() -> None:
    """After a loss of power items far on were thought to need the whole time, and left first."""

    async def scenario(bench: ExecutionHarness) -> None:
        bench.execution.stop()
        lines = "\n".join(["x"] * 100).encode()
        results = [ItemOutcome(item_id=f"d-{n}", succeeded=True, text=lines) for n in range(2)]
        job = RequestJob(job_id="d", host="h", path="/jobs/d", objective_s=OBJECTIVE_S)
        bench.leadership.jobs["d"] = SimpleNamespace(
            job=job, results=results, ended=False, complete=True
        )
        for number in range(91):
            bench.group.partial_texts.of("j", "j-7").add(number, "x")
        told: list[Urgency] = []
        bench.slots.report_started = lambda slot, urgency: told.append(urgency)
        bench.execution.start()
        bench.submit("j", 8)
        await bench.settle()
        assert "j-7" in bench.runner.running
        # Planned 0.4 of the objective: all of it, and the 39 of 130 events that are left.
        assert sorted({round(one.remaining_s, 1) for one in told}) == [2.4, 8.0]

    run_scenario(scenario)
