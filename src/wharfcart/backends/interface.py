"""Interface of the back-end clients: requests, numbered response parts, engine commands."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

from wharfcart.errors import Outcome, ServingError

REQUEST_ID_HEADER = "X-Request-Id"
OUTCOME_HEADER = "X-Outcome"


@dataclass(frozen=True)
class BackendRequest:
    """One request to a back end.

    Attributes:
        request_id: id of the request.
        method: HTTP method.
        path: path and query.
        headers: headers to send.
        body: complete body.
        stream: whether the response is a stream.
        resume: whether the back end may already know the request and should resume it.
    """

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    stream: bool
    resume: bool = False


@dataclass(frozen=True)
class BackendPart:
    """One part of a response.

    Attributes:
        sequence: number of the part; parts arrive in order.
        data: bytes of the part.
        is_last: whether the response ends with this part.
        status: HTTP status of the response.
        headers: headers of the response.
    """

    sequence: int
    data: bytes
    is_last: bool
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


class BackendError(ServingError):
    """A back end gave no complete response."""

    def __init__(
        self, message: str, outcome: Outcome, status: int = 502, retry_after: float | None = None
    ) -> None:
        super().__init__("backend_failed", message, status, outcome, retry_after)


class EngineCommandKind(StrEnum):
    """Kinds of commands to an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"


@dataclass(frozen=True)
class EngineCommand:
    """One command to one engine, fenced by the leader's epoch and a sequence number in it."""

    backend_id: str
    kind: EngineCommandKind
    name: str
    version: str
    epoch: int
    sequence: int


class BackendClient(Protocol):
    """Client of one back end."""

    def send(self, request: BackendRequest) -> AsyncGenerator[BackendPart, None]:
        """Send a request and yield the parts of its response.

        Raises:
            BackendError: The request failed.
        """
        ...

    async def cancel(self, request_id: str) -> bool:
        """Cancel a request; return whether the back end was running it."""
        ...

    async def settle(self, request: BackendRequest) -> BackendPart | None:
        """Return the response of a request whose response was lost.

        Returns:
            The response if the request ran; None if it provably did not run and never will.

        Raises:
            BackendError: The outcome can't be determined now.
        """
        ...
