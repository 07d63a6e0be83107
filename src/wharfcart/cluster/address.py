"""Where a node is reached by other nodes."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """Where a node listens, TCP and UDP alike."""

    host: str
    port: int
