"""The check of item texts in simulations finds each kind of fault."""

import pytest

from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.experiments.simulated_runs import Run, find_text_fault
from wharfcart.storage.partial_texts import ItemPartialText

V1 = SoftwareVersion("v1")


def make_text(*runs: tuple[str, int]) -> list[str]:
    """Return the events of runs that each go on where the one before ended."""
    text = ItemPartialText("j")
    for name, events in runs:
        run = Run(name, None, text, V1)  # type: ignore[arg-type]
        for _ in range(events):
            run.add_event()
    return text.texts


def test_runs_that_go_on_where_the_text_ended_are_whole() -> None:
    assert find_text_fault([]) == ""
    assert find_text_fault(make_text(("a", 3))) == ""
    assert find_text_fault(make_text(("a", 3), ("b", 2), ("c", 1))) == ""


A, B = make_text(("a", 4)), make_text(("b", 4))
RESUMED = make_text(("a", 2), ("c", 2))
OTHER_VERSION = [event.replace("@v1", "@v2") if "c@" in event else event for event in RESUMED]


@pytest.mark.parametrize(
    ("events", "fault"),
    [
        (A[:2] + B[2:], "joined"),
        (B[:2] + RESUMED[2:], "another text"),
        (A[:1] + RESUMED[2:], "event 2 at position 1"),
        (A[:2] + A[1:], "event 1 at position 2"),
        (A[1:], "event 1 at position 0"),
        (OTHER_VERSION, "two versions"),
    ],
    ids=[
        "of two runs",
        "of another text",
        "lacks an event",
        "event twice",
        "lacks the first",
        "of two versions",
    ],
)
def test_a_fault_of_a_text_is_found(events: list[str], fault: str) -> None:
    """Guards against a simulation that passes texts which no run has sent."""
    assert fault in find_text_fault(events)
