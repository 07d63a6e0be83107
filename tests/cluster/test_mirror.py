"""Convergence of mirrors and updates between them."""

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
from wharfcart.cluster.mirror import Mirror


def change(key: str, revision: int, value: bytes | None = b"v") -> KeyChange:
    return KeyChange(key, revision, value)


def test_older_revision_of_a_key_is_ignored() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 5, b"new"),), 5))
    assert mirror.apply(ChangeBatch((change("a", 3, b"old"),), 6)) == []
    entry = mirror.get("a")
    assert entry is not None and entry.value == b"new"


def test_older_batch_does_not_restore_a_removed_key() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2),), 2))
    mirror.apply(ChangeBatch((change("a", 4, None),), 4))
    mirror.apply(ChangeBatch((change("a", 2),), 3))
    assert mirror.get("a") is None


def test_complete_listing_removes_unlisted_keys() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2), change("b", 3)), 3))
    applied = mirror.apply(ChangeBatch((change("b", 3),), 7, complete=True))
    assert [(item.key, item.value) for item in applied] == [("a", None)]


def test_older_complete_listing_is_ignored() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 9),), 9))
    assert mirror.apply(ChangeBatch((), 4, complete=True)) == []
    assert mirror.get("a") is not None


def test_key_written_after_a_listing_is_kept() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 9),), 5))
    mirror.apply(ChangeBatch((), 7, complete=True))
    assert mirror.get("a") is not None


def test_changes_since_include_removals() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2), change("b", 3)), 3, complete=True))
    mirror.apply(ChangeBatch((change("a", 4, None), change("c", 5)), 5))
    batch = mirror.changes_since(3)
    assert {(item.key, item.value) for item in batch.changes} == {("a", None), ("c", b"v")}
    assert not batch.complete and batch.last_revision == 5


def test_empty_peer_gets_a_complete_listing() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2),), 3, complete=True))
    assert mirror.changes_since(0).complete


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20),
    st.randoms(use_true_random=False),
)
def test_peers_converge_whatever_the_order(writes: list[tuple[str, bool]], random) -> None:
    history = [
        change(key, number, None if removed else str(number).encode())
        for number, (key, removed) in enumerate(writes, 1)
    ]
    in_order = Mirror()
    in_order.apply(ChangeBatch(tuple(history), len(history)))
    shuffled = Mirror()
    batches = [ChangeBatch((item,), item.revision) for item in history]
    random.shuffle(batches)
    for batch in batches:
        shuffled.apply(batch)
    assert sorted(shuffled.with_prefix(""), key=str) == sorted(in_order.with_prefix(""), key=str)


def test_peer_older_than_a_listing_gets_a_complete_listing() -> None:
    # A peer that starts from a listing does not know keys removed before it.
    peer = Mirror()
    peer.apply(ChangeBatch((change("a", 2),), 9, complete=True))
    lagging = Mirror()
    lagging.apply(ChangeBatch((change("a", 2), change("gone", 3)), 4, complete=True))
    lagging.apply(peer.changes_since(lagging.last_revision))
    assert lagging.last_revision == 9
    assert lagging.get("gone") is None


def test_removal_carries_the_last_value() -> None:
    peer = Mirror()
    peer.apply(ChangeBatch((change("a", 2, b"ready"),), 2, complete=True))
    lagging = Mirror()
    lagging.apply(peer.changes_since(0))
    peer.apply(ChangeBatch((change("a", 5, b"draining"), change("a", 6, None)), 6))
    (removal,) = lagging.apply(peer.changes_since(2))
    assert removal.value is None and removal.last_value == b"draining"


def test_a_repeated_batch_changes_nothing() -> None:
    mirror = Mirror()
    batch = ChangeBatch((change("a", 2), change("b", 3, None)), 3)
    mirror.apply(batch)
    assert mirror.apply(batch) == []
    assert mirror.apply(ChangeBatch(batch.changes, 3, complete=True)) == []
    assert mirror.last_revision == 3
