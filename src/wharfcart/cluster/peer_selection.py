"""Selects the peers from which a node pulls the coordination service's state.

All nodes rank the peers in the same order, by a hash of their ids, and follow the first few usable
ones, the readers. So only a few peers read the service and all others follow these. Peers that are
unresponsive or stale are skipped for a while.

In a fleet with several regions, each region has its own readers, so that a change enters a region
once per reader instead of once per node. If these fail, the region may be cut off from the service,
and its nodes follow readers of other regions.

This module does no I/O; callers pass in the time in seconds.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from wharfcart.cluster.address import Address
from wharfcart.cluster.topology import Distance, RegionName, Topology

MIN_READERS = 2
# Each reader costs the service a call per second; each follower costs its reader two small messages
# per second.
PEERS_PER_READER = 10
# State confirmed longer ago than this may lack changes that other nodes have applied.
STALE_AFTER_S = 1.5
AVOID_FAILED_S = 2.0
# Peers of the own region that failed within AVOID_FAILED_S at which the region counts as cut off.
REGION_FAILURE_THRESHOLD = 2
# Time without failures in the own region before a peer is replaced by a better ranked one.
SWITCH_DELAY_S = 5.0
# Further time before the last peer of another region is replaced, during which the peer that was
# found in the own region must not fail.
TRIAL_PERIOD_S = 3.0


@dataclass(frozen=True)
class Peer:
    """A peer that may read the coordination service."""

    node_id: str
    zone: str
    address: Address


@dataclass
class PeerSelector:
    """Selects peers for one node and tracks when its state was last confirmed.

    Attributes:
        node_id: id of this node, which is never selected.
        zone: zone of this node; peers of the same zone are preferred.
        topology: regions of the zones.
        confirmed_at: latest time at which the node's state is known to have been complete.
    """

    node_id: str
    zone: str
    topology: Topology = field(default_factory=Topology)
    confirmed_at: float = -math.inf
    _peers: dict[str, Peer] = field(default_factory=dict)
    _avoid_until: dict[str, float] = field(default_factory=dict)
    _own_region_failed_at: float = -math.inf

    def set_peers(self, peers: Mapping[str, Peer]) -> None:
        """Replace the known peers.

        Args:
            peers: all peers by node id.
        """
        self._peers = {key: peer for key, peer in peers.items() if key != self.node_id}
        self._avoid_until = {
            key: until for key, until in self._avoid_until.items() if key in self._peers
        }

    def choose(self, now: float, followed: Collection[str]) -> Peer | None:
        """Return a peer to follow; None if there is no usable one.

        Args:
            now: current time in seconds.
            followed: ids of the peers that are followed already.
        """
        own_region = self._own_region_peers()
        if len(own_region) < MIN_READERS:
            return self._preferred_reader(self._readers(self._peers, now), followed)
        if self._count_failed(own_region, now) >= REGION_FAILURE_THRESHOLD:
            reader = self._preferred_reader(self._other_region_readers(own_region, now), followed)
            if reader is not None:
                return reader
        return self._preferred_reader(self._readers(own_region, now), followed)

    def record_confirmation(self, now: float, age_s: float) -> None:
        """Record that the state was complete ``age_s`` seconds ago."""
        self.confirmed_at = max(self.confirmed_at, now - age_s)

    def record_failure(self, node_id: str, now: float) -> None:
        """Record that a peer is unresponsive or stale, and skip it for a while."""
        self._avoid_until[node_id] = now + AVOID_FAILED_S
        if node_id in self._own_region_peers():
            self._own_region_failed_at = now

    def should_replace(self, node_id: str, now: float, followed: Collection[str]) -> bool:
        """Whether a working peer should be replaced by one of the region's readers.

        This holds for a peer of another region, and for one that was chosen while better ranked
        peers were unknown or had failed. It would otherwise keep reading the service for only a
        few followers.

        Args:
            node_id: id of the followed peer.
            now: current time in seconds.
            followed: ids of all followed peers.
        """
        own_region = self._own_region_peers()
        if len(own_region) < MIN_READERS or now - self._own_region_failed_at <= SWITCH_DELAY_S:
            return False
        if node_id in own_region:
            return node_id not in {reader.node_id for reader in self._readers(own_region, now)}
        follows_own_region = not own_region.keys().isdisjoint(followed)
        return (
            not follows_own_region
            or now - self._own_region_failed_at > SWITCH_DELAY_S + TRIAL_PERIOD_S
        )

    def is_stale(self, now: float) -> bool:
        """Whether this node may lack changes."""
        return now - self.confirmed_at > STALE_AFTER_S

    def _own_region_peers(self) -> dict[str, Peer]:
        """Return the peers in this node's region."""
        return {
            key: peer
            for key, peer in self._peers.items()
            if self.topology.distance(self.zone, peer.zone) is not Distance.OTHER_REGION
        }

    def _count_failed(self, peers: Mapping[str, Peer], now: float) -> int:
        return sum(self._avoid_until.get(key, -math.inf) > now for key in peers)

    def _other_region_readers(self, own_region: Collection[str], now: float) -> list[Peer]:
        """Return the readers of all other regions, which the nodes there follow as well."""
        by_region: dict[RegionName | None, dict[str, Peer]] = {}
        for key, peer in self._peers.items():
            if key not in own_region:
                by_region.setdefault(self.topology.region(peer.zone), {})[key] = peer
        return [reader for peers in by_region.values() for reader in self._readers(peers, now)]

    def _readers(self, peers: Mapping[str, Peer], now: float) -> list[Peer]:
        """Return the readers among a group of peers: the first usable ones in rank order."""
        usable = [
            peer
            for key, peer in sorted(peers.items(), key=lambda entry: _rank(entry[0]))
            if self._avoid_until.get(key, -math.inf) <= now
        ]
        return usable[: max(MIN_READERS, math.ceil(len(peers) / PEERS_PER_READER))]

    def _preferred_reader(self, readers: Iterable[Peer], followed: Collection[str]) -> Peer | None:
        candidates = [peer for peer in readers if peer.node_id not in followed]
        return min(
            candidates,
            key=lambda peer: (peer.zone != self.zone, self._local_rank(peer)),
            default=None,
        )

    def _local_rank(self, peer: Peer) -> int:
        return _rank(self.node_id + peer.node_id)


def _rank(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
