"""Configurations as the users' operator writes them into the metadata store."""

from typing import Any


def example_configuration(
    version: int,
    host: str,
    stream_service: str,
    plain_service: str,
    added_routes: dict[str, dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
) -> dict[str, Any]:
    """Return a configuration with a route of each kind.

    Parameters
    ----------
    added: further routes by name, which is their prefix too; the fields that differ.
    tenants: whose keys callers must show; None where they need none.
    """
    common = {"hostname": host, "priority": 0, "targetLatencyMs": 500}
    streaming = {"kind": "streaming", "timeoutMs": 8000, "backend": stream_service}
    batch = {"kind": "batch", "timeoutMs": 30_000, "backend": stream_service}
    plain = {"timeoutMs": 4000, "backend": plain_service, "maxAttempts": 2}
    routes: dict[str, dict[str, Any]] = {
        "chat": streaming | {"maxAttempts": 1, "resumable": False},
        "read": streaming | {"maxAttempts": 3, "resumable": True},
        "look": plain | {"kind": "safe"},
        "charge": plain | {"kind": "unsafe", "timeoutMs": 2000},
        "jobs": batch | {"maxAttempts": 3, "targetCompletionMs": 20_000, "maxWaitS": 60},
    }
    document: dict[str, Any] = {
        "version": version,
        "routes": [
            common | {"name": name, "pathPrefix": f"/{name}/"} | fields
            for name, fields in (routes | added_routes).items()
        ],
        "services": [
            {"name": stream_service, "maxConnections": 100, "engine": {"slots": 8}},
            {"name": plain_service, "maxConnections": 100},
        ],
        "limits": {},
    }
    return document if tenants is None else document | {"tenants": tenants}


def example_tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a tenant with its keys; further fields are its priority and its limit."""
    return {"name": name, "apiKeys": list(keys)} | fields


def repeatable_route_fields(service: str) -> dict[str, Any]:
    """Return the fields of a further route that may be repeated."""
    return {"kind": "safe", "timeoutMs": 2000, "backend": service, "maxAttempts": 2}
