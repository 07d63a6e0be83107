"""Which peers a node follows."""

from wharfcart.cluster.address import Address
from wharfcart.cluster.news_sources import (
    AVOID_S,
    QUIET_S,
    STALE_S,
    TRIAL_S,
    NewsSources,
    Peer,
)
from wharfcart.cluster.topology import RegionName, Topology

ZONES = ("a", "b", "c")
WEST, EAST = RegionName("west"), RegionName("east")
TOPOLOGY = Topology({"a": WEST, "b": WEST, "c": EAST})


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


def in_regions(node_id: str = "g0", zone: str = "a", known: int = 12) -> NewsSources:
    made = NewsSources(node_id, zone, TOPOLOGY)
    made.set_peers(peers(known))
    return made


def test_each_region_follows_readers_of_its_own() -> None:
    for zone, own in (("a", {"a", "b"}), ("b", {"a", "b"}), ("c", {"c"})):
        asked = {peer for n in range(50) for peer in followed(in_regions(f"g{n}", zone), 0.0)}
        assert {peers(12)[peer].zone for peer in asked} <= own
        assert len(asked) == 2


def test_a_region_whose_readers_fail_follows_another_one_and_comes_back() -> None:
    node = in_regions()
    before = followed(node, 0.0)
    node.failed(before[0], 0.0)
    assert {peers(12)[peer].zone for peer in followed(node, 0.1)} <= {"a", "b"}
    node.failed(before[1], 0.1)
    assert {peers(12)[peer].zone for peer in followed(node, 0.2)[:2]} == {"c"}
    assert set(followed(node, 0.1 + AVOID_S)) == set(before)


def test_a_region_that_is_cut_off_follows_the_readers_that_others_follow() -> None:
    """Else each region that lost its own would make others read the service beside them."""
    zones = {"a": WEST, "b": EAST, "c": RegionName("south")}
    many = peers(90)

    def node(node_id: str, zone: str) -> NewsSources:
        made = NewsSources(node_id, zone, Topology(zones))
        made.set_peers(many)
        return made

    usual = {peer for n in range(40) for peer in followed(node(f"g{n}", "bc"[n % 2]), 0.0)}
    cut_off = node("g0", "a")
    for failed in followed(cut_off, 0.0)[:2]:
        cut_off.failed(failed, 0.0)
    far = [peer for peer in followed(cut_off, 0.1) if many[peer].zone != "a"]
    assert set(far) == usual


def test_a_region_with_one_other_peer_follows_the_whole_fleet() -> None:
    node = NewsSources("g0", "c", TOPOLOGY)
    node.set_peers({key: peer for key, peer in peers(5).items() if peer.zone != "c" or key == "s2"})
    assert any(peers(5)[peer].zone != "c" for peer in followed(node, 0.0))


def test_readers_of_another_region_are_left_one_after_the_other() -> None:
    node = in_regions()
    near, far = "s0", "s2"
    node.failed(near, 0.0)
    assert not node.should_leave(far, QUIET_S, {far})
    after = QUIET_S + 0.1
    assert node.should_leave(far, after, {far, "s5"})
    assert not node.should_leave(far, after, {far, near})
    assert node.should_leave(far, after + TRIAL_S, {far, near})
    assert not in_regions().should_leave(followed(in_regions(), 0.0)[0], 100.0, {near})


def test_a_peer_that_no_one_else_follows_is_left_once_nothing_has_failed_for_a_while() -> None:
    node = sources()
    readers = followed(node, 0.0)
    other = next(key for key in peers(12) if key not in readers)
    assert node.should_leave(other, 0.0, {other})
    assert not any(node.should_leave(reader, 0.0, readers) for reader in readers)
    node.failed(readers[0], 0.0)
    assert not node.should_leave(other, QUIET_S, {other})
    assert node.should_leave(other, QUIET_S + 0.1, {other})
