"""Streams of callers whose events are malformed."""

import pytest

from tests.routing.test_answer_ends import EVENTS, ROUTES, forward
from wharfcart.emulator.answer_shapes import AnswerFraming, AnswerShape

ODD_IDS = ["id: \u00b2\n".encode(), b"id: " + b"7" * 5000 + b"\n", b"i\xe4: 2\n", b""]


# Guards against a caller's answer that fails, or lacks an event, after a wrong byte of its number.
@pytest.mark.parametrize("framing", [AnswerFraming.LENGTH, AnswerFraming.CHUNKS])
@pytest.mark.parametrize("odd_id", ODD_IDS)
@pytest.mark.parametrize("place", range(len(EVENTS)))
def test_a_resumable_stream_ends_as_incomplete_before_a_malformed_event(
    place: int, odd_id: bytes, framing: AnswerFraming
) -> None:
    spoilt = [*EVENTS]
    spoilt[place] = odd_id + b"data: spoilt\n\n"
    caller = forward(AnswerShape(framing), ROUTES["resumable"], spoilt, "text/event-stream")
    assert bytes(caller.body) == b"".join(EVENTS[:place])
    assert not caller.was_told_complete


# Guards against an answer that is changed although it can't be resumed.
@pytest.mark.parametrize("odd_id", ODD_IDS)
def test_other_streams_pass_on_as_they_are(odd_id: bytes) -> None:
    stream = [*EVENTS, odd_id + b"data: x\n\n"]
    caller = forward(
        AnswerShape(AnswerFraming.CHUNKS), ROUTES["stream"], stream, "text/event-stream"
    )
    assert bytes(caller.body) == b"".join(stream)
    assert caller.was_told_complete
