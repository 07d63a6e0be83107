"""Requests that run at most once: what the gateway writes to their records."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import suppress
from types import SimpleNamespace
from typing import cast

from wharfcart.backends.interface import BackendPart, BackendRequest
from wharfcart.cluster.messages_pb2 import Command, KeyRecord, ProposeResult
from wharfcart.errors import Outcome, ServingError
from wharfcart.gateway.idempotency import IdempotencyService, IdempotentRequest
from wharfcart.routing.dispatcher import Dispatcher
from wharfcart.routing.owner import BackendOwner
from wharfcart.routing.router import Router
from wharfcart.storage.journal_client import JournalClient
from wharfcart.storage.shard_state import KeyState, ShardState

SERVICE = SimpleNamespace(tenant="t", repeatable=False, deadline_seconds=300.0)


class Journal:
    """A journal of one shard that commits at once."""

    shard_count = 1

    def __init__(self) -> None:
        self._state = ShardState()

    async def propose(self, _shard: int, command: Command) -> ProposeResult:
        return self._state.apply(self._state.applied_index + 1, command)

    async def read_key(self, _shard: int, key: str) -> KeyRecord:
        found = KeyRecord()
        found.CopyFrom(self._state.keys[key])
        return found

    @property
    def record(self) -> KeyRecord:
        (record,) = self._state.keys.values()
        return record


def service(
    journal: Journal,
    dispatch: Callable[..., AsyncGenerator[BackendPart, None]],
    settle: Callable[[BackendRequest], Awaitable[BackendPart | None]],
) -> IdempotencyService:
    client = SimpleNamespace(settle=settle)
    return IdempotencyService(
        cast(JournalClient, journal),
        cast(Dispatcher, SimpleNamespace(dispatch=dispatch)),
        cast(Router, SimpleNamespace(backends={name: name for name in "ab"})),
        cast(
            BackendOwner,
            SimpleNamespace(create_temporary=lambda _: SimpleNamespace(client=client)),
        ),
        lambda _task: None,
    )


def test_a_look_up_that_asked_an_earlier_back_end_does_not_end_the_next_attempt() -> None:
    """Guards against a second run: the caller would be told that the request did not run."""
    journal = Journal()
    claimed, asked, moved_on = asyncio.Event(), asyncio.Event(), asyncio.Event()

    async def dispatch(
        *arguments: object,
    ) -> AsyncGenerator[BackendPart, None]:
        claim = cast(Callable[[object], Awaitable[None]], arguments[-1])
        await claim(SimpleNamespace(backend_id="a"))
        journal.record.at_ms = 0  # so long ago that it looks abandoned
        claimed.set()
        await asked.wait()
        await claim(SimpleNamespace(backend_id="b"))
        moved_on.set()
        await asyncio.Event().wait()
        yield BackendPart(0, b"", True, 200, {})

    async def settle(_request: BackendRequest) -> BackendPart | None:
        asked.set()
        await moved_on.wait()
        return None

    async def scenario() -> None:
        gateway = service(journal, dispatch, settle)
        request = IdempotentRequest(
            SERVICE, BackendRequest("r", "POST", "/", {}, b"", False), 300.0, "", "k", "d"
        )
        run = asyncio.create_task(anext(gateway.run(request)))
        await claimed.wait()
        assert (await gateway.look_up("t", "k")).state == KeyState.STARTED
        assert journal.record.start.target == "b"
        run.cancel()

    asyncio.run(scenario())


def test_outcomes_name_the_last_attempt() -> None:
    journal = Journal()

    async def dispatch(*arguments: object) -> AsyncGenerator[BackendPart, None]:
        claim = cast(Callable[[object], Awaitable[None]], arguments[-1])
        for name in "ab":
            await claim(SimpleNamespace(backend_id=name))
        raise ServingError("broken", "the back end broke", 502, Outcome.UNKNOWN)
        yield BackendPart(0, b"", True, 200, {})

    async def settle(_request: BackendRequest) -> BackendPart | None:
        return None

    async def scenario() -> None:
        gateway = service(journal, dispatch, settle)
        request = IdempotentRequest(
            SERVICE, BackendRequest("r", "POST", "/", {}, b"", False), 300.0, "", "k", "d"
        )
        with suppress(ServingError):
            await anext(gateway.run(request))
        assert (journal.record.start.attempt, journal.record.state) == (2, KeyState.UNKNOWN)
        assert (await gateway.look_up("t", "k")).state == KeyState.NOT_RUN

    asyncio.run(scenario())
