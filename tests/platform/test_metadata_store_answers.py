"""Answers of the metadata store that end early."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import uvloop

from tests.routing.shaped_backends import ShapedServer
from wharfcart.cluster.coordination import ChangeBatch, CoordinationUnavailableError, Transaction
from wharfcart.emulator.answer_shapes import AnswerFraming, AnswerShape, Cut
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform.metadata_store import MetadataStore

PAGE = [
    b'{"at": 7, "more": false, ',
    b'"requests": [{"key": "k", "revision": 3, ',
    b'"value": ""}]}',
]
CALLS = ServingMetrics().coordination_calls


async def read_all(shape: AnswerShape) -> ChangeBatch:
    """Read every key from a store whose answers have a shape."""
    server = ShapedServer(shape, PAGE, "application/json")
    await server.start()
    try:
        return await MetadataStore(*server.address, CALLS).read_all()
    finally:
        server.stop()


# Guards against a listing that is short since the store's answer was broken off.
@pytest.mark.parametrize("framing", list(AnswerFraming))
@pytest.mark.parametrize("cut", [Cut.BEFORE_BODY, Cut.INSIDE_EVENT, Cut.BETWEEN_EVENTS])
def test_a_broken_off_page_is_no_listing(framing: AnswerFraming, cut: Cut) -> None:
    with pytest.raises(CoordinationUnavailableError):
        uvloop.run(read_all(AnswerShape(framing, cut)))


# Guards against a store that counts as unavailable since its answers have no length.
@pytest.mark.parametrize("framing", list(AnswerFraming))
def test_a_whole_page_is_a_listing(framing: AnswerFraming) -> None:
    assert [change.key for change in uvloop.run(read_all(AnswerShape(framing))).changes] == ["k"]


async def call(body: bytes, work: Callable[[MetadataStore], Awaitable[object]]) -> object:
    """Call a store that gives one answer."""
    server = ShapedServer(AnswerShape(AnswerFraming.LENGTH), [body], "application/json")
    await server.start()
    try:
        return await work(MetadataStore(*server.address, CALLS))
    finally:
        server.stop()


CALLS_OF_STORE: dict[str, Callable[[MetadataStore], Awaitable[object]]] = {
    "read_all": lambda store: store.read_all(),
    "wait": lambda store: store.wait_for_changes(1, 0.1),
    "read": lambda store: store.read("k"),
    "commit": lambda store: store.commit(Transaction({"k": 0}, {"k": b"v"})),
}
# An entry, and a page that would be whole but for one field.
ENTRY = {"key": "k", "revision": 3, "value": "dg=="}
PROPER = ENTRY | {"at": 7, "more": False, "requests": [ENTRY], "events": [ENTRY]}
MALFORMED_FIELDS: list[tuple[str, dict[str, Any]]] = [
    (call, {field: value})
    for call, fields in {
        "read_all": ("at", "requests"),
        "wait": ("at", "events"),
        "read": ("key", "revision", "value"),
        "commit": ("revision",),
    }.items()
    for field in fields
    for value in (None, [None], {"a": 1}, "\u00b2", 2**70, float("nan"), [{"key": "k"}], [[]])
    if not (field == "key" and value == "\u00b2")
]


# Guards against a reader of the store that ends by an answer of another shape.
@pytest.mark.parametrize(("name", "fields"), MALFORMED_FIELDS)
def test_a_malformed_answer_counts_as_none(name: str, fields: dict[str, Any]) -> None:
    body = json.dumps(PROPER | fields).encode()
    with pytest.raises(CoordinationUnavailableError) as raised:
        uvloop.run(call(body, CALLS_OF_STORE[name]))
    assert raised.value.may_have_taken_effect == (name == "commit")


@pytest.mark.parametrize("name", CALLS_OF_STORE)
@pytest.mark.parametrize("body", [b"7", b"[]", b"{}", b"\xff", b"[" * 100_000, b"7" * 5000])
def test_an_answer_that_is_no_object_counts_as_none(name: str, body: bytes) -> None:
    with pytest.raises(CoordinationUnavailableError):
        uvloop.run(call(body, CALLS_OF_STORE[name]))


@pytest.mark.parametrize("name", CALLS_OF_STORE)
def test_a_proper_answer_is_taken(name: str) -> None:
    assert uvloop.run(call(json.dumps(PROPER).encode(), CALLS_OF_STORE[name]))


# Guards against changes that a mirror never asks for, after a listing whose later page was older.
def test_a_listing_is_complete_up_to_its_oldest_page() -> None:
    async def scenario() -> ChangeBatch:
        first = PROPER | {"at": 9, "more": True, "requests": [ENTRY | {"revision": 8}]}
        second = PROPER | {"at": 6, "requests": [ENTRY | {"key": "l"}]}
        pages = [json.dumps(page).encode() for page in (first, second)]

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.readuntil(b"\r\n\r\n"):
                page = pages.pop(0)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page) + page)
                if not pages:
                    break

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            return await MetadataStore(host, port, CALLS).read_all(stale=True)
        finally:
            server.close()

    assert uvloop.run(scenario()).last_revision == 6
