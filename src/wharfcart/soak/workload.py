"""Load of a soak: requests of each kind, batch jobs and probes of added routes."""

import asyncio
import base64
import itertools
import json
import random
import typing as t
from time import monotonic

import aiohttp

from wharfcart.emulator.model_server import slow_body
from wharfcart.emulator.stream_events import events_of_part
from wharfcart.experiments.serving_fleet import STREAM_SERVICE
from wharfcart.platform import names
from wharfcart.soak.fleet import COMMON_PART, SoakFleet, prompt_of
from wharfcart.soak.history import (
    JobRecord,
    RequestKind,
    RequestRecord,
    ResumedStream,
    RouteRecord,
    SoakHistory,
    StreamTry,
)
from wharfcart.soak.open_connection import OpenConnection
from wharfcart.soak.tenants import LIMITED_REQUEST_PREFIX

DEADLINE_MS = 3000
# A caller closes its connection this long after its deadline.
CALLER_TIMEOUT_MARGIN_S = 1.5
REQUEST_INTERVAL_S = 0.12
LIMITED_REQUEST_INTERVAL_S = 0.06
JOB_INTERVAL_S = 1.0
MAX_ITEMS_PER_JOB = 8
# Long and slow jobs have results at most times of the load; slow items run during several faults.
LONG_JOB_PROBABILITY = 0.3
MAX_ITEMS_PER_LONG_JOB = 40
SLOW_JOB_PROBABILITY = 0.3
MAX_SLOWNESS = 16
READ_INTERVAL_S = 0.4
# Interval of reads of a job that is complete or cancelled.
LATE_READ_INTERVAL_S = 1.5
RETRY_INTERVAL_S = 0.3
MAX_OPEN_CONNECTIONS = 6
OPEN_CONNECTION_INTERVAL_S = 0.05
OPEN_CONNECTION_RETRY_S = 0.05
MAX_SUBMIT_ATTEMPTS = 25
CANCEL_PROBABILITY = 0.15
MAX_CANCEL_ATTEMPTS = 25
PROBE_INTERVAL_S = 0.3
RESUMED_STREAM_INTERVAL_S = 0.25
MAX_STREAM_TRIES = 5
MAX_EVENTS_PER_TRY = 5
EVENTS_PER_STREAM = 12
RESUME_PAUSE_S = (0.02, 0.6)  # shortest and longest


class SoakWorkload:
    """Sends the load of one run and records what callers observe."""

    def __init__(self, fleet: SoakFleet, seed: int) -> None:
        self.history = SoakHistory()
        self._fleet = fleet
        self._rng = random.Random(f"{seed} load")
        self._job_rng = random.Random(f"{seed} jobs")
        self._resume_rng = random.Random(f"{seed} resumptions")
        self._job_tasks: set[asyncio.Task[None]] = set()

    @property
    def now(self) -> float:
        """Return the seconds since the start of the load."""
        return monotonic() - self.history.started_at

    async def run(self, load_s: float) -> None:
        """Send load for ``load_s`` seconds; return after every caller has finished."""
        self.history.started_at = monotonic()
        async with asyncio.TaskGroup() as group:
            for kind in RequestKind:
                group.create_task(self._send_requests(kind, load_s))
            group.create_task(self._send_limited_requests(load_s))
            group.create_task(self._send_resumed_streams(load_s))
            group.create_task(self._start_jobs(load_s))
            group.create_task(self._probe_routes(load_s))
            for gateway in range(min(MAX_OPEN_CONNECTIONS, len(self._fleet.gateways))):
                group.create_task(self._use_open_connection(gateway, load_s))
        await asyncio.gather(*self._job_tasks)

    def track_added_route(self, path: str) -> None:
        """Start to probe a route whose configuration was acknowledged."""
        self.history.routes.append(RouteRecord(path, self.now))

    # -- requests ------------------------------------------------------

    async def _send_requests(self, kind: RequestKind, load_s: float) -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while self.now < load_s:
                number += 1
                gateway = self._rng.randrange(len(self._fleet.gateways))
                group.create_task(self.request(f"{kind.value}-{number}", kind, gateway))
                await asyncio.sleep(REQUEST_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def _send_limited_requests(self, load_s: float) -> None:
        """Send requests of the limited tenant well above its limit."""
        number = 0
        async with asyncio.TaskGroup() as group:
            while self.now < load_s:
                number += 1
                request_id = f"{LIMITED_REQUEST_PREFIX}{number}"
                kind = RequestKind.REPEATABLE
                group.create_task(self.request(request_id, kind, self._random_gateway()))
                await asyncio.sleep(LIMITED_REQUEST_INTERVAL_S)

    async def request(self, request_id: str, kind: RequestKind, gateway: int) -> RequestRecord:
        """Send one request and record its outcome."""
        record = RequestRecord(request_id, kind, gateway, self.now)
        self.history.requests.append(record)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + CALLER_TIMEOUT_MARGIN_S):
                record.status, record.body, _ = await self._fleet.request(
                    gateway, f"/{kind.value}/x", request_id, DEADLINE_MS
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            record.status = None
        record.finished_at = self.now
        return record

    async def _use_open_connection(self, gateway: int, load_s: float) -> None:
        """Send one request after the other on a connection until its process closes it."""
        connection: OpenConnection | None = None
        for number in itertools.count():
            if self.now >= load_s:
                break
            kind = (RequestKind.REPEATABLE, RequestKind.AT_MOST_ONCE)[number % 2]
            request_id = f"{kind.value}-open-{gateway}-{number}"
            try:
                if connection is None:
                    connection = await OpenConnection.open(self._fleet.gateways[gateway].listen)
                await self._request_on(connection, request_id, kind, gateway)
            except (OSError, TimeoutError):
                if connection is not None:
                    connection.close()
                connection = None
                await asyncio.sleep(OPEN_CONNECTION_RETRY_S)
            await asyncio.sleep(OPEN_CONNECTION_INTERVAL_S)
        if connection is not None:
            connection.close()

    async def _request_on(
        self, connection: OpenConnection, request_id: str, kind: RequestKind, gateway: int
    ) -> None:
        record = RequestRecord(request_id, kind, gateway, self.now)
        self.history.requests.append(record)
        headers = self._fleet.headers_of(request_id, DEADLINE_MS)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + CALLER_TIMEOUT_MARGIN_S):
                path = f"/{kind.value}/x"
                record.status, record.body = await connection.request(path, headers)
        finally:
            record.finished_at = self.now

    # -- resumed streams -----------------------------------------------

    async def _send_resumed_streams(self, load_s: float) -> None:
        number = 0
        async with asyncio.TaskGroup() as group:
            while self.now < load_s:
                number += 1
                group.create_task(self._resume_stream(f"resumed-{number}"))
                await asyncio.sleep(RESUMED_STREAM_INTERVAL_S * self._resume_rng.uniform(0.5, 1.5))

    async def _resume_stream(self, label: str) -> None:
        """Begin a stream, leave it midway and resume it at any gateway until it has ended."""
        stream = ResumedStream()
        rng = random.Random(f"{label} {self._resume_rng.random()}")
        origin = f"{label}-0"
        for number in range(MAX_STREAM_TRIES):
            headers = {}
            if number:
                headers = {names.LAST_EVENT_ID: str(len(stream.events) - 1), names.RESUMES: origin}
            stream_try = StreamTry(f"{label}-{number}")
            version = stream.events[0].version if stream.events else ""
            stream_try.counts = self._fleet.serving_count(version) > 1
            stream.tries.append(stream_try)
            leave_after = rng.randint(1, MAX_EVENTS_PER_TRY)
            await self._read_some_events(stream_try, headers, leave_after)
            if not stream.events or len(stream.events) == EVENTS_PER_STREAM:
                break
            await asyncio.sleep(rng.uniform(*RESUME_PAUSE_S))
        self.history.resumed_streams.append(stream)

    async def _read_some_events(
        self, stream_try: StreamTry, headers: dict[str, str], leave_after: int
    ) -> None:
        """Send a request of a stream; close the connection after some of its events."""
        url = f"http://{self._fleet.gateways[self._random_gateway()].listen}/read/x"
        headers = headers | self._fleet.headers_of(stream_try.request_id, DEADLINE_MS)
        received = b""
        try:
            async with (
                asyncio.timeout(DEADLINE_MS / 1000 + CALLER_TIMEOUT_MARGIN_S),
                self._fleet.session.post(url, headers=headers) as response,
            ):
                stream_try.status = response.status
                async for data in response.content.iter_any():
                    received += data
                    if received.count(b"\n\n") >= leave_after:
                        response.close()
                        break
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass  # the events before the break were received
        finally:
            stream_try.events = events_of_part(received)

    # -- batch jobs ----------------------------------------------------

    async def _start_jobs(self, load_s: float) -> None:
        number = 0
        while self.now < load_s:
            number += 1
            job = JobRecord(f"job-{number}", self._rng.randint(1, MAX_ITEMS_PER_JOB))
            if self._job_rng.random() < LONG_JOB_PROBABILITY:
                job.item_count = self._job_rng.randint(MAX_ITEMS_PER_JOB, MAX_ITEMS_PER_LONG_JOB)
            job.is_slow = self._job_rng.random() < SLOW_JOB_PROBABILITY
            self.history.jobs_by_id[job.job_id] = job
            cancels = self._rng.random() < CANCEL_PROBABILITY
            self._job_tasks.add(asyncio.create_task(self._run_job(job, cancels, load_s)))
            await asyncio.sleep(JOB_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    async def _run_job(self, job: JobRecord, cancels: bool, load_s: float) -> None:
        await self._submit(job)
        if job.accepted_at is None:
            return
        cancel_at = self.now + self._rng.uniform(0.1, 2.0)
        while self.now < load_s:
            count = len(job.results)
            after = self._job_rng.choice([0, self._job_rng.randint(0, count), count])
            await self.read_page(job, self._random_gateway(), after)
            if cancels and self.now > cancel_at:
                await self._cancel(job)
                cancels = False
            is_over = job.is_complete or job.cancelled_at is not None
            await asyncio.sleep(LATE_READ_INTERVAL_S if is_over else READ_INTERVAL_S)

    async def _submit(self, job: JobRecord) -> None:
        body = _submission_body(job)
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            status = await self._call(
                self._random_gateway(), "POST", f"/jobs/{job.job_id}", job, body
            )
            job.submission_statuses.append(status)
            if status == 202:
                job.accepted_at = self.now
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _cancel(self, job: JobRecord) -> None:
        for _ in range(MAX_CANCEL_ATTEMPTS):
            path = names.JOB_PATH + job.job_id
            if await self._call(self._random_gateway(), "DELETE", path, job) == 200:
                job.cancelled_at = self.now
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _call(
        self, gateway: int, method: str, path: str, job: JobRecord, body: bytes | None = None
    ) -> int | None:
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + CALLER_TIMEOUT_MARGIN_S):
                status, _, _ = await self._fleet.request(
                    gateway, path, job.job_id, method=method, data=body
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        return status

    async def read_page(self, job: JobRecord, gateway: int, after: int) -> int | None:
        """Read and record results from position ``after`` on; return the status."""
        path = f"{names.JOB_PATH}{job.job_id}?after={after}"
        count_before = len(job.results)
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                status, body, _ = await self._fleet.request(gateway, path, "reader", method="GET")
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        if status in (404, 410):
            job.denied_at.append(self.now)
        if status != 200:
            return status
        page = json.loads(body)
        if page["total"] != job.item_count:
            job.conflicts.append(f"total {page['total']}, not {job.item_count}")
        results = [(result["id"], result["state"], result["message"]) for result in page["results"]]
        job.record_page(after, results, count_before, f"at gateway {gateway}")
        return status

    # -- routes --------------------------------------------------------

    async def _probe_routes(self, load_s: float) -> None:
        while self.now < load_s:
            for route in list(self.history.routes):
                for gateway in range(len(self._fleet.gateways)):
                    await self.probe(route, gateway)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def probe(self, route: RouteRecord, gateway: int) -> int | None:
        """Send a request on an added route to one gateway and record it; return the status."""
        process = self._fleet.gateways[gateway].process
        process_id = f"{gateway}:{None if process is None else process.pid}"
        try:
            async with asyncio.timeout(0.5):
                status, _, _ = await self._fleet.request(
                    gateway, f"{route.path}x", f"probe-{self.now:.6f}", DEADLINE_MS
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        if status == 404 and process_id in route.serving_processes:
            route.regressed_processes.append(process_id)
        if status == 200:
            route.serving_processes.add(process_id)
        return status

    def _random_gateway(self) -> int:
        return self._rng.randrange(len(self._fleet.gateways))


def item_id(job: JobRecord, number: int) -> str:
    """Return the id of an item of a job."""
    return f"{job.job_id}-{number}"


def _submission_body(job: JobRecord) -> bytes:
    requests: list[dict[str, t.Any]] = [
        {
            "id": item_id(job, number),
            "path": "/jobs/run",
            "headers": {
                names.MODEL: STREAM_SERVICE,
                names.PROMPT_PREFIX: prompt_of(COMMON_PART, item_id(job, number)),
            },
            "body": base64.b64encode(_item_body(job, number)).decode(),
            "tokens": 10,
        }
        for number in range(job.item_count)
    ]
    return json.dumps({"requests": requests}).encode()


def _item_body(job: JobRecord, number: int) -> bytes:
    body = f"body {number}".encode()
    if not job.is_slow:
        return body
    # Items of one job end at different times, so that its results arrive one by one.
    return slow_body(1 + 5 * number % MAX_SLOWNESS, job.job_id.encode() + b" " + body)
