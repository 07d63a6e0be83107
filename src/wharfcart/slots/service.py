"""Service of a granting node: passes sessions, requests and events of holders to the granter.

A node grants while it leads the job group of the same number. If a holder's connection closes, its
slots become free at once.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field, replace
from random import sample

from wharfcart.admission.tenant_limits import TenantLimitCoordinator
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    FindStreamOrigin,
    Frame,
    ItemLeave,
    ItemOffer,
    OpenSlotSession,
    PermitAnswer,
    PermitRequest,
    ReportStreamOrigin,
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
from wharfcart.routing.stream_origins import StreamOrigins
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
    origin_answer_to_message,
    origin_from_message,
    request_from_message,
    send_from_message,
    snapshot_to_message,
    usage_from_message,
    use_from_message,
)
from wharfcart.slots.snapshot import SlotSnapshot

# Interval of what depends on time alone: expired requests and ended back-offs.
TICK_INTERVAL_S = 0.05
# Interval of heartbeats to a holder whose request waits.
WAIT_HEARTBEAT_INTERVAL_S = 0.1
# To holders in the zone of the group's back ends.
SNAPSHOT_INTERVAL_S = 0.25
# Longer, as these holders send fewer requests here and their traffic costs more. Holders in other
# regions request slots here only if their own region is full; traffic between regions costs most.
OTHER_ZONE_SNAPSHOT_INTERVAL_S = 1.0
OTHER_REGION_SNAPSHOT_INTERVAL_S = 1.0
# With many holders, snapshots are sent less often.
MAX_SNAPSHOTS_PER_SECOND = 400
# Interval at which gateways receive the addresses of relays.
RELAYS_INTERVAL_S = 5.0
# Enough that probably one has contact even if a third of all gateways is disconnected.
MAX_RELAYS = 6
# Between snapshots that are sent early because the avoided back ends changed.
MIN_SNAPSHOT_GAP_S = 0.05

Respond = Callable[[Frame], Awaitable[None]]


@dataclass
class _Outbox:
    """Updates for one session that were not sent yet.

    Attributes:
        distance: distance of the holder from the group's back ends.
        last_contact_at: monotonic time of the holder's last message.
        address: address of a gateway that can relay permits, or ''.
        updates: the unsent updates.
        wake: set when there are updates or the session must close.
    """

    distance: Distance
    last_contact_at: float
    address: str
    updates: SlotNews = field(default_factory=SlotNews)
    wake: asyncio.Event = field(default_factory=asyncio.Event)

    def take(self) -> SlotNews:
        """Return the unsent updates and clear them."""
        unsent, self.updates = self.updates, SlotNews()
        self.wake.clear()
        return unsent


@dataclass
class _PermitOnlySession:
    """A session for permits only.

    Attributes:
        key: key of the session.
        limits: the coordinator that counts the gateway's requests.
        last_contact_at: monotonic time of the gateway's last message.
    """

    key: SessionKey
    limits: TenantLimitCoordinator
    last_contact_at: float


class SlotService:
    """Grants the slots of one group of back ends while this node leads the job group.

    Args:
        group: number of the group.
        selector: this node's state of the back ends.
        owns: whether a back end belongs to the group.
        distance: distance of a zone from the group's back ends.
        log: receives refused requests, and when granting begins and ends.
        requests_waiting: gauge of waiting requests.
        limit_of: request limit of a tenant, or None.
        is_leadership_confirmed: whether no other node can grant yet.
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
        self._permit_only_sessions: dict[HolderId, _PermitOnlySession] = {}
        self._granter: SlotGranter | None = None
        self._origins = StreamOrigins()
        self._outboxes: dict[SessionKey, _Outbox] = {}
        self._answers: dict[tuple[SessionKey, SlotNumber], asyncio.Future[SlotInstruction]] = {}
        self._same_zone_sent_at = 0.0
        self._same_region_sent_at = 0.0
        self._other_region_sent_at = 0.0
        self._relays_sent_at = 0.0
        self._avoided: frozenset[str] = frozenset()

    @property
    def granter(self) -> SlotGranter | None:
        """The granter while this node grants, else None."""
        return self._granter

    def begin(self, epoch: int) -> None:
        """Begin to grant with an empty ledger; holders report their taken slots."""
        self._granter = self.new_granter()
        self._begin_limits()
        self._log.write(Event.GRANTING_BEGUN, group=self.group, epoch=epoch)

    def new_granter(self) -> SlotGranter:
        """Return the granter of a new leadership."""
        return SlotGranter(self._selector, self._owns, self._is_leadership_confirmed, self._origins)

    def end(self) -> None:
        """Stop granting, as another node grants now."""
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
        """Run periodic work until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
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
        """Serve a session until it is closed or granting stops; cancelled on disconnect."""
        granter = self._granter
        if granter is None and message.limits_only:
            await self._serve_permits_only(message, respond)
            return
        key = SessionKey(HolderId(message.holder), message.session)
        if (
            granter is None
            or message.limits_only
            or _is_outdated(key, granter.session_of(key.holder))
        ):
            await respond(Frame(slot_news=SlotNews(refused=True), last=True))
            return
        outbox = _Outbox(self._distance(message.zone), monotonic(), message.address)
        self._outboxes[key] = outbox
        uses = tuple(use_from_message(use) for use in message.uses)
        limits = self._open_limits(message)
        origins = tuple(
            (origin.age_ms / 1000, origin_from_message(origin)) for origin in message.origins
        )
        self._apply(granter, SessionOpened(key, message.zone, uses, origins))
        load_snapshot = granter.snapshot(monotonic())
        if outbox.distance is Distance.OTHER_REGION:
            load_snapshot = load_snapshot.for_other_region()
        outbox.updates.picture.CopyFrom(snapshot_to_message(load_snapshot))
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
        """Coordinate limits for a gateway that cannot reach the granting node."""
        sessions = self._permit_only_sessions
        key = SessionKey(HolderId(message.holder), message.session)
        known = sessions.get(key.holder)
        if known is not None and _is_outdated(key, known.key):
            await respond(Frame(slot_news=SlotNews(refused=True), last=True))
            return
        if all(session.limits is not self._limits for session in sessions.values()):
            self._begin_limits()
        limits = self._open_limits(message)
        session = sessions[key.holder] = _PermitOnlySession(key, limits, monotonic())
        try:
            while self._limits is limits and sessions.get(key.holder) is session:
                now = monotonic()
                load_snapshot = SlotSnapshot(
                    usage=limits.usage_by_tenant(now), gateways=limits.gateway_count(now)
                )
                await respond(Frame(slot_news=SlotNews(picture=snapshot_to_message(load_snapshot))))
                await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            await respond(Frame(slot_news=SlotNews(refused=True), last=True))
        finally:
            if sessions.get(key.holder) is session:
                del sessions[key.holder]
                now = monotonic()
                limits.holder_lost(key.holder, now - session.last_contact_at, now)

    async def serve_request(self, message: SlotRequest, respond: Respond) -> None:
        """Answer a gateway's slot request; cancelled if the gateway withdraws it."""
        granter = self._granter
        key = SessionKey(HolderId(message.holder), message.session)
        if granter is None or not granter.is_open(key):
            await respond(Frame(slot_grant=SlotGrant(no_session=True), last=True))
            return
        self._record_contact(key)
        request = request_from_message(key, message, monotonic())
        if message.tenant:
            unpermitted = self._permit_if_confirmed(key, message.tenant, message.request_id)
            if unpermitted is not None:
                await respond(Frame(slot_grant=unpermitted, last=True))
                return
        limits = self._limits
        answer: asyncio.Future[SlotInstruction] = asyncio.get_running_loop().create_future()
        self._answers[key, request.number] = answer
        sent = False
        try:
            self._apply(granter, request)
            while not answer.done():
                await respond(Frame(slot_grant=SlotGrant(waiting=True)))
                await asyncio.wait((answer,), timeout=WAIT_HEARTBEAT_INTERVAL_S)
            self._log_refusal(request.service, request.request_id, answer.result())
            await respond(Frame(slot_grant=_grant_message(answer.result()), last=True))
            sent = True
        finally:
            del self._answers[key, request.number]
            if message.tenant and not (sent and isinstance(answer.result(), Granted)):
                limits.release(key.holder, message.tenant, monotonic())
            if not sent and self._granter is granter:
                self._apply(granter, SlotReleased(key, request.number))

    async def serve_find_origin(self, message: FindStreamOrigin, respond: Respond) -> None:
        """Answer a gateway's request for the software that began a stream."""
        now = monotonic()
        origin = self._origins.find(message.request_id, now)
        known = self._selector.known_versions(message.service, now)
        answer = origin_answer_to_message(origin, known)
        await respond(Frame(stream_origin_answer=answer, last=True))

    def record_origin(self, message: ReportStreamOrigin) -> None:
        """Record the software that began a stream, for a gateway without a session."""
        self._origins.record(origin_from_message(message.origin), monotonic())

    async def serve_permit(self, message: PermitRequest, respond: Respond) -> None:
        """Answer a gateway's request for a permit for one more request of a tenant."""
        key = SessionKey(HolderId(message.holder), message.session)
        grant: SlotGrant | None = SlotGrant(unsure=True)
        permit_only = self._permit_only_sessions.get(key.holder)
        if (
            permit_only is not None
            and permit_only.key == key
            and permit_only.limits is self._limits
        ):
            permit_only.last_contact_at = monotonic()
            grant = self._permit(key, message.tenant, "")
        elif self._granter is not None and self._granter.is_open(key):
            self._record_contact(key)
            grant = self._permit_if_confirmed(key, message.tenant, "")
        answer = PermitAnswer(permitted=True)
        if grant is not None:
            answer = PermitAnswer(retry_after_ms=grant.retry_after_ms, unsure=grant.unsure)
        await respond(Frame(permit_answer=answer, last=True))

    def handle_events(self, message: SlotEvents) -> None:
        """Handle the events of a holder's session; ignored if the session is not open."""
        granter = self._granter
        key = SessionKey(HolderId(message.holder), message.session)
        if granter is None or not granter.is_open(key):
            return
        self._record_contact(key)
        for event in message.events:
            slot_event = event_from_message(key, event)
            if isinstance(slot_event, SentWithoutPermit):
                self._limits.count_unpermitted(key.holder, slot_event.tenant, monotonic())
            else:
                self._apply(granter, slot_event)

    # ---- inner ----

    def _begin_limits(self) -> None:
        self._limits = TenantLimitCoordinator(self._limit_of, monotonic())

    def _open_limits(self, message: OpenSlotSession) -> TenantLimitCoordinator:
        """Record the tenants' requests that a gateway reports when it opens a session."""
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
        """Permit a tenant's request unless another node may already grant."""
        if not self._is_leadership_confirmed():
            return SlotGrant(unsure=True)
        return self._permit(key, tenant, request_id)

    def _permit(self, key: SessionKey, tenant: str, request_id: str) -> SlotGrant | None:
        """Permit a tenant's request; return None, or the refusal for its gateway."""
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
                        version=instruction.version,
                    )
                    self._send_updates(instruction.session, SlotNews(offers=[offer]))
                case ItemPreempted():
                    preemption = ItemLeave(number=instruction.number, cause=instruction.cause.value)
                    self._send_updates(instruction.session, SlotNews(leaving=[preemption]))

    def _send_updates(self, session: SessionKey, updates: SlotNews) -> None:
        outbox = self._outboxes.get(session)
        if outbox is not None:
            outbox.updates.MergeFrom(updates)
            outbox.wake.set()

    def _send_due_snapshots(self, granter: SlotGranter, now: float) -> None:
        """Send load snapshots that are due, or early if the avoided back ends changed.

        Holders in other regions get no early snapshots, as traffic between regions costs most.
        """
        avoided = granter.avoided(now)
        changed = avoided != self._avoided and now - self._same_zone_sent_at >= MIN_SNAPSHOT_GAP_S
        period_s = max(SNAPSHOT_INTERVAL_S, len(self._outboxes) / MAX_SNAPSHOTS_PER_SECOND)
        same_zone_due = changed or now - self._same_zone_sent_at >= period_s
        same_region_due = changed or now - self._same_region_sent_at >= max(
            OTHER_ZONE_SNAPSHOT_INTERVAL_S, period_s
        )
        other_region_due = now - self._other_region_sent_at >= max(
            OTHER_REGION_SNAPSHOT_INTERVAL_S, period_s
        )
        if not same_zone_due and not same_region_due and not other_region_due:
            return
        if changed:
            self._avoided = avoided
        limits = self._limits
        load_snapshot = replace(
            granter.snapshot(now),
            usage=limits.usage_by_tenant(now),
            gateways=limits.gateway_count(now),
        )
        if same_zone_due:
            self._same_zone_sent_at = now
            self._send_snapshot(Distance.SAME_ZONE, load_snapshot)
        if same_region_due:
            self._same_region_sent_at = now
            self._send_snapshot(Distance.SAME_REGION, load_snapshot)
        if other_region_due:
            self._other_region_sent_at = now
            self._send_snapshot(Distance.OTHER_REGION, load_snapshot.for_other_region())

    def _send_snapshot(self, distance: Distance, snapshot: SlotSnapshot) -> None:
        message = snapshot_to_message(snapshot)
        for outbox in self._outboxes.values():
            if outbox.distance is distance:
                outbox.updates.picture.CopyFrom(message)
                outbox.wake.set()

    def _send_relays(self, now: float) -> None:
        """Send each gateway random other gateways that can relay permits."""
        if now - self._relays_sent_at < RELAYS_INTERVAL_S:
            return
        self._relays_sent_at = now
        addresses = [outbox.address for outbox in self._outboxes.values() if outbox.address]
        for outbox in self._outboxes.values():
            if outbox.address:
                others = [address for address in addresses if address != outbox.address]
                chosen = sample(others, min(MAX_RELAYS, len(others)))
                outbox.updates.relays[:] = chosen
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


def _is_outdated(key: SessionKey, known: SessionKey | None) -> bool:
    """Whether the message that opens a session arrived after a later one, or twice."""
    return known is not None and (key == known or key.precedes(known))


def _grant_message(answer: SlotInstruction) -> SlotGrant:
    match answer:
        case Granted():
            return SlotGrant(instance_id=answer.instance_id)
        case Refused():
            return SlotGrant(refused=True, retry_after_ms=int(answer.retry_after_s * 1000))
    return SlotGrant()
