"""Events of the emulated model servers' streams, and checks of texts that callers received.

The data of an event name the run that sent it, the Last-Event-ID with which this run was requested,
and the software version of its server, so that texts of different runs and versions differ.
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

NO_LAST_EVENT_ID = -1

_EVENT_DATA = re.compile(r"(.+)-(\d+) run (\d+) after (-?\d+) at (\S*)")
_SERVER_SENT_EVENT = re.compile(r"id: (\d+)\ndata: (.*)")


@dataclass(frozen=True)
class StreamEvent:
    """One event of a stream; ``str()`` gives its data.

    Attributes:
        request_id: id of the request.
        number: position in the stream, which is also the event's id.
        run_number: number of the run that sent the event.
        last_event_id: Last-Event-ID with which the run was requested, or NO_LAST_EVENT_ID.
        version: software version of the server.
    """

    request_id: str
    number: int
    run_number: int = 0
    last_event_id: int = NO_LAST_EVENT_ID
    version: str = ""

    def __str__(self) -> str:
        return (
            f"{self.request_id}-{self.number} run {self.run_number} after {self.last_event_id}"
            f" at {self.version}"
        )

    @property
    def server_sent(self) -> bytes:
        """The event as the server sends it."""
        return f"id: {self.number}\ndata: {self}\n\n".encode()

    @classmethod
    def parse(cls, data: str) -> "StreamEvent | None":
        """Return the event with these data; None if no server sent them."""
        match = _EVENT_DATA.fullmatch(data)
        if match is None:
            return None
        request_id, number, run_number, last_event_id, version = match.groups()
        return cls(request_id, int(number), int(run_number), int(last_event_id), version)


def find_stream_faults(request_id: str, body: bytes, event_count: int) -> list[str]:
    """Return a description of each fault of a complete stream, as a caller received it."""
    *events, rest = body.decode(errors="replace").split("\n\n")
    matches = [_SERVER_SENT_EVENT.fullmatch(event) for event in events]
    ids = [None if match is None else int(match[1]) for match in matches]
    faults = []
    if rest or ids != list(range(event_count)):
        faults.append(f"stream is truncated or has wrong event ids: {ids}, then {rest[:60]!r}")
    text = "\n".join(match[2] for match in matches if match is not None)
    return faults + find_text_faults(request_id, text, event_count)


def find_text_faults(request_id: str, text: str, event_count: int) -> list[str]:
    """Return a description of each fault of a complete text, which has one line per event.

    A text lacks no event and holds none twice. It goes on after an event only with a run that was
    requested with the id of this event as its Last-Event-ID, at the same software version.
    """
    lines = text.split("\n")
    events = [StreamEvent.parse(line) for line in lines]
    faults = [
        f"event {position} is broken or of another request: {line[:60]!r}"
        for position, (line, event) in enumerate(zip(lines, events, strict=True))
        if event is None or event.request_id != request_id
    ]
    whole_events = [event for event in events if event is not None]
    numbers = [event.number for event in whole_events]
    if numbers != list(range(event_count)):
        faults.append(f"events are missing, repeated or out of order: {numbers}")
    return faults + list(_find_wrong_resumptions(whole_events)) + find_mixed_versions(whole_events)


def _find_wrong_resumptions(events: list[StreamEvent]) -> Iterator[str]:
    run_number = None
    for event in events:
        if event.run_number != run_number and event.last_event_id != event.number - 1:
            yield (
                f"changes at event {event.number} to run {event.run_number}, which was requested "
                f"with Last-Event-ID {event.last_event_id}"
            )
        run_number = event.run_number


def find_mixed_versions(events: Iterable[StreamEvent]) -> list[str]:
    """Return a description of the software versions that wrote the events, if several did."""
    versions = list(dict.fromkeys(event.version for event in events))
    return [f"has events of several versions: {versions}"] if len(versions) > 1 else []


def events_of_part(data: bytes) -> list[StreamEvent]:
    """Return the complete events in the first bytes of a stream."""
    *events, _rest = data.decode(errors="replace").split("\n\n")
    matches = [_SERVER_SENT_EVENT.fullmatch(event) for event in events]
    parsed = [StreamEvent.parse(match[2]) for match in matches if match is not None]
    return [event for event in parsed if event is not None]
