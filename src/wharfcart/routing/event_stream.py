"""Splitting of a byte stream into server-sent events.

Only complete events of a resumable stream are forwarded: a back end may stop in the middle of an
event, and the next back end resumes after the last complete one.
"""

from dataclasses import dataclass

_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"
# Ends of an empty line after a line, for each line ending that the format allows.
_EMPTY_LINE_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_EMPTY_LINE_BYTES = 3


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event: its number (None if it has none), its data and its raw bytes."""

    number: int | None
    data: str
    raw: bytes


class EventSplitter:
    """Splits a byte stream into events; buffers an incomplete event."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events completed by them."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = self._find_event_end()
            if end < 0:
                return events
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_parse(raw))

    def _find_event_end(self) -> int:
        lf = self._buffer.find(_EVENT_END)
        crlf = self._buffer.find(_EVENT_END_CRLF)
        if crlf >= 0 and (lf < 0 or crlf < lf):
            return crlf + len(_EVENT_END_CRLF)
        return lf + len(_EVENT_END) if lf >= 0 else -1


class EventBoundary:
    """Tracks whether a byte stream stands between two events, without buffering them."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def inside_event(self) -> bool:
        """Whether bytes came after the end of the last complete event."""
        return bool(self._tail) and not self._tail.endswith(_EMPTY_LINE_ENDS)

    def feed(self, data: bytes) -> None:
        """Add bytes."""
        self._tail = (self._tail + data[-_MAX_EMPTY_LINE_BYTES:])[-_MAX_EMPTY_LINE_BYTES:]


def _parse(raw: bytes) -> StreamEvent:
    number = None
    data = []
    for line in raw.decode("utf-8", "replace").splitlines():
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.strip().isdigit():
            number = int(value)
        elif name == "data":
            data.append(value)
    return StreamEvent(number, "\n".join(data), raw)
