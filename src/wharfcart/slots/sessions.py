"""All slot sessions of one holder, one with each group's granting node."""

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from wharfcart.admission.tenant_limits import PermittedSend, SendHistory
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame, ReportStreamOrigin, StreamOriginAnswer
from wharfcart.cluster.transport import TrafficClass, Transport
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.stream_origins import StreamOrigin
from wharfcart.slots.events import HolderId, ResponsivenessChanged
from wharfcart.slots.messages import origin_to_message
from wharfcart.slots.origin_keepers import KEEPERS_PER_STREAM, OriginKeepers, select_keepers
from wharfcart.slots.session import (
    ORIGIN_LOOKUP_ERRORS,
    ReportedUsage,
    SlotSession,
    SlotUpdateListener,
    request_origin,
)
from wharfcart.slots.snapshot import ServiceCapacity
from wharfcart.storage.job_residence import hash_to_group

# For new groups and changes of back ends' responsiveness.
CHECK_INTERVAL_S = 0.05


class SlotSessions:
    """Slot sessions of a holder, by group.

    Args:
        holder: id of the holder.
        selector: the holder's state of the back ends.
        transport: transport to the granting nodes.
        group_count: number of groups; 0 while it is unknown.
        address: current address of a group's granting node, or None.
        group_of: group whose node grants an instance's slots, or None.
        listener: receives updates.
        log: receives when a granting node is found and lost.
        backups: addresses of a group's backup coordinators, in the order in which they are tried;
            None for holders that need no permits.
        own_address: address for other gateways; '' if the holder is not a gateway.
        grants_in: whether a group may grant slots of back ends in the regions of a residence.

    Attributes:
        group_of: group whose node grants an instance's slots, or None.
        own_address: address for other gateways; '' if the holder is not a gateway.
        by_group: sessions with the granting nodes, by group.
        sends: recent requests of the holder, by tenant.
        origin_keepers: origins of the holder's streams, and the groups that keep them.
    """

    def __init__(
        self,
        holder: HolderId,
        selector: BackendSelector,
        transport: Transport,
        group_count: Callable[[], int],
        address: Callable[[int], Address | None],
        group_of: Callable[[str], int | None],
        listener: SlotUpdateListener,
        log: DecisionLog,
        backups: Callable[[int], list[Address]] | None = None,
        own_address: str = "",
        grants_in: Callable[[int, Residence], bool] = lambda _group, _residence: True,
    ) -> None:
        self._holder = holder
        self._selector = selector
        self._transport = transport
        self._group_count = group_count
        self._address = address
        self.group_of = group_of
        self._listener = listener
        self._log = log
        self._backups = backups
        self.own_address = own_address
        self._grants_in = grants_in
        self._backup_sessions: dict[int, SlotSession] = {}
        self._backup_attempts: dict[int, int] = {}  # by group
        self._tasks = BackgroundTasks()
        self._unresponsive: set[str] = set()
        self._unresponsive_sent_in: dict[int, int] = {}  # session by group
        self.by_group: dict[int, SlotSession] = {}
        self.sends = SendHistory()
        self.origin_keepers = OriginKeepers()

    async def run(self) -> None:
        """Keep all sessions open until cancelled; they stay open after an unexpected error."""
        try:
            while True:
                self._open_missing()
                self._send_responsiveness()
                await asyncio.sleep(CHECK_INTERVAL_S)
        except asyncio.CancelledError:
            self._tasks.cancel()
            raise

    @property
    def all_open(self) -> bool:
        """Whether the sessions with all granting nodes are open."""
        return bool(self.by_group) and all(session.is_open for session in self.by_group.values())

    def available(self) -> list[SlotSession]:
        """Return the sessions whose nodes can be sent a request now."""
        now = monotonic()
        return [session for session in self.by_group.values() if session.is_available(now)]

    def replicas(self) -> list[tuple[Address, int]]:
        """Return the other replicas' addresses of groups, each address with one of its groups."""
        groups_by_address: dict[Address, int] = {}
        if self._backups is not None:
            for group in self.by_group:
                groups_by_address |= dict.fromkeys(self._backups(group), group)
        return list(groups_by_address.items())

    def report_origin(self, origin: StreamOrigin, told_groups: Collection[int]) -> None:
        """Report the software that began a stream to storage nodes, without a session.

        Args:
            origin: the origin.
            told_groups: groups whose granting nodes learn it within their sessions.
        """
        group_by_address = dict(self.replicas())
        for group in self.by_group:
            address = self._address(group)
            if address is not None:
                group_by_address[address] = group
        for group in told_groups:
            told = self._address(group)
            if told is not None:
                group_by_address.pop(told, None)
        count = KEEPERS_PER_STREAM - len(told_groups)
        for address in select_keepers(origin.request_id, group_by_address)[:count]:
            report = ReportStreamOrigin(
                group=group_by_address[address], origin=origin_to_message(origin)
            )
            frame = Frame(report_stream_origin=report)
            self._transport.send(address, frame, TrafficClass.SLOTS)

    async def find_origin_at_replica(
        self, address: Address, group: int, request_id: str, service: str
    ) -> StreamOriginAnswer | None:
        """Request the software that began a stream; None if the replica does not respond."""
        try:
            return await request_origin(self._transport, address, group, request_id, service)
        except ORIGIN_LOOKUP_ERRORS:
            return None

    def of_instance(self, instance_id: str) -> SlotSession | None:
        """Return the session with the node that grants a back end's slots, open or not."""
        group = self.group_of(instance_id)
        return None if group is None else self.by_group.get(group)

    def coordinator(self, tenant: str) -> SlotSession | None:
        """Return the session with the coordinator of a tenant's limit, open or not."""
        return self.by_group.get(self._coordinator_group(tenant))

    def backup_coordinator(self, tenant: str) -> SlotSession | None:
        """Return the open session with a backup coordinator of a tenant's limit, or None."""
        session = self._backup_sessions.get(self._coordinator_group(tenant))
        return session if session is not None and session.is_open else None

    def has_backup_coordinator(self, tenant: str) -> bool:
        """Whether a backup coordinator of a tenant's limit is needed and known."""
        group = self._coordinator_group(tenant)
        return group in self.by_group and self._backup_address(group) is not None

    def available_capacities(
        self, service: str, residence: Residence = ANYWHERE
    ) -> dict[int, ServiceCapacity]:
        """Return the capacity for a service by group whose node can be sent a request now.

        Groups that grant no slots in the regions of the residence are omitted.
        """
        now = monotonic()
        capacities = self.reported_capacities(service, residence)
        return {
            group: capacity
            for group, capacity in capacities.items()
            if capacity.slots > 0 and self.by_group[group].is_available(now)
        }

    def reported_capacities(
        self, service: str, residence: Residence = ANYWHERE
    ) -> dict[int, ServiceCapacity]:
        """Return the last reported capacity for a service by group with an open session.

        Groups that grant no slots in the regions of the residence are omitted.
        """
        capacities = {}
        for group, session in self.by_group.items():
            if not session.is_open or not self._grants_in(group, residence):
                continue
            capacity = session.snapshot.capacity_for(service)
            if capacity is not None:
                capacities[group] = capacity
        return capacities

    def holder_count(self) -> int:
        """Return the largest number of holders that a granting node reports."""
        counts = [session.snapshot.holders for session in self.by_group.values()]
        return max(counts, default=0)

    def _coordinator_group(self, tenant: str) -> int:
        return hash_to_group(tenant, self._group_count())

    def relays(self) -> list[Address]:
        """Return gateways that can request permits on behalf of this one."""
        addresses = [address for session in self.by_group.values() for address in session.relays]
        return list(dict.fromkeys(addresses))

    # ---- reports to limit coordinators ----

    def sends_of(self, group: int) -> list[PermittedSend]:
        """Return the holder's recent requests of the tenants that a group coordinates."""
        recent = self.sends.recent(monotonic())
        return [send for send in recent if self._coordinator_group(send.tenant) == group]

    def origins_of(self, group: int) -> list[tuple[float, StreamOrigin]]:
        """Return the holder's streams that a group keeps the origin of, or that lack a keeper."""
        return self.origin_keepers.take_for(group, monotonic())

    def reported_usage(self, group: int) -> ReportedUsage:
        """Return the usage that the coordinator or its backup reported last."""
        sessions = [self.by_group[group], self._backup_sessions.get(group)]
        last = max(
            (session for session in sessions if session is not None),
            key=lambda session: session.snapshot_at,
        )
        return ReportedUsage(last.snapshot.usage, last.snapshot_at, last.snapshot.gateways)

    # ---- inner ----

    def _backup_address(self, group: int) -> Address | None:
        """Return the address of the backup coordinator to use; None if none is needed or known.

        A backup coordinator that can be reached is kept until it fails.
        """
        primary = self.by_group[group]
        if self._backups is None or (primary.is_open and not primary.failing):
            return None
        addresses = self._backups(group)
        attempts = self._backup_attempts.get(group, 0)
        return addresses[attempts % len(addresses)] if addresses else None

    async def _hold_backup_sessions(self, group: int, session: SlotSession) -> None:
        """Hold a session with a backup coordinator while one is needed, trying each in turn."""
        while True:
            if self._backup_address(group) is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            opened = session.open_count
            await session.hold_once()
            if session.open_count == opened:
                self._backup_attempts[group] = self._backup_attempts.get(group, 0) + 1

    def _open_missing(self) -> None:
        for group in range(len(self.by_group), self._group_count()):
            session = SlotSession(
                group,
                self._holder,
                self._selector.zone,
                self._transport,
                self._address,
                self._listener,
                self._log,
                self,
            )
            self.by_group[group] = session
            self._tasks.supervise(session.run)
            if self._backups is not None:
                self._open_backup(group)

    def _open_backup(self, group: int) -> None:
        session = SlotSession(
            group,
            self._holder,
            self._selector.zone,
            self._transport,
            self._backup_address,
            SlotUpdateListener(),
            self._log,
            self,
            limits_only=True,
        )
        self._backup_sessions[group] = session
        self._tasks.supervise(partial(self._hold_backup_sessions, group, session))

    def _send_responsiveness(self) -> None:
        """Report back ends that stopped responding to this holder or respond again."""
        unresponsive = self._selector.unresponsive_instances(monotonic())
        for instance_id in unresponsive ^ self._unresponsive:
            self._send_responsiveness_of(instance_id, instance_id in unresponsive)
        for group, session in self.by_group.items():
            if session.is_open and self._unresponsive_sent_in.get(group) != session.key.number:
                # A new session has no unresponsive back ends.
                self._unresponsive_sent_in[group] = session.key.number
                for instance_id in unresponsive & self._unresponsive:
                    if self.group_of(instance_id) == group:
                        self._send_responsiveness_of(instance_id, True)
        self._unresponsive = unresponsive

    def _send_responsiveness_of(self, instance_id: str, unresponsive: bool) -> None:
        session = self.of_instance(instance_id)
        if session is not None:
            session.send(ResponsivenessChanged(session.key, instance_id, unresponsive))
