"""Emulated server of the users' platform: slots, streams of events, resumption, identity.

Every run is recorded, so that a test can tell what ran twice.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic, time

from aiohttp import web

from wharfcart.emulator.faults import FaultSwitch, drop_connection
from wharfcart.emulator.web_server import WebServer
from wharfcart.platform import names

STATUS_WRONG_INSTANCE = 421
STATUS_OVERLOADED = 500
STREAM_CONTENT_TYPE = "text/event-stream"
# A cold server fails above so many requests in a second: its rate times this, and some more.
COLD_RATE_FACTOR = 1.5
COLD_BURST_REQUESTS = 5.0


@dataclass(frozen=True)
class RunRecord:
    """One run of a request, from an event on.

    Parameters
    ----------
    at: monotonic time at which it began.
    tenant: whose request it is, as the caller was told to be.
    key: that was passed on; there should be none.
    """

    request_id: str
    first_event: int
    deadline_ms: int
    run_at: float = 0.0
    tenant: str = ""
    api_key: str = ""


class ModelServer:
    """One incarnation of a server.

    Parameters
    ----------
    events: number of events of each stream; 0 answers whole bodies.
    event_s: time between events, or of a whole answer.

    Attributes:
        born_ms: wall clock milliseconds of its start.
        overruns: requests above what it bore while it was cold.
        fatal_bodies: a request with one of these bodies ends the server once it runs.
        events_before_end: events that such a request still gets.
        on_end: called with the body of the request that has ended the server.
        has_ended: a request has ended it.
    """

    def __init__(
        self,
        instance_id: str,
        event_count: int,
        event_interval_s: float,
        slot_count: int = 8,
        queue_size: int = 8,
    ) -> None:
        self.instance_id = instance_id
        self.started_at_ms = round(time() * 1000)
        self.runs: list[RunRecord] = []
        self.finished_by_id: Counter[str] = Counter()
        self.abandoned_by_id: Counter[str] = Counter()
        self.failure_status_by_id: dict[str, int] = {}
        self.failure_status: int | None = None  # status of every answer
        self.is_unresponsive = False
        self.poison_bodies: set[bytes] = set()
        self.events_before_crash = 0
        self.on_crash: Callable[[ModelServer, bytes], None] = lambda _server, _body: None
        self.has_crashed = False
        self.overload_count = 0
        self._cold_until = 0.0
        self._cold_requests_per_second = 0.0
        self._arrivals: deque[float] = deque()  # of the last second, while it is cold
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
        """Be cold for a while, and bear only so many requests a second."""
        self._cold_until = monotonic() + duration_s
        self._cold_requests_per_second = requests_per_second
        self._arrivals.clear()

    @property
    def cold_ms(self) -> int:
        """How much longer it is cold, in milliseconds; 0 if it is not."""
        return max(0, round((self._cold_until - monotonic()) * 1000))

    def backend_entry(self, service: str, zone: str, state: str = "ready") -> dict[str, object]:
        """Return what this server writes into the metadata store."""
        return {
            "backend": service,
            "address": self.server.address,
            "zone": zone,
            "version": "v1",
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
        wanted = request.headers.get(names.EXPECT_INSTANCE, self.instance_id)
        if wanted != self.instance_id:
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
        """Count a request that arrives; tell whether it is more than a cold server bears."""
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
        first = int(request.headers.get(names.LAST_EVENT_ID, "-1")) + 1
        deadline_ms = int(request.headers.get(names.DEADLINE_MS, "0"))
        tenant = request.headers.get(names.TENANT, "")
        key = request.headers.get(names.AUTHORIZATION, "")
        self.runs.append(RunRecord(request_id, first, deadline_ms, monotonic(), tenant, key))
        if body in self.poison_bodies and not self.events_before_crash:
            await self._crash(body)
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
        return await self._stream(request, request_id, first, body)

    async def _stream(
        self, request: web.Request, request_id: str, first: int, body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers=self._response_headers(request_id) | {"Content-Type": STREAM_CONTENT_TYPE}
        )
        cut_after = (first + self._event_count) // 2 if self.switch.consume_stream_cut() else None
        await response.prepare(request)
        for number in range(first, self._event_count):
            await asyncio.sleep(self._event_interval_s)
            if body in self.poison_bodies and number == first + self.events_before_crash:
                await self._crash(body)
            if number == cut_after:
                await response.write(f"id: {number}\ndata: half an ev".encode())
                drop_connection(request)
            await response.write(f"id: {number}\ndata: {request_id}-{number}\n\n".encode())
        await response.write_eof()
        self.finished_by_id[request_id] += 1
        return response

    async def _crash(self, body: bytes) -> None:
        """End as a process does that a request has crashed."""
        await asyncio.sleep(self._event_interval_s)
        if not self.has_crashed:
            self.has_crashed = True
            self.server.crash()
            self.on_crash(self, body)
        raise ConnectionResetError("the server has ended")

    def _response_headers(self, request_id: str) -> dict[str, str]:
        return {
            names.REQUEST_ID: request_id,
            names.RESPONSE_STAMP: f"stamp-{self.instance_id}",
            names.SERVER_LOAD: f"{self._request_count},0,{self._slot_count}",
        }

    def _not_run_response(self, status: int, request_id: str) -> web.Response:
        headers = {names.NOT_RUN: "1", names.REQUEST_ID: request_id}
        return web.Response(status=status, headers=headers)
