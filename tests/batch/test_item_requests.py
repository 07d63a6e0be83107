"""Requests that servers get for items whose headers and paths their callers chose."""

import asyncio
import json
from random import Random
from time import monotonic
from typing import Any

import httptools
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.batch.test_job_execution import ExecutionHarness, run_scenario
from tests.batch.test_unexpected_errors import use_runner, wait_for_results
from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.batch.item_run import ItemAttempt, ItemProgress, ItemRunner, RunOutcome
from wharfcart.cluster.messages_pb2 import Header, RequestItem
from wharfcart.configuration.instances import BackendInstance
from wharfcart.observability.decisions import DecisionLog
from wharfcart.platform import batch_bodies, names
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.storage.partial_texts import ItemPartialText

ANSWER = (
    b"HTTP/1.1 200 OK\r\n" + names.RESPONSE_STAMP.encode() + b": s\r\nContent-Length: 15\r\n"
    b"Connection: close\r\n\r\nid: 0\ndata: x\n\n"
)


class ReceivedRequests:
    """A back end that records what it reads, and answers the first request of a connection."""

    def __init__(self) -> None:
        self.requests: list[tuple[bytes, list[tuple[bytes, bytes]]]] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> tuple[str, int]:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return host, port

    def stop(self) -> None:
        assert self._server is not None
        self._server.close()

    def on_url(self, url: bytes) -> None:
        self.requests.append((url, []))

    def on_header(self, name: bytes, value: bytes) -> None:
        self.requests[-1][1].append((name.lower(), value))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = httptools.HttpRequestParser(self)
        parser.feed_data(await reader.read(65536))
        writer.write(ANSWER)
        await writer.drain()
        writer.close()


async def run_item(item: RequestItem) -> tuple[RunOutcome, ReceivedRequests]:
    backend = ReceivedRequests()
    host, port = await backend.start()
    selector = BackendSelector("z", Random(1))
    selector.put(BackendInstance("i", "s", host, port, "z", 8, True))
    state = selector.state("i")
    assert state is not None
    pool = ConnectionPool()
    detector = CrashDetector(PoisonRequests(), DecisionLog("test"))
    runner = ItemRunner(selector, pool, lambda _service: 8, detector)
    progress = ItemProgress(ItemPartialText("j", 1))
    send_id = selector.record_sent(state, monotonic())
    attempt = ItemAttempt(item, "h", "", state, send_id, progress, monotonic() + 9.0)
    try:
        async with asyncio.timeout(20):
            outcome = await runner.run(attempt)
            await asyncio.sleep(0)
            return outcome, backend
    finally:
        pool.close()
        backend.stop()


def item_with(path: str = "/x", **headers: str) -> RequestItem:
    sent = [Header(name=name.replace("_", "-"), value=value) for name, value in headers.items()]
    return RequestItem(item_id="q", path=path, headers=sent)


SMUGGLED = "\r\nContent-Length: 0\r\n\r\nPOST /other HTTP/1.1\r\nHost: h"
UNSENDABLE = {
    "header value with CR LF": item_with(X_Model="m" + SMUGGLED),
    "header value with LF": item_with(X_Model="m\nX-Other: 1"),
    "header value with NUL": item_with(X_Model="m\0"),
    "header name with CR LF": RequestItem(
        item_id="q", path="/x", headers=[Header(name="X-A: 1\r\nX-B", value="2")]
    ),
    "header name with a space": RequestItem(
        item_id="q", path="/x", headers=[Header(name="X A", value="2")]
    ),
    "path with CR LF": item_with(path="/x HTTP/1.1" + SMUGGLED),
    "path with a space": item_with(path="/x y"),
    "path beyond ASCII": item_with(path="/\u00e9"),
    "no path": item_with(path=""),
    "id with LF": RequestItem(item_id="q\nX-B: 1", path="/x"),
}


# Guards against a second request inside an item, and against an item that is never listed. Jobs of
# former builds may hold such items.
@pytest.mark.parametrize("case", UNSENDABLE)
def test_an_item_that_no_request_can_carry_reaches_no_back_end(case: str) -> None:
    outcome, backend = asyncio.run(run_item(UNSENDABLE[case]))
    assert outcome == "unsendable"
    assert backend.requests == []


class UnsendableRunner:
    """Finds each item unsendable."""

    def __init__(self, selector: BackendSelector) -> None:
        self._selector = selector

    async def run(self, attempt: ItemAttempt) -> RunOutcome:
        self._selector.record_finished(attempt.state, attempt.send_id)
        return RunOutcome.UNSENDABLE


def test_an_unsendable_item_is_listed_as_given_up() -> None:
    async def scenario(harness: ExecutionHarness) -> None:
        use_runner(harness, UnsendableRunner(harness.selector))
        harness.submit("j", 3)
        await wait_for_results(harness, 3)
        assert not any(outcome.succeeded for outcome in harness.leadership.outcomes)

    run_scenario(scenario)


# Guards against an item with sound servers that is never sent.
def test_header_values_beyond_ascii_are_sent_as_utf_8() -> None:
    value = "\u0416\u00e9\u2028"
    outcome, backend = asyncio.run(run_item(item_with(X_Model=value)))
    assert outcome is RunOutcome.SUCCEEDED
    ((_, headers),) = backend.requests
    assert dict(headers)[b"x-model"] == value.encode()


# Guards against a request that names two ids or two hosts.
def test_an_item_has_only_the_id_and_host_of_its_job() -> None:
    item = item_with(X_Request_Id="other", Host="elsewhere", Content_Length="3")
    outcome, backend = asyncio.run(run_item(item))
    assert outcome is RunOutcome.SUCCEEDED
    ((_, headers),) = backend.requests
    named = [pair for pair in headers if pair[0] in (b"x-request-id", b"host", b"content-length")]
    assert sorted(named) == [(b"content-length", b"0"), (b"host", b"h"), (b"x-request-id", b"q")]


ODD_TEXT = st.one_of(
    st.text(max_size=6),
    st.text(st.sampled_from("aB-_/:?%#\" ',\r\n\0\t\x7f\u00b2\u0416\u2028\ufeff"), max_size=8),
)
ENTRIES = st.fixed_dictionaries(
    {"id": ODD_TEXT, "path": ODD_TEXT.map(lambda text: "/" + text)},
    optional={
        "headers": st.dictionaries(ODD_TEXT, st.one_of(ODD_TEXT, st.integers()), max_size=3),
        "body": st.one_of(ODD_TEXT, st.just("q83vEjRWeJA=")),
        "tokens": st.one_of(st.integers(-1, 2**40), st.floats(), ODD_TEXT),
    },
)


# Guards against an item that is accepted and then can't be sent, or arrives as something else.
@settings(max_examples=150, deadline=None)
@given(ENTRIES)
def test_an_accepted_item_arrives_as_one_request_with_its_values(entry: dict[str, Any]) -> None:
    body = json.dumps({"requests": [entry]}).encode()
    try:
        (item,) = batch_bodies.parse_items(body)
    except batch_bodies.BadSubmissionError as error:
        assert str(error).startswith("item 0: ")
        return
    outcome, backend = asyncio.run(run_item(item))
    assert outcome is RunOutcome.SUCCEEDED
    ((target, headers),) = backend.requests
    assert target == entry["path"].encode()
    received = dict(headers)
    assert received[b"x-request-id"] == entry["id"].encode()
    for name, value in entry.get("headers", {}).items():
        if name.lower() not in ("connection", "te", "expect"):
            assert received[name.lower().encode()].strip() == str(value).encode().strip()
