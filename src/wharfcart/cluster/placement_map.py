"""Placement of the journal's shards, as every node knows it.

Each shard's replicas change only through its own log; the index of that log entry is the version,
so that any two nodes agree which of two placements of a shard is newer, without the key-value
service.
"""

from collections.abc import Iterable

import xxhash

from wharfcart.cluster.messages_pb2 import Placement, ShardPlacement


class PlacementMap:
    """Newest known placement of each shard.

    A node knows the shards on its own disk before it knows how many there are. A number that is
    counted from these is wrong: it denied accepted jobs (404) and took idempotency keys to shards
    that know nothing of them. So the number is known only from who knows all shards: the first
    placement in the key-value service, or a peer that has it.
    """

    def __init__(self) -> None:
        self.shards: dict[int, ShardPlacement] = {}
        self._shard_count = 0

    @property
    def digest(self) -> int:
        """A hash that differs between nodes that know different placements, 0 for none."""
        if not self.shards:
            return 0
        known = sorted((p.shard, p.version) for p in self.shards.values())
        whole = "" if self._shard_count else "incomplete"
        return xxhash.xxh3_64_intdigest((repr(known) + whole).encode())

    @property
    def shard_count(self) -> int:
        """Number of shards of the journal, 0 while this node does not know all of them."""
        return self._shard_count

    def merge(
        self, placements: Iterable[ShardPlacement], shard_count: int = 0
    ) -> list[ShardPlacement]:
        """Take newer placements; return them.

        Args:
            placements: of all shards, or of some.
            shard_count: number of shards; 0 if who tells does not know it.
        """
        changed = []
        for placement in placements:
            known = self.shards.get(placement.shard)
            newer = known is None or placement.version > known.version
            if newer and placement.replicas:
                self.shards[placement.shard] = placement
                changed.append(placement)
        if shard_count and self.shards.keys() >= set(range(shard_count)):
            self._shard_count = shard_count
        return changed

    def to_message(self) -> Placement:
        """Return all placements, and the number of shards if it is known, as one message."""
        return Placement(shards=self.shards.values(), shard_count=self._shard_count)

    def replicas(self, shard: int) -> list[str]:
        """Return the replica identities of a shard."""
        placement = self.shards.get(shard)
        return list(placement.replicas) if placement is not None else []
