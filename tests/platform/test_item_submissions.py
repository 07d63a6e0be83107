"""Submissions that are refused before anything of them is kept."""

import json
from typing import Any

import pytest

from wharfcart.platform import batch_bodies, names

ITEM = {"id": "a", "path": "/x", "headers": {"X-Model": "m"}, "body": "q80=", "tokens": 9}
ODD_FIELDS: dict[str, dict[str, Any]] = {
    "no id": {"id": ""},
    "id is a number": {"id": 7},
    "id with CR LF": {"id": "a\r\nX-B: 1"},
    "id with spaces around": {"id": " a"},
    "id with a lone surrogate": {"id": "a\ud800"},
    "no path": {"path": ""},
    "path with a space": {"path": "/x HTTP/1.1"},
    "path without a slash": {"path": "x"},
    "path beyond ASCII": {"path": "/\u0416"},
    "headers are a list": {"headers": ["X-Model"]},
    "header name with CR LF": {"headers": {"X-A: 1\r\nX-B": "2"}},
    "header without a name": {"headers": {"": "2"}},
    "header value is no text": {"headers": {"X-Model": ["m"]}},
    "header value is null": {"headers": {"X-Model": None}},
    "header value with CR LF": {"headers": {"X-Model": "m\r\nX-B: 1"}},
    "header value with NUL": {"headers": {"X-Model": "m\0"}},
    "header value with a control": {"headers": {"X-Model": "m\x7f"}},
    "header twice": {"headers": {"X-Model": "m", "x-model": "n"}},
    "length": {"headers": {"Content-Length": "0"}},
    "chunks": {"headers": {"Transfer-Encoding": "chunked"}},
    "host": {"headers": {"Host": "elsewhere"}},
    "token count nan": {"headers": {names.TOKEN_COUNT: "60,nan"}},
    "token count inf": {"headers": {names.TOKEN_COUNT: "60,inf"}},
    "prompt with a superscript": {"headers": {names.PROMPT_PREFIX: "a:\u00b2"}},
    "prompt with 5,000 digits": {"headers": {names.PROMPT_PREFIX: "a:" + "7" * 5000}},
    "body is no base64": {"body": "q8*="},
    "body without padding": {"body": "q80"},
    "body is a number": {"body": 7},
    "tokens infinite": {"tokens": float("inf")},
    "tokens nan": {"tokens": float("nan")},
    "tokens negative": {"tokens": -1},
    "tokens beyond the field": {"tokens": 2**32},
    "tokens a text": {"tokens": "9"},
}


# Guards against an accepted item that never ends, by its client's own values.
@pytest.mark.parametrize("case", ODD_FIELDS)
def test_a_malformed_item_is_refused_by_its_position(case: str) -> None:
    entries = [ITEM, ITEM | {"id": "b"} | ODD_FIELDS[case]]
    with pytest.raises(batch_bodies.BadSubmissionError, match=r"^item 1: "):
        batch_bodies.parse_items(json.dumps({"requests": entries}).encode())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"7",
        b"[]",
        b"\xff",
        b'{"requests": {"a": 1}}',
        b'{"requests": 7}',
        b'{"requests": "ab"}',
        b'{"requests": [7]}',
        b'{"requests": [{"tokens": ' + b"7" * 5000 + b"}]}",
        b'{"requests": ' + b"[" * 100_000,
    ],
)
def test_a_malformed_document_is_refused(body: bytes) -> None:
    with pytest.raises(batch_bodies.BadSubmissionError):
        batch_bodies.parse_items(body)


# Guards against a check that refuses what the interface allows.
def test_a_proper_item_is_accepted() -> None:
    headers = {
        "X-Model": "m \u0416",
        names.TOKEN_COUNT: "540,400",
        names.PROMPT_PREFIX: "9c2e41:300,5d07b8:240",
        "Connection": "keep-alive",
        "X-Empty": "",
    }
    number = {"X-Length-Hint": 80}
    entry = ITEM | {"headers": headers | number, "path": "/pule252/3/91c4?x=%20"}
    (item,) = batch_bodies.parse_items(json.dumps({"requests": [entry]}).encode())
    assert {header.name: header.value for header in item.headers} == (
        headers | {"X-Length-Hint": "80"}
    )
    assert (item.body, item.tokens) == (b"\xab\xcd", 9)
