"""Fleet driver: ownership and probes of back ends, and orders to engines."""

import asyncio
import json
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from wharfcart.backends.application_client import ApplicationClient
from wharfcart.backends.engine_client import EngineClient, EngineInventory
from wharfcart.backends.interface import BackendError, EngineCommand, EngineCommandKind
from wharfcart.batch.runner import BatchRunner
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import BackendView, Entry
from wharfcart.cluster.rendezvous import choose_owner
from wharfcart.configuration.schema import PreemptionPolicy
from wharfcart.configuration.services import ServiceIndex
from wharfcart.fleet.reconciler import EngineStatus, FleetReconciler, TargetModel
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.platform.machine_list import ListedMachine
from wharfcart.routing.owner import BackendOwner, OwnedBackend
from wharfcart.routing.router import Backend, BackendKind, Router

OWNERSHIP_CHECK_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 1.0
RECONCILE_INTERVAL_S = 2.0
DRAIN_PERIOD_S = 5.0  # from announcing a drain to replacing the server's base model
DRAIN_TTL_S = 8.0  # the owner removes a drain after this time if its leader has not
DOWN_AFTER_FAILURES = 2

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class BackendStatus:
    """State of a back end as its owner published it.

    Attributes:
        model: name of the loaded base model; '' if none.
        version: version of the base model.
        adapters: names of the loaded adapters.
        loading: whether the back end is loading a model.
        down: whether the back end fails its probes.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    loading: bool = False
    down: bool = False

    def targets(self) -> frozenset[str]:
        """Return the models and adapters that requests may use."""
        if self.loading or self.down:
            return frozenset()
        return frozenset({self.model, *self.adapters} - {""})


@dataclass
class _KnownBackend:
    machine: ListedMachine | None = None
    status: BackendStatus | None = None
    drain_until: float | None = None  # wall-clock time in seconds


@dataclass
class _RunningBackend:
    runner: BatchRunner
    task: asyncio.Task[None]
    failures: int = 0
    last_probe_at: float = 0.0
    stopping: asyncio.Task[None] | None = field(default=None)


@dataclass(frozen=True)
class FleetContext:
    """Dependencies of the fleet driver.

    Attributes:
        zone: zone of this node.
        node_id: id of this node.
        live_in_zone: returns the ids of live nodes that may own back ends of a zone.
        services: index of the configured services.
        router: routes requests to back ends.
        owner: runs requests on owned back ends.
        session: HTTP client session.
        make_runner: creates the batch runner of an owned back end.
        publish: sets a directory entry; None deletes it.
        leader_epoch: returns the epoch of shard 0's leader; None unless that is this node.
    """

    zone: str
    node_id: str
    live_in_zone: Callable[[str], list[str]]
    services: ServiceIndex
    router: Router
    owner: BackendOwner
    session: aiohttp.ClientSession
    make_runner: Callable[[OwnedBackend], BatchRunner]
    publish: Callable[[str, bytes | None], None]
    leader_epoch: Callable[[], int | None]


class FleetDriver:
    """Tracks, owns and controls back ends on behalf of one node."""

    def __init__(self, context: FleetContext) -> None:
        self._context = context
        self._known: dict[str, _KnownBackend] = {}
        self._running: dict[str, _RunningBackend] = {}
        self._reconciler: FleetReconciler | None = None
        self._wake = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._stopping = False

    # ---- directory ----

    def directory_changed(self, entries: list[Entry]) -> None:
        """Apply changed entries of the directory."""
        for entry in entries:
            kind, backend_id = entry.key.split("/", 1)
            known = self._known.setdefault(backend_id, _KnownBackend())
            value = None if entry.deleted else json.loads(entry.value)
            if kind == "machine":
                known.machine = ListedMachine(**value) if value is not None else None
            elif kind == "drain":
                known.drain_until = float(value["until"]) if value is not None else None
            else:
                known.status = _parse_status(value)
            self._update_router(backend_id, known)
        self._wake.set()

    def _update_router(self, backend_id: str, known: _KnownBackend) -> None:
        now = monotonic()
        backend = _to_backend(known)
        if backend is None:
            self._context.router.remove_backend(backend_id)
        else:
            self._context.router.put_backend(backend, now)

    def membership_changed(self) -> None:
        """Trigger a check of ownership."""
        self._wake.set()

    # ---- ownership ----

    async def run(self) -> None:
        """Keep ownership, probes and orders up to date until cancelled."""
        reconciled_at = 0.0
        while True:
            self._wake.clear()
            self._check_ownership()
            self._start_due_probes(monotonic())
            if monotonic() - reconciled_at > RECONCILE_INTERVAL_S:
                reconciled_at = monotonic()
                self._tasks.spawn(self._reconcile())
            try:
                async with asyncio.timeout(OWNERSHIP_CHECK_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _check_ownership(self) -> None:
        owned_ids: set[str] = set()
        for backend_id, backend in self._context.router.backends.items():
            nodes = self._context.live_in_zone(backend.zone)
            if choose_owner(backend_id, nodes) == self._context.node_id and not self._stopping:
                owned_ids.add(backend_id)
                self._acquire(backend)
        for backend_id in list(self._running):
            if backend_id not in owned_ids:
                self._release(backend_id)

    def _acquire(self, backend: Backend) -> None:
        self._remove_expired_drain(backend.backend_id)
        owned = self._context.owner.adopt(backend, self._policy(backend))
        running = self._running.get(backend.backend_id)
        if running is not None and running.runner.owned is not owned:
            self._release(backend.backend_id)
            running = None
        if running is not None and running.task.done():
            logger.error("batch runner exited unexpectedly", exc_info=running.task.exception())
            del self._running[backend.backend_id]
            running = None
        if running is None:
            runner = self._context.make_runner(owned)
            task = asyncio.get_running_loop().create_task(runner.run())
            self._running[backend.backend_id] = _RunningBackend(runner, task)
        elif backend.draining and running.stopping is None:
            running.stopping = asyncio.get_running_loop().create_task(running.runner.stop())
        elif not backend.draining and running.stopping is not None and running.stopping.done():
            self._release(backend.backend_id)

    def _remove_expired_drain(self, backend_id: str) -> None:
        # The owner does this, because the leader that started the drain may have failed.
        known = self._known.get(backend_id)
        if known is not None and known.drain_until is not None and time.time() > known.drain_until:
            self._context.publish(f"drain/{backend_id}", None)

    def _policy(self, backend: Backend) -> PreemptionPolicy:
        """Return the strictest policy among the templates that the back end serves."""
        policies = {
            template.yielding
            for template in self._context.services.templates.values()
            if backend.targets & {template.adapter, template.model, template.application}
        }
        only_throughput = policies == {PreemptionPolicy.THROUGHPUT}
        return PreemptionPolicy.THROUGHPUT if only_throughput else PreemptionPolicy.TAIL

    def _release(self, backend_id: str) -> None:
        running = self._running.pop(backend_id)
        self._context.owner.release(backend_id)
        self._tasks.spawn(self._stop_runner(running))

    async def _stop_runner(self, running: _RunningBackend) -> None:
        if running.stopping is None:
            await running.runner.stop()
        else:
            await running.stopping
        running.task.cancel()

    async def release_all(self) -> None:
        """Release all back ends after their running requests have completed."""
        self._stopping = True
        await asyncio.gather(*(self._stop_runner(running) for running in self._running.values()))
        self._running.clear()

    def revoke(self, lease_ids: list[str]) -> None:
        """Revoke leases of the runners on behalf of a leader."""
        for running in self._running.values():
            running.runner.revoke(lease_ids)

    def backend_views(self) -> list[BackendView]:
        """Return the state of the owned back ends for operators."""
        return [
            BackendView(
                backend_id=backend_id,
                online_in_flight=len(owned.gate.online),
                batch_in_flight=len(owned.gate.batch),
                state=owned.gate.state.value,
                completed=owned.completed,
                batch_cancelled=owned.gate.preempted_count,
            )
            for backend_id, owned in self._context.owner.backends.items()
        ]

    # ---- probes ----

    def _start_due_probes(self, now: float) -> None:
        for backend_id, running in self._running.items():
            if now - running.last_probe_at >= PROBE_INTERVAL_S:
                running.last_probe_at = now
                self._tasks.spawn(self._probe(backend_id, running))

    async def _probe(self, backend_id: str, running: _RunningBackend) -> None:
        known = self._known.get(backend_id)
        if known is None or known.machine is None:
            return
        status = await self._query_status(known.machine)
        if status is None:
            running.failures += 1
            if running.failures < DOWN_AFTER_FAILURES:
                return
            status = BackendStatus(down=True)
        else:
            running.failures = 0
        if status != known.status and backend_id in self._running:
            value = json.dumps(status.__dict__).encode()
            self._context.publish(f"status/{backend_id}", value)

    async def _query_status(self, machine: ListedMachine) -> BackendStatus | None:
        session = self._context.session
        if machine.kind == BackendKind.APPLICATION:
            alive = await ApplicationClient(machine.address, session).is_alive()
            return BackendStatus() if alive else None
        try:
            report: EngineInventory = await EngineClient(machine.address, session).fetch_inventory()
        except BackendError:
            return None
        adapters = tuple(sorted(report.adapters))
        return BackendStatus(report.model, report.version, adapters, report.loading)

    # ---- orders ----

    async def _reconcile(self) -> None:
        epoch = self._context.leader_epoch()
        if epoch is None:
            self._reconciler = None
            return
        if self._reconciler is None or self._reconciler.epoch != epoch:
            self._reconciler = FleetReconciler(epoch)
        models = [
            TargetModel(model.name, model.version, model.least_servers, tuple(model.adapters))
            for model in self._context.services.models.values()
        ]
        now = monotonic()
        for order in self._reconciler.reconcile(models, self._engine_statuses(), now):
            status = self._known[order.backend_id].status
            if order.kind is EngineCommandKind.LOAD_MODEL and status is not None and status.model:
                self._tasks.spawn(self._drain_then_send(order))
            else:
                await self._send_order(order)

    async def _drain_then_send(self, order: EngineCommand) -> None:
        """Drain a server before replacing its base model."""
        value = json.dumps({"until": time.time() + DRAIN_TTL_S}).encode()
        self._context.publish(f"drain/{order.backend_id}", value)
        await asyncio.sleep(DRAIN_PERIOD_S)
        if self._context.leader_epoch() == order.epoch:
            await self._send_order(order)

    async def _send_order(self, order: EngineCommand) -> None:
        machine = self._known[order.backend_id].machine
        if machine is None:
            return
        logger.info("sending an order", extra={"order": str(order)})
        try:
            await EngineClient(machine.address, self._context.session).send_command(order)
        except BackendError as error:
            logger.info("order failed", extra={"cause": str(error)})

    def _engine_statuses(self) -> list[EngineStatus]:
        return [
            EngineStatus(
                backend_id,
                known.machine.zone,
                known.status.model,
                known.status.version,
                frozenset(known.status.adapters),
                known.machine.leaving,
                known.status.loading,
            )
            for backend_id, known in self._known.items()
            if known.machine is not None
            and known.machine.kind == BackendKind.ENGINE
            and known.status is not None
            and not known.status.down
        ]


def _parse_status(value: dict[str, Any] | None) -> BackendStatus | None:
    if value is None:
        return None
    return BackendStatus(**(value | {"adapters": tuple(value["adapters"])}))


def _to_backend(known: _KnownBackend) -> Backend | None:
    machine = known.machine
    if machine is None:
        return None
    kind = BackendKind(machine.kind)
    status = known.status or BackendStatus()
    down = known.status is not None and known.status.down
    targets = (
        frozenset({machine.application}) if kind is BackendKind.APPLICATION else (status.targets())
    )
    return Backend(
        machine.machine_id,
        kind,
        machine.address,
        machine.zone,
        frozenset() if down else targets,
        machine.leaving or known.drain_until is not None,
    )
