"""Which peers a node follows."""

from wharfcart.cluster.address import Address
from wharfcart.cluster.peer_selection import (
    AVOID_FAILED_S,
    STALE_AFTER_S,
    SWITCH_DELAY_S,
    TRIAL_PERIOD_S,
    Peer,
    PeerSelector,
)
from wharfcart.cluster.topology import RegionName, Topology

ZONES = ("a", "b", "c")
WEST, EAST = RegionName("west"), RegionName("east")
TOPOLOGY = Topology({"a": WEST, "b": WEST, "c": EAST})


def make_peers(number: int) -> dict[str, Peer]:
    return {
        f"s{n}": Peer(f"s{n}", ZONES[n % 3], Address("10.0.0.1", 1000 + n)) for n in range(number)
    }


def make_selector(node_id: str = "g0", zone: str = "a", known: int = 12) -> PeerSelector:
    made = PeerSelector(node_id, zone)
    made.set_peers(make_peers(known))
    return made


def chosen_peers(node: PeerSelector, now: float) -> list[str]:
    chosen: list[str] = []
    while (peer := node.choose(now, chosen)) is not None:
        chosen.append(peer.node_id)
    return chosen


def test_nodes_agree_on_the_same_readers() -> None:
    asked = {
        peer for n in range(100) for peer in chosen_peers(make_selector(f"g{n}", ZONES[n % 3]), 0.0)
    }
    assert len(asked) == 2


def test_reader_in_the_own_zone_is_preferred() -> None:
    readers = chosen_peers(make_selector(), 0.0)
    zones = {zone: make_selector(zone=zone).choose(0.0, ()) for zone in ZONES}
    for zone, chosen in zones.items():
        assert chosen is not None
        if zone in {make_peers(12)[reader].zone for reader in readers}:
            assert chosen.zone == zone


def test_failed_peer_is_replaced_until_it_may_be_chosen_again() -> None:
    node = make_selector()
    before = set(chosen_peers(node, 0.0))
    failed = next(iter(before))
    node.record_failure(failed, 0.0)
    during = set(chosen_peers(node, 0.1))
    assert failed not in during and len(during) == len(before)
    assert set(chosen_peers(node, AVOID_FAILED_S)) == before


def test_a_node_never_follows_itself() -> None:
    node = make_selector("s1", known=2)
    assert chosen_peers(node, 0.0) == ["s0"]


def test_no_peer_is_chosen_when_all_have_failed() -> None:
    node = make_selector(known=2)
    for peer in make_peers(2):
        node.record_failure(peer, 0.0)
    assert node.choose(0.1, ()) is None


def test_unconfirmed_state_becomes_stale() -> None:
    node = make_selector()
    assert node.is_stale(0.0)
    node.record_confirmation(10.0, 0.5)
    assert not node.is_stale(9.5 + STALE_AFTER_S)
    assert node.is_stale(9.6 + STALE_AFTER_S)
    node.record_confirmation(11.0, 5.0)
    assert node.is_stale(9.6 + STALE_AFTER_S)


def make_selector_with_regions(
    node_id: str = "g0", zone: str = "a", known: int = 12
) -> PeerSelector:
    made = PeerSelector(node_id, zone, TOPOLOGY)
    made.set_peers(make_peers(known))
    return made


def test_each_region_follows_its_own_readers() -> None:
    for zone, own in (("a", {"a", "b"}), ("b", {"a", "b"}), ("c", {"c"})):
        asked = {
            peer
            for n in range(50)
            for peer in chosen_peers(make_selector_with_regions(f"g{n}", zone), 0.0)
        }
        assert {make_peers(12)[peer].zone for peer in asked} <= own
        assert len(asked) == 2


def test_region_with_failed_readers_follows_another_region_temporarily() -> None:
    node = make_selector_with_regions()
    before = chosen_peers(node, 0.0)
    node.record_failure(before[0], 0.0)
    assert {make_peers(12)[peer].zone for peer in chosen_peers(node, 0.1)} <= {"a", "b"}
    node.record_failure(before[1], 0.1)
    assert {make_peers(12)[peer].zone for peer in chosen_peers(node, 0.2)[:2]} == {"c"}
    assert set(chosen_peers(node, 0.1 + AVOID_FAILED_S)) == set(before)


def test_cut_off_region_follows_the_same_readers_as_others() -> None:
    """Else each region that lost its own would make others read the service beside them."""
    zones = {"a": WEST, "b": EAST, "c": RegionName("south")}
    many = make_peers(90)

    def node(node_id: str, zone: str) -> PeerSelector:
        made = PeerSelector(node_id, zone, Topology(zones))
        made.set_peers(many)
        return made

    usual = {peer for n in range(40) for peer in chosen_peers(node(f"g{n}", "bc"[n % 2]), 0.0)}
    cut_off = node("g0", "a")
    for failed in chosen_peers(cut_off, 0.0)[:2]:
        cut_off.record_failure(failed, 0.0)
    far = [peer for peer in chosen_peers(cut_off, 0.1) if many[peer].zone != "a"]
    assert set(far) == usual


def test_region_with_a_single_peer_follows_the_whole_fleet() -> None:
    node = PeerSelector("g0", "c", TOPOLOGY)
    node.set_peers(
        {key: peer for key, peer in make_peers(5).items() if peer.zone != "c" or key == "s2"}
    )
    assert any(make_peers(5)[peer].zone != "c" for peer in chosen_peers(node, 0.0))


def test_other_region_readers_are_replaced_one_at_a_time() -> None:
    node = make_selector_with_regions()
    near, far = "s0", "s2"
    node.record_failure(near, 0.0)
    assert not node.should_replace(far, SWITCH_DELAY_S, {far})
    after = SWITCH_DELAY_S + 0.1
    assert node.should_replace(far, after, {far, "s5"})
    assert not node.should_replace(far, after, {far, near})
    assert node.should_replace(far, after + TRIAL_PERIOD_S, {far, near})
    assert not make_selector_with_regions().should_replace(
        chosen_peers(make_selector_with_regions(), 0.0)[0], 100.0, {near}
    )


def test_non_reader_is_replaced_after_a_period_without_failures() -> None:
    node = make_selector()
    readers = chosen_peers(node, 0.0)
    other = next(key for key in make_peers(12) if key not in readers)
    assert node.should_replace(other, 0.0, {other})
    assert not any(node.should_replace(reader, 0.0, readers) for reader in readers)
    node.record_failure(readers[0], 0.0)
    assert not node.should_replace(other, SWITCH_DELAY_S, {other})
    assert node.should_replace(other, SWITCH_DELAY_S + 0.1, {other})
