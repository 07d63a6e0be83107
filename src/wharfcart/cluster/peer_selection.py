"""Core of following: which peers a node learns the coordination service's state from.

Every node ranks the peers that may read the service in the same order, by a hash of their ids, and
asks the first few that answer freshly. So a handful of peers read the service, whoever they are,
and all the others follow these; a peer that falls silent or behind is passed over by everybody.

In a fleet over several regions each region has readers of its own, so that news crosses its border
once a reader, not once a node. Where those fail, the region itself may be cut off from the service,
and readers of other regions are followed.

Pure: time is handed in as seconds.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from wharfcart.cluster.address import Address
from wharfcart.cluster.topology import Distance, RegionName, Topology

MIN_READERS = 2
# A reader's watch costs a call a second; a follower costs its reader two small messages a second.
PEERS_PER_READER = 10
# What was confirmed longer ago than this may lack a change that others act on already.
STALE_AFTER_S = 1.5
AVOID_FAILED_S = 2.0
# So many readers of the own region that failed within AVOID_S speak against the region, not them.
REGION_FAILURE_THRESHOLD = 2
# A peer is left for a better ranked one after so long without a failure in the own region; the
# second of two of another region only once the first that was found at home has held for a while.
SWITCH_DELAY_S = 5.0
TRIAL_PERIOD_S = 3.0


@dataclass(frozen=True)
class Peer:
    """A peer that may read the coordination service."""

    node_id: str
    zone: str
    address: Address


@dataclass
class PeerSelector:
    """The peers that one node may follow.

    Attributes:
        node_id: of the node itself, which is never chosen.
        zone: of the node; peers of the same zone are preferred.
        topology: regions of the zones.
        confirmed_at: time at which the node's state was surely complete.
    """

    node_id: str
    zone: str
    topology: Topology = field(default_factory=Topology)
    confirmed_at: float = -math.inf
    _peers: dict[str, Peer] = field(default_factory=dict)
    _avoid_until: dict[str, float] = field(default_factory=dict)
    _own_region_failed_at: float = -math.inf

    def set_peers(self, peers: Mapping[str, Peer]) -> None:
        """Take the peers that are known now, by node id."""
        self._peers = {key: peer for key, peer in peers.items() if key != self.node_id}
        self._avoid_until = {
            key: until for key, until in self._avoid_until.items() if key in self._peers
        }

    def choose(self, now: float, followed: Collection[str]) -> Peer | None:
        """Return a peer to follow, or None where none is left.

        Args:
            now: the time.
            followed: ids of peers that are followed already.
        """
        near = self._own_region_peers()
        if len(near) < MIN_READERS:
            return self._preferred_reader(self._readers(self._peers, now), followed)
        if self._count_failed(near, now) >= REGION_FAILURE_THRESHOLD:
            reader = self._preferred_reader(self._other_region_readers(near, now), followed)
            if reader is not None:
                return reader
        return self._preferred_reader(self._readers(near, now), followed)

    def record_confirmation(self, now: float, age_s: float) -> None:
        """Note that everything up to ``age_s`` ago is known."""
        self.confirmed_at = max(self.confirmed_at, now - age_s)

    def record_failure(self, node_id: str, now: float) -> None:
        """Pass a peer over for a while: it is silent, or behind."""
        self._avoid_until[node_id] = now + AVOID_FAILED_S
        if node_id in self._own_region_peers():
            self._own_region_failed_at = now

    def should_replace(self, node_id: str, now: float, followed: Collection[str]) -> bool:
        """Whether a peer that is followed well is to be left for a reader that others follow.

        Such is one of another region, and one that was chosen while better ranked ones were not
        known yet or had failed: it would go on reading the service for few.

        Args:
            node_id: the peer that is followed.
            now: the time.
            followed: ids of all peers that are followed.
        """
        near = self._own_region_peers()
        if len(near) < MIN_READERS or now - self._own_region_failed_at <= SWITCH_DELAY_S:
            return False
        if node_id in near:
            return node_id not in {reader.node_id for reader in self._readers(near, now)}
        on_trial = not near.keys().isdisjoint(followed)
        return not on_trial or now - self._own_region_failed_at > SWITCH_DELAY_S + TRIAL_PERIOD_S

    def is_stale(self, now: float) -> bool:
        """Whether this node may lack changes."""
        return now - self.confirmed_at > STALE_AFTER_S

    def _own_region_peers(self) -> dict[str, Peer]:
        """Return the peers of the own region."""
        return {
            key: peer
            for key, peer in self._peers.items()
            if self.topology.distance(self.zone, peer.zone) is not Distance.OTHER_REGION
        }

    def _count_failed(self, peers: Mapping[str, Peer], now: float) -> int:
        return sum(self._avoid_until.get(key, -math.inf) > now for key in peers)

    def _other_region_readers(self, own_region: Collection[str], now: float) -> list[Peer]:
        """Return the readers of all other regions, the same that are followed there."""
        by_region: dict[RegionName | None, dict[str, Peer]] = {}
        for key, peer in self._peers.items():
            if key not in own_region:
                by_region.setdefault(self.topology.region(peer.zone), {})[key] = peer
        return [reader for peers in by_region.values() for reader in self._readers(peers, now)]

    def _readers(self, peers: Mapping[str, Peer], now: float) -> list[Peer]:
        """Return those of some peers that read the service for them, the first in rank."""
        usable = [
            peer
            for key, peer in sorted(peers.items(), key=lambda entry: _rank(entry[0]))
            if self._avoid_until.get(key, -math.inf) <= now
        ]
        return usable[: max(MIN_READERS, math.ceil(len(peers) / PEERS_PER_READER))]

    def _preferred_reader(self, readers: Iterable[Peer], followed: Collection[str]) -> Peer | None:
        left = [peer for peer in readers if peer.node_id not in followed]
        return min(
            left, key=lambda peer: (peer.zone != self.zone, self._local_rank(peer)), default=None
        )

    def _local_rank(self, peer: Peer) -> int:
        return _rank(self.node_id + peer.node_id)


def _rank(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
