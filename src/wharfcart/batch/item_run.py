"""Attempts of one batch item at back ends, with resumption after an interruption."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from wharfcart.admission.crashing_parts import MIN_SOUND_S
from wharfcart.admission.prompt_parts import PromptPartKey, shared_part_keys
from wharfcart.admission.request_fingerprint import RequestFingerprint, fingerprint_of
from wharfcart.backends.connection_pool import ConnectionLimitError, ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.http.answer_end import (
    AnswerEnd,
    broken_off_error,
    end_by_framing,
    form_of_stream,
)
from wharfcart.http.connection import (
    BreakCause,
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
    ResponseHead,
)
from wharfcart.platform import batch_bodies, http_headers
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.crash_detection import CrashDetector, InterruptedItem
from wharfcart.routing.event_stream import EventSplitter
from wharfcart.storage.partial_texts import ItemPartialText

STATUS_UNPROCESSABLE = 422
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503
READ_TIMEOUT_S = 3.0
# Of one run; a page of results has a quarter of this.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
ITEM_METHOD = "POST"


class RunOutcome(StrEnum):
    """Outcome of one attempt to run an item.

    Attributes:
        SUCCEEDED: the text is whole.
        FAILED: the back end reported a failure.
        UNPROCESSABLE: the back end can never run the item.
        UNSENDABLE: no request can carry the item.
        REFUSED: the item did not run.
        INTERRUPTED: the answer was cut off, malformed or too slow.
        ERROR: the attempt ended by an unexpected error of this process.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    UNPROCESSABLE = "impossible"
    UNSENDABLE = "unsendable"
    REFUSED = "refused"
    INTERRUPTED = "broken"
    ERROR = "error"


# Outcomes of runs that the back end finished without a crash.
_ANSWERED_RUNS = frozenset({RunOutcome.SUCCEEDED, RunOutcome.FAILED, RunOutcome.UNPROCESSABLE})


@dataclass(frozen=True, slots=True)
class _FinishedRun:
    """Outcome of a run whose answer ended, and whether the answer is known to be whole."""

    outcome: RunOutcome
    end: AnswerEnd = AnswerEnd.UNKNOWN


@dataclass
class ItemProgress:
    """Progress of an item that has no result yet.

    Attributes:
        partial_text: events received so far and instances that failed the item, including those
            from earlier leaders.
        not_before: monotonic time before which no attempt starts.
        last_instance_id: back end of the last attempt, or ''.
        attempts: number of attempts under this leader.
        run_time_s: total duration of the attempts under this leader.
        last_run_at: monotonic time at which the last attempt ended, or 0.
        restart_at: monotonic time from which the item begins anew at another software version
            instead of waiting for its own; None while it does not wait.
        body_began_at: monotonic time of the first bytes of the last answer's body; None before.
        interruption: why the last interrupted attempt got no whole answer, or ''.
        interruptions: number of interrupted attempts under this leader.
        error_delay_s: delay after the last attempt that ended by an unexpected error, or 0.
    """

    partial_text: ItemPartialText
    not_before: float = 0.0
    last_instance_id: str = ""
    attempts: int = 0
    run_time_s: float = 0.0
    last_run_at: float = 0.0
    restart_at: float | None = None
    body_began_at: float | None = None
    interruption: str = ""
    interruptions: int = 0
    error_delay_s: float = 0.0
    _fingerprint: RequestFingerprint | None = None
    _part_ids: tuple[str, ...] | None = None

    def fingerprint_of(self, item: RequestItem, host: str, tenant: str) -> RequestFingerprint:
        """Return the item's fingerprint, equal to that of an identical request of its tenant.

        Args:
            item: the item of this progress.
            host: host at which the job was submitted.
            tenant: tenant of the job, or ''.
        """
        if self._fingerprint is None:
            self._fingerprint = fingerprint_of(host, ITEM_METHOD, item.path, tenant, item.body)
        return self._fingerprint

    def part_keys_of(self, item: RequestItem, service: str) -> tuple[PromptPartKey, ...]:
        """Return the parts of the item's prompt that other requests may share."""
        if self._part_ids is None:
            headers = ((header.name, header.value) for header in item.headers)
            prompt = http_headers.parse_request_metadata(headers).prompt
            self._part_ids = tuple(part.part_id for part in prompt)
        return shared_part_keys(service, self._part_ids)

    def written_s(self, now: float) -> float | None:
        """Return the seconds since the last answer's body began, or None if it has not."""
        return None if self.body_began_at is None else now - self.body_began_at

    @property
    def failure_count(self) -> int:
        """Number of answers that reported a failure."""
        return len(self.partial_text.failed_at)

    @property
    def failed_instance_ids(self) -> set[str]:
        """Back-end instances that reported a failure."""
        return set(self.partial_text.failed_at)


@dataclass(frozen=True)
class ItemAttempt:
    """One attempt to run an item at a back end.

    Attributes:
        item: the item to run.
        host: host at which the job was submitted.
        tenant: tenant of the job; '' if callers need no API key.
        state: state of the back end.
        send_id: id under which the selector already counts the item as in flight.
        progress: progress of the item, updated by the attempt.
        give_up_at: monotonic time after which the result is no longer needed.
    """

    item: RequestItem
    host: str
    tenant: str
    state: InstanceState
    send_id: int
    progress: ItemProgress
    give_up_at: float

    def fingerprint(self) -> RequestFingerprint:
        """Return the item's fingerprint, which is the same for all attempts."""
        return self.progress.fingerprint_of(self.item, self.host, self.tenant)

    def part_keys(self) -> tuple[PromptPartKey, ...]:
        """Return the parts of the item's prompt that other requests may share."""
        return self.progress.part_keys_of(self.item, self.state.instance.service)


class ItemRunner:
    """Runs items at back ends.

    Args:
        selector: tracks the state of the back ends.
        pool: connections to the back ends.
        connection_limit: returns the connection limit of a service.
        crash_detector: decides whether an interrupted run means a crashed back end.
    """

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

    async def run(self, attempt: ItemAttempt) -> RunOutcome:
        """Run an item once and add its events to its progress.

        Cancellation closes the connection, which makes the back end stop its work.
        """
        attempt.progress.last_instance_id = attempt.state.instance.instance_id
        try:
            if batch_bodies.unsendable_field(attempt.item):
                return RunOutcome.UNSENDABLE
            outcome = await self._connect_and_send(attempt)
            attempt.progress.interruptions += outcome is RunOutcome.INTERRUPTED
            return outcome
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
        started_at = monotonic()
        attempt.progress.body_began_at = None
        attempt.progress.interruption = ""
        try:
            if self._is_excluded(attempt, placed_at):
                self._pool.release(instance, connection)
                return RunOutcome.REFUSED
            run = await self._send_and_receive(connection, attempt)
        except TimeoutError:
            attempt.progress.interruption = str(BreakCause.TIMED_OUT)
            self._pool.discard(instance, connection)
            return RunOutcome.INTERRUPTED
        except ConnectionBrokenError as error:
            attempt.progress.interruption = f"{error.cause}: {error}"
            self._pool.discard(instance, connection)
            await self._crash_detector.inspect_item(
                InterruptedItem(
                    instance,
                    error.cause,
                    attempt.part_keys(),
                    attempt.progress.written_s(monotonic()),
                )
            )
            return RunOutcome.INTERRUPTED
        except BaseException:
            self._pool.discard(instance, connection)
            raise
        self._pool.release(instance, connection)
        if run.outcome in _ANSWERED_RUNS and run.end is AnswerEnd.WHOLE:
            if run.outcome is RunOutcome.SUCCEEDED:
                self._crash_detector.record_sound(attempt.part_keys(), started_at)
            self._crash_detector.poison_requests.record_answer(attempt.fingerprint)
        return run.outcome

    def _is_excluded(self, attempt: ItemAttempt, placed_at: float) -> bool:
        """Whether the back end was excluded while the connection was opened."""
        now = monotonic()
        return self._selector.exclusion_before_send(attempt.state, placed_at, now) is not None

    async def _send_and_receive(
        self, connection: HttpConnection, attempt: ItemAttempt
    ) -> _FinishedRun:
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
            await connection.discard_body()
            outcome = self._outcome_of_error(head, attempt.state)
            return _FinishedRun(outcome, end_by_framing(head.framing))
        if not http_headers.is_signed(head):
            return _FinishedRun(RunOutcome.INTERRUPTED)
        return await self._read_events(connection, attempt, head)

    def _send_request(self, connection: HttpConnection, attempt: ItemAttempt) -> None:
        item = attempt.item
        item_headers = ((header.name, header.value) for header in item.headers)
        headers = http_headers.headers_for_item(item.item_id, attempt.host, item_headers)
        if attempt.tenant:
            headers = http_headers.without_api_key(headers)
        attempt.progress.attempts += 1
        attempt.progress.partial_text.continue_at(attempt.state.instance.version)
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

    async def _read_events(
        self, connection: HttpConnection, attempt: ItemAttempt, head: ResponseHead
    ) -> _FinishedRun:
        progress = attempt.progress
        splitter = EventSplitter()
        is_sound = False
        answer_bytes = 0
        while True:
            async with asyncio.timeout(READ_TIMEOUT_S):
                part = await connection.read_part()
            if part is None:
                break
            answer_bytes += len(part)
            if answer_bytes > MAX_ANSWER_BYTES:
                raise ConnectionBrokenError(f"an answer has over {MAX_ANSWER_BYTES} bytes")
            if progress.body_began_at is None:
                progress.body_began_at = monotonic()
            elif not is_sound and monotonic() - progress.body_began_at > MIN_SOUND_S:
                is_sound = True
                self._crash_detector.record_sound(attempt.part_keys(), progress.body_began_at)
            for event in splitter.feed(part):
                if event.number is None:
                    continue
                last_event = progress.partial_text.last_event
                if last_event is not None and event.number <= last_event:
                    continue
                if last_event is not None and event.number > last_event + 1:
                    raise ConnectionBrokenError("an event is missing")
                progress.partial_text.add_event(event.number, event.data)
            if splitter.malformed:
                raise ConnectionBrokenError(splitter.malformed)
        has_events = bool(progress.partial_text.texts)
        decision = await self._crash_detector.decide_end(
            attempt.item.item_id,
            attempt.state.instance,
            head.framing,
            form_of_stream(head.framing, bool(splitter.remainder), has_events),
        )
        if decision.end is AnswerEnd.BROKEN_OFF:
            raise broken_off_error(head.framing, decision)
        return _FinishedRun(RunOutcome.SUCCEEDED, decision.end)
