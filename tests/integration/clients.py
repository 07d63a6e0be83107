"""Clients that record the answers they get."""

import asyncio
import json
import uuid
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from wharfcart.emulator.engine_core import answer_text
from wharfcart.experiments.process_fleet import NodeProcess, ProcessFleet

TENANT_KEY = "registry-office-key"
RETRY_DELAY_S = 0.1
RETRIES = 80
JOB_TIMEOUT_S = 60.0


@dataclass
class Effect:
    """A request with side effects and its answers."""

    key: str
    answers: list[tuple[int, str, str]] = field(default_factory=list)  # status, outcome, body


class Client:
    """A tenant's client that retries at other nodes."""

    def __init__(self, fleet: ProcessFleet) -> None:
        self.fleet = fleet
        self.session = aiohttp.ClientSession(headers={"Authorization": f"Bearer {TENANT_KEY}"})

    async def close(self) -> None:
        await self.session.close()

    async def effect(self, number: int, key: str, value: str) -> Effect:
        """Send a request with side effects until it succeeds, each time through another node."""
        seen = Effect(key)
        for attempt in range(RETRIES):
            url = self.fleet.urls[(number + attempt) % len(self.fleet.urls)]
            try:
                async with self.session.post(
                    f"{url}/v1/services/register/{value}",
                    json={"vehicle": value},
                    headers={"Idempotency-Key": key},
                    timeout=aiohttp.ClientTimeout(total=20),
                ) as response:
                    outcome = response.headers.get("X-Wharfcart-Outcome", "")
                    seen.answers.append((response.status, outcome, await response.text()))
                    if response.status == 200:
                        return seen
            except (aiohttp.ClientError, OSError):
                seen.answers.append((0, "no answer", ""))
            await asyncio.sleep(RETRY_DELAY_S)
        return seen

    async def stream(self, url: str, question: str) -> bool:
        """Run one streamed chat; return whether the answer was complete and correct."""
        body = {
            "model": "notices",
            "messages": [{"role": "user", "content": question}],
            "stream": True,
        }
        text, completed = "", False
        async with self.session.post(f"{url}/v1/chat/completions", json=body) as response:
            async for raw in response.content:
                line = raw.strip()
                if line == b"data: [DONE]":
                    completed = True
                elif line.startswith(b"data: "):
                    delta = json.loads(line[6:])["choices"][0]["delta"]
                    text += str(delta.get("content", ""))
        return completed and text.strip() == answer_text(question, 48)

    async def call(self, method: str, path: str, **arguments: Any) -> dict[str, Any]:
        """Make a call, retried at other nodes until one answers."""
        for attempt in range(RETRIES):
            url = self.fleet.urls[attempt % len(self.fleet.urls)]
            try:
                async with self.session.request(method, url + path, **arguments) as response:
                    if response.status < 500:
                        answer: dict[str, Any] = await response.json()
                        assert response.status < 400, answer
                        return answer
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(RETRY_DELAY_S)
        raise TimeoutError(path)

    async def submit(self, items: int) -> tuple[str, list[str]]:
        """Upload a file and create a job; return its id and the ids of its items."""
        run = uuid.uuid4().hex[:8]
        ids = [f"{run}-{number}" for number in range(items)]
        lines = [
            {
                "custom_id": id_,
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {"model": "plates", "messages": [{"role": "user", "content": id_}]},
            }
            for id_ in ids
        ]
        data = "".join(json.dumps(line) + "\n" for line in lines).encode()
        headers = {"Content-Type": "application/jsonl"}
        uploaded = await self.call("POST", "/v1/files", data=data, headers=headers)
        job = await self.call(
            "POST",
            "/v1/batches",
            json={"input_file_id": uploaded["id"]},
            headers={"Idempotency-Key": run},
        )
        return job["id"], ids

    async def wait_job(self, job_id: str) -> dict[str, Any]:
        """Wait until a job is completed or cancelled; return it."""
        async with asyncio.timeout(JOB_TIMEOUT_S):
            while True:
                job = await self.call("GET", f"/v1/batches/{job_id}")
                if job["status"] in ("completed", "cancelled"):
                    return job
                await asyncio.sleep(RETRY_DELAY_S)

    async def statuses_until_found(self, node: NodeProcess, job_id: str) -> set[int]:
        """Poll one node without pause until it finds the job; return all statuses."""
        seen: set[int] = set()
        async with asyncio.timeout(JOB_TIMEOUT_S):
            while 200 not in seen:
                try:
                    url = f"{node.url}/v1/batches/{job_id}"
                    async with self.session.get(url) as response:
                        seen.add(response.status)
                except (aiohttp.ClientError, OSError):
                    pass  # the node does not listen yet
                await asyncio.sleep(0)
        return seen

    async def results(self, job_id: str) -> list[dict[str, Any]]:
        """Return all output lines of a job, read from the last running node."""
        living = [n for n in self.fleet.nodes if n.process is not None and n.process.poll() is None]
        url = f"{living[-1].url}/v1/files/output-{job_id}/content"
        async with self.session.get(url) as response:
            return [json.loads(line) async for line in response.content]
