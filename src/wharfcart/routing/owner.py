"""Execution of requests on the back ends that this node owns, through their gates."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from dataclasses import dataclass, field

import aiohttp

from wharfcart.admission.backend_gate import BackendGate, BackendState, GateCapacity
from wharfcart.backends.application_client import ApplicationClient
from wharfcart.backends.engine_client import EngineClient
from wharfcart.backends.interface import BackendClient, BackendPart, BackendRequest
from wharfcart.clock import monotonic
from wharfcart.configuration.schema import PreemptionPolicy
from wharfcart.errors import ServingError
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.routing.router import Backend, BackendKind

ENGINE_CAPACITY = GateCapacity(online=96, batch=48)
APPLICATION_CAPACITY = GateCapacity(online=256, batch=16)
RETRY_AFTER_S = 1.0
MAX_CANCEL_ATTEMPTS = 8
CANCEL_RETRY_DELAY_S = 0.01

logger = logging.getLogger(__name__)


class BatchPreemptedError(Exception):
    """A batch request was preempted; the engine keeps its tokens for a resume."""


@dataclass
class OwnedBackend:
    """One back end with its gate, its client and its running batch tasks."""

    backend: Backend
    gate: BackendGate
    client: BackendClient
    batch_tasks: dict[str, "asyncio.Task[BackendPart]"] = field(default_factory=dict)
    completed: int = 0
    capacity_changed: asyncio.Event = field(default_factory=asyncio.Event)


class BackendOwner:
    """The back ends that this node owns, or serves temporarily for another owner."""

    def __init__(
        self, session: aiohttp.ClientSession, on_batch_preempted: Callable[[], None] = lambda: None
    ) -> None:
        self._session = session
        self._on_batch_preempted = on_batch_preempted
        self.backends: dict[str, OwnedBackend] = {}
        self._tasks = BackgroundTasks()

    # ---- ownership ----

    def adopt(self, backend: Backend, policy: PreemptionPolicy) -> OwnedBackend:
        """Return the owned back end with its newest description; create it if necessary."""
        owned = self.backends.get(backend.backend_id)
        if owned is None or owned.backend.address != backend.address:
            owned = self._create(backend, policy)
            self.backends[backend.backend_id] = owned
        owned.backend = backend
        owned.gate.policy = policy
        owned.gate.state = BackendState.DRAINING if backend.draining else BackendState.LIVE
        return owned

    def create_temporary(self, backend: Backend) -> OwnedBackend:
        """Return a back end whose owner is unresponsive, for one request, without adopting it."""
        return self._create(backend, PreemptionPolicy.TAIL)

    def _create(self, backend: Backend, policy: PreemptionPolicy) -> OwnedBackend:
        client: BackendClient
        if backend.kind is BackendKind.ENGINE:
            client = EngineClient(backend.address, self._session)
            gate = BackendGate(backend.backend_id, ENGINE_CAPACITY, policy)
        else:
            client = ApplicationClient(backend.address, self._session)
            gate = BackendGate(backend.backend_id, APPLICATION_CAPACITY, policy)
        return OwnedBackend(backend, gate, client)

    def release(self, backend_id: str) -> None:
        """Stop owning a back end; requests in progress may finish."""
        owned = self.backends.pop(backend_id, None)
        if owned is not None:
            owned.gate.state = BackendState.REMOVED

    # ---- online ----

    async def run_online(
        self, owned: OwnedBackend, request: BackendRequest
    ) -> AsyncGenerator[BackendPart, None]:
        """Run an online request at once, after preempting batch requests for it.

        Raises:
            ServingError: ``overloaded`` (``not_run``) if the back end is full or draining; also any
                error of the client.
        """
        gate = owned.gate
        if not gate.admit_online(request.request_id, monotonic()):
            raise ServingError(
                "overloaded", "the back end takes no more", 503, retry_after_seconds=RETRY_AFTER_S
            )
        self._preempt_batch(owned)
        finished = False
        last_part_at = 0.0
        try:
            async with aclosing(owned.client.send(request)) as parts:
                async for part in parts:
                    now = monotonic()
                    if last_part_at == 0.0:
                        gate.record_first_token(request.request_id, now)
                    elif not part.is_last:
                        gate.record_token_time(now - last_part_at)
                    last_part_at = now
                    finished = part.is_last
                    yield part
            owned.completed += 1
        finally:
            gate.finish_online(request.request_id, monotonic())
            owned.capacity_changed.set()
            if not finished:
                # The caller disconnected or the deadline passed: free the engine at once.
                await asyncio.shield(owned.client.cancel(request.request_id))

    def _preempt_batch(self, owned: OwnedBackend) -> None:
        if owned.backend.kind is not BackendKind.ENGINE:
            return  # application calls are short, and stopping one makes its outcome unknown
        for request_id in owned.gate.preempt_batch():
            self._on_batch_preempted()
            self._tasks.spawn(self._cancel_batch(owned, request_id))

    async def _cancel_batch(self, owned: OwnedBackend, request_id: str) -> None:
        """Cancel a batch request at the engine, whose answer then reports the cancellation.

        The cancellation may overtake the request itself, so it is repeated while the request runs.
        """
        task = owned.batch_tasks.get(request_id)
        for attempt in range(1, MAX_CANCEL_ATTEMPTS + 1):
            if task is None or task.done() or await owned.client.cancel(request_id):
                return
            await asyncio.sleep(CANCEL_RETRY_DELAY_S * attempt)
        if task is not None:
            task.cancel()

    # ---- batch ----

    async def run_batch(self, owned: OwnedBackend, request: BackendRequest) -> BackendPart:
        """Run a batch request in a slot that the gate has granted.

        Raises:
            BatchPreemptedError: Online requests needed the capacity.
            ServingError: The request failed.
        """
        loop = asyncio.get_running_loop()
        owned.gate.start_batch(request.request_id, monotonic())
        task = loop.create_task(self._collect(owned, request))
        owned.batch_tasks[request.request_id] = task
        task.add_done_callback(_consume_exception)
        try:
            return await asyncio.shield(task)
        except ServingError:
            if owned.gate.is_preempted(request.request_id):
                raise BatchPreemptedError from None
            raise
        except asyncio.CancelledError:
            if task.cancelled():
                raise BatchPreemptedError from None
            await asyncio.shield(self._cancel_batch(owned, request.request_id))
            raise
        finally:
            owned.gate.finish_batch(request.request_id)
            owned.batch_tasks.pop(request.request_id, None)
            owned.completed += 1
            owned.capacity_changed.set()

    async def _collect(self, owned: OwnedBackend, request: BackendRequest) -> BackendPart:
        parts = [part async for part in owned.client.send(request)]
        return parts[-1]


def _consume_exception(task: "asyncio.Task[BackendPart]") -> None:
    """Retrieve the exception of a task that may not be awaited, so that asyncio logs nothing."""
    if not task.cancelled():
        task.exception()
