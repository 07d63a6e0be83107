"""Ownership: which node answers for a back end, shard placement and candidate sets.

Highest-random-weight (rendezvous) hashing, Thaler and Ravishankar 1998: every node computes the
same answer from the same membership, and a lost node moves only what it owned.
"""

from collections.abc import Iterable, Sequence

import xxhash


def _weight(node: str, key: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}\0{key}".encode())


def rendezvous_order(key: str, nodes: Iterable[str]) -> list[str]:
    """Return ``nodes`` by falling weight for ``key``."""
    return sorted(nodes, key=lambda node: (_weight(node, key), node), reverse=True)


def choose_owner(key: str, nodes: Sequence[str]) -> str | None:
    """Return the node of highest weight for ``key``, or None without nodes."""
    if not nodes:
        return None
    return max(nodes, key=lambda node: (_weight(node, key), node))


def shuffle_shard(key: str, backends: Iterable[str], size: int) -> list[str]:
    """Return the few back ends that serve ``key``: one bad tenant harms few others."""
    return rendezvous_order(key, backends)[:size]


def shard_of(key: str, shard_count: int) -> int:
    """Return the journal shard that decides ``key``."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def place_shards(
    shard_count: int, replica_count: int, zones_by_identity: dict[str, str]
) -> dict[int, list[str]]:
    """Place each shard's replicas on identities in different zones where there are enough zones.

    Returns
    -------
    Shard number to replica identities, ``replica_count`` of them or all there are.
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
        spare = [identity for identity in order if identity not in chosen]
        placement[shard] = chosen + spare[: replica_count - len(chosen)]
    return placement
