"""One node: assembles its components and starts and stops them in order."""

import asyncio
import json
import logging
import random
import time

import aiohttp

from wharfcart.admin.configuration_store import KEY_ROOT, ConfigurationStore
from wharfcart.admin.handlers import AdminHandlers
from wharfcart.admin.interface import AdminContext, NodeStatus
from wharfcart.admission.limiter import Limiter
from wharfcart.batch.jobs import BatchApiService
from wharfcart.batch.leader import BatchLeader
from wharfcart.batch.runner import BatchRunner
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.gossip import GossipDriver
from wharfcart.cluster.membership import PeerRevisions
from wharfcart.cluster.messages_pb2 import (
    ALIVE,
    LEFT,
    Entry,
    FleetView,
    Frame,
    Member,
    ReadFleet,
    ReplicaBatch,
    ReplicaMessage,
    RevokeLeases,
    ShardPlacement,
)
from wharfcart.cluster.rendezvous import place_shards
from wharfcart.cluster.transport import PeerUnreachableError, Responder, Transport
from wharfcart.configuration.services import ServiceIndex
from wharfcart.errors import ServingError
from wharfcart.gateway.app import GatewayServer
from wharfcart.gateway.idempotency import IdempotencyService
from wharfcart.gateway.interface import GatewayContext
from wharfcart.node.call_handler import CallHandler
from wharfcart.node.fleet import FleetContext, FleetDriver
from wharfcart.node.propagation import PropagationDriver, PropagationHooks
from wharfcart.observability.metrics import Metrics
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.platform.etcd_json import EtcdJsonStore
from wharfcart.platform.key_value import KeyValueUnavailableError
from wharfcart.platform.machine_list import PrometheusDiscovery
from wharfcart.routing.dispatcher import ClusterView, Dispatcher
from wharfcart.routing.owner import BackendOwner, OwnedBackend
from wharfcart.routing.router import Router
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.schema import NodeSettings
from wharfcart.storage.journal import Journal
from wharfcart.storage.journal_client import JournalClient
from wharfcart.storage.journal_database import open_database

PLACEMENT_KEY = KEY_ROOT + "placement"
PLACEMENT_CHECK_INTERVAL_S = 0.5
STATUS_TIMEOUT_S = 2.0
MAX_CONCURRENT_STATUS_CALLS = 32
DRAIN_POLL_INTERVAL_S = 0.02
LEAVE_PROPAGATION_S = 0.3
METRICS_INTERVAL_S = 1.0

logger = logging.getLogger(__name__)


class Node:
    """A node of the fleet.

    Args:
        settings: settings of the node.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.services = ServiceIndex()
        self._tasks = BackgroundTasks()
        self._journal: Journal | None = None
        self._batch_leader: BatchLeader | None = None
        self._stopping = False

    # ---- starting ----

    async def start(self) -> None:
        """Start all components and join the cluster."""
        settings = self.settings
        # The connection pool is unbounded, so that online calls never queue behind batch calls.
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0, keepalive_timeout=30)
        self._session = aiohttp.ClientSession(connector=connector, auto_decompress=False)
        self._transport = Transport(self._handle_call)
        listen = _parse_address(settings.cluster_listen)
        advertised = _parse_address(settings.cluster_advertise or settings.cluster_listen)
        database = None
        if settings.data_folder is not None:
            database = await asyncio.to_thread(open_database, settings.data_folder)
        self._gossip = GossipDriver(
            Member(
                node_id=settings.node_id,
                host=advertised.host,
                port=advertised.port,
                incarnation=_boot_incarnation(),
                state=ALIVE,
                zone=settings.zone,
                storage_identity=database.identity if database is not None else "",
            ),
            [_parse_address(seed) for seed in settings.seeds],
            self._member_changed,
            self._peer_revisions_received,
            lambda count: self.metrics.control_bytes.inc(count),
        )
        self._build_platform()
        self._build_serving()
        if database is not None:
            self._journal = Journal(
                database,
                self._send_replica_messages,
                lambda placement: self._propagation.apply_placement([placement]),
                self._leadership_changed,
            )
            self._batch_leader = BatchLeader(
                self._journal,
                self.services.find_service,
                self._tenant_share,
                settings.journal.retention_hours,
                self._send_revocation,
            )
        self._build_gateway()
        await self._transport.start(listen)
        if self._journal is not None:
            await self._journal.start()
        await self._gossip.start(listen)
        self._propagation.start()
        self._start_loops()
        host, port = split_endpoint(settings.listen)
        await self.gateway.start(host, port)
        logger.info("node started", extra={"listen": settings.listen, "zone": settings.zone})

    def _build_platform(self) -> None:
        settings = self.settings
        self._key_value = EtcdJsonStore(settings.key_value, self._session, self.metrics)
        self._store = ConfigurationStore(self._key_value)
        self._propagation = PropagationDriver(
            self._gossip,
            self._transport,
            self._store,
            PrometheusDiscovery(settings.machine_list, self._session),
            PropagationHooks(
                self._configuration_changed, self._directory_changed, self._placement_changed
            ),
        )

    def _build_serving(self) -> None:
        settings = self.settings
        self.router = Router(settings.zone, random.Random())
        self.owner = BackendOwner(self._session, self.metrics.batch_preemptions.inc)
        view = ClusterView(settings.node_id, self._live_in_zone, self._gossip.address_of)
        self._dispatcher = Dispatcher(view, self.router, self.owner, self._transport, self.metrics)
        self._journal_client = JournalClient(
            self._propagation.placement, self._transport, self._gossip.address_of_storage
        )
        self._limiter = Limiter(
            settings.node_id, self._live_nodes, self._gossip.address_of, self._transport
        )
        self._fleet = FleetDriver(
            FleetContext(
                settings.zone,
                settings.node_id,
                self._live_in_zone,
                self.services,
                self.router,
                self.owner,
                self._session,
                self._make_runner,
                self._propagation.publish,
                self._leader_epoch,
            )
        )

    def _build_gateway(self) -> None:
        settings = self.settings
        self._calls = CallHandler(
            self._propagation,
            self.owner,
            self.router,
            self._limiter,
            self._fleet,
            self.view,
            self._journal,
            self._batch_leader,
        )
        requests = IdempotencyService(
            self._journal_client, self._dispatcher, self.router, self.owner, self._tasks.track
        )
        jobs = BatchApiService(
            self._journal_client, self.services.find_service, settings.most_line_bytes
        )
        context = GatewayContext(
            settings.node_id,
            self.services,
            self._limiter,
            requests,
            jobs,
            self.metrics,
            lambda: self.ready,
            settings.most_file_bytes,
        )
        self.gateway = GatewayServer(context, settings.admin_key_sha256)
        admin = AdminContext(
            self._propagation.configuration,
            self._propagation.apply_configuration,
            self._node_statuses,
            self._recover_shard,
            self._shard_replicas,
        )
        self.gateway.add_routes(AdminHandlers(admin, self._store).routes())

    def _start_loops(self) -> None:
        self._tasks.spawn(self._fleet.run())
        self._tasks.supervise(self._metrics_loop)
        if self._batch_leader is not None:
            self._tasks.spawn(self._batch_leader.run())
            self._tasks.supervise(self._placement_loop)

    @property
    def ready(self) -> bool:
        """Whether this node can serve callers' requests."""
        return self._propagation.ready and not self._stopping

    # ---- stopping ----

    async def stop(self) -> None:
        """Stop gracefully: leave the cluster and let running requests complete."""
        logger.info("node leaving")
        self._stopping = True
        if self._journal is not None:
            self._journal.step_down()
        await self._gossip.leave()
        await self.gateway.drain()
        await self._fleet.release_all()
        # Peers may still send requests until the departure has propagated.
        await asyncio.sleep(LEAVE_PROPAGATION_S)
        while self._calls.active_dispatches:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        await self.gateway.stop()
        await self.close()
        logger.info("node stopped")

    async def close(self) -> None:
        """Close files and sockets immediately."""
        await self._tasks.stop()
        await self._propagation.stop()
        if self._journal is not None:
            await self._journal.stop()
        await self._gossip.stop()
        await self._transport.stop()
        await self._session.close()

    # ---- membership ----

    def _member_changed(self, member: Member) -> None:
        logger.info("member changed", extra={"member": member.node_id, "state": member.state})
        if self._journal is not None:
            self._update_storage_members()
        self._fleet.membership_changed()

    def _update_storage_members(self) -> None:
        assert self._journal is not None
        live = self._live_storage()
        leaving = {
            member.storage_identity
            for member in self._gossip.membership.members.values()
            if member.state == LEFT and member.storage_identity
        }
        self._journal.update_storage_members(live, leaving)

    def _live_storage(self) -> dict[str, str]:
        return {
            member.storage_identity: member.zone
            for member in self._gossip.membership.live()
            if member.storage_identity
        }

    def _peer_revisions_received(self, peer: PeerRevisions) -> None:
        self._propagation.peer_revisions_received(peer)

    def _live_nodes(self) -> list[str]:
        return [member.node_id for member in self._gossip.membership.live()]

    def _live_in_zone(self, zone: str) -> list[str]:
        """Return the live nodes of a zone; those of all zones if the zone has none."""
        live = self._gossip.membership.live()
        in_zone = [member.node_id for member in live if member.zone == zone]
        return in_zone or [member.node_id for member in live]

    # ---- propagation ----

    def _configuration_changed(self, entries: list[Entry]) -> None:
        self.services.update(entries)
        self._fleet.membership_changed()

    def _directory_changed(self, entries: list[Entry]) -> None:
        self._fleet.directory_changed(entries)

    def _placement_changed(self, placements: list[ShardPlacement]) -> None:
        if self._journal is None:
            return
        for placement in placements:
            # Only the first placement creates replicas; a leader's log makes later changes.
            if placement.version == 1 and self._journal.identity in placement.replicas:
                self._journal.create_shard(placement.shard, list(placement.replicas))

    async def _placement_loop(self) -> None:
        """Load the placement of all shards, then keep the journal's storage members current."""
        assert self._journal is not None
        while self._propagation.placement.shard_count == 0:
            await asyncio.sleep(PLACEMENT_CHECK_INTERVAL_S * (0.5 + random.random()))
            self._update_storage_members()
            try:
                await self._load_or_create_placement()
            except KeyValueUnavailableError as error:
                logger.info("shard placement unavailable", extra={"cause": str(error)})
        while True:
            self._update_storage_members()
            await asyncio.sleep(1.0)

    async def _load_or_create_placement(self) -> None:
        """Read the first placement, or write it once enough storage nodes are live."""
        found = await self._key_value.get(PLACEMENT_KEY)
        storage = self._live_storage()
        if found is None and len(storage) >= self.settings.journal.replicas:
            journal = self.settings.journal
            planned = place_shards(journal.shards, journal.replicas, storage)
            value = json.dumps({str(shard): replicas for shard, replicas in planned.items()})
            await self._key_value.compare_and_put(PLACEMENT_KEY, 0, {PLACEMENT_KEY: value.encode()})
            found = await self._key_value.get(PLACEMENT_KEY)
        if found is None:
            return
        placed = json.loads(found.value)
        self._propagation.apply_placement(
            (
                ShardPlacement(shard=int(shard), replicas=replicas, version=1)
                for shard, replicas in placed.items()
            ),
            len(placed),
        )

    # ---- journal ----

    def _send_replica_messages(self, target: str, messages: list[ReplicaMessage]) -> None:
        address = self._gossip.address_of_storage(target)
        if address is not None:
            frame = Frame(replica_batch=ReplicaBatch(messages=messages))
            self._transport.send(address, frame)

    def _leadership_changed(self, shard: int, leads: bool) -> None:
        logger.info("shard leadership changed", extra={"shard": shard, "leads": leads})
        if self._batch_leader is not None:
            self._batch_leader.leadership_changed(shard, leads)

    def _send_revocation(self, holder: str, lease_ids: list[str]) -> None:
        address = self._gossip.address_of(holder)
        if address is not None:
            self._transport.send(address, Frame(revoke_leases=RevokeLeases(lease_ids=lease_ids)))

    def _leader_epoch(self) -> int | None:
        shard = self._journal.shards.get(0) if self._journal is not None else None
        if shard is None or not shard.replica.lease_valid(monotonic()):
            return None
        return shard.replica.epoch

    def _tenant_share(self, tenant: str) -> float:
        found = self.services.tenants.get(tenant)
        return found.share if found is not None else 1.0

    def _make_runner(self, owned: OwnedBackend) -> BatchRunner:
        return BatchRunner(
            self.settings.node_id,
            owned,
            self.owner,
            self._journal_client,
            self.services.find_service,
            self.metrics,
        )

    # ---- calls and status ----

    async def _handle_call(self, frame: Frame, respond: Responder) -> None:
        await self._calls.handle(frame, respond)

    def view(self) -> FleetView:
        """Return this node's part of the fleet view."""
        shards = self._journal.shards.values() if self._journal is not None else ()
        return FleetView(
            node_id=self.settings.node_id,
            zone=self.settings.zone,
            configuration_revision=self._propagation.configuration.revision,
            owned=self._fleet.backend_views(),
            led_shards=sum(shard.is_leader for shard in shards),
        )

    async def _node_statuses(self) -> list[NodeStatus]:
        limit = asyncio.Semaphore(MAX_CONCURRENT_STATUS_CALLS)

        async def fetch_status(member: Member) -> NodeStatus:
            view: FleetView | None = None
            if member.node_id == self.settings.node_id:
                view = self.view()
            else:
                async with limit:
                    view = await self._fetch_view(Address(member.host, member.port))
            return NodeStatus(member.node_id, member.zone, member.storage_identity, view)

        members = sorted(self._gossip.membership.live(), key=lambda member: member.node_id)
        return list(await asyncio.gather(*(fetch_status(member) for member in members)))

    async def _fetch_view(self, address: Address) -> FleetView | None:
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_S):
                answer = await self._transport.call(address, Frame(read_fleet=ReadFleet()))
        except (PeerUnreachableError, TimeoutError, ServingError):
            return None
        return answer.fleet_view

    def _recover_shard(self, shard: int) -> None:
        if self._journal is None:
            raise ServingError("recovery_refused", "this node has no data folder", 409)
        known = self._propagation.placement.shards.get(shard)
        version = known.version if known is not None else 0
        self._journal.recover_as_sole_voter(shard, self._live_storage(), version)

    def _shard_replicas(self) -> dict[int, list[str]]:
        shards = self._propagation.placement.shards
        return {shard: list(placement.replicas) for shard, placement in shards.items()}

    async def _metrics_loop(self) -> None:
        while True:
            await asyncio.sleep(METRICS_INTERVAL_S)
            metrics = self.metrics
            metrics.configuration_revision.set(self._propagation.configuration.revision)
            metrics.live_members.set(len(self._gossip.membership.live()))
            if self._journal is not None:
                metrics.journal_commits.set(self._journal.commits)
                led = [shard for shard in self._journal.shards.values() if shard.is_leader]
                dropped = sum(shard.state.dropped_completions for shard in led)
                metrics.dropped_completions.set(dropped)


def _parse_address(endpoint: str) -> Address:
    host, port = split_endpoint(endpoint)
    return Address(host, port)


def _boot_incarnation() -> int:
    """Return wall-clock seconds, which exceed the incarnations of this node's earlier runs."""
    return int(time.time())
