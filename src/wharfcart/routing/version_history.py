"""Which software versions of a service a node has seen recently.

While a node has seen one version for longer than a stream lasts, every stream was begun by it.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wharfcart.configuration.instances import BackendSoftware, SoftwareVersion
from wharfcart.routing.stream_origins import ORIGIN_TTL_S


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """Versions of one service that a node has seen within the lifetime of a stream's record.

    Attributes:
        versions: the versions.
        known_s: for how many seconds the node has known the service.
    """

    versions: frozenset[SoftwareVersion] = frozenset()
    known_s: float = 0.0

    def merge(self, other: "KnownVersions") -> "KnownVersions":
        """Return what two nodes know together."""
        return KnownVersions(self.versions | other.versions, max(self.known_s, other.known_s))

    @property
    def covers_streams(self) -> bool:
        """Whether no stream of the service can be older than what is known."""
        return self.known_s >= ORIGIN_TTL_S


@dataclass
class VersionHistory:
    """Services that a node knows, and versions that it no longer lists."""

    _known_since: dict[str, float] = field(default_factory=dict)  # by service
    _last_listed: dict[BackendSoftware, float] = field(default_factory=dict)

    def service_listed(self, service: str, now: float) -> None:
        """Record that a back end of a service is listed."""
        self._known_since.setdefault(service, now)

    def backend_removed(self, software: BackendSoftware, now: float) -> None:
        """Record that a back end is no longer listed with its version."""
        self._last_listed[software] = now

    def known_versions(
        self, service: str, listed: Iterable[SoftwareVersion], now: float
    ) -> KnownVersions:
        """Return the versions of a service that are listed now or were until recently."""
        self._last_listed = {
            software: at for software, at in self._last_listed.items() if now - at < ORIGIN_TTL_S
        }
        removed = {
            software.version for software in self._last_listed if software.service == service
        }
        known_s = now - self._known_since.get(service, now)
        return KnownVersions(frozenset(removed.union(listed)), known_s)
