"""Interface to back ends: one request out, numbered parts back."""

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

    ``resume``: the back end may know the request already; it is to go on with it, not begin anew.
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
    """One part of an answer; parts come in order, and the last one says so."""

    sequence: int
    data: bytes
    is_last: bool
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


class BackendError(ServingError):
    """A back end gave no whole answer."""

    def __init__(
        self, message: str, outcome: Outcome, status: int = 502, retry_after: float | None = None
    ) -> None:
        super().__init__("backend_failed", message, status, outcome, retry_after)


class EngineCommandKind(StrEnum):
    """Orders an engine takes."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"


@dataclass(frozen=True)
class EngineCommand:
    """One order to one engine, fenced by the leader's epoch and its sequence in it."""

    backend_id: str
    kind: EngineCommandKind
    name: str
    version: str
    epoch: int
    sequence: int


class BackendClient(Protocol):
    """Client of one back end."""

    def send(self, request: BackendRequest) -> AsyncGenerator[BackendPart, None]:
        """Send a request and yield the parts of its answer.

        Raises
        ------
        BackendError
        """
        ...

    async def cancel(self, request_id: str) -> bool:
        """Stop a request; return whether the back end was running it."""
        ...

    async def settle(self, request: BackendRequest) -> BackendPart | None:
        """Tell what became of a request whose answer was lost.

        Return the answer if it ran, None on proof that it did not and never will.

        Raises
        ------
        BackendError
            If the back end cannot tell now.
        """
        ...
