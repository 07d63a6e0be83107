"""A stream's parts come once each and in order, or not at all."""

import asyncio
import random
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from wharfcart.backends.engine_client import EngineClient, _StreamReader
from wharfcart.backends.interface import BackendError, BackendRequest
from wharfcart.emulator.web_server import WebServer
from wharfcart.errors import Outcome


def _event(number: int, last: int) -> bytes:
    data = "[DONE]" if number == last else str(number)
    return f"id: {number}\ndata: {data}\n\n".encode()


class _Answer:
    """An answer whose bytes arrive in given pieces."""

    def __init__(self, pieces: list[bytes]) -> None:
        self.content = SimpleNamespace(iter_any=lambda: self._iterate(pieces))

    async def _iterate(self, pieces: list[bytes]) -> AsyncIterator[bytes]:
        for piece in pieces:
            yield piece


async def _read(reader: _StreamReader, pieces: list[bytes]) -> list[int]:
    answer: Any = _Answer(pieces)
    return [part.sequence async for part in reader.read(answer)]


@given(st.integers(1, 20), st.integers(0, 10**6), st.integers(1, 30))
def test_parts_late_doubled_and_out_of_order(count: int, seed: int, piece_bytes: int) -> None:
    source = random.Random(seed)
    events = [_event(number, count) for number in range(count + 1)]
    events += source.choices(events, k=count // 2)
    source.shuffle(events)
    whole = b"".join(events)
    pieces = [whole[i : i + piece_bytes] for i in range(0, len(whole), piece_bytes)]
    reader = _StreamReader()
    assert asyncio.run(_read(reader, pieces)) == list(range(count + 1))
    assert reader.ended


def test_missing_part_is_never_skipped() -> None:
    reader = _StreamReader()
    pieces = [_event(0, 3), _event(2, 3), _event(3, 3)]
    assert asyncio.run(_read(reader, pieces)) == [0]
    assert not reader.ended
    assert asyncio.run(_read(reader, [_event(1, 3)])) == [1, 2, 3]
    assert reader.ended


def _ask(handler: Any) -> BackendError:
    """Stream from a server with one handler; return the error it must end with."""

    async def run() -> None:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        server = WebServer(app)
        await server.start("127.0.0.1", 0)
        try:
            async with aiohttp.ClientSession() as session:
                client = EngineClient(server.address, session)
                request = BackendRequest("mine", "POST", "/v1/chat/completions", {}, b"{}", True)
                async for _ in client.send(request):
                    pass
        finally:
            await server.stop()

    with pytest.raises(BackendError) as caught:
        asyncio.run(run())
    return caught.value


def test_stream_without_its_end_is_an_error() -> None:
    async def short(request: web.Request) -> web.Response:
        return web.Response(body=_event(0, 5), headers={"X-Request-Id": "mine"})

    assert _ask(short).outcome is Outcome.UNKNOWN


def test_another_requests_answer_is_not_taken() -> None:
    async def stranger(request: web.Request) -> web.Response:
        return web.Response(body=_event(0, 0), headers={"X-Request-Id": "another"})

    assert _ask(stranger).outcome is Outcome.UNKNOWN


def test_refusal_that_proves_itself_is_not_run() -> None:
    async def refuse(request: web.Request) -> web.Response:
        return web.Response(status=503, headers={"X-Outcome": "not_run", "Retry-After": "2"})

    error = _ask(refuse)
    assert error.outcome is Outcome.NOT_RUN
    assert error.retry_after_seconds == 2
