"""What the operator and the servers write into the metadata store, in the product's terms."""

import json
from dataclasses import replace
from typing import Any

from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.api_keys import digest_of
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import residence_in
from wharfcart.configuration.serving import (
    DEFAULT_CALLER_TIMEOUT_S,
    CallerLimits,
    ColdLimit,
    RequestLimit,
    Route,
    RouteKind,
    ServedTenant,
    ServiceSpec,
    ServingConfiguration,
    TenantIndex,
    TrafficShare,
)
from wharfcart.platform import server_entry

_KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}
DEFAULT_CONNECTION_LIMIT = 100
PATIENCE_IN_OBJECTIVES = 4
PATIENCE_IN_GAPS = 8


def configuration_from(value: bytes) -> ServingConfiguration:
    """Read the operator's configuration.

    Raises
    ------
    ValueError, LookupError: the document is not of the form that the platform accepts.
    """
    document = json.loads(value)
    limits = document.get("limits", {})
    defaults = CallerLimits()
    return ServingConfiguration(
        version=int(document["version"]),
        routes=tuple(_route(route) for route in document["routes"]),
        services={service["name"]: _service(service) for service in document["services"]},
        limits=CallerLimits(
            int(limits.get("maxHeaderBytes", defaults.max_header_bytes)),
            int(limits.get("maxBodyBytes", defaults.max_body_bytes)),
            limits.get("idleTimeoutMs", defaults.idle_timeout_s * 1000) / 1000,
        ),
        tenants=_tenants(document.get("tenants")),
    )


def instance_from(change: KeyChange) -> BackendInstance | None:
    """Read a server's entry; None if it was removed or can't be read."""
    try:
        return server_entry.instance_from(change)
    except server_entry.BadEntryError:
        return None


def was_accepting(removal: KeyChange) -> bool | None:
    """Tell whether a server whose entry was removed took requests; None if that is not known."""
    if removal.last_value is None:
        return None
    instance = instance_from(replace(removal, value=removal.last_value))
    return None if instance is None else instance.accepting


def retire_status(state: str) -> bytes:
    """Write how far the emptying of a storage machine has come."""
    return json.dumps({"state": state}).encode()


RETIRE_RUNNING = retire_status("running")
RETIRE_DONE = retire_status("succeeded")


def _service(service: dict[str, Any]) -> ServiceSpec:
    # 0 and a missing field both stand for no limit.
    cold_per_s = float(service.get("coldPerS") or 0)
    cold_s = float(service.get("warmupS") or 0)
    return ServiceSpec(
        service["name"],
        int(service.get("maxConnections") or DEFAULT_CONNECTION_LIMIT),
        int(service.get("engine", {}).get("slots", 0)),
        ColdLimit(cold_per_s, cold_s) if cold_per_s > 0 else None,
    )


def _tenants(entries: list[dict[str, Any]] | None) -> TenantIndex | None:
    return None if entries is None else TenantIndex(_tenant(entry) for entry in entries)


def _tenant(entry: dict[str, Any]) -> ServedTenant:
    # 0 and a missing field both stand for no limit.
    per_s = float(entry.get("ratePerS") or 0)
    priority = entry.get("priority")
    return ServedTenant(
        name=entry["name"],
        keys=tuple(digest_of(api_key) for api_key in entry.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        limit=RequestLimit(per_s, float(entry.get("burst") or 0)) if per_s > 0 else None,
        residence=residence_in(entry.get("allowedRegions")),
    )


def _patience_s(route: dict[str, Any]) -> float:
    """Return how long a caller waits for the first event of a stream, as the pages tell it."""
    objective_s = float(route.get("targetLatencyMs") or 0) / 1000
    longest_gap_s = float(route.get("gapAimMs") or 0) / 1000
    return max(
        DEFAULT_CALLER_TIMEOUT_S,
        PATIENCE_IN_OBJECTIVES * objective_s,
        PATIENCE_IN_GAPS * longest_gap_s,
    )


def _route(route: dict[str, Any]) -> Route:
    shares = route.get("trafficSplit") or [{"backend": route["backend"], "weight": 1}]
    return Route(
        name=route["name"],
        host=route["hostname"],
        path_prefix=route["pathPrefix"],
        kind=_KINDS[route["kind"]],
        shares=tuple(TrafficShare(share["backend"], float(share["weight"])) for share in shares),
        time_limit_s=float(route.get("timeoutMs") or 60_000) / 1000,
        objective_s=float(route.get("targetLatencyMs") or 1000) / 1000,
        priority=int(route.get("priority", 0)),
        max_backends=int(route.get("maxAttempts") or 1),
        resumable=bool(route.get("resumable", False)),
        completion_objective_s=float(route.get("targetCompletionMs") or 0) / 1000,
        give_up_after_s=float(route.get("maxWaitS") or 0),
        caller_timeout_s=_patience_s(route),
        max_waiting_tokens=int(route.get("maxQueuedTokens") or 0),
        public=bool(route.get("public", False)),
        residence=residence_in(route.get("allowedRegions")),
    )
