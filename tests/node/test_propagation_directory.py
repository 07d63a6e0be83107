"""Directory entries of nodes that were separated."""

from typing import Any, cast
from unittest import mock

from wharfcart.cluster.membership import PeerRevisions
from wharfcart.cluster.messages_pb2 import DIRECTORY, PullEntries
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
