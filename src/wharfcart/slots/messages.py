"""Slots as they travel between nodes: protobuf messages to typed events and back.

Times travel as spans, since clocks of two nodes have nothing in common.
"""

from wharfcart.admission.tenant_limits import PermittedSend, TenantUsage
from wharfcart.cluster import messages_pb2 as pb
from wharfcart.configuration.residence import residence_from_message, residence_to_message
from wharfcart.slots.events import (
    BackendBlamed,
    ItemBegun,
    ItemsWaiting,
    Manner,
    SentUnasked,
    SessionKey,
    SilenceChanged,
    SlotAsked,
    SlotEvent,
    SlotNumber,
    SlotReleased,
    SlotTaken,
    SlotUse,
    Verdict,
)
from wharfcart.slots.picture import BackendLoad, ServiceRoom, SlotPicture
from wharfcart.slots.urgency import Urgency

_MANNERS = {Manner.FREE: pb.FREE, Manner.YIELDED: pb.YIELDED, Manner.WAIT: pb.WAIT}
_MANNERS_BY_VALUE = {value: manner for manner, value in _MANNERS.items()}
_VERDICTS = {
    Verdict.UNKNOWN: pb.VERDICT_UNKNOWN,
    Verdict.GOOD: pb.GOOD,
    Verdict.BAD: pb.BAD,
}
_VERDICTS_BY_VALUE = {value: verdict for verdict, value in _VERDICTS.items()}


def urgency_to_message(urgency: Urgency) -> pb.ItemUrgency:
    """Write how an item stands."""
    return pb.ItemUrgency(left_s=urgency.left_s, remaining_s=urgency.remaining_s)


def urgency_from_message(message: pb.ItemUrgency) -> Urgency:
    """Read how an item stands."""
    return Urgency(message.left_s, message.remaining_s)


def use_to_message(use: SlotUse) -> pb.SlotUse:
    """Write a slot that is taken."""
    return pb.SlotUse(
        number=use.number,
        instance_id=use.instance_id,
        unread_tokens=use.unread_tokens,
        item=None if use.item is None else urgency_to_message(use.item),
    )


def use_from_message(message: pb.SlotUse) -> SlotUse:
    """Read a slot that is taken."""
    return SlotUse(
        SlotNumber(message.number),
        message.instance_id,
        message.unread_tokens,
        urgency_from_message(message.item) if message.HasField("item") else None,
    )


def picture_to_message(picture: SlotPicture) -> pb.SlotPicture:
    """Write a picture of the load."""
    return pb.SlotPicture(
        backends=[
            pb.BackendLoad(
                instance_id=load.instance_id,
                in_use=load.in_use,
                unread_tokens=load.unread_tokens,
                avoided=load.avoided,
            )
            for load in picture.backends
        ],
        rooms=[
            pb.ServiceRoom(
                service=room.service,
                slots=room.slots,
                free=room.free,
                yielding=room.yielding,
                waiting=room.waiting,
            )
            for room in picture.rooms
        ],
        sends_per_s=picture.sends_per_s,
        holders=picture.holders,
        usage=[pb.TenantUsage(tenant=name, count=n) for name, n in picture.usage.items()],
        gateways=picture.gateways,
    )


def picture_from_message(message: pb.SlotPicture) -> SlotPicture:
    """Read a picture of the load."""
    return SlotPicture(
        backends=tuple(
            BackendLoad(load.instance_id, load.in_use, load.unread_tokens, load.avoided)
            for load in message.backends
        ),
        rooms=tuple(
            ServiceRoom(room.service, room.slots, room.free, room.yielding, room.waiting)
            for room in message.rooms
        ),
        sends_per_s=dict(message.sends_per_s),
        holders=message.holders,
        usage={usage.tenant: usage.count for usage in message.usage},
        gateways=message.gateways,
    )


def send_to_message(send: PermittedSend) -> pb.TenantSend:
    """Write a request that was permitted."""
    return pb.TenantSend(tenant=send.tenant, age_ms=_milliseconds(send.age_s))


def send_from_message(message: pb.TenantSend) -> PermittedSend:
    """Read a request that was permitted."""
    return PermittedSend(message.tenant, message.age_ms / 1000)


def usage_from_message(message: pb.TenantUsage) -> TenantUsage:
    """Read how many requests of a tenant all gateways sent."""
    return TenantUsage(message.tenant, message.count)


def asked_to_message(group: int, asked: SlotAsked, tenant: str, now: float) -> pb.SlotRequest:
    """Write a request for a slot of a group; it counts towards the limit of a tenant, if any."""
    return pb.SlotRequest(
        group=group,
        holder=asked.session.holder,
        session=asked.session.number,
        number=asked.number,
        service=asked.service,
        affinity_key=asked.affinity_key,
        excluded=asked.excluded,
        connected=asked.connected,
        unread_tokens=asked.unread_tokens,
        in_time_for_ms=_milliseconds(asked.in_time_until - now),
        waits_for_ms=_milliseconds(asked.leave_at - now),
        priority=asked.priority,
        request_id=asked.request_id,
        manner=_MANNERS[asked.manner],
        tenant=tenant,
        residence=residence_to_message(asked.residence),
    )


def asked_from_message(session: SessionKey, message: pb.SlotRequest, now: float) -> SlotAsked:
    """Read a request for a slot."""
    return SlotAsked(
        session=session,
        number=SlotNumber(message.number),
        service=message.service,
        in_time_until=now + message.in_time_for_ms / 1000,
        leave_at=now + message.waits_for_ms / 1000,
        manner=_MANNERS_BY_VALUE[message.manner],
        affinity_key=message.affinity_key,
        excluded=frozenset(message.excluded),
        connected=frozenset(message.connected),
        unread_tokens=message.unread_tokens,
        priority=message.priority,
        request_id=message.request_id,
        residence=residence_from_message(message),
    )


def event_to_message(event: SlotEvent) -> pb.SlotEvent:
    """Write what a holder tells within its session.

    Raises:
        TypeError: such an event is not told this way.
    """
    match event:
        case SlotTaken():
            return pb.SlotEvent(taken=use_to_message(event.use))
        case SlotReleased():
            verdict = _VERDICTS[event.verdict]
            return pb.SlotEvent(released=pb.SlotRelease(number=event.number, verdict=verdict))
        case SilenceChanged():
            silence = pb.BackendSilence(instance_id=event.instance_id, silent=event.silent)
            return pb.SlotEvent(silence=silence)
        case BackendBlamed():
            return pb.SlotEvent(blamed=event.instance_id)
        case ItemsWaiting():
            return pb.SlotEvent(waiting=_waiting_to_message(event))
        case ItemBegun():
            urgency = urgency_to_message(event.urgency)
            return pb.SlotEvent(begun=pb.BegunItem(number=event.number, urgency=urgency))
        case SentUnasked():
            return pb.SlotEvent(sent_unasked=event.tenant)
    raise TypeError(f"no message for {type(event).__name__}")


def event_from_message(session: SessionKey, message: pb.SlotEvent) -> SlotEvent:
    """Read what a holder tells within its session.

    Raises:
        ValueError: the message holds no event that this program knows.
    """
    match message.WhichOneof("event"):
        case "taken":
            return SlotTaken(session, use_from_message(message.taken))
        case "released":
            verdict = _VERDICTS_BY_VALUE.get(message.released.verdict, Verdict.UNKNOWN)
            return SlotReleased(session, SlotNumber(message.released.number), verdict)
        case "silence":
            return SilenceChanged(session, message.silence.instance_id, message.silence.silent)
        case "blamed":
            return BackendBlamed(session, message.blamed)
        case "waiting":
            return _waiting_from_message(session, message.waiting)
        case "begun":
            urgency = urgency_from_message(message.begun.urgency)
            return ItemBegun(session, SlotNumber(message.begun.number), urgency)
        case "sent_unasked":
            return SentUnasked(session, message.sent_unasked)
    raise ValueError("unknown slot event")


def _waiting_to_message(event: ItemsWaiting) -> pb.WaitingItems:
    return pb.WaitingItems(
        service=event.service,
        count=event.count,
        urgent=event.urgent,
        first=urgency_to_message(event.first),
        excluded=event.excluded,
        offers_seen=event.offers_seen,
        residence=residence_to_message(event.residence),
    )


def _waiting_from_message(session: SessionKey, message: pb.WaitingItems) -> ItemsWaiting:
    return ItemsWaiting(
        session=session,
        service=message.service,
        count=message.count,
        urgent=message.urgent,
        first=urgency_from_message(message.first),
        excluded=frozenset(message.excluded),
        offers_seen=message.offers_seen,
        residence=residence_from_message(message),
    )


def _milliseconds(seconds: float) -> int:
    return max(0, int(seconds * 1000))
