"""A holder's session with the node that grants the slots of one group of back ends.

Everything that the holder has taken there is told when the session opens, and every change within
it. A session that breaks is opened anew, with the whole list; nothing lapses by time.
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
    Frame,
    OpenSlotSession,
    PermitAnswer,
    PermitRequest,
    SlotEvents,
    SlotGrant,
    SlotNews,
    TenantUsage,
)
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.slots.events import (
    HolderId,
    RunResult,
    SessionKey,
    SlotEvent,
    SlotNumber,
    SlotReleased,
    SlotRequested,
    SlotTaken,
    SlotUse,
)
from wharfcart.slots.messages import (
    event_to_message,
    request_to_message,
    send_to_message,
    snapshot_from_message,
    use_to_message,
)
from wharfcart.slots.snapshot import SlotSnapshot

# A grant takes a look-up, besides the round trip that was observed to its node; one that takes
# longer is not worth waiting for.
GRANT_TIMEOUT_S = 0.04
# After a grant that did not come, the node is not asked again for so long.
PAUSE_AFTER_TIMEOUT_S = 0.5
# A node that has a request wait tells that it lives more often than this.
WAIT_HEARTBEAT_TIMEOUT_S = 0.25
# A node that grants tells the load more often than this, however many holders there are.
UPDATES_TIMEOUT_S = 2.0
# A stand-in that does not answer by then, besides the round trips of a connection and a call, is
# passed by for the next one.
BACKUP_TIMEOUT_S = 0.15
# So often it is looked whether another node grants now.
ADDRESS_CHECK_INTERVAL_S = 0.1
REOPEN_DELAY_S = 0.1


@dataclass(frozen=True)
class HeldSlot:
    """A slot that this holder has taken, by the group that grants it."""

    group: int
    number: SlotNumber


@dataclass(frozen=True)
class ReportedUsage:
    """What a holder heard last of requests under tenants' limits.

    Attributes:
        by_tenant: requests of one window over all gateways.
        at: monotonic time at which it heard that.
        gateways: how many were counted.
    """

    by_tenant: dict[str, int]
    received_at: float
    gateways: int


class LimitReports(Protocol):
    """What a holder tells a node that keeps tenants' limits."""

    def sends_of(self, group: int) -> list[PermittedSend]:
        """Return the holder's last requests of the tenants whose home a group is."""
        ...

    def reported_usage(self, group: int) -> ReportedUsage:
        """Return what any node told last of these tenants."""
        ...

    @property
    def own_address(self) -> str:
        """Where other gateways reach this one; '' if it is none."""
        ...


class SlotUpdateListener:
    """What a holder does with news of its sessions; this one does nothing."""

    def snapshot_received(self, group: int, snapshot: SlotSnapshot) -> None:
        """Take the load of a group's back ends."""

    def item_updates_received(self, group: int, updates: SlotNews) -> None:
        """Take slots that are offered to batch items, and items that must leave."""

    def session_opened(self, group: int) -> None:
        """Note that a session has begun: what was told within the last one is forgotten there."""


class SlotSession:
    """The session with one group's granting node.

    Args:
        group: number of the group.
        holder: whose session it is.
        zone: of the holder.
        transport: reaches the node.
        address: where it is now, or None.
        taker: is told of news.
        log: tells when the node is found and lost.
        facts: told to the node that keeps tenants' limits.
        limits_only: the session is for permits alone, with a node that grants no slots.

    Attributes:
        snapshot: the load as it was received last.
        snapshot_at: monotonic time at which it came.
        heard_at: monotonic time at which the node was heard last; None if it never was.
        failing: the node did not answer the last call.
        opened: how often a session was opened.
        relays: other gateways that may ask for permits in place of this holder.
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
        limit_reports: LimitReports,
        limits_only: bool = False,
    ) -> None:
        self.group = group
        self._holder = holder
        self._zone = zone
        self._transport = transport
        self._address = address
        self._listener = listener
        self._log = log
        self._limit_reports = limit_reports
        self._limits_only = limits_only
        self._uses_by_number: dict[SlotNumber, SlotUse] = {}
        self._next_number = 1
        self._session = 0
        self._open_address: Address | None = None  # where the open session is held
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
        """Name of the session that is open or was open last."""
        return SessionKey(self._holder, self._session)

    @property
    def uses(self) -> list[SlotUse]:
        """Return the slots that the holder has taken."""
        return list(self._uses_by_number.values())

    @property
    def is_open(self) -> bool:
        """Whether the granting node knows this session."""
        return self._open_address is not None

    def is_available(self, now: float) -> bool:
        """Whether the granting node may be asked for a slot."""
        return self.is_open and now >= self._paused_until

    # ---- slots ----

    def new_number(self) -> SlotNumber:
        """Return a number for a slot that is asked for or taken."""
        self._next_number += 1
        return SlotNumber(self._next_number)

    def take_without_grant(self, use: SlotUse) -> HeldSlot:
        """Note a slot that is taken without having been asked for, and tell of it."""
        self._uses_by_number[use.number] = use
        self.send(SlotTaken(self.key, use))
        return HeldSlot(self.group, use.number)

    def record_granted(self, use: SlotUse) -> HeldSlot:
        """Note a slot that the granting node gave and so knows of."""
        self._uses_by_number[use.number] = use
        return HeldSlot(self.group, use.number)

    def release(self, number: SlotNumber, result: RunResult = RunResult.UNKNOWN) -> None:
        """Give a slot back."""
        self._uses_by_number.pop(number, None)
        self.send(SlotReleased(self.key, number, result))

    def send(self, event: SlotEvent) -> None:
        """Tell the granting node of an event within the session.

        While a session opens it is kept: the list of what is taken may have left without it.
        """
        if self.is_open or self._opening:
            self._unsent.append(event)
        if self.is_open and not self._flushing:
            self._flushing = True
            asyncio.get_running_loop().call_soon(self._flush)

    async def request_slot(self, request: SlotRequested, tenant: str = "") -> SlotGrant | None:
        """Ask for a slot; None if the granting node does not answer or no longer grants.

        Cancelled, or without an answer in time, the request is withdrawn.

        Args:
            asked: what is asked for.
            tenant: whose limit the request counts towards; '' if that is settled.
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
                # A grant may be on its way that nobody waits for any more.
                self.release(request.number)

    async def request_permit(self, tenant: str) -> PermitAnswer | None:
        """Ask whether a tenant may send one more request; None if the node does not answer."""
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
        return answer.permit_answer

    def _record_contact(self) -> None:
        self.last_contact_at = monotonic()
        self.failing = False

    def _pause(self) -> None:
        self._paused_until = monotonic() + PAUSE_AFTER_TIMEOUT_S
        self.failing = True

    # ---- the session ----

    async def run(self) -> None:
        """Keep a session open until cancelled."""
        while True:
            await self.hold_once()

    async def hold_once(self) -> None:
        """Hold a session until it ends, if it is known with whom; then rest for a moment."""
        address = self._address(self.group)
        if address is not None:
            reason = await self._hold_session(address)
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

    async def _hold_session(self, address: Address) -> str:
        """Open a session and take its news; return why it ended."""
        self._session = getrandbits(63)
        self._unsent.clear()
        self._opening = True
        heard = self._limit_reports.reported_usage(self.group)
        frame = Frame(
            open_slot_session=OpenSlotSession(
                group=self.group,
                holder=self._holder,
                session=self._session,
                zone=self._zone,
                uses=[use_to_message(use) for use in self._uses_by_number.values()],
                sends=[send_to_message(send) for send in self._limit_reports.sends_of(self.group)],
                usage=[
                    TenantUsage(tenant=tenant, count=count)
                    for tenant, count in heard.by_tenant.items()
                ],
                usage_age_ms=int((monotonic() - heard.received_at) * 1000),
                gateways_heard=heard.gateways,
                limits_only=self._limits_only,
                address=self._limit_reports.own_address,
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
        """Return the next news; None if another node grants now.

        Raises:
            TimeoutError: the node tells nothing.
        """
        opens_stand_in = self._limits_only and not self.is_open
        stand_in_s = BACKUP_TIMEOUT_S + 2 * self._transport.round_trip_s(address)
        until = monotonic() + (stand_in_s if opens_stand_in else UPDATES_TIMEOUT_S)
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
                # It must have ended before the stream that it reads can be closed.
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
