"""Callers' connections that wait while a gateway starts."""

import asyncio
import socket
from time import monotonic

import pytest
from sanic import Sanic

from wharfcart.configuration.serving import Route, RouteKind, ServingConfiguration, TrafficShare
from wharfcart.gateway.ingress import BACKLOG_ACCEPT_S, BACKLOG_READ_S, Ingress
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.tasks import failures_by_task
from wharfcart.routing.caller_request import AnswerSink, AnswerTruncatedError, CallerRequest

REQUEST = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n"


class RecordingForwarder:
    """Answers at once and records the requests."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        self.requests.append(request)
        await sink.send_whole(200, [], b"")


def listening_socket() -> socket.socket:
    created = socket.socket()
    created.bind(("127.0.0.1", 0))
    created.listen()
    created.setblocking(False)
    return created


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(REQUEST)
    await reader.readuntil(b"\r\n\r\n")


def test_request_waiting_for_the_start_gets_the_earliest_possible_receive_time() -> None:
    async def scenario() -> tuple[float, list[CallerRequest], float]:
        Sanic.test_mode = True
        route = Route("r", "h", "/look/", RouteKind.REPEATABLE, (TrafficShare("s", 1.0),), 5.0, 0.3)
        configuration = ServingConfiguration(1, (route,), {})
        forwarder = RecordingForwarder()
        ingress = Ingress(
            lambda: configuration, lambda: 0.0, forwarder, None, None, DecisionLog("test")
        )
        front, readiness = listening_socket(), listening_socket()
        opened_at = monotonic()
        reader, writer = await asyncio.open_connection(*front.getsockname())
        writer.write(REQUEST)
        await asyncio.sleep(0)
        await ingress.start(front, readiness, opened_at)
        serving_at = monotonic()
        await reader.readuntil(b"\r\n\r\n")
        await exchange(reader, writer)
        while monotonic() < serving_at + BACKLOG_ACCEPT_S:
            await asyncio.sleep(BACKLOG_ACCEPT_S)
        await exchange(*await asyncio.open_connection(*front.getsockname()))
        return opened_at, forwarder.requests, serving_at

    opened_at, (waiting, second, new), serving_at = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert waiting.received_at == opened_at
    assert second.received_at >= serving_at
    assert new.received_at >= serving_at


def test_requests_on_a_connection_from_before_the_start_have_their_own_receive_time() -> None:
    """Guards against 503 for requests that are taken for as old as the listening socket.

    One connection's earlier request was of another kind, the other one was idle.
    """

    async def scenario() -> tuple[list[CallerRequest], float]:
        Sanic.test_mode = True
        route = Route("r", "h", "/look/", RouteKind.REPEATABLE, (TrafficShare("s", 1.0),), 5.0, 0.3)
        configuration = ServingConfiguration(1, (route,), {})
        forwarder = RecordingForwarder()
        ingress = Ingress(
            lambda: configuration, lambda: 0.0, forwarder, None, None, DecisionLog("test")
        )
        front, readiness = listening_socket(), listening_socket()
        opened_at = monotonic()
        used = await asyncio.open_connection(*front.getsockname())
        idle = await asyncio.open_connection(*front.getsockname())
        used[1].write(b"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0)
        await ingress.start(front, readiness, opened_at)
        serving_at = monotonic()
        await used[0].readuntil(b"\r\n\r\n")
        while monotonic() < serving_at + BACKLOG_ACCEPT_S + BACKLOG_READ_S:
            await asyncio.sleep(BACKLOG_READ_S)
        for connection in (used, idle):
            await exchange(*connection)
        return forwarder.requests, serving_at

    requests, serving_at = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert len(requests) == 2
    assert all(request.received_at >= serving_at for request in requests)


class TruncatingForwarder:
    """Answers the first request whole and breaks every later answer off."""

    def __init__(self) -> None:
        self._has_answered = False

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        await sink.start(200, [("content-type", "text/event-stream")])
        await sink.send_part(b"id: 0\ndata: x\n\n")
        if self._has_answered:
            raise AnswerTruncatedError
        self._has_answered = True


# Guards against a broken-off stream that looks whole in the caller's own framing.
def test_a_truncated_stream_on_a_kept_connection_has_no_last_chunk() -> None:
    async def scenario() -> tuple[bytes, bytes]:
        Sanic.test_mode = True
        route = Route("r", "h", "/look/", RouteKind.STREAM, (TrafficShare("s", 1.0),), 5.0, 0.3)
        configuration = ServingConfiguration(1, (route,), {})
        forwarder = TruncatingForwarder()
        ingress = Ingress(
            lambda: configuration, lambda: 0.0, forwarder, None, None, DecisionLog("test")
        )
        front, readiness = listening_socket(), listening_socket()
        await ingress.start(front, readiness)
        reader, writer = await asyncio.open_connection(*front.getsockname())
        writer.write(REQUEST)
        whole = await reader.readuntil(b"0\r\n\r\n")
        writer.write(REQUEST)
        received = b""
        try:
            while part := await reader.read(4096):
                received += part
        except ConnectionError:
            pass
        return whole, received

    whole, truncated = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert b"transfer-encoding: chunked" in whole.lower()
    assert b"data: x" in truncated
    assert b"0\r\n\r\n" not in truncated


class FailingForwarder:
    """Meets an unexpected error, before or after the start of the answer."""

    def __init__(self, starts: bool) -> None:
        self._starts = starts

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        if self._starts:
            await sink.start(200, [("content-type", "text/event-stream")])
            await sink.send_part(b"id: 0\ndata: x\n\n")
        raise ZeroDivisionError


# Guards against a short answer that looks whole, or a promise, after an unexpected error.
@pytest.mark.parametrize("starts", [False, True])
def test_an_unexpected_error_ends_an_answer_without_a_promise(starts: bool) -> None:
    async def scenario() -> bytes:
        Sanic.test_mode = True
        route = Route("r", "h", "/look/", RouteKind.STREAM, (TrafficShare("s", 1.0),), 5.0, 0.3)
        configuration = ServingConfiguration(1, (route,), {})
        ingress = Ingress(
            lambda: configuration,
            lambda: 0.0,
            FailingForwarder(starts),
            None,
            None,
            DecisionLog("test"),
        )
        front, readiness = listening_socket(), listening_socket()
        await ingress.start(front, readiness)
        reader, writer = await asyncio.open_connection(*front.getsockname())
        writer.write(REQUEST.replace(b"Host: h", b"Host: h\r\nConnection: close"))
        received = b""
        try:
            while part := await reader.read(4096):
                received += part
        except ConnectionError:
            pass
        return received

    before = failures_by_task["Ingress._forward"]
    received = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert failures_by_task["Ingress._forward"] == before + 1
    if starts:
        assert received.startswith(b"HTTP/1.1 200 ") and b"0\r\n\r\n" not in received
    else:
        assert received.startswith(b"HTTP/1.1 500 ")
