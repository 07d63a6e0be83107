"""Decides whether an answer ended whole.

A length or chunks tell where a body ends. A body without them ends with its connection, and that
proves nothing: a back end that breaks off may close the connection in order, and so does the
machine of a process that has just ended. Then the form of the body decides, or else whether the
back end is still there.

This module does no I/O.
"""

import json
from dataclasses import dataclass
from enum import StrEnum

from wharfcart.http.connection import BreakCause, ConnectionBrokenError, Framing, ResponseHead

# Parsing a larger body would hold up the event loop.
MAX_PARSED_BYTES = 1024 * 1024


class BodyForm(StrEnum):
    """What the bytes of a body say about its end.

    Attributes:
        COMPLETE: nothing can follow.
        INCOMPLETE: something must follow.
        OPEN: the body may end here or go on.
    """

    COMPLETE = "complete"
    INCOMPLETE = "incomplete"
    OPEN = "open"


class AnswerEnd(StrEnum):
    """Whether an answer is whole.

    Attributes:
        UNKNOWN: nothing contradicts the end, and nothing proves it; callers are told that the
            answer is complete, but it is no evidence for anything else.
    """

    WHOLE = "whole"
    BROKEN_OFF = "broken_off"
    UNKNOWN = "unknown"


class EndEvidence(StrEnum):
    """What the decision about an end rests on."""

    FRAMING = "framing"
    FORM = "form"
    BACKEND_GONE = "backend_gone"
    BACKEND_SERVES = "backend_serves"


@dataclass(frozen=True, slots=True)
class EndDecision:
    """Whether an answer ended whole, and what shows it."""

    end: AnswerEnd
    evidence: EndEvidence


def end_by_framing(framing: Framing) -> AnswerEnd:
    """Return what the framing alone says about an answer that ended."""
    return AnswerEnd.WHOLE if framing is Framing.DELIMITED else AnswerEnd.UNKNOWN


def broken_off_error(framing: Framing, decision: EndDecision) -> ConnectionBrokenError:
    """Return the error for an answer that ended and was broken off."""
    is_closed = framing is Framing.UNTIL_CLOSE
    cause = BreakCause.CLOSED if is_closed else BreakCause.MALFORMED
    return ConnectionBrokenError(f"broken off: {decision.evidence}", cause=cause)


def decide_by_form(framing: Framing, form: BodyForm) -> EndDecision | None:
    """Decide by the answer alone; None if the state of the back end must decide."""
    if form is BodyForm.INCOMPLETE:
        return EndDecision(AnswerEnd.BROKEN_OFF, EndEvidence.FORM)
    if framing is Framing.DELIMITED:
        return EndDecision(AnswerEnd.WHOLE, EndEvidence.FRAMING)
    if form is BodyForm.COMPLETE:
        return EndDecision(AnswerEnd.WHOLE, EndEvidence.FORM)
    return None


def decide_by_backend(is_gone: bool) -> EndDecision:
    """Decide by whether the back end was gone once the answer had ended.

    A back end that leaves as planned may end right after a whole answer. That can't be told from a
    crash, and a short answer that looks whole does more harm than a whole one that looks short.
    """
    if is_gone:
        return EndDecision(AnswerEnd.BROKEN_OFF, EndEvidence.BACKEND_GONE)
    return EndDecision(AnswerEnd.UNKNOWN, EndEvidence.BACKEND_SERVES)


def form_of_stream(framing: Framing, inside_event: bool, has_events: bool) -> BodyForm:
    """Return what the end of an event stream says.

    Args:
        framing: how the stream tells where it ends.
        inside_event: whether it ended inside an event.
        has_events: whether the caller got any event, also from an earlier back end.
    """
    if inside_event or (framing is Framing.UNTIL_CLOSE and not has_events):
        return BodyForm.INCOMPLETE
    return BodyForm.OPEN


def form_of_body(head: ResponseHead, body: bytes) -> BodyForm:
    """Return what a body says about its end; its framing is not looked at."""
    content_type = (head.get("content-type") or "").partition(";")[0].strip().lower()
    is_json = content_type == "application/json" or content_type.endswith("+json")
    if not is_json or head.get("content-encoding") or len(body) > MAX_PARSED_BYTES:
        return BodyForm.OPEN
    try:
        json.loads(body)
    except ValueError:
        return BodyForm.INCOMPLETE
    return BodyForm.COMPLETE
