"""Implementations of the fault kinds: each injects one fault into a fleet and recovers from it."""

import asyncio
import itertools
import random
import signal
import subprocess
import typing as t
from abc import ABC, abstractmethod
from contextlib import suppress
from time import monotonic

import aiohttp

from wharfcart.emulator.faults import Faults
from wharfcart.experiments.serving_fleet import ServingNodeProcess
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.platform import names
from wharfcart.soak.fleet import COMMON_PART, SoakFleet, prompt_of
from wharfcart.soak.plan import FaultKind, PlannedFault

CLOCK_STEP_S = 3.0
# Longer than a graceful stop together with a freeze of the same process.
STOP_TIMEOUT_S = 15.0
SERIES_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGKILL)
SERIES_PAUSE_S = (0.05, 1.0)  # shortest and longest
LINK_DELAY_S = 0.15
# The shortest is longer than a leader waits for an answer before it connects anew. The longest is
# shorter than TCP's user timeout, after which the sender's host repeats no segment.
HOLD_MESSAGES_S = (1.2, 2.3)
# Time in which a leader goes on after late messages have arrived.
LATE_MESSAGES_PAUSE_S = (0.2, 1.2)
LEADER_DOWN_S = (0.3, 1.5)
# Steps of a series of faults of the leader, shortest and longest; together LEADER_SERIES_S at most.
CUT_OFF_S = (0.8, 2.0)
FREEZE_S = (0.2, 0.6)
RUN_ON_S = (0.4, 1.2)  # around the interval in which nodes save partial texts
OLD_LEADER_FIRST_PROBABILITY = 0.75
MAX_RESTARTS_S = 1.8
STORE_DELAY_S = 0.2
LOST_STORE_WRITES = 3
LOST_SERVER_RESPONSES = 3
CUT_STREAMS = 4
MAX_RESET_CONNECTIONS = 100
# Share of the stream servers that crash at each step of a series.
CRASH_SHARE = 0.3
CRASH_INTERVAL_S = 0.4
# Of the answers of a server in trouble.
ENDLESS_SHARE = 0.5
# Interval and timeout of the caller that repeats a poison request.
POISON_RETRY_INTERVAL_S = 0.3
POISON_REQUEST_TIMEOUT_S = 4.0
POISON_PART_INTERVAL_S = 0.1
POISON_PATH = "/chat/x"
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Fault(ABC):
    """One fault, injected for a period."""

    def __init__(self, fleet: SoakFleet, planned: PlannedFault) -> None:
        self.fleet = fleet
        self.planned = planned

    @abstractmethod
    async def inject(self) -> None:
        """Inject the fault."""

    async def recover(self) -> None:  # noqa: B027 - several kinds need no recovery
        """Remove the fault and restart what it stopped."""

    @property
    def node(self) -> ServingNodeProcess:
        """Return the process that the fault affects."""
        nodes = self.fleet.stores if self.planned.on_storage else self.fleet.gateways
        return nodes[self.planned.target_index % len(nodes)]


class KillFault(Fault):
    """Kills a process, then restarts it."""

    async def inject(self) -> None:
        """Kill the process."""
        self.fleet.signal(self.node, signal.SIGKILL)

    async def recover(self) -> None:
        """Restart the process."""
        self.fleet.restart(self.node)


class FreezeFault(Fault):
    """Suspends a process, then resumes it."""

    async def inject(self) -> None:
        """Suspend the process."""
        self.fleet.signal(self.node, signal.SIGSTOP)

    async def recover(self) -> None:
        """Resume the process."""
        self.fleet.signal(self.node, signal.SIGCONT)


class TerminateFault(Fault):
    """Sends SIGTERM to a process and restarts it once it has exited."""

    async def inject(self) -> None:
        """Send SIGTERM."""
        # Another fault may kill and replace the process before recover() runs.
        self._process = self.node.process
        self.fleet.signal(self.node, signal.SIGTERM)

    async def recover(self) -> None:
        """Wait for the process to exit, then restart it."""
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


class SignalSeriesFault(Fault):
    """Reloads, stops and kills a process again and again, and restarts it each time.

    A signal may come while the process starts, reloads or stops.
    """

    async def inject(self) -> None:
        """Start the series."""
        self._task = asyncio.create_task(self._repeat())

    async def recover(self) -> None:
        """End the series, then stop and restart the process once more."""
        self._task.cancel()
        await asyncio.wait((self._task,))
        last = TerminateFault(self.fleet, self.planned)
        await last.inject()
        await last.recover()

    async def _repeat(self) -> None:
        rng = random.Random(str(self.planned))
        while True:
            self.fleet.signal(self.node, rng.choice(SERIES_SIGNALS))
            await asyncio.sleep(rng.uniform(*SERIES_PAUSE_S))
            self.fleet.restart(self.node)


class WipeFault(KillFault):
    """Kills a storage node and restarts it with an empty disk."""

    async def inject(self) -> None:
        """Kill the process and delete its disk."""
        self.fleet.kill_and_wipe(self.node)


class PartitionedLeaderWipeFault(Fault):
    """Partitions the leader from its followers, then wipes its disk.

    A write that the leader acknowledged without a quorum is then lost.
    """

    async def inject(self) -> None:
        """Stall the links to all followers."""
        self._leader = self.fleet.leader() or self.node
        for node in self._followers():
            await self.fleet.set_link_faults(self.fleet.proxies_by_node[node.node_id], silent=True)

    async def recover(self) -> None:
        """Wipe the leader's disk, restore the links and restart the leader."""
        self.fleet.kill_and_wipe(self._leader)
        for node in self._followers():
            await self.fleet.set_link_faults(self.fleet.proxies_by_node[node.node_id])
        self.fleet.restart(self._leader)

    def _followers(self) -> list[ServingNodeProcess]:
        return [node for node in self.fleet.stores if node is not self._leader]


class LateMessagesFault(Fault):
    """Holds back what is sent to one follower, while the leader gives up and connects anew.

    This is repeated. After the last messages have arrived the leader is killed, so that another
    node leads.
    """

    async def inject(self) -> None:
        """Start to hold back messages."""
        self._rng = random.Random(str(self.planned))
        self._task = asyncio.create_task(self._repeat())

    async def recover(self) -> None:
        """Wait until the last messages have arrived, then kill and restart the leader."""
        await self._task
        leader = self.fleet.leader()
        if leader is None:
            return
        self.fleet.signal(leader, signal.SIGKILL)
        await asyncio.sleep(self._rng.uniform(*LEADER_DOWN_S))
        self.fleet.restart(leader)

    async def _repeat(self) -> None:
        ends_at = monotonic() + self.planned.duration_s
        while monotonic() + HOLD_MESSAGES_S[1] + LATE_MESSAGES_PAUSE_S[1] < ends_at:
            proxy = self.fleet.proxies_by_node[self._follower().node_id]
            await self.fleet.set_link_faults(proxy, late=True)
            try:
                await asyncio.sleep(self._rng.uniform(*HOLD_MESSAGES_S))
            finally:
                await self.fleet.set_link_faults(proxy)
            await asyncio.sleep(self._rng.uniform(*LATE_MESSAGES_PAUSE_S))

    def _follower(self) -> ServingNodeProcess:
        leader = self.fleet.leader()
        followers = [node for node in self.fleet.stores if node is not leader]
        return self.node if self.node in followers else followers[0]


class LeaderSeriesFault(Fault):
    """Cuts the leader off, freezes it, then kills and restarts all storage nodes.

    The leader is frozen before it can be reached again. The nodes restart in any order, often first
    the one that was cut off, so that another node than the last leader may lead first.
    """

    async def inject(self) -> None:
        """Start the series."""
        self._task = asyncio.create_task(self._run())

    async def recover(self) -> None:
        """Wait for the end of the series."""
        await self._task

    async def _run(self) -> None:
        rng = random.Random(str(self.planned))
        old_leader = self.fleet.leader() or self.node
        try:
            self.fleet.cut_off(old_leader)
            await asyncio.sleep(rng.uniform(*CUT_OFF_S))
            if rng.random() < 0.5:
                self.fleet.signal(old_leader, signal.SIGSTOP)
            self.fleet.end_cut_off()
            await asyncio.sleep(rng.uniform(*FREEZE_S))
            self.fleet.signal(old_leader, signal.SIGCONT)
            await asyncio.sleep(rng.uniform(*RUN_ON_S))
        finally:
            self.fleet.end_cut_off()
            self.fleet.signal(old_leader, signal.SIGCONT)
            for node in self.fleet.stores:
                self.fleet.signal(node, signal.SIGKILL)
            for node in self._restart_order(rng, old_leader):
                self.fleet.restart(node)
                await asyncio.sleep(rng.uniform(0, MAX_RESTARTS_S / len(self.fleet.stores)))

    def _restart_order(
        self, rng: random.Random, old_leader: ServingNodeProcess
    ) -> list[ServingNodeProcess]:
        order = list(self.fleet.stores)
        rng.shuffle(order)
        if rng.random() < OLD_LEADER_FIRST_PROBABILITY:
            order.sort(key=lambda node: node is not old_leader)
        return order


class KillAllFault(Fault):
    """Kills all processes at once, then restarts them."""

    async def inject(self) -> None:
        """Kill all processes."""
        for node in (*self.fleet.gateways, *self.fleet.stores):
            self.fleet.signal(node, signal.SIGKILL)

    async def recover(self) -> None:
        """Restart all processes."""
        for node in (*self.fleet.gateways, *self.fleet.stores):
            self.fleet.restart(node)


class LinkFault(Fault):
    """Stalls, delays or resets the connections from peers to a node."""

    faults_by_kind: t.ClassVar[dict[FaultKind, dict[str, t.Any]]] = {
        FaultKind.LINK_STALLED: {"silent": True},
        FaultKind.LINK_ONE_WAY: {"one_way": True},
        FaultKind.LINK_DELAYED: {"delay_seconds": LINK_DELAY_S},
        FaultKind.LINK_RESET: {"broken_connections": MAX_RESET_CONNECTIONS},
    }

    async def inject(self) -> None:
        """Set the faults of the node's proxy."""
        proxy = self.fleet.proxies_by_node[self.node.node_id]
        await self.fleet.set_link_faults(proxy, **self.faults_by_kind[self.planned.kind])

    async def recover(self) -> None:
        """Clear the faults of the node's proxy."""
        await self.fleet.set_link_faults(self.fleet.proxies_by_node[self.node.node_id])


class DiskFault(Fault):
    """Makes a node's disk full, slow or unresponsive."""

    modes_by_kind: t.ClassVar[dict[FaultKind, str]] = {
        FaultKind.DISK_FULL: "full",
        FaultKind.DISK_SLOW: "slow",
        FaultKind.DISK_HANGS: "hang",
    }

    async def inject(self) -> None:
        """Set the disk mode."""
        self.fleet.set_hook_faults(self.node, disk=self.modes_by_kind[self.planned.kind])

    async def recover(self) -> None:
        """Restore the disk."""
        self.fleet.set_hook_faults(self.node, disk="")


class ClockStepFault(Fault):
    """Steps a node's wall clock, then steps it back."""

    async def inject(self) -> None:
        """Step the clock forward or back."""
        step_s = CLOCK_STEP_S if self.planned.target_index % 2 else -CLOCK_STEP_S
        self.fleet.set_hook_faults(self.node, clock_step_s=step_s)

    async def recover(self) -> None:
        """Undo the step."""
        self.fleet.set_hook_faults(self.node, clock_step_s=0.0)


class MetadataStoreFault(Fault):
    """Makes the metadata store fail, respond late, lose responses or drop its change history."""

    faults_by_kind: t.ClassVar[dict[FaultKind, dict[str, t.Any]]] = {
        FaultKind.STORE_DOWN: {"outage": True},
        FaultKind.STORE_SLOW: {"delay_seconds": STORE_DELAY_S},
        FaultKind.STORE_LOSES_RESPONSES: {"lost_writes": LOST_STORE_WRITES},
    }

    async def inject(self) -> None:
        """Set the store's faults, or drop its change history."""
        if self.planned.kind is FaultKind.STORE_COMPACTED:
            self.fleet.store.state.compact_history()
            return
        self.fleet.store.switch.faults = Faults(**self.faults_by_kind[self.planned.kind])

    async def recover(self) -> None:
        """Clear the store's faults."""
        self.fleet.store.switch.faults = Faults()


class StoreAccessFault(Fault):
    """Makes the metadata store refuse the calls of one node, or never answer them."""

    async def inject(self) -> None:
        """Block the node's calls."""
        self._affected_node_ids().add(self.node.node_id)

    async def recover(self) -> None:
        """Accept the node's calls again."""
        self._affected_node_ids().discard(self.node.node_id)

    def _affected_node_ids(self) -> set[str]:
        refuses = self.planned.kind is FaultKind.STORE_REFUSES_NODE
        return (
            self.fleet.store.refused_node_ids if refuses else self.fleet.store.unanswered_node_ids
        )


class ServerLinkFault(Fault):
    """Stalls the connections to one back end, or resets them once."""

    async def inject(self) -> None:
        """Set the faults of the back end's proxy."""
        server = self.fleet.stream_servers[
            self.planned.target_index % len(self.fleet.stream_servers)
        ]
        self._proxy = self.fleet.proxies_by_server[server.instance_id]
        if self.planned.kind is FaultKind.SERVER_LINK_STALLED:
            await self.fleet.set_link_faults(self._proxy, silent=True)
        else:
            await self.fleet.set_link_faults(self._proxy, broken_connections=MAX_RESET_CONNECTIONS)

    async def recover(self) -> None:
        """Clear the faults of the back end's proxy."""
        await self.fleet.set_link_faults(self._proxy)


class ServerResponseFault(Fault):
    """Makes back ends lose responses after a run, or interrupt streams halfway."""

    async def inject(self) -> None:
        """Set the faults of the back ends."""
        if self.planned.kind is FaultKind.SERVER_CUTS_STREAMS:
            for server in self.fleet.stream_servers:
                server.switch.faults = Faults(cut_streams=CUT_STREAMS)
        else:
            for server in self.fleet.plain_servers:
                server.switch.faults = Faults(lost_answers=LOST_SERVER_RESPONSES)

    async def recover(self) -> None:
        """Clear the faults of all back ends."""
        for server in self.fleet.all_servers:
            server.switch.faults = Faults()


class ServerReplacementFault(Fault):
    """Drains a back end and adds a replacement."""

    async def inject(self) -> None:
        """Announce the replacement and drain the old back end."""
        await self.fleet.replace_server(self.planned.target_index)


class ReleaseFault(Fault):
    """Replaces the stream servers one after the other by servers of another software version."""

    async def inject(self) -> None:
        """Start the release."""
        self._task = asyncio.create_task(self._run())

    async def recover(self) -> None:
        """Wait for the end of the release."""
        await self._task

    async def _run(self) -> None:
        version = f"v{self.planned.target_index + 1}"
        self.fleet.released_version = version
        for index in range(len(self.fleet.stream_servers)):
            await self.fleet.replace_server(index, version)
            await asyncio.sleep(self.planned.duration_s / len(self.fleet.stream_servers))


class CrashSeriesFault(Fault):
    """Crashes some of the stream servers again and again; each restarts soon."""

    async def inject(self) -> None:
        """Start the series."""
        self._task = asyncio.create_task(self._run())

    async def recover(self) -> None:
        """End the series."""
        self._task.cancel()
        await asyncio.wait((self._task,))

    async def _run(self) -> None:
        rng = random.Random(self.planned.target_index)
        while True:
            for server in list(self.fleet.stream_servers):
                if rng.random() < CRASH_SHARE:
                    self.fleet.crash_server(server)
            await asyncio.sleep(CRASH_INTERVAL_S)


class EndlessAnswersFault(Fault):
    """Makes one stream server answer some requests without end."""

    async def inject(self) -> None:
        """Set the share of such answers."""
        servers = self.fleet.stream_servers
        self._server = servers[self.planned.target_index % len(servers)]
        self._server.endless_share = ENDLESS_SHARE

    async def recover(self) -> None:
        """Let it answer soundly again."""
        self._server.endless_share = 0.0


class AddedRouteFault(Fault):
    """Adds a route to the configuration, as the operator does."""

    async def inject(self) -> None:
        """Write a configuration with one more route."""
        await self.fleet.add_route()


class ZoneEvacuationFault(Fault):
    """Evacuates a zone, as the operator does, and ends the evacuation."""

    async def inject(self) -> None:
        """Evacuate the zone."""
        self._record = await self.fleet.evacuate_zone(self.planned.target_index)

    async def recover(self) -> None:
        """End the evacuation."""
        await self.fleet.end_evacuation(self._record)


class PoisonRequestFault(Fault):
    """Repeats a poison request at all gateways in turn, as a retrying caller does."""

    async def inject(self) -> None:
        """Start to send the request."""
        self._task = asyncio.create_task(self._repeat())

    async def recover(self) -> None:
        """Stop sending the request."""
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


class PoisonPartFault(Fault):
    """Sends requests that are never alike but share a part that crashes back ends."""

    async def inject(self) -> None:
        """Start to send requests."""
        self._senders = BackgroundTasks()
        self._task = asyncio.create_task(self._send_all())

    async def recover(self) -> None:
        """Stop sending requests."""
        self._task.cancel()
        await asyncio.wait((self._task,))
        await self._senders.stop()

    async def _send_all(self) -> None:
        part_id = self.fleet.add_poison_part()
        for number in itertools.count(self.planned.target_index):
            self._senders.spawn(self._send(part_id, number))
            await asyncio.sleep(POISON_PART_INTERVAL_S)

    async def _send(self, part_id: str, number: int) -> None:
        request_id = f"{part_id}-{number}"
        headers = {names.PROMPT_PREFIX: prompt_of(COMMON_PART, part_id, request_id)}
        gateway = number % len(self.fleet.gateways)
        with suppress(aiohttp.ClientError, TimeoutError, OSError):
            async with asyncio.timeout(POISON_REQUEST_TIMEOUT_S):
                await self.fleet.request(
                    gateway, POISON_PATH, request_id, data=request_id.encode(), headers=headers
                )


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
    FaultKind.POISON_PART: PoisonPartFault,
    FaultKind.SIGNAL_SERIES: SignalSeriesFault,
    FaultKind.LATE_MESSAGES: LateMessagesFault,
    FaultKind.LEADER_SERIES: LeaderSeriesFault,
    FaultKind.RELEASE: ReleaseFault,
    FaultKind.CRASH_SERIES: CrashSeriesFault,
    FaultKind.ENDLESS_ANSWERS: EndlessAnswersFault,
}


async def inject_fault(fleet: SoakFleet, planned: PlannedFault) -> None:
    """Wait for a fault's start time, inject it for its duration and recover from it."""
    await asyncio.sleep(planned.start_s)
    fault = FAULTS_BY_KIND[planned.kind](fleet, planned)
    await fault.inject()
    try:
        await asyncio.sleep(planned.duration_s)
    finally:
        await fault.recover()
