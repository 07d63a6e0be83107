"""Values of headers that clients and servers choose."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.http.test_grammar import ODD_NUMBERS
from wharfcart.http.connection import ResponseHead
from wharfcart.platform import http_headers, names

# Empty values and spaces are allowed where a list may be empty.
MALFORMED = [text for text in ODD_NUMBERS if text.strip()]
VALUES = {
    names.DEADLINE_MS: "{}",
    names.TOKEN_COUNT: "60,{}",
    names.PROMPT_PREFIX: "a:{},b:5",
    names.LAST_EVENT_ID: "{}",
}


# Guards against a 500, or an item that is never run, by a client's own header.
@pytest.mark.parametrize("name", VALUES)
@pytest.mark.parametrize("number", MALFORMED)
def test_a_malformed_value_counts_as_missing_and_is_named(name: str, number: str) -> None:
    if name == names.PROMPT_PREFIX and number == "1,5":
        return  # two parts
    facts = http_headers.parse_request_metadata([(name.upper(), VALUES[name].format(number))])
    assert facts.malformed == (name,)
    assert (facts.deadline_s, facts.resume_after) == (None, None)
    assert (facts.prompt, facts.output_tokens) == ((), 0)


@given(st.dictionaries(st.sampled_from(sorted(VALUES)), st.text(max_size=20)))
def test_no_value_raises(values: dict[str, str]) -> None:
    facts = http_headers.parse_request_metadata(values.items())
    assert set(facts.malformed) <= set(values)
    assert facts.deadline_s is None or 0 <= facts.deadline_s < 1e12
    assert facts.resume_after is None or 0 <= facts.resume_after < 10**18


def test_proper_values_are_not_malformed() -> None:
    proper = [
        (names.DEADLINE_MS, "1500.5"),
        (names.TOKEN_COUNT, "1460, 80"),
        (names.PROMPT_PREFIX, "5c1e07a2:800, 91bd:410"),
        (names.LAST_EVENT_ID, "0"),
    ]
    facts = http_headers.parse_request_metadata(proper)
    assert facts.malformed == ()
    assert (facts.deadline_s, facts.output_tokens, facts.resume_after) == (1.5005, 80, 0)
    assert [part.tokens for part in facts.prompt] == [800, 410]


# Guards against a load that breaks the choice of a back end.
@pytest.mark.parametrize("number", MALFORMED)
def test_a_malformed_load_is_ignored(number: str) -> None:
    head = ResponseHead(200, [(names.SERVER_LOAD, f"1,{number},8")])
    assert http_headers.parse_reported_load(head) is None


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"[]",
        b"7",
        b'{"activeRequests": 1}',
        b'{"activeRequests": 1, "queuedRequests": NaN}',
        b'{"activeRequests": 1, "queuedRequests": Infinity}',
        b'{"activeRequests": 1, "queuedRequests": -1}',
        b'{"activeRequests": 1, "queuedRequests": "2"}',
        b'{"activeRequests": 1, "queuedRequests": ' + b"7" * 5000 + b"}",
        b"[" * 100_000,
        b"\xff",
    ],
)
def test_a_malformed_report_is_ignored(report: bytes) -> None:
    assert http_headers.parse_request_count(report) is None
