"""Back-end instances as reported by service discovery."""

from dataclasses import dataclass
from typing import NamedTuple, NewType

SoftwareVersion = NewType("SoftwareVersion", str)
# Of back ends whose entries name no version; as such a version of its own.
UNNAMED_VERSION = SoftwareVersion("")


class BackendSoftware(NamedTuple):
    """Identity of the software that back ends run.

    Attributes:
        service: service that the back ends belong to.
        version: version of their software. Versions have no order, and what two of them write does
            not fit together.
    """

    service: str
    version: SoftwareVersion


@dataclass(frozen=True, slots=True)
class BackendInstance:
    """One instance of a back end, from its start until it stops.

    The address does not identify it: another service may reuse the address later.

    Attributes:
        instance_id: id of the back end.
        service: service that the back end belongs to.
        host: host name or IP address.
        port: TCP port.
        zone: zone of the back end.
        slots: number of requests that it processes concurrently.
        accepting: False while it drains.
        cold_for_s: remaining cold time after a start, as of the writing of the entry.
        started_at_ms: start time by its own wall clock, in milliseconds since the epoch, or None if
            not reported. Distinguishes instances of a back end that restarts under the same id.
        version: version of its software.
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
    version: SoftwareVersion = UNNAMED_VERSION

    @property
    def software(self) -> BackendSoftware:
        """The software that it runs."""
        return BackendSoftware(self.service, self.version)

    def is_restart_of(self, other: "BackendInstance") -> bool:
        """Whether this instance started later than another one of the same id."""
        if self.started_at_ms is None or other.started_at_ms is None:
            return False
        return self.started_at_ms > other.started_at_ms
