"""A holder's session with the granting node of one group of back ends.

The holder reports all its taken slots when the session opens, and every later change. After a
broken connection it opens a new session with the whole list. Taken slots do not expire.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass
from random import getrandbits, random
from typing import Protocol

from wharfcart.admission.tenant_limits import PermittedSend
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    FindStreamOrigin,
    Frame,
    OpenSlotSession,
    PermitAnswer,
    PermitRequest,
    SlotEvents,
    SlotGrant,
    SlotNews,
    StreamOriginAnswer,
    TenantUsage,
)
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.tasks import record_failure
from wharfcart.routing.stream_origins import StreamOrigin
from wharfcart.slots.events import (
    SESSION_ORIGIN_BITS,
    HolderId,
    RunResult,
    SessionKey,
    SlotEvent,
    SlotNumber,
    SlotReleased,
    SlotRequested,
    SlotTaken,
    SlotUse,
    session_number,
)
from wharfcart.slots.messages import (
    event_to_message,
    origin_to_message,
    request_to_message,
    send_to_message,
    snapshot_from_message,
    use_to_message,
)
from wharfcart.slots.snapshot import SlotSnapshot

# In addition to the round-trip time to the node. A grant takes only a lookup, and one that takes
# longer is not worth waiting for.
GRANT_TIMEOUT_S = 0.04
# Requests to a node pause for this time after one has failed.
PAUSE_AFTER_TIMEOUT_S = 0.5
# Longer than the interval of heartbeats from a node at which a request waits.
WAIT_HEARTBEAT_TIMEOUT_S = 0.25
# Longer than the interval of snapshots to hundreds of holders.
UPDATES_TIMEOUT_S = 2.0
# To open a session with a backup coordinator, in addition to the round trips.
BACKUP_TIMEOUT_S = 0.15
# Of the check whether another node grants now.
ADDRESS_CHECK_INTERVAL_S = 0.1
ORIGIN_LOOKUP_ERRORS = (TimeoutError, PeerUnreachableError, ServingError)
# Mean of a random delay.
REOPEN_DELAY_S = 0.1


@dataclass(frozen=True)
class HeldSlot:
    """A slot that this holder has taken, with the group that grants it."""

    group: int
    number: SlotNumber


@dataclass(frozen=True)
class ReportedUsage:
    """The last usage of tenants' limits that a holder received.

    Attributes:
        by_tenant: requests of all gateways in one window.
        received_at: monotonic time at which the holder received it.
        gateways: number of gateways that were counted.
    """

    by_tenant: dict[str, int]
    received_at: float
    gateways: int


class HolderReports(Protocol):
    """What a holder reports to a granting node or a limit coordinator."""

    def sends_of(self, group: int) -> list[PermittedSend]:
        """Return the holder's recent requests of the tenants that a group coordinates."""
        ...

    def reported_usage(self, group: int) -> ReportedUsage:
        """Return the last usage that a coordinator of these tenants reported."""
        ...

    def origins_of(self, group: int) -> list[tuple[float, StreamOrigin]]:
        """Return origins of the holder's streams that a group keeps, with ages in seconds."""
        ...

    @property
    def own_address(self) -> str:
        """Address for other gateways; '' if the holder is not a gateway."""
        ...


class SlotUpdateListener:
    """Listener for updates of a holder's sessions; this base class ignores them."""

    def snapshot_received(self, group: int, snapshot: SlotSnapshot) -> None:
        """Handle the load snapshot of a group's back ends."""

    def item_updates_received(self, group: int, updates: SlotNews) -> None:
        """Handle slot offers to batch items and preemptions."""

    def session_opened(self, group: int) -> None:
        """Handle a new session; the node has no state of the previous one."""


class SlotSession:
    """The session with one group's granting node.

    Args:
        group: number of the group.
        holder: id of this holder.
        zone: zone of the holder.
        transport: transport to the node.
        address: current address of a group's node, or None.
        listener: receives updates.
        log: receives when the node is found and lost.
        reports: what the holder reports when it opens a session.
        limits_only: the session is with a backup coordinator, for permits only.

    Attributes:
        snapshot: the load snapshot that was received last.
        snapshot_at: monotonic time at which it was received.
        last_contact_at: monotonic time of the node's last message; None if there was none.
        failing: the last call to the node failed.
        open_count: number of sessions that were opened.
        relays: gateways that can request permits on behalf of this holder.
    """

    def __init__(
        self,
        group: int,
        holder: HolderId,
        zone: str,
        transport: Transport,
        address: Callable[[int], Address | None],
        listener: SlotUpdateListener,
        log: DecisionLog,
        reports: HolderReports,
        limits_only: bool = False,
    ) -> None:
        self.group = group
        self._holder = holder
        self._zone = zone
        self._transport = transport
        self._address = address
        self._listener = listener
        self._log = log
        self._reports = reports
        self._limits_only = limits_only
        self._uses_by_number: dict[SlotNumber, SlotUse] = {}
        self._next_number = 1
        self._session = session_number(getrandbits(SESSION_ORIGIN_BITS), 0)
        self._open_address: Address | None = None  # of the open session's node
        self._opening = False
        self._unsent: list[SlotEvent] = []
        self._flushing = False
        self._paused_until = 0.0
        self.snapshot = SlotSnapshot()
        self.snapshot_at = monotonic()
        self.last_contact_at: float | None = None
        self.failing = False
        self.open_count = 0
        self.relays: list[Address] = []

    @property
    def key(self) -> SessionKey:
        """Key of the current or last session."""
        return SessionKey(self._holder, self._session)

    @property
    def uses(self) -> list[SlotUse]:
        """Slots that the holder has taken."""
        return list(self._uses_by_number.values())

    @property
    def is_open(self) -> bool:
        """Whether the session is open at the granting node."""
        return self._open_address is not None

    def is_available(self, now: float) -> bool:
        """Whether the session is open and not paused after a failed request."""
        return self.is_open and now >= self._paused_until

    # ---- slots ----

    def new_number(self) -> SlotNumber:
        """Return a number for a slot that is requested or taken."""
        self._next_number += 1
        return SlotNumber(self._next_number)

    def take_without_grant(self, use: SlotUse) -> HeldSlot:
        """Record a slot that is taken without a grant, and report it."""
        self._uses_by_number[use.number] = use
        self.send(SlotTaken(self.key, use))
        return HeldSlot(self.group, use.number)

    def record_granted(self, use: SlotUse) -> HeldSlot:
        """Record a slot that the granting node granted."""
        self._uses_by_number[use.number] = use
        return HeldSlot(self.group, use.number)

    def release(self, number: SlotNumber, result: RunResult = RunResult.UNKNOWN) -> None:
        """Give a slot back."""
        self._uses_by_number.pop(number, None)
        self.send(SlotReleased(self.key, number, result))

    def send(self, event: SlotEvent) -> None:
        """Send an event to the granting node.

        While a session opens, the event is kept, as the list of taken slots may already be sent
        without it.
        """
        if self.is_open or self._opening:
            self._unsent.append(event)
        if self.is_open and not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    async def request_slot(self, request: SlotRequested, tenant: str = "") -> SlotGrant | None:
        """Request a slot; None if the granting node does not respond or no longer grants.

        The request is withdrawn if it is cancelled or times out.

        Args:
            request: the slot request.
            tenant: tenant whose limit the request counts towards; '' if it needs no permit.
        """
        address = self._open_address
        if address is None:
            return None
        frame = Frame(slot_request=request_to_message(self.group, request, tenant, monotonic()))
        timeout_s = GRANT_TIMEOUT_S + self._transport.round_trip_s(address)
        answered = False
        answers = self._transport.stream(address, frame, TrafficClass.SLOTS)
        try:
            async with aclosing(answers):
                while True:
                    async with asyncio.timeout(timeout_s):
                        answer = (await anext(answers)).slot_grant
                    self._record_contact()
                    if self._session != request.session.number or answer.no_session:
                        return None
                    if not answer.waiting:
                        answered = True
                        return answer
                    timeout_s = WAIT_HEARTBEAT_TIMEOUT_S
        except (TimeoutError, PeerUnreachableError, ServingError, StopAsyncIteration):
            self._pause()
            return None
        finally:
            if not answered:
                # Withdraws the request, or releases a grant that is in transit.
                self.release(request.number)

    async def request_permit(self, tenant: str) -> PermitAnswer | None:
        """Request a permit for one more request of a tenant; None if the node does not respond.

        A permit of an earlier session is not used: the session's coordinator does not know of it.
        """
        address = self._open_address
        if address is None:
            return None
        key = self.key
        request = PermitRequest(
            group=self.group, holder=key.holder, session=key.number, tenant=tenant
        )
        try:
            timeout_s = GRANT_TIMEOUT_S + self._transport.round_trip_s(address)
            async with asyncio.timeout(timeout_s):
                answer = await self._transport.call(
                    address, Frame(permit_request=request), TrafficClass.SLOTS
                )
        except (TimeoutError, PeerUnreachableError, ServingError):
            self._pause()
            return None
        self._record_contact()
        return answer.permit_answer if self.key == key else None

    async def find_origin(self, request_id: str, service: str) -> StreamOriginAnswer | None:
        """Request the software that began a stream; None if the node does not respond."""
        address = self._open_address
        if address is None:
            return None
        try:
            answer = await request_origin(self._transport, address, self.group, request_id, service)
        except ORIGIN_LOOKUP_ERRORS:
            self._pause()
            return None
        self._record_contact()
        return answer

    def _record_contact(self) -> None:
        self.last_contact_at = monotonic()
        self.failing = False

    def _pause(self) -> None:
        self._paused_until = monotonic() + PAUSE_AFTER_TIMEOUT_S
        self.failing = True

    # ---- the session ----

    async def run(self) -> None:
        """Keep a session open until cancelled; reopen it when it closes."""
        while True:
            await self.hold_once()

    async def hold_once(self) -> None:
        """Hold a session until it closes, if the node's address is known; then wait for a delay."""
        address = self._address(self.group)
        if address is not None:
            reason = await self._hold_until_closed(address)
            self._opening = False
            if self.is_open:
                self._open_address = None
                self._log.write(
                    Event.GRANTER_LOST,
                    group=self.group,
                    reason=reason,
                    limits_only=self._limits_only,
                )
        await asyncio.sleep(REOPEN_DELAY_S * (0.5 + random()))

    async def _hold_until_closed(self, address: Address) -> str:
        """Hold a session; an unexpected error closes it, too."""
        try:
            return await self._hold_session(address)
        except Exception as error:
            record_failure("SlotSession.hold_once", error)
            return type(error).__name__

    async def _hold_session(self, address: Address) -> str:
        """Open a session and handle its updates; return why it closed."""
        self._session += 1
        self._unsent.clear()
        self._opening = True
        last_usage = self._reports.reported_usage(self.group)
        frame = Frame(
            open_slot_session=OpenSlotSession(
                group=self.group,
                holder=self._holder,
                session=self._session,
                zone=self._zone,
                uses=[use_to_message(use) for use in self._uses_by_number.values()],
                sends=[send_to_message(send) for send in self._reports.sends_of(self.group)],
                usage=[
                    TenantUsage(tenant=tenant, count=count)
                    for tenant, count in last_usage.by_tenant.items()
                ],
                usage_age_ms=int((monotonic() - last_usage.received_at) * 1000),
                gateways_heard=last_usage.gateways,
                limits_only=self._limits_only,
                address=self._reports.own_address,
                origins=[
                    origin_to_message(origin, age_s)
                    for age_s, origin in self._reports.origins_of(self.group)
                ],
            )
        )
        answers = self._transport.stream(address, frame, TrafficClass.SLOTS)
        try:
            async with aclosing(answers):
                while True:
                    answer = await self._next_frame(anext(answers), address)
                    if answer is None:
                        return "another node grants"
                    if answer.slot_news.refused:
                        return "refused"
                    self._handle_updates(address, answer.slot_news)
        except TimeoutError:
            self._transport.drop(address, TrafficClass.SLOTS)
            return "silent"
        except (PeerUnreachableError, ServingError, StopAsyncIteration) as error:
            return f"{type(error).__name__}: {error}"

    async def _next_frame(self, answer: Awaitable[Frame], address: Address) -> Frame | None:
        """Return the next frame; None if another node grants now.

        Raises:
            TimeoutError: the node sends nothing.
        """
        opens_backup = self._limits_only and not self.is_open
        backup_timeout_s = BACKUP_TIMEOUT_S + 2 * self._transport.round_trip_s(address)
        until = monotonic() + (backup_timeout_s if opens_backup else UPDATES_TIMEOUT_S)
        waiting = asyncio.ensure_future(answer)
        try:
            while not waiting.done():
                if self._address(self.group) != address:
                    return None
                if monotonic() > until:
                    raise TimeoutError
                await asyncio.wait((waiting,), timeout=ADDRESS_CHECK_INTERVAL_S)
            return waiting.result()
        finally:
            if not waiting.done():
                # The stream can only be closed once its reader has finished.
                waiting.cancel()
                await asyncio.wait((waiting,))

    def _handle_updates(self, address: Address, updates: SlotNews) -> None:
        self._record_contact()
        if not self.is_open:
            self._open_address = address
            self.open_count += 1
            self._opening = False
            self._paused_until = 0.0
            self._log.write(
                Event.GRANTER_FOUND,
                group=self.group,
                slots=len(self._uses_by_number),
                limits_only=self._limits_only,
            )
            self._flush()
            self._listener.session_opened(self.group)
        if updates.relays:
            self.relays = [Address.parse(text) for text in updates.relays]
        if updates.HasField("picture"):
            self.snapshot = snapshot_from_message(updates.picture)
            self.snapshot_at = monotonic()
            self._listener.snapshot_received(self.group, self.snapshot)
        if updates.offers or updates.leaving:
            self._listener.item_updates_received(self.group, updates)

    def _flush(self) -> None:
        self._flushing = False
        address = self._open_address
        if address is None or not self._unsent:
            return
        events = [event_to_message(event) for event in self._unsent]
        self._unsent.clear()
        message = SlotEvents(
            group=self.group, holder=self._holder, session=self._session, events=events
        )
        self._transport.send(address, Frame(slot_events=message), TrafficClass.SLOTS)


async def request_origin(
    transport: Transport, address: Address, group: int, request_id: str, service: str
) -> StreamOriginAnswer:
    """Request the software that began a stream from a storage node.

    Raises:
        TimeoutError, PeerUnreachableError, ServingError: the node does not respond.
    """
    lookup = FindStreamOrigin(group=group, request_id=request_id, service=service)
    async with asyncio.timeout(GRANT_TIMEOUT_S + transport.round_trip_s(address)):
        answer = await transport.call(address, Frame(find_stream_origin=lookup), TrafficClass.SLOTS)
    return answer.stream_origin_answer
