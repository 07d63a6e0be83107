"""What the operators' edge needs of its node."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from wharfcart.cluster.messages_pb2 import Entry, FleetView
from wharfcart.configuration.revisioned_map import RevisionedMap


@dataclass(frozen=True)
class NodeStatus:
    """One live member as asked just now; ``view`` is None if it did not answer."""

    node_id: str
    zone: str
    storage_identity: str
    view: FleetView | None


@dataclass(frozen=True)
class AdminContext:
    """Parts of a node that the operators' handlers use."""

    configuration: RevisionedMap
    apply_entries: Callable[[Iterable[Entry], int], None]
    node_statuses: Callable[[], Awaitable[list[NodeStatus]]]
    recover_shard: Callable[[int], None]
    shard_replicas: Callable[[], dict[int, list[str]]]
