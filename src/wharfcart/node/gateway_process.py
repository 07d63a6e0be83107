"""Gateway process: accepts callers' requests and forwards them; it stores no state."""

import asyncio
import math
from collections.abc import Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import Frame, PermitAnswer
from wharfcart.cluster.transport import Responder
from wharfcart.gateway.ingress import Endpoint, Ingress
from wharfcart.gateway.job_calls import JobCallHandlers
from wharfcart.node.early_listening import EarlySockets
from wharfcart.node.serving_node import ServingNode
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.routing.cold_backends import LocalColdShares
from wharfcart.routing.forwarder import Forwarder
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.serving import GatewaySettings, ServingSettings
from wharfcart.slots.events import HolderId
from wharfcart.slots.fleet_load import FleetLoad
from wharfcart.slots.granted_placement import GrantedPlacement
from wharfcart.slots.permit_relays import PermitRelays
from wharfcart.slots.permits import Permit
from wharfcart.slots.sessions import SlotSessions
from wharfcart.storage.job_client import JobClient

# The load balancer checks readiness every second and sends connections until two checks fail.
UNREADY_DELAY_S = 2.6
STOP_MARGIN_S = 0.7
IDLE_CLOSE_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.02
# A starting gateway without a configuration leaves callers to other gateways for this time; then it
# listens and responds with an error.
MAX_CONFIGURATION_WAIT_S = 1.0
# Requests queued during the start arrive all at once. Slot sessions that are opened first keep them
# from filling the queues of the back ends.
MAX_SESSIONS_WAIT_S = 0.3


class GatewayProcess:
    """Lifecycle of one gateway.

    Args:
        settings: settings of the gateway.
        log: the decision log.
        sockets: listening sockets that were opened early.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        log: DecisionLog,
        sockets: EarlySockets,
    ) -> None:
        self._settings = settings
        self._log = log
        self._sockets = sockets
        self._node = ServingNode(settings, log)
        self._sessions = SlotSessions(
            HolderId(settings.node_id),
            self._node.selector,
            self._node.transport,
            lambda: self._node.group_count,
            self._node.leader_address,
            self._node.group_of_instance,
            FleetLoad(self._node.selector),
            log,
            self._node.backup_coordinator_addresses,
            settings.cluster_address,
            self._node.grants_in,
        )
        self._node.count_nodes = self._sessions.holder_count
        self._node.selector.local_cold_shares = LocalColdShares(
            settings.node_id, self._sessions.holder_count
        )
        self._relays = PermitRelays(self._node.transport, self._sessions.relays)
        self._node.role_handler = self._handle_call
        placement = GrantedPlacement(
            self._node.selector,
            self._sessions,
            self._node.distance_to_group,
            self._node.pool.idle_instances,
            self._node.metrics.placements,
            self._relays,
        )
        forwarder = Forwarder(
            self._node.selector,
            placement,
            self._node.pool,
            self._node.connection_limit,
            log,
            self._node.metrics,
            self._node.crash_detector,
        )
        self._node.suspension_watch.on_resumed = forwarder.deadlines.reschedule_all
        jobs = JobCallHandlers(
            JobClient(
                self._node.transport,
                lambda: self._node.group_count,
                self._node.records_by_group.get,
                self._node.storage_address,
                self._node.storage_region,
            ),
            log,
            lambda: self._node.configuration,
            self._node.metrics,
        )
        self._ingress = Ingress(
            lambda: self._node.configuration,
            lambda: self._node.mirror_sync.age_s,
            forwarder,
            jobs.submit,
            jobs.handle,
            log,
        )

    async def start(self) -> None:
        """Start to serve; the gateway is ready once it has a configuration."""
        await self._node.start()
        self._node.tasks.supervise(self._sessions.run)
        await self._wait_for_configuration(MAX_CONFIGURATION_WAIT_S)
        await _wait_until(lambda: self._sessions.all_open, MAX_SESSIONS_WAIT_S)
        await self._ingress.start(
            self._endpoint(self._settings.listen),
            self._endpoint(self._settings.readiness_listen),
            self._sockets.opened_at if self._sockets.by_endpoint else None,
        )
        self._node.tasks.supervise(self._become_ready)

    def reload(self, settings: ServingSettings) -> None:
        """Apply changed settings."""
        self._node.reload(settings)

    async def stop(self) -> None:
        """Stop gracefully: let requests in progress complete within the stop timeout."""
        stop_deadline = monotonic() + self._node.settings.stop_within_s - STOP_MARGIN_S
        self._log.write(Event.STOPPING, in_progress=self._ingress.in_progress)
        self._ingress.drain()
        await asyncio.sleep(UNREADY_DELAY_S)
        self._ingress.stop_listening()
        while monotonic() < stop_deadline:
            self._ingress.close_idle()
            if not self._ingress.in_progress:
                break
            await asyncio.sleep(IDLE_CLOSE_INTERVAL_S)
        await self._node.stop()
        self._log.write(Event.STOPPED, in_progress=self._ingress.in_progress)

    async def _handle_call(self, frame: Frame, respond: Responder) -> None:
        """Handle a call from another gateway."""
        if frame.WhichOneof("body") == "relay_permit":
            answer = await self._answer_permit_relay(frame.relay_permit.tenant)
            await respond(Frame(permit_answer=answer, last=True))

    async def _answer_permit_relay(self, tenant: str) -> PermitAnswer:
        if self._node.configuration is None:
            return PermitAnswer(unsure=True)
        permit = Permit(self._sessions, self._relays, tenant, self._node.limit_of(tenant))
        return await permit.answer_for_peer()

    def _endpoint(self, address: str) -> Endpoint:
        return self._sockets.by_endpoint.get(address) or split_endpoint(address)

    async def _become_ready(self) -> None:
        await self._wait_for_configuration(math.inf)
        self._ingress.ready = not self._ingress.draining

    async def _wait_for_configuration(self, timeout_s: float) -> None:
        await _wait_until(lambda: self._node.configuration is not None, timeout_s)


async def _wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds or the timeout expires."""
    deadline = monotonic() + timeout_s
    while not condition() and monotonic() < deadline:
        await asyncio.sleep(POLL_INTERVAL_S)
