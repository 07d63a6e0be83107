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
    started_at_ms: wall clock milliseconds of its start by its own clock; None if it reports none.
        Distinguishes the instances of a back end that restarts under its id.
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    accepting: bool
    cold_for_s: float = 0.0
    started_at_ms: int | None = None

    def is_restart_of(self, other: "BackendInstance") -> bool:
        """Whether this has started again since another entry of the same id."""
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        return self.started_at_ms > other.started_at_ms
