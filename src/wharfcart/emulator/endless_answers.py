"""Answers of back ends in trouble: bytes without end, in a head or a body."""

import asyncio
from enum import Enum
from itertools import cycle, islice

from aiohttp import web

# Of one answer; more than any caller may accept.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
PART_BYTES = 64 * 1024
# A caller that stops reading holds the writer up from this buffer size on.
MAX_BUFFERED_BYTES = 256 * 1024
FULL_BUFFER_WAIT_S = 0.005
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"


class EndlessShape(Enum):
    """Where the bytes without end are; the value is the beginning and what is repeated."""

    FIELD = (STATUS_LINE + b"X-Long: ", b"x")
    FIELDS = (STATUS_LINE, b"X-Field: 1\r\n")
    INTERIM = (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    BODY = (STATUS_LINE + b"Content-Length: 99999999999\r\n\r\n", b"x")
    ERROR_BODY = (b"HTTP/1.1 500 Error\r\n\r\n", b"x")
    TRAILERS = (
        STATUS_LINE + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        b"X-Trailer: 1\r\n",
    )
    GARBAGE = (b"", b"\x00\xffgarbage")

    @classmethod
    def draw(cls, number: int) -> "EndlessShape":
        """Return the shapes in turn."""
        return next(islice(cycle(cls), number % len(cls), None))


async def write_endless(request: web.Request, shape: EndlessShape) -> None:
    """Answer a request with bytes without end, until the caller closes.

    Raises:
        ConnectionResetError: always; no other answer follows.
    """
    transport = request.transport
    first, unit = shape.value
    part = unit * (PART_BYTES // len(unit))
    written = 0
    if transport is not None:
        transport.write(first)
    while transport is not None and not transport.is_closing() and written < MAX_ANSWER_BYTES:
        if transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            await asyncio.sleep(FULL_BUFFER_WAIT_S)
            continue
        transport.write(part)
        written += len(part)
        await asyncio.sleep(0)
    if transport is not None:
        transport.abort()
    raise ConnectionResetError("the answer has no end")
