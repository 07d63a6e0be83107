"""The serving configuration: routes, their services, tenants and limits for callers.

A configuration is one document with a version. A node replaces its configuration only by one of a
higher version, so that it never reverts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from wharfcart.configuration.api_keys import KeyDigest, KeyIndex
from wharfcart.configuration.residence import ANYWHERE, Residence

DEFAULT_CALLER_TIMEOUT_S = 2.0


class RouteKind(StrEnum):
    """How requests of a route are handled, in particular after an unknown outcome."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """Relative weight of a service among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host under one path prefix.

    Attributes:
        name: name of the route.
        host: host of the requests.
        path_prefix: begins and ends with a slash.
        kind: how requests are handled.
        shares: services of the route with their weights.
        time_limit_s: maximum time for which a request is held.
        objective_s: target time to the answer, or to the first event of a stream.
        priority: 0 is the most urgent.
        max_backends: number of back ends to which one request may be sent.
        resumable: whether an interrupted stream may resume at another back end.
        completion_objective_s: batch: target time to the completion of a job.
        give_up_after_s: batch: age of a job at which its items may be given up.
        caller_timeout_s: time without any part of the answer after which callers are expected to
            disconnect.
        max_waiting_tokens: batch: limit of the tokens of unfinished items over all jobs of one
            tenant; 0 for no limit.
        public: whether callers need no API key.
        residence: regions that are allowed for the data of its requests.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    shares: tuple[TrafficShare, ...]
    time_limit_s: float
    objective_s: float
    priority: int = 0
    max_backends: int = 1
    resumable: bool = False
    completion_objective_s: float = 0.0
    give_up_after_s: float = 0.0
    caller_timeout_s: float = DEFAULT_CALLER_TIMEOUT_S
    max_waiting_tokens: int = 0
    public: bool = False
    residence: Residence = ANYWHERE

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after an attempt with an unknown outcome."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """Request rate that a back end of a service sustains while it is cold.

    Attributes:
        requests_per_s: rate of all callers together; well above it a cold back end fails.
        duration_s: how long a back end stays cold after a start.
    """

    requests_per_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service: a group of identical back ends.

    Attributes:
        name: name of the service.
        connection_limit: connections that one back end accepts from all callers.
        slots: requests that a model server processes concurrently; 0 for other back ends.
        cold_limit: limit of a cold back end; None if cold back ends have the normal capacity.
    """

    name: str
    connection_limit: int
    slots: int = 0
    cold_limit: ColdLimit | None = None


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """A token bucket that applies to the whole fleet.

    Attributes:
        requests_per_s: refill rate.
        burst: capacity of the bucket, in requests.
    """

    requests_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class ServedTenant:
    """A tenant of the serving configuration.

    Attributes:
        name: name of the tenant.
        keys: digests of its API keys.
        priority: 0 is the most urgent; None uses the priority of the route.
        limit: limit of its requests, or None.
        residence: regions that are allowed for the data of its requests.
    """

    name: str
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None
    limit: RequestLimit | None = None
    residence: Residence = ANYWHERE


class TenantIndex:
    """Index of the tenants of one configuration, by name and by API key."""

    def __init__(self, tenants: Iterable[ServedTenant]) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self._keys = KeyIndex()
        for tenant in self.by_name.values():
            for digest in tenant.keys:
                self._keys.add(digest, tenant.name)

    def find_by_key(self, api_key: str) -> ServedTenant | None:
        """Return the tenant of an API key, or None."""
        name = self._keys.tenant_of(api_key)
        return None if name is None else self.by_name[name]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of request sizes and of the idle time of caller connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class ServingConfiguration:
    """One version of the complete serving configuration.

    Attributes:
        version: increases with each configuration.
        routes: all routes.
        services: services by name.
        limits: limits for callers.
        tenants: tenants with their API keys; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    tenants: TenantIndex | None = None
    _by_host: dict[str, dict[str, Route]] = field(init=False, repr=False, compare=False)
    _hosts_with_public_jobs: frozenset[str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.path_prefix] = route
        object.__setattr__(self, "_by_host", by_host)
        with_public_jobs = frozenset(
            route.host for route in self.routes if route.public and route.kind is RouteKind.BATCH
        )
        object.__setattr__(self, "_hosts_with_public_jobs", with_public_jobs)

    @property
    def batch_services(self) -> frozenset[str]:
        """Services that run items of batch jobs."""
        return frozenset(
            share.service
            for route in self.routes
            if route.kind is RouteKind.BATCH
            for share in route.shares
        )

    @property
    def cold_limits(self) -> dict[str, ColdLimit]:
        """Limits of cold back ends, by service; services without such a limit are left out."""
        return {
            name: spec.cold_limit
            for name, spec in self.services.items()
            if spec.cold_limit is not None
        }

    def residence_of(self, route: Route, tenant: str) -> Residence:
        """Return the regions that both the route and the tenant allow."""
        found = None if self.tenants is None else self.tenants.by_name.get(tenant)
        return route.residence if found is None else route.residence.intersect(found.residence)

    @property
    def restricts_residence(self) -> bool:
        """Whether any route or tenant has a restricted residence."""
        tenants = () if self.tenants is None else self.tenants.by_name.values()
        return any(route.residence.is_restricted for route in self.routes) or any(
            tenant.residence.is_restricted for tenant in tenants
        )

    def job_residences(self, host: str, tenant: str) -> frozenset[Residence]:
        """Return the residences of a tenant's batch jobs over all routes of a host."""
        routes = self._by_host.get(host, {}).values()
        return frozenset(
            self.residence_of(route, tenant) for route in routes if route.kind is RouteKind.BATCH
        )

    @cached_property
    def batch_residences(self) -> frozenset[Residence]:
        """Residences of batch jobs over all batch routes and tenants."""
        tenants = () if self.tenants is None else self.tenants.by_name.values()
        of_tenants = {tenant.residence for tenant in tenants} | {ANYWHERE}
        of_routes = {route.residence for route in self.routes if route.kind is RouteKind.BATCH}
        return frozenset(own.intersect(other) for own in of_routes for other in of_tenants)

    def limit_of(self, tenant: str) -> RequestLimit | None:
        """Return the request limit of a tenant; None if it has none or does not exist."""
        found = None if self.tenants is None else self.tenants.by_name.get(tenant)
        return None if found is None else found.limit

    def has_public_jobs(self, host: str) -> bool:
        """Whether batch jobs may be submitted to a host without an API key."""
        return host in self._hosts_with_public_jobs

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        Needs one lookup per slash in the path, independent of the number of routes.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
