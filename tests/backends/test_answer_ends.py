"""Whole responses of engines and application servers that end early."""

import aiohttp
import pytest
import uvloop

from tests.routing.shaped_backends import ShapedServer
from wharfcart.backends.application_client import ApplicationClient
from wharfcart.backends.interface import BackendError, BackendPart, BackendRequest
from wharfcart.emulator.answer_shapes import (
    AnswerFraming,
    AnswerShape,
    BackendFate,
    ConnectionEnd,
    Cut,
)
from wharfcart.errors import Outcome

BODY = [b'{"choices": [', b'"a", "b"', b"]}"]


async def send(shape: AnswerShape, content_type: str) -> BackendPart:
    """Send a request to a server whose response has a shape; return the response."""
    server = ShapedServer(shape, BODY, content_type)
    await server.start()
    host, port = server.address
    request = BackendRequest("request-1", "POST", "/x", {}, b"{}", False)
    try:
        async with aiohttp.ClientSession() as session:
            client = ApplicationClient(f"{host}:{port}", session)
            (part,) = [part async for part in client.send(request)]
            return part
    finally:
        server.stop()


# Guards against a response that its server broke off and that its caller takes for complete.
@pytest.mark.parametrize("end", list(ConnectionEnd))
@pytest.mark.parametrize("fate", list(BackendFate))
@pytest.mark.parametrize("cut", [Cut.BEFORE_BODY, Cut.INSIDE_EVENT])
def test_a_json_response_that_is_broken_off_has_an_unknown_outcome(
    cut: Cut, fate: BackendFate, end: ConnectionEnd
) -> None:
    shape = AnswerShape(AnswerFraming.UNTIL_CLOSE, cut, end, fate)
    with pytest.raises(BackendError) as raised:
        uvloop.run(send(shape, "application/json"))
    assert raised.value.outcome is Outcome.UNKNOWN


# Guards against a response that ends with its server and that its caller takes for complete.
@pytest.mark.parametrize("end", list(ConnectionEnd))
@pytest.mark.parametrize("cut", [Cut.BEFORE_BODY, Cut.INSIDE_EVENT, Cut.BETWEEN_EVENTS])
def test_a_response_that_ends_with_its_server_has_an_unknown_outcome(
    cut: Cut, end: ConnectionEnd
) -> None:
    shape = AnswerShape(AnswerFraming.UNTIL_CLOSE, cut, end, BackendFate.EXITS)
    with pytest.raises(BackendError) as raised:
        uvloop.run(send(shape, "text/plain"))
    assert raised.value.outcome is Outcome.UNKNOWN


# Guards against whole responses that are refused since they have no length.
@pytest.mark.parametrize("content_type", ["application/json", "text/plain"])
@pytest.mark.parametrize("framing", list(AnswerFraming))
def test_a_whole_response_is_returned(framing: AnswerFraming, content_type: str) -> None:
    part = uvloop.run(send(AnswerShape(framing), content_type))
    assert part.data == b"".join(BODY)
