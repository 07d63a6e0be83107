"""Online and batch requests on emulated engines in virtual time.

The engines are :class:`wharfcart.emulator.engine_core.EngineCore`; routing, admission and
preemption run the same code as nodes. Baselines replace parts of it and run on the same arrivals.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from wharfcart.admission.backend_gate import BackendGate, GateCapacity
from wharfcart.configuration.schema import PreemptionPolicy
from wharfcart.emulator.engine_core import (
    EngineCore,
    EngineModel,
    EngineRequest,
    StepResult,
    StreamState,
)
from wharfcart.routing.router import Backend, BackendKind, Router

MICROSECONDS = 1_000_000
BATCH_PRIORITY = 100
ONE_WAY_DELAY_S = 0.001
REFILL_INTERVAL_S = 0.01
BATCH_SLOTS = 48
ONLINE_SLOTS = 96
ORACLE_MARGIN_S = 0.03
MODEL_NAME = "model"


class ServingMode(StrEnum):
    """What decides about routing and batch items: the product or a baseline."""

    ONLINE_ONLY = "online_alone"
    WHARFCART = "wharfcart"
    RANDOM = "random_no_yielding"
    ENGINE_PRIORITIES = "engine_priorities_alone"
    ORACLE = "oracle"


@dataclass(frozen=True)
class OnlineArrival:
    """Arrival of one online request."""

    arrived_at: float
    tenant: str
    prompt: str


@dataclass(frozen=True)
class ServingWorkload:
    """Arrivals of a run, the same for every mode."""

    arrivals: list[OnlineArrival]
    batch_jobs: list[tuple[float, int]]  # time, items
    batch_prompt_words: int
    duration_s: float
    warm_up_s: float


@dataclass
class ServingResult:
    """Result of a mode; histograms are in microseconds."""

    mode: ServingMode
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 120 * MICROSECONDS, 3)
    )
    first_token_by_tenant: dict[str, HdrHistogram] = field(default_factory=dict)
    items_completed: int = 0
    items_arrived: int = 0
    online_completed: int = 0
    online_refused: int = 0
    batch_preempted: int = 0
    prompt_tokens: int = 0
    hit_tokens: int = 0
    timeline: list[tuple[float, int, int]] = field(default_factory=list)  # at, online, batch


@dataclass
class _Engine:
    name: str
    core: EngineCore
    gate: BackendGate
    stepping: bool = False
    preempted_ids: deque[str] = field(default_factory=deque)
    last_token_at: dict[str, float] = field(default_factory=dict)


class SimulatedServing:
    """One run of a mode."""

    def __init__(
        self,
        mode: ServingMode,
        workload: ServingWorkload,
        engines: int,
        policy: PreemptionPolicy,
        seed: int,
        slow_factor: float = 1.0,
    ) -> None:
        self.mode = mode
        self.workload = workload
        self.random = random.Random(seed)
        self.now = 0.0
        self.result = ServingResult(mode)
        self._policy = policy
        self._slow_factor = slow_factor
        self._router = Router("zone", self.random)
        self._engines = [self._make_engine(number) for number in range(engines)]
        self._by_name = {engine.name: engine for engine in self._engines}
        self._queued_items = 0
        self._batch_number = 0
        self._online: dict[str, OnlineArrival] = {}
        self._first_token_s: dict[str, float] = {}
        self._upcoming_arrivals = deque(arrival.arrived_at for arrival in workload.arrivals)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def _make_engine(self, number: int) -> _Engine:
        name = f"engine-{number}"
        backend = Backend(name, BackendKind.ENGINE, "", "zone", frozenset({MODEL_NAME}))
        self._router.put_backend(backend, 0.0)
        gate = BackendGate(name, GateCapacity(ONLINE_SLOTS, BATCH_SLOTS), self._policy)
        free = self.mode is ServingMode.ORACLE
        return _Engine(name, EngineCore(EngineModel(keeps_kv_cache=free)), gate)

    def run(self) -> ServingResult:
        """Run the workload and return the result."""
        for number, arrival in enumerate(self.workload.arrivals):
            self._later(arrival.arrived_at, lambda n=number, a=arrival: self._arrive(n, a))  # type: ignore[misc]
        if self.mode is not ServingMode.ONLINE_ONLY:
            for at, items in self.workload.batch_jobs:
                self._later(at, lambda count=items: self._add_batch_job(count))  # type: ignore[misc]
            self._later(0.0, self._refill)
        self._later(0.0, self._sample_load)
        while self._events and self._events[0][0] <= self.workload.duration_s:
            self.now, _, work = heapq.heappop(self._events)
            work()
        for engine in self._engines:
            self.result.prompt_tokens += engine.core.prompt_tokens
            self.result.hit_tokens += engine.core.hit_tokens
            self.result.batch_preempted += engine.gate.preempted_count
        return self.result

    def _later(self, at: float, work: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, work))

    def _sample_load(self) -> None:
        online = sum(len(engine.gate.online) for engine in self._engines)
        batch = sum(len(engine.gate.batch) for engine in self._engines)
        self.result.timeline.append((self.now, online, batch))
        self._later(self.now + 0.1, self._sample_load)

    # ---- online ----

    def _arrive(self, number: int, arrival: OnlineArrival) -> None:
        engine = self._choose(arrival)
        request_id = f"online-{number}"
        if engine is None or not engine.gate.admit_online(request_id, self.now):
            self.result.online_refused += 1
            return
        self._router.record_started(engine.name)
        self._online[request_id] = arrival
        if self.mode in (ServingMode.WHARFCART, ServingMode.ORACLE):
            for batch_id in engine.gate.preempt_batch():
                self._later(self.now + ONE_WAY_DELAY_S, lambda b=batch_id: self._preempt(engine, b))  # type: ignore[misc]
        request = EngineRequest(
            request_id, MODEL_NAME, arrival.prompt, f"{arrival.prompt[-20:]}{number}", 48, 0
        )
        self._later(self.now + 2 * ONE_WAY_DELAY_S, lambda: self._submit(engine, request))

    def _choose(self, arrival: OnlineArrival) -> _Engine | None:
        if self.mode is ServingMode.RANDOM:
            return self.random.choice(self._engines)
        key = f"{arrival.tenant}/template"
        backend = self._router.choose(MODEL_NAME, key, self.now, arrival.prompt[:40])
        return None if backend is None else self._by_name[backend.backend_id]

    def _preempt(self, engine: _Engine, batch_id: str) -> None:
        if engine.core.cancel(batch_id):
            engine.gate.finish_batch(batch_id)
            engine.preempted_ids.append(batch_id)

    # ---- batch ----

    def _add_batch_job(self, items: int) -> None:
        self._queued_items += items
        self.result.items_arrived += items

    def _refill(self) -> None:
        for engine in self._engines:
            for _ in range(self._free_batch_slots(engine)):
                if not self._start_batch(engine):
                    break
        self._later(self.now + REFILL_INTERVAL_S, self._refill)

    def _free_batch_slots(self, engine: _Engine) -> int:
        free = max(0, BATCH_SLOTS - len(engine.gate.batch))
        if self.mode in (ServingMode.RANDOM, ServingMode.ENGINE_PRIORITIES):
            return free
        if self.mode is ServingMode.ORACLE and not engine.gate.online:
            # The oracle knows the next online arrival and starts no prompt just before it.
            return 0 if self._next_arrival() - self.now < ORACLE_MARGIN_S else free
        return engine.gate.available_batch_slots(self.now)

    def _next_arrival(self) -> float:
        while self._upcoming_arrivals and self._upcoming_arrivals[0] <= self.now:
            self._upcoming_arrivals.popleft()
        return self._upcoming_arrivals[0] if self._upcoming_arrivals else float("inf")

    def _start_batch(self, engine: _Engine) -> bool:
        if engine.preempted_ids:
            batch_id = engine.preempted_ids.popleft()
            engine.gate.start_batch(batch_id, self.now)
            engine.core.resume(batch_id)
            self._wake(engine)
            return True
        if self._queued_items == 0:
            return False
        self._queued_items -= 1
        self._batch_number += 1
        batch_id = f"batch-{self._batch_number}"
        words = " ".join(f"note{n}" for n in range(self.workload.batch_prompt_words))
        prompt = f"{words} {batch_id}"
        priority = 0 if self.mode is ServingMode.RANDOM else BATCH_PRIORITY
        request = EngineRequest(batch_id, MODEL_NAME, prompt, batch_id, 48, priority)
        engine.gate.start_batch(batch_id, self.now)
        self._submit(engine, request)
        return True

    # ---- engines ----

    def _submit(self, engine: _Engine, request: EngineRequest) -> None:
        engine.core.submit(request)
        self._wake(engine)

    def _wake(self, engine: _Engine) -> None:
        if not engine.stepping and engine.core.is_busy:
            engine.stepping = True
            self._begin_step(engine)

    def _begin_step(self, engine: _Engine) -> None:
        step = engine.core.begin_step()
        slow = self._slow_factor if engine is self._engines[0] else 1.0
        self._later(self.now + step.seconds * slow, lambda: self._finish_step(engine, step))

    def _finish_step(self, engine: _Engine, step: StepResult) -> None:
        engine.core.finish_step(step, self.now)
        for request in step.token_receivers:
            if request.state in (StreamState.RUNNING, StreamState.FINISHED):
                self._handle_token(engine, request)
        engine.stepping = False
        self._wake(engine)

    def _handle_token(self, engine: _Engine, request: EngineRequest) -> None:
        online = request.request_id in self._online
        if online:
            self._handle_online_token(engine, request)
        if request.state is StreamState.FINISHED:
            if online:
                self._finish_online(engine, request)
            else:
                engine.gate.finish_batch(request.request_id)
                if self.now >= self.workload.warm_up_s:
                    self.result.items_completed += 1
            engine.core.requests.pop(request.request_id, None)

    def _handle_online_token(self, engine: _Engine, request: EngineRequest) -> None:
        request_id = request.request_id
        last = engine.last_token_at.get(request_id)
        engine.last_token_at[request_id] = self.now
        if last is not None:
            engine.gate.record_token_time(self.now - last)
            return
        engine.gate.record_first_token(request_id, self.now)
        arrival = self._online[request_id]
        self._first_token_s[request_id] = self.now + 2 * ONE_WAY_DELAY_S - arrival.arrived_at
        if arrival.arrived_at >= self.workload.warm_up_s:
            elapsed = int(self._first_token_s[request_id] * MICROSECONDS)
            self.result.first_token.record_value(elapsed)
            mine = self.result.first_token_by_tenant.setdefault(
                arrival.tenant, HdrHistogram(1, 120 * MICROSECONDS, 3)
            )
            mine.record_value(elapsed)

    def _finish_online(self, engine: _Engine, request: EngineRequest) -> None:
        request_id = request.request_id
        engine.gate.finish_online(request_id, self.now)
        engine.last_token_at.pop(request_id, None)
        self._router.record_owner_load(engine.name, len(engine.gate.online), self.now)
        self._router.record_finished(
            engine.name, self.now, self._first_token_s.pop(request_id), False
        )
        del self._online[request_id]
        self.result.online_completed += 1
