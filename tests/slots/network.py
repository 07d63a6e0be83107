"""Granting nodes, gateways and leaders in virtual time, connected by an unreliable network."""

import asyncio
from collections import Counter
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from random import Random
from typing import cast

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame
from wharfcart.cluster.topology import Distance
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import RequestLimit
from wharfcart.experiments.simulated_slots import VIRTUAL_CLOCK_MODULES
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_clock
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.placement import PlacementRequest
from wharfcart.slots.events import HolderId
from wharfcart.slots.fleet_load import FleetLoad
from wharfcart.slots.granted_placement import GrantedPlacement
from wharfcart.slots.item_slots import ItemSlots
from wharfcart.slots.permit_relays import PermitRelays
from wharfcart.slots.permits import Permit
from wharfcart.slots.service import SlotService
from wharfcart.slots.session import SlotUpdateListener
from wharfcart.slots.sessions import SlotSessions

METRICS = ServingMetrics()
ONE_WAY_S = 0.001
SETTLE_S = 0.2


def distance_from_z(zone: str) -> Distance:
    """Return the distance of a zone from the back ends' zone ``z``."""
    if zone.startswith("far"):
        return Distance.OTHER_REGION
    return Distance.SAME_ZONE if zone == "z" else Distance.SAME_REGION


class Node:
    """A node that can grant slots."""

    def __init__(
        self, number: int, selector: BackendSelector, limits: dict[str, RequestLimit]
    ) -> None:
        self.address = Address("node", number)
        self.leadership_unconfirmed = False  # another node may already lead
        self.selector = selector
        self.service = SlotService(
            0,
            selector,
            lambda _instance: True,
            distance_from_z,
            DecisionLog("test"),
            METRICS.requests_waiting,
            limits.get,
            lambda: not self.leadership_unconfirmed,
        )


class Network:
    """Connections between holders and granting nodes."""

    def __init__(self) -> None:
        self.nodes: dict[Address, Node] = {}
        self.one_way_s = ONE_WAY_S
        self.round_trip_s = 0.0  # as reported by the transport; 0 if unknown
        self.unreachable: set[Address] = set()  # delays traffic in both directions
        self.snapshots_by_holder: Counter[str] = Counter()
        self.serving: dict[tuple[str, Address], set[asyncio.Task[None]]] = {}
        self.broken: dict[tuple[str, Address], asyncio.Event] = {}
        self.relays: dict[Address, Holder] = {}

    @property
    def snapshots(self) -> int:
        """Number of snapshots that were sent to all holders."""
        return self.snapshots_by_holder.total()

    async def reach(self, address: Address) -> None:
        """Wait for the one-way delay, and while the node is unreachable."""
        await asyncio.sleep(self.one_way_s)
        while address in self.unreachable:
            await asyncio.sleep(ONE_WAY_S)

    def break_connection(self, holder: str, node: Node, notify_node: bool = True) -> None:
        """Break a holder's connection; the node notices it at once or never."""
        key = (holder, node.address)
        if notify_node:
            for task in self.serving.pop(key, set()):
                task.cancel()
        self.broken.pop(key, asyncio.Event()).set()


class HolderTransport:
    """One holder's side of the network."""

    def __init__(self, network: Network, holder: str) -> None:
        self._network = network
        self._holder = holder
        self._sent: dict[tuple[str, Address], asyncio.Task[None]] = {}

    async def stream(
        self, address: Address, frame: Frame, _traffic: TrafficClass
    ) -> AsyncGenerator[Frame, None]:
        """Open a session, or request a slot or a permit."""
        network = self._network
        key = (self._holder, address)
        broken = network.broken.setdefault(key, asyncio.Event())
        answers: asyncio.Queue[Frame] = asyncio.Queue()

        async def answer(frame: Frame) -> None:
            network.snapshots_by_holder[self._holder] += frame.slot_news.HasField("picture")
            answers.put_nowait(Frame.FromString(frame.SerializeToString()))

        await network.reach(address)
        service = network.nodes[address].service
        if frame.WhichOneof("body") == "slot_request":
            work = service.serve_request(frame.slot_request, answer)
        elif frame.WhichOneof("body") == "permit_request":
            work = service.serve_permit(frame.permit_request, answer)
        elif frame.WhichOneof("body") == "find_stream_origin":
            work = service.serve_find_origin(frame.find_stream_origin, answer)
        else:
            work = service.serve_session(frame.open_slot_session, answer)
        task = asyncio.create_task(work)
        network.serving.setdefault(key, set()).add(task)
        try:
            while True:
                received = asyncio.create_task(answers.get())
                disconnected = asyncio.create_task(broken.wait())
                await asyncio.wait((received, disconnected), return_when=asyncio.FIRST_COMPLETED)
                disconnected.cancel()
                if not received.done():
                    received.cancel()
                    raise PeerUnreachableError(address, sent=True)
                await network.reach(address)
                yield received.result()
        finally:
            if not broken.is_set():
                asyncio.get_running_loop().call_later(ONE_WAY_S, task.cancel)

    async def call(self, address: Address, frame: Frame, traffic: TrafficClass) -> Frame:
        """Send a request and return its first answer."""
        if address in self._network.relays:
            await asyncio.sleep(2 * ONE_WAY_S)
            return await self._network.relays[address].answer(frame)
        async with aclosing(self.stream(address, frame, traffic)) as answers:
            return await anext(answers)

    def send(self, address: Address, frame: Frame, _traffic: TrafficClass) -> None:
        """Send the events of a session in order."""
        sent = Frame.FromString(frame.SerializeToString())
        key = (self._holder, address)
        previous = self._sent.get(key)
        self._sent[key] = asyncio.create_task(self._deliver(address, sent, previous))

    async def _deliver(
        self, address: Address, frame: Frame, previous: asyncio.Task[None] | None
    ) -> None:
        await self._network.reach(address)
        if previous is not None:
            await previous
        service = self._network.nodes[address].service
        if frame.WhichOneof("body") == "report_stream_origin":
            service.record_origin(frame.report_stream_origin)
        else:
            service.handle_events(frame.slot_events)

    def round_trip_s(self, address: Address) -> float:
        return self._network.round_trip_s

    def drop(self, address: Address, _traffic: TrafficClass) -> None:
        """Close the connection."""
        self._network.break_connection(
            self._holder, self._network.nodes[address], notify_node=False
        )


class Holder:
    """A gateway, or a leader with items."""

    def __init__(
        self, fleet: "Fleet", name: str, listener: SlotUpdateListener | None = None, zone: str = "z"
    ) -> None:
        self.name = name
        self.selector = fleet.new_selector(zone)
        self.sessions = SlotSessions(
            HolderId(name),
            self.selector,
            cast(Transport, HolderTransport(fleet.network, name)),
            lambda: 1,
            lambda _group: fleet.leader.address,
            lambda _instance_id: 0,
            listener or FleetLoad(self.selector),
            DecisionLog(name),
            lambda _group: [node.address for node in fleet.backups],
            f"{name}:1",
        )
        self.connected: set[str] = set()
        self._limits = fleet.limits
        self.relays = PermitRelays(
            cast(Transport, HolderTransport(fleet.network, name)),
            self.sessions.relays,
        )
        self.placement = GrantedPlacement(
            self.selector,
            self.sessions,
            lambda _group: Distance.SAME_ZONE,
            lambda: self.connected,
            METRICS.placements,
            self.relays,
        )
        self.task = BackgroundTasks().supervise(self.sessions.run)

    async def answer(self, frame: Frame) -> Frame:
        """Request a permit on behalf of another gateway."""
        tenant = frame.relay_permit.tenant
        permit = Permit(self.sessions, self.relays, tenant, self._limits.get(tenant))
        return Frame(permit_answer=await permit.answer_for_peer())


class Fleet:
    """Back ends, two nodes of which one grants, and holders."""

    def __init__(self, servers: int = 2, slots: int = 2) -> None:
        self.servers = servers
        self.slots = slots
        self.rng = Random(1)
        self.network = Network()
        self.limits: dict[str, RequestLimit] = {}
        self.nodes = [Node(number, self.new_selector(), self.limits) for number in range(2)]
        for node in self.nodes:
            self.network.nodes[node.address] = node
        self.leader = self.nodes[0]
        self.backups: list[Node] = []  # backup coordinators
        self.leader.service.begin(1)
        self.tasks = [asyncio.create_task(node.service.run()) for node in self.nodes]
        self.holders: dict[str, Holder] = {}

    def new_selector(self, zone: str = "z") -> BackendSelector:
        selector = BackendSelector(zone, self.rng)
        for n in range(self.servers):
            selector.put(BackendInstance(f"i{n}", "s", "127.0.0.1", 1, "z", self.slots, True))
        return selector

    async def gateway(self, name: str, zone: str = "z") -> Holder:
        """Start a gateway and wait for its session."""
        self.holders[name] = Holder(self, name, zone=zone)
        self.network.relays[Address(name, 1)] = self.holders[name]
        await asyncio.sleep(SETTLE_S)
        return self.holders[name]

    async def items(self, name: str = "leader/0") -> ItemSlots:
        """Start a leader with items and wait for its session."""
        slots = ItemSlots()
        self.holders[name] = Holder(self, name, slots)
        slots.begin(self.holders[name].sessions)
        await asyncio.sleep(SETTLE_S)
        return slots

    def change_leader(self) -> None:
        """Stop granting at the current node and begin at the other one."""
        self.leader.service.end()
        self.leader = self.nodes[1 - self.nodes.index(self.leader)]
        self.leader.service.begin(2)

    def in_use(self) -> int:
        """Return the number of taken slots according to the granting node."""
        granter = self.leader.service.granter
        assert granter is not None
        now = asyncio.get_running_loop().time()
        return sum(load.in_use for load in granter.snapshot(now).backends)


def request(waits_s: float = 5.0, **more: object) -> PlacementRequest:
    now = asyncio.get_running_loop().time()
    values = {
        "service": "s",
        "excluded": frozenset(),
        "affinity_key": "",
        "unread_tokens": 0,
        "request_id": "r",
        "route_name": "route",
        "start_deadline": now + 1.0,
        "queue_deadline": now + waits_s,
        "priority": 0,
    }
    return PlacementRequest(**(values | more))


def play(scenario: Callable[[Fleet], Awaitable[None]], **more: int) -> None:
    async def run() -> None:
        fleet = Fleet(**more)
        await scenario(fleet)
        for task in [*fleet.tasks, *(holder.task for holder in fleet.holders.values())]:
            task.cancel()

    with virtual_clock(VIRTUAL_CLOCK_MODULES):
        run_in_virtual_time(run())
