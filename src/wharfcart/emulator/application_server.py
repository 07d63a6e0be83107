"""Emulated application server: look-ups and effects, with a ledger that shows doubled effects.

``GET`` paths are look-ups. ``POST`` paths record one effect a call under the caller's
``X-Request-Id``, however often it comes: the server protects nobody from a double. ``POST
/effects/{id}/settle`` tells what became of an id and refuses it ever after if it never came.
"""

import asyncio
import hashlib
import random
from dataclasses import dataclass

from aiohttp import web

from wharfcart.emulator.faults import FaultSwitch
from wharfcart.emulator.web_server import WebServer

MEAN_SERVICE_S = 0.004
MAX_CONCURRENT_REQUESTS = 64


@dataclass(frozen=True)
class Effect:
    """One recorded effect."""

    request_id: str
    path: str
    business_key: str
    digest: str


class ApplicationServer:
    """One emulated application server. Servers of one application may share a ledger."""

    def __init__(
        self, server_id: str, application: str, ledger: list[Effect], speed: float, seed: int
    ) -> None:
        self.server_id = server_id
        self.application = application
        self.ledger = ledger
        self.switch = FaultSwitch(seed)
        self._speed = speed
        self._random = random.Random(seed)
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._responses_by_id: dict[str, dict[str, object]] = {}
        self._closed_ids: set[str] = set()
        self._running_ids: set[str] = set()
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/status", self._status)
        app.router.add_get("/ledger", self._ledger)
        app.router.add_post("/effects/{id}/settle", self._resolve_outcome)
        self.switch.add_routes(app)
        app.router.add_get("/{path:.*}", self._look_up)
        app.router.add_post("/{path:.*}", self._apply_effect)
        self.server = WebServer(app)

    @property
    def address(self) -> str:
        """``host:port``."""
        return self.server.address

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await self.server.start(host, port)

    async def stop(self) -> None:
        """Stop at once."""
        await self.server.stop()

    async def _simulate_work(self) -> None:
        async with self._slots:
            seconds = MEAN_SERVICE_S * self._random.lognormvariate(0.0, 0.3)
            await asyncio.sleep(seconds * self.switch.faults.slow_factor / self._speed)

    async def _look_up(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        await self._simulate_work()
        path = request.match_info["path"]
        answer: dict[str, object] = {"path": path, "status": "ok", "server": self.server_id}
        return _json_response(request, answer)

    async def _apply_effect(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        if request_id in self._closed_ids:
            headers = {"X-Outcome": "not_run", "X-Request-Id": request_id}
            return web.json_response({"error": "closed"}, status=409, headers=headers)
        self._running_ids.add(request_id)
        try:
            await self._simulate_work()
        finally:
            self._running_ids.discard(request_id)
        path = request.match_info["path"]
        digest = hashlib.sha256(body).hexdigest()
        business_key = request.headers.get("X-Business-Key", digest)
        self.ledger.append(Effect(request_id, path, business_key, digest))
        answer: dict[str, object] = {
            "path": path,
            "receipt": digest[:16],
            "request_id": request_id,
        }
        self._responses_by_id[request_id] = answer
        self.switch.apply_after(request)
        return _json_response(request, answer)

    async def _resolve_outcome(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        request_id = request.match_info["id"]
        answer = self._responses_by_id.get(request_id)
        if request_id in self._running_ids:
            return web.json_response({"state": "running"})
        if answer is None:
            self._closed_ids.add(request_id)
            return web.json_response({"state": "not_run"})
        return web.json_response({"state": "completed", "response": answer})

    async def _status(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        return web.json_response({"id": self.server_id, "application": self.application})

    async def _ledger(self, request: web.Request) -> web.Response:
        return web.json_response([effect.__dict__ for effect in self.ledger])


def _json_response(request: web.Request, body: dict[str, object]) -> web.Response:
    request_id = request.headers.get("X-Request-Id", "")
    return web.json_response(body, headers={"X-Request-Id": request_id})
