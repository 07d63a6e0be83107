"""Placements of shards that arrive late, twice or from another node."""

from wharfcart.cluster.messages_pb2 import ShardPlacement
from wharfcart.cluster.placement_map import PlacementMap


def make_placement(version: int, *replicas: str, shard: int = 0) -> ShardPlacement:
    return ShardPlacement(shard=shard, version=version, replicas=replicas)


def test_a_late_or_repeated_placement_changes_nothing() -> None:
    """Guards against calls that go to the former replicas of a shard."""
    known = PlacementMap()
    current = make_placement(2, "b", "c")
    assert known.merge([current]) == [current]
    digest = known.digest
    assert known.merge([make_placement(1, "a", "b"), current]) == []
    assert (known.replicas(0), known.digest) == (["b", "c"], digest)


def test_a_node_that_lacks_a_placement_announces_another_digest() -> None:
    """Guards against a peer that is taken for equal and never asked."""
    complete, partial = PlacementMap(), PlacementMap()
    placements = [make_placement(1, "a", shard=shard) for shard in range(2)]
    complete.merge(placements, 2)
    partial.merge(placements[:1])
    assert complete.digest != partial.digest
    partial.merge(placements[1:])
    assert complete.digest != partial.digest, "it does not know the number of shards"
    partial.merge([], 2)
    assert complete.digest == partial.digest
