"""Splitting of event streams."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from wharfcart.routing.event_stream import EventBoundary, EventSplitter

EVENT_BYTES = len(b"id: 0\ndata: part 0\n\n")
STREAM = b"".join(f"id: {n}\ndata: part {n}\n\n".encode() for n in range(6))


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(cuts: list[int]) -> None:
    splitter = EventSplitter()
    edges = [0, *sorted(cuts), len(STREAM)]
    events = [
        event
        for start, end in itertools.pairwise(edges)
        for event in splitter.feed(STREAM[start:end])
    ]
    assert [event.number for event in events] == list(range(6))
    assert b"".join(event.raw for event in events) == STREAM
    assert splitter.remainder == b""


def test_incomplete_event_is_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: x\n") == []
    assert splitter.remainder


def test_event_fields_are_parsed() -> None:
    (event,) = EventSplitter().feed(b"x-weight-versions: 3\nid: 7\ndata: a\ndata: b\n\n")
    assert (event.number, event.data) == (7, "a\nb")


def test_both_line_endings_are_accepted() -> None:
    events = EventSplitter().feed(b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n")
    assert [event.number for event in events] == [1, 2]


# Guards against a stream that is cut inside an event and counts as ended between two.
@given(
    st.integers(0, len(STREAM)),
    st.lists(st.integers(0, len(STREAM)), max_size=8),
    st.sampled_from([b"\n", b"\r\n", b"\r"]),
)
def test_boundary_tells_whether_a_cut_stream_ends_inside_an_event(
    end: int, cuts: list[int], line_end: bytes
) -> None:
    stream = STREAM[:end].replace(b"\n", line_end)
    edges = [0, *sorted(min(cut, len(stream)) for cut in cuts), len(stream)]
    boundary = EventBoundary()
    for start, stop in itertools.pairwise(edges):
        boundary.feed(stream[start:stop])
    assert boundary.inside_event == (end % EVENT_BYTES != 0)
