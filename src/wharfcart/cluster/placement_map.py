"""Known placement of the journal's shards on one node.

The replicas of a shard change only through the shard's own log. The index of that log entry is the
version of the placement, so that nodes agree on the newer of two placements without the key-value
service.
"""

from collections.abc import Iterable

import xxhash

from wharfcart.cluster.messages_pb2 import Placement, ShardPlacement


class PlacementMap:
    """Newest known placement of each shard.

    A node knows the shards on its own disk before it knows how many shards exist. A count taken
    from these would map jobs and idempotency keys to the wrong shards. The count is therefore set
    only by a source that knows all shards: the first placement in the key-value service, or a peer
    that has read it.

    Attributes:
        shards: newest known placement by shard number.
    """

    def __init__(self) -> None:
        self.shards: dict[int, ShardPlacement] = {}
        self._shard_count = 0

    @property
    def digest(self) -> int:
        """Hash of the known placements, to detect differences between nodes; 0 for none."""
        if not self.shards:
            return 0
        known = sorted((p.shard, p.version) for p in self.shards.values())
        completeness = "" if self._shard_count else "incomplete"
        return xxhash.xxh3_64_intdigest((repr(known) + completeness).encode())

    @property
    def shard_count(self) -> int:
        """Number of shards of the journal; 0 while it is unknown."""
        return self._shard_count

    def merge(
        self, placements: Iterable[ShardPlacement], shard_count: int = 0
    ) -> list[ShardPlacement]:
        """Apply the placements that are newer and return them.

        Args:
            placements: placements of some or all shards.
            shard_count: number of shards; 0 if the source does not know it.
        """
        changed = []
        for placement in placements:
            known = self.shards.get(placement.shard)
            is_newer = known is None or placement.version > known.version
            if is_newer and placement.replicas:
                self.shards[placement.shard] = placement
                changed.append(placement)
        if shard_count and self.shards.keys() >= set(range(shard_count)):
            self._shard_count = shard_count
        return changed

    def to_message(self) -> Placement:
        """Return all placements and the number of shards as a message."""
        return Placement(shards=self.shards.values(), shard_count=self._shard_count)

    def replicas(self, shard: int) -> list[str]:
        """Return the replica identities of a shard."""
        placement = self.shards.get(shard)
        return list(placement.replicas) if placement is not None else []
