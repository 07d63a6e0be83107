"""Core of following: which peers a node learns the coordination service's state from.

Every node ranks the peers that may read the service in the same order, by a hash of their ids, and
asks the first few that answer freshly. So a handful of peers read the service, whoever they are,
and all the others follow these; a peer that falls silent or behind is passed over by everybody.

Pure: time is handed in as seconds.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from wharfcart.cluster.address import Address

FEWEST_READERS = 2
# A reader's watch costs a call a second; a follower costs its reader two small messages a second.
PEERS_A_READER = 10
# What was confirmed longer ago than this may lack a change that others act on already.
STALE_S = 1.5
AVOID_S = 2.0


@dataclass(frozen=True)
class Peer:
    """A peer that may read the coordination service."""

    node_id: str
    zone: str
    address: Address


@dataclass
class NewsSources:
    """The peers that one node may follow.

    Attributes:
        node_id: of the node itself, which is never chosen.
        zone: of the node; peers of the same zone are preferred.
        confirmed_at: time at which the node's state was surely complete.
    """

    node_id: str
    zone: str
    confirmed_at: float = -math.inf
    _peers: dict[str, Peer] = field(default_factory=dict)
    _avoid_until: dict[str, float] = field(default_factory=dict)

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
        usable = [
            peer
            for key, peer in sorted(self._peers.items(), key=lambda entry: _rank(entry[0]))
            if self._avoid_until.get(key, -math.inf) <= now
        ]
        readers = [peer for peer in usable[: self._readers()] if peer.node_id not in followed]
        if not readers:
            return None
        return min(readers, key=lambda peer: (peer.zone != self.zone, self._own_rank(peer)))

    def confirmed(self, now: float, age_s: float) -> None:
        """Note that everything up to ``age_s`` ago is known."""
        self.confirmed_at = max(self.confirmed_at, now - age_s)

    def failed(self, node_id: str, now: float) -> None:
        """Pass a peer over for a while: it is silent, or behind."""
        self._avoid_until[node_id] = now + AVOID_S

    def is_stale(self, now: float) -> bool:
        """Whether this node may lack changes."""
        return now - self.confirmed_at > STALE_S

    def _readers(self) -> int:
        return max(FEWEST_READERS, math.ceil(len(self._peers) / PEERS_A_READER))

    def _own_rank(self, peer: Peer) -> int:
        return _rank(self.node_id + peer.node_id)


def _rank(key: str) -> int:
    return xxhash.xxh64_intdigest(key.encode())
