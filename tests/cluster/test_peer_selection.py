"""Selection of the peers that a node follows."""

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


def make_peers(count: int) -> dict[str, Peer]:
    return {
        f"s{n}": Peer(f"s{n}", ZONES[n % 3], Address("10.0.0.1", 1000 + n)) for n in range(count)
    }


def make_selector(node_id: str = "g0", zone: str = "a", peer_count: int = 12) -> PeerSelector:
    selector = PeerSelector(node_id, zone)
    selector.set_peers(make_peers(peer_count))
    return selector


def chosen_peers(selector: PeerSelector, now: float) -> list[str]:
    chosen: list[str] = []
    while (peer := selector.choose(now, chosen)) is not None:
        chosen.append(peer.node_id)
    return chosen


def test_nodes_agree_on_the_same_readers() -> None:
    chosen = {
        peer for n in range(100) for peer in chosen_peers(make_selector(f"g{n}", ZONES[n % 3]), 0.0)
    }
    assert len(chosen) == 2


def test_reader_in_the_own_zone_is_preferred() -> None:
    readers = chosen_peers(make_selector(), 0.0)
    zones = {zone: make_selector(zone=zone).choose(0.0, ()) for zone in ZONES}
    for zone, chosen in zones.items():
        assert chosen is not None
        if zone in {make_peers(12)[reader].zone for reader in readers}:
            assert chosen.zone == zone


def test_failed_peer_is_replaced_until_it_may_be_chosen_again() -> None:
    selector = make_selector()
    before = set(chosen_peers(selector, 0.0))
    failed = next(iter(before))
    selector.record_failure(failed, 0.0)
    during = set(chosen_peers(selector, 0.1))
    assert failed not in during and len(during) == len(before)
    assert set(chosen_peers(selector, AVOID_FAILED_S)) == before


def test_a_node_never_follows_itself() -> None:
    selector = make_selector("s1", peer_count=2)
    assert chosen_peers(selector, 0.0) == ["s0"]


def test_no_peer_is_chosen_when_all_have_failed() -> None:
    selector = make_selector(peer_count=2)
    for peer in make_peers(2):
        selector.record_failure(peer, 0.0)
    assert selector.choose(0.1, ()) is None


def test_unconfirmed_state_becomes_stale() -> None:
    selector = make_selector()
    assert selector.is_stale(0.0)
    selector.record_confirmation(10.0, 0.5)
    assert not selector.is_stale(9.5 + STALE_AFTER_S)
    assert selector.is_stale(9.6 + STALE_AFTER_S)
    selector.record_confirmation(11.0, 5.0)
    assert selector.is_stale(9.6 + STALE_AFTER_S)


def make_selector_with_regions(
    node_id: str = "g0", zone: str = "a", peer_count: int = 12
) -> PeerSelector:
    selector = PeerSelector(node_id, zone, TOPOLOGY)
    selector.set_peers(make_peers(peer_count))
    return selector


def test_each_region_follows_its_own_readers() -> None:
    for zone, own_zones in (("a", {"a", "b"}), ("b", {"a", "b"}), ("c", {"c"})):
        chosen = {
            peer
            for n in range(50)
            for peer in chosen_peers(make_selector_with_regions(f"g{n}", zone), 0.0)
        }
        assert {make_peers(12)[peer].zone for peer in chosen} <= own_zones
        assert len(chosen) == 2


def test_region_with_failed_readers_follows_another_region_temporarily() -> None:
    selector = make_selector_with_regions()
    before = chosen_peers(selector, 0.0)
    selector.record_failure(before[0], 0.0)
    assert {make_peers(12)[peer].zone for peer in chosen_peers(selector, 0.1)} <= {"a", "b"}
    selector.record_failure(before[1], 0.1)
    assert {make_peers(12)[peer].zone for peer in chosen_peers(selector, 0.2)[:2]} == {"c"}
    assert set(chosen_peers(selector, 0.1 + AVOID_FAILED_S)) == set(before)


def test_cut_off_region_follows_the_same_readers_as_others() -> None:
    """Otherwise each cut-off region would add readers of the service in other regions."""
    zones = {"a": WEST, "b": EAST, "c": RegionName("south")}
    many_peers = make_peers(90)

    def make_node_selector(node_id: str, zone: str) -> PeerSelector:
        selector = PeerSelector(node_id, zone, Topology(zones))
        selector.set_peers(many_peers)
        return selector

    readers_of_others = {
        peer
        for n in range(40)
        for peer in chosen_peers(make_node_selector(f"g{n}", "bc"[n % 2]), 0.0)
    }
    cut_off = make_node_selector("g0", "a")
    for failed in chosen_peers(cut_off, 0.0)[:2]:
        cut_off.record_failure(failed, 0.0)
    remote_readers = [peer for peer in chosen_peers(cut_off, 0.1) if many_peers[peer].zone != "a"]
    assert set(remote_readers) == readers_of_others


def test_region_with_a_single_peer_follows_the_whole_fleet() -> None:
    selector = PeerSelector("g0", "c", TOPOLOGY)
    selector.set_peers(
        {key: peer for key, peer in make_peers(5).items() if peer.zone != "c" or key == "s2"}
    )
    assert any(make_peers(5)[peer].zone != "c" for peer in chosen_peers(selector, 0.0))


def test_other_region_readers_are_replaced_one_at_a_time() -> None:
    selector = make_selector_with_regions()
    own_reader, remote_reader = "s0", "s2"
    selector.record_failure(own_reader, 0.0)
    assert not selector.should_replace(remote_reader, SWITCH_DELAY_S, {remote_reader})
    switch_at = SWITCH_DELAY_S + 0.1
    assert selector.should_replace(remote_reader, switch_at, {remote_reader, "s5"})
    assert not selector.should_replace(remote_reader, switch_at, {remote_reader, own_reader})
    assert selector.should_replace(
        remote_reader, switch_at + TRIAL_PERIOD_S, {remote_reader, own_reader}
    )
    assert not make_selector_with_regions().should_replace(
        chosen_peers(make_selector_with_regions(), 0.0)[0], 100.0, {own_reader}
    )


def test_non_reader_is_replaced_after_a_period_without_failures() -> None:
    selector = make_selector()
    readers = chosen_peers(selector, 0.0)
    non_reader = next(key for key in make_peers(12) if key not in readers)
    assert selector.should_replace(non_reader, 0.0, {non_reader})
    assert not any(selector.should_replace(reader, 0.0, readers) for reader in readers)
    selector.record_failure(readers[0], 0.0)
    assert not selector.should_replace(non_reader, SWITCH_DELAY_S, {non_reader})
    assert selector.should_replace(non_reader, SWITCH_DELAY_S + 0.1, {non_reader})
