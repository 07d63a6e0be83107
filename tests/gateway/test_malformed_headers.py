"""Requests of callers with malformed headers, over sockets."""

import asyncio
import socket

import pytest
from sanic import Sanic

from wharfcart.configuration.serving import Route, RouteKind, ServingConfiguration, TrafficShare
from wharfcart.gateway.ingress import Ingress
from wharfcart.observability.decisions import DecisionLog
from wharfcart.platform import names
from wharfcart.routing.caller_request import AnswerSink, CallerRequest

SHARES = (TrafficShare("s", 1.0),)
ROUTES = (
    Route("r", "h", "/look/", RouteKind.REPEATABLE, SHARES, 5.0, 0.3),
    Route("s", "h", "/resume/", RouteKind.STREAM, SHARES, 5.0, 0.3, resumable=True),
)


class RecordingForwarder:
    """Answers at once and records the requests."""

    def __init__(self) -> None:
        self.requests: list[CallerRequest] = []

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        self.requests.append(request)
        await sink.send_whole(200, [], b"")


def call(path: str, header: bytes) -> tuple[int, str, list[CallerRequest]]:
    """Send one request; return status and body of the answer, and the requests passed on."""

    async def scenario() -> tuple[int, str, list[CallerRequest]]:
        Sanic.test_mode = True
        forwarder = RecordingForwarder()
        configuration = ServingConfiguration(1, ROUTES, {})
        ingress = Ingress(
            lambda: configuration, lambda: 0.0, forwarder, None, None, DecisionLog("test")
        )
        sockets = []
        for _ in range(2):
            listening = socket.socket()
            listening.bind(("127.0.0.1", 0))
            listening.listen()
            listening.setblocking(False)
            sockets.append(listening)
        await ingress.start(sockets[0], sockets[1])
        reader, writer = await asyncio.open_connection(*sockets[0].getsockname())
        head = f"GET {path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\nConnection: close\r\n"
        writer.write(head.encode() + header + b"\r\n\r\n")
        answer = await reader.read()
        writer.close()
        status = int(answer.split(b" ", 2)[1])
        return status, answer.partition(b"\r\n\r\n")[2].decode(), forwarder.requests

    return asyncio.run(asyncio.wait_for(scenario(), 20))


ODD_HEADERS = [
    (names.DEADLINE_MS, b"nan"),
    (names.DEADLINE_MS, b"inf"),
    (names.DEADLINE_MS, b"-5"),
    (names.TOKEN_COUNT, b"60,nan"),
    (names.TOKEN_COUNT, b"60,inf"),
    (names.TOKEN_COUNT, b"60," + b"7" * 5000),
    (names.PROMPT_PREFIX, "a:\u00b2,b:5".encode()),
    (names.PROMPT_PREFIX, b"a:\xb2,b:5"),
    (names.PROMPT_PREFIX, b"a:" + b"7" * 5000),
    (names.PROMPT_PREFIX, b"a:99999999999,b:5"),
    (names.PROMPT_PREFIX, b"a:9999999,b:5"),
    (names.LAST_EVENT_ID, b"inf"),
    (names.LAST_EVENT_ID, "\u00b2".encode()),
]


# Guards against a 500, or a time limit that never ends, by a caller's own header.
@pytest.mark.parametrize(("name", "value"), ODD_HEADERS)
def test_a_request_with_a_malformed_value_gets_400_that_names_it(name: str, value: bytes) -> None:
    status, body, passed_on = call("/resume/x", name.encode() + b": " + value)
    assert (status, body, passed_on) == (400, f"malformed: {name}", [])


# Guards against callers that are refused for event ids which nobody reads.
def test_event_ids_of_other_forms_pass_where_no_stream_is_resumed() -> None:
    status, _, (request,) = call("/look/x", f"{names.LAST_EVENT_ID}: abc".encode())
    assert status == 200
    assert request.facts.resume_after is None
