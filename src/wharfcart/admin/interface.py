"""Interface between the operators' HTTP handlers and their node."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from wharfcart.cluster.messages_pb2 import Entry, FleetView
from wharfcart.configuration.revisioned_map import RevisionedMap


@dataclass(frozen=True)
class NodeStatus:
    """Current status of one live member; ``view`` is None if it did not respond."""

    node_id: str
    zone: str
    storage_identity: str
    view: FleetView | None


@dataclass(frozen=True)
class AdminContext:
    """Parts of a node that the operators' handlers use.

    Attributes:
        configuration: Configuration entries in force at this node.
        apply_entries: Applies accepted entries with their revision at this node.
        node_statuses: Queries all live members for their status.
        recover_shard: Continues a shard with this node's replica only.
        shard_replicas: Returns the storage identities of each shard's replicas.
    """

    configuration: RevisionedMap
    apply_entries: Callable[[Iterable[Entry], int], None]
    node_statuses: Callable[[], Awaitable[list[NodeStatus]]]
    recover_shard: Callable[[int], None]
    shard_replicas: Callable[[], dict[int, list[str]]]
