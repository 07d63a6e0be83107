"""State shared by gateways and storage nodes: mirror, peers, back ends and the own entry.

All knowledge of the fleet comes from the node's mirror of the coordination service.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from time import time

from wharfcart.admission.crashing_parts import CrashingParts
from wharfcart.admission.poison_requests import RELEASE_JITTER_S, PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.clock import SuspensionDetector, monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationUnavailableError,
    KeyChange,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import BackendEnds, Frame
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.mirror_sync import MirrorSync
from wharfcart.cluster.peer_selection import Peer, PeerSelector
from wharfcart.cluster.peer_updates import PeerUpdatesEncoder, TransportPeerClient
from wharfcart.cluster.topology import Distance, RegionName, Topology
from wharfcart.cluster.transport import Handler, Responder, TrafficClass, Transport
from wharfcart.configuration.residence import Residence
from wharfcart.configuration.residence_check import unknown_region_findings
from wharfcart.configuration.serving import RequestLimit, ServingConfiguration
from wharfcart.node.backend_updates import BackendUpdates
from wharfcart.node.evacuations import ZoneEvacuations
from wharfcart.node.fleet_keys import (
    CRASH_REPORT_PREFIX,
    GROUP_PREFIX,
    LAYOUT_KEY,
    NODE_PREFIX,
    POISON_REQUEST_PREFIX,
    SOUND_PART_PREFIX,
    VERSION_RECORD_PREFIX,
    NodeEntry,
    NodeKind,
    node_entry_from,
)
from wharfcart.node.poison_evidence_sync import PoisonEvidenceSync
from wharfcart.node.suspension_watch import SuspensionWatch
from wharfcart.node.version_records import VersionRecords
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.observability.tasks import BackgroundTasks, record_failure
from wharfcart.platform import documents, names
from wharfcart.platform.metadata_store import MetadataStore
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.eligibility import Eligibility
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.serving import ServingSettings
from wharfcart.storage.group_record import GroupRecord, group_record_from
from wharfcart.storage.layout import Layout, layout_from_bytes

ANNOUNCE_RETRY_S = 0.5
MAX_LOGGED_FINDINGS = 20  # of one configuration
MAX_REASON_LENGTH = 200  # of a refused entry in the log
MIN_CONNECTIONS = 2
MAX_AGE_S = 1e6  # shown by the metric until the mirror is first confirmed
# Storage nodes that receive evidence when the coordination service is unavailable here: more than
# one, because the service may be unavailable to one of them as well. If it refuses a third of all
# nodes, one of two random ones reaches it nine times in ten. One that does not relays it further.
MAX_RELAYS = 2
# Lower bound, because a starting node does not know all nodes yet.
MIN_ASSUMED_NODES = 8


class ServingNode:
    """State and connections of one node; gateway and storage processes build on it.

    Args:
        settings: settings of the node.
        log: the decision log.

    Attributes:
        selector: selects back ends and holds what this node knows about them.
        configuration: the configuration in force; None until it is loaded.
        nodes: entries of all nodes by node id.
        storage_by_identity: entries of storage nodes by identity of their disk.
        layout: the layout of the job groups; None until it is loaded.
        records_by_group: records of the job groups by number.
        version_records: software versions of the services, kept in the coordination service.
        role_handler: handles calls that only a gateway or a storage node answers.
        count_nodes: returns the number of nodes that share each back end's connections.
    """

    def __init__(self, settings: ServingSettings, log: DecisionLog) -> None:
        self.settings = settings
        self.log = log
        self.metrics = ServingMetrics()
        self.random = Random()
        self.mirror = Mirror()
        self.pool = ConnectionPool()
        self.topology = Topology(
            {zone: RegionName(region) for zone, region in settings.regions_by_zone.items()}
        )
        self.selector = BackendSelector(settings.zone, self.random, Eligibility(self.topology))
        self.configuration: ServingConfiguration | None = None
        self.nodes: dict[str, NodeEntry] = {}
        self.storage_by_identity: dict[str, NodeEntry] = {}
        self.layout: Layout | None = None
        self.records_by_group: dict[int, GroupRecord] = {}
        self.tasks = BackgroundTasks()
        host, port = split_endpoint(settings.coordination)
        self.coordination = MetadataStore(host, port, self.metrics.coordination_calls)
        self._zones_by_host: dict[str, str] = {}
        self.transport = Transport(self.handle, self._count_sent)
        self._updates_encoder = PeerUpdatesEncoder()
        self._peer_selector = PeerSelector(settings.node_id, settings.zone, self.topology)
        self.mirror_sync = MirrorSync(
            self.mirror,
            self.coordination,
            self._peer_selector,
            TransportPeerClient(self.transport),
            self._apply_changes,
            log,
            _seed_peers(settings),
        )
        self._backend_updates = BackendUpdates(
            self.selector,
            self.pool,
            lambda: self.mirror_sync.in_outage,
            lambda: self.mirror_sync.age_s,
            log,
        )
        self._evacuations = ZoneEvacuations(
            self.selector, log, self.metrics, lambda: self.mirror_sync.age_s
        )
        self.suspension_detector = SuspensionDetector()
        self.suspension_watch = SuspensionWatch(self.suspension_detector, log)
        release_jitter_s = self.random.uniform(0.0, RELEASE_JITTER_S)
        poison_requests = PoisonRequests(
            parts=CrashingParts(release_jitter_s=release_jitter_s),
            release_jitter_s=release_jitter_s,
        )
        self.crash_detector = CrashDetector(poison_requests, log, self.metrics.answer_ends.add)
        self._poison_evidence_sync = PoisonEvidenceSync(
            poison_requests, self.coordination, self.mirror, self.random, self._relay_crashes
        )
        self.version_records = VersionRecords(
            self.selector, self.coordination, self.mirror, self.random
        )
        self.metrics.quarantined_fingerprints.set_function(
            lambda: poison_requests.quarantined_count(time())
        )
        self.metrics.quarantined_parts.set_function(
            lambda: len(poison_requests.parts.suspicions(time()))
        )
        self.metrics.cold_backends.set_function(
            lambda: len(self.selector.cold_instances(monotonic()))
        )
        self.metrics.mirror_age_seconds.set_function(lambda: min(self.mirror_sync.age_s, MAX_AGE_S))
        self.role_handler: Handler = _ignore
        self.count_nodes: Callable[[], int] = lambda: len(self.nodes)

    async def start(self) -> None:
        """Listen for peers and start to synchronize with the coordination service."""
        host, port = split_endpoint(self.settings.cluster_listen)
        await self.transport.start(Address(host, port))
        if self.settings.metrics_listen is not None:
            self.metrics.serve(*split_endpoint(self.settings.metrics_listen))
        self.tasks.supervise(self.log.run)
        self.tasks.supervise(self.mirror_sync.run)
        self.tasks.supervise(self._evacuations.run)
        self.tasks.supervise(self._poison_evidence_sync.run)
        self.tasks.supervise(self.suspension_watch.run)

    async def stop(self) -> None:
        """Stop all tasks and close all connections."""
        await self.tasks.stop()
        await self.transport.stop()
        self.pool.close()

    def reload(self, settings: ServingSettings) -> None:
        """Apply the settings that may change at run time: the seeds and the stop timeout."""
        self.settings = replace(
            self.settings, seeds=settings.seeds, stop_within_s=settings.stop_within_s
        )

    async def announce(self, entry: NodeEntry) -> None:
        """Write this node's entry to the coordination service unless it is there already."""
        while True:
            try:
                current = await self.coordination.read(entry.key)
                if current is not None and current.value == entry.to_bytes():
                    return
                revision = 0 if current is None else current.revision
                await self.coordination.commit(
                    Transaction({entry.key: revision}, {entry.key: entry.to_bytes()})
                )
                return
            except (CoordinationUnavailableError, ConditionFailedError):
                await asyncio.sleep(ANNOUNCE_RETRY_S * (0.5 + self.random.random()))

    def connection_limit(self, service: str) -> int:
        """Return this node's share of the connections that one back end accepts."""
        if self.configuration is None or service not in self.configuration.services:
            return MIN_CONNECTIONS
        total = self.configuration.services[service].connection_limit
        return max(MIN_CONNECTIONS, total // max(MIN_ASSUMED_NODES, self.count_nodes()))

    def limit_of(self, tenant: str) -> RequestLimit | None:
        """Return a tenant's request limit; None if it has none."""
        return None if self.configuration is None else self.configuration.limit_of(tenant)

    # ---- the job groups ----

    @property
    def group_count(self) -> int:
        """Number of job groups; 0 while it is unknown."""
        return 0 if self.layout is None else self.layout.group_count

    def leader_address(self, group: int) -> Address | None:
        """Return the address of a group's leader; None if it is unknown."""
        record = self.records_by_group.get(group)
        return None if record is None else self.storage_address(record.leader)

    def backup_coordinator_addresses(self, group: int) -> list[Address]:
        """Return the addresses of a group's replicas except its leader, in a fleet-wide order."""
        record = self.records_by_group.get(group)
        if record is None:
            return []
        others = sorted(record.members - {record.leader})
        addresses = [self.storage_address(identity) for identity in others]
        return [address for address in addresses if address is not None]

    def storage_region(self, identity: str) -> RegionName | None:
        """Return the region of a storage identity; None if it is unknown."""
        entry = self.storage_by_identity.get(identity)
        return None if entry is None else self.topology.region(entry.zone)

    def storage_address(self, identity: str) -> Address | None:
        """Return the address of a storage identity; None if it is unknown."""
        entry = self.storage_by_identity.get(identity)
        return None if entry is None else entry.address

    def group_of_instance(self, instance_id: str) -> int | None:
        """Return the group that grants a back end's slots; None if it is unknown."""
        state = self.selector.state(instance_id)
        if self.layout is None or state is None:
            return None
        return self.layout.group_of(state.instance, self.topology)

    def distance_to_group(self, group: int, zone: str | None = None) -> Distance:
        """Return the distance from a zone to a group's nearest back ends.

        Args:
            group: number of the group.
            zone: the zone; None for this node's zone.
        """
        if self.layout is None:
            return Distance.OTHER_REGION
        return self.layout.distance(group, zone or self.settings.zone, self.topology)

    def grants_in(self, group: int, residence: Residence) -> bool:
        """Whether a group can grant slots of back ends in the regions of a residence."""
        return self.layout is None or self.layout.may_grant_in(group, residence, self.topology)

    async def handle(self, frame: Frame, respond: Responder) -> None:
        """Handle a peer's call."""
        if frame.WhichOneof("body") == "coordination_pull":
            pull = frame.coordination_pull
            updates = await self.mirror_sync.serve_pull(pull.after, pull.wait_ms / 1000)
            message = self._updates_encoder.encode(updates)
            await respond(Frame(last=True, coordination_changes=message))
            return
        if frame.WhichOneof("body") == "backend_ends":
            self._poison_evidence_sync.apply_relayed(frame.backend_ends)
            return
        await self.role_handler(frame, respond)

    def _relay_crashes(self, message: BackendEnds) -> None:
        """Send evidence that this node could not write to random storage nodes."""
        others = [
            entry
            for entry in self.storage_by_identity.values()
            if entry.node_id != self.settings.node_id
        ]
        for entry in self.random.sample(others, min(MAX_RELAYS, len(others))):
            frame = Frame(backend_ends=message)
            self.transport.send(entry.address, frame, TrafficClass.ONLINE)

    def _count_sent(self, host: str, kind: str, size: int) -> None:
        zone = self._zones_by_host.get(host)
        distance = "unknown"
        if zone is not None:
            distance = self.topology.distance(self.settings.zone, zone).name.lower()
        self.metrics.count_peer_message(distance, kind, size)

    # ---- mirror ----

    def _apply_changes(self, changes: list[KeyChange]) -> None:
        """Apply changes; one that is malformed leaves what was known of its key in force.

        Any process may write to the coordination service, and the mirror delivers a change once.
        """
        for change in changes:
            try:
                self._apply_change(change)
            except Exception as error:
                record_failure("ServingNode._apply_change", error)
                self.log.write(
                    Event.ENTRY_REFUSED,
                    key=change.key,
                    revision=change.revision,
                    reason=f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH],
                )
        self._backend_updates.log_pending()

    def _apply_change(self, change: KeyChange) -> None:
        if change.key == names.CONFIGURATION_KEY:
            self._apply_configuration(change)
        elif change.key.startswith(names.SERVER_PREFIX):
            self._backend_updates.apply(change)
        elif change.key.startswith(names.EVACUATE_PREFIX):
            self._evacuations.apply(change)
        elif change.key.startswith((POISON_REQUEST_PREFIX, CRASH_REPORT_PREFIX, SOUND_PART_PREFIX)):
            self._poison_evidence_sync.apply_change(change)
        elif change.key.startswith(VERSION_RECORD_PREFIX):
            self.version_records.apply_change(change)
        elif change.key.startswith(NODE_PREFIX):
            self._apply_node_entry(change)
        elif change.key.startswith(GROUP_PREFIX):
            self._apply_group_record(change)
        elif change.key == LAYOUT_KEY and change.value is not None:
            self.layout = layout_from_bytes(change.value)

    def _apply_configuration(self, change: KeyChange) -> None:
        if change.value is None:
            return
        configuration = documents.parse_configuration(change.value)
        if self.configuration is not None and configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.selector.cold.limits = configuration.cold_limits
        self.metrics.configuration_version.set(configuration.version)
        self.log.write(
            Event.CONFIGURATION_TAKEN,
            version=configuration.version,
            revision=change.revision,
            routes=len(configuration.routes),
        )
        for finding in unknown_region_findings(configuration, self.topology)[:MAX_LOGGED_FINDINGS]:
            self.log.write(
                Event.CONFIGURATION_FINDING,
                version=configuration.version,
                place=finding.place,
                reason=finding.reason,
            )

    def _apply_group_record(self, change: KeyChange) -> None:
        group = int(change.key.removeprefix(GROUP_PREFIX))
        record = group_record_from(change.value, change.revision)
        if record is None:
            self.records_by_group.pop(group, None)
        else:
            self.records_by_group[group] = record

    def _apply_node_entry(self, change: KeyChange) -> None:
        entry = node_entry_from(change.value)
        if entry is None:
            removed = self.nodes.pop(change.key.removeprefix(NODE_PREFIX), None)
            if removed is not None:
                self._zones_by_host.pop(removed.host, None)
        else:
            self.nodes[entry.node_id] = entry
            self._zones_by_host[entry.host] = entry.zone
        self.storage_by_identity = {
            node.identity: node
            for node in self.nodes.values()
            if node.kind == NodeKind.STORAGE and node.identity
        }
        self._peer_selector.set_peers(
            {key: Peer(key, node.zone, node.address) for key, node in self.nodes.items()}
        )


async def _ignore(_frame: Frame, _respond: Responder) -> None:
    return


def _seed_peers(settings: ServingSettings) -> list[Peer]:
    """Return the seeds except this node; their zones are unknown."""
    others = [seed for seed in settings.seeds if seed != settings.cluster_address]
    return [Peer(seed, "", Address(*split_endpoint(seed))) for seed in others]
