"""Splitting of a byte stream into server-sent events, by the grammar of the HTML standard.

Only complete events of a resumable stream are forwarded: a back end may stop in the middle of an
event, and the next back end resumes after the last complete one.
"""

import re
from dataclasses import dataclass

from wharfcart.http.grammar import parse_whole_number

# More than a page of results holds.
MAX_EVENT_BYTES = 1024 * 1024
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# Of these alone; a text may contain other characters that Python takes for ends of lines.
_LINE_END = re.compile(rb"\r\n|\n|\r")
# An empty line after a line. The group is atomic, so that one CRLF is no two ends.
_EVENT_END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")
# The next byte tells whether the last line end is a CR or a CRLF.
_HALF_EVENT_END = b"\n\r"
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
        self._is_at_start = True
        self.malformed = ""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event; without the rest of its last line end."""
        return bytes(self._buffer).lstrip(b"\r\n")

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
        if self._buffer.find(b"\r", self._searched) < 0:
            start = self._buffer.find(b"\n\n", self._searched)
            return 0 if start < 0 else start + len(b"\n\n")
        found = _EVENT_END.search(self._buffer, self._searched)
        if found is None:
            return 0
        is_half = found.end() == len(self._buffer) and found.group().endswith(_HALF_EVENT_END)
        return 0 if is_half else found.end()

    def _parse(self, raw: bytes) -> StreamEvent | None:
        """Return an event, or None if it is malformed: a text would lack its data."""
        is_first, self._is_at_start = self._is_at_start, False
        number = None
        data = []
        text = raw.removeprefix(_BYTE_ORDER_MARK) if is_first else raw
        lines = _LINE_END.split(text) if b"\r" in text else text.split(b"\n")
        for line in lines:
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"data":
                data.append(value.decode("utf-8", "replace"))
            elif name == b"id":
                number = parse_whole_number(value.decode("latin-1"))
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
        self._open_bytes = 0

    @property
    def is_too_long(self) -> bool:
        """Whether an event has more bytes than any event may have."""
        return self._open_bytes > MAX_EVENT_BYTES

    @property
    def inside_event(self) -> bool:
        """Whether bytes came after the end of the last complete event."""
        return bool(self._tail) and not self._tail.endswith(_EMPTY_LINE_ENDS)

    def feed(self, data: bytes) -> None:
        """Add bytes."""
        seen = self._tail + data
        # Ends that the tail already had don't count again as ends inside the new bytes.
        end = max(seen.rfind(end, 1) for end in _EMPTY_LINE_ENDS)
        self._open_bytes = self._open_bytes + len(data) if end < 0 else len(seen) - end
        self._tail = (self._tail + data[-_MAX_EMPTY_LINE_BYTES:])[-_MAX_EMPTY_LINE_BYTES:]
