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
    """

    instance_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    accepting: bool
    cold_for_s: float = 0.0
