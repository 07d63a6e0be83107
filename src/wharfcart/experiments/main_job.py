"""End-to-end check of a fleet: online requests, batch jobs and a configuration change.

Runs against any fleet with an example configuration, in one process or several, and uses public
interfaces only.
"""

import asyncio
import json
import time
import uuid
from dataclasses import dataclass, field
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from wharfcart.emulator.engine_core import answer_text
from wharfcart.experiments.example_fleets import Profile

ONLINE_REQUESTS = 120
ONLINE_CONCURRENCY = 6
APPLICATION_REQUESTS = 60
JOB_TIMEOUT_S = 50.0
POLL_INTERVAL_S = 0.2
CANCEL_TIMEOUT_S = 2.0
MICROSECONDS_PER_SECOND = 1_000_000


@dataclass(frozen=True)
class TargetFleet:
    """A running fleet."""

    urls: list[str]
    admin_key: str
    profile: Profile


@dataclass(frozen=True)
class _ProfileNames:
    """Names of a profile's tenants and services."""

    tenant: str
    online: str
    batch: str
    effect: str
    status: str
    batch_tokens: int
    online_tokens: int


PROFILE_NAMES = {
    Profile.REGISTRATION: _ProfileNames(
        "registry-office", "notices", "plates", "register", "status", 32, 48
    ),
    Profile.SWAP: _ProfileNames("dispatch-1", "assistant", "notes", "charge", "status", 48, 32),
}


@dataclass
class _CheckResult:
    guarantee: str
    passed: bool
    details: str


@dataclass
class MainJob:
    """One run."""

    target: TargetFleet
    items: int
    checks: list[_CheckResult] = field(default_factory=list)
    first_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, 60 * MICROSECONDS_PER_SECOND, 3)
    )

    async def run(self) -> bool:
        """Run all checks and print the report; return whether every check passed."""
        self._names = PROFILE_NAMES[self.target.profile]
        headers = {"Authorization": f"Bearer {self._names.tenant}-key"}
        connector = aiohttp.TCPConnector(limit=0)
        started = time.monotonic()
        async with aiohttp.ClientSession(headers=headers, connector=connector) as session:
            self._session = session
            await self._check_idempotent_requests()
            lines = self._make_lines(self.items)
            job = await self._submit(lines, "main-job")
            second = await self._submit(self._make_lines(self.items, "second"), "second-job")
            await self._check_cancellation(second["id"])
            await self._check_online_streams()
            await self._check_configuration_change()
            await self._check_resubmission(lines, job["id"])
            await self._check_completion(job["id"], lines)
        self._print_report(time.monotonic() - started)
        return all(check.passed for check in self.checks)

    # ---- online ----

    async def _check_online_streams(self) -> None:
        limit = asyncio.Semaphore(ONLINE_CONCURRENCY)
        run = uuid.uuid4().hex[:8]

        async def one(number: int) -> bool:
            async with limit:
                return await self._stream(number, f"question {run} {number}")

        correct = await asyncio.gather(*(one(number) for number in range(ONLINE_REQUESTS)))
        p95 = self.first_token.get_value_at_percentile(95) / 1000
        details = f"{sum(correct)} of {len(correct)}, first token p95 {p95:.0f} ms beside batch"
        self._record("each caller gets the whole answer to its own request", all(correct), details)

    async def _stream(self, number: int, question: str) -> bool:
        body = {
            "model": self._names.online,
            "messages": [{"role": "user", "content": question}],
            "stream": True,
        }
        started = time.monotonic()
        text = ""
        completed = False
        url = f"{self._url(number)}/v1/chat/completions"
        async with self._session.post(url, json=body) as response:
            async for raw in response.content:
                line = raw.strip()
                if not line.startswith(b"data: "):
                    continue
                if not text:
                    elapsed = int((time.monotonic() - started) * MICROSECONDS_PER_SECOND)
                    self.first_token.record_value(max(1, elapsed))
                if line == b"data: [DONE]":
                    completed = True
                    break
                delta = json.loads(line[6:])["choices"][0]["delta"]
                text += delta.get("content", "")
        return completed and text.strip() == answer_text(question, self._names.online_tokens)

    async def _check_idempotent_requests(self) -> None:
        """Send each request twice at once with one idempotency key; both get one answer."""
        run = uuid.uuid4().hex[:8]

        async def once(number: int) -> bool:
            path = f"/v1/services/{self._names.effect}/{number}"
            headers = {"Idempotency-Key": f"{run}-{number}"}
            calls = [
                self._session.post(
                    self._url(number + copy) + path, json={"run": run}, headers=headers
                )
                for copy in range(2)
            ]
            answers = await asyncio.gather(*calls)
            bodies = [await answer.json() for answer in answers]
            return bodies[0].get("request_id") is not None and bodies[0] == bodies[1]

        same = await asyncio.gather(*(once(number) for number in range(APPLICATION_REQUESTS)))
        details = f"{sum(same)} of {len(same)} sent twice through two nodes, one answer each"
        self._record("a resent request runs once", all(same), details)

    # ---- batch ----

    def _make_lines(self, count: int, label: str = "main") -> list[dict[str, Any]]:
        """Return batch items: three of four are model requests, the others look-ups."""
        run = uuid.uuid4().hex[:8]
        lines: list[dict[str, Any]] = []
        for number in range(count):
            custom_id = f"{label}-{run}-{number}"
            if number % 4 == 3:
                url = f"/v1/services/{self._names.status}/{number}"
                lines.append({"custom_id": custom_id, "method": "GET", "url": url, "body": {}})
                continue
            body = {
                "model": self._names.batch,
                "messages": [{"role": "user", "content": custom_id}],
            }
            url = "/v1/chat/completions"
            lines.append({"custom_id": custom_id, "method": "POST", "url": url, "body": body})
        return lines

    async def _submit(self, lines: list[dict[str, Any]], key: str) -> dict[str, Any]:
        data = "".join(json.dumps(line) + "\n" for line in lines).encode()
        form = aiohttp.FormData()
        form.add_field("purpose", "batch")
        form.add_field("file", data, filename="items.jsonl")
        uploaded = await self._call("POST", "/v1/files", data=form)
        body = {"input_file_id": uploaded["id"], "endpoint": "/v1/chat/completions"}
        headers = {"Idempotency-Key": f"{key}-{lines[0]['custom_id']}"}
        return await self._call("POST", "/v1/batches", json=body, headers=headers)

    async def _check_cancellation(self, job_id: str) -> None:
        """Cancel a job while some of its items run and check that it stops in time."""
        job = await self._call("GET", f"/v1/batches/{job_id}")
        waited = time.monotonic()
        while not job["item_counts"]["completed"] and time.monotonic() - waited < JOB_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S / 4)
            job = await self._call("GET", f"/v1/batches/{job_id}")
        started = time.monotonic()
        job = await self._call("POST", f"/v1/batches/{job_id}/cancel")
        while (
            job["status"] not in ("cancelled", "completed")
            and time.monotonic() - started < JOB_TIMEOUT_S
        ):
            await asyncio.sleep(POLL_INTERVAL_S / 4)
            job = await self._call("GET", f"/v1/batches/{job_id}")
        elapsed = time.monotonic() - started
        counts = job["item_counts"]
        finished = counts["completed"] + counts["failed"] + counts["unknown"] + counts["cancelled"]
        passed = elapsed <= CANCEL_TIMEOUT_S and finished == counts["total"]
        details = f"{elapsed:.2f} s, {counts['completed']} completed, {counts['cancelled']} not run"
        self._record("a cancelled job stops", passed, details)

    async def _check_resubmission(self, lines: list[dict[str, Any]], job_id: str) -> None:
        again = await self._submit(lines, "main-job")
        same = again["id"] == job_id
        self._record("a resent job is the same job", same, f"{again['id']}")

    async def _check_completion(self, job_id: str, lines: list[dict[str, Any]]) -> None:
        started = time.monotonic()
        job = await self._call("GET", f"/v1/batches/{job_id}")
        while job["status"] != "completed" and time.monotonic() - started < JOB_TIMEOUT_S:
            await asyncio.sleep(POLL_INTERVAL_S)
            job = await self._call("GET", f"/v1/batches/{job_id}")
        wrong = await self._find_wrong_results(job_id, lines)
        seconds = max(1, (job["completed_at"] or 0) - job["created_at"])
        counts = job["item_counts"]
        passed = not wrong and counts["completed"] == len(lines)
        details = f"{counts['completed']} of {len(lines)}, about {len(lines) / seconds:.0f} items/s"
        if wrong:
            details += f", wrong: {wrong[:3]}"
        self._record("every item completes exactly once, readable", passed, details)

    async def _find_wrong_results(self, job_id: str, lines: list[dict[str, Any]]) -> list[str]:
        seen: dict[str, int] = {}
        wrong: list[str] = []
        expected = {line["custom_id"]: line for line in lines}
        url = f"{self._url(1)}/v1/files/output-{job_id}/content"
        async with self._session.get(url) as response:
            async for raw in response.content:
                result = json.loads(raw)
                custom_id = result["custom_id"]
                seen[custom_id] = seen.get(custom_id, 0) + 1
                if not self._is_expected(expected[custom_id], result["response"]["body"]):
                    wrong.append(custom_id)
        wrong.extend(custom_id for custom_id in expected if seen.get(custom_id) != 1)
        return wrong

    def _is_expected(self, line: dict[str, Any], body: dict[str, Any]) -> bool:
        if line["method"] == "GET":
            return bool(body["path"].endswith(line["url"].rsplit("/", 1)[1]))
        text = answer_text(line["custom_id"], self._names.batch_tokens)
        return bool(body["choices"][0]["message"]["content"] == text)

    # ---- configuration ----

    async def _check_configuration_change(self) -> None:
        tenant, service = self._names.tenant, self._names.batch
        value = f"office {uuid.uuid4().hex[:8]}"
        template = await self._template_of(service)
        deployment = {
            "name": service,
            "tenant": tenant,
            "template": template,
            "parameters": {"office": value},
        }
        document = json.dumps({"deployments": [deployment]})  # JSON is YAML, too
        headers = {"Authorization": f"Bearer {self.target.admin_key}"}
        started = time.monotonic()
        answer = await self._call(
            "POST",
            "/admin/v1/configuration",
            json={"document": document, "author": "demo", "reason": "shift change", "wait": True},
            headers=headers,
        )
        elapsed = time.monotonic() - started
        seen = [await self._parameter(url, service) for url in self.target.urls]
        passed = bool(answer["in_force"]) and all(found == value for found in seen)
        details = f"revision {answer['revision']} on {len(seen)} nodes after {elapsed:.2f} s"
        self._record("an accepted configuration is in force everywhere", passed, details)

    async def _template_of(self, service: str) -> str:
        models = await self._call("GET", "/v1/models")
        return next(str(m["template"]) for m in models["data"] if m["id"] == service)

    async def _parameter(self, url: str, service: str) -> str:
        async with self._session.get(f"{url}/v1/models") as response:
            models = await response.json()
        return next(str(m["parameters"]["office"]) for m in models["data"] if m["id"] == service)

    # ---- common ----

    def _url(self, number: int) -> str:
        return self.target.urls[number % len(self.target.urls)]

    async def _call(self, method: str, path: str, **arguments: Any) -> dict[str, Any]:
        async with self._session.request(method, self._url(0) + path, **arguments) as response:
            body: dict[str, Any] = await response.json()
            if response.status >= 400:
                raise RuntimeError(f"{method} {path}: {response.status} {body}")
            return body

    def _record(self, guarantee: str, passed: bool, details: str) -> None:
        self.checks.append(_CheckResult(guarantee, passed, details))

    def _print_report(self, seconds: float) -> None:
        table = Table("promise", "kept", "figure", title=f"main job, {self.target.profile.value}")
        for check in self.checks:
            table.add_row(check.guarantee, "yes" if check.passed else "NO", check.details)
        console = Console(width=130)
        console.print(table)
        console.print(f"{len(self.target.urls)} nodes, {seconds:.1f} s")
