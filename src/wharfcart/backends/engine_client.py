"""Client of a model engine: OpenAI HTTP API, resumable streams, fenced commands."""

from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass

import aiohttp

from wharfcart.backends.http_responses import CONTROL_TIMEOUT_S, open_response, read_response
from wharfcart.backends.interface import BackendError, BackendPart, BackendRequest, EngineCommand
from wharfcart.errors import Outcome
from wharfcart.http.grammar import parse_whole_number

MAX_RESUMES = 2
DONE_MARKER = b"[DONE]"
MAX_REORDERED_EVENTS = 64


@dataclass(frozen=True)
class EngineInventory:
    """Model, adapters and limits that an engine reports."""

    model: str
    version: str
    adapters: frozenset[str]
    loading: bool
    max_sequences: int


class EngineClient:
    """Client of one engine."""

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._address = address
        self._session = session

    async def send(self, request: BackendRequest) -> AsyncGenerator[BackendPart, None]:
        """Send a request and yield its parts; resume a broken stream after its last part.

        Raises:
            BackendError: The request failed, or a broken stream could not be resumed.
        """
        if not request.stream:
            yield await self._send_whole(request)
            return
        reader = _OrderedStreamReader()
        attempt = _resume_request(request, 0) if request.resume else request
        for resume in range(MAX_RESUMES + 1):
            try:
                async with open_response(self._session, self._address, attempt) as response:
                    if response.status >= 400:
                        yield await read_response(response)
                        return
                    async for part in reader.read(response):
                        yield part
                if reader.finished:
                    return
            except BackendError as error:
                if resume == 0 and request.resume and error.outcome is Outcome.NOT_RUN:
                    attempt = request  # unknown to the engine: start it
                    continue
                if resume == 0 and error.outcome is Outcome.NOT_RUN:
                    raise
            attempt = _resume_request(request, reader.next_sequence)
        raise BackendError("stream broke off and could not be resumed", Outcome.UNKNOWN)

    async def _send_whole(self, request: BackendRequest) -> BackendPart:
        resumed = _resume_request(request, 0)
        if request.resume:
            try:
                return await self._read_whole(resumed)
            except BackendError as error:
                if error.outcome is not Outcome.NOT_RUN:
                    raise
        try:
            return await self._read_whole(request)
        except BackendError as error:
            if error.outcome is Outcome.NOT_RUN:
                raise
        return await self._read_whole(resumed)

    async def _read_whole(self, request: BackendRequest) -> BackendPart:
        async with open_response(self._session, self._address, request) as response:
            return await read_response(response)

    async def cancel(self, request_id: str) -> bool:
        """Cancel a stream; the engine keeps its tokens for a resume."""
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        url = f"http://{self._address}/v1/streams/{request_id}"
        try:
            async with self._session.delete(url, timeout=timeout) as response:
                body = await response.json()
                return bool(body["cancelled"])
        except (TimeoutError, aiohttp.ClientError, ValueError, LookupError):
            return False  # an unreachable engine runs nothing

    async def settle(self, request: BackendRequest) -> BackendPart | None:
        """Resume a request by its id and return its response; None if the engine does not know it.

        Raises:
            BackendError: The outcome is unknown.
        """
        resumed = _resume_request(request, 0)
        try:
            return await self._read_whole(resumed)
        except BackendError as error:
            if error.outcome is Outcome.NOT_RUN:
                return None
            raise

    async def fetch_inventory(self) -> EngineInventory:
        """Fetch what the engine holds.

        Raises:
            BackendError: The engine did not report its status.
        """
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{self._address}/status", timeout=timeout
            ) as response:
                response.raise_for_status()
                body = await response.json()
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise BackendError(f"no status: {error!r}", Outcome.NOT_RUN) from error
        return EngineInventory(
            body["model"],
            body["version"],
            frozenset(body["adapters"]),
            body["loading"],
            body.get("most_sequences", 64),
        )

    async def send_command(self, command: EngineCommand) -> bool:
        """Send a fenced command; return False if the engine rejects it for a newer leader.

        Raises:
            BackendError: The engine did not respond.
        """
        body = {
            "order": command.kind.value,
            "name": command.name,
            "version": command.version,
            "epoch": command.epoch,
            "sequence": command.sequence,
        }
        timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_S)
        try:
            async with self._session.post(
                f"http://{self._address}/control/orders", json=body, timeout=timeout
            ) as response:
                return response.status == 202
        except (TimeoutError, aiohttp.ClientError) as error:
            raise BackendError(f"order not answered: {error!r}", Outcome.UNKNOWN) from error


def _resume_request(request: BackendRequest, next_sequence: int) -> BackendRequest:
    chat = int("chat" in request.path)
    path = f"/v1/streams/{request.request_id}?chat={chat}&stream={int(request.stream)}"
    headers = {"Last-Event-ID": str(next_sequence - 1)}
    return BackendRequest(request.request_id, "GET", path, headers, b"", request.stream)


def _parse_event_number(value: bytes) -> int:
    number = parse_whole_number(value.decode("latin-1"))
    if number is None:
        raise BackendError("the number of an event is malformed", Outcome.UNKNOWN)
    return number


class _OrderedStreamReader:
    """Reads the numbered events of a stream over several connections, in order and once each."""

    def __init__(self) -> None:
        self.next_sequence = 0
        self.finished = False
        self._reordered: dict[int, bytes] = {}

    async def read(self, response: aiohttp.ClientResponse) -> AsyncIterator[BackendPart]:
        buffer = b""
        async for chunk in response.content.iter_any():
            buffer += chunk
            while b"\n\n" in buffer:
                event, buffer = buffer.split(b"\n\n", 1)
                for part in self._accept(event):
                    yield part
            if self.finished:
                return

    def _accept(self, event: bytes) -> list[BackendPart]:
        number = self.next_sequence
        data = b""
        for line in event.split(b"\n"):
            if line.startswith(b"id:"):
                number = _parse_event_number(line[3:])
            elif line.startswith(b"data:"):
                data = line[5:].strip()
        if number >= self.next_sequence and len(self._reordered) < MAX_REORDERED_EVENTS:
            self._reordered[number] = data
        return self._pop_in_order()

    def _pop_in_order(self) -> list[BackendPart]:
        parts: list[BackendPart] = []
        while self.next_sequence in self._reordered:
            data = self._reordered.pop(self.next_sequence)
            self.finished = data == DONE_MARKER
            framed = b"data: " + data + b"\n\n"
            headers = {"content-type": "text/event-stream"}
            parts.append(BackendPart(self.next_sequence, framed, self.finished, 200, headers))
            self.next_sequence += 1
        return parts
