"""Messages by which nodes tell each other the coordination service's state."""

from wharfcart.cluster.coordination import Change, Changes
from wharfcart.cluster.messages_pb2 import (
    CoordinationChange,
    CoordinationChanges,
    CoordinationPull,
    Frame,
)
from wharfcart.cluster.mirror_link import PeerNews
from wharfcart.cluster.news_sources import Peer
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError

MOST_AGE_MS = 10**9


class PeerNewsCalls:
    """Asks peers over the transport."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def ask(self, peer: Peer, after: int, wait_s: float) -> PeerNews | None:
        """Return what a peer knows beyond a revision; None if it does not answer."""
        pull = CoordinationPull(after=after, wait_ms=int(wait_s * 1000))
        try:
            answer = await self._transport.call(
                peer.address, Frame(coordination_pull=pull), TrafficClass.ONLINE
            )
        except (PeerUnreachableError, ServingError):
            return None
        return news_from_message(answer.coordination_changes)

    def drop(self, peer: Peer) -> None:
        """Give up the connection to a peer that did not answer in time."""
        self._transport.drop(peer.address, TrafficClass.ONLINE)


def news_to_message(news: PeerNews) -> CoordinationChanges:
    """Return news as they travel."""
    return CoordinationChanges(
        at=news.changes.at,
        complete=news.changes.complete,
        changes=[
            CoordinationChange(
                key=change.key,
                revision=change.revision,
                value=(change.last if change.value is None else change.value) or b"",
                removed=change.value is None,
            )
            for change in news.changes.changes
        ],
        age_ms=int(min(news.age_s * 1000, MOST_AGE_MS)),
    )


def news_from_message(message: CoordinationChanges) -> PeerNews:
    """Return news as they arrived."""
    changes = tuple(_change_from(change) for change in message.changes)
    return PeerNews(Changes(changes, message.at, message.complete), message.age_ms / 1000)


def _change_from(message: CoordinationChange) -> Change:
    if message.removed:
        return Change(message.key, message.revision, None, message.value or None)
    return Change(message.key, message.revision, message.value)
