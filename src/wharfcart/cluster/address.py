"""Network address of a node."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Address:
    """Host and port on which a node listens, for both TCP and UDP."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``.

        Raises:
            ValueError: the port is not a number.
        """
        host, _, port = text.rpartition(":")
        return cls(host, int(port))
