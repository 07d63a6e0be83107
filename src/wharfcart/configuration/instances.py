"""Incarnations of back ends, as service discovery tells them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BackendInstance:
    """One life of one back end. An address is no identity: it may pass to another service.

    Parameters
    ----------
    slots: requests that it works on at once.
    accepting: False while it drains.
    cold_for_s: how much longer it is cold after a start, as it told when the entry was written.
    born_ms: wall clock milliseconds of its start, as its own clock tells; None if it does not say.
        A back end may start again under its id: this tells one life from the next.
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    accepting: bool
    cold_for_s: float = 0.0
    born_ms: int | None = None

    def is_later_life_of(self, other: "BackendInstance") -> bool:
        """Whether this has started again since another entry of the same id."""
        if self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms > other.born_ms
