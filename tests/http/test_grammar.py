"""Values of peers: what matches the grammar converts, and nothing else does."""

import re

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from wharfcart.http import grammar

ODD_NUMBERS = [
    "",
    " ",
    "\u00b2",
    "1\u00b2",
    "\u0663",
    "\u2167",
    "9" * 19,
    "9" * 5000,
    "-1",
    "+1",
    "1_000",
    "1e3",
    "0x1f",
    "nan",
    "inf",
    "Infinity",
    "1.",
    ".5",
    "1,5",
    "1\n",
    "\v1",
]
DIGITS = st.characters(categories=["Nd", "Nl", "No"])
NUMBER_TEXTS = st.one_of(
    st.text(st.one_of(DIGITS, st.sampled_from("0123456789+-_.eEnaif \t\n\v")), max_size=24),
    st.text(max_size=24),
    st.integers(0, 10**24).map(str),
)


# Guards against a check that is wider than the conversion after it.
@given(NUMBER_TEXTS)
@example("0" * 18)
@example(" 12\t")
def test_a_whole_number_is_one_to_18_ascii_digits(text: str) -> None:
    is_number = re.fullmatch(r"[ \t]*[0-9]{1,18}[ \t]*", text, re.ASCII) is not None
    number = grammar.parse_whole_number(text)
    assert (number is not None) == is_number
    assert number is None or 0 <= number < 10**18


# Guards against a time limit that is no finite number of seconds.
@given(NUMBER_TEXTS)
@example("8000.25")
def test_a_decimal_is_finite_and_not_negative(text: str) -> None:
    number = grammar.parse_decimal(text)
    assert number is None or 0 <= number < 1e15


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_odd_numbers_are_refused(text: str) -> None:
    assert grammar.parse_whole_number(text) is None
    assert grammar.parse_decimal(text) is None


# Guards against a header or a target that ends its line in a request to a back end.
@given(st.text(max_size=12))
@example("a\r\nb: c")
@example("a\x00")
@example("/x HTTP/1.1\r\nx: y")
def test_nothing_that_matches_ends_a_line(text: str) -> None:
    controls = {chr(code) for code in (*range(32), 127)} - {"\t"}
    if grammar.is_field_value(text):
        assert not controls & set(text)
    if grammar.is_field_name(text):
        assert text and text.isascii() and not set(text) & set(":, \t\r\n\x00")
    if grammar.is_target(text):
        assert text.startswith("/") and text.isascii() and not set(text) & set(" \t\r\n\x00")
