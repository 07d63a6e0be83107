"""Emulated metadata store of the users' platform: keys, revisions, watches, transactions.

Pages, conditions, forgotten history and rate limits as its description tells; leases are not
served, since wharfcart takes none.
"""

import asyncio
import base64
import json
import math
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from wharfcart.emulator.faults import FaultSwitch
from wharfcart.emulator.web_server import WebServer
from wharfcart.platform import names

MAX_KEYS_PER_PAGE = 500
MAX_HISTORY_CHANGES = 10_000


@dataclass
class StoredItem:
    """One key."""

    value: bytes
    revision: int
    create_revision: int


@dataclass
class StoreState:
    """All keys and the history of changes."""

    revision: int = 1
    items: dict[str, StoredItem] = field(default_factory=dict)
    history: list[tuple[int, str, bytes | None]] = field(default_factory=list)
    compacted_revision: int = 0

    def write(self, puts: dict[str, bytes], removes: list[str]) -> int:
        """Write and remove keys at one new revision."""
        self.revision += 1
        for key, value in puts.items():
            made = self.items[key].create_revision if key in self.items else self.revision
            self.items[key] = StoredItem(value, self.revision, made)
            self.history.append((self.revision, key, value))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        del self.history[:-MAX_HISTORY_CHANGES]
        return self.revision

    def compact_history(self) -> None:
        """Drop the history, so that every watch must begin anew."""
        self.compacted_revision = self.revision
        self.history.clear()


NODE_KEY = web.AppKey("node", str)


class MetadataStoreServer:
    """One emulated store, with an address of its own for each node.

    Parameters
    ----------
    refused: ids of the nodes that are turned away.
    silent: ids of the nodes whose calls are never answered.
    """

    def __init__(self, seed: int = 1) -> None:
        self.switch = FaultSwitch(seed)
        self.state = StoreState()
        self.call_count = 0
        self.refused_node_ids: set[str] = set()
        self.unanswered_node_ids: set[str] = set()
        self._changed = asyncio.Condition()
        self._servers: list[WebServer] = []
        self._last_list_at: dict[str, float] = {}

    async def open_endpoint(self, node_id: str) -> str:
        """Open an address for one node and return it."""
        app = web.Application()
        app[NODE_KEY] = node_id
        app.router.add_get(names.READ_KEY, self._read_key)
        app.router.add_get(names.READ_RANGE, self._read_range)
        app.router.add_get(names.WATCH, self._watch)
        app.router.add_post(names.TRANSACTION, self._transaction)
        server = WebServer(app)
        await server.start("127.0.0.1", 0)
        self._servers.append(server)
        return server.address

    async def stop(self) -> None:
        """Close every address."""
        await asyncio.gather(*(server.stop() for server in self._servers))

    async def put(self, key: str, value: object) -> int:
        """Write a JSON value as the operator or a server does."""
        revision = self.state.write({key: json.dumps(value).encode()}, [])
        await self._notify()
        return revision

    async def remove(self, key: str) -> None:
        """Remove a key as a server that left does."""
        self.state.write({}, [key])
        await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _apply_faults(self, request: web.Request) -> web.Response | None:
        self.call_count += 1
        node_id = request.app[NODE_KEY]
        if node_id in self.unanswered_node_ids:
            await asyncio.sleep(3600)
        if node_id in self.refused_node_ids:
            return web.json_response({"error": "refused"}, status=503)
        return await self.switch.apply_before(request)

    async def _read_key(self, request: web.Request) -> web.Response:
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        key = request.query["key"]
        item = self.state.items.get(key)
        if item is None:
            return web.json_response({"at": self.state.revision}, status=404)
        return web.json_response(_encode_item(key, item) | {"at": self.state.revision})

    def seconds_since_list(self, node_id: str) -> float:
        """Return the seconds since a node last listed the keys; infinite if it never did."""
        listed_at = self._last_list_at.get(node_id, -math.inf)
        return asyncio.get_running_loop().time() - listed_at

    async def _read_range(self, request: web.Request) -> web.Response:
        self._last_list_at[request.app[NODE_KEY]] = asyncio.get_running_loop().time()
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        prefix = request.query.get("pathPrefix", "")
        after = request.query.get("after", "")
        keys = sorted(key for key in self.state.items if key.startswith(prefix) and key > after)
        page = keys[:MAX_KEYS_PER_PAGE]
        return web.json_response(
            {
                "requests": [_encode_item(key, self.state.items[key]) for key in page],
                "more": len(keys) > len(page),
                "at": self.state.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        after = int(request.query["after"])
        until = asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.state.compacted_revision:
                return web.json_response({"at": self.state.revision}, status=410)
            events = [
                _encode_event(change)
                for change in self.state.history
                if change[0] > after and change[1].startswith(request.query["pathPrefix"])
            ]
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return web.json_response({"events": events, "at": self.state.revision})
            await self._wait_for_change(left_s)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait()
        except TimeoutError:
            return

    async def _transaction(self, request: web.Request) -> web.Response:
        refused = await self._apply_faults(request)
        if refused is not None:
            return refused
        body = await request.json()
        for row in body["expectedRevision"]:
            item = self.state.items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                return web.json_response({"requests": []}, status=412)
        puts = {entry["key"]: base64.b64decode(entry["value"]) for entry in body["put"]}
        revision = self.state.write(puts, body["remove"])
        await self._notify()
        self.switch.apply_after(request, is_write=True)
        return web.json_response({"revision": revision})


def _encode_item(key: str, item: StoredItem) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "made": item.create_revision,
        "lease": 0,
    }


def _encode_event(change: tuple[int, str, bytes | None]) -> dict[str, Any]:
    revision, key, value = change
    if value is None:
        return {"key": key, "revision": revision, "gone": True}
    return {"key": key, "revision": revision, "value": base64.b64encode(value).decode()}
