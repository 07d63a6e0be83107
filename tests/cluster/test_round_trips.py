"""Estimation of round-trip times to peers."""

from wharfcart.cluster.address import Address
from wharfcart.cluster.round_trips import MAX_PEERS, MAX_ROUND_TRIP_S, WINDOW_S, RoundTripTimes

NEAR_PEER, FAR_PEER = Address("near", 1), Address("far", 1)


def test_unknown_peer_has_zero_round_trip() -> None:
    assert RoundTripTimes().min_s(NEAR_PEER, 0.0) == 0.0


def test_minimum_ignores_delayed_samples() -> None:
    trips = RoundTripTimes()
    for n, seconds in enumerate((0.06, 0.041, 0.2, 0.9)):
        trips.observe(FAR_PEER, seconds, n)
    trips.observe(NEAR_PEER, 0.001, 4.0)
    assert trips.min_s(FAR_PEER, 4.0) == 0.041
    assert trips.min_s(NEAR_PEER, 4.0) == 0.001


def test_longer_path_takes_effect_within_two_windows() -> None:
    trips = RoundTripTimes()
    trips.observe(FAR_PEER, 0.002, 0.0)
    for n in range(1, 3 * int(WINDOW_S)):
        trips.observe(FAR_PEER, 0.05, n)
    assert trips.min_s(FAR_PEER, 2 * WINDOW_S) == 0.05


def test_shorter_path_takes_effect_at_once() -> None:
    trips = RoundTripTimes()
    trips.observe(FAR_PEER, 0.05, 0.0)
    trips.observe(FAR_PEER, 0.002, 1.0)
    assert trips.min_s(FAR_PEER, 1.0) == 0.002


def test_round_trip_is_capped() -> None:
    trips = RoundTripTimes()
    trips.observe(FAR_PEER, 5.0, 0.0)
    assert trips.min_s(FAR_PEER, 0.0) == MAX_ROUND_TRIP_S


def test_number_of_remembered_peers_is_bounded() -> None:
    trips = RoundTripTimes()
    for n in range(2 * MAX_PEERS):
        trips.observe(Address("host", n), 0.01, 0.0)
    assert trips.min_s(Address("host", 0), 0.0) == 0.0
    assert trips.min_s(Address("host", 2 * MAX_PEERS - 1), 0.0) == 0.01
