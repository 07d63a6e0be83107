"""Client of an application server: plain HTTP, passed through."""

import json
from collections.abc import AsyncGenerator

import aiohttp

from wharfcart.backends.http_responses import CONTROL_TIMEOUT_S, open_response, read_response
from wharfcart.backends.interface import BackendError, BackendPart, BackendRequest
from wharfcart.errors import Outcome


class ApplicationClient:
    """One application server."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._address = address
        self._session = session

    async def send(self, request: BackendRequest) -> AsyncGenerator[BackendPart, None]:
        """Send a request; the answer is one part."""
        async with open_response(self._session, self._address, request) as response:
            part = await read_response(response)
        yield part

    async def cancel(self, request_id: str) -> bool:
        """Do nothing: an application call that began is let finish."""
        return False

    async def settle(self, request: BackendRequest) -> BackendPart | None:
        """Ask what became of a request; a server without the call leaves it unknown."""
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
        """Return whether the server answers."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{self._address}/status", timeout=timeout
            ) as response:
                return response.status == 200
        except (TimeoutError, aiohttp.ClientError):
            return False
