"""Readiness of a node depends on its configuration.

Guards against nodes that start during an outage of the key-value service, become ready without a
configuration, and reject valid keys with 401.
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
