"""Whole events of a server-sent event stream, cut from the bytes as they come.

Only whole events are passed on where a stream may be resumed: a back end may stop partway through
one, and the next back end begins with the event after the last whole one.
"""

from dataclasses import dataclass

_EVENT_END = b"\n\n"
_EVENT_END_CRLF = b"\r\n\r\n"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event: its number (None if it has none), its data and its bytes as they came."""

    number: int | None
    data: str
    raw: bytes


class EventSplitter:
    """Cuts a byte stream into events; what is not yet whole is kept back."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes after the last whole event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are whole now."""
        self._buffer += data
        events: list[StreamEvent] = []
        while True:
            end = self._find_event_end()
            if end < 0:
                return events
            raw, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(_parse(raw))

    def _find_event_end(self) -> int:
        plain = self._buffer.find(_EVENT_END)
        crlf = self._buffer.find(_EVENT_END_CRLF)
        if crlf >= 0 and (plain < 0 or crlf < plain):
            return crlf + len(_EVENT_END_CRLF)
        return plain + len(_EVENT_END) if plain >= 0 else -1


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
