"""The fleet's own keys in the coordination service, and what stands under them."""

import json
from dataclasses import asdict, dataclass
from enum import StrEnum

from wharfcart.cluster.address import Address

NODE_PREFIX = "wharfcart/nodes/"
GROUP_PREFIX = "wharfcart/groups/"
POISON_REQUEST_PREFIX = "wharfcart/suspects/"
LAYOUT_KEY = "wharfcart/layout"


def group_key(group: int) -> str:
    """Return the key of a job group's record."""
    return f"{GROUP_PREFIX}{group}"


class NodeKind(StrEnum):
    """What a node does."""

    GATEWAY = "gateway"
    STORAGE = "storage"


@dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node as it announced itself.

    Parameters
    ----------
    identity: of a storage node's disk; '' for others.
    """

    node_id: str
    kind: str
    host: str
    port: int
    zone: str
    identity: str = ""

    @property
    def address(self) -> Address:
        """Where other nodes reach it."""
        return Address(self.host, self.port)

    @property
    def key(self) -> str:
        """Key of this entry; a storage node that returns with an empty disk replaces it."""
        return NODE_PREFIX + self.node_id

    def to_bytes(self) -> bytes:
        """Write the entry."""
        return json.dumps(asdict(self), sort_keys=True).encode()


def node_entry_from(value: bytes | None) -> NodeEntry | None:
    """Read an entry; None if it was removed or is of another form."""
    if value is None:
        return None
    try:
        return NodeEntry(**json.loads(value))
    except (ValueError, TypeError):
        return None
