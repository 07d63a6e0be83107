"""Splitting of a byte stream into server-sent events.

Only complete events of a resumable stream are forwarded: a back end may stop in the middle of an
event, and the next back end resumes after the last complete one.
"""

from dataclasses import dataclass

from wharfcart.http.grammar import parse_whole_number

# More than a page of results holds.
MAX_EVENT_BYTES = 1024 * 1024
_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"
# Ends of an empty line after a line, for each line ending that the format allows.
_EMPTY_LINE_ENDS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_EMPTY_LINE_BYTES = 3
_MAX_EVENT_END_BYTES = 4


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        number: its number; None if it has none, as a comment.
        data: its data.
        raw: its bytes.
    """

    number: int | None
    data: str
    raw: bytes


class EventSplitter:
    """Splits a stream whose events have numbers; buffers an incomplete event.

    Attributes:
        malformed: why the bytes after the last returned event are no event; '' if they may be one.
            Nothing is returned after that.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        self.malformed = ""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events completed by them."""
        events: list[StreamEvent] = []
        if self.malformed:
            return events
        self._buffer += data
        while end := self._find_event_end():
            event = self._parse(bytes(self._buffer[:end]))
            if event is None:
                return events
            del self._buffer[:end]
            self._searched = 0
            events.append(event)
        self._searched = max(0, len(self._buffer) - _MAX_EVENT_END_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            self.malformed = f"an event has over {MAX_EVENT_BYTES} bytes"
        return events

    def _find_event_end(self) -> int:
        """Return the position after the first event; 0 if none is complete."""
        lf = self._buffer.find(_EVENT_END, self._searched)
        crlf = self._buffer.find(_EVENT_END_CRLF, self._searched)
        if crlf >= 0 and (lf < 0 or crlf < lf):
            return crlf + len(_EVENT_END_CRLF)
        return lf + len(_EVENT_END) if lf >= 0 else 0

    def _parse(self, raw: bytes) -> StreamEvent | None:
        """Return an event, or None if it is malformed: a text would lack its data."""
        number = None
        data = []
        for line in raw.decode("utf-8", "replace").splitlines():
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "id":
                number = parse_whole_number(value)
                if number is None:
                    self.malformed = f"the number of an event is {value[:32]!r}"
                    return None
        if data and number is None:
            self.malformed = "an event with data has no number"
            return None
        return StreamEvent(number, "\n".join(data), raw)


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
