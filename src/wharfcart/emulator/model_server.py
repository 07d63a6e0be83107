"""Emulated server of the users' platform: slots, event streams, resumption, instance identity.

It records every run, so that a test can detect duplicates.
"""

import asyncio
import itertools
import random
import re
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic, time

from aiohttp import web

from wharfcart.emulator.answer_shapes import AnswerFraming, ShapeDraw
from wharfcart.emulator.endless_answers import EndlessShape, write_endless
from wharfcart.emulator.faults import FaultSwitch, break_off
from wharfcart.emulator.stream_events import StreamEvent
from wharfcart.emulator.web_server import WebServer
from wharfcart.platform import names

STATUS_WRONG_INSTANCE = 421
STATUS_OVERLOADED = 500
STREAM_CONTENT_TYPE = "text/event-stream"
# Requests per second above which a cold server fails: its rate times the factor, plus the burst.
COLD_RATE_FACTOR = 1.5
COLD_BURST_REQUESTS = 5.0

_SLOW_BODY = re.compile(rb"slow (\d+) ")
# Runs are numbered across servers, also those that return under the id of another one.
_run_numbers = itertools.count(1)


@dataclass(frozen=True)
class RunRecord:
    """One run of a request.

    Attributes:
        first_event: position of the first event; above 0 for a resumed stream.
        run_at: monotonic time of the start.
        tenant: tenant in the request's header.
        api_key: caller's API key, which a gateway must not forward; empty if absent.
        number: number of the run, which differs from those of all other runs.
    """

    request_id: str
    first_event: int
    deadline_ms: int
    run_at: float = 0.0
    tenant: str = ""
    api_key: str = ""
    number: int = 0


def slow_body(factor: int, body: bytes) -> bytes:
    """Return a body whose events after the first are streamed more slowly by a factor."""
    return b"slow %d " % factor + body


def _slowness_of(body: bytes) -> int:
    match = _SLOW_BODY.match(body)
    return 1 if match is None else int(match[1])


class _UntilCloseResponse(web.StreamResponse):
    """A response with neither a length nor chunks."""

    _length_check = False  # else aiohttp would send chunks


class ModelServer:
    """One instance of a server.

    Args:
        instance_id: id of the instance.
        event_count: events of each stream; 0 sends complete bodies instead.
        event_interval_s: time between events, or until a complete body is sent.
        slot_count: requests that run at once.
        queue_size: requests that wait for a slot; the server refuses further ones.
        version: version of its software.
        shapes: draws how its streams are framed and which are broken off; if None, all are whole
            and in chunks.

    Attributes:
        shapes: draws how its streams are framed and which are broken off.
        started_at_ms: start time, in wall clock milliseconds.
        failure_status_by_id: status of every response to a request id.
        failure_status: status of every response; None if the server does not fail.
        is_unresponsive: requests get no response.
        overload_count: requests that failed since they exceeded the capacity of the cold server.
        poison_bodies: bodies of requests that crash the server when they run.
        poison_parts: ids of parts of prompts that crash the server once it begins to answer.
        events_before_crash: events that a poison request receives before the crash.
        on_crash: called with the server and what crashed it: the body of a request, or the id of
            a part of its prompt.
        endless_share: share of the requests that it answers with bytes without end.
        has_crashed: whether the server has crashed.
    """

    def __init__(
        self,
        instance_id: str,
        event_count: int,
        event_interval_s: float,
        slot_count: int = 8,
        queue_size: int = 8,
        version: str = "v1",
        shapes: ShapeDraw | None = None,
    ) -> None:
        self.instance_id = instance_id
        self.version = version
        self.shapes = shapes or ShapeDraw(random.Random(0))
        self.started_at_ms = round(time() * 1000)
        self.runs: list[RunRecord] = []
        self.finished_by_id: Counter[str] = Counter()
        self.abandoned_by_id: Counter[str] = Counter()
        self.failure_status_by_id: dict[str, int] = {}
        self.failure_status: int | None = None
        self.is_unresponsive = False
        self.poison_bodies: set[bytes] = set()
        self.poison_parts: set[str] = set()
        self.events_before_crash = 0
        self.on_crash: Callable[[ModelServer, bytes], None] = lambda _server, _body: None
        self.has_crashed = False
        self.endless_share = 0.0
        self.overload_count = 0
        self._cold_until = 0.0
        self._cold_requests_per_second = 0.0
        self._arrivals: deque[float] = deque()  # of the last second, while the server is cold
        self.switch = FaultSwitch(1)
        self._event_count = event_count
        self._event_interval_s = event_interval_s
        self._slots = asyncio.Semaphore(slot_count)
        self._slot_count = slot_count
        self._queue_size = queue_size
        self._request_count = 0
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self._handle)
        self.server = WebServer(app)

    def turn_cold(self, duration_s: float, requests_per_second: float) -> None:
        """Make the server cold for a period, with a limited request rate."""
        self._cold_until = monotonic() + duration_s
        self._cold_requests_per_second = requests_per_second
        self._arrivals.clear()

    @property
    def cold_ms(self) -> int:
        """Return the remaining time for which the server is cold, in milliseconds."""
        return max(0, round((self._cold_until - monotonic()) * 1000))

    def backend_entry(self, service: str, zone: str, state: str = "ready") -> dict[str, object]:
        """Return the entry that this server writes into the metadata store."""
        return {
            "backend": service,
            "address": self.server.address,
            "zone": zone,
            "version": self.version,
            "slots": self._slot_count,
            "state": state,
            "warmupLeftMs": self.cold_ms,
            "sequence": 1,
            "born": self.started_at_ms,
        }

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if request.path == names.REPORT_PATH:
            running = min(self._request_count, self._slot_count)
            waiting = self._request_count - running
            report = {"activeRequests": running, "queuedRequests": waiting}
            return web.json_response(report, headers={names.COLD_MS: str(self.cold_ms)})
        request_id = request.headers.get(names.REQUEST_ID, "")
        expected_instance_id = request.headers.get(names.EXPECT_INSTANCE, self.instance_id)
        if expected_instance_id != self.instance_id:
            return self._not_run_response(STATUS_WRONG_INSTANCE, request_id)
        if self._is_overloaded():
            self.overload_count += 1
            return web.Response(
                status=STATUS_OVERLOADED, headers=self._response_headers(request_id)
            )
        if self._request_count >= self._slot_count + self._queue_size:
            return self._not_run_response(503, request_id)
        body = await request.read()
        if self.is_unresponsive:
            await asyncio.sleep(3600)
        self._request_count += 1
        try:
            async with self._slots:
                return await self._run(request, request_id, body)
        except asyncio.CancelledError:
            self.abandoned_by_id[request_id] += 1
            raise
        finally:
            self._request_count -= 1

    def _is_overloaded(self) -> bool:
        """Count an arrival; return whether it exceeds the capacity of the cold server."""
        now = monotonic()
        if now >= self._cold_until:
            return False
        self._arrivals.append(now)
        while now - self._arrivals[0] >= 1.0:
            self._arrivals.popleft()
        return (
            len(self._arrivals)
            > COLD_RATE_FACTOR * self._cold_requests_per_second + COLD_BURST_REQUESTS
        )

    async def _run(self, request: web.Request, request_id: str, body: bytes) -> web.StreamResponse:
        first_event = int(request.headers.get(names.LAST_EVENT_ID, "-1")) + 1
        deadline_ms = int(request.headers.get(names.DEADLINE_MS, "0"))
        tenant = request.headers.get(names.TENANT, "")
        api_key = request.headers.get(names.AUTHORIZATION, "")
        number = next(_run_numbers)
        run = RunRecord(request_id, first_event, deadline_ms, monotonic(), tenant, api_key, number)
        self.runs.append(run)
        if body in self.poison_bodies and not self.events_before_crash:
            await self._crash(body)
        if number % 100 < 100 * self.endless_share:
            await write_endless(request, EndlessShape.draw(number))
        if self.failure_status is not None:
            return web.Response(
                status=self.failure_status, headers=self._response_headers(request_id)
            )
        if request_id in self.failure_status_by_id:
            return web.Response(
                status=self.failure_status_by_id[request_id],
                headers=self._response_headers(request_id),
            )
        if not self._event_count:
            await asyncio.sleep(self._event_interval_s)
            self.finished_by_id[request_id] += 1
            self.switch.apply_after(request)
            return web.Response(
                body=f"answer to {request_id}", headers=self._response_headers(request_id)
            )
        return await self._stream(request, run, body)

    async def _stream(
        self, request: web.Request, run: RunRecord, body: bytes
    ) -> web.StreamResponse:
        response = self._new_stream(run)
        is_cut = self.switch.consume_stream_cut() or self.shapes.draw_break()
        cut_after = (run.first_event + self._event_count) // 2 if is_cut else None
        interval_s = self._event_interval_s
        poison = self._poison_of(request, body)
        await response.prepare(request)
        for number in range(run.first_event, self._event_count):
            await asyncio.sleep(interval_s)
            interval_s = self._event_interval_s * _slowness_of(body)
            if poison is not None and number == run.first_event + self.events_before_crash:
                await self._crash(poison)
            if number == cut_after:
                await response.write(f"id: {number}\ndata: half an ev".encode())
                break_off(request, self.shapes.draw_end())
            event = StreamEvent(
                run.request_id, number, run.number, run.first_event - 1, self.version
            )
            await response.write(event.server_sent)
        await response.write_eof()
        self.finished_by_id[run.request_id] += 1
        return response

    def _new_stream(self, run: RunRecord) -> web.StreamResponse:
        headers = self._response_headers(run.request_id) | {"Content-Type": STREAM_CONTENT_TYPE}
        if self.shapes.draw_framing() is AnswerFraming.CHUNKS:
            return web.StreamResponse(headers=headers)
        response = _UntilCloseResponse(headers=headers)
        response.force_close()
        return response

    def _poison_of(self, request: web.Request, body: bytes) -> bytes | None:
        """Return what crashes the server when it answers a request, or None."""
        if body in self.poison_bodies:
            return body
        prompt = request.headers.get(names.PROMPT_PREFIX, "").split(",")
        parts = {part.partition(":")[0] for part in prompt[:-1]}
        found = sorted(parts & self.poison_parts)
        return found[0].encode() if found else None

    def crash(self) -> None:
        """Abort all connections and stop listening, as the crash of the process does."""
        if not self.has_crashed:
            self.has_crashed = True
            self.server.crash()

    async def _crash(self, poison: bytes) -> None:
        """Abort all connections, as the crash of the process does."""
        await asyncio.sleep(self._event_interval_s)
        if not self.has_crashed:
            self.crash()
            self.on_crash(self, poison)
        raise ConnectionResetError("a poison request crashed the server")

    def _response_headers(self, request_id: str) -> dict[str, str]:
        return {
            names.REQUEST_ID: request_id,
            names.RESPONSE_STAMP: f"stamp-{self.instance_id}",
            names.SERVER_LOAD: f"{self._request_count},0,{self._slot_count}",
        }

    def _not_run_response(self, status: int, request_id: str) -> web.Response:
        headers = {names.NOT_RUN: "1", names.REQUEST_ID: request_id}
        return web.Response(status=status, headers=headers)
