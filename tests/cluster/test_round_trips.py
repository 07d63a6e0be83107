"""How far a peer is, by what was answered lately."""

from wharfcart.cluster.address import Address
from wharfcart.cluster.round_trips import MOST_PEERS, MOST_S, SPAN_S, RoundTrips

NEAR, FAR = Address("near", 1), Address("far", 1)


def test_a_peer_that_nothing_is_known_of_counts_as_next_door() -> None:
    assert RoundTrips().least_s(NEAR, 0.0) == 0.0


def test_the_least_counts_and_delays_do_not() -> None:
    trips = RoundTrips()
    for n, seconds in enumerate((0.06, 0.041, 0.2, 0.9)):
        trips.observe(FAR, seconds, n)
    trips.observe(NEAR, 0.001, 4.0)
    assert trips.least_s(FAR, 4.0) == 0.041
    assert trips.least_s(NEAR, 4.0) == 0.001


def test_a_path_that_has_become_longer_is_believed_after_two_spans_at_most() -> None:
    trips = RoundTrips()
    trips.observe(FAR, 0.002, 0.0)
    for n in range(1, 3 * int(SPAN_S)):
        trips.observe(FAR, 0.05, n)
    assert trips.least_s(FAR, 2 * SPAN_S) == 0.05


def test_a_path_that_has_become_shorter_is_believed_at_once() -> None:
    trips = RoundTrips()
    trips.observe(FAR, 0.05, 0.0)
    trips.observe(FAR, 0.002, 1.0)
    assert trips.least_s(FAR, 1.0) == 0.002


def test_what_takes_long_is_no_distance() -> None:
    trips = RoundTrips()
    trips.observe(FAR, 5.0, 0.0)
    assert trips.least_s(FAR, 0.0) == MOST_S


def test_peers_that_left_take_no_room() -> None:
    trips = RoundTrips()
    for n in range(2 * MOST_PEERS):
        trips.observe(Address("host", n), 0.01, 0.0)
    assert trips.least_s(Address("host", 0), 0.0) == 0.0
    assert trips.least_s(Address("host", 2 * MOST_PEERS - 1), 0.0) == 0.01
