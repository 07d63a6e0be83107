"""HTTP client of the commands."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

import aiohttp

from wharfcart.cli.output import ExitCode, fail, fail_findings
from wharfcart.errors import Finding

CALL_TIMEOUT_S = 60.0
STATUS_PRECONDITION_FAILED = 412
MIN_ERROR_STATUS = 400


@dataclass(frozen=True)
class ApiClient:
    """Where and as whom the commands call."""

    url: str
    key: str

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
        data: bytes | None = None,
    ) -> Any:
        """Make one call and return its JSON answer; an error ends the command."""
        return asyncio.run(self._call(method, path, body, headers or {}, data))

    async def _call(
        self, method: str, path: str, body: Any, headers: dict[str, str], data: bytes | None
    ) -> Any:
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.request(
                    method,
                    self.url.rstrip("/") + path,
                    json=body,
                    data=data,
                    headers=headers | self._headers(),
                ) as response,
            ):
                answer = await response.json(content_type=None)
                if response.status >= MIN_ERROR_STATUS:
                    _fail_response(response.status, answer)
                return answer
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            fail(f"{self.url}: {error!r}", ExitCode.UNREACHABLE)

    async def lines(self, path: str) -> AsyncIterator[bytes]:
        """Yield the lines of a streamed answer."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.url.rstrip("/") + path, headers=self._headers()) as response,
        ):
            if response.status >= MIN_ERROR_STATUS:
                _fail_response(response.status, await response.json(content_type=None))
            async for line in response.content:
                yield line

    def _headers(self) -> dict[str, str]:
        return {"Authorization": f"Bearer {self.key}"}


def _fail_response(status: int, answer: Any) -> None:
    error = answer.get("error", {}) if isinstance(answer, dict) else {}
    findings = error.get("findings")
    if findings:
        fail_findings(Finding(f["file"], f["place"], f["reason"]) for f in findings)
    message = f"{error.get('code', status)}: {error.get('message', answer)}"
    if status == STATUS_PRECONDITION_FAILED:
        for record in answer.get("changed", []):
            keys = ", ".join(change["key"] for change in record["changes"])
            message += f"\n  revision {record['revision']} by {record['author']!r}: {keys}"
        fail(message, ExitCode.CONFLICT)
    unknown = error.get("outcome") == "unknown"
    fail(message, ExitCode.UNKNOWN_OUTCOME if unknown else ExitCode.FAILED)
