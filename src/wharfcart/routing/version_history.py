"""Which software versions of a service a node has seen recently.

While a node has seen one version for longer than a stream lasts, every stream was begun by it.

This module does no I/O; callers pass in the time in seconds.
"""

import math
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
        is_recorded: whether it also knows the versions that the fleet recorded.
    """

    versions: frozenset[SoftwareVersion] = frozenset()
    known_s: float = 0.0
    is_recorded: bool = False

    def merge(self, other: "KnownVersions") -> "KnownVersions":
        """Return what two nodes know together."""
        return KnownVersions(
            self.versions | other.versions,
            max(self.known_s, other.known_s),
            self.is_recorded or other.is_recorded,
        )


@dataclass
class _Listing:
    """Back ends of one version.

    Attributes:
        count: back ends that are listed now.
        removed_at: monotonic time at which the last one was removed.
    """

    count: int = 0
    removed_at: float = -math.inf

    def is_recent(self, now: float) -> bool:
        return self.count > 0 or now - self.removed_at < ORIGIN_TTL_S


@dataclass
class VersionHistory:
    """Software of the back ends that a node lists, and of those that it listed until recently.

    Attributes:
        changes: how often the first back end of a version was listed or the last one removed.
    """

    changes: int = 0
    _known_since: dict[str, float] = field(default_factory=dict)  # by service
    _listings: dict[str, dict[SoftwareVersion, _Listing]] = field(default_factory=dict)
    _recorded_services: set[str] = field(default_factory=set)

    def backend_listed(self, software: BackendSoftware, now: float) -> None:
        """Record that a back end is listed with its software."""
        self._known_since.setdefault(software.service, now)
        listing = self._listing(software)
        listing.count += 1
        self.changes += listing.count == 1

    def backend_removed(self, software: BackendSoftware, now: float) -> None:
        """Record that a back end is no longer listed with its software."""
        listing = self._listing(software)
        listing.count -= 1
        listing.removed_at = now
        self.changes += listing.count == 0
        self._forget_expired(software.service, now)

    def remember(self, software: BackendSoftware, now: float) -> None:
        """Record software of back ends that were listed before a restart of this node."""
        self._listing(software).removed_at = now

    def apply_record(self, service: str, versions: Iterable[SoftwareVersion], now: float) -> None:
        """Record the versions of a service that the fleet has seen recently.

        How long ago a version went isn't known, so it counts as listed until now.
        """
        self._recorded_services.add(service)
        known = self._recent_versions(service, now)
        for version in versions:
            if version not in known:
                self.remember(BackendSoftware(service, version), now)

    def listed(self) -> frozenset[BackendSoftware]:
        """Return the software of back ends that are listed now."""
        return frozenset(
            BackendSoftware(service, version)
            for service, listings in self._listings.items()
            for version, listing in listings.items()
            if listing.count > 0
        )

    def recent(self, now: float) -> frozenset[BackendSoftware]:
        """Return the software of back ends that are listed now or were until recently."""
        return frozenset(
            BackendSoftware(service, version)
            for service in self._listings
            for version in self._recent_versions(service, now)
        )

    def known_versions(self, service: str, now: float) -> KnownVersions:
        """Return the versions of a service that are listed now or were until recently."""
        known_s = now - self._known_since.get(service, now)
        versions = frozenset(self._recent_versions(service, now))
        return KnownVersions(versions, known_s, service in self._recorded_services)

    def has_several_versions(self, service: str, now: float) -> bool:
        """Whether streams of a service may have been begun by several versions."""
        return len(self._recent_versions(service, now)) > 1

    def _listing(self, software: BackendSoftware) -> _Listing:
        listings = self._listings.setdefault(software.service, {})
        return listings.setdefault(software.version, _Listing())

    def _recent_versions(self, service: str, now: float) -> list[SoftwareVersion]:
        listings = self._listings.get(service, {})
        return [version for version, listing in listings.items() if listing.is_recent(now)]

    def _forget_expired(self, service: str, now: float) -> None:
        listings = self._listings[service]
        for version in [name for name, listing in listings.items() if not listing.is_recent(now)]:
            del listings[version]
