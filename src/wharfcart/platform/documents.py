"""Parsing of the documents that the operator and the servers write to the metadata store."""

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

_ROUTE_KINDS = {
    "safe": RouteKind.REPEATABLE,
    "unsafe": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
    "batch": RouteKind.BATCH,
}
DEFAULT_CONNECTION_LIMIT = 100
CALLER_TIMEOUT_PER_OBJECTIVE = 4
CALLER_TIMEOUT_PER_GAP = 8


def parse_configuration(value: bytes) -> ServingConfiguration:
    """Parse the operator's configuration.

    Raises:
        ValueError: the document is not valid JSON, or a value is malformed.
        LookupError: a required field is missing, or the kind of a route is unknown.
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


def parse_instance(change: KeyChange) -> BackendInstance | None:
    """Parse a server's entry; return None if it was removed or is invalid."""
    try:
        return server_entry.parse_instance(change)
    except server_entry.BadEntryError:
        return None


def was_accepting(removal: KeyChange) -> bool | None:
    """Return whether a server accepted requests before its entry was removed; None if unknown."""
    if removal.last_value is None:
        return None
    instance = parse_instance(replace(removal, value=removal.last_value))
    return None if instance is None else instance.accepting


def encode_retire_status(state: str) -> bytes:
    """Return the JSON of a storage node's retirement status."""
    return json.dumps({"state": state}).encode()


RETIRE_RUNNING = encode_retire_status("running")
RETIRE_DONE = encode_retire_status("succeeded")


def _service(service: dict[str, Any]) -> ServiceSpec:
    # 0 and a missing field both mean no limit.
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
    # 0 and a missing field both mean no limit.
    per_s = float(entry.get("ratePerS") or 0)
    priority = entry.get("priority")
    return ServedTenant(
        name=entry["name"],
        keys=tuple(digest_of(api_key) for api_key in entry.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
        limit=RequestLimit(per_s, float(entry.get("burst") or 0)) if per_s > 0 else None,
        residence=residence_in(entry.get("allowedRegions")),
    )


def _caller_timeout_s(route: dict[str, Any]) -> float:
    """Return how long a caller waits for the first event of a stream."""
    objective_s = float(route.get("targetLatencyMs") or 0) / 1000
    longest_gap_s = float(route.get("gapAimMs") or 0) / 1000
    return max(
        DEFAULT_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_PER_OBJECTIVE * objective_s,
        CALLER_TIMEOUT_PER_GAP * longest_gap_s,
    )


def _route(route: dict[str, Any]) -> Route:
    shares = route.get("trafficSplit") or [{"backend": route["backend"], "weight": 1}]
    return Route(
        name=route["name"],
        host=route["hostname"],
        path_prefix=route["pathPrefix"],
        kind=_ROUTE_KINDS[route["kind"]],
        shares=tuple(TrafficShare(share["backend"], float(share["weight"])) for share in shares),
        time_limit_s=float(route.get("timeoutMs") or 60_000) / 1000,
        objective_s=float(route.get("targetLatencyMs") or 1000) / 1000,
        priority=int(route.get("priority", 0)),
        max_backends=int(route.get("maxAttempts") or 1),
        resumable=bool(route.get("resumable", False)),
        completion_objective_s=float(route.get("targetCompletionMs") or 0) / 1000,
        give_up_after_s=float(route.get("maxWaitS") or 0),
        caller_timeout_s=_caller_timeout_s(route),
        max_waiting_tokens=int(route.get("maxQueuedTokens") or 0),
        public=bool(route.get("public", False)),
        residence=residence_in(route.get("allowedRegions")),
    )
