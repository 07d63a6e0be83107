"""One batch item at back ends: sends, resumption after a cut, and when it has failed for good."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from time import time

from wharfcart.admission.request_fingerprint import RequestFingerprint, fingerprint_of
from wharfcart.backends.connection_pool import ConnectionLimitError, ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.http.connection import (
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
    ResponseHead,
)
from wharfcart.platform import http_headers
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.crash_detection import CrashDetector, InterruptedRun
from wharfcart.routing.event_stream import EventSplitter
from wharfcart.storage.partial_texts import ItemPartialText

STATUS_UNPROCESSABLE = 422
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
READ_TIMEOUT_S = 3.0
ITEM_METHOD = "POST"


class RunOutcome(StrEnum):
    """How one send of an item ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNPROCESSABLE = "impossible"
    REFUSED = "refused"
    INTERRUPTED = "broken"


# The back end has run the item to an end, and lives.
_FINISHED_RUNS = frozenset({RunOutcome.SUCCEEDED, RunOutcome.FAILED, RunOutcome.UNPROCESSABLE})


@dataclass
class ItemProgress:
    """What is known of an item that has no result yet.

    Parameters
    ----------
    partial_text: events of the item so far and where it failed, perhaps under an earlier leader.
    not_before: monotonic time of the next send.
    run_time_s: sum of the times of its sends.
    """

    partial_text: ItemPartialText
    not_before: float = 0.0
    last_instance_id: str = ""
    attempts: int = 0
    run_time_s: float = 0.0
    _fingerprint: RequestFingerprint | None = None

    def fingerprint_of(self, item: RequestItem, host: str, tenant: str) -> RequestFingerprint:
        """Return what the item is known by: the same as a request of its tenant.

        Args:
            item: whose progress this is.
            host: of its job's submission.
            tenant: whose job it is, or ''.
        """
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(host, ITEM_METHOD, item.path, tenant, item.body)
        return self._fingerprint

    @property
    def failure_count(self) -> int:
        """Number of answers that said that it failed."""
        return len(self.partial_text.failed_at)

    @property
    def failed_instance_ids(self) -> set[str]:
        """Incarnations that gave these."""
        return set(self.partial_text.failed_at)


@dataclass(frozen=True)
class ItemAttempt:
    """One send of an item.

    Parameters
    ----------
    host: of the job's submission.
    tenant: whose job it is; '' where callers need no key.
    send_id: number under which the item is already counted in flight at the back end.
    give_up_at: monotonic time after which nobody waits for the result.
    """

    item: RequestItem
    host: str
    tenant: str
    state: InstanceState
    send_id: int
    progress: ItemProgress
    give_up_at: float

    def fingerprint(self) -> RequestFingerprint:
        """Return what the item is known by beyond this send."""
        return self.progress.fingerprint_of(self.item, self.host, self.tenant)


class ItemRunner:
    """Sends items to back ends."""

    def __init__(
        self,
        selector: BackendSelector,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        crash_detector: CrashDetector,
    ) -> None:
        self._selector = selector
        self._pool = pool
        self._connection_limit = connection_limit
        self._crash_detector = crash_detector

    def _is_quarantined(self, attempt: ItemAttempt) -> bool:
        """Whether back ends have ended while they ran the item."""
        return (
            self._crash_detector.poison_requests.quarantine_left_s(attempt.fingerprint, time()) > 0
        )

    async def run(self, attempt: ItemAttempt) -> RunOutcome:
        """Send an item once and read its events into its progress.

        Cancelled, it ends the back end's work by closing the connection.
        """
        attempt.progress.last_instance_id = attempt.state.instance.instance_id
        try:
            return await self._connect_and_send(attempt)
        except ConnectFailedError:
            self._selector.record_failure(attempt.state, monotonic())
            return RunOutcome.REFUSED
        except ConnectionLimitError:
            return RunOutcome.REFUSED
        finally:
            self._selector.record_finished(attempt.state, attempt.send_id)

    async def _connect_and_send(self, attempt: ItemAttempt) -> RunOutcome:
        instance = attempt.state.instance
        placed_at = monotonic()
        connection = await self._pool.acquire(instance, self._connection_limit(instance.service))
        ruled_out = (
            self._selector.exclusion_before_send(attempt.state, placed_at, monotonic()) is not None
        )
        if ruled_out or self._is_quarantined(attempt):
            self._pool.release(instance, connection)
            return RunOutcome.REFUSED
        began_at = monotonic()
        events_before = len(attempt.progress.partial_text.texts)
        try:
            outcome = await self._send_and_receive(connection, attempt)
        except TimeoutError:
            self._pool.discard(instance, connection)
            return RunOutcome.INTERRUPTED
        except ConnectionBrokenError as error:
            self._pool.discard(instance, connection)
            answer_begun = len(attempt.progress.partial_text.texts) > events_before
            await self._crash_detector.inspect(
                InterruptedRun(
                    attempt.item.item_id,
                    attempt.fingerprint(),
                    instance,
                    error.cause,
                    answer_begun,
                    monotonic() - began_at,
                )
            )
            return RunOutcome.INTERRUPTED
        except BaseException:
            self._pool.discard(instance, connection)
            raise
        self._pool.release(instance, connection)
        if outcome in _FINISHED_RUNS:
            self._crash_detector.poison_requests.record_answer(attempt.fingerprint)
        return outcome

    async def _send_and_receive(
        self, connection: HttpConnection, attempt: ItemAttempt
    ) -> RunOutcome:
        self._send_request(connection, attempt)
        async with asyncio.timeout(READ_TIMEOUT_S):
            head = await connection.read_head()
        self._selector.record_first_byte(attempt.state, attempt.send_id)
        load = http_headers.parse_reported_load(head)
        if load is not None:
            self._selector.record_reported_load(
                attempt.state, load.running, load.waiting, monotonic()
            )
        if head.status >= 300:
            await connection.read_body()
            return self._outcome_of_error(head, attempt.state)
        if not http_headers.is_signed(head):
            return RunOutcome.INTERRUPTED
        return await self._read_events(connection, attempt.progress)

    def _send_request(self, connection: HttpConnection, attempt: ItemAttempt) -> None:
        item = attempt.item
        headers = [("host", attempt.host), (http_headers.REQUEST_ID_HEADER, item.item_id)]
        headers += [(header.name, header.value) for header in item.headers]
        if attempt.tenant:
            headers = http_headers.without_api_key(headers)
        attempt.progress.attempts += 1
        connection.send(
            ITEM_METHOD,
            item.path,
            http_headers.headers_for_server(
                headers,
                attempt.state.instance.instance_id,
                attempt.give_up_at - monotonic(),
                attempt.progress.partial_text.last_event,
                attempt.tenant,
            ),
            item.body,
            http_headers.REQUEST_ID_HEADER,
            item.item_id,
        )

    def _outcome_of_error(self, head: ResponseHead, state: InstanceState) -> RunOutcome:
        if http_headers.was_not_run(head):
            if head.status == STATUS_UNAVAILABLE:
                self._selector.record_full(state, monotonic())
            return RunOutcome.REFUSED
        if head.status == STATUS_UNPROCESSABLE:
            return RunOutcome.UNPROCESSABLE
        return RunOutcome.FAILED if head.status == STATUS_SERVER_ERROR else RunOutcome.INTERRUPTED

    async def _read_events(self, connection: HttpConnection, progress: ItemProgress) -> RunOutcome:
        splitter = EventSplitter()
        while True:
            async with asyncio.timeout(READ_TIMEOUT_S):
                part = await connection.read_part()
            if part is None:
                break
            for event in splitter.feed(part):
                if event.number is None:
                    continue
                last_event = progress.partial_text.last_event
                if last_event is not None and event.number <= last_event:
                    continue
                if last_event is not None and event.number > last_event + 1:
                    return RunOutcome.INTERRUPTED
                progress.partial_text.add_event(event.number, event.data)
        return RunOutcome.INTERRUPTED if splitter.remainder else RunOutcome.SUCCEEDED
