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
STOP_LIMIT_S = 15.0
LINK_DELAY_S = 0.15
STORE_DELAY_S = 0.2
LOST_STORE_WRITES = 3
LOST_SERVER_ANSWERS = 3
CUT_STREAMS = 4
MOST_RESET_CONNECTIONS = 100
# A caller whose request ends its back ends asks again after this time.
FATAL_PAUSE_S = 0.3
FATAL_PATIENCE_S = 4.0
FATAL_PATH = "/chat/x"
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Fault(ABC):
    """One fault that begins and ends."""

    def __init__(self, fleet: SoakFleet, planned: PlannedFault) -> None:
        self.fleet = fleet
        self.planned = planned

    @abstractmethod
    async def begin(self) -> None:
        """Bring the trouble about."""

    async def end(self) -> None:  # noqa: B027 - many faults end by themselves
        """Undo it."""

    @property
    def node(self) -> ServingNodeProcess:
        """The process that is struck."""
        nodes = self.fleet.stores if self.planned.on_storage else self.fleet.gateways
        return nodes[self.planned.target % len(nodes)]


class KillFault(Fault):
    """A process is killed and started again."""

    async def begin(self) -> None:
        """Strike."""
        self.fleet.signal(self.node, signal.SIGKILL)

    async def end(self) -> None:
        """Undo it."""
        self.fleet.revive(self.node)


class FreezeFault(Fault):
    """A process stands still."""

    async def begin(self) -> None:
        """Strike."""
        self.fleet.signal(self.node, signal.SIGSTOP)

    async def end(self) -> None:
        """Undo it."""
        self.fleet.signal(self.node, signal.SIGCONT)


class TerminateFault(Fault):
    """A process is asked to stop, and started again once it has."""

    async def begin(self) -> None:
        """Strike."""
        # Another fault may kill the process meanwhile and start the next one in its place.
        self._process = self.node.process
        self.fleet.signal(self.node, signal.SIGTERM)

    async def end(self) -> None:
        """Undo it."""
        if self._process is None:
            return
        try:
            await asyncio.to_thread(self._process.wait, STOP_LIMIT_S)
        except subprocess.TimeoutExpired:
            self.fleet.violations.append(f"{self.node.node_id} did not stop on SIGTERM")
            self._process.kill()
            self._process.wait()
        if self.node.process is self._process:
            self.fleet.revive(self.node)


class WipeFault(KillFault):
    """A storage node comes back with an empty disk."""

    async def begin(self) -> None:
        """Strike."""
        self.fleet.wipe(self.node)


class LeaderCutAndWipedFault(Fault):
    """The leader reaches no other replica for a while, then loses its disk.

    What it acknowledged meanwhile on fewer disks than it must would be gone.
    """

    async def begin(self) -> None:
        """Strike."""
        self._leader = self.fleet.leader() or self.node
        for node in self._others():
            await self.fleet.set_link(self.fleet.proxies_by_node[node.node_id], silent=True)

    async def end(self) -> None:
        """Undo it."""
        self.fleet.wipe(self._leader)
        for node in self._others():
            await self.fleet.set_link(self.fleet.proxies_by_node[node.node_id])
        self.fleet.revive(self._leader)

    def _others(self) -> list[ServingNodeProcess]:
        return [node for node in self.fleet.stores if node is not self._leader]


class KillAllFault(Fault):
    """Every process is killed at the same moment."""

    async def begin(self) -> None:
        """Strike."""
        for node in (*self.fleet.gateways, *self.fleet.stores):
            self.fleet.signal(node, signal.SIGKILL)

    async def end(self) -> None:
        """Undo it."""
        for node in (*self.fleet.gateways, *self.fleet.stores):
            self.fleet.revive(node)


class LinkFault(Fault):
    """What peers send to a node, or it answers, is held up, delayed or reset."""

    settings: t.ClassVar[dict[FaultKind, dict[str, t.Any]]] = {
        FaultKind.LINK_SILENT: {"silent": True},
        FaultKind.LINK_ONE_WAY: {"one_way": True},
        FaultKind.LINK_DELAYED: {"delay_seconds": LINK_DELAY_S},
        FaultKind.LINK_RESET: {"broken_connections": MOST_RESET_CONNECTIONS},
    }

    async def begin(self) -> None:
        """Strike."""
        proxy = self.fleet.proxies_by_node[self.node.node_id]
        await self.fleet.set_link(proxy, **self.settings[self.planned.kind])

    async def end(self) -> None:
        """Undo it."""
        await self.fleet.set_link(self.fleet.proxies_by_node[self.node.node_id])


class DiskFault(Fault):
    """A disk refuses writes, is slow or hangs."""

    modes: t.ClassVar[dict[FaultKind, str]] = {
        FaultKind.DISK_FULL: "full",
        FaultKind.DISK_SLOW: "slow",
        FaultKind.DISK_HANGS: "hang",
    }

    async def begin(self) -> None:
        """Strike."""
        self.fleet.control(self.node, disk=self.modes[self.planned.kind])

    async def end(self) -> None:
        """Undo it."""
        self.fleet.control(self.node, disk="")


class ClockStepFault(Fault):
    """A node's wall clock jumps and jumps back."""

    async def begin(self) -> None:
        """Strike."""
        step_s = CLOCK_STEP_S if self.planned.target % 2 else -CLOCK_STEP_S
        self.fleet.control(self.node, clock_step_s=step_s)

    async def end(self) -> None:
        """Undo it."""
        self.fleet.control(self.node, clock_step_s=0.0)


class MetadataStoreFault(Fault):
    """The metadata store is away, slow, loses answers or forgets its history."""

    settings: t.ClassVar[dict[FaultKind, dict[str, t.Any]]] = {
        FaultKind.STORE_DOWN: {"outage": True},
        FaultKind.STORE_SLOW: {"delay_seconds": STORE_DELAY_S},
        FaultKind.STORE_LOSES_ANSWERS: {"lost_writes": LOST_STORE_WRITES},
    }

    async def begin(self) -> None:
        """Strike."""
        if self.planned.kind is FaultKind.STORE_FORGETS:
            self.fleet.store.state.forget_history()
            return
        self.fleet.store.switch.faults = Faults(**self.settings[self.planned.kind])

    async def end(self) -> None:
        """Undo it."""
        self.fleet.store.switch.faults = Faults()


class TurnedAwayFault(Fault):
    """The metadata store refuses one node, or never answers it."""

    async def begin(self) -> None:
        """Strike."""
        self._nodes().add(self.node.node_id)

    async def end(self) -> None:
        """Undo it."""
        self._nodes().discard(self.node.node_id)

    def _nodes(self) -> set[str]:
        refuses = self.planned.kind is FaultKind.STORE_REFUSES_NODE
        return self.fleet.store.refused if refuses else self.fleet.store.silent


class ServerLinkFault(Fault):
    """Connections to one back end are silent, or reset once."""

    async def begin(self) -> None:
        """Strike."""
        server = self.fleet.stream_servers[self.planned.target % len(self.fleet.stream_servers)]
        self._proxy = self.fleet.proxies_by_server[server.instance_id]
        if self.planned.kind is FaultKind.SERVER_LINK_SILENT:
            await self.fleet.set_link(self._proxy, silent=True)
        else:
            await self.fleet.set_link(self._proxy, broken_connections=MOST_RESET_CONNECTIONS)

    async def end(self) -> None:
        """Undo it."""
        await self.fleet.set_link(self._proxy)


class ServerAnswerFault(Fault):
    """Back ends run requests and lose the answers, or cut streams halfway."""

    async def begin(self) -> None:
        """Strike."""
        if self.planned.kind is FaultKind.SERVER_CUTS_STREAMS:
            for server in self.fleet.stream_servers:
                server.switch.faults = Faults(cut_streams=CUT_STREAMS)
        else:
            for server in self.fleet.plain_servers:
                server.switch.faults = Faults(lost_answers=LOST_SERVER_ANSWERS)

    async def end(self) -> None:
        """Undo it."""
        for server in self.fleet.all_servers:
            server.switch.faults = Faults()


class ServerReplacedFault(Fault):
    """A back end drains and another one comes."""

    async def begin(self) -> None:
        """Strike."""
        await self.fleet.replace_server(self.planned.target)


class ConfigurationFault(Fault):
    """The operator adds a route."""

    async def begin(self) -> None:
        """Strike."""
        await self.fleet.add_route()


class ZoneEvacuatedFault(Fault):
    """The operator empties a zone of servers for a while."""

    async def begin(self) -> None:
        """Strike."""
        self._record = await self.fleet.evacuate(self.planned.target)

    async def end(self) -> None:
        """Undo it."""
        await self.fleet.take_evacuation_back(self._record)


class FatalRequestFault(Fault):
    """A caller repeats a request that ends the back ends that run it, at any gateway."""

    async def begin(self) -> None:
        """Strike."""
        self._task = asyncio.create_task(self._repeat())

    async def end(self) -> None:
        """Undo it."""
        self._task.cancel()
        await asyncio.wait((self._task,))

    async def _repeat(self) -> None:
        body = self.fleet.add_fatal_request()
        for number in itertools.count(self.planned.target):
            request_id = f"{body.decode().replace(' ', '-')}-{number}"
            gateway = number % len(self.fleet.gateways)
            status = None
            with suppress(aiohttp.ClientError, TimeoutError, OSError):
                async with asyncio.timeout(FATAL_PATIENCE_S):
                    status, _, _ = await self.fleet.request(
                        gateway, FATAL_PATH, request_id, data=body
                    )
            if status in NOT_RUN_STATUSES and self.fleet.has_run(request_id):
                self.fleet.violations.append(f"{request_id}: refused with {status}, but ran")
            await asyncio.sleep(FATAL_PAUSE_S)


FAULTS_BY_KIND: dict[FaultKind, type[Fault]] = {
    FaultKind.KILL: KillFault,
    FaultKind.FREEZE: FreezeFault,
    FaultKind.TERMINATE: TerminateFault,
    FaultKind.WIPE_DISK: WipeFault,
    FaultKind.KILL_ALL: KillAllFault,
    FaultKind.LEADER_CUT_AND_WIPED: LeaderCutAndWipedFault,
    FaultKind.LINK_SILENT: LinkFault,
    FaultKind.LINK_ONE_WAY: LinkFault,
    FaultKind.LINK_DELAYED: LinkFault,
    FaultKind.LINK_RESET: LinkFault,
    FaultKind.DISK_FULL: DiskFault,
    FaultKind.DISK_SLOW: DiskFault,
    FaultKind.DISK_HANGS: DiskFault,
    FaultKind.CLOCK_STEP: ClockStepFault,
    FaultKind.STORE_DOWN: MetadataStoreFault,
    FaultKind.STORE_SLOW: MetadataStoreFault,
    FaultKind.STORE_LOSES_ANSWERS: MetadataStoreFault,
    FaultKind.STORE_FORGETS: MetadataStoreFault,
    FaultKind.STORE_REFUSES_NODE: TurnedAwayFault,
    FaultKind.STORE_SILENT_TO_NODE: TurnedAwayFault,
    FaultKind.SERVER_LINK_SILENT: ServerLinkFault,
    FaultKind.SERVER_LINK_RESET: ServerLinkFault,
    FaultKind.SERVER_LOSES_ANSWERS: ServerAnswerFault,
    FaultKind.SERVER_CUTS_STREAMS: ServerAnswerFault,
    FaultKind.SERVER_REPLACED: ServerReplacedFault,
    FaultKind.CONFIGURATION: ConfigurationFault,
    FaultKind.ZONE_EVACUATED: ZoneEvacuatedFault,
    FaultKind.FATAL_REQUEST: FatalRequestFault,
}


async def play_fault(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Wait for a fault's time, bring it about and undo it."""
    await asyncio.sleep(planned.at_s)
    fault = FAULTS_BY_KIND[planned.kind](fleet, planned)
    await fault.begin()
    try:
        await asyncio.sleep(planned.for_s)
    finally:
        await fault.end()
