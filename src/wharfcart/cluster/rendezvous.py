"""Rendezvous hashing: owners of back ends, shard placement and candidate sets.

Highest-random-weight hashing (Thaler and Ravishankar 1998): all nodes compute the same result from
the same membership, and the loss of a node moves only what that node owned.
"""

from collections.abc import Iterable, Sequence

import xxhash


def _weight(node: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return ``nodes`` in descending order of their weight for ``key``."""
    return sorted(nodes, key=lambda node: (_weight(node, key), node), reverse=True)


def choose_owner(key: str, nodes: Sequence[str]) -> str | None:
    """Return the node with the highest weight for ``key``; None without nodes."""
    if not nodes:
        return None
    return max(nodes, key=lambda node: (_weight(node, key), node))


def shuffle_shard(key: str, backends: Iterable[str], size: int) -> list[str]:
    """Return the back ends that serve ``key``, so that a bad tenant affects few others."""
    return rendezvous_order(key, backends)[:size]


def shard_of(key: str, shard_count: int) -> int:
    """Return the journal shard that stores ``key``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def place_shards(
    shard_count: int, replica_count: int, zones_by_identity: dict[str, str]
) -> dict[int, list[str]]:
    """Place the replicas of each shard in different zones, if there are enough zones.

    Returns:
        Replica identities by shard number: ``replica_count`` each, or all that exist.
    """
    placement: dict[int, list[str]] = {}
    for shard in range(shard_count):
        order = rendezvous_order(f"shard-{shard}", zones_by_identity)
        chosen: list[str] = []
        used_zones: set[str] = set()
        for identity in order:
            if zones_by_identity[identity] not in used_zones and len(chosen) < replica_count:
                chosen.append(identity)
                used_zones.add(zones_by_identity[identity])
        remaining = [identity for identity in order if identity not in chosen]
        placement[shard] = chosen + remaining[: replica_count - len(chosen)]
    return placement
