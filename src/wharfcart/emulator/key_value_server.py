"""Emulated key-value service: a subset of the etcd v3 JSON gateway.

``/v3/kv/range``, ``/v3/kv/txn`` (compare on revisions, version and value; put, delete,
range),
``/v3/lease/grant|keepalive|revoke`` and ``/v3/watch``; keys and values in base64, 64-bit numbers as
strings (etcd API reference v3). Rate-limited: 429 beyond the limit.
"""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from wharfcart.admission.limits import TokenBucket
from wharfcart.emulator.faults import FaultSwitch
from wharfcart.emulator.web_server import WebServer

Handler = Callable[[web.Request], Awaitable[web.Response]]


@dataclass
class _Value:
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass
class _Store:
    revision: int = 1
    values: dict[bytes, _Value] = field(default_factory=dict)
    history: list[tuple[int, str, bytes, _Value | None]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # term, end
    next_lease: int = 1000


class KeyValueServer:
    """One emulated key-value service."""

    def __init__(self, calls_per_second: float, seed: int) -> None:
        self.switch = FaultSwitch(seed)
        self.calls = 0
        self._store = _Store()
        self._changed = asyncio.Condition()
        burst = max(10.0, calls_per_second)
        self._bucket = TokenBucket(calls_per_second, burst, burst, 0.0)
        app = web.Application()
        for name, handler in (
            ("kv/range", self._range),
            ("kv/txn", self._txn),
            ("lease/grant", self._grant),
            ("lease/keepalive", self._keep_alive),
            ("lease/revoke", self._revoke),
        ):
            app.router.add_post(f"/v3/{name}", self._rate_limited(handler))
        app.router.add_post("/v3/watch", self._watch)
        app.router.add_get("/control/calls", self._calls)
        self.switch.add_routes(app)
        self.server = WebServer(app)

    def _rate_limited(self, handler: Callable[[Any], dict[str, object]]) -> Handler:
        async def limited(request: web.Request) -> web.Response:
            self.calls += 1
            refused = await self.switch.apply_before(request)
            if refused is not None:
                return refused
            if not self._bucket.take(1.0, asyncio.get_running_loop().time()):
                return web.json_response({"error": "rate limit"}, status=429)
            self._expire_leases()
            answer = handler(await request.json())
            async with self._changed:
                self._changed.notify_all()
            self.switch.apply_after(request, is_write=request.path.endswith("/txn"))
            return web.json_response(answer)

        return limited

    async def _calls(self, request: web.Request) -> web.Response:
        return web.json_response({"calls": self.calls})

    # ---- reads ----

    def _range(self, body: dict[str, str]) -> dict[str, object]:
        start = base64.b64decode(body["key"])
        keys = self._keys_in_range(start, base64.b64decode(body.get("range_end", "")))
        least = int(body.get("min_mod_revision", 0))
        found = [key for key in keys if self._store.values[key].mod_revision >= least]
        limit = int(body.get("limit", 0)) or len(found)
        return {
            "header": self._header(),
            "kvs": [self._encode_value(key) for key in found[:limit]],
            "count": str(len(found)),
            "more": len(found) > limit,
        }

    def _keys_in_range(self, start: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [start] if start in self._store.values else []
        return sorted(key for key in self._store.values if start <= key < end or end == b"\0")

    def _encode_value(self, key: bytes) -> dict[str, str]:
        value = self._store.values[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(value.value).decode(),
            "create_revision": str(value.create_revision),
            "mod_revision": str(value.mod_revision),
            "version": str(value.version),
            "lease": str(value.lease),
        }

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._store.revision)}

    # ---- writes ----

    def _txn(self, body: dict[str, list[dict[str, object]]]) -> dict[str, object]:
        succeeded = all(self._compare(compare) for compare in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        self._store.revision += 1
        responses = [self._apply_operation(operation) for operation in operations]
        if not any(name != "response_range" for response in responses for name in response):
            self._store.revision -= 1
        return {"header": self._header(), "succeeded": succeeded, "responses": responses}

    def _compare(self, compare: dict[str, object]) -> bool:
        key = base64.b64decode(str(compare["key"]))
        value = self._store.values.get(key)
        target = str(compare["target"])
        actual: object
        wanted: object
        if target == "VALUE":
            actual = value.value if value else b""
            wanted = base64.b64decode(str(compare["value"]))
        else:
            name = {"MOD": "mod_revision", "CREATE": "create_revision", "VERSION": "version"}[
                target
            ]
            actual = getattr(value, name) if value else 0
            wanted = int(str(compare[name]))
        result = str(compare.get("result", "EQUAL"))
        return {"EQUAL": actual == wanted, "NOT_EQUAL": actual != wanted}[result]

    def _apply_operation(self, operation: dict[str, object]) -> dict[str, object]:
        name, body = next(iter(operation.items()))
        assert isinstance(body, dict)
        if name == "request_put":
            key = base64.b64decode(body["key"])
            self._put(key, base64.b64decode(body["value"]), int(body.get("lease", 0)))
            return {"response_put": {}}
        if name == "request_delete_range":
            key = base64.b64decode(body["key"])
            end = base64.b64decode(body.get("range_end", ""))
            doomed = self._keys_in_range(key, end)
            for each in doomed:
                del self._store.values[each]
                self._store.history.append((self._store.revision, "DELETE", each, None))
            return {"response_delete_range": {"deleted": str(len(doomed))}}
        return {"response_range": self._range(body)}

    def _put(self, key: bytes, value: bytes, lease: int) -> None:
        store = self._store
        known = store.values.get(key)
        created = known.create_revision if known else store.revision
        version = known.version + 1 if known else 1
        store.values[key] = _Value(value, created, store.revision, version, lease)
        store.history.append((store.revision, "PUT", key, store.values[key]))
        del store.history[:-10_000]

    # ---- leases ----

    def _grant(self, body: dict[str, str]) -> dict[str, object]:
        term = float(body["TTL"])
        lease = int(body.get("ID", 0)) or self._store.next_lease
        self._store.next_lease += 1
        self._store.leases[lease] = (term, asyncio.get_running_loop().time() + term)
        return {"header": self._header(), "ID": str(lease), "TTL": str(int(term))}

    def _keep_alive(self, body: dict[str, str]) -> dict[str, object]:
        lease = int(body["ID"])
        found = self._store.leases.get(lease)
        if found is None:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        term = found[0]
        self._store.leases[lease] = (term, asyncio.get_running_loop().time() + term)
        return {"result": {"ID": str(lease), "TTL": str(int(term))}}

    def _revoke(self, body: dict[str, str]) -> dict[str, object]:
        self._drop_lease(int(body["ID"]))
        return {"header": self._header()}

    def _expire_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease, (_, end) in list(self._store.leases.items()):
            if end <= now:
                self._drop_lease(lease)

    def _drop_lease(self, lease: int) -> None:
        self._store.leases.pop(lease, None)
        held = [key for key, value in self._store.values.items() if value.lease == lease]
        if held:
            self._store.revision += 1
        for key in held:
            del self._store.values[key]
            self._store.history.append((self._store.revision, "DELETE", key, None))

    # ---- watch ----

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        create = (await request.json())["create_request"]
        start = base64.b64decode(create["key"])
        end = base64.b64decode(create.get("range_end", ""))
        seen = int(create.get("start_revision", self._store.revision + 1)) - 1
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            events = [
                self._encode_event(kind, key, value)
                for revision, kind, key, value in self._store.history
                if revision > seen and (key == start or start <= key < end)
            ]
            seen = self._store.revision
            if events:
                message = {"result": {"header": self._header(), "events": events}}
                await response.write(json.dumps(message).encode() + b"\n")
            async with self._changed:
                await self._changed.wait()

    def _encode_event(self, kind: str, key: bytes, value: _Value | None) -> dict[str, object]:
        pair = {"key": base64.b64encode(key).decode()}
        if value is not None:
            pair["value"] = base64.b64encode(value.value).decode()
            pair["mod_revision"] = str(value.mod_revision)
        return {"type": kind, "kv": pair}
