"""Client of the platform's metadata store, which serves as the coordination service."""

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
WATCH_TIMEOUT_MARGIN_S = 1.0
MAX_IDLE_S = 3.0


class MetadataStore:
    """Client of the metadata store; reuses idle connections."""

    def __init__(self, host: str, port: int, calls: Counter) -> None:
        self._host = host
        self._port = port
        self._calls = calls
        self._idle_connections: list[HttpConnection] = []

    async def read_all(self, stale: bool = False) -> ChangeBatch:
        """Return every key, read page by page.

        Args:
            stale: whether values may be some seconds old.
        """
        found: list[KeyChange] = []
        after = ""
        first_revision = 0
        while True:
            query = f"?pathPrefix=&after={quote(after, safe='')}" if after else "?pathPrefix="
            query += "&stale=1" if stale else ""
            page = await self._call("GET", names.READ_RANGE + query)
            # Later pages are newer; the batch is complete only up to the first page's revision.
            first_revision = first_revision or int(page["at"])
            found += [_parse_change(item) for item in page["requests"]]
            if not page.get("more") or not page["requests"]:
                return ChangeBatch(tuple(found), first_revision, complete=True)
            after = str(page["requests"][-1]["key"])

    async def wait_for_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Return the changes after a revision; wait for the first one for at most ``wait_s``."""
        query = f"?pathPrefix=&after={after}&waitMs={int(wait_s * 1000)}"
        page = await self._call("GET", names.WATCH + query, wait_s + WATCH_TIMEOUT_MARGIN_S)
        return ChangeBatch(tuple(_parse_change(event) for event in page["events"]), int(page["at"]))

    async def read(self, key: str) -> KeyChange | None:
        """Return the value of a key and its revision, or None."""
        query = f"?key={quote(key, safe='')}"
        try:
            return _parse_change(await self._call("GET", names.READ_KEY + query))
        except KeyError:
            return None

    async def commit(self, transaction: Transaction) -> int:
        """Execute a transaction and return its revision."""
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
        result = await self._call("POST", names.TRANSACTION, CALL_TIMEOUT_S, data)
        return int(result["revision"])

    async def _call(
        self, method: str, target: str, timeout_s: float = CALL_TIMEOUT_S, body: bytes = b""
    ) -> dict[str, Any]:
        self._calls.add(target.partition("?")[0].rpartition("/")[2])
        is_write = method == "POST"
        connection = await self._acquire_connection()
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
            raise CoordinationUnavailableError(str(error) or "no answer", is_write) from error
        except BaseException:
            connection.close()
            raise
        if connection.finish(monotonic()):
            self._idle_connections.append(connection)
        return _parse_response(head.status, data, is_write)

    async def _acquire_connection(self) -> HttpConnection:
        now = monotonic()
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.reusable and now - connection.idle_since < MAX_IDLE_S:
                return connection
            connection.close()
        try:
            return await HttpConnection.open(self._host, self._port, CONNECT_TIMEOUT_S)
        except ConnectFailedError as error:
            raise CoordinationUnavailableError(f"connect: {error}") from error


def _parse_response(status: int, data: bytes, is_write: bool) -> dict[str, Any]:
    if status == 200:
        try:
            result: dict[str, Any] = json.loads(data)
        except ValueError as error:
            raise CoordinationUnavailableError("response is not JSON", is_write) from error
        return result
    if status == 404:
        raise KeyError
    if status == 410:
        raise HistoryLostError
    if status == 412:
        raise ConditionFailedError
    refused = status in (400, 403, 429, 503)
    raise CoordinationUnavailableError(f"status {status}", is_write and not refused)


def _parse_change(item: dict[str, Any]) -> KeyChange:
    value = None if item.get("gone") else base64.b64decode(item.get("value", ""))
    return KeyChange(str(item["key"]), int(item["revision"]), value)
