"""Simulated storage nodes, disks, network and coordination service, in virtual time.

Used by :mod:`wharfcart.experiments.job_group_simulation`.
"""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar, cast

from wharfcart.batch.job_execution import JobExecution
from wharfcart.batch.job_service import JobGroupService, OtherGroups
from wharfcart.cluster.address import Address
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationService,
    CoordinationUnavailableError,
    KeyChange,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import (
    Frame,
    JobUpdate,
    PartialText,
)
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.topology import RegionName
from wharfcart.cluster.transport import Transport
from wharfcart.experiments.simulated_network import Connection, SimulatedTransport
from wharfcart.observability.decisions import DecisionLog
from wharfcart.storage.disk import Disk, DiskFailedError
from wharfcart.storage.group_context import GroupContext
from wharfcart.storage.job_client import JobClient
from wharfcart.storage.job_database import AppliedUpdates, JobDatabase
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.layout import Layout, layout_from_bytes
from wharfcart.storage.layout_bootstrap import LayoutBootstrap
from wharfcart.storage.partial_texts import ItemKey
from wharfcart.storage.replica_placement import ReplicaPlacement
from wharfcart.storage.replicated_job import JobState, ReplicatedJob

if TYPE_CHECKING:
    from wharfcart.experiments.job_group_simulation import JobGroupSimulation

GROUP_KEY = "wharfcart/groups/0"
LAYOUT_KEY = "wharfcart/layout"
RETIRE_PREFIX = "retire/"
COPIES = 2

Answer = TypeVar("Answer")


@dataclass
class _DiskCall:
    """A call of the simulated disk that waits or runs."""

    work: Callable[[], Any]
    writes: bool
    answer: asyncio.Future[Any]


@dataclass
class SimulatedDisk:
    """A disk with delays and failures; its content outlives the process of its node.

    Like :class:`Disk` it runs one call after the other. A call whose caller is cancelled takes
    effect if it has begun, and is skipped otherwise.
    """

    random: random.Random
    database: JobDatabase
    full: bool = False
    delay_s: float = 0.002
    _waiting: deque[_DiskCall] = field(default_factory=deque)
    _running: _DiskCall | None = None
    _writer: asyncio.Task[None] | None = None

    async def promised_epoch(self, group: int) -> int:
        """Return the promised epoch."""
        return await self._run_on_writer(lambda: self.database.promised_epoch(group))

    async def promise_epoch(self, group: int, epoch: int) -> bool:
        """Promise an epoch."""
        return await self._run_on_writer(
            lambda: self.database.promise_epoch(group, epoch), writes=True
        )

    async def save_partial_texts(
        self, group: int, parts: Sequence[PartialText], finished_items: Collection[ItemKey]
    ) -> list[ItemKey]:
        """Save events of items that still run."""
        return await self._run_on_writer(
            lambda: self.database.save_partial_texts(group, parts, finished_items), writes=True
        )

    async def load_partial_texts(self, group: int) -> list[PartialText]:
        """Return the events of items of open jobs."""
        return await self._run_on_writer(lambda: self.database.load_partial_texts(group))

    async def job_states(self, group: int) -> list[JobState]:
        """Return the states of the group's jobs."""
        return await self._run_on_writer(lambda: self.database.job_states(group))

    async def apply_updates(
        self, group: int, epoch: int, updates: Sequence[JobUpdate]
    ) -> AppliedUpdates | None:
        """Apply job updates."""
        return await self._run_on_writer(
            lambda: self.database.apply_updates(group, epoch, updates), writes=True
        )

    async def load_jobs(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return the records of jobs."""
        return await self._run_on_writer(lambda: self.database.load_jobs(job_ids))

    def end_calls(self) -> None:
        """End with the node's process; the running call may have taken effect."""
        if self._writer is not None:
            self._writer.cancel()
            self._writer = None
        running, self._running = self._running, None
        waiting = list(self._waiting)
        self._waiting.clear()
        if running is not None:
            if self.random.random() < 0.5 and not (running.writes and self.full):
                running.work()
            waiting.append(running)
        for call in waiting:
            if not call.answer.done():
                call.answer.set_exception(DiskFailedError("simulated"))

    async def _run_on_writer(self, work: Callable[[], Answer], writes: bool = False) -> Answer:
        call = _DiskCall(work, writes, asyncio.get_running_loop().create_future())
        if self._running is None:
            self._running = call
            self._writer = asyncio.create_task(self._run_calls())
        else:
            self._waiting.append(call)
        return cast(Answer, await call.answer)

    async def _run_calls(self) -> None:
        while self._running is not None:
            await asyncio.sleep(self.delay_s * self.random.uniform(0.5, 2.0))
            call, self._running = self._running, self._next_call()
            self._finish(call)

    def _next_call(self) -> _DiskCall | None:
        while self._waiting:
            call = self._waiting.popleft()
            if not call.answer.cancelled():
                return call
        return None

    def _finish(self, call: _DiskCall) -> None:
        try:
            if call.writes and self.full:
                raise DiskFailedError("simulated")
            result = call.work()
        except DiskFailedError as error:
            if not call.answer.done():
                call.answer.set_exception(error)
            return
        if not call.answer.done():
            call.answer.set_result(result)


@dataclass
class SimulatedCoordination:
    """A linearizable coordination service that can be down or lose answers."""

    random: random.Random
    entries: dict[str, KeyChange] = field(default_factory=dict)
    revision: int = 0
    down: bool = False
    lost_answer_share: float = 0.0

    def put(self, key: str, value: bytes) -> None:
        """Write a key unconditionally."""
        self.revision += 1
        self.entries[key] = KeyChange(key, self.revision, value)

    async def read(self, key: str) -> KeyChange | None:
        """Return the entry of a key."""
        await self._simulate_call()
        return self.entries.get(key)

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction; a lost answer may also delay it."""
        await self._simulate_call()
        if self.random.random() < self.lost_answer_share:
            if self.random.random() < 0.5:
                asyncio.get_running_loop().call_later(
                    self.random.uniform(0.5, 4.0), self._apply_late, transaction
                )
            else:
                self._apply_late(transaction)
            raise CoordinationUnavailableError("answer lost", True)
        return self._apply(transaction)

    async def _simulate_call(self) -> None:
        await asyncio.sleep(self.random.uniform(0.001, 0.02))
        if self.down:
            raise CoordinationUnavailableError("down")

    def _apply(self, transaction: Transaction) -> int:
        for key, revision in transaction.expected.items():
            entry = self.entries.get(key)
            if (0 if entry is None else entry.revision) != revision:
                raise ConditionFailedError
        for key, value in transaction.put.items():
            self.put(key, value)
        return self.revision

    def _apply_late(self, transaction: Transaction) -> None:
        try:
            self._apply(transaction)
        except ConditionFailedError:
            return


class NullExecution:
    """Job execution that runs nothing; the simulation runs the items itself."""

    def __init__(self, group: JobGroup) -> None:
        self._group = group

    def job_accepted(self, record: ReplicatedJob) -> None:
        """Do nothing."""

    def job_cancelled(self, job_id: str) -> None:
        """Remove the partial texts of the job's items."""
        self._group.partial_texts.remove_job(job_id)


class SimulatedNode:
    """A storage node: a disk and a process that can be killed."""

    def __init__(self, simulation: "JobGroupSimulation", number: int) -> None:
        self.simulation = simulation
        self.number = number
        self.address = Address("node", number)
        self.disk = self._new_disk()
        self.mirror = Mirror()
        self.group: JobGroup | None = None
        self.service: JobGroupService | None = None
        self.refused = False
        self.inbound: list[Connection] = []
        self._transport = self._new_transport()
        self.resumed_at = -math.inf  # virtual time of the last resume after a suspension
        self._bootstrap_task: asyncio.Task[None] | None = None

    @property
    def identity(self) -> str:
        """Identity of the disk."""
        return self.disk.database.identity

    async def start(self) -> None:
        """Start the process."""
        self.mirror = Mirror()
        self._transport = self._new_transport()
        self.simulation.coordination.put(f"nodes/{self.number}", self.identity.encode())
        log = DecisionLog(str(self.number))
        context = GroupContext(
            self.identity,
            cast(Disk, self.disk),
            cast(Transport, self._transport),
            cast(CoordinationService, self.simulation.coordination_of(self)),
            self.mirror,
            self._identities,
            self._retiring,
            COPIES,
            log,
            self.simulation.random,
            self._placement_of,
            self._region_of,
            lambda: self.simulation.residences,
            lambda: self.resumed_at,
        )
        self.group = JobGroup(0, GROUP_KEY, context)
        self.service = JobGroupService(
            self.group,
            cast(JobExecution, NullExecution(self.group)),
            lambda: None,
            OtherGroups(lambda: [], cast(JobClient, None)),
            log,
            self._region_of,
        )
        await self.group.start()
        bootstrap = LayoutBootstrap(
            context, LAYOUT_KEY, lambda _group: GROUP_KEY, self._zones, self.simulation.topology
        )
        self._bootstrap_task = asyncio.create_task(bootstrap.run())

    def kill(self) -> None:
        """Kill the process; the disk stays as it is."""
        self._transport.abort()
        for connection in list(self.inbound):
            connection.reset_by_target()
        if self._bootstrap_task is not None:
            self._bootstrap_task.cancel()
        if self.group is not None:
            self.group.abort()
        self.group = None
        self.service = None
        self.disk.end_calls()

    def lose_disk(self) -> None:
        """Replace the disk by an empty one."""
        self.disk = self._new_disk()

    async def handle_call(self, frame: Frame) -> Frame | None:
        """Handle a call of another node; return None if there is no answer."""
        group = self.group
        if group is None:
            return None
        match frame.WhichOneof("body"):
            case "fence_group":
                return Frame(fence_result=await group.handle_fence(frame.fence_group))
            case "replicate_jobs":
                return Frame(replicate_result=await group.handle_replicate(frame.replicate_jobs))
            case "fetch_jobs":
                return Frame(job_updates=await group.handle_fetch(frame.fetch_jobs))
        return None

    def _new_transport(self) -> SimulatedTransport:
        return SimulatedTransport(self.simulation, self.number, self.simulation.endpoint_of)

    def _new_disk(self) -> SimulatedDisk:
        database = JobDatabase(None, self.simulation.new_identity)
        return SimulatedDisk(self.simulation.random, database)

    def _identities(self) -> dict[str, Address]:
        return {
            (change.value or b"").decode(): Address("node", int(change.key.partition("/")[2]))
            for change in self.mirror.with_prefix("nodes/")
        }

    def _zones(self) -> dict[str, str]:
        return {
            identity: self.simulation.zone_of(address.port)
            for identity, address in self._identities().items()
        }

    def _region_of(self, identity: str) -> RegionName | None:
        return self.simulation.topology.region(self._zones().get(identity, ""))

    def _placement_of(self, group: int, layout: Layout | None) -> ReplicaPlacement:
        entry = self.mirror.get(LAYOUT_KEY)
        if layout is None and entry is not None and entry.value is not None:
            layout = layout_from_bytes(entry.value)
        topology = self.simulation.topology
        group_zones = () if layout is None else layout.preferred_zones(group, topology)
        zones_lost = self.simulation.zones_lost
        return ReplicaPlacement(
            COPIES, 2 * COPIES - 1, self._zones(), topology, group_zones, zones_lost
        )

    def _retiring(self) -> set[str]:
        numbers = {
            change.key.removeprefix(RETIRE_PREFIX)
            for change in self.mirror.with_prefix(RETIRE_PREFIX)
        }
        return {
            (change.value or b"").decode()
            for change in self.mirror.with_prefix("nodes/")
            if change.key.removeprefix("nodes/") in numbers
        }


class RefusingCoordination(SimulatedCoordination):
    """A node's view of the coordination service, which may refuse the node."""

    def __init__(self, service: SimulatedCoordination, node: SimulatedNode) -> None:
        super().__init__(service.random)
        self._service = service
        self._node = node

    async def read(self, key: str) -> KeyChange | None:
        """Return the entry of a key unless the node is refused."""
        self._check()
        return await self._service.read(key)

    async def commit(self, transaction: Transaction) -> int:
        """Commit a transaction unless the node is refused."""
        self._check()
        return await self._service.commit(transaction)

    def _check(self) -> None:
        if self._node.refused:
            raise CoordinationUnavailableError("refused")
