"""Keys and entries that the fleet itself stores in the coordination service."""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

from wharfcart.cluster.address import Address

NODE_PREFIX = "wharfcart/nodes/"
GROUP_PREFIX = "wharfcart/groups/"
POISON_REQUEST_PREFIX = "wharfcart/suspects/"
CRASH_REPORT_PREFIX = "wharfcart/crashes/"
SOUND_PART_PREFIX = "wharfcart/sound-parts/"
VERSION_RECORD_PREFIX = "wharfcart/versions/"
LAYOUT_KEY = "wharfcart/layout"


def group_key(group: int) -> str:
    """Return the key of a job group's record."""
    return f"{GROUP_PREFIX}{group}"


class NodeKind(StrEnum):
    """Role of a node."""

    GATEWAY = "gateway"
    STORAGE = "storage"


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """Entry by which a node announces itself.

    Attributes:
        node_id: id of the node.
        kind: value of its :class:`NodeKind`.
        host: host at which other nodes reach it.
        port: port at which other nodes reach it.
        zone: zone of the node.
        identity: identity of a storage node's disk; '' for other nodes.
    """

    node_id: str
    kind: str
    host: str
    port: int
    zone: str
    identity: str = ""

    @property
    def address(self) -> Address:
        """Address at which other nodes reach it."""
        return Address(self.host, self.port)

    @property
    def key(self) -> str:
        """Key of this entry; a storage node that restarts with an empty disk overwrites it."""
        return NODE_PREFIX + self.node_id

    def to_bytes(self) -> bytes:
        """Serialize the entry."""
        return json.dumps(asdict(self), sort_keys=True).encode()


def node_entry_from(value: bytes | None) -> NodeEntry | None:
    """Parse an entry; None if it was removed or is malformed."""
    if value is None:
        return None
    try:
        return NodeEntry(**json.loads(value))
    except (ValueError, TypeError):
        return None
