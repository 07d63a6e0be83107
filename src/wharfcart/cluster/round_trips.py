"""Core that estimates network round-trip times to peers as recent minimums.

Timeouts for a peer's work add the round-trip time, so that they allow the same time for work in any
region. The minimum over a time window excludes delays by busy peers and queues.

This module does no I/O; callers pass in the time in seconds.
"""

from dataclasses import dataclass, field

from wharfcart.cluster.address import Address

# A longer round trip takes effect after one to two windows.
WINDOW_S = 10.0
# Longer times mean that the peer is overloaded, not distant: a round trip half way around the earth
# takes less.
MAX_ROUND_TRIP_S = 0.3
# The oldest entry is removed beyond this number.
MAX_PEERS = 1024


@dataclass
class _WindowedMinimum:
    started_at: float
    current_s: float
    previous_s: float


@dataclass
class RoundTripTimes:
    """Minimum round-trip time to each peer over the current and the previous window."""

    _by_address: dict[Address, _WindowedMinimum] = field(default_factory=dict)

    def observe(self, address: Address, round_trip_s: float, now: float) -> None:
        """Record the round-trip time of one exchange with a peer."""
        minimum = self._by_address.get(address)
        if minimum is None:
            if len(self._by_address) >= MAX_PEERS:
                del self._by_address[next(iter(self._by_address))]
            self._by_address[address] = _WindowedMinimum(now, round_trip_s, round_trip_s)
        elif now - minimum.started_at < WINDOW_S:
            minimum.current_s = min(minimum.current_s, round_trip_s)
        else:
            self._by_address[address] = _WindowedMinimum(now, round_trip_s, minimum.current_s)

    def min_s(self, address: Address, now: float) -> float:
        """Return the round-trip time to a peer in seconds; 0 if it is unknown."""
        minimum = self._by_address.get(address)
        if minimum is None:
            return 0.0
        if now - minimum.started_at >= 2 * WINDOW_S:
            return min(MAX_ROUND_TRIP_S, minimum.current_s)
        return min(MAX_ROUND_TRIP_S, minimum.current_s, minimum.previous_s)
