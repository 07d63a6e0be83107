"""Which peers a node follows."""

from wharfcart.cluster.address import Address
from wharfcart.cluster.news_sources import AVOID_S, STALE_S, NewsSources, Peer

ZONES = ("a", "b", "c")


def peers(number: int) -> dict[str, Peer]:
    return {
        f"s{n}": Peer(f"s{n}", ZONES[n % 3], Address("10.0.0.1", 1000 + n)) for n in range(number)
    }


def sources(node_id: str = "g0", zone: str = "a", known: int = 12) -> NewsSources:
    made = NewsSources(node_id, zone)
    made.set_peers(peers(known))
    return made


def followed(node: NewsSources, now: float) -> list[str]:
    chosen: list[str] = []
    while (peer := node.choose(now, chosen)) is not None:
        chosen.append(peer.node_id)
    return chosen


def test_nodes_agree_on_a_handful_of_readers() -> None:
    asked = {peer for n in range(100) for peer in followed(sources(f"g{n}", ZONES[n % 3]), 0.0)}
    assert len(asked) == 2


def test_a_reader_of_the_own_zone_goes_first() -> None:
    readers = followed(sources(), 0.0)
    zones = {zone: sources(zone=zone).choose(0.0, ()) for zone in ZONES}
    for zone, chosen in zones.items():
        assert chosen is not None
        if zone in {peers(12)[reader].zone for reader in readers}:
            assert chosen.zone == zone


def test_a_peer_that_failed_is_replaced_by_the_next_and_comes_back() -> None:
    node = sources()
    before = set(followed(node, 0.0))
    failed = next(iter(before))
    node.failed(failed, 0.0)
    during = set(followed(node, 0.1))
    assert failed not in during and len(during) == len(before)
    assert set(followed(node, AVOID_S)) == before


def test_a_node_never_follows_itself() -> None:
    node = sources("s1", known=2)
    assert followed(node, 0.0) == ["s0"]


def test_where_every_peer_failed_none_is_left() -> None:
    node = sources(known=2)
    for peer in peers(2):
        node.failed(peer, 0.0)
    assert node.choose(0.1, ()) is None


def test_a_state_that_nobody_confirms_becomes_stale() -> None:
    node = sources()
    assert node.is_stale(0.0)
    node.confirmed(10.0, 0.5)
    assert not node.is_stale(9.5 + STALE_S)
    assert node.is_stale(9.6 + STALE_S)
    node.confirmed(11.0, 5.0)
    assert node.is_stale(9.6 + STALE_S)
