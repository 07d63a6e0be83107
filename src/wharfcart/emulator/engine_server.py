"""Emulated engine: OpenAI HTTP API with streams, and the engine's control calls.

Calls besides the OpenAI ones (docs/operations/emulator.md):

* ``X-Request-Id`` names a request and is repeated in the answer; events of a stream are numbered by
  their SSE ``id``; ``GET /v1/streams/{id}`` with ``Last-Event-ID`` resumes, ``DELETE`` cancels.
* ``GET /load`` lagging load report, ``GET /status`` what is loaded, ``GET /events`` cache events.
* ``POST /control/orders`` fenced orders, ``/control/kv-cache`` export and import.
"""

import asyncio
import json
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp
from aiohttp import web

from wharfcart.emulator.engine_core import EngineCore, EngineModel, EngineRequest, StreamState
from wharfcart.emulator.faults import FaultSwitch, drop_connection
from wharfcart.emulator.web_server import WebServer
from wharfcart.observability.tasks import BackgroundTasks

LOAD_LAG_S = 1.0
EVENT_LAG_S = 2.0
EVENT_LOSS_PROBABILITY = 0.05
DISCONNECT_GRACE_S = 5.0
FINISHED_TTL_S = 120.0


@dataclass
class LoadedModel:
    """What an engine holds, and the newest fence it obeyed."""

    model_name: str = ""
    version: str = ""
    adapters: set[str] = field(default_factory=set)
    role: str = "mixed"
    is_loading: bool = False
    fencing_token: tuple[int, int] = (0, 0)


class EngineServer:
    """One emulated engine."""

    def __init__(
        self, engine_id: str, model: EngineModel, speed: float, weight_store: str, seed: int
    ) -> None:
        self.engine_id = engine_id
        self.core = EngineCore(model)
        self.loaded_model = LoadedModel()
        self.switch = FaultSwitch(seed)
        self._speed = speed
        self._weight_store = weight_store
        self._random = random.Random(seed)
        self._work_available = asyncio.Event()
        self._tokens_changed = asyncio.Condition()
        self._reader_counts: dict[str, int] = {}
        self._load_reports: list[tuple[float, dict[str, int]]] = []
        self._cache_event_log: list[tuple[float, int, str, str]] = []
        self._event_sequence = 0
        self._tasks = BackgroundTasks()
        self.server = WebServer(self._build_app())

    @property
    def address(self) -> str:
        """``host:port``."""
        return self.server.address

    async def start(self, host: str, port: int) -> None:
        """Listen and start stepping."""
        await self.server.start(host, port)
        self._tasks.spawn(self._step_loop())

    async def stop(self) -> None:
        """Stop at once."""
        self._tasks.cancel()
        await self.server.stop()

    def _build_app(self) -> web.Application:
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_post("/v1/completions", self._completion)
        app.router.add_get("/v1/streams/{id}", self._resume)
        app.router.add_delete("/v1/streams/{id}", self._cancel)
        app.router.add_get("/v1/models", self._models)
        app.router.add_get("/load", self._load)
        app.router.add_get("/status", self._status)
        app.router.add_get("/events", self._cache_events)
        app.router.add_post("/control/orders", self._on_command)
        app.router.add_get("/control/kv-cache", self._export_cache)
        app.router.add_post("/control/kv-cache", self._import_cache)
        self.switch.add_routes(app)
        return app

    # ---- stepping ----

    async def _step_loop(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            if not self.core.is_busy:
                self._work_available.clear()
                await self._work_available.wait()
                due = loop.time()
            result = self.core.begin_step()
            due += result.seconds * self.switch.faults.slow_factor / self._speed
            await asyncio.sleep(max(0.0, due - loop.time()))
            self.core.finish_step(result, due)
            self._record_reports(loop.time())
            self.core.remove_finished(loop.time() - FINISHED_TTL_S)
            async with self._tokens_changed:
                self._tokens_changed.notify_all()

    def _record_reports(self, now: float) -> None:
        for kind, block in self.core.cache.events:
            self._event_sequence += 1
            if self._random.random() >= EVENT_LOSS_PROBABILITY:
                self._cache_event_log.append((now, self._event_sequence, kind, block))
        self.core.cache.events.clear()
        del self._cache_event_log[:-10_000]
        report = {"running": self.core.running_count, "waiting": self.core.waiting_count}
        self._load_reports.append((now, report))
        del self._load_reports[:-1000]

    # ---- inference ----

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._infer(request, chat=True)

    async def _completion(self, request: web.Request) -> web.StreamResponse:
        return await self._infer(request, chat=False)

    async def _infer(self, request: web.Request, chat: bool) -> web.StreamResponse:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "")
        target = str(body.get("model", ""))
        if target != self.loaded_model.model_name and target not in self.loaded_model.adapters:
            return _not_run_response(404, f"model {target} is not loaded")
        prompt, question = _parse_prompt(body, chat)
        work = EngineRequest(
            request_id,
            target,
            prompt,
            question,
            int(body.get("max_tokens") or 256),
            int(body.get("priority", 0)),
        )
        if not self.core.submit(work):
            return _not_run_response(503, "engine is full or knows the request")
        self._work_available.set()
        self.switch.apply_after(request)
        if body.get("stream"):
            return await self._stream(request, work, 0, chat)
        return await self._complete_response(work, chat)

    async def _complete_response(self, work: EngineRequest, chat: bool) -> web.Response:
        async for _ in self._token_positions(work, 0):
            pass
        if work.state is not StreamState.FINISHED:
            return _not_run_response(499, "cancelled")
        text = " ".join(work.tokens)
        choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
        choice |= {"message": {"role": "assistant", "content": text}} if chat else {"text": text}
        usage = {
            "prompt_tokens": work.prompt_tokens,
            "completion_tokens": len(work.tokens),
            "total_tokens": work.prompt_tokens + len(work.tokens),
            "prompt_tokens_details": {"cached_tokens": work.cached_tokens},
        }
        answer = {
            "id": work.request_id,
            "object": "chat.completion" if chat else "text_completion",
            "created": 0,
            "model": work.target,
            "choices": [choice],
            "usage": usage,
        }
        return web.json_response(answer, headers={"X-Request-Id": work.request_id})

    async def _stream(
        self, request: web.Request, work: EngineRequest, first_position: int, chat: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Request-Id": work.request_id}
        )
        await response.prepare(request)
        cut_at = first_position + 3 if self.switch.consume_stream_cut() else -1
        async for position in self._token_positions(work, first_position):
            if position == cut_at:
                drop_connection(request)
            text = work.tokens[position] + (" " if position + 1 < 10_000 else "")
            await response.write(_encode_event(work, position, text, chat))
        if work.state is StreamState.FINISHED:
            await response.write(_encode_event(work, len(work.tokens), None, chat))
            await response.write(f"id: {len(work.tokens) + 1}\ndata: [DONE]\n\n".encode())
        await response.write_eof()
        return response

    async def _token_positions(
        self, work: EngineRequest, first_position: int
    ) -> AsyncIterator[int]:
        """Yield positions of tokens as they come; ends when the request ends or is cancelled."""
        self._reader_counts[work.request_id] = self._reader_counts.get(work.request_id, 0) + 1
        position = first_position
        try:
            while True:
                while position < len(work.tokens):
                    yield position
                    position += 1
                if work.state in (StreamState.FINISHED, StreamState.PAUSED):
                    return
                async with self._tokens_changed:
                    await self._tokens_changed.wait()
        finally:
            self._reader_counts[work.request_id] -= 1
            if self._reader_counts[work.request_id] == 0:
                del self._reader_counts[work.request_id]
                if work.state in (StreamState.RUNNING, StreamState.WAITING):
                    self._tasks.spawn(self._cancel_if_abandoned(work))

    async def _cancel_if_abandoned(self, work: EngineRequest) -> None:
        await asyncio.sleep(DISCONNECT_GRACE_S / self._speed)
        if work.request_id not in self._reader_counts:
            self.core.cancel(work.request_id)

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        work = self.core.resume(request.match_info["id"])
        if work is None:
            return _not_run_response(404, "no such stream")
        self._work_available.set()
        first = int(request.headers.get("Last-Event-ID", "-1")) + 1
        chat = request.query.get("chat", "1") == "1"
        if request.query.get("stream", "1") == "0":
            return await self._complete_response(work, chat)
        return await self._stream(request, work, first, chat)

    async def _cancel(self, request: web.Request) -> web.Response:
        found = self.core.cancel(request.match_info["id"])
        async with self._tokens_changed:
            self._tokens_changed.notify_all()
        return web.json_response({"cancelled": found})

    # ---- reports ----

    async def _models(self, request: web.Request) -> web.Response:
        names = sorted({self.loaded_model.model_name, *self.loaded_model.adapters} - {""})
        data = [{"id": name, "object": "model"} for name in names]
        return web.json_response({"object": "list", "data": data})

    async def _load(self, request: web.Request) -> web.Response:
        horizon = asyncio.get_running_loop().time() - LOAD_LAG_S / self._speed
        old = [report for at, report in self._load_reports if at <= horizon]
        return web.json_response(old[-1] if old else {"running": 0, "waiting": 0})

    async def _status(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        loaded = self.loaded_model
        return web.json_response(
            {
                "id": self.engine_id,
                "model": loaded.model_name,
                "version": loaded.version,
                "adapters": sorted(loaded.adapters),
                "role": loaded.role,
                "loading": loaded.is_loading,
                "most_sequences": self.core.model.max_sequences,
                "prompt_tokens": self.core.prompt_tokens,
                "hit_tokens": self.core.hit_tokens,
            }
        )

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        horizon = asyncio.get_running_loop().time() - EVENT_LAG_S / self._speed
        events = [
            {"sequence": sequence, "kind": kind, "block": block}
            for at, sequence, kind, block in self._cache_event_log
            if at <= horizon and sequence > after
        ]
        return web.json_response({"events": events[:1000]})

    # ---- control ----

    async def _on_command(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        order = await request.json()
        fence = (int(order["epoch"]), int(order["sequence"]))
        if fence <= self.loaded_model.fencing_token:
            return web.json_response({"error": "fenced"}, status=409)
        self.loaded_model.fencing_token = fence
        kind, name = str(order["order"]), str(order["name"])
        if kind == "load_model":
            self._tasks.spawn(self._load_model(name, str(order.get("version", "1")), fence))
        elif kind == "load_adapter":
            self._tasks.spawn(self._load_adapter(name))
        elif kind == "unload_adapter":
            self.loaded_model.adapters.discard(name)
        elif kind == "change_role":
            self.loaded_model.role = name
        else:
            return web.json_response({"error": "unknown order"}, status=400)
        self.switch.apply_after(request)
        return web.json_response({"accepted": True}, status=202)

    async def _load_model(self, name: str, version: str, fencing_token: tuple[int, int]) -> None:
        loaded = self.loaded_model
        loaded.is_loading = True
        loaded.model_name, loaded.adapters = "", set()
        await self._fetch_weights(f"{name}/{version}")
        loaded.model_name, loaded.version, loaded.is_loading = name, version, False

    async def _load_adapter(self, name: str) -> None:
        await self._fetch_weights(f"adapter-{name}/1")
        self.loaded_model.adapters.add(name)

    async def _fetch_weights(self, path: str) -> None:
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self._weight_store}/weights/{path}") as response,
        ):
            await response.read()

    async def _export_cache(self, request: web.Request) -> web.Response:
        return web.json_response({"blocks": self.core.cache.cached_hashes()})

    async def _import_cache(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.core.cache.store([str(block) for block in body["blocks"]])
        return web.json_response({"held": len(self.core.cache.cached_hashes())})


def _parse_prompt(body: dict[str, object], chat: bool) -> tuple[str, str]:
    if not chat:
        prompt = str(body.get("prompt", ""))
        return prompt, prompt
    messages = body.get("messages")
    assert isinstance(messages, list)
    contents = [str(message.get("content", "")) for message in messages]
    return " ".join(contents), contents[-1] if contents else ""


def _encode_event(work: EngineRequest, number: int, text: str | None, chat: bool) -> bytes:
    finish = "stop" if text is None else None
    choice: dict[str, object] = {"index": 0, "finish_reason": finish}
    if chat:
        choice["delta"] = {} if text is None else {"role": "assistant", "content": text}
    else:
        choice["text"] = text or ""
    chunk = {
        "id": work.request_id,
        "object": "chat.completion.chunk" if chat else "text_completion",
        "created": 0,
        "model": work.target,
        "choices": [choice],
    }
    return f"id: {number}\ndata: {json.dumps(chunk)}\n\n".encode()


def _not_run_response(status: int, message: str) -> web.Response:
    return web.json_response(
        {"error": {"message": message, "type": "engine"}},
        status=status,
        headers={"X-Outcome": "not_run"},
    )
