"""The mirror of the coordination service."""

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
from wharfcart.cluster.mirror import Mirror


def change(key: str, revision: int, value: bytes | None = b"v") -> KeyChange:
    return KeyChange(key, revision, value)


def test_an_older_state_of_a_key_is_never_taken() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 5, b"new"),), 5))
    assert mirror.apply(ChangeBatch((change("a", 3, b"old"),), 6)) == []
    entry = mirror.get("a")
    assert entry is not None and entry.value == b"new"


def test_a_removed_key_does_not_come_back_from_an_older_answer() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2),), 2))
    mirror.apply(ChangeBatch((change("a", 4, None),), 4))
    mirror.apply(ChangeBatch((change("a", 2),), 3))
    assert mirror.get("a") is None


def test_a_complete_state_removes_what_it_does_not_list() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2), change("b", 3)), 3))
    news = mirror.apply(ChangeBatch((change("b", 3),), 7, complete=True))
    assert [(item.key, item.value) for item in news] == [("a", None)]


def test_a_complete_state_that_is_older_changes_nothing() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 9),), 9))
    assert mirror.apply(ChangeBatch((), 4, complete=True)) == []
    assert mirror.get("a") is not None


def test_a_key_written_after_a_listing_survives_it() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 9),), 5))
    mirror.apply(ChangeBatch((), 7, complete=True))
    assert mirror.get("a") is not None


def test_a_peer_is_told_what_it_lacks_removals_included() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2), change("b", 3)), 3, complete=True))
    mirror.apply(ChangeBatch((change("a", 4, None), change("c", 5)), 5))
    told = mirror.since(3)
    assert {(item.key, item.value) for item in told.changes} == {("a", None), ("c", b"v")}
    assert not told.complete and told.last_revision == 5


def test_a_peer_that_knows_nothing_is_told_everything() -> None:
    mirror = Mirror()
    mirror.apply(ChangeBatch((change("a", 2),), 3, complete=True))
    assert mirror.since(0).complete


@given(
    st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=20),
    st.randoms(use_true_random=False),
)
def test_peers_converge_whatever_the_order(writes: list[tuple[str, bool]], random) -> None:
    history = [
        change(key, number, None if removed else str(number).encode())
        for number, (key, removed) in enumerate(writes, 1)
    ]
    whole = Mirror()
    whole.apply(ChangeBatch(tuple(history), len(history)))
    other = Mirror()
    parts = [ChangeBatch((item,), item.revision) for item in history]
    random.shuffle(parts)
    for part in parts:
        other.apply(part)
    assert sorted(other.under(""), key=str) == sorted(whole.under(""), key=str)


def test_who_lags_behind_a_listing_is_told_everything() -> None:
    # A key that was removed before the listing is not known to the peer that began with it.
    peer = Mirror()
    peer.apply(ChangeBatch((change("a", 2),), 9, complete=True))
    lagging = Mirror()
    lagging.apply(ChangeBatch((change("a", 2), change("gone", 3)), 4, complete=True))
    lagging.apply(peer.since(lagging.at))
    assert lagging.at == 9
    assert lagging.get("gone") is None


def test_a_peer_that_missed_a_change_before_a_removal_is_told_the_last_value() -> None:
    peer = Mirror()
    peer.apply(ChangeBatch((change("a", 2, b"ready"),), 2, complete=True))
    lagging = Mirror()
    lagging.apply(peer.since(0))
    peer.apply(ChangeBatch((change("a", 5, b"draining"), change("a", 6, None)), 6))
    (removal,) = lagging.apply(peer.since(2))
    assert removal.value is None and removal.last_value == b"draining"
