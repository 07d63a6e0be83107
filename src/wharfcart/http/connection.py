"""One HTTP/1.1 client connection, one request at a time, that trusts no byte too many.

Parsing is httptools' (llhttp). What this module adds, and why a ready-made client does not do:

* an answer without a length is whole only if the peer ended the connection in order; a reset one
  is not (the usual client takes both for whole);
* an answer that carries another request's id is dropped, and the one that follows is awaited;
* bytes that arrive while no request is waiting make the connection unusable;
* an answer that came before the request's body was written leaves an unusable connection.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import cast

import httptools

from wharfcart.http.dead_peer_detection import enable_dead_peer_detection

# A peer that acknowledges nothing for so long is gone: longer than packets that are sent once more
# take, shorter than a caller stays.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
CONNECTION_BUFFER_BYTES = 256 * 1024
NO_BODY_STATUSES = frozenset({204, 304})


class ConnectFailedError(Exception):
    """No connection came up: nothing was sent.

    Attributes:
        refused: the peer's machine answered that nobody listens; otherwise nothing is known of it.
    """

    def __init__(self, reason: str = "", refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class BreakCause(StrEnum):
    """Why an exchange came to no whole answer.

    Attributes:
        CLOSED: the peer closed or reset the connection.
        MALFORMED: what arrived was no answer to the request.
        SLOW: this node did not wait any longer.
    """

    CLOSED = "closed"
    MALFORMED = "malformed"
    TIMED_OUT = "slow"


class ConnectionBrokenError(Exception):
    """The connection ended, or what arrived was no HTTP, before the answer was whole.

    Attributes:
        sent: whether any byte of the request may have reached the peer.
        cause: what kind of break it was.
    """

    def __init__(
        self, reason: str, sent: bool = True, cause: BreakCause = BreakCause.MALFORMED
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.cause = cause


class ResponseHead:
    """Status and headers of an answer; header names are in lower case."""

    __slots__ = ("headers", "status")

    def __init__(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status
        self.headers = headers

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


@dataclass
class _Response:
    """What has come of the answer that is awaited.

    ``stray``: the message at hand answers another request. ``poisoned``: a second answer came.
    ``until_close``: the answer has no length and ends with its connection.
    """

    status: int = 0
    headers: list[tuple[str, str]] = field(default_factory=list)
    head_ready: bool = False
    complete: bool = False
    until_close: bool = False
    keep_alive: bool = False
    belongs_to_other_request: bool = False
    informational: bool = False
    has_extra_response: bool = False


class HttpConnection(asyncio.Protocol):
    """A connection to one address."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._failure: ConnectionBrokenError | None = None
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._busy = False
        self._reading_paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._id_header = ""
        self._expected_id = ""
        self._response = _Response()
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.closed = False
        self.response_count = 0

    # ---- use ----

    @classmethod
    async def open(cls, host: str, port: int, timeout_s: float) -> "HttpConnection":
        """Connect.

        Raises
        ------
        ConnectFailedError
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, protocol = await loop.create_connection(cls, host, port)
        except (OSError, TimeoutError) as error:
            refused = isinstance(error, ConnectionRefusedError | ConnectionResetError)
            raise ConnectFailedError(str(error) or "timed out", refused) from error
        return protocol

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return not self.closed and self._failure is None and not self._busy

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        id_header: str = "",
        expected_id: str = "",
    ) -> None:
        """Write a request.

        An answer whose ``id_header`` names another request than ``expected_id`` is dropped.

        Raises
        ------
        ConnectionBrokenError with ``sent`` False
        """
        if not self.reusable or self._transport is None or self._transport.is_closing():
            raise ConnectionBrokenError("connection is closed", sent=False)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"content-length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "surrogateescape")
        self._response = _Response()
        self._busy = True
        self._id_header = id_header
        self._expected_id = expected_id
        self._transport.write(head + body)

    async def read_head(self) -> ResponseHead:
        """Wait for status and headers.

        Raises
        ------
        ConnectionBrokenError
        """
        while not self._response.head_ready:
            self._raise_failure()
            await self._wait()
        return ResponseHead(self._response.status, self._response.headers)

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None at the end of a whole answer.

        Raises
        ------
        ConnectionBrokenError
        """
        while not self._parts:
            if self._response.complete:
                return None
            self._raise_failure()
            await self._wait()
        part = b"".join(self._parts) if len(self._parts) > 1 else self._parts[0]
        self._parts.clear()
        self._buffered_bytes = 0
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()
        return part

    async def read_body(self) -> bytes:
        """Return the rest of the body of a whole answer.

        Raises
        ------
        ConnectionBrokenError
        """
        parts = []
        while (part := await self.read_part()) is not None:
            parts.append(part)
        return b"".join(parts)

    def finish(self, now: float) -> bool:
        """End the use of a whole answer; return whether the connection may be kept."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        kept = (
            self._response.complete
            and not self._response.has_extra_response
            and self._response.keep_alive
            and not unsent
            and not self.closed
            and self._failure is None
        )
        if not kept:
            self.close()
            return False
        self._busy = False
        self.idle_since = now
        self.response_count += 1
        return True

    def close(self) -> None:
        """Close at once, whatever is under way: the peer sees its caller leave."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio.Protocol ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # uvloop's transports are no subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        enable_dead_peer_detection(transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse bytes; without a request they make the connection unusable."""
        if not self._busy:
            self._fail("bytes without a request", BreakCause.MALFORMED)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"no HTTP: {type(error).__name__}", BreakCause.MALFORMED)
            return
        if self._buffered_bytes > CONNECTION_BUFFER_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Complete an answer that ends with its connection; fail any other."""
        ended_in_order = self._socket_error() == 0
        if (
            ended_in_order
            and self._response.head_ready
            and not self._response.complete
            and self._response.until_close
        ):
            self._response.complete = True
            self._response.keep_alive = False
        self._fail("ended by the peer" if ended_in_order else "reset")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an answer that is not whole."""
        self.closed = True
        self._fail("reset" if exc is not None else "closed")

    # ---- httptools callbacks ----

    def on_message_begin(self) -> None:
        """Begin an answer; a second one is not due."""
        if self._response.complete:
            # A second answer where none is due.
            self._response.has_extra_response = True
            return
        self._response.headers = []
        self._response.belongs_to_other_request = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        if not self._response.has_extra_response:
            self._response.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Judge whose answer it is and how its end is known."""
        if self._response.has_extra_response:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._response.informational = True
            return
        self._response.informational = False
        head = ResponseHead(status, self._response.headers)
        answer_id = head.get(self._id_header) if self._id_header else None
        self._response.belongs_to_other_request = (
            answer_id is not None and answer_id != self._expected_id
        )
        if self._response.belongs_to_other_request:
            return
        chunked = "chunked" in (head.get("transfer-encoding") or "").lower()
        has_length = head.get("content-length") is not None or chunked
        self._response.until_close = not has_length and status not in NO_BODY_STATUSES
        self._response.status = status
        self._response.head_ready = True
        self._set_idle_limit(head)

    def on_body(self, body: bytes) -> None:
        """Keep bytes of the body."""
        if (
            self._response.has_extra_response
            or self._response.belongs_to_other_request
            or self._response.informational
        ):
            return
        self._parts.append(body)
        self._buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        if (
            self._response.has_extra_response
            or self._response.belongs_to_other_request
            or self._response.informational
        ):
            return
        self._response.complete = True
        self._response.keep_alive = self._parser.should_keep_alive()

    # ---- inner ----

    def _socket_error(self) -> int:
        """Return the error that is pending on the socket, 0 for none.

        libuv tells the end of the stream where a reset came together with the last bytes (it takes
        the hang-up for the end without another read); only the socket still knows.
        """
        if self._transport is None:
            return 0
        raw = self._transport.get_extra_info("socket")
        try:
            return 0 if raw is None else int(raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        except OSError as error:
            return error.errno or 1

    def _set_idle_limit(self, head: ResponseHead) -> None:
        self.idle_limit_s = 0.0
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                self.idle_limit_s = float(value)

    def _raise_failure(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _fail(self, reason: str, cause: BreakCause = BreakCause.CLOSED) -> None:
        if self._failure is None:
            self._failure = ConnectionBrokenError(reason, cause=cause)
        self.closed = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._notify()

    def _notify(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        await self._waiter
