"""Bytes of headers on their way from a caller to a back end and back."""

import asyncio
import random
import socket

import pytest
from sanic import Sanic

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import Route, RouteKind, ServingConfiguration, TrafficShare
from wharfcart.gateway.ingress import Ingress
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement

ROUTE = Route("r", "h", "/", RouteKind.AT_MOST_ONCE, (TrafficShare("s", 1.0),), 5.0, 0.3)


class EchoingBackend:
    """A back end that records heads and answers with the value of one header."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.heads.append(head)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n"
            + names.RESPONSE_STAMP.encode()
            + b": s\r\nX-Echo: "
            + value_of(head, b"x-model")
            + b"\r\n\r\n"
        )
        await writer.drain()
        writer.close()


def value_of(head: bytes, name: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip(b" \t")
    return b""


async def call(header: bytes) -> tuple[bytes, list[bytes]]:
    """Send a request with a header line; return the answer and the heads at the back end."""
    Sanic.test_mode = True
    backend = EchoingBackend()
    server = await asyncio.start_server(backend.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    selector = BackendSelector("z", random.Random(1))
    selector.put(BackendInstance("i", "s", host, port, "z", 8, True))
    pool = ConnectionPool()
    log = DecisionLog("test")
    forwarder = Forwarder(
        selector,
        LocalPlacement(selector),
        pool,
        lambda _service: 8,
        log,
        ServingMetrics(),
        CrashDetector(PoisonRequests(), log),
    )
    configuration = ServingConfiguration(1, (ROUTE,), {})
    ingress = Ingress(lambda: configuration, lambda: 0.0, forwarder, None, None, log)
    front, readiness = socket.socket(), socket.socket()
    for listening in (front, readiness):
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        listening.setblocking(False)
    await ingress.start(front, readiness)
    reader, writer = await asyncio.open_connection(*front.getsockname())
    writer.write(
        b"GET /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nConnection: close\r\n"
        + header
        + b"\r\n\r\n"
    )
    answer = await reader.read()
    writer.close()
    pool.close()
    server.close()
    return answer, backend.heads


# Guards against a header that changes on its way, or makes a proper request fail.
@pytest.mark.parametrize(
    "value", [b"m", b"\xc3\xa1", "\u0416\u2028".encode(), b"\xe1", b"\xff\xfe", b"a\tb", b"\x85"]
)
def test_header_values_pass_unchanged_in_both_directions(value: bytes) -> None:
    answer, (head,) = asyncio.run(asyncio.wait_for(call(b"X-Model: " + value), 20))
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert value_of(head, b"x-model") == value
    assert value_of(answer, b"x-echo") == value


# Guards against a caller's header that a back end reads as the end of a line, or as framing.
@pytest.mark.parametrize(
    "line",
    [
        b"X-Model: m\nX-Other: 1",
        b"X-Model: m\rX-Other: 1",
        b"X-Model: m\0",
        b"X Model: m",
        b"Transfer-Encoding : chunked",
        b"X-Model\xc3\xa1: m",
        b": m",
        b"X-Request-Id: \xff",
    ],
)
def test_a_header_that_is_no_header_is_refused(line: bytes) -> None:
    answer, heads = asyncio.run(asyncio.wait_for(call(line), 20))
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert heads == []
