"""Seeded simulation of one job group: real drivers and cores, simulated network, disks and service.

Runs in virtual time. Faults: processes are killed; disks are lost, full or slow; links are cut in
one or both directions; messages are lost, or arrive after those of a later connection; the
coordination service is down, loses answers or refuses nodes; machines are added and retired.
Checks: acknowledged data stays, results keep their positions, a cancelled job does not grow, a
confirmed leader never denies a job, a text goes on with a run that began where the text ended, a
disk holds what it claims. A run is deterministic for its seed.
"""

import asyncio
import random
from collections.abc import Coroutine, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Any, cast

import xxhash

from wharfcart.batch.job_service import JobGroupService
from wharfcart.cluster.coordination import (
    ChangeBatch,
)
from wharfcart.cluster.messages_pb2 import (
    DONE,
    NOT_FOUND,
    EndJob,
    ItemOutcome,
    ReadResults,
    RequestItem,
    RequestJob,
    SubmitJob,
)
from wharfcart.cluster.topology import Distance, Topology
from wharfcart.configuration.residence import Residence
from wharfcart.experiments.simulated_network import UNACKNOWLEDGED_TIMEOUT_S
from wharfcart.experiments.simulated_runs import (
    ItemRuns,
    RunCounts,
    event_count_of,
    find_text_fault,
)
from wharfcart.experiments.simulated_storage import (
    RETIRE_PREFIX,
    RefusingCoordination,
    SimulatedCoordination,
    SimulatedNode,
)
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_clock, virtual_monotonic
from wharfcart.storage.partial_texts import PartialTexts
from wharfcart.storage.replicated_job import version_after

SETTLE_S = 8.0
# Replicas and the leadership move back to their preferred zones one after the other.
REBALANCE_S = 20.0
# Runs that a leader starts at a time; items then finish faster than they are submitted.
RUN_STARTS = 2
COPY_CHECK_INTERVAL_S = 0.5
OTHER_REGION = Distance.OTHER_REGION
CROSS_REGION_DELAY_S = 0.02
VIRTUAL_CLOCK_MODULES = (
    "wharfcart.storage.layout_bootstrap",
    "wharfcart.storage.job_group",
    "wharfcart.storage.replica_session",
    "wharfcart.storage.replica_set_changer",
    "wharfcart.batch.job_service",
)


class InvariantViolationError(AssertionError):
    """An invariant of the job group was violated."""


@dataclass
class ObservedJob:
    """What clients observed of a job.

    Attributes:
        item_ids: ids of the job's items.
        accepted: whether a submission was acknowledged.
        results: the longest list of results that was read.
        max_results_after_cancel: results read after a cancellation was acknowledged; None before.
    """

    item_ids: tuple[str, ...] = ()
    accepted: bool = False
    results: list[bytes] = field(default_factory=list)
    max_results_after_cancel: int | None = None


class JobGroupSimulation:
    """One run of the simulation."""

    def __init__(self, seed: int, stores: int = 3, duration_s: float = 60.0) -> None:
        self.random = random.Random(seed)
        self._identity_random = random.Random(seed)
        self._messages_digest = xxhash.xxh64()
        self.coordination = SimulatedCoordination(self.random)
        self.nodes = {number: SimulatedNode(self, number) for number in range(stores)}
        self.duration_s = duration_s
        # Without zones by default.
        self.topology = Topology()
        self.zones: dict[int, str] = {}
        self.zones_lost = 0
        # Residences that submitted jobs may require.
        self.residences: frozenset[Residence] = frozenset()
        self.cut_links: set[tuple[int, int]] = set()
        self.jobs: dict[str, ObservedJob] = {}
        self.accepted = 0
        self.cancelled = 0
        self.reads = 0
        self.run_counts = RunCounts()
        self.late_calls = 0
        self._healed = False  # once true, no more messages are lost
        self._background: list[asyncio.Task[None]] = []

    def run(self) -> None:
        """Run the simulation and check every invariant.

        Raises:
            InvariantViolationError: an invariant does not hold.
        """
        with simulated_clock():
            run_in_virtual_time(self._run())

    def new_identity(self) -> str:
        """Return the identity of a new disk."""
        return f"{self._identity_random.getrandbits(48):012x}"

    @property
    def messages_digest(self) -> str:
        """Digest of the times and endpoints of all messages; equal for equal runs."""
        return self._messages_digest.hexdigest()

    def coordination_of(self, node: SimulatedNode) -> SimulatedCoordination:
        """Return a node's view of the coordination service."""
        return RefusingCoordination(self.coordination, node)

    def zone_of(self, number: int) -> str:
        """Return the zone of a node."""
        return self.zones.get(number, "")

    # ---- the network ----

    def one_way_delay_s(self, source: int, target: int) -> float:
        """Record a message and return its delay in seconds."""
        message = f"{virtual_monotonic()} {source} {target};"
        self._messages_digest.update(message.encode())
        delay_s = self.random.uniform(0.0003, 0.004)
        if self.topology.distance(self.zone_of(source), self.zone_of(target)) is OTHER_REGION:
            delay_s += CROSS_REGION_DELAY_S
        return delay_s

    def is_cut(self, source: int, target: int) -> bool:
        """Whether nothing arrives from one node at another."""
        return (source, target) in self.cut_links

    def loses_segment(self) -> bool:
        """Whether the path of a connection loses the next segments."""
        return self.random.random() < 0.001 and not self._healed

    def endpoint_of(self, number: int) -> SimulatedNode | None:
        """Return a node if its process runs."""
        node = self.nodes.get(number)
        return None if node is None or node.group is None else node

    # ---- the run ----

    async def _run(self) -> None:
        for node in self.nodes.values():
            await node.start()
        self.spawn(self.sync_mirrors())
        self.spawn(self._run_items())
        self.spawn(self._check_copies())
        for _ in range(3):
            self.spawn(self._client())
        faults = asyncio.create_task(self._inject_faults())
        await asyncio.sleep(self.duration_s)
        faults.cancel()
        await self._heal()
        self._healed = True
        await asyncio.sleep(SETTLE_S + (REBALANCE_S if self.topology.region_by_zone else 0.0))
        await self._check_final_state()
        for task in self._background:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise cast(BaseException, task.exception())
            task.cancel()
        for node in self.nodes.values():
            node.kill()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task; its failure fails the run."""
        self._background.append(asyncio.create_task(work))

    async def sync_mirrors(self) -> None:
        """Copy the state of the coordination service to every mirror, with some lag."""
        while True:
            await asyncio.sleep(0.03)
            for node in self.nodes.values():
                if not self.coordination.down and self.random.random() < 0.7:
                    entries = tuple(self.coordination.entries.values())
                    node.mirror.apply(ChangeBatch(entries, self.coordination.revision, True))

    async def _run_items(self) -> None:
        runs_by_node: dict[int, ItemRuns] = {}
        while True:
            await asyncio.sleep(self.random.uniform(0.005, 0.06))
            for node in self.nodes.values():
                leadership = None if node.group is None else node.group.leadership
                if leadership is None or node.group is None:
                    continue
                runs = runs_by_node.get(node.number)
                if runs is None or runs.leadership is not leadership:
                    name = f"{node.number}.{leadership.epoch}"
                    runs = ItemRuns(self.random, name, node.group, leadership, self.run_counts)
                    runs_by_node[node.number] = runs
                runs.advance(virtual_monotonic(), RUN_STARTS)

    async def _check_copies(self) -> None:
        while True:
            await asyncio.sleep(COPY_CHECK_INTERVAL_S)
            for node in self.nodes.values():
                if node.group is not None:
                    self._check_texts(f"memory of {node.number}", node.group.partial_texts)

    def _check_texts(self, place: str, texts: PartialTexts) -> None:
        for key, text in texts.items():
            fault = find_text_fault(text.texts)
            if fault or len(text.texts) > event_count_of(key.item_id):
                raise InvariantViolationError(f"{key.item_id}, {place}: {fault}")

    # ---- clients ----

    async def _client(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(0.02, 0.3))
            choice = self.random.random()
            if choice < 0.25 or not self.jobs:
                await self._submit(f"job-{len(self.jobs)}")
            elif choice < 0.3:
                await self._cancel(self.random.choice(list(self.jobs)))
            else:
                await self._read(self.random.choice(list(self.jobs)))

    def _random_leading_service(self) -> JobGroupService | None:
        leading = [
            node.service
            for node in self.nodes.values()
            if node.service is not None and node.group is not None and node.group.leadership
        ]
        return self.random.choice(leading) if leading else None

    async def _submit(self, job_id: str) -> None:
        items = [RequestItem(item_id=f"{job_id}-{n}") for n in range(self.random.randint(1, 8))]
        item_ids = tuple(item.item_id for item in items)
        known = self.jobs.setdefault(job_id, ObservedJob(item_ids))
        service = self._random_leading_service()
        if service is None:
            return
        job = RequestJob(job_id=job_id, items=items, accepted_ms=1)
        answer = await service.submit(SubmitJob(job=job))
        if answer.status == DONE and not known.accepted:
            known.accepted = True
            self.accepted += 1

    async def _read(self, job_id: str) -> None:
        service = self._random_leading_service()
        if service is None:
            return
        known = self.jobs[job_id]
        accepted_before = known.accepted
        seen_before = len(known.results)
        started_at = virtual_monotonic()
        page = await service.read_results(ReadResults(job_id=job_id, after=0, wait_ms=0))
        stale = virtual_monotonic() - started_at > 0.5
        if page.status == NOT_FOUND:
            if accepted_before and not stale:
                raise InvariantViolationError(f"{job_id}: accepted, but not found")
            return
        if page.status == DONE:
            self._check_page(job_id, known, page.results, seen_before)

    def _check_page(
        self, job_id: str, known: ObservedJob, results: Sequence[ItemOutcome], seen_before: int
    ) -> None:
        self.reads += 1
        self._check_results(job_id, results)
        texts = [result.text for result in results]
        common = min(len(texts), len(known.results))
        if texts[:common] != known.results[:common]:
            raise InvariantViolationError(f"{job_id}: a result changed its position")
        if (
            known.max_results_after_cancel is not None
            and len(texts) > known.max_results_after_cancel
        ):
            raise InvariantViolationError(f"{job_id}: results were added after the cancellation")
        if len(texts) < seen_before:
            raise InvariantViolationError(f"{job_id}: results were lost")
        if len(texts) > len(known.results):
            known.results = texts

    def _check_results(self, job_id: str, results: Sequence[ItemOutcome]) -> None:
        if len({result.item_id for result in results}) < len(results):
            raise InvariantViolationError(f"{job_id}: an item has two results")
        for result in results:
            events = result.text.decode().split("\n")
            fault = find_text_fault(events)
            if not fault and len(events) != event_count_of(result.item_id):
                fault = f"{len(events)} events: {events}"
            if fault:
                raise InvariantViolationError(f"{result.item_id}, result: {fault}")

    async def _cancel(self, job_id: str) -> None:
        service = self._random_leading_service()
        if service is None:
            return
        known = self.jobs[job_id]
        answer = await service.cancel(EndJob(job_id=job_id))
        if answer.status == NOT_FOUND and known.accepted:
            raise InvariantViolationError(f"{job_id}: accepted, but not found on cancellation")
        if answer.status == DONE and known.max_results_after_cancel is None:
            page = await service.read_results(ReadResults(job_id=job_id, after=0, wait_ms=0))
            if page.status == DONE:
                known.max_results_after_cancel = len(page.results)
                self.cancelled += 1

    # ---- faults ----

    async def _inject_faults(self) -> None:
        faults = [
            self._kill_node,
            self._kill_all_nodes,
            self._lose_disk,
            self._isolate_node,
            self._isolate_node_briefly,
            self._cut_one_way,
            self._fail_coordination,
            self._lose_coordination_answers,
            self._fill_disk,
            self._slow_disk,
            self._refuse_node,
            self._replace_node,
            self._add_node,
            self._retire_node,
        ]
        while True:
            await asyncio.sleep(self.random.uniform(0.5, 4.0))
            await self.random.choice(faults)()

    def _random_node(self) -> SimulatedNode:
        return self.random.choice(list(self.nodes.values()))

    async def _kill_node(self) -> None:
        node = self._random_node()
        node.kill()
        await asyncio.sleep(self.random.uniform(0.2, 3.0))
        await self._restart_node(node)

    async def _restart_node(self, node: SimulatedNode) -> None:
        if node.number in self.nodes and node.group is None:
            await node.start()

    async def _kill_all_nodes(self) -> None:
        for node in self.nodes.values():
            node.kill()
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        for node in list(self.nodes.values()):
            await self._restart_node(node)

    async def _lose_disk(self) -> None:
        await self._settle()
        node = self._random_node()
        node.kill()
        node.lose_disk()
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        await self._restart_node(node)
        await asyncio.sleep(5.0)

    async def _settle(self) -> None:
        """Heal all faults first: the group tolerates only one loss at a time."""
        await self._heal()
        await asyncio.sleep(5.0)

    async def _isolate_node(self) -> None:
        await self._isolate_node_for(self.random.uniform(1.0, 6.0))

    async def _isolate_node_briefly(self) -> None:
        """Cut a node off for less time than its connections last."""
        await self._isolate_node_for(self.random.uniform(0.3, UNACKNOWLEDGED_TIMEOUT_S))

    async def _isolate_node_for(self, seconds: float) -> None:
        isolated = self._random_node().number
        for other in self.nodes:
            if other != isolated:
                self.cut_links |= {(isolated, other), (other, isolated)}
        await asyncio.sleep(seconds)
        self.cut_links.clear()

    async def _cut_one_way(self) -> None:
        source, target = self._random_node().number, self._random_node().number
        self.cut_links.add((source, target))
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        self.cut_links.clear()

    async def _fail_coordination(self) -> None:
        self.coordination.down = True
        if self.random.random() < 0.5:
            await self._kill_node()
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        self.coordination.down = False

    async def _lose_coordination_answers(self) -> None:
        self.coordination.lost_answer_share = 0.5
        if self.random.random() < 0.7:
            await self._kill_node()
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        self.coordination.lost_answer_share = 0.0

    async def _fill_disk(self) -> None:
        node = self._random_node()
        node.disk.full = True
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        node.disk.full = False

    async def _slow_disk(self) -> None:
        node = self._random_node()
        node.disk.delay_s = self.random.uniform(0.05, 1.5)
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        node.disk.delay_s = 0.002

    async def _refuse_node(self) -> None:
        node = self._random_node()
        node.refused = True
        await asyncio.sleep(self.random.uniform(1.0, 6.0))
        node.refused = False

    async def _replace_node(self) -> None:
        await self._settle()
        removed = self._random_node()
        removed.kill()
        del self.nodes[removed.number]
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        await self._add_node()
        await asyncio.sleep(5.0)

    async def _add_node(self) -> None:
        if len(self.nodes) >= 5:
            return
        number = 100 + self.coordination.revision
        self.nodes[number] = SimulatedNode(self, number)
        await self.nodes[number].start()

    async def _retire_node(self) -> None:
        if len(self.nodes) <= 3:
            return
        await self._settle()
        node = self._random_node()
        self.coordination.put(f"{RETIRE_PREFIX}{node.number}", b"")
        for _ in range(40):
            await asyncio.sleep(0.25)
            record = None if node.group is None else node.group.record
            if record is not None and node.identity not in record.members:
                node.kill()
                self.nodes.pop(node.number, None)
                return

    async def _heal(self) -> None:
        self.cut_links.clear()
        self.coordination.down = False
        self.coordination.lost_answer_share = 0.0
        for node in list(self.nodes.values()):
            node.refused = False
            node.disk.full = False
            node.disk.delay_s = 0.002
            await self._restart_node(node)

    # ---- final checks ----

    async def _check_final_state(self) -> None:
        service = self._random_leading_service()
        if service is None:
            raise InvariantViolationError("no leader after all faults were healed")
        for job_id, known in list(self.jobs.items()):
            if not known.accepted:
                continue
            page = await service.read_results(ReadResults(job_id=job_id, after=0, wait_ms=0))
            if page.status != DONE:
                raise InvariantViolationError(
                    f"{job_id}: accepted, but not readable: {page.status}"
                )
            self._check_page(job_id, known, page.results, len(known.results))
        self._check_disks()

    def _check_disks(self) -> None:
        """Check that disks hold what they claim, and texts of single runs or resumed ones."""
        for node in self.nodes.values():
            database = node.disk.database
            for state in database.job_states(0):
                if state.is_deleted:
                    continue
                (held,) = database.load_jobs([state.job_id])
                if (held.epoch, version_after(held)) != (state.epoch, state.version):
                    raise InvariantViolationError(f"disk of {node.number}: {state}, held {held}")
            texts = PartialTexts()
            texts.apply(database.load_partial_texts(0))
            self._check_texts(f"disk of {node.number}", texts)
            if node.group is not None:
                self._check_texts(f"memory of {node.number}", node.group.partial_texts)


def simulated_clock() -> AbstractContextManager[None]:
    """Patch the clock of the drivers to virtual time."""
    return virtual_clock(VIRTUAL_CLOCK_MODULES)
