"""Calls between nodes over persistent TCP connections with length-prefixed protobuf frames.

There is one connection per peer and traffic class, so that a large batch response does not delay an
online token (head-of-line blocking). A call consists of one request frame and one or more response
frames; a cancel frame aborts it. Writes respect the socket's flow control, and frames to a peer
that does not read are rejected instead of queued without limit.
"""

import asyncio
import logging
import struct
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from enum import StrEnum
from typing import cast

from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import CallError, Cancel, Frame
from wharfcart.cluster.round_trips import RoundTripTimes
from wharfcart.errors import Outcome, ServingError
from wharfcart.http.dead_peer_detection import enable_dead_peer_detection
from wharfcart.observability.tasks import BackgroundTasks

LENGTH_PREFIX = struct.Struct(">I")
MAX_FRAME_BYTES = 32 * 1024 * 1024
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0
# A connection is closed once sent bytes stay unacknowledged for this time, because the machine has
# probably failed. A machine that pauses for less time keeps its connections.
UNACKNOWLEDGED_TIMEOUT_MS = 2500
ROUND_TRIP_SAMPLE_KINDS = frozenset(("slot_request", "permit_request", "replicate_jobs"))

logger = logging.getLogger(__name__)


class TrafficClass(StrEnum):
    """Class of a call; different classes never share a connection."""

    ONLINE = "online"
    SLOTS = "slots"
    BULK = "bulk"


class PeerUnreachableError(Exception):
    """Raised when a peer cannot be reached or the connection is lost.

    Attributes:
        sent: whether the request may have reached the peer.
    """

    def __init__(self, address: Address, sent: bool) -> None:
        super().__init__(f"{address.host}:{address.port}")
        self.sent = sent


Responder = Callable[[Frame], Awaitable[None]]
Handler = Callable[[Frame, Responder], Awaitable[None]]
# Called for each frame sent: host of the peer, kind of the frame, size in bytes.
OnSent = Callable[[str, str, int], None]


def _ignore_sent(_host: str, _kind: str, _size: int) -> None:
    return


def error_frame(error: ServingError, leader_hint: str = "") -> Frame:
    """Wrap an error as the last frame of a response."""
    return Frame(
        error=CallError(
            code=error.code,
            message=error.message,
            outcome=error.outcome.value,
            status=error.status,
            leader_hint=leader_hint,
            retry_after_ms=int((error.retry_after_seconds or 0) * 1000),
        )
    )


class _FrameProtocol(asyncio.Protocol):
    """Splits the byte stream into frames and applies write flow control."""

    def __init__(
        self, on_frame: Callable[[Frame], None], on_lost: Callable[[], None], on_sent: OnSent
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._on_sent = on_sent
        self._host = ""
        self._buffer = bytearray()
        self._writable = asyncio.Event()
        self._writable.set()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports do not subclass asyncio's.
        self.transport = cast(asyncio.Transport, transport)
        peer = transport.get_extra_info("peername")
        self._host = str(peer[0]) if peer else ""
        enable_dead_peer_detection(transport, UNACKNOWLEDGED_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._writable.set()
        self._on_lost()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        offset = 0
        while len(self._buffer) - offset >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer, offset)
            if length > MAX_FRAME_BYTES:
                logger.warning("frame exceeds the size limit", extra={"bytes": length})
                self.close()
                return
            end = offset + LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            frame = Frame.FromString(bytes(self._buffer[offset + LENGTH_PREFIX.size : end]))
            offset = end
            self._on_frame(frame)
        del self._buffer[:offset]

    def write(self, frame: Frame) -> bool:
        """Write without waiting; False if the connection is closed or its buffer is full."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            return False
        data = frame.SerializeToString()
        transport.write(LENGTH_PREFIX.pack(len(data)) + data)
        self._on_sent(self._host, frame.WhichOneof("body") or "", LENGTH_PREFIX.size + len(data))
        return True

    async def write_when_ready(self, frame: Frame) -> bool:
        """Wait until the connection is writable, then write."""
        await self._writable.wait()
        return self.write(frame)

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()


class _Connection:
    """Client side of one connection; matches responses to calls."""

    def __init__(self, address: Address, on_sent: OnSent) -> None:
        self.address = address
        self._calls: dict[int, asyncio.Queue[Frame | None]] = {}
        self._next_call = 1
        self.protocol = _FrameProtocol(self._on_frame, self._on_lost, on_sent)
        self.lost = False

    def _on_frame(self, frame: Frame) -> None:
        queue = self._calls.get(frame.call_id)
        if queue is not None:
            queue.put_nowait(frame)

    def _on_lost(self) -> None:
        self.lost = True
        for queue in self._calls.values():
            queue.put_nowait(None)

    async def call(self, frame: Frame) -> AsyncGenerator[Frame, None]:
        call_id = self._next_call
        self._next_call += 1
        queue: asyncio.Queue[Frame | None] = asyncio.Queue()
        self._calls[call_id] = queue
        frame.call_id = call_id
        finished = False
        try:
            if not await self.protocol.write_when_ready(frame):
                raise PeerUnreachableError(self.address, sent=False)
            while True:
                answer = await queue.get()
                if answer is None:
                    raise PeerUnreachableError(self.address, sent=True)
                finished = answer.last
                yield answer
                if answer.last:
                    return
        finally:
            del self._calls[call_id]
            if not finished and not self.lost:
                self.protocol.write(Frame(call_id=call_id, cancel=Cancel()))


class Transport:
    """Client and server for all calls between one node and its peers.

    Args:
        handler: handles calls from peers.
        on_sent: called for each frame sent.
    """

    def __init__(self, handler: Handler, on_sent: OnSent = _ignore_sent) -> None:
        self._handler = handler
        self._on_sent = on_sent
        self._round_trip_times = RoundTripTimes()
        self._server: asyncio.Server | None = None
        self._connections: dict[tuple[Address, TrafficClass], _Connection] = {}
        self._connect_locks: dict[tuple[Address, TrafficClass], asyncio.Lock] = {}
        self._inbound_connections: set[_FrameProtocol] = set()
        self._tasks = BackgroundTasks()

    async def start(self, address: Address) -> None:
        """Listen for peers."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, address.host, address.port)

    async def stop(self) -> None:
        """Close all connections and cancel the running handlers."""
        if self._server is not None:
            self._server.close()
        self._tasks.cancel()
        for connection in self._connections.values():
            connection.protocol.close()
        for protocol in list(self._inbound_connections):
            protocol.close()

    async def call(
        self, address: Address, frame: Frame, traffic: TrafficClass = TrafficClass.BULK
    ) -> Frame:
        """Send one request and return its first response.

        Raises:
            PeerUnreachableError: the peer cannot be reached or the connection is lost.
            ServingError: the peer responded with an error.
        """
        async with aclosing(self.stream(address, frame, traffic)) as answers:
            async for answer in answers:
                return answer
        raise PeerUnreachableError(address, sent=True)

    async def stream(
        self, address: Address, frame: Frame, traffic: TrafficClass = TrafficClass.BULK
    ) -> AsyncGenerator[Frame, None]:
        """Send one request and yield its responses.

        Raises:
            PeerUnreachableError: the peer cannot be reached or the connection is lost.
            ServingError: the peer responded with an error.
        """
        connection = await self._connect(address, traffic)
        # Only requests that are answered immediately measure the round-trip time.
        sent_at = monotonic() if frame.WhichOneof("body") in ROUND_TRIP_SAMPLE_KINDS else None
        async with aclosing(connection.call(frame)) as answers:
            async for answer in answers:
                if sent_at is not None:
                    self._round_trip_times.observe(address, monotonic() - sent_at, monotonic())
                    sent_at = None
                if answer.WhichOneof("body") == "error":
                    raise _serving_error(answer.error)
                yield answer

    def send(
        self, address: Address, frame: Frame, traffic: TrafficClass = TrafficClass.BULK
    ) -> None:
        """Send a frame without waiting for a response; it is dropped if the peer is unreachable."""
        connection = self._connections.get((address, traffic))
        if connection is not None and not connection.lost:
            connection.protocol.write(frame)
            return
        self._tasks.spawn(self._connect_and_send(address, frame, traffic))

    def round_trip_s(self, address: Address) -> float:
        """Return the recent minimum round-trip time to a peer in seconds; 0 if it is unknown."""
        return self._round_trip_times.min_s(address, monotonic())

    def drop(self, address: Address, only: TrafficClass | None = None) -> None:
        """Close the connections to an unresponsive peer; the next call reconnects.

        Args:
            address: address of the peer.
            only: the one traffic class to close; None for all.
        """
        for traffic in TrafficClass if only is None else (only,):
            connection = self._connections.pop((address, traffic), None)
            if connection is not None:
                connection.protocol.close()

    async def _connect_and_send(
        self, address: Address, frame: Frame, traffic: TrafficClass
    ) -> None:
        try:
            connection = await self._connect(address, traffic)
        except PeerUnreachableError:
            return
        connection.protocol.write(frame)

    async def _connect(self, address: Address, traffic: TrafficClass) -> _Connection:
        key = (address, traffic)
        lock = self._connect_locks.setdefault(key, asyncio.Lock())
        async with lock:
            connection = self._connections.get(key)
            if connection is not None and not connection.lost:
                return connection
            connection = _Connection(address, self._on_sent)
            loop = asyncio.get_running_loop()
            started_at = monotonic()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await loop.create_connection(
                        lambda: connection.protocol, address.host, address.port
                    )
            except (OSError, TimeoutError) as error:
                raise PeerUnreachableError(address, sent=False) from error
            self._round_trip_times.observe(address, monotonic() - started_at, monotonic())
            self._connections[key] = connection
            return connection

    def _accept(self) -> _FrameProtocol:
        running: dict[int, asyncio.Task[None]] = {}

        def on_frame(frame: Frame) -> None:
            if frame.WhichOneof("body") == "cancel":
                task = running.pop(frame.call_id, None)
                if task is not None:
                    task.cancel()
                return
            task = self._tasks.spawn(self._serve(frame, protocol))
            if frame.call_id:
                running[frame.call_id] = task
                task.add_done_callback(lambda _: running.pop(frame.call_id, None))

        def on_lost() -> None:
            self._inbound_connections.discard(protocol)
            for task in list(running.values()):
                task.cancel()

        protocol = _FrameProtocol(on_frame, on_lost, self._on_sent)
        self._inbound_connections.add(protocol)
        return protocol

    async def _serve(self, frame: Frame, protocol: _FrameProtocol) -> None:
        async def respond(answer: Frame) -> None:
            answer.call_id = frame.call_id
            answer.response = True
            await protocol.write_when_ready(answer)

        try:
            await self._handler(frame, respond)
        except ServingError as error:
            answer = error_frame(error)
            answer.last = True
            await respond(answer)
        except asyncio.CancelledError:
            raise
        except Exception:
            logger.exception("call handler failed", extra={"call": frame.WhichOneof("body")})
            # The request may have taken effect before the error.
            failure = ServingError("internal", "internal error", 500, Outcome.UNKNOWN)
            answer = error_frame(failure)
            answer.last = True
            await respond(answer)


def _serving_error(error: CallError) -> ServingError:
    result = ServingError(
        error.code,
        error.message,
        error.status or 500,
        Outcome(error.outcome),
        error.retry_after_ms / 1000 or None,
    )
    if error.leader_hint:
        result.add_note(error.leader_hint)
    return result
