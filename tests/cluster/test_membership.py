"""Membership protocol on a simulated fleet with seeded randomness and virtual time."""

import random

import pytest

from wharfcart.cluster.address import Address
from wharfcart.cluster.membership import Membership
from wharfcart.cluster.messages_pb2 import ACK, ALIVE, DEAD, PING, SUSPECT, Gossip, Member
from wharfcart.experiments.hollow_fleet import HollowFleet

SEEDS = range(3)


def _settled(count: int, seed: int, loss: float = 0.01) -> HollowFleet:
    fleet = HollowFleet(count, seed, loss)
    fleet.run(40.0)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
def test_every_node_learns_every_member(seed: int) -> None:
    fleet = _settled(40, seed)
    assert {len(node.membership.members) for node in fleet.nodes} == {39}
    assert len({node.membership.members_digest for node in fleet.nodes}) == 1


@pytest.mark.parametrize("seed", SEEDS)
def test_dead_nodes_are_known_to_all_and_nobody_else_is_removed(seed: int) -> None:
    fleet = _settled(40, seed, loss=0.05)
    dead = {"node-7", "node-21"}
    fleet.kill(dead)
    fleet.run(30.0)
    for node in fleet.nodes:
        if node.up:
            live = {member.node_id for member in node.membership.live()}
            assert live == {f"node-{n}" for n in range(40)} - dead


def test_partitioned_regions_rejoin() -> None:
    fleet = _settled(42, 1)
    fleet.partitioned_regions = {frozenset(("region-0", r)) for r in ("region-1", "region-2")}
    fleet.run(60.0)
    assert all(len(node.membership.live()) < 42 for node in fleet.nodes)
    fleet.partitioned_regions = set()
    fleet.run(60.0)
    assert {len(node.membership.live()) for node in fleet.nodes} == {42}


def test_configuration_change_reaches_every_node() -> None:
    fleet = _settled(40, 2)
    for revision in (1, 2, 3):
        fleet.change_configuration(revision)
        fleet.run(5.0)
        assert {node.configuration.revision for node in fleet.nodes} == {revision}


def _member(name: str, incarnation: int = 1, state: int = ALIVE) -> Member:
    return Member(node_id=name, host="h", port=1, incarnation=incarnation, state=state)  # type: ignore[arg-type]


def _membership() -> Membership:
    membership = Membership(_member("a"), [], random.Random(1))
    membership.start(0.0)
    ping = Gossip(kind=PING, sender="b", updates=[_member("b")])
    membership.receive(ping, Address("h", 1), 0.0)
    return membership


def test_accused_node_refutes_with_a_higher_incarnation() -> None:
    membership = _membership()
    accusation = Gossip(kind=PING, sender="b", updates=[_member("a", 1, SUSPECT)])
    membership.receive(accusation, Address("h", 1), 1.0)
    assert membership.local_member.incarnation == 2
    assert membership.local_member.state == ALIVE


def test_old_rumour_does_not_revive_a_dead_member() -> None:
    membership = _membership()
    for update in (_member("b", 1, DEAD), _member("b", 1, ALIVE)):
        membership.receive(Gossip(kind=ACK, sender="c", updates=[update]), Address("h", 1), 1.0)
    assert membership.members["b"].state == DEAD
    alive = Gossip(kind=ACK, sender="c", updates=[_member("b", 2, ALIVE)])
    membership.receive(alive, Address("h", 1), 2.0)
    assert membership.members["b"].state == ALIVE


def test_no_suspicion_after_this_process_was_paused() -> None:
    membership = _membership()
    membership.tick(1.5)  # sends a probe to b
    membership.tick(30.0)
    assert membership.members["b"].state == ALIVE
