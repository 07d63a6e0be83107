"""When a node knows enough of the configuration to judge callers' keys.

All nodes start at once while the key-value service is down. They hear each other, and none of them
has a configuration: what the peers know is no newer than nothing. The node called itself ready,
found no tenant for any key and answered 401 to callers whose keys are valid. Who has neither a
configuration nor the service's word that there is none can't know that a key is wrong.
"""

from typing import Any, cast
from unittest import mock

from wharfcart.cluster.membership import PeerRevisions
from wharfcart.node.propagation import PropagationDriver, PropagationHooks


def _driver() -> PropagationDriver:
    gossip: Any = mock.Mock()
    gossip.address_of.return_value = None
    hooks = PropagationHooks(lambda _: None, lambda _: None, lambda _: None)
    return PropagationDriver(gossip, mock.Mock(), mock.Mock(), mock.Mock(), hooks)


def _peer(revision: int) -> PeerRevisions:
    return cast(
        PeerRevisions,
        mock.Mock(
            node_id="peer",
            configuration_revision=revision,
            directory_revision=0,
            placement_version=0,
        ),
    )


def test_peer_without_configuration_does_not_make_a_node_ready() -> None:
    driver = _driver()
    driver.peer_revisions_received(_peer(0))
    assert not driver.ready


def test_a_node_is_ready_with_the_newest_configuration_of_its_peers() -> None:
    driver = _driver()
    driver.peer_revisions_received(_peer(3))
    driver.apply_configuration([], 2)
    assert not driver.ready
    driver.apply_configuration([], 3)
    assert driver.ready


def test_node_is_ready_once_the_service_reports_no_configuration() -> None:
    driver = _driver()
    driver.has_read_key_value = True
    assert driver.ready
