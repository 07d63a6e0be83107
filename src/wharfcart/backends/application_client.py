"""Client of an application server: forwards plain HTTP."""

import json
from collections.abc import AsyncGenerator

import aiohttp

from wharfcart.backends.http_responses import CONTROL_TIMEOUT_S, open_response, read_response
from wharfcart.backends.interface import BackendError, BackendPart, BackendRequest
from wharfcart.errors import Outcome


class ApplicationClient:
    """Client of one application server."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._address = address
        self._session = session

    async def send(self, request: BackendRequest) -> AsyncGenerator[BackendPart, None]:
        """Send a request and yield its response as one part.

        Raises:
            BackendError: The server gave no complete response.
        """
        async with open_response(self._session, self._address, request) as response:
            part = await read_response(response)
        yield part

    async def cancel(self, request_id: str) -> bool:
        """Return False: an application call in progress is not interrupted."""
        return False

    async def settle(self, request: BackendRequest) -> BackendPart | None:
        """Return the response of a request whose response was lost, or None if it did not run.

        Raises:
            BackendError: The outcome is unknown, for example if the server lacks this call.
        """
        url = f"http://{self._address}/effects/{request.request_id}/settle"
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.post(url, timeout=timeout) as response:
                response.raise_for_status()
                body = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise BackendError(f"cannot settle: {error!r}", Outcome.UNKNOWN) from error
        if body["state"] == "not_run":
            return None
        if body["state"] != "completed":
            raise BackendError("still running there", Outcome.UNKNOWN)
        data = json.dumps(body["response"]).encode()
        return BackendPart(0, data, True, 200, {"content-type": "application/json"})

    async def is_alive(self) -> bool:
        """Return whether the server responds."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{self._address}/status", timeout=timeout
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False
