"""The platform's metadata store, as the coordination service."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import quote

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import (
    ChangeBatch,
    ConditionFailedError,
    CoordinationUnavailableError,
    HistoryLostError,
    KeyChange,
    Transaction,
)
from wharfcart.http.connection import (
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
)
from wharfcart.observability.decisions import Counter
from wharfcart.platform import names

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0
KEEP_IDLE_S = 3.0


class MetadataStore:
    """Client of the store; one kept connection for watches, one for everything else."""

    def __init__(self, host: str, port: int, calls: Counter) -> None:
        self._host = host
        self._port = port
        self._calls = calls
        self._idle: list[HttpConnection] = []

    async def read_all(self, stale: bool = False) -> ChangeBatch:
        """Return every key, a page at a time; ``stale`` ones may be seconds old."""
        found: list[KeyChange] = []
        after = ""
        at = 0
        while True:
            query = f"?pathPrefix=&after={quote(after, safe='')}" if after else "?pathPrefix="
            query += "&stale=1" if stale else ""
            page = await self._call("GET", names.READ_RANGE + query)
            # Pages are no snapshot: only the first one's revision is sure to be complete.
            at = at or int(page["at"])
            found += [_change(item) for item in page["requests"]]
            if not page.get("more") or not page["requests"]:
                return ChangeBatch(tuple(found), at, complete=True)
            after = str(page["requests"][-1]["key"])

    async def wait_for_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Wait for changes after a revision."""
        query = f"?pathPrefix=&after={after}&waitMs={int(wait_s * 1000)}"
        page = await self._call("GET", names.WATCH + query, wait_s + WATCH_MARGIN_S)
        return ChangeBatch(tuple(_change(event) for event in page["events"]), int(page["at"]))

    async def read(self, key: str) -> KeyChange | None:
        """Return one key."""
        query = f"?key={quote(key, safe='')}"
        try:
            return _change(await self._call("GET", names.READ_KEY + query))
        except KeyError:
            return None

    async def commit(self, transaction: Transaction) -> int:
        """Carry out a transaction."""
        body = {
            "expectedRevision": [
                {"key": key, "revision": revision} for key, revision in transaction.expected.items()
            ],
            "put": [
                {"key": key, "value": base64.b64encode(value).decode(), "lease": 0}
                for key, value in transaction.put.items()
            ],
            "remove": list(transaction.remove),
        }
        data = json.dumps(body).encode()
        answer = await self._call("POST", names.TRANSACTION, CALL_TIMEOUT_S, data)
        return int(answer["revision"])

    async def _call(
        self, method: str, target: str, timeout_s: float = CALL_TIMEOUT_S, body: bytes = b""
    ) -> dict[str, Any]:
        self._calls.add(target.partition("?")[0].rpartition("/")[2])
        writes = method == "POST"
        connection = await self._take()
        try:
            async with asyncio.timeout(timeout_s):
                headers = [("host", f"{self._host}:{self._port}")]
                if body:
                    headers.append(("content-type", "application/json"))
                connection.send(method, target, headers, body)
                head = await connection.read_head()
                data = await connection.read_body()
        except (TimeoutError, ConnectionBrokenError) as error:
            connection.close()
            raise CoordinationUnavailableError(str(error) or "no answer", writes) from error
        except BaseException:
            connection.close()
            raise
        if connection.finish(monotonic()):
            self._idle.append(connection)
        return _checked(head.status, data, writes)

    async def _take(self) -> HttpConnection:
        now = monotonic()
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and now - connection.idle_since < KEEP_IDLE_S:
                return connection
            connection.close()
        try:
            return await HttpConnection.open(self._host, self._port, CONNECT_TIMEOUT_S)
        except ConnectFailedError as error:
            raise CoordinationUnavailableError(f"connect: {error}") from error


def _checked(status: int, data: bytes, writes: bool) -> dict[str, Any]:
    if status == 200:
        try:
            answer: dict[str, Any] = json.loads(data)
        except ValueError as error:
            raise CoordinationUnavailableError("answer is no JSON", writes) from error
        return answer
    if status == 404:
        raise KeyError
    if status == 410:
        raise HistoryLostError
    if status == 412:
        raise ConditionFailedError
    refused = status in (400, 403, 429, 503)
    raise CoordinationUnavailableError(f"status {status}", writes and not refused)


def _change(item: dict[str, Any]) -> KeyChange:
    value = None if item.get("gone") else base64.b64decode(item.get("value", ""))
    return KeyChange(str(item["key"]), int(item["revision"]), value)
