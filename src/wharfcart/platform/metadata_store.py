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
# Of a signed 64-bit integer.
MAX_REVISION = 2**63 - 1


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
        revisions: list[int] = []
        while True:
            query = f"?pathPrefix=&after={quote(after, safe='')}" if after else "?pathPrefix="
            query += "&stale=1" if stale else ""
            page = await self._call("GET", names.READ_RANGE + query)
            changes = _parse_changes(page, "requests")
            revisions.append(_parse_revision(page, "at"))
            found += changes
            if not page.get("more") or not changes:
                # Pages differ in age; the batch is complete only up to the oldest one's revision.
                return ChangeBatch(tuple(found), min(revisions), complete=True)
            after = changes[-1].key

    async def wait_for_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Return the changes after a revision; wait for the first one for at most ``wait_s``."""
        query = f"?pathPrefix=&after={after}&waitMs={int(wait_s * 1000)}"
        page = await self._call("GET", names.WATCH + query, wait_s + WATCH_TIMEOUT_MARGIN_S)
        return ChangeBatch(tuple(_parse_changes(page, "events")), _parse_revision(page, "at"))

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
        return _parse_revision(result, "revision", is_write=True)

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
            result = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise CoordinationUnavailableError("answer is no JSON", is_write) from error
        if not isinstance(result, dict):
            raise CoordinationUnavailableError("answer is no object", is_write)
        return result
    if status == 404:
        raise KeyError
    if status == 410:
        raise HistoryLostError
    if status == 412:
        raise ConditionFailedError
    refused = status in (400, 403, 429, 503)
    raise CoordinationUnavailableError(f"status {status}", is_write and not refused)


def _parse_changes(page: dict[str, Any], field: str) -> list[KeyChange]:
    """Return the entries of a page.

    Raises:
        CoordinationUnavailableError: the page or an entry is malformed.
    """
    entries = page.get(field)
    if not isinstance(entries, list):
        raise CoordinationUnavailableError(f"answer has no {field}", False)
    return [_parse_change(entry) for entry in entries]


def _parse_change(entry: Any) -> KeyChange:
    if not isinstance(entry, dict) or not isinstance(entry.get("key"), str):
        raise CoordinationUnavailableError("an entry has no key", False)
    return KeyChange(entry["key"], _parse_revision(entry, "revision"), _parse_value(entry))


def _parse_value(entry: dict[str, Any]) -> bytes | None:
    if entry.get("gone"):
        return None
    text = entry.get("value", "")
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, TypeError) as error:
        raise CoordinationUnavailableError("the value of an entry is no base64", False) from error


def _parse_revision(fields: dict[str, Any], field: str, is_write: bool = False) -> int:
    revision = fields.get(field)
    if type(revision) is not int or not 0 <= revision <= MAX_REVISION:
        raise CoordinationUnavailableError(f"{field} is no revision", is_write)
    return revision
