"""HTTP responses of engines and application servers: opening, checking, reading."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

import aiohttp

from wharfcart.backends.interface import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    BackendError,
    BackendPart,
    BackendRequest,
)
from wharfcart.errors import Outcome
from wharfcart.http.answer_end import AnswerEnd, decide_by_backend, decide_by_form, form_of_body
from wharfcart.http.connection import NO_BODY_STATUSES, Framing, ResponseHead
from wharfcart.http.grammar import parse_decimal
from wharfcart.http.liveness import refuses_connections

CONNECT_TIMEOUT_S = 1.0
CONTROL_TIMEOUT_S = 2.0
FORWARDED_HEADERS = ("content-type", "retry-after")
STATUS_OVERLOADED = 503


@asynccontextmanager
async def open_response(
    session: aiohttp.ClientSession, address: str, request: BackendRequest
) -> AsyncIterator[aiohttp.ClientResponse]:
    """Send a request and yield its response once the head has arrived and matches the request.

    Raises:
        BackendError: With outcome ``not_run`` if no connection was made or the back end says so,
            else ``unknown``.
    """
    headers = request.headers | {REQUEST_ID_HEADER: request.request_id}
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
    url = f"http://{address}/{request.path.lstrip('/')}"
    response_coroutine = session.request(
        request.method, url, data=request.body or None, headers=headers, timeout=timeout
    )
    try:
        async with await _shield_connect(response_coroutine) as response:
            _check_head(response, request)
            yield response
    except aiohttp.ClientConnectorError as error:
        raise BackendError(f"no connection: {error}", Outcome.NOT_RUN) from error
    except (aiohttp.ClientError, OSError) as error:  # TimeoutError is an OSError
        raise BackendError(f"connection broke: {error!r}", Outcome.UNKNOWN) from error


async def _shield_connect(
    call: Coroutine[Any, Any, aiohttp.ClientResponse],
) -> aiohttp.ClientResponse:
    """Await the head of a response; if cancelled, close the response once its head arrives.

    Cancelling aiohttp while it connects closes a socket that uvloop's transport still holds. The
    next socket with that descriptor then fails ("File descriptor is used by transport").
    """
    task = asyncio.ensure_future(call)
    try:
        return await asyncio.shield(task)
    except asyncio.CancelledError:
        task.add_done_callback(_close_late_response)
        raise


def _close_late_response(task: asyncio.Future[aiohttp.ClientResponse]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


def _check_head(response: aiohttp.ClientResponse, request: BackendRequest) -> None:
    if response.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
        # A date is a value, too; it is not read.
        retry_after = parse_decimal(response.headers.get("Retry-After", "")) or 1.0
        raise BackendError(
            f"refused with {response.status}", Outcome.NOT_RUN, STATUS_OVERLOADED, retry_after
        )
    if response.status >= 500:
        raise BackendError(f"status {response.status}", Outcome.UNKNOWN)
    response_id = response.headers.get(REQUEST_ID_HEADER)
    if response.status < 400 and response_id != request.request_id:
        raise BackendError("the answer is another request's", Outcome.UNKNOWN)


async def read_response(response: aiohttp.ClientResponse) -> BackendPart:
    """Read a complete response as one part.

    Raises:
        BackendError: With outcome ``unknown`` if the response was broken off.
    """
    data = await response.read()
    if await _is_broken_off(response, data):
        raise BackendError("the response was broken off", Outcome.UNKNOWN)
    headers = {
        name: response.headers[name] for name in FORWARDED_HEADERS if name in response.headers
    }
    return BackendPart(0, data, True, response.status, headers)


async def _is_broken_off(response: aiohttp.ClientResponse, data: bytes) -> bool:
    """Whether a response that ended with its connection ended too early."""
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if is_chunked or response.content_length is not None or response.status in NO_BODY_STATUSES:
        return False
    headers = [(name.lower(), value) for name, value in response.headers.items()]
    form = form_of_body(ResponseHead(response.status, headers), data)
    decision = decide_by_form(Framing.UNTIL_CLOSE, form)
    if decision is None:
        host, port = response.url.host or "", response.url.port or 0
        decision = decide_by_backend(await refuses_connections(host, port))
    return decision.end is AnswerEnd.BROKEN_OFF
