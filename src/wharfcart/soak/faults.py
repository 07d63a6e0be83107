"""What each kind of fault does to a fleet, and how it is undone."""

import asyncio
import itertools
import signal
import subprocess
import typing as t
from abc import ABC, abstractmethod
from contextlib import suppress

import aiohttp

from wharfcart.emulator.faults import Faults
from wharfcart.experiments.serving_fleet import ServingNodeProcess
from wharfcart.soak.fleet import SoakFleet
from wharfcart.soak.plan import FaultKind, PlannedFault

CLOCK_STEP_S = 3.0
# A process ends within its time to stop, and that of a freeze beside it.
STOP_TIMEOUT_S = 15.0
LINK_DELAY_S = 0.15
STORE_DELAY_S = 0.2
LOST_STORE_WRITES = 3
LOST_SERVER_RESPONSES = 3
CUT_STREAMS = 4
MAX_RESET_CONNECTIONS = 100
# A caller whose request ends its back ends asks again after this time.
POISON_RETRY_INTERVAL_S = 0.3
POISON_REQUEST_TIMEOUT_S = 4.0
POISON_PATH = "/chat/x"
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Fault(ABC):
    """One fault that begins and ends."""

    def __init__(self, fleet: SoakFleet, planned: PlannedFault) -> None:
        self.fleet = fleet
        self.planned = planned

    @abstractmethod
    async def inject(self) -> None:
        """Bring the trouble about."""

    async def recover(self) -> None:  # noqa: B027 - many faults end by themselves
        """Undo it."""

    @property
    def node(self) -> ServingNodeProcess:
        """The process that is struck."""
        nodes = self.fleet.stores if self.planned.on_storage else self.fleet.gateways
        return nodes[self.planned.target_index % len(nodes)]


class KillFault(Fault):
    """A process is killed and started again."""

    async def inject(self) -> None:
        """Strike."""
        self.fleet.signal(self.node, signal.SIGKILL)

    async def recover(self) -> None:
        """Undo it."""
        self.fleet.restart(self.node)


class FreezeFault(Fault):
    """A process stands still."""

    async def inject(self) -> None:
        """Strike."""
        self.fleet.signal(self.node, signal.SIGSTOP)

    async def recover(self) -> None:
        """Undo it."""
        self.fleet.signal(self.node, signal.SIGCONT)


class TerminateFault(Fault):
    """A process is asked to stop, and started again once it has."""

    async def inject(self) -> None:
        """Strike."""
        # Another fault may kill the process meanwhile and start the next one in its place.
        self._process = self.node.process
        self.fleet.signal(self.node, signal.SIGTERM)

    async def recover(self) -> None:
        """Undo it."""
        if self._process is None:
            return
        try:
            await asyncio.to_thread(self._process.wait, STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.fleet.violations.append(f"{self.node.node_id} did not stop on SIGTERM")
            self._process.kill()
            self._process.wait()
        if self.node.process is self._process:
            self.fleet.restart(self.node)


class WipeFault(KillFault):
    """A storage node comes back with an empty disk."""

    async def inject(self) -> None:
        """Strike."""
        self.fleet.kill_and_wipe(self.node)


class PartitionedLeaderWipeFault(Fault):
    """The leader reaches no other replica for a while, then loses its disk.

    What it acknowledged meanwhile on fewer disks than it must would be gone.
    """

    async def inject(self) -> None:
        """Strike."""
        self._leader = self.fleet.leader() or self.node
        for node in self._followers():
            await self.fleet.set_link_faults(self.fleet.proxies_by_node[node.node_id], silent=True)

    async def recover(self) -> None:
        """Undo it."""
        self.fleet.kill_and_wipe(self._leader)
        for node in self._followers():
            await self.fleet.set_link_faults(self.fleet.proxies_by_node[node.node_id])
        self.fleet.restart(self._leader)

    def _followers(self) -> list[ServingNodeProcess]:
        return [node for node in self.fleet.stores if node is not self._leader]


class KillAllFault(Fault):
    """Every process is killed at the same moment."""

    async def inject(self) -> None:
        """Strike."""
        for node in (*self.fleet.gateways, *self.fleet.stores):
            self.fleet.signal(node, signal.SIGKILL)

    async def recover(self) -> None:
        """Undo it."""
        for node in (*self.fleet.gateways, *self.fleet.stores):
            self.fleet.restart(node)


class LinkFault(Fault):
    """What peers send to a node, or it answers, is held up, delayed or reset."""

    faults_by_kind: t.ClassVar[dict[FaultKind, dict[str, t.Any]]] = {
        FaultKind.LINK_STALLED: {"silent": True},
        FaultKind.LINK_ONE_WAY: {"one_way": True},
        FaultKind.LINK_DELAYED: {"delay_seconds": LINK_DELAY_S},
        FaultKind.LINK_RESET: {"broken_connections": MAX_RESET_CONNECTIONS},
    }

    async def inject(self) -> None:
        """Strike."""
        proxy = self.fleet.proxies_by_node[self.node.node_id]
        await self.fleet.set_link_faults(proxy, **self.faults_by_kind[self.planned.kind])

    async def recover(self) -> None:
        """Undo it."""
        await self.fleet.set_link_faults(self.fleet.proxies_by_node[self.node.node_id])


class DiskFault(Fault):
    """A disk refuses writes, is slow or hangs."""

    modes_by_kind: t.ClassVar[dict[FaultKind, str]] = {
        FaultKind.DISK_FULL: "full",
        FaultKind.DISK_SLOW: "slow",
        FaultKind.DISK_HANGS: "hang",
    }

    async def inject(self) -> None:
        """Strike."""
        self.fleet.set_hook_faults(self.node, disk=self.modes_by_kind[self.planned.kind])

    async def recover(self) -> None:
        """Undo it."""
        self.fleet.set_hook_faults(self.node, disk="")


class ClockStepFault(Fault):
    """A node's wall clock jumps and jumps back."""

    async def inject(self) -> None:
        """Strike."""
        step_s = CLOCK_STEP_S if self.planned.target_index % 2 else -CLOCK_STEP_S
        self.fleet.set_hook_faults(self.node, clock_step_s=step_s)

    async def recover(self) -> None:
        """Undo it."""
        self.fleet.set_hook_faults(self.node, clock_step_s=0.0)


class MetadataStoreFault(Fault):
    """The metadata store is away, slow, loses answers or forgets its history."""

    faults_by_kind: t.ClassVar[dict[FaultKind, dict[str, t.Any]]] = {
        FaultKind.STORE_DOWN: {"outage": True},
        FaultKind.STORE_SLOW: {"delay_seconds": STORE_DELAY_S},
        FaultKind.STORE_LOSES_RESPONSES: {"lost_writes": LOST_STORE_WRITES},
    }

    async def inject(self) -> None:
        """Strike."""
        if self.planned.kind is FaultKind.STORE_COMPACTED:
            self.fleet.store.state.compact_history()
            return
        self.fleet.store.switch.faults = Faults(**self.faults_by_kind[self.planned.kind])

    async def recover(self) -> None:
        """Undo it."""
        self.fleet.store.switch.faults = Faults()


class StoreAccessFault(Fault):
    """The metadata store refuses one node, or never answers it."""

    async def inject(self) -> None:
        """Strike."""
        self._affected_node_ids().add(self.node.node_id)

    async def recover(self) -> None:
        """Undo it."""
        self._affected_node_ids().discard(self.node.node_id)

    def _affected_node_ids(self) -> set[str]:
        refuses = self.planned.kind is FaultKind.STORE_REFUSES_NODE
        return (
            self.fleet.store.refused_node_ids if refuses else self.fleet.store.unanswered_node_ids
        )


class ServerLinkFault(Fault):
    """Connections to one back end are silent, or reset once."""

    async def inject(self) -> None:
        """Strike."""
        server = self.fleet.stream_servers[
            self.planned.target_index % len(self.fleet.stream_servers)
        ]
        self._proxy = self.fleet.proxies_by_server[server.instance_id]
        if self.planned.kind is FaultKind.SERVER_LINK_STALLED:
            await self.fleet.set_link_faults(self._proxy, silent=True)
        else:
            await self.fleet.set_link_faults(self._proxy, broken_connections=MAX_RESET_CONNECTIONS)

    async def recover(self) -> None:
        """Undo it."""
        await self.fleet.set_link_faults(self._proxy)


class ServerResponseFault(Fault):
    """Back ends run requests and lose the answers, or cut streams halfway."""

    async def inject(self) -> None:
        """Strike."""
        if self.planned.kind is FaultKind.SERVER_CUTS_STREAMS:
            for server in self.fleet.stream_servers:
                server.switch.faults = Faults(cut_streams=CUT_STREAMS)
        else:
            for server in self.fleet.plain_servers:
                server.switch.faults = Faults(lost_answers=LOST_SERVER_RESPONSES)

    async def recover(self) -> None:
        """Undo it."""
        for server in self.fleet.all_servers:
            server.switch.faults = Faults()


class ServerReplacementFault(Fault):
    """A back end drains and another one comes."""

    async def inject(self) -> None:
        """Strike."""
        await self.fleet.replace_server(self.planned.target_index)


class AddedRouteFault(Fault):
    """The operator adds a route."""

    async def inject(self) -> None:
        """Strike."""
        await self.fleet.add_route()


class ZoneEvacuationFault(Fault):
    """The operator empties a zone of servers for a while."""

    async def inject(self) -> None:
        """Strike."""
        self._record = await self.fleet.evacuate_zone(self.planned.target_index)

    async def recover(self) -> None:
        """Undo it."""
        await self.fleet.end_evacuation(self._record)


class PoisonRequestFault(Fault):
    """A caller repeats a request that ends the back ends that run it, at any gateway."""

    async def inject(self) -> None:
        """Strike."""
        self._task = asyncio.create_task(self._repeat())

    async def recover(self) -> None:
        """Undo it."""
        self._task.cancel()
        await asyncio.wait((self._task,))

    async def _repeat(self) -> None:
        body = self.fleet.add_poison_request()
        for number in itertools.count(self.planned.target_index):
            request_id = f"{body.decode().replace(' ', '-')}-{number}"
            gateway = number % len(self.fleet.gateways)
            status = None
            with suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with asyncio.timeout(POISON_REQUEST_TIMEOUT_S):
                    status, _, _ = await self.fleet.request(
                        gateway, POISON_PATH, request_id, data=body
                    )
            if status in NOT_RUN_STATUSES and self.fleet.has_run(request_id):
                self.fleet.violations.append(f"{request_id}: refused with {status}, but ran")
            await asyncio.sleep(POISON_RETRY_INTERVAL_S)


FAULTS_BY_KIND: dict[FaultKind, type[Fault]] = {
    FaultKind.KILL: KillFault,
    FaultKind.FREEZE: FreezeFault,
    FaultKind.TERMINATE: TerminateFault,
    FaultKind.WIPE_DISK: WipeFault,
    FaultKind.KILL_ALL: KillAllFault,
    FaultKind.PARTITIONED_LEADER_WIPED: PartitionedLeaderWipeFault,
    FaultKind.LINK_STALLED: LinkFault,
    FaultKind.LINK_ONE_WAY: LinkFault,
    FaultKind.LINK_DELAYED: LinkFault,
    FaultKind.LINK_RESET: LinkFault,
    FaultKind.DISK_FULL: DiskFault,
    FaultKind.DISK_SLOW: DiskFault,
    FaultKind.DISK_HANGS: DiskFault,
    FaultKind.CLOCK_STEP: ClockStepFault,
    FaultKind.STORE_DOWN: MetadataStoreFault,
    FaultKind.STORE_SLOW: MetadataStoreFault,
    FaultKind.STORE_LOSES_RESPONSES: MetadataStoreFault,
    FaultKind.STORE_COMPACTED: MetadataStoreFault,
    FaultKind.STORE_REFUSES_NODE: StoreAccessFault,
    FaultKind.STORE_UNRESPONSIVE_TO_NODE: StoreAccessFault,
    FaultKind.SERVER_LINK_STALLED: ServerLinkFault,
    FaultKind.SERVER_LINK_RESET: ServerLinkFault,
    FaultKind.SERVER_LOSES_RESPONSES: ServerResponseFault,
    FaultKind.SERVER_CUTS_STREAMS: ServerResponseFault,
    FaultKind.SERVER_REPLACED: ServerReplacementFault,
    FaultKind.ROUTE_ADDED: AddedRouteFault,
    FaultKind.ZONE_EVACUATED: ZoneEvacuationFault,
    FaultKind.POISON_REQUEST: PoisonRequestFault,
}


async def inject_fault(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Wait for a fault's time, bring it about and undo it."""
    await asyncio.sleep(planned.start_s)
    fault = FAULTS_BY_KIND[planned.kind](fleet, planned)
    await fault.inject()
    try:
        await asyncio.sleep(planned.duration_s)
    finally:
        await fault.recover()
