"""Directory entries of several writers that several nodes hold in part."""

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.cluster.messages_pb2 import Entry
from wharfcart.configuration.directory_map import BUCKET_COUNT, DirectoryMap

ENTRIES = st.builds(
    Entry,
    key=st.sampled_from("abcdefgh"),
    value=st.sampled_from([b"", b"1", b"2"]),
    deleted=st.booleans(),
    revision=st.integers(1, 5),
)


def make_map(*entries: Entry) -> DirectoryMap:
    known = DirectoryMap()
    known.merge(entries, max((entry.revision for entry in entries), default=0))
    return known


def pull(receiver: DirectoryMap, peer: DirectoryMap) -> list[Entry]:
    """Pull from a peer if the digests differ; return what it sent."""
    if receiver.digest == peer.digest:
        return []
    sent = peer.entries_of_other_buckets(receiver.bucket_digests)
    receiver.merge(sent, peer.revision)
    return sent


@given(st.lists(st.lists(ENTRIES, max_size=12), min_size=3, max_size=3))
def test_separated_parts_have_the_same_entries_after_pulls_in_any_order(
    parts: list[list[Entry]],
) -> None:
    """Guards against entries that a node never learns, whatever clocks stamped them.

    Stamps go back, are equal, and deletions meet older and equal writes of other parts.
    """
    nodes = [make_map(*entries) for entries in parts]
    for _ in range(2):
        for receiver in nodes:
            for peer in nodes:
                pull(receiver, peer)
    first, *others = nodes
    assert all(node.entries == first.entries for node in others)
    assert {node.digest for node in nodes} == {first.digest}
    union = make_map(*(entry for entries in parts for entry in entries))
    assert union.live_values() == first.live_values()


@given(st.lists(ENTRIES, max_size=20), st.randoms())
def test_equal_entries_have_equal_digests(entries: list[Entry], rng) -> None:
    """Guards against pulls that never end: the order of arrival must not matter."""
    shuffled = list(entries)
    rng.shuffle(shuffled)
    assert make_map(*entries).digest == make_map(*shuffled).digest


def test_a_late_and_a_repeated_entry_change_nothing() -> None:
    """Guards against a deleted entry that an older write brings back."""
    known = make_map(Entry(key="a", value=b"1", revision=5))
    deletion = Entry(key="a", deleted=True, revision=6)
    assert known.merge([deletion], 6) == [deletion]
    digest = known.digest
    assert known.merge([deletion, Entry(key="a", value=b"1", revision=5)], 6) == []
    assert known.merge([Entry(key="a", value=b"2", revision=6)], 6) == []
    assert (known.live_values(), known.digest) == ({}, digest)


def test_a_pull_returns_the_differing_buckets_only() -> None:
    """Guards against pulls of the whole directory for one entry, at each node of a large fleet."""
    entries = [Entry(key=f"machine/{n}", value=b"x", revision=1) for n in range(1500)]
    receiver, peer = make_map(*entries), make_map(*entries)
    peer.merge([Entry(key="machine/7", value=b"y", revision=2)], 2)
    sent = pull(receiver, peer)
    assert len(sent) < 3 * len(entries) / BUCKET_COUNT
    assert receiver.entries == peer.entries
    assert pull(receiver, peer) == []
