"""Placement of the journal's shards, as every node knows it.

Each shard's replicas change only through its own log; the index of that log entry is the version,
so that any two nodes agree which of two placements of a shard is newer, without the key-value
service.
"""

from collections.abc import Iterable

import xxhash

from wharfcart.cluster.messages_pb2 import Placement, ShardPlacement


class PlacementMap:
    """Newest known placement of each shard."""

    def __init__(self) -> None:
        self.shards: dict[int, ShardPlacement] = {}

    @property
    def digest(self) -> int:
        """A hash that differs between nodes that know different placements, 0 for none."""
        if not self.shards:
            return 0
        known = sorted((p.shard, p.version) for p in self.shards.values())
        return xxhash.xxh3_64_intdigest(repr(known).encode())

    @property
    def shard_count(self) -> int:
        """Number of shards, 0 before the first placement is known."""
        return len(self.shards)

    def merge(self, placements: Iterable[ShardPlacement]) -> list[ShardPlacement]:
        """Take newer placements; return them."""
        changed = []
        for placement in placements:
            known = self.shards.get(placement.shard)
            newer = known is None or placement.version > known.version
            if newer and placement.replicas:
                self.shards[placement.shard] = placement
                changed.append(placement)
        return changed

    def message(self) -> Placement:
        """Return all placements as one message."""
        return Placement(shards=self.shards.values())

    def replicas(self, shard: int) -> list[str]:
        """Return the replica identities of a shard."""
        placement = self.shards.get(shard)
        return list(placement.replicas) if placement is not None else []
