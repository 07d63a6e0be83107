"""How a back end may frame, break off and end its answers, as the protocol allows.

A shape says what one answer looks like on the wire; :func:`write_shaped` writes one to a
connection. :class:`ShapeDraw` draws framings and ends for a seed, so that the soak meets them.
"""

import random
import socket
import struct
from asyncio import BaseTransport, StreamWriter, Transport
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import cast

# With this option the kernel resets a connection that is closed.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class AnswerFraming(StrEnum):
    """How an answer tells where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    UNTIL_CLOSE = "until_close"


class Cut(StrEnum):
    """Where an answer is broken off."""

    NOWHERE = "nowhere"
    BEFORE_BODY = "before_body"
    INSIDE_EVENT = "inside_event"
    BETWEEN_EVENTS = "between_events"


class ConnectionEnd(StrEnum):
    """How the connection of a broken or unframed answer ends."""

    IN_ORDER = "in_order"
    RESET = "reset"


class BackendFate(StrEnum):
    """What happens to the back end at the end of the answer."""

    SERVES_ON = "serves_on"
    EXITS = "exits"


@dataclass(frozen=True, slots=True)
class AnswerShape:
    """The shape of one answer.

    Attributes:
        framing: how it tells where its body ends.
        cut: where it is broken off.
        end: how its connection ends.
        fate: what happens to its back end then.
    """

    framing: AnswerFraming = AnswerFraming.CHUNKS
    cut: Cut = Cut.NOWHERE
    end: ConnectionEnd = ConnectionEnd.IN_ORDER
    fate: BackendFate = BackendFate.SERVES_ON

    @property
    def is_whole(self) -> bool:
        """Whether the whole answer is sent."""
        return self.cut is Cut.NOWHERE

    @property
    def closes_connection(self) -> bool:
        """Whether the connection ends with the answer."""
        return not self.is_whole or self.framing is AnswerFraming.UNTIL_CLOSE


class ShapeDraw:
    """Draws how a back end frames its answers and how it ends those that it breaks off.

    Args:
        rng: source of randomness.
        until_close_share: share of the answers without length and chunks.
        break_share: share of the answers that are broken off.
    """

    def __init__(
        self, rng: random.Random, until_close_share: float = 0.0, break_share: float = 0.0
    ) -> None:
        self._rng = rng
        self._until_close_share = until_close_share
        self._break_share = break_share

    def draw_framing(self) -> AnswerFraming:
        """Return the framing of the next answer."""
        if self._rng.random() < self._until_close_share:
            return AnswerFraming.UNTIL_CLOSE
        return AnswerFraming.CHUNKS

    def draw_break(self) -> bool:
        """Return whether the next answer is broken off."""
        return self._rng.random() < self._break_share

    def draw_end(self) -> ConnectionEnd:
        """Return how the connection of a broken-off answer ends."""
        return self._rng.choice(list(ConnectionEnd))


def head_of(
    shape: AnswerShape, headers: Sequence[tuple[str, str]], body: bytes, status: str = "200 OK"
) -> bytes:
    """Return the head of an answer with a body."""
    framing = {
        AnswerFraming.LENGTH: [("Content-Length", str(len(body)))],
        AnswerFraming.CHUNKS: [("Transfer-Encoding", "chunked")],
        AnswerFraming.UNTIL_CLOSE: [],
    }[shape.framing]
    lines = [f"{name}: {value}" for name, value in (*headers, *framing)]
    return ("\r\n".join([f"HTTP/1.1 {status}", *lines]) + "\r\n\r\n").encode("latin-1")


def body_parts(shape: AnswerShape, parts: Sequence[bytes]) -> list[bytes]:
    """Return the parts of a body that are sent, framed, the end of the framing included.

    Args:
        shape: the shape of the answer.
        parts: the whole body; the parts of a stream are its events.
    """
    sent = list(_cut_parts(shape.cut, parts))
    if shape.framing is not AnswerFraming.CHUNKS:
        return sent
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in sent]
    return [*chunks, b"0\r\n\r\n"] if shape.is_whole else chunks


def _cut_parts(cut: Cut, parts: Sequence[bytes]) -> Sequence[bytes]:
    half = max(1, len(parts) // 2)
    match cut:
        case Cut.NOWHERE:
            return parts
        case Cut.BEFORE_BODY:
            return []
        case Cut.BETWEEN_EVENTS:
            return parts[:half]
        case Cut.INSIDE_EVENT:
            return [*parts[: half - 1], parts[half - 1][: len(parts[half - 1]) // 2]]


def end_connection(transport: BaseTransport, end: ConnectionEnd) -> None:
    """Close or reset a connection that is open."""
    if transport.is_closing():
        return
    if end is ConnectionEnd.RESET:
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        cast(Transport, transport).abort()
        return
    transport.close()


async def write_shaped(
    writer: StreamWriter,
    shape: AnswerShape,
    headers: Sequence[tuple[str, str]],
    parts: Sequence[bytes],
) -> None:
    """Write an answer and end its connection where its shape says so."""
    writer.write(head_of(shape, headers, b"".join(parts)))
    for part in body_parts(shape, parts):
        writer.write(part)
        await writer.drain()
    if shape.closes_connection:
        end_connection(writer.transport, shape.end)
