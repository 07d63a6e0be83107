"""HTTP/1.1 client connection for one request at a time, strict about malformed responses.

httptools (llhttp) parses the bytes. Common HTTP clients lack these checks:

* a response without a length is complete only if the peer closed the connection in order, not if
  it reset it;
* a response with the id of another request is dropped, and the connection waits for the next one;
* bytes that arrive while no request is pending make the connection unusable;
* a response that arrives before the request body is written makes the connection unusable;
* bytes without end, in whatever part of a response, close the connection once they exceed a bound.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import ClassVar, cast

import httptools

from wharfcart.http.body_budget import BodyBudget
from wharfcart.http.dead_peer_detection import enable_dead_peer_detection
from wharfcart.http.grammar import parse_whole_number

# Longer than the retransmission of lost packets takes, shorter than callers wait.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
CONNECTION_BUFFER_BYTES = 256 * 1024
NO_BODY_STATUSES = frozenset({204, 304})
# Bytes of heads, interim responses, chunk framing and trailers without a byte of the body between.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_HEADER_FIELDS = 256
# Of responses to other requests, which are dropped.
MAX_FOREIGN_BYTES = 4 * 1024 * 1024
# Of one body that is read whole. Bodies that are read in parts have no limit.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Of a body that nobody reads.
MAX_DISCARDED_BYTES = 64 * 1024
# Of all bodies that the process is reading whole, beyond a part that each has for itself.
BODY_BUDGET_BYTES = 24 * 1024 * 1024
FREE_BODY_BYTES = 64 * 1024


class Framing(StrEnum):
    """How a response tells where its body ends.

    Attributes:
        DELIMITED: by a length, by chunks, or because its status has no body.
        UNTIL_CLOSE: by the end of the connection, which proves nothing if the peer's process ended.
    """

    DELIMITED = "delimited"
    UNTIL_CLOSE = "until_close"


class ConnectFailedError(Exception):
    """The connection could not be opened, so nothing was sent.

    Attributes:
        refused: whether the peer's machine refused or reset the connection. If False, the state of
            the peer is unknown.
    """

    def __init__(self, reason: str = "", refused: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused


class BreakCause(StrEnum):
    """Why a request got no complete response.

    Attributes:
        CLOSED: the peer closed or reset the connection.
        MALFORMED: the received bytes are not a valid response to the request.
        TIMED_OUT: this node stopped waiting.
    """

    CLOSED = "closed"
    MALFORMED = "malformed"
    TIMED_OUT = "slow"


class ConnectionBrokenError(Exception):
    """The connection closed or received malformed bytes before the response was complete.

    Attributes:
        sent: whether any byte of the request may have reached the peer.
        cause: why the response is incomplete.
    """

    def __init__(
        self, reason: str, sent: bool = True, cause: BreakCause = BreakCause.MALFORMED
    ) -> None:
        super().__init__(reason)
        self.sent = sent
        self.cause = cause


class _TooManyFieldsError(Exception):
    """A head has too many header fields."""


class UnsendableRequestError(Exception):
    """The head of a request has a line end or NUL in a value; nothing was sent."""


class ResponseHead:
    """Status and headers of a response; header names are in lower case.

    Attributes:
        framing: how the response tells where its body ends.
    """

    __slots__ = ("framing", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        framing: Framing = Framing.DELIMITED,
    ) -> None:
        self.status = status
        self.headers = headers
        self.framing = framing

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


@dataclass
class _Response:
    """Parser state of the pending response.

    Attributes:
        until_close: the response has no length and ends when the peer closes the connection.
        belongs_to_other_request: the message being parsed has the id of another request.
        has_extra_response: a second response arrived for one request.
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
    """Client connection to one address.

    Attributes:
        body_budget: bytes that all connections of the process may hold of bodies read whole.
        idle_since: monotonic time at which the last response was finished.
        idle_limit_s: idle timeout that the peer announced, or 0.
        closed: whether the connection is closed.
        response_count: responses completed on this connection.
    """

    body_budget: ClassVar[BodyBudget] = BodyBudget(BODY_BUDGET_BYTES)

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[None] | None = None
        self._failure: ConnectionBrokenError | None = None
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._body_bytes = 0
        self._foreign_bytes = 0
        self._overhead_bytes = 0
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

    # ---- requests ----

    @classmethod
    async def open(cls, host: str, port: int, timeout_s: float) -> "HttpConnection":
        """Open a connection.

        Raises:
            ConnectFailedError: the connection was not established within ``timeout_s``.
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
        """Whether another request can be sent on this connection."""
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
        """Send a request.

        A response with an ``id_header`` that differs from ``expected_id`` is dropped; one without
        the header is accepted.

        Text is sent as UTF-8; bytes that are none, as sanic reads them, are sent unchanged.

        Raises:
            ConnectionBrokenError: the connection is not reusable; ``sent`` is False.
            UnsendableRequestError: the peer would read another request; the connection stays open.
        """
        if not self.reusable or self._transport is None or self._transport.is_closing():
            raise ConnectionBrokenError("connection is closed", sent=False)
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"content-length: {len(body)}")
        head = _encode_head(lines)
        self._response = _Response()
        self._foreign_bytes = 0
        self._overhead_bytes = 0
        self._busy = True
        self._id_header = id_header
        self._expected_id = expected_id
        self._transport.write(head + body)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and headers of the response.

        Raises:
            ConnectionBrokenError: the connection broke before they arrived.
        """
        while not self._response.head_ready:
            self._raise_failure()
            await self._wait()
        framing = Framing.UNTIL_CLOSE if self._response.until_close else Framing.DELIMITED
        return ResponseHead(self._response.status, self._response.headers, framing)

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None at the end of a complete response.

        Raises:
            ConnectionBrokenError: the connection broke before the response was complete.
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

    async def read_body(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body of a complete response.

        Args:
            max_bytes: longest body that is accepted.

        Raises:
            ConnectionBrokenError: the connection broke before the response was complete, or the
                body is longer than accepted, or than what is left of the process's budget.
        """
        parts = []
        size = 0
        with self.body_budget.reservation(FREE_BODY_BYTES) as reservation:
            while (part := await self.read_part()) is not None:
                parts.append(part)
                size += len(part)
                if size > max_bytes:
                    self.close()
                    raise ConnectionBrokenError(f"a body has over {max_bytes} bytes")
                if not reservation.grow(size):
                    self.close()
                    raise ConnectionBrokenError("the bodies being read hold too many bytes")
            return b"".join(parts)

    async def discard_body(self) -> None:
        """Drop the rest of the body; close the connection if it is long.

        Raises:
            ConnectionBrokenError: the connection broke before.
        """
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > MAX_DISCARDED_BYTES:
                self.close()
                return

    def finish(self, now: float) -> bool:
        """Release the connection after a response; close it and return False if not reusable."""
        unsent = self._transport is not None and self._transport.get_write_buffer_size() > 0
        reusable = (
            self._response.complete
            and not self._response.has_extra_response
            and self._response.keep_alive
            and not unsent
            and not self.closed
            and self._failure is None
        )
        if not reusable:
            self.close()
            return False
        self._busy = False
        self.idle_since = now
        self.response_count += 1
        return True

    def close(self) -> None:
        """Abort the connection at once, even while a request is pending."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    # ---- asyncio.Protocol ----

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable dead-peer detection."""
        # uvloop's transports are not subclasses of asyncio's.
        self._transport = cast(asyncio.Transport, transport)
        enable_dead_peer_detection(transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; fail the connection if no request is pending."""
        if not self._busy:
            self._fail("bytes without a request", BreakCause.MALFORMED)
            return
        body_bytes, foreign_bytes = self._body_bytes, self._foreign_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"no HTTP: {type(error).__name__}", BreakCause.MALFORMED)
            return
        body_bytes, foreign_bytes = (
            self._body_bytes - body_bytes,
            self._foreign_bytes - foreign_bytes,
        )
        self._overhead_bytes = 0 if body_bytes else self._overhead_bytes + len(data) - foreign_bytes
        if self._has_excess():
            return
        if self._buffered_bytes > CONNECTION_BUFFER_BYTES and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Complete a response that ends at close; fail any other one."""
        closed_in_order = self._socket_error() == 0
        if (
            closed_in_order
            and self._response.head_ready
            and not self._response.complete
            and self._response.until_close
        ):
            self._response.complete = True
            self._response.keep_alive = False
        self._fail("ended by the peer" if closed_in_order else "reset")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an incomplete response."""
        self.closed = True
        self._fail("reset" if exc is not None else "closed")

    # ---- httptools callbacks ----

    def on_message_begin(self) -> None:
        """Begin a response, or record an extra one."""
        if self._response.complete:
            self._response.has_extra_response = True
            return
        self._response.headers = []
        self._response.belongs_to_other_request = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; drop a trailer.

        Raises:
            _TooManyFieldsError: the head has too many fields.
        """
        if self._response.has_extra_response or self._response.head_ready:
            return
        if len(self._response.headers) >= MAX_HEADER_FIELDS:
            raise _TooManyFieldsError
        self._response.headers.append(
            (name.decode("latin-1").lower(), value.decode("utf-8", "surrogateescape"))
        )

    def on_headers_complete(self) -> None:
        """Check the response's request id and how its body ends."""
        if self._response.has_extra_response:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._response.informational = True
            return
        self._response.informational = False
        head = ResponseHead(status, self._response.headers)
        response_id = head.get(self._id_header) if self._id_header else None
        self._response.belongs_to_other_request = (
            response_id is not None and response_id != self._expected_id
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
        """Buffer bytes of the body."""
        if (
            self._response.has_extra_response
            or self._response.belongs_to_other_request
            or self._response.informational
        ):
            self._foreign_bytes += len(body)
            return
        self._body_bytes += len(body)
        self._parts.append(body)
        self._buffered_bytes += len(body)

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        if (
            self._response.has_extra_response
            or self._response.belongs_to_other_request
            or self._response.informational
        ):
            return
        self._response.complete = True
        self._response.keep_alive = self._parser.should_keep_alive()

    # ---- internals ----

    def _has_excess(self) -> bool:
        """Close the connection if it received more than a response may have; return whether."""
        if self._response.has_extra_response:
            # The response itself is complete.
            self._fail("bytes after the response", BreakCause.MALFORMED)
        elif self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(f"over {MAX_OVERHEAD_BYTES} bytes without a body", BreakCause.MALFORMED)
        elif self._foreign_bytes > MAX_FOREIGN_BYTES:
            self._fail("a response to another request is too long", BreakCause.MALFORMED)
        return self._failure is not None

    def _socket_error(self) -> int:
        """Return the pending error of the socket, 0 for none.

        libuv reports end of stream when a reset arrives together with the last bytes, since it
        treats the hang-up as the end without another read. Only the socket shows the reset.
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
            seconds = parse_whole_number(value)
            if name.lower() == "timeout" and seconds is not None:
                self.idle_limit_s = float(seconds)

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


def _encode_head(lines: list[str]) -> bytes:
    """Return the head of a request.

    Raises:
        UnsendableRequestError: a line has an end of its own.
    """
    text = "\r\n".join(lines)
    line_ends = len(lines) - 1
    if text.count("\r") != line_ends or text.count("\n") != line_ends or "\0" in text:
        raise UnsendableRequestError
    return (text + "\r\n\r\n").encode("utf-8", "surrogateescape")
