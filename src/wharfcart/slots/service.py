"""The node that grants slots: sessions, requests and events of holders, carried to the core.

It grants for as long as it leads the job group of the same number. A holder whose connection ends
has left: what it had taken is free at once.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from random import sample

from wharfcart.admission.tenant_limits import TenantLimitCoordinator
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    Frame,
    ItemLeave,
    ItemOffer,
    OpenSlotSession,
    PermitAnswer,
    PermitRequest,
    SlotEvents,
    SlotGrant,
    SlotNews,
    SlotRequest,
)
from wharfcart.cluster.topology import Distance
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import residence_to_message
from wharfcart.configuration.serving import RequestLimit
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import Gauge
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.slots.events import (
    Granted,
    HolderId,
    ItemOffered,
    ItemPreempted,
    NoSlot,
    Refused,
    SentWithoutPermit,
    SessionClosed,
    SessionKey,
    SessionOpened,
    SlotEvent,
    SlotInstruction,
    SlotNumber,
    SlotReleased,
)
from wharfcart.slots.granter import SlotGranter
from wharfcart.slots.messages import (
    event_from_message,
    request_from_message,
    send_from_message,
    snapshot_to_message,
    usage_from_message,
    use_from_message,
)
from wharfcart.slots.snapshot import SlotSnapshot

# What time alone brings is looked at so often: who has waited long enough, who is avoided no more.
TICK_S = 0.05
# A holder that waits for a slot hears at least so often that it still waits.
WAIT_HEARTBEAT_S = 0.1
# Holders in the zone of the group's back ends hear of the load so often, more seldom where they are
# many. Those elsewhere send few requests here, and their pictures travel between zones. Holders in
# other regions ask only where their own region is full: they hear as seldom, nothing at once, and
# not the load of each back end, since bytes between regions cost most.
SNAPSHOT_INTERVAL_S = 0.25
OTHER_ZONE_SNAPSHOT_INTERVAL_S = 1.0
OTHER_REGION_SNAPSHOT_INTERVAL_S = 1.0
MAX_SNAPSHOTS_PER_SECOND = 400
# Gateways that are cut off ask by way of others; of six drawn by lot one has contact even if a
# third of all gateways is cut off.
RELAYS_INTERVAL_S = 5.0
MAX_RELAYS = 6
# A back end that must be avoided is told at once, but no more often than this.
MIN_SNAPSHOT_GAP_S = 0.05

Respond = Callable[[Frame], Awaitable[None]]


@dataclass
class _Outbox:
    """News for one session that were not sent yet.

    Attributes:
        distance: of its holder from the group's back ends.
        heard_at: monotonic time at which the holder was heard last.
        address: of a gateway that asks for permits in place of others, or ''.
    """

    distance: Distance
    last_contact_at: float
    address: str
    updates: SlotNews = field(default_factory=SlotNews)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def take(self) -> SlotNews:
        """Return the news, and begin anew."""
        news, self.updates = self.updates, SlotNews()
        self.wake.clear()
        return news


class SlotService:
    """Grants the slots of one group of back ends while this node leads the job group.

    Args:
        group: number of the group.
        choice: what this node knows of the back ends.
        owns: which of them belong to the group.
        distance: how far a zone is from the group's back ends.
        log: tells which requests were refused.
        requests_waiting: shows how many wait.
        limit_of: a tenant's limit of requests, or None.
        leads_freshly: whether no other node can grant yet.
    """

    def __init__(
        self,
        group: int,
        selector: BackendSelector,
        owns: Callable[[BackendInstance], bool],
        distance: Callable[[str], Distance],
        log: DecisionLog,
        requests_waiting: Gauge,
        limit_of: Callable[[str], RequestLimit | None] = lambda _tenant: None,
        is_leadership_confirmed: Callable[[], bool] = lambda: True,
    ) -> None:
        self.group = group
        self._selector = selector
        self._owns = owns
        self._distance = distance
        self._log = log
        self._requests_waiting = requests_waiting
        self._limit_of = limit_of
        self._is_leadership_confirmed = is_leadership_confirmed
        self._limits = TenantLimitCoordinator(limit_of, monotonic())
        self._permit_contact_at: dict[SessionKey, float] = {}  # without slots; when heard last
        self._granter: SlotGranter | None = None
        self._outboxes: dict[SessionKey, _Outbox] = {}
        self._answers: dict[tuple[SessionKey, SlotNumber], asyncio.Future[SlotInstruction]] = {}
        self._same_zone_sent_at = 0.0
        self._same_region_sent_at = 0.0
        self._other_region_sent_at = 0.0
        self._relays_sent_at = 0.0
        self._avoided: frozenset[str] = frozenset()

    @property
    def granter(self) -> SlotGranter | None:
        """The decisions, while this node grants."""
        return self._granter

    def begin(self, epoch: int) -> None:
        """Begin to grant, knowing nothing: holders tell what they have taken."""
        self._granter = self.new_granter()
        self._begin_limits()
        self._log.write(Event.GRANTING_BEGUN, group=self.group, epoch=epoch)

    def new_granter(self) -> SlotGranter:
        """Return the decisions of a new leadership."""
        return SlotGranter(self._selector, self._owns, self._is_leadership_confirmed)

    def end(self) -> None:
        """Grant no longer: another node does."""
        if self._granter is None:
            return
        self._granter = None
        self._log.write(Event.GRANTING_ENDED, group=self.group, sessions=len(self._outboxes))
        for outbox in self._outboxes.values():
            outbox.wake.set()
        for (session, number), answer in list(self._answers.items()):
            if not answer.done():
                answer.set_result(NoSlot(session, number))

    async def run(self) -> None:
        """Do what time brings until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            granter = self._granter
            if granter is None:
                continue
            now = monotonic()
            self._execute(granter.tick(now))
            self._requests_waiting.set(granter.total_waiting())
            self._send_due_snapshots(granter, now)
            self._send_relays(now)

    # ---- calls of holders ----

    async def serve_session(self, message: OpenSlotSession, respond: Respond) -> None:
        """Hold a session until its holder leaves; cancelled if the connection ends."""
        granter = self._granter
        if granter is None and message.limits_only:
            await self._serve_permits_only(message, respond)
            return
        if granter is None or message.limits_only:
            await respond(Frame(slot_news=SlotNews(refused=True), last=True))
            return
        key = SessionKey(HolderId(message.holder), message.session)
        outbox = _Outbox(self._distance(message.zone), monotonic(), message.address)
        self._outboxes[key] = outbox
        uses = tuple(use_from_message(use) for use in message.uses)
        limits = self._open_limits(message)
        self._apply(granter, SessionOpened(key, message.zone, uses))
        picture = granter.snapshot(monotonic())
        if outbox.distance is Distance.OTHER_REGION:
            picture = picture.for_other_region()
        outbox.updates.picture.CopyFrom(snapshot_to_message(picture))
        try:
            while self._granter is granter and granter.is_open(key):
                await respond(Frame(slot_news=outbox.take()))
                await outbox.wake.wait()
            await respond(Frame(slot_news=SlotNews(refused=True), last=True))
        finally:
            del self._outboxes[key]
            if granter.session_of(key.holder) in (None, key):
                now = monotonic()
                limits.holder_lost(key.holder, now - outbox.last_contact_at, now)
            if self._granter is granter:
                self._apply(granter, SessionClosed(key))

    async def _serve_permits_only(self, message: OpenSlotSession, respond: Respond) -> None:
        """Keep limits for a gateway that does not reach the granting node."""
        if not self._permit_contact_at:
            self._begin_limits()
        key = SessionKey(HolderId(message.holder), message.session)
        limits = self._open_limits(message)
        self._permit_contact_at[key] = monotonic()
        try:
            while self._limits is limits:
                now = monotonic()
                picture = SlotSnapshot(
                    usage=limits.usage_by_tenant(now), gateways=limits.gateway_count(now)
                )
                await respond(Frame(slot_news=SlotNews(picture=snapshot_to_message(picture))))
                await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            await respond(Frame(slot_news=SlotNews(refused=True), last=True))
        finally:
            now = monotonic()
            limits.holder_lost(key.holder, now - self._permit_contact_at.pop(key), now)

    async def serve_request(self, message: SlotRequest, respond: Respond) -> None:
        """Answer a gateway that asks for a slot; cancelled if it wants none any more."""
        granter = self._granter
        key = SessionKey(HolderId(message.holder), message.session)
        if granter is None or not granter.is_open(key):
            await respond(Frame(slot_grant=SlotGrant(no_session=True), last=True))
            return
        self._record_contact(key)
        asked = request_from_message(key, message, monotonic())
        if message.tenant:
            unpermitted = self._permit_if_confirmed(key, message.tenant, message.request_id)
            if unpermitted is not None:
                await respond(Frame(slot_grant=unpermitted, last=True))
                return
        limits = self._limits
        answer: asyncio.Future[SlotInstruction] = asyncio.get_running_loop().create_future()
        self._answers[key, asked.number] = answer
        told = False
        try:
            self._apply(granter, asked)
            while not answer.done():
                await respond(Frame(slot_grant=SlotGrant(waiting=True)))
                await asyncio.wait((answer,), timeout=WAIT_HEARTBEAT_S)
            self._log_refusal(asked.service, asked.request_id, answer.result())
            await respond(Frame(slot_grant=_grant_message(answer.result()), last=True))
            told = True
        finally:
            del self._answers[key, asked.number]
            if message.tenant and not (told and isinstance(answer.result(), Granted)):
                limits.release(key.holder, message.tenant, monotonic())
            if not told and self._granter is granter:
                self._apply(granter, SlotReleased(key, asked.number))

    async def serve_permit(self, message: PermitRequest, respond: Respond) -> None:
        """Answer a gateway that asks whether a tenant may send one more request."""
        key = SessionKey(HolderId(message.holder), message.session)
        grant: SlotGrant | None = SlotGrant(unsure=True)
        if key in self._permit_contact_at:
            self._permit_contact_at[key] = monotonic()
            grant = self._permit(key, message.tenant, "")
        elif self._granter is not None and self._granter.is_open(key):
            self._record_contact(key)
            grant = self._permit_if_confirmed(key, message.tenant, "")
        answer = PermitAnswer(permitted=True)
        if grant is not None:
            answer = PermitAnswer(retry_after_ms=grant.retry_after_ms, unsure=grant.unsure)
        await respond(Frame(permit_answer=answer, last=True))

    def handle_events(self, message: SlotEvents) -> None:
        """Take what a holder tells within its session; a session that has ended tells nothing."""
        granter = self._granter
        key = SessionKey(HolderId(message.holder), message.session)
        if granter is None or not granter.is_open(key):
            return
        self._record_contact(key)
        for event in message.events:
            told = event_from_message(key, event)
            if isinstance(told, SentWithoutPermit):
                self._limits.count_unpermitted(key.holder, told.tenant, monotonic())
            else:
                self._apply(granter, told)

    # ---- inner ----

    def _begin_limits(self) -> None:
        self._limits = TenantLimitCoordinator(self._limit_of, monotonic())

    def _open_limits(self, message: OpenSlotSession) -> TenantLimitCoordinator:
        """Take what a gateway tells of tenants' requests."""
        self._limits.holder_connected(
            message.holder,
            [send_from_message(send) for send in message.sends],
            [usage_from_message(usage) for usage in message.usage],
            message.usage_age_ms / 1000,
            message.gateways_heard,
            monotonic(),
        )
        return self._limits

    def _record_contact(self, key: SessionKey) -> None:
        outbox = self._outboxes.get(key)
        if outbox is not None:
            outbox.last_contact_at = monotonic()

    def _permit_if_confirmed(
        self, key: SessionKey, tenant: str, request_id: str
    ) -> SlotGrant | None:
        """Permit a tenant's request unless another node may grant by now."""
        if not self._is_leadership_confirmed():
            return SlotGrant(unsure=True)
        return self._permit(key, tenant, request_id)

    def _permit(self, key: SessionKey, tenant: str, request_id: str) -> SlotGrant | None:
        """Permit a tenant's request; else return what its gateway is told."""
        now = monotonic()
        retry_after_s = self._limits.acquire(key.holder, tenant, now)
        if not retry_after_s:
            return None
        limit = self._limit_of(tenant)
        self._log.write(
            Event.REQUEST_LIMITED,
            request=request_id,
            tenant=tenant,
            group=self.group,
            per_s=None if limit is None else limit.requests_per_s,
            burst=None if limit is None else limit.burst,
            used=self._limits.window_usage(tenant, now),
            retry_after_s=round(retry_after_s, 2),
        )
        return SlotGrant(limited=True, retry_after_ms=int(retry_after_s * 1000) + 1)

    def _apply(self, granter: SlotGranter, event: SlotEvent) -> None:
        self._execute(granter.handle(event, monotonic()))

    def _execute(self, instructions: Iterable[SlotInstruction]) -> None:
        for instruction in instructions:
            match instruction:
                case Granted() | NoSlot() | Refused():
                    answer = self._answers.get((instruction.session, instruction.number))
                    if answer is not None and not answer.done():
                        answer.set_result(instruction)
                case ItemOffered():
                    offer = ItemOffer(
                        number=instruction.number,
                        service=instruction.service,
                        instance_id=instruction.instance_id,
                        residence=residence_to_message(instruction.residence),
                    )
                    self._send_updates(instruction.session, SlotNews(offers=[offer]))
                case ItemPreempted():
                    leave = ItemLeave(number=instruction.number, cause=instruction.cause.value)
                    self._send_updates(instruction.session, SlotNews(leaving=[leave]))

    def _send_updates(self, session: SessionKey, updates: SlotNews) -> None:
        outbox = self._outboxes.get(session)
        if outbox is not None:
            outbox.updates.MergeFrom(updates)
            outbox.wake.set()

    def _send_due_snapshots(self, granter: SlotGranter, now: float) -> None:
        """Tell holders of the load, from time to time or when what is avoided has changed."""
        avoided = granter.avoided(now)
        changed = avoided != self._avoided and now - self._same_zone_sent_at >= MIN_SNAPSHOT_GAP_S
        period_s = max(SNAPSHOT_INTERVAL_S, len(self._outboxes) / MAX_SNAPSHOTS_PER_SECOND)
        near_due = changed or now - self._same_zone_sent_at >= period_s
        far_due = changed or now - self._same_region_sent_at >= max(
            OTHER_ZONE_SNAPSHOT_INTERVAL_S, period_s
        )
        abroad_due = now - self._other_region_sent_at >= max(
            OTHER_REGION_SNAPSHOT_INTERVAL_S, period_s
        )
        if not near_due and not far_due and not abroad_due:
            return
        if changed:
            self._avoided = avoided
        limits = self._limits
        picture = replace(
            granter.snapshot(now),
            usage=limits.usage_by_tenant(now),
            gateways=limits.gateway_count(now),
        )
        if near_due:
            self._same_zone_sent_at = now
            self._send_snapshot(Distance.SAME_ZONE, picture)
        if far_due:
            self._same_region_sent_at = now
            self._send_snapshot(Distance.SAME_REGION, picture)
        if abroad_due:
            self._other_region_sent_at = now
            self._send_snapshot(Distance.OTHER_REGION, picture.for_other_region())

    def _send_snapshot(self, distance: Distance, snapshot: SlotSnapshot) -> None:
        message = snapshot_to_message(snapshot)
        for outbox in self._outboxes.values():
            if outbox.distance is distance:
                outbox.updates.picture.CopyFrom(message)
                outbox.wake.set()

    def _send_relays(self, now: float) -> None:
        """Tell each gateway of some others, for when it is cut off from here."""
        if now - self._relays_sent_at < RELAYS_INTERVAL_S:
            return
        self._relays_sent_at = now
        addresses = [outbox.address for outbox in self._outboxes.values() if outbox.address]
        for outbox in self._outboxes.values():
            if outbox.address:
                others = [address for address in addresses if address != outbox.address]
                some = sample(others, min(MAX_RELAYS, len(others)))
                outbox.updates.relays[:] = some
                outbox.wake.set()

    def _log_refusal(self, service: str, request_id: str, answer: SlotInstruction) -> None:
        if isinstance(answer, Refused):
            self._log.write(
                Event.SLOT_REFUSED,
                request=request_id,
                service=service,
                group=self.group,
                cause=answer.cause.value,
                waiting=answer.waiting,
                slots=answer.slots,
                retry_after_s=round(answer.retry_after_s, 2),
            )


def _grant_message(answer: SlotInstruction) -> SlotGrant:
    match answer:
        case Granted():
            return SlotGrant(instance_id=answer.instance_id)
        case Refused():
            return SlotGrant(refused=True, retry_after_ms=int(answer.retry_after_s * 1000))
    return SlotGrant()
