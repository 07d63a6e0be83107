"""Hollow nodes: membership, configuration propagation and codecs, hundreds of nodes in a process.

Time is virtual; the simulated network delays and drops messages. Every datagram and every pull is
encoded and decoded as between real nodes, so that bytes and processor time are realistic.
"""

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from wharfcart.cluster.address import Address
from wharfcart.cluster.membership import (
    MemberChanged,
    Membership,
    MembershipAction,
    PeerRevisions,
    SendGossip,
)
from wharfcart.cluster.messages_pb2 import (
    ALIVE,
    CONFIGURATION,
    DEAD,
    Entries,
    Entry,
    Frame,
    Gossip,
    Member,
    PullEntries,
)
from wharfcart.configuration.revisioned_map import RevisionedMap

TICK_S = 0.05
ZONE_DELAY_S = 0.001
REGION_DELAY_S = 0.015
UDP_HEADER_BYTES = 28
TCP_HEADER_BYTES = 44
SEED_NODES = 5
JOIN_WINDOW_S = 5.0


@dataclass
class HollowNode:
    """State of one node, and its traffic and processor time."""

    name: str
    zone: str
    region: str
    membership: Membership
    configuration: RevisionedMap = field(default_factory=RevisionedMap)
    up: bool = True
    bytes_sent: int = 0
    messages_sent: int = 0
    cpu_seconds: float = 0.0
    pulling: bool = False


@dataclass(frozen=True)
class StateChange:
    """A state change of a member as seen by one observer."""

    observed_at: float
    observer: str
    member: str
    state: int


class HollowFleet:
    """Hollow nodes in several zones and regions."""

    def __init__(
        self, count: int, seed: int, loss: float, zones: int = 7, regions: int = 3
    ) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.nodes: list[HollowNode] = []
        self.changes: list[StateChange] = []
        self.applied_at: dict[int, dict[str, float]] = {}
        self.partitioned_regions: set[frozenset[str]] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._by_address: dict[Address, HollowNode] = {}
        for number in range(count):
            self._add_node(number, zones, regions)
        for node in self.nodes:
            self.call_later(self.random.uniform(0, JOIN_WINDOW_S), lambda n=node: self._start(n))  # type: ignore[misc]

    def _add_node(self, number: int, zones: int, regions: int) -> None:
        zone = number % zones
        address = Address(f"10.0.{number // 250}.{number % 250}", 8500)
        member = Member(
            node_id=f"node-{number}",
            host=address.host,
            port=address.port,
            incarnation=1_796_000_000,
            state=ALIVE,
            zone=f"zone-{zone}",
        )
        seeds = [Address("10.0.0." + str(seed), 8500) for seed in range(SEED_NODES)]
        membership = Membership(member, seeds, random.Random(self.random.random()))
        node = HollowNode(member.node_id, member.zone, f"region-{zone % regions}", membership)
        self.nodes.append(node)
        self._by_address[address] = node

    # ---- time ----

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after a delay of simulated time, in seconds."""
        self._sequence += 1
        heapq.heappush(self._events, (self.now + delay, self._sequence, callback))

    def run(self, seconds: float) -> None:
        """Advance simulated time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, work = heapq.heappop(self._events)
            work()
        self.now = end

    def _start(self, node: HollowNode) -> None:
        self._run_core(node, lambda: node.membership.start(self.now))
        self._tick(node)

    def _tick(self, node: HollowNode) -> None:
        if node.up:
            self._run_core(node, lambda: node.membership.tick(self.now))
        wait = max(TICK_S, node.membership.next_deadline(self.now) - self.now)
        self.call_later(min(1.0, wait), lambda: self._tick(node))

    # ---- network ----

    def _run_core(self, node: HollowNode, run_core: Callable[[], list[MembershipAction]]) -> None:
        """Run the membership core, charge its processor time to the node, execute its actions."""
        started_at = time.process_time()
        actions = run_core()
        datagrams: list[tuple[Address, bytes]] = []
        for action in actions:
            if isinstance(action, SendGossip):
                datagrams.append((action.address, action.message.SerializeToString()))
        node.cpu_seconds += time.process_time() - started_at
        for address, data in datagrams:
            self._send(node, address, data)
        for action in actions:
            if isinstance(action, MemberChanged):
                member = action.member
                change = StateChange(self.now, node.name, member.node_id, member.state)
                self.changes.append(change)
            elif isinstance(action, PeerRevisions):
                self._handle_peer_revisions(node, action)

    def _send(self, node: HollowNode, address: Address, data: bytes) -> None:
        node.bytes_sent += len(data) + UDP_HEADER_BYTES
        node.messages_sent += 1
        target = self._by_address.get(address)
        if target is None or self.random.random() < self.loss or self._is_partitioned(node, target):
            return
        sender = Address(node.membership.local_member.host, node.membership.local_member.port)
        self.call_later(self._delay(node, target), lambda: self._receive(target, data, sender))

    def _receive(self, node: HollowNode, data: bytes, sender: Address) -> None:
        if node.up:
            self._run_core(
                node, lambda: node.membership.receive(Gossip.FromString(data), sender, self.now)
            )

    def _delay(self, one: HollowNode, other: HollowNode) -> float:
        base = ZONE_DELAY_S if one.region == other.region else REGION_DELAY_S
        return base * (0.5 + self.random.random())

    def _is_partitioned(self, one: HollowNode, other: HollowNode) -> bool:
        return frozenset((one.region, other.region)) in self.partitioned_regions

    # ---- configuration propagation ----

    def _handle_peer_revisions(self, node: HollowNode, peer: PeerRevisions) -> None:
        if peer.configuration_revision <= node.configuration.revision or node.pulling:
            return
        source = next((n for n in (self._find_node(peer.node_id),) if n is not None and n.up), None)
        if source is None or self._is_partitioned(node, source):
            return
        node.pulling = True
        started_at = time.process_time()
        pull = PullEntries(namespace=CONFIGURATION, since_revision=node.configuration.revision)
        request = Frame(call_id=1, pull_entries=pull).SerializeToString()
        node.cpu_seconds += time.process_time() - started_at
        node.bytes_sent += len(request) + TCP_HEADER_BYTES
        node.messages_sent += 1
        delay = self._delay(node, source)
        self.call_later(delay, lambda: self._serve_pull(node, source, pull.since_revision))

    def _serve_pull(self, node: HollowNode, source: HollowNode, since: int) -> None:
        started_at = time.process_time()
        entries = Entries(
            namespace=CONFIGURATION,
            revision=source.configuration.revision,
            entries=source.configuration.changes_since(since),
        )
        data = Frame(call_id=1, entries=entries).SerializeToString()
        source.cpu_seconds += time.process_time() - started_at
        source.bytes_sent += len(data) + TCP_HEADER_BYTES
        source.messages_sent += 1
        self.call_later(self._delay(source, node), lambda: self._receive_entries(node, data))

    def _receive_entries(self, node: HollowNode, data: bytes) -> None:
        node.pulling = False
        if node.up:
            self._apply_entries(node, Frame.FromString(data).entries)

    def _apply_entries(self, node: HollowNode, entries: Entries) -> None:
        node.configuration.merge(entries.entries, entries.revision)
        for revision in range(entries.revision, 0, -1):
            time_by_node = self.applied_at.setdefault(revision, {})
            if node.name in time_by_node:
                break
            time_by_node[node.name] = self.now
        node.membership.configuration_revision = node.configuration.revision
        self._run_core(node, node.membership.announce_revision)

    def change_configuration(self, revision: int, value_bytes: int = 220) -> None:
        """Apply a configuration change at a random live node."""
        node = self.random.choice([node for node in self.nodes if node.up])
        entry = Entry(
            key=f"deployment/tenant-{revision % 270}/service-{revision % 40}",
            value=bytes(self.random.randrange(256) for _ in range(value_bytes)),
            revision=revision,
        )
        entries = Entries(namespace=CONFIGURATION, revision=revision, entries=[entry])
        self._apply_entries(node, entries)

    # ---- inspection and faults ----

    def _find_node(self, name: str) -> HollowNode | None:
        number = int(name.removeprefix("node-"))
        return self.nodes[number] if number < len(self.nodes) else None

    def kill(self, names: set[str]) -> None:
        """Crash nodes."""
        for node in self.nodes:
            if node.name in names:
                node.up = False

    def detection_times(self, killed: set[str], killed_at: float) -> list[float]:
        """Return the detection time of each observer and killed node, in seconds, sorted."""
        return sorted(
            change.observed_at - killed_at
            for change in self.changes
            if change.member in killed
            and change.state == DEAD
            and change.observed_at >= killed_at
            and change.observer not in killed
        )

    def false_removals(self, killed: set[str]) -> int:
        """Return how many times an observer declared a live node dead."""
        return sum(change.state == DEAD and change.member not in killed for change in self.changes)

    def reset_counters(self) -> None:
        """Reset the counters of traffic and processor time."""
        for node in self.nodes:
            node.bytes_sent = node.messages_sent = 0
            node.cpu_seconds = 0.0
