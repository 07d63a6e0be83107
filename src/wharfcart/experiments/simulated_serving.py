"""Online and batch on emulated engines in virtual time, under the real router and gates.

The engines are :class:`wharfcart.emulator.engine_core.EngineCore`; routing, admission and yielding
are the cores that nodes run. Baselines differ only in what replaces those cores, and run on the
same arrivals in the same run.
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
ONE_WAY_S = 0.001
REFILL_S = 0.01
BATCH_SLOTS = 48
ONLINE_SLOTS = 96
ORACLE_MARGIN_S = 0.03
TARGET = "model"


class Mode(StrEnum):
    """What decides about routing and batch."""

    ONLINE_ALONE = "online_alone"
    WHARFCART = "wharfcart"
    RANDOM = "random_no_yielding"
    PRIORITIES = "engine_priorities_alone"
    ORACLE = "oracle"


@dataclass(frozen=True)
class Arrival:
    """One online request."""

    at: float
    tenant: str
    prompt: str


@dataclass(frozen=True)
class Workload:
    """What arrives: the same for every mode."""

    arrivals: list[Arrival]
    heaps: list[tuple[float, int]]  # time, items
    batch_prompt_words: int
    seconds: float
    warm_up: float


@dataclass
class Outcome:
    """What one mode gave."""

    mode: Mode
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 120 * MICROSECONDS, 3)
    )
    first_token_by_tenant: dict[str, HdrHistogram] = field(default_factory=dict)
    items_completed: int = 0
    items_arrived: int = 0
    online_completed: int = 0
    online_refused: int = 0
    batch_stopped: int = 0
    prompt_tokens: int = 0
    hit_tokens: int = 0
    timeline: list[tuple[float, int, int]] = field(default_factory=list)  # at, online, batch


@dataclass
class _Engine:
    name: str
    core: EngineCore
    gate: BackendGate
    stepping: bool = False
    stopped: deque[str] = field(default_factory=deque)
    last_token_at: dict[str, float] = field(default_factory=dict)


class SimulatedServing:
    """One run of one mode."""

    def __init__(
        self,
        mode: Mode,
        workload: Workload,
        engines: int,
        policy: PreemptionPolicy,
        seed: int,
        slow_engine: float = 1.0,
    ) -> None:
        self.mode = mode
        self.workload = workload
        self.random = random.Random(seed)
        self.now = 0.0
        self.outcome = Outcome(mode)
        self._policy = policy
        self._slow = slow_engine
        self._router = Router("zone", self.random)
        self._engines = [self._engine(number) for number in range(engines)]
        self._by_name = {engine.name: engine for engine in self._engines}
        self._queue = 0
        self._batch_number = 0
        self._online: dict[str, Arrival] = {}
        self._online_at: dict[str, float] = {}
        self._next_online_at = deque(arrival.at for arrival in workload.arrivals)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def _engine(self, number: int) -> _Engine:
        name = f"engine-{number}"
        backend = Backend(name, BackendKind.ENGINE, "", "zone", frozenset({TARGET}))
        self._router.put_backend(backend, 0.0)
        gate = BackendGate(name, GateCapacity(ONLINE_SLOTS, BATCH_SLOTS), self._policy)
        free = self.mode is Mode.ORACLE
        return _Engine(name, EngineCore(EngineModel(keeps_kv_cache=free)), gate)

    def run(self) -> Outcome:
        """Run the workload."""
        for number, arrival in enumerate(self.workload.arrivals):
            self._later(arrival.at, lambda n=number, a=arrival: self._arrive(n, a))  # type: ignore[misc]
        if self.mode is not Mode.ONLINE_ALONE:
            for at, items in self.workload.heaps:
                self._later(at, lambda count=items: self._heap(count))  # type: ignore[misc]
            self._later(0.0, self._refill)
        self._later(0.0, self._observe)
        while self._events and self._events[0][0] <= self.workload.seconds:
            self.now, _, work = heapq.heappop(self._events)
            work()
        for engine in self._engines:
            self.outcome.prompt_tokens += engine.core.prompt_tokens
            self.outcome.hit_tokens += engine.core.hit_tokens
            self.outcome.batch_stopped += engine.gate.preempted_count
        return self.outcome

    def _later(self, at: float, work: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, work))

    def _observe(self) -> None:
        online = sum(len(engine.gate.online) for engine in self._engines)
        batch = sum(len(engine.gate.batch) for engine in self._engines)
        self.outcome.timeline.append((self.now, online, batch))
        self._later(self.now + 0.1, self._observe)

    # ---- online ----

    def _arrive(self, number: int, arrival: Arrival) -> None:
        engine = self._choose(arrival)
        request_id = f"online-{number}"
        if engine is None or not engine.gate.admit_online(request_id, self.now):
            self.outcome.online_refused += 1
            return
        self._router.record_started(engine.name)
        self._online[request_id] = arrival
        if self.mode in (Mode.WHARFCART, Mode.ORACLE):
            for batch_id in engine.gate.preempt_batch():
                self._later(self.now + ONE_WAY_S, lambda b=batch_id: self._stop(engine, b))  # type: ignore[misc]
        request = EngineRequest(
            request_id, TARGET, arrival.prompt, f"{arrival.prompt[-20:]}{number}", 48, 0
        )
        self._later(self.now + 2 * ONE_WAY_S, lambda: self._submit(engine, request))

    def _choose(self, arrival: Arrival) -> _Engine | None:
        if self.mode is Mode.RANDOM:
            return self.random.choice(self._engines)
        key = f"{arrival.tenant}/template"
        backend = self._router.choose(TARGET, key, self.now, arrival.prompt[:40])
        return None if backend is None else self._by_name[backend.backend_id]

    def _stop(self, engine: _Engine, batch_id: str) -> None:
        if engine.core.cancel(batch_id):
            engine.gate.finish_batch(batch_id)
            engine.stopped.append(batch_id)

    # ---- batch ----

    def _heap(self, items: int) -> None:
        self._queue += items
        self.outcome.items_arrived += items

    def _refill(self) -> None:
        for engine in self._engines:
            for _ in range(self._slots(engine)):
                if not self._start_batch(engine):
                    break
        self._later(self.now + REFILL_S, self._refill)

    def _slots(self, engine: _Engine) -> int:
        free = max(0, BATCH_SLOTS - len(engine.gate.batch))
        if self.mode in (Mode.RANDOM, Mode.PRIORITIES):
            return free
        if self.mode is Mode.ORACLE and not engine.gate.online:
            # It knows when the next online request comes, and starts no prompt just before it.
            return 0 if self._next_arrival() - self.now < ORACLE_MARGIN_S else free
        return engine.gate.available_batch_slots(self.now)

    def _next_arrival(self) -> float:
        while self._next_online_at and self._next_online_at[0] <= self.now:
            self._next_online_at.popleft()
        return self._next_online_at[0] if self._next_online_at else float("inf")

    def _start_batch(self, engine: _Engine) -> bool:
        if engine.stopped:
            batch_id = engine.stopped.popleft()
            engine.gate.start_batch(batch_id, self.now)
            engine.core.resume(batch_id)
            self._wake(engine)
            return True
        if self._queue == 0:
            return False
        self._queue -= 1
        self._batch_number += 1
        batch_id = f"batch-{self._batch_number}"
        words = " ".join(f"note{n}" for n in range(self.workload.batch_prompt_words))
        prompt = f"{words} {batch_id}"
        priority = 0 if self.mode is Mode.RANDOM else BATCH_PRIORITY
        request = EngineRequest(batch_id, TARGET, prompt, batch_id, 48, priority)
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
            self._step(engine)

    def _step(self, engine: _Engine) -> None:
        step = engine.core.begin_step()
        slow = self._slow if engine is self._engines[0] else 1.0
        self._later(self.now + step.seconds * slow, lambda: self._stepped(engine, step))

    def _stepped(self, engine: _Engine, step: StepResult) -> None:
        engine.core.finish_step(step, self.now)
        for request in step.token_receivers:
            if request.state in (StreamState.RUNNING, StreamState.FINISHED):
                self._gained(engine, request)
        engine.stepping = False
        self._wake(engine)

    def _gained(self, engine: _Engine, request: EngineRequest) -> None:
        online = request.request_id in self._online
        if online:
            self._online_token(engine, request)
        if request.state is StreamState.FINISHED:
            if online:
                self._online_ended(engine, request)
            else:
                engine.gate.finish_batch(request.request_id)
                if self.now >= self.workload.warm_up:
                    self.outcome.items_completed += 1
            engine.core.requests.pop(request.request_id, None)

    def _online_token(self, engine: _Engine, request: EngineRequest) -> None:
        request_id = request.request_id
        last = engine.last_token_at.get(request_id)
        engine.last_token_at[request_id] = self.now
        if last is not None:
            engine.gate.record_token_time(self.now - last)
            return
        engine.gate.record_first_token(request_id, self.now)
        arrival = self._online[request_id]
        self._online_at[request_id] = self.now + 2 * ONE_WAY_S - arrival.at
        if arrival.at >= self.workload.warm_up:
            elapsed = int(self._online_at[request_id] * MICROSECONDS)
            self.outcome.first_token.record_value(elapsed)
            mine = self.outcome.first_token_by_tenant.setdefault(
                arrival.tenant, HdrHistogram(1, 120 * MICROSECONDS, 3)
            )
            mine.record_value(elapsed)

    def _online_ended(self, engine: _Engine, request: EngineRequest) -> None:
        request_id = request.request_id
        engine.gate.finish_online(request_id, self.now)
        engine.last_token_at.pop(request_id, None)
        self._router.record_owner_load(engine.name, len(engine.gate.online), self.now)
        self._router.record_finished(engine.name, self.now, self._online_at.pop(request_id), False)
        del self._online[request_id]
        self.outcome.online_completed += 1
