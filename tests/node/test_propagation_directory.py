"""Directory entries of nodes that were separated."""

import asyncio
from typing import Any, cast
from unittest import mock

from wharfcart.cluster.address import Address
from wharfcart.cluster.membership import PeerRevisions
from wharfcart.cluster.messages_pb2 import DIRECTORY, Entry, Frame, PullEntries
from wharfcart.configuration.directory_map import BUCKET_COUNT
from wharfcart.configuration.revisioned_map import DIRECTORY_OVERLAP_MS
from wharfcart.node import propagation
from wharfcart.node.propagation import PropagationDriver, PropagationHooks


def _driver() -> PropagationDriver:
    hooks = PropagationHooks(lambda _: None, lambda _: None, lambda _: None)
    gossip: Any = mock.Mock()
    return PropagationDriver(gossip, mock.Mock(), mock.Mock(), mock.Mock(), hooks)


def _pull_if_announced(receiver: PropagationDriver, peer: PropagationDriver) -> None:
    """Let a node hear of a peer's revisions, and pull from it if it wants to."""
    announced = mock.Mock(
        node_id="peer",
        configuration_revision=0,
        placement_version=0,
        directory_revision=peer.directory.revision,
    )
    with mock.patch.object(receiver, "_start_pull", lambda _kind, work: works.append(work)):
        works: list[Any] = []
        receiver.peer_revisions_received(cast(PeerRevisions, announced))
    for work in works:
        work.close()
        pull = PullEntries(namespace=DIRECTORY, since_revision=receiver.directory.pull_revision())
        entries = peer.serve_pull(pull)
        receiver._apply_directory(entries.entries, entries.revision)


def test_separated_nodes_learn_each_others_directory_entries() -> None:
    """Guards against entries that are never pulled: they are older than the puller's newest one."""
    first, second = _driver(), _driver()
    with mock.patch.object(propagation.time, "time", return_value=1_000.0):
        first.publish("machine/a", b"a")
    later_s = 1_000.0 + 2 * DIRECTORY_OVERLAP_MS / 1000
    with mock.patch.object(propagation.time, "time", return_value=later_s):
        second.publish("machine/b", b"b")
    for _ in range(2):
        _pull_if_announced(first, second)
        _pull_if_announced(second, first)
    assert first.directory.live_values().keys() == {"machine/a", "machine/b"}
    assert second.directory.live_values().keys() == {"machine/a", "machine/b"}


def _revisions_of(peer: PropagationDriver, has_digest: bool) -> PeerRevisions:
    digest = peer.directory.digest if has_digest else 0
    return PeerRevisions("peer", 0, 0, peer.directory.revision, digest)


def test_a_node_pulls_only_from_peers_whose_directory_differs() -> None:
    """Guards against pulls at each probe, and against none from a peer with older stamps."""
    first, second, third = _driver(), _driver(), _driver()
    for driver in (first, second):
        driver._apply_directory([Entry(key="machine/a", value=b"a", revision=7)], 7)
    third._apply_directory([Entry(key="machine/b", value=b"b", revision=3)], 3)
    for has_digest in (True, False):
        assert not first._may_lack_directory_entries_of(_revisions_of(second, has_digest))
    assert first._may_lack_directory_entries_of(_revisions_of(third, True))
    assert third._may_lack_directory_entries_of(_revisions_of(first, False))


def test_peers_of_earlier_builds_are_asked_by_revision() -> None:
    """Guards against pulls of the whole directory from peers that compare no digests."""
    first, second = _driver(), _driver()
    first._apply_directory([Entry(key="machine/a", value=b"a", revision=50_000)], 50_000)
    calls: list[PullEntries] = []

    async def call(_address: object, frame: Frame) -> None:
        calls.append(frame.pull_entries)

    for has_digest in (True, False):
        with mock.patch.object(first, "_call", call):
            asyncio.run(first._pull_directory(Address("h", 1), has_digest))
    assert [call.since_revision for call in calls] == [0, 50_000 - DIRECTORY_OVERLAP_MS]
    assert [len(call.bucket_digests) for call in calls] == [BUCKET_COUNT, 0]
    assert list(second.serve_pull(calls[0]).entries) == []
    assert [entry.key for entry in first.serve_pull(calls[1]).entries] == ["machine/a"]
