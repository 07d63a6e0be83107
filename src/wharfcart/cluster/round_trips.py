"""Core: how far each peer is, as the least time that something took to it and back lately.

Time-outs that are meant for a peer's work add this, so that they mean the same for a peer next door
and for one in another region. The least of some seconds leaves out what a peer or a queue delayed.

Pure: time is handed in as seconds.
"""

from dataclasses import dataclass, field

from wharfcart.cluster.address import Address

# A path that has become longer is believed after one of these spans, or two at most.
WINDOW_S = 10.0
# A peer that takes longer is slow or overloaded, not far: half way round the earth and back.
MAX_ROUND_TRIP_S = 0.3
# Peers that left are forgotten once there are so many.
MAX_PEERS = 1024


@dataclass
class _WindowedMinimum:
    started_at: float
    current_s: float
    previous_s: float


@dataclass
class RoundTripTimes:
    """The least round trip to each peer, over the present span and the one before."""

    _by_address: dict[Address, _WindowedMinimum] = field(default_factory=dict)

    def observe(self, address: Address, round_trip_s: float, now: float) -> None:
        """Note that something took so long to a peer and back."""
        least = self._by_address.get(address)
        if least is None:
            if len(self._by_address) >= MAX_PEERS:
                del self._by_address[next(iter(self._by_address))]
            self._by_address[address] = _WindowedMinimum(now, round_trip_s, round_trip_s)
        elif now - least.started_at < WINDOW_S:
            least.current_s = min(least.current_s, round_trip_s)
        else:
            self._by_address[address] = _WindowedMinimum(now, round_trip_s, least.current_s)

    def min_s(self, address: Address, now: float) -> float:
        """Return the round trip to a peer; 0 for one that nothing is known of."""
        least = self._by_address.get(address)
        if least is None:
            return 0.0
        if now - least.started_at >= 2 * WINDOW_S:
            return min(MAX_ROUND_TRIP_S, least.current_s)
        return min(MAX_ROUND_TRIP_S, least.current_s, least.previous_s)
