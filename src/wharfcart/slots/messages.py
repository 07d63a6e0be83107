"""Conversion between protobuf messages and typed slot events.

Messages carry durations instead of times, as monotonic clocks of two nodes are unrelated.
"""

from wharfcart.admission.tenant_limits import PermittedSend, TenantUsage
from wharfcart.cluster import messages_pb2 as pb
from wharfcart.configuration.instances import BackendSoftware, SoftwareVersion
from wharfcart.configuration.residence import residence_from_message, residence_to_message
from wharfcart.routing.stream_origins import StreamOrigin
from wharfcart.routing.version_history import KnownVersions
from wharfcart.slots.events import (
    BackendFailureReported,
    ItemStarted,
    ItemsWaiting,
    RequestMode,
    ResponsivenessChanged,
    RunResult,
    SentWithoutPermit,
    SessionKey,
    SlotEvent,
    SlotNumber,
    SlotReleased,
    SlotRequested,
    SlotTaken,
    SlotUse,
    StreamBegun,
)
from wharfcart.slots.snapshot import BackendLoad, ServiceCapacity, SlotSnapshot
from wharfcart.slots.urgency import Urgency

_MODES = {RequestMode.FREE: pb.FREE, RequestMode.PREEMPT: pb.YIELDED, RequestMode.WAIT: pb.WAIT}
_MODES_BY_VALUE = {value: mode for mode, value in _MODES.items()}
_RESULTS = {
    RunResult.UNKNOWN: pb.VERDICT_UNKNOWN,
    RunResult.BACKEND_OK: pb.GOOD,
    RunResult.BACKEND_FAILED: pb.BAD,
}
MAX_UINT32 = 2**32 - 1
_RESULTS_BY_VALUE = {value: result for result, value in _RESULTS.items()}


def urgency_to_message(urgency: Urgency) -> pb.ItemUrgency:
    """Convert the urgency of an item to a message."""
    return pb.ItemUrgency(left_s=urgency.until_due_s, remaining_s=urgency.remaining_s)


def urgency_from_message(message: pb.ItemUrgency) -> Urgency:
    """Convert a message to the urgency of an item."""
    return Urgency(message.left_s, message.remaining_s)


def use_to_message(use: SlotUse) -> pb.SlotUse:
    """Convert a taken slot to a message."""
    return pb.SlotUse(
        number=use.number,
        instance_id=use.instance_id,
        unread_tokens=use.unread_tokens,
        item=None if use.item is None else urgency_to_message(use.item),
    )


def use_from_message(message: pb.SlotUse) -> SlotUse:
    """Convert a message to a taken slot."""
    return SlotUse(
        SlotNumber(message.number),
        message.instance_id,
        message.unread_tokens,
        urgency_from_message(message.item) if message.HasField("item") else None,
    )


def snapshot_to_message(snapshot: SlotSnapshot) -> pb.SlotPicture:
    """Convert a load snapshot to a message."""
    return pb.SlotPicture(
        backends=[
            pb.BackendLoad(
                instance_id=load.instance_id,
                in_use=load.in_use,
                unread_tokens=min(load.unread_tokens, MAX_UINT32),
                avoided=load.avoided,
            )
            for load in snapshot.backends
        ],
        rooms=[
            pb.ServiceRoom(
                service=capacity.service,
                slots=capacity.slots,
                free=capacity.free,
                yielding=capacity.preemptible,
                waiting=capacity.waiting,
            )
            for capacity in snapshot.capacities
        ],
        sends_per_s=snapshot.sends_per_s,
        holders=snapshot.holders,
        usage=[pb.TenantUsage(tenant=name, count=n) for name, n in snapshot.usage.items()],
        gateways=snapshot.gateways,
    )


def snapshot_from_message(message: pb.SlotPicture) -> SlotSnapshot:
    """Convert a message to a load snapshot."""
    return SlotSnapshot(
        backends=tuple(
            BackendLoad(load.instance_id, load.in_use, load.unread_tokens, load.avoided)
            for load in message.backends
        ),
        capacities=tuple(
            ServiceCapacity(
                capacity.service, capacity.slots, capacity.free, capacity.yielding, capacity.waiting
            )
            for capacity in message.rooms
        ),
        sends_per_s=dict(message.sends_per_s),
        holders=message.holders,
        usage={usage.tenant: usage.count for usage in message.usage},
        gateways=message.gateways,
    )


def send_to_message(send: PermittedSend) -> pb.TenantSend:
    """Convert a permitted request of a tenant to a message."""
    return pb.TenantSend(tenant=send.tenant, age_ms=_milliseconds(send.age_s))


def send_from_message(message: pb.TenantSend) -> PermittedSend:
    """Convert a message to a permitted request of a tenant."""
    return PermittedSend(message.tenant, message.age_ms / 1000)


def usage_from_message(message: pb.TenantUsage) -> TenantUsage:
    """Convert a message to a tenant's request count over all gateways."""
    return TenantUsage(message.tenant, message.count)


def version_from_message(
    message: pb.SlotRequest | pb.WaitingItems | pb.ItemOffer,
) -> SoftwareVersion | None:
    """Return the software version that a message demands, or None."""
    return SoftwareVersion(message.version) if message.HasField("version") else None


def origin_to_message(origin: StreamOrigin, age_s: float = 0.0) -> pb.StreamOrigin:
    """Convert the origin of a stream to a message."""
    return pb.StreamOrigin(
        request_id=origin.request_id,
        service=origin.software.service,
        version=origin.software.version,
        sequence=origin.sequence,
        age_ms=_milliseconds(age_s),
    )


def origin_from_message(message: pb.StreamOrigin) -> StreamOrigin:
    """Convert a message to the origin of a stream."""
    software = BackendSoftware(message.service, SoftwareVersion(message.version))
    return StreamOrigin(message.request_id, software, message.sequence)


def origin_answer_to_message(
    origin: StreamOrigin | None, known: KnownVersions
) -> pb.StreamOriginAnswer:
    """Convert what a node knows of a stream to a message."""
    return pb.StreamOriginAnswer(
        origin=None if origin is None else origin_to_message(origin),
        versions=sorted(known.versions),
        known_ms=min(MAX_UINT32, _milliseconds(known.known_s)),
    )


def known_versions_from_message(message: pb.StreamOriginAnswer) -> KnownVersions:
    """Convert a message to the versions of a service that a node knows."""
    versions = frozenset(SoftwareVersion(version) for version in message.versions)
    return KnownVersions(versions, message.known_ms / 1000)


def request_to_message(
    group: int, request: SlotRequested, tenant: str, now: float
) -> pb.SlotRequest:
    """Convert a slot request to a message.

    Args:
        group: group whose node grants the slot.
        request: the slot request.
        tenant: tenant whose limit the request counts towards; '' if it needs no permit.
        now: current monotonic time.
    """
    return pb.SlotRequest(
        group=group,
        holder=request.session.holder,
        session=request.session.number,
        number=request.number,
        service=request.service,
        affinity_key=request.affinity_key,
        excluded=request.excluded,
        connected=request.connected,
        unread_tokens=request.unread_tokens,
        in_time_for_ms=_milliseconds(request.start_deadline - now),
        waits_for_ms=_milliseconds(request.queue_deadline - now),
        priority=request.priority,
        request_id=request.request_id,
        manner=_MODES[request.mode],
        tenant=tenant,
        residence=residence_to_message(request.residence),
        version=request.version,
        origin_sequence=request.origin_sequence,
    )


def request_from_message(session: SessionKey, message: pb.SlotRequest, now: float) -> SlotRequested:
    """Convert a message to a slot request."""
    return SlotRequested(
        session=session,
        number=SlotNumber(message.number),
        service=message.service,
        start_deadline=now + message.in_time_for_ms / 1000,
        queue_deadline=now + message.waits_for_ms / 1000,
        mode=_MODES_BY_VALUE[message.manner],
        affinity_key=message.affinity_key,
        excluded=frozenset(message.excluded),
        connected=frozenset(message.connected),
        unread_tokens=message.unread_tokens,
        priority=message.priority,
        request_id=message.request_id,
        residence=residence_from_message(message),
        version=version_from_message(message),
        origin_sequence=message.origin_sequence,
    )


def event_to_message(event: SlotEvent) -> pb.SlotEvent:
    """Convert an event within a session to a message.

    Raises:
        TypeError: events of this type are not sent within a session.
    """
    match event:
        case SlotTaken():
            return pb.SlotEvent(taken=use_to_message(event.use))
        case SlotReleased():
            result_value = _RESULTS[event.result]
            return pb.SlotEvent(released=pb.SlotRelease(number=event.number, verdict=result_value))
        case ResponsivenessChanged():
            responsiveness = pb.BackendSilence(
                instance_id=event.instance_id, silent=event.unresponsive
            )
            return pb.SlotEvent(silence=responsiveness)
        case BackendFailureReported():
            return pb.SlotEvent(blamed=event.instance_id)
        case ItemsWaiting():
            return pb.SlotEvent(waiting=_waiting_to_message(event))
        case ItemStarted():
            urgency = urgency_to_message(event.urgency)
            return pb.SlotEvent(begun=pb.BegunItem(number=event.number, urgency=urgency))
        case SentWithoutPermit():
            return pb.SlotEvent(sent_unasked=event.tenant)
        case StreamBegun():
            return pb.SlotEvent(stream_begun=origin_to_message(event.origin))
    raise TypeError(f"no message for {type(event).__name__}")


def event_from_message(session: SessionKey, message: pb.SlotEvent) -> SlotEvent:
    """Convert a message to an event within a session.

    Raises:
        ValueError: the message has no known event.
    """
    match message.WhichOneof("event"):
        case "taken":
            return SlotTaken(session, use_from_message(message.taken))
        case "released":
            result = _RESULTS_BY_VALUE.get(message.released.verdict, RunResult.UNKNOWN)
            return SlotReleased(session, SlotNumber(message.released.number), result)
        case "silence":
            return ResponsivenessChanged(
                session, message.silence.instance_id, message.silence.silent
            )
        case "blamed":
            return BackendFailureReported(session, message.blamed)
        case "waiting":
            return _waiting_from_message(session, message.waiting)
        case "begun":
            urgency = urgency_from_message(message.begun.urgency)
            return ItemStarted(session, SlotNumber(message.begun.number), urgency)
        case "sent_unasked":
            return SentWithoutPermit(session, message.sent_unasked)
        case "stream_begun":
            return StreamBegun(session, origin_from_message(message.stream_begun))
    raise ValueError("slot event message has no known event")


def _waiting_to_message(event: ItemsWaiting) -> pb.WaitingItems:
    return pb.WaitingItems(
        service=event.service,
        count=event.count,
        urgent=event.urgent_count,
        first=urgency_to_message(event.first_urgency),
        excluded=event.excluded,
        offers_seen=event.offers_seen,
        residence=residence_to_message(event.residence),
        version=event.version,
    )


def _waiting_from_message(session: SessionKey, message: pb.WaitingItems) -> ItemsWaiting:
    return ItemsWaiting(
        session=session,
        service=message.service,
        count=message.count,
        urgent_count=message.urgent,
        first_urgency=urgency_from_message(message.first),
        excluded=frozenset(message.excluded),
        offers_seen=message.offers_seen,
        residence=residence_from_message(message),
        version=version_from_message(message),
    )


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * 1000))
