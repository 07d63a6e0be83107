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

from wharfcart.backends.engine_client import EngineClient, _OrderedStreamReader
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


async def _read(reader: _OrderedStreamReader, pieces: list[bytes]) -> list[int]:
    answer: Any = _Answer(pieces)
    return [part.sequence async for part in reader.read(answer)]


@given(st.integers(1, 20), st.integers(0, 10**6), st.integers(1, 30))
def test_late_duplicated_and_reordered_parts_are_put_in_order(
    count: int, seed: int, piece_bytes: int
) -> None:
    source = random.Random(seed)
    events = [_event(number, count) for number in range(count + 1)]
    events += source.choices(events, k=count // 2)
    source.shuffle(events)
    whole = b"".join(events)
    pieces = [whole[i : i + piece_bytes] for i in range(0, len(whole), piece_bytes)]
    reader = _OrderedStreamReader()
    assert asyncio.run(_read(reader, pieces)) == list(range(count + 1))
    assert reader.finished


def test_missing_part_is_never_skipped() -> None:
    reader = _OrderedStreamReader()
    pieces = [_event(0, 3), _event(2, 3), _event(3, 3)]
    assert asyncio.run(_read(reader, pieces)) == [0]
    assert not reader.finished
    assert asyncio.run(_read(reader, [_event(1, 3)])) == [1, 2, 3]
    assert reader.finished


def _stream_error(handler: Any) -> BackendError:
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


def test_truncated_stream_is_an_error() -> None:
    async def short(request: web.Request) -> web.Response:
        return web.Response(body=_event(0, 5), headers={"X-Request-Id": "mine"})

    assert _stream_error(short).outcome is Outcome.UNKNOWN


def test_response_to_another_request_is_rejected() -> None:
    async def stranger(request: web.Request) -> web.Response:
        return web.Response(body=_event(0, 0), headers={"X-Request-Id": "another"})

    assert _stream_error(stranger).outcome is Outcome.UNKNOWN


def test_signed_refusal_is_not_run() -> None:
    async def refuse(request: web.Request) -> web.Response:
        return web.Response(status=503, headers={"X-Outcome": "not_run", "Retry-After": "2"})

    error = _stream_error(refuse)
    assert error.outcome is Outcome.NOT_RUN
    assert error.retry_after_seconds == 2
