"""One batch item at back ends: sends, resumption after a cut, and when it has failed for good."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from time import time

from wharfcart.admission.request_content import ContentId, content_of
from wharfcart.backends.connection_pool import ConnectionLimitError, ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.http.connection import (
    AnswerHead,
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
)
from wharfcart.platform import exchanges
from wharfcart.routing.backend_choice import BackendChoice, InstanceState
from wharfcart.routing.broken_runs import BrokenRun, BrokenRuns
from wharfcart.routing.event_stream import EventSplitter
from wharfcart.storage.partial_texts import ItemPartialText

STATUS_IMPOSSIBLE = 422
STATUS_FAILED = 500
STATUS_UNAVAILABLE = 503
SILENCE_LIMIT_S = 3.0
ITEM_METHOD = "POST"


class RunOutcome(StrEnum):
    """How one send of an item ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    IMPOSSIBLE = "impossible"
    REFUSED = "refused"
    BROKEN = "broken"


# The back end has run the item to an end, and lives.
_RAN = frozenset({RunOutcome.SUCCEEDED, RunOutcome.FAILED, RunOutcome.IMPOSSIBLE})


@dataclass
class ItemProgress:
    """What is known of an item that has no result yet.

    Parameters
    ----------
    text: the events that it has given so far and where it failed, perhaps under an earlier leader.
    not_before: monotonic time of the next send.
    ran_s: sum of the times of its sends.
    """

    text: ItemPartialText
    not_before: float = 0.0
    last_backend: str = ""
    sends: int = 0
    ran_s: float = 0.0
    _content: ContentId | None = None

    def content_of(self, item: RequestItem, host: str, tenant: str) -> ContentId:
        """Return what the item is known by: the same as a request of its tenant.

        Args:
            item: whose progress this is.
            host: of its job's submission.
            tenant: whose job it is, or ''.
        """
        if self._content is None:
            self._content = content_of(host, ITEM_METHOD, item.path, tenant, item.body)
        return self._content

    @property
    def failures(self) -> int:
        """Number of answers that said that it failed."""
        return len(self.text.failed_at)

    @property
    def failed_at(self) -> set[str]:
        """Incarnations that gave these."""
        return set(self.text.failed_at)


@dataclass(frozen=True)
class ItemSend:
    """One send of an item.

    Parameters
    ----------
    host: of the job's submission.
    tenant: whose job it is; '' where callers need no key.
    use: number under which the item is already counted in flight at the back end.
    give_up_at: monotonic time after which nobody waits for the result.
    """

    item: RequestItem
    host: str
    tenant: str
    state: InstanceState
    use: int
    progress: ItemProgress
    give_up_at: float

    def content(self) -> ContentId:
        """Return what the item is known by beyond this send."""
        return self.progress.content_of(self.item, self.host, self.tenant)


class ItemRunner:
    """Sends items to back ends."""

    def __init__(
        self,
        choice: BackendChoice,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        broken_runs: BrokenRuns,
    ) -> None:
        self._choice = choice
        self._pool = pool
        self._connection_limit = connection_limit
        self._broken_runs = broken_runs

    def _is_held_back(self, send: ItemSend) -> bool:
        """Whether back ends have ended while they ran the item."""
        return self._broken_runs.suspects.held_for_s(send.content, time()) > 0

    async def run(self, send: ItemSend) -> RunOutcome:
        """Send an item once and read its events into its progress.

        Cancelled, it ends the back end's work by closing the connection.
        """
        send.progress.last_backend = send.state.instance.instance_id
        try:
            return await self._connect_and_send(send)
        except ConnectFailedError:
            self._choice.failed(send.state, monotonic())
            return RunOutcome.REFUSED
        except ConnectionLimitError:
            return RunOutcome.REFUSED
        finally:
            self._choice.ended(send.state, send.use)

    async def _connect_and_send(self, send: ItemSend) -> RunOutcome:
        instance = send.state.instance
        placed_at = monotonic()
        connection = await self._pool.take(instance, self._connection_limit(instance.service))
        ruled_out = self._choice.held_back(send.state, placed_at, monotonic()) is not None
        if ruled_out or self._is_held_back(send):
            self._pool.give_back(instance, connection)
            return RunOutcome.REFUSED
        began_at = monotonic()
        events_before = len(send.progress.text.texts)
        try:
            outcome = await self._exchange(connection, send)
        except TimeoutError:
            self._pool.discard(instance, connection)
            return RunOutcome.BROKEN
        except ConnectionBrokenError as error:
            self._pool.discard(instance, connection)
            answer_begun = len(send.progress.text.texts) > events_before
            await self._broken_runs.look_into(
                BrokenRun(
                    send.item.item_id,
                    send.content(),
                    instance,
                    error.cause,
                    answer_begun,
                    monotonic() - began_at,
                )
            )
            return RunOutcome.BROKEN
        except BaseException:
            self._pool.discard(instance, connection)
            raise
        self._pool.give_back(instance, connection)
        if outcome in _RAN:
            self._broken_runs.suspects.note_answer(send.content)
        return outcome

    async def _exchange(self, connection: HttpConnection, send: ItemSend) -> RunOutcome:
        self._write(connection, send)
        async with asyncio.timeout(SILENCE_LIMIT_S):
            head = await connection.read_head()
        self._choice.answered(send.state, send.use)
        load = exchanges.reported_load(head)
        if load is not None:
            self._choice.reported(send.state, load.running, load.waiting, monotonic())
        if head.status >= 300:
            await connection.read_body()
            return self._failure(head, send.state)
        if not exchanges.is_signed(head):
            return RunOutcome.BROKEN
        return await self._read_events(connection, send.progress)

    def _write(self, connection: HttpConnection, send: ItemSend) -> None:
        item = send.item
        headers = [("host", send.host), (exchanges.REQUEST_ID_HEADER, item.item_id)]
        headers += [(header.name, header.value) for header in item.headers]
        if send.tenant:
            headers = exchanges.without_key(headers)
        send.progress.sends += 1
        connection.send(
            ITEM_METHOD,
            item.path,
            exchanges.headers_for_server(
                headers,
                send.state.instance.instance_id,
                send.give_up_at - monotonic(),
                send.progress.text.last_event,
                send.tenant,
            ),
            item.body,
            exchanges.REQUEST_ID_HEADER,
            item.item_id,
        )

    def _failure(self, head: AnswerHead, state: InstanceState) -> RunOutcome:
        if exchanges.was_not_run(head):
            if head.status == STATUS_UNAVAILABLE:
                self._choice.full(state, monotonic())
            return RunOutcome.REFUSED
        if head.status == STATUS_IMPOSSIBLE:
            return RunOutcome.IMPOSSIBLE
        return RunOutcome.FAILED if head.status == STATUS_FAILED else RunOutcome.BROKEN

    async def _read_events(self, connection: HttpConnection, progress: ItemProgress) -> RunOutcome:
        splitter = EventSplitter()
        while True:
            async with asyncio.timeout(SILENCE_LIMIT_S):
                part = await connection.read_part()
            if part is None:
                break
            for event in splitter.feed(part):
                if event.number is None:
                    continue
                last_event = progress.text.last_event
                if last_event is not None and event.number <= last_event:
                    continue
                if last_event is not None and event.number > last_event + 1:
                    return RunOutcome.BROKEN
                progress.text.add_event(event.number, event.data)
        return RunOutcome.BROKEN if splitter.rest else RunOutcome.SUCCEEDED
