"""Which software versions of a service a node has seen recently.

While a node has seen one version for longer than a stream lasts, every stream was begun by it.

This module does no I/O; callers pass in the time in seconds.
"""

from collections import Counter
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


@dataclass
class VersionHistory:
    """Software of the back ends that a node lists, and of those that it no longer lists."""

    _known_since: dict[str, float] = field(default_factory=dict)  # by service
    _listed: Counter[BackendSoftware] = field(default_factory=Counter)
    _last_listed: dict[BackendSoftware, float] = field(default_factory=dict)

    def backend_listed(self, software: BackendSoftware, now: float) -> None:
        """Record that a back end is listed with its software."""
        self._known_since.setdefault(software.service, now)
        self._listed[software] += 1

    def backend_removed(self, software: BackendSoftware, now: float) -> None:
        """Record that a back end is no longer listed with its software."""
        self._listed[software] -= 1
        self._last_listed[software] = now
        self._forget_expired(now)

    def known_versions(self, service: str, now: float) -> KnownVersions:
        """Return the versions of a service that are listed now or were until recently."""
        versions = {
            software.version
            for software, count in self._listed.items()
            if software.service == service
            and (count > 0 or now - self._last_listed[software] < ORIGIN_TTL_S)
        }
        known_s = now - self._known_since.get(service, now)
        return KnownVersions(frozenset(versions), known_s)

    def _forget_expired(self, now: float) -> None:
        expired = [
            software
            for software, at in self._last_listed.items()
            if now - at >= ORIGIN_TTL_S and not self._listed[software]
        ]
        for software in expired:
            del self._listed[software]
            del self._last_listed[software]

    def has_several_versions(self, service: str, now: float) -> bool:
        """Whether streams of a service may have been begun by several versions."""
        return len(self.known_versions(service, now).versions) > 1
