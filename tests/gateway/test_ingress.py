"""Callers' connections at a gateway that starts."""

import asyncio
import socket
from time import monotonic

from sanic import Sanic

from wharfcart.configuration.serving import Route, RouteKind, ServingConfiguration, TrafficShare
from wharfcart.gateway.ingress import BACKLOG_ACCEPT_S, Ingress
from wharfcart.observability.decisions import DecisionLog
from wharfcart.routing.caller_request import AnswerSink, CallerRequest

REQUEST = b"GET /look/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n"


class RecordingForwarder:
    """Answers at once and notes what came."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        self.requests.append(request)
        await sink.send_whole(200, [], b"")


def listening_socket() -> socket.socket:
    made = socket.socket()
    made.bind(("127.0.0.1", 0))
    made.listen()
    made.setblocking(False)
    return made


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

    opened_at, (waited, second, fresh), serving_at = asyncio.run(asyncio.wait_for(scenario(), 20))
    assert waited.received_at == opened_at
    assert second.received_at >= serving_at
    assert fresh.received_at >= serving_at
