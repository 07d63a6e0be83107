"""Messages by which nodes exchange the coordination service's state."""

import zlib

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
from wharfcart.cluster.messages_pb2 import (
    CoordinationChange,
    CoordinationChanges,
    CoordinationPull,
    Frame,
)
from wharfcart.cluster.mirror_sync import PeerUpdates
from wharfcart.cluster.peer_selection import Peer
from wharfcart.cluster.transport import PeerUnreachableError, TrafficClass, Transport
from wharfcart.errors import ServingError

MAX_AGE_MS = 10**9
# Smaller values are not worth compressing. Entries of back ends are far below, configurations
# above.
MIN_DEFLATED_BYTES = 2048
DEFLATE_LEVEL = 1


class TransportPeerClient:
    """Pulls changes from peers over the transport."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def pull(self, peer: Peer, after: int, wait_s: float) -> PeerUpdates | None:
        """Return a peer's changes after a revision; None if it does not respond."""
        request = CoordinationPull(after=after, wait_ms=int(wait_s * 1000))
        try:
            answer = await self._transport.call(
                peer.address, Frame(coordination_pull=request), TrafficClass.ONLINE
            )
        except (PeerUnreachableError, ServingError):
            return None
        return decode_peer_updates(answer.coordination_changes)

    def disconnect(self, peer: Peer) -> None:
        """Close the connection to a peer that did not respond in time."""
        self._transport.drop(peer.address, TrafficClass.ONLINE)


class PeerUpdatesEncoder:
    """Encodes updates for peers; each large value is compressed once for all followers."""

    def __init__(self) -> None:
        self._deflated_by_key: dict[str, tuple[int, bytes]] = {}

    def encode(self, updates: PeerUpdates) -> CoordinationChanges:
        """Return the updates as a message."""
        return CoordinationChanges(
            at=updates.changes.last_revision,
            complete=updates.changes.complete,
            changes=[self._encode_change(change) for change in updates.changes.changes],
            age_ms=int(min(updates.age_s * 1000, MAX_AGE_MS)),
        )

    def _encode_change(self, change: KeyChange) -> CoordinationChange:
        removed = change.value is None
        value = (change.last_value if removed else change.value) or b""
        deflated = len(value) >= MIN_DEFLATED_BYTES
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


def decode_peer_updates(message: CoordinationChanges) -> PeerUpdates:
    """Return the updates in a message."""
    changes = tuple(_decode_change(change) for change in message.changes)
    return PeerUpdates(ChangeBatch(changes, message.at, message.complete), message.age_ms / 1000)


def _decode_change(message: CoordinationChange) -> KeyChange:
    value = zlib.decompress(message.value) if message.deflated else message.value
    if message.removed:
        return KeyChange(message.key, message.revision, None, value or None)
    return KeyChange(message.key, message.revision, value)
