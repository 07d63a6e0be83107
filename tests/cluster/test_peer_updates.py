"""Encoding of updates between nodes."""

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
from wharfcart.cluster.mirror_sync import PeerUpdates
from wharfcart.cluster.peer_updates import PeerUpdatesEncoder, decode_peer_updates

LARGE = b'{"routes": [' + b'{"name": "a"},' * 5000 + b"]}"


def test_updates_survive_a_round_trip() -> None:
    changes = ChangeBatch(
        (
            KeyChange("op/config", 7, LARGE),
            KeyChange("servers/a", 8, b"small"),
            KeyChange("servers/b", 9, None, b"draining"),
            KeyChange("servers/c", 10, None),
            KeyChange("empty", 11, b""),
        ),
        12,
        complete=True,
    )
    updates = decode_peer_updates(PeerUpdatesEncoder().encode(PeerUpdates(changes, 0.25)))
    assert updates.changes == changes
    assert updates.age_s == 0.25


def test_large_values_are_compressed_once() -> None:
    writer = PeerUpdatesEncoder()
    updates = PeerUpdates(ChangeBatch((KeyChange("op/config", 7, LARGE),), 7), 0.0)
    first = writer.encode(updates)
    assert first.ByteSize() < len(LARGE) / 10
    assert writer.encode(updates).changes[0].value is not None
    newer_updates = PeerUpdates(ChangeBatch((KeyChange("op/config", 8, LARGE + b" "),), 8), 0.0)
    (change,) = decode_peer_updates(writer.encode(newer_updates)).changes.changes
    assert change.value == LARGE + b" "
