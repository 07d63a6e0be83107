"""The serving configuration: routes, the services behind them, tenants, limits of callers.

One document of one version, taken whole. A node replaces the document it has only by one of a
higher version, so that a configuration in force never reverts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property

from wharfcart.configuration.api_keys import KeyDigest, KeyIndex
from wharfcart.configuration.residence import ANYWHERE, Residence

DEFAULT_CALLER_TIMEOUT_S = 2.0


class RouteKind(StrEnum):
    """What may be done with a request whose outcome is not known."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class TrafficShare:
    """Part of a route's requests that goes to one service; weights are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host under one path prefix.

    Parameters
    ----------
    path_prefix: begins and ends with a slash.
    time_limit_s: longest time that a request is held.
    objective_s: time within which an answer (a stream: its first event) is wanted.
    max_waiting_tokens: batch: tokens of all items without a result, over all jobs of one tenant; 0
        for no limit.
    caller_timeout_s: a caller that has seen nothing of its answer for so long leaves.
    priority: 0 is the most urgent.
    max_backends: number of back ends that one request may be sent to.
    resumable: a broken stream may be taken up at another back end.
    give_up_after_s: batch: age of a job at which its items may be given up.
    public: callers need no key.
    residence: where the data of its requests may be.
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
        """Whether a request may run again although an earlier run may have had its effect."""
        return self.kind is RouteKind.REPEATABLE or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a back end of a service bears while it is cold.

    Attributes:
        requests_per_s: from all callers together; it fails at well above that.
        duration_s: how long it stays cold after a start.
    """

    requests_per_s: float
    duration_s: float


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service: a group of back ends that are copies of each other.

    Attributes:
        connection_limit: connections that one back end takes from all callers.
        slots: requests that a model server works on at once; 0 for other back ends.
        cold_limit: what one bears while it is cold; None where that is no less than usual.
    """

    name: str
    connection_limit: int
    slots: int = 0
    cold_limit: ColdLimit | None = None


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """A token bucket that holds over the whole fleet.

    Attributes:
        requests_per_s: requests a second.
        burst: requests that may come at once after a rest.
    """

    requests_per_s: float
    burst: float


@dataclass(frozen=True, slots=True)
class ServedTenant:
    """A tenant as the request path sees it.

    Attributes:
        keys: digests of its API keys.
        priority: 0 is the most urgent; None leaves it to the route.
        limit: of its requests, or None.
        residence: where the data of its requests may be.
    """

    name: str
    keys: tuple[KeyDigest, ...] = ()
    priority: int | None = None
    limit: RequestLimit | None = None
    residence: Residence = ANYWHERE


class TenantIndex:
    """The tenants of one configuration, by name and by key."""

    def __init__(self, tenants: Iterable[ServedTenant]) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self._keys = KeyIndex()
        for tenant in self.by_name.values():
            for digest in tenant.keys:
                self._keys.add(digest, tenant.name)

    def find_by_key(self, api_key: str) -> ServedTenant | None:
        """Return the tenant that has a key."""
        name = self._keys.tenant_of(api_key)
        return None if name is None else self.by_name[name]


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and for how long it may rest."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class ServingConfiguration:
    """One version of the whole configuration.

    Attributes:
        tenants: whose keys callers show; None where callers need no keys.
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
        """What a cold back end bears, by service; those left out bear as much as ever."""
        return {
            name: spec.cold_limit
            for name, spec in self.services.items()
            if spec.cold_limit is not None
        }

    def residence_of(self, route: Route, tenant: str) -> Residence:
        """Return where the data of a tenant's requests on a route may be; both bind."""
        found = None if self.tenants is None else self.tenants.by_name.get(tenant)
        return route.residence if found is None else route.residence.intersect(found.residence)

    @property
    def restricts_residence(self) -> bool:
        """Whether the data of any request must stay in some regions."""
        tenants = () if self.tenants is None else self.tenants.by_name.values()
        return any(route.residence.is_restricted for route in self.routes) or any(
            tenant.residence.is_restricted for tenant in tenants
        )

    def job_residences(self, host: str, tenant: str) -> frozenset[Residence]:
        """Return where the data of a tenant's batch jobs may be, for each route of a host."""
        routes = self._by_host.get(host, {}).values()
        return frozenset(
            self.residence_of(route, tenant) for route in routes if route.kind is RouteKind.BATCH
        )

    @cached_property
    def batch_residences(self) -> frozenset[Residence]:
        """Return where the data of batch jobs may be, for each of their routes and any tenant."""
        tenants = () if self.tenants is None else self.tenants.by_name.values()
        of_tenants = {tenant.residence for tenant in tenants} | {ANYWHERE}
        of_routes = {route.residence for route in self.routes if route.kind is RouteKind.BATCH}
        return frozenset(own.intersect(other) for own in of_routes for other in of_tenants)

    def limit_of(self, tenant: str) -> RequestLimit | None:
        """Return the limit of a tenant's requests; None for no limit or no such tenant."""
        found = None if self.tenants is None else self.tenants.by_name.get(tenant)
        return None if found is None else found.limit

    def has_public_jobs(self, host: str) -> bool:
        """Whether batch jobs may be submitted at a host without a key."""
        return host in self._hosts_with_public_jobs

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        Costs one look-up for each slash in the path, whatever the number of routes.
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
