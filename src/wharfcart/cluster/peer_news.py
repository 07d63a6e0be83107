"""Messages by which nodes tell each other the coordination service's state."""

import zlib

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
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
# Smaller values are not worth compressing. Servers' entries are far below, configurations above.
FEWEST_DEFLATED_BYTES = 2048
DEFLATE_LEVEL = 1


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


class NewsWriter:
    """Writes news as they travel; large values are compressed, once for all followers."""

    def __init__(self) -> None:
        self._deflated_by_key: dict[str, tuple[int, bytes]] = {}

    def message(self, news: PeerNews) -> CoordinationChanges:
        """Return news as they travel."""
        return CoordinationChanges(
            at=news.changes.last_revision,
            complete=news.changes.complete,
            changes=[self._change(change) for change in news.changes.changes],
            age_ms=int(min(news.age_s * 1000, MOST_AGE_MS)),
        )

    def _change(self, change: KeyChange) -> CoordinationChange:
        removed = change.value is None
        value = (change.last_value if removed else change.value) or b""
        deflated = len(value) >= FEWEST_DEFLATED_BYTES
        return CoordinationChange(
            key=change.key,
            revision=change.revision,
            value=self._deflate(change, value) if deflated else value,
            removed=removed,
            deflated=deflated,
        )

    def _deflate(self, change: KeyChange, value: bytes) -> bytes:
        known = self._deflated_by_key.get(change.key)
        if known is None or known[0] != change.revision:
            known = (change.revision, zlib.compress(value, DEFLATE_LEVEL))
            self._deflated_by_key[change.key] = known
        return known[1]


def news_from_message(message: CoordinationChanges) -> PeerNews:
    """Return news as they arrived."""
    changes = tuple(_change_from(change) for change in message.changes)
    return PeerNews(ChangeBatch(changes, message.at, message.complete), message.age_ms / 1000)


def _change_from(message: CoordinationChange) -> KeyChange:
    value = zlib.decompress(message.value) if message.deflated else message.value
    if message.removed:
        return KeyChange(message.key, message.revision, None, value or None)
    return KeyChange(message.key, message.revision, value)
