"""Which items a leader starts, and which one leaves when an online request needs its slot."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import time
from types import SimpleNamespace

from wharfcart.batch import job_execution
from wharfcart.batch.item_run import ItemSend, RunOutcome
from wharfcart.batch.job_execution import JobExecution
from wharfcart.cluster.messages_pb2 import RequestItem, RequestJob
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import (
    Route,
    RouteKind,
    ServiceSpec,
    ServingConfiguration,
    TrafficShare,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.load_board import NodeLoad
from wharfcart.storage.partial_texts import PartialTexts

OBJECTIVE_S = 20.0


class Runner:
    """Items run until they are cancelled or released."""

    def __init__(self, choice: BackendChoice) -> None:
        self._choice = choice
        self.running: dict[str, str] = {}  # item to back end

    async def run(self, send: ItemSend) -> RunOutcome:
        self.running[send.item.item_id] = send.state.instance.instance_id
        try:
            await asyncio.Event().wait()
        finally:
            del self.running[send.item.item_id]
            self._choice.ended(send.state, send.use)
        return RunOutcome.SUCCEEDED


class Bench:
    """A job execution before back ends that run items for ever."""

    def __init__(self, servers: int = 1, slots: int = 4) -> None:
        self.choice = BackendChoice("z", Random(1))
        for n in range(servers):
            self.choice.put(BackendInstance(f"i{n}", "s", "127.0.0.1", 1, "z", slots, True))
        self.runner = Runner(self.choice)
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
        configuration = ServingConfiguration(1, (route,), {"s": ServiceSpec("s", 100)})
        self.group = SimpleNamespace(
            partial_texts=PartialTexts(),
            leadership=SimpleNamespace(jobs={}, forget=lambda _job: None),
            replicas_behind=0,
            wake_sessions=lambda: None,
        )
        self.execution = JobExecution(
            self.group,
            self.runner,
            self.choice,
            lambda: configuration,
            60.0,
            DecisionLog("test"),
            ServingMetrics(),
        )
        self.group.on_leading()

    def submit(self, job_id: str, items: int, age_s: float = 0.0) -> None:
        self.execution.job_accepted(
            RequestJob(
                job_id=job_id,
                host="h",
                path=f"/jobs/{job_id}",
                accepted_ms=int((time() - age_s) * 1000),
                objective_s=OBJECTIVE_S,
                give_up_after_s=60.0,
                items=[RequestItem(item_id=f"{job_id}-{n}") for n in range(items)],
            )
        )

    def online(self, in_flight: int, rate: float = 0.0) -> None:
        now = asyncio.get_running_loop().time()
        self.choice.others_reported({"i0": NodeLoad("i0", in_flight, 0)}, now, 60.0, {"s": rate})
        self.execution.slots_changed()

    async def settle(self) -> None:
        for _ in range(20):
            await asyncio.sleep(job_execution.FEWEST_PERIOD_S / 5)


def play(scenario: Callable[[Bench], Awaitable[None]], **more: int) -> None:
    async def run() -> None:
        bench = Bench(**more)
        await bench.settle()
        await scenario(bench)

    asyncio.run(run())


def test_items_take_every_slot_that_is_free() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("j", 9)
        await bench.settle()
        assert len(bench.runner.running) == 4

    play(scenario)


def test_one_item_leaves_at_once_for_one_online_request() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("j", 9)
        await bench.settle()
        assert bench.execution.make_room("i0")
        bench.online(1)
        await bench.settle()
        assert len(bench.runner.running) == 3

    play(scenario)


def test_the_item_with_the_most_time_left_leaves() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("old", 2, age_s=5.0)
        bench.submit("new", 2)
        await bench.settle()
        assert len(bench.runner.running) == 4
        bench.execution.make_room("i0")
        bench.execution.make_room("i0")
        bench.online(2)
        await bench.settle()
        assert sorted(bench.runner.running) == ["old-0", "old-1"]

    play(scenario)


def test_nothing_starts_in_a_slot_that_online_requests_need_in_a_moment() -> None:
    async def scenario(bench: Bench) -> None:
        rate = 1.5 / job_execution.RESTART_COST_S
        bench.online(1, rate)
        bench.submit("j", 9)
        await bench.settle()
        assert len(bench.runner.running) == 1

    play(scenario)


def test_items_leave_back_ends_that_are_fuller_than_thought() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("j", 9)
        await bench.settle()
        bench.online(2)
        await bench.settle()
        assert len(bench.runner.running) == 2

    play(scenario)


def test_an_overdue_item_leaves_before_one_that_can_still_be_in_time() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("overdue", 2, age_s=OBJECTIVE_S + 5)
        bench.submit("new", 2)
        await bench.settle()
        assert len(bench.runner.running) == 4
        bench.execution.make_room("i0")
        bench.online(1)
        await bench.settle()
        assert sum(item.startswith("new") for item in bench.runner.running) == 2

    play(scenario)


def test_jobs_that_can_still_be_in_time_start_before_an_overdue_one() -> None:
    async def scenario(bench: Bench) -> None:
        bench.online(2)
        bench.submit("overdue", 4, age_s=OBJECTIVE_S + 5)
        bench.submit("new", 4)
        await bench.settle()
        assert sorted(bench.runner.running) == ["new-0", "new-1"]

    play(scenario)


def test_an_item_that_must_leave_before_it_has_begun_is_not_lost() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("j", 2)
        while not bench.choice.state("i0").in_flight:
            await asyncio.sleep(0)
        assert not bench.runner.running
        assert bench.execution.make_room("i0")
        assert bench.execution.make_room("i0")
        await bench.settle()
        assert bench.choice.state("i0").in_flight == 0
        await asyncio.sleep(job_execution.RETRY_YIELDED_S * 2)
        bench.execution.slots_changed()
        await bench.settle()
        assert sorted(bench.runner.running) == ["j-0", "j-1"]

    play(scenario)


def test_a_job_that_ends_before_its_items_have_begun_leaves_nothing_in_flight() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("j", 2)
        while not bench.choice.state("i0").in_flight:
            await asyncio.sleep(0)
        bench.execution.job_ended("j")
        await bench.settle()
        assert bench.choice.state("i0").in_flight == 0
        assert not bench.runner.running

    play(scenario)


def test_a_leader_that_is_deposed_leaves_nothing_in_flight() -> None:
    async def scenario(bench: Bench) -> None:
        bench.submit("j", 2)
        while not bench.choice.state("i0").in_flight:
            await asyncio.sleep(0)
        bench.group.on_deposed()
        await bench.settle()
        assert bench.choice.state("i0").in_flight == 0

    play(scenario)
