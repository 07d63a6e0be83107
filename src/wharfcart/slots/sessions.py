"""All slot sessions of one holder: one with each group's granting node."""

import asyncio
from collections.abc import Callable

from wharfcart.admission.tenant_limits import PermittedSend, SendHistory
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.transport import Transport
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.events import HolderId, ResponsivenessChanged
from wharfcart.slots.session import ReportedUsage, SlotSession, SlotUpdateListener
from wharfcart.slots.snapshot import ServiceCapacity
from wharfcart.storage.job_residence import group_of

# So often it is looked for groups that are new, and for back ends that have fallen silent.
CHECK_INTERVAL_S = 0.05


class SlotSessions:
    """Sessions by group.

    Args:
        holder: whose sessions they are.
        choice: what the holder knows of the back ends.
        transport: reaches the granting nodes.
        groups: how many groups there are; 0 while that is not known.
        address: where a group's slots are granted now, or None.
        group_of: the group whose node grants an incarnation's slots, or None.
        taker: is told of news.
        log: tells when a granting node is found and lost.
        stand_ins: which nodes keep the limits of a group's tenants, one after the other, while the
            granting node is not reached; none for holders that need no permits.
        own_address: where other gateways reach this one; '' if it is none.
        grants_in: whether a group may grant slots of back ends in the regions of a residence.

    Attributes:
        group_of: the group whose node grants an incarnation's slots, or None.
        by_group: the sessions.
        sends: what the holder has sent lately, by tenant.
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

    async def run(self) -> None:
        """Keep all sessions open until cancelled."""
        try:
            while True:
                self._open_missing()
                self._send_responsiveness()
                await asyncio.sleep(CHECK_INTERVAL_S)
        finally:
            self._tasks.cancel()

    @property
    def all_open(self) -> bool:
        """Whether every group's granting node knows this holder."""
        return bool(self.by_group) and all(session.is_open for session in self.by_group.values())

    def of_instance(self, instance_id: str) -> SlotSession | None:
        """Return the session with the node that grants a back end's slots, open or not."""
        group = self.group_of(instance_id)
        return None if group is None else self.by_group.get(group)

    def coordinator(self, tenant: str) -> SlotSession | None:
        """Return the session with the node that keeps a tenant's limit, open or not."""
        return self.by_group.get(self._coordinator_group(tenant))

    def backup_coordinator(self, tenant: str) -> SlotSession | None:
        """Return the open session with who keeps a tenant's limit meanwhile, or None."""
        session = self._backup_sessions.get(self._coordinator_group(tenant))
        return session if session is not None and session.is_open else None

    def has_backup_coordinator(self, tenant: str) -> bool:
        """Whether another node may keep a tenant's limit now."""
        group = self._coordinator_group(tenant)
        return group in self.by_group and self._backup_address(group) is not None

    def available_capacities(
        self, service: str, residence: Residence = ANYWHERE
    ) -> dict[int, ServiceCapacity]:
        """Return the room for a service, by group whose node may be asked now.

        Groups that grant no slots in the regions of a residence are left out.
        """
        now = monotonic()
        told = self.reported_capacities(service, residence)
        return {
            group: room
            for group, room in told.items()
            if room.slots > 0 and self.by_group[group].is_available(now)
        }

    def reported_capacities(
        self, service: str, residence: Residence = ANYWHERE
    ) -> dict[int, ServiceCapacity]:
        """Return the room for a service as it was told last, by group with an open session.

        Groups that grant no slots in the regions of a residence are left out.
        """
        rooms = {}
        for group, session in self.by_group.items():
            if not session.is_open or not self._grants_in(group, residence):
                continue
            room = session.snapshot.capacity_for(service)
            if room is not None:
                rooms[group] = room
        return rooms

    def holder_count(self) -> int:
        """Return how many holders the granting nodes know of."""
        known = [session.snapshot.holders for session in self.by_group.values()]
        return max(known, default=0)

    def _coordinator_group(self, tenant: str) -> int:
        return group_of(tenant, self._group_count())

    def relays(self) -> list[Address]:
        """Return other gateways that may ask for permits in place of this one."""
        told = [address for session in self.by_group.values() for address in session.relays]
        return list(dict.fromkeys(told))

    # ---- facts for those who keep limits ----

    def sends_of(self, group: int) -> list[PermittedSend]:
        """Return the holder's last requests of the tenants whose home a group is."""
        recent = self.sends.recent(monotonic())
        return [send for send in recent if self._coordinator_group(send.tenant) == group]

    def reported_usage(self, group: int) -> ReportedUsage:
        """Return what the granting node or its stand-in told last, whichever was later."""
        told = [self.by_group[group], self._backup_sessions.get(group)]
        last = max((one for one in told if one is not None), key=lambda one: one.snapshot_at)
        return ReportedUsage(last.snapshot.usage, last.snapshot_at, last.snapshot.gateways)

    # ---- inner ----

    def _backup_address(self, group: int) -> Address | None:
        """Return where permits are asked for while the granting node is not reached.

        Who can't be reached is passed by; who has been reached stays until it fails.
        """
        primary = self.by_group[group]
        if self._backups is None or (primary.is_open and not primary.failing):
            return None
        addresses = self._backups(group)
        tries = self._backup_attempts.get(group, 0)
        return addresses[tries % len(addresses)] if addresses else None

    async def _hold_backup_sessions(self, group: int, session: SlotSession) -> None:
        """Hold a session with one stand-in after the other, while one is needed."""
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
            self._tasks.spawn(session.run())
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
        self._tasks.spawn(self._hold_backup_sessions(group, session))

    def _send_responsiveness(self) -> None:
        """Tell of back ends that keep a request waiting too long, and of those that spoke again."""
        silent = self._selector.unresponsive_instances(monotonic())
        for instance_id in silent ^ self._unresponsive:
            self._send_responsiveness_of(instance_id, instance_id in silent)
        for group, session in self.by_group.items():
            if session.is_open and self._unresponsive_sent_in.get(group) != session.key.number:
                # A new session knows of none.
                self._unresponsive_sent_in[group] = session.key.number
                for instance_id in silent & self._unresponsive:
                    if self.group_of(instance_id) == group:
                        self._send_responsiveness_of(instance_id, True)
        self._unresponsive = silent

    def _send_responsiveness_of(self, instance_id: str, silent: bool) -> None:
        session = self.of_instance(instance_id)
        if session is not None:
            session.send(ResponsivenessChanged(session.key, instance_id, silent))
