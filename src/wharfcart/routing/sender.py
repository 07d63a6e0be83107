"""One send of a request to a back end: connect, exchange, forward the answer, record the result.

The sender reports whether the request may have run and why it got no answer; the decision on
retries is made by :mod:`wharfcart.routing.forwarder`.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import time
from typing import TypeVar

from wharfcart.admission.crashing_parts import MIN_SOUND_S
from wharfcart.admission.hedging import HedgeBudget
from wharfcart.admission.poison_requests import POISON_CAUSE
from wharfcart.backends.connection_pool import ConnectionLimitError, ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.topology import RegionName
from wharfcart.configuration.instances import BackendInstance, BackendSoftware
from wharfcart.configuration.serving import RouteKind
from wharfcart.http.answer_end import (
    AnswerEnd,
    BodyForm,
    broken_off_error,
    end_by_framing,
    form_of_body,
    form_of_stream,
)
from wharfcart.http.connection import (
    BreakCause,
    ConnectFailedError,
    ConnectionBrokenError,
    Framing,
    HttpConnection,
    ResponseHead,
)
from wharfcart.platform import http_headers
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.caller_request import AnswerSink, CallerRequest
from wharfcart.routing.crash_detection import CrashDetector, InterruptedRun
from wharfcart.routing.event_stream import EventBoundary, EventSplitter
from wharfcart.routing.placement import Placement, PlacementDecision, SendResult
from wharfcart.routing.region_reachability import RegionReachability
from wharfcart.routing.request_log import RequestLog
from wharfcart.routing.request_progress import RequestProgress

# A repeatable request is hedged if no answer has begun after this share of its objective.
HEDGE_DELAY_SHARE = 0.55
MIN_HEDGE_DELAY_S = 0.06
# A resumable stream without data for this time is resumed at another back end.
STREAM_STALL_TIMEOUT_S = 1.6
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
STATUS_SERVER_ERROR = 500

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class SendFailure:
    """A send without a final answer.

    Attributes:
        possibly_ran: whether the request may have run.
        cause: why there is no answer.
    """

    possibly_ran: bool
    cause: str


class Sender:
    """Sends requests to back ends and forwards their answers to callers.

    Args:
        selector: records sends and their outcomes by instance.
        placement: receives the result of each send.
        pool: connections to back ends.
        connection_limit: returns the connections allowed per back end of a service.
        request_log: log lines and metrics of requests.
        crash_detector: inspects interrupted runs.
        reachability: records which regions are reachable.
    """

    def __init__(
        self,
        selector: BackendSelector,
        placement: Placement,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        request_log: RequestLog,
        crash_detector: CrashDetector,
        reachability: RegionReachability,
    ) -> None:
        self._selector = selector
        self._placement = placement
        self._pool = pool
        self._connection_limit = connection_limit
        self._request_log = request_log
        self._crash_detector = crash_detector
        self._reachability = reachability
        self._hedge_budget = HedgeBudget()

    def record_request(self) -> None:
        """Count an incoming request towards the hedge budget."""
        self._hedge_budget.deposit()

    def is_quarantined(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Whether the request is quarantined as a poison request.

        Checked before each send, since a poison request also interrupts all other requests at the
        back end that it crashes.
        """
        now = time()
        poison_requests = self._crash_detector.poison_requests
        remaining_s = poison_requests.quarantine_left_s(
            lambda: request.fingerprint, now, lambda: request.part_keys
        )
        if not remaining_s:
            return False
        progress.suspicion = poison_requests.parts.suspicion_of(request.part_keys, now)
        progress.cause = POISON_CAUSE
        progress.retry_after_s = math.ceil(remaining_s)
        return True

    async def send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        decision: PlacementDecision,
    ) -> SendFailure | None:
        """Send once; return None if the caller has received its final answer."""
        state = decision.state
        progress.last_backend = state.instance.instance_id
        progress.answer_ok = True
        progress.send_result = SendResult.UNKNOWN
        # Recorded before connecting, so that a granted slot counts as in use.
        send_id = self._selector.record_sent(state, monotonic(), request.unread_tokens)
        try:
            return await self._connect_and_send(
                request, sink, progress, decision, send_id, monotonic()
            )
        finally:
            self._selector.record_finished(state, send_id)
            self._placement.send_finished(decision, progress.send_result)

    async def _connect_and_send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        decision: PlacementDecision,
        send_id: int,
        placed_at: float,
    ) -> SendFailure | None:
        state = decision.state
        instance = state.instance
        try:
            connection = await self._pool.acquire(instance, self._connections_for(decision))
        except ConnectionLimitError:
            progress.refusals += 1
            return SendFailure(False, "connection_limit")
        except ConnectFailedError:
            progress.connect_failures += 1
            progress.send_result = SendResult.BACKEND_FAILED
            self._reachability.record_failure(
                self._region_of(state), instance.instance_id, monotonic()
            )
            self._avoid(state, "connect")
            return SendFailure(False, "connect")
        exclusion = self._selector.exclusion_before_send(
            state, placed_at, monotonic(), request.residence, progress.version
        )
        if exclusion is not None:
            # Not counted as an attempt: nothing was sent, and the back end did not fail.
            self._pool.release(instance, connection)
            return SendFailure(False, exclusion.value)
        if self.is_quarantined(request, progress):
            # Quarantined while this request waited for its slot and its connection.
            self._pool.release(instance, connection)
            return SendFailure(False, POISON_CAUSE)
        sent_at = monotonic()
        if sent_at >= request.deadline:
            # The machine was suspended meanwhile: the caller no longer waits for the answer.
            self._pool.release(instance, connection)
            raise TimeoutError
        try:
            failure = await self._exchange(request, sink, progress, decision, connection, send_id)
        except ConnectionBrokenError as error:
            self._pool.discard(instance, connection)
            if not error.sent:
                return SendFailure(False, "closed_before_send")
            progress.break_cause = error.cause.value
            self._record_outcome(state, progress, False)
            if send_id in state.unanswered_since:
                # No byte arrived: possibly an idle connection to a region that is unreachable now.
                self._reachability.record_failure(
                    self._region_of(state), instance.instance_id, monotonic()
                )
            if connection.response_count == 0:
                self._avoid(state, "broken")
            await self._inspect_interruption(
                request, progress, state, send_id, error.cause, monotonic() - sent_at
            )
            return SendFailure(True, "broken")
        except BaseException:
            # The caller disconnected or the deadline passed: closing stops the back end's work.
            self._pool.discard(instance, connection)
            raise
        self._pool.release(instance, connection)
        if failure is None or failure.possibly_ran:
            if progress.end is AnswerEnd.WHOLE:
                if failure is None and progress.answer_ok:
                    self._crash_detector.record_sound(request.part_keys, sent_at)
                self._crash_detector.poison_requests.record_answer(lambda: request.fingerprint)
            self._record_outcome(state, progress, failure is None and progress.answer_ok)
        return failure

    def _connections_for(self, decision: PlacementDecision) -> int:
        """Return how many connections this node may have to the back end of a request.

        Its share of the back end's connections supposes that all nodes get the same load. A granted
        slot is this node's alone, so that its connections never add up to more than the slots.
        """
        instance = decision.state.instance
        share = self._connection_limit(instance.service)
        return max(share, instance.slots) if decision.granted else share

    async def _inspect_interruption(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        state: InstanceState,
        send_id: int,
        cause: BreakCause,
        ran_s: float,
    ) -> None:
        """Inspect whether the back end crashed; a repeatable request waits for the result."""
        began_at = progress.body_began_at
        run = InterruptedRun(
            request.facts.request_id,
            request.fingerprint,
            state.instance,
            cause,
            send_id not in state.unanswered_since,
            ran_s,
            request.part_keys,
            None if began_at is None else monotonic() - began_at,
        )
        if request.route.repeatable:
            await self._crash_detector.inspect(run)
        else:
            self._crash_detector.start_inspection(run)

    def _record_outcome(
        self, state: InstanceState, progress: RequestProgress, succeeded: bool
    ) -> None:
        progress.send_result = SendResult.BACKEND_OK if succeeded else SendResult.BACKEND_FAILED
        self._selector.record_outcome(state, succeeded, monotonic())

    async def _exchange(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        decision: PlacementDecision,
        connection: HttpConnection,
        send_id: int,
    ) -> SendFailure | None:
        state = decision.state
        progress.body_began_at = None
        software = state.instance.software  # an entry may change while the answer is read
        connection.send(
            request.method,
            request.target,
            http_headers.headers_for_server(
                request.headers,
                state.instance.instance_id,
                request.deadline - monotonic(),
                progress.last_received_event(request.facts),
                request.tenant_name,
            ),
            request.body,
            http_headers.REQUEST_ID_HEADER,
            request.facts.request_id,
        )
        progress.sends += 1
        sent_at = monotonic()
        head = await self._with_timeout(request, progress, connection.read_head())
        progress.framing = head.framing
        progress.end = end_by_framing(head.framing)
        self._selector.record_first_byte(state, send_id)
        self._reachability.record_success(self._region_of(state))
        self._placement.first_byte_received(request.route.name, monotonic() - sent_at)
        load = http_headers.parse_reported_load(head)
        if load is not None:
            self._selector.record_reported_load(state, load.running, load.waiting, monotonic())
        if http_headers.was_not_run(head):
            await connection.discard_body()
            progress.sends -= 1
            progress.refusals += 1
            if head.status == STATUS_UNAVAILABLE:
                self._selector.record_full(state, monotonic())
            return SendFailure(False, f"refused_{head.status}")
        if not http_headers.is_signed(head) and head.status < 300:
            raise ConnectionBrokenError("answer is not signed")
        if request.route.kind is RouteKind.STREAM and head.status < 300:
            await self._forward_stream(
                request, sink, progress, decision, software, connection, head
            )
            return None
        return await self._forward_whole(request, sink, progress, decision, connection, head)

    async def _forward_whole(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        decision: PlacementDecision,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> SendFailure | None:
        body = await connection.read_body()
        progress.answer_bytes = len(body)
        if head.framing is Framing.UNTIL_CLOSE and head.status < 300:
            form = form_of_body(head, body)
            await self._require_whole(request, progress, decision.state.instance, head, form)
        failed = head.status >= STATUS_SERVER_ERROR
        progress.answer_ok = not failed or head.status == STATUS_TIMEOUT
        if failed and progress.answer_started:
            raise ConnectionBrokenError("resumption failed")
        if failed and request.route.repeatable and progress.sends < request.route.max_backends:
            return SendFailure(True, f"status_{head.status}")
        self._request_log.first_byte(request, progress)
        if progress.answer_started:
            raise ConnectionBrokenError("resumption refused")
        await sink.send_whole(head.status, http_headers.headers_for_client(head), body)
        self._request_log.finished(request, progress, "answered", head.status)
        return None

    async def _forward_stream(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        decision: PlacementDecision,
        software: BackendSoftware,
        connection: HttpConnection,
        head: ResponseHead,
    ) -> None:
        if progress.answer_started:
            self._request_log.resumed(request, progress)
        splitter = EventSplitter() if request.route.resumable else None
        boundary = EventBoundary()
        is_sound = False
        progress.answer_bytes = 0
        while True:
            part = await self._with_timeout(request, progress, connection.read_part())
            if part is None:
                break
            if progress.body_began_at is None:
                progress.body_began_at = monotonic()
            elif not is_sound and monotonic() - progress.body_began_at > MIN_SOUND_S:
                is_sound = True
                self._crash_detector.record_sound(request.part_keys, progress.body_began_at)
            boundary.feed(part)
            progress.inside_event = boundary.inside_event
            progress.answer_bytes += len(part)
            fault = "an event has too many bytes" if boundary.is_too_long else ""
            if splitter is not None and not fault:
                part, fault = _take_new_events(splitter, part, request, progress)
            if part:
                if progress.version is None and request.is_resumable:
                    self._placement.stream_begun(
                        request.facts.request_id, software, decision, progress.placements > 1
                    )
                progress.version = software.version
                await self._ensure_started(request, sink, progress, head)
                await sink.send_part(part)
            if fault:
                raise ConnectionBrokenError(fault)
        has_remainder = splitter is not None and bool(splitter.remainder)
        has_events = progress.answer_started or progress.answer_bytes > 0
        form = form_of_stream(head.framing, boundary.inside_event or has_remainder, has_events)
        await self._require_whole(request, progress, decision.state.instance, head, form)
        await self._ensure_started(request, sink, progress, head)
        self._request_log.finished(request, progress, "answered", head.status)

    async def _require_whole(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        instance: BackendInstance,
        head: ResponseHead,
        form: BodyForm,
    ) -> None:
        """Decide whether an answer that ended is whole.

        Raises:
            ConnectionBrokenError: The answer was broken off.
        """
        decision = await self._crash_detector.decide_end(
            request.facts.request_id, instance, head.framing, form
        )
        progress.end = decision.end
        if decision.end is AnswerEnd.BROKEN_OFF:
            raise broken_off_error(head.framing, decision)

    async def _with_timeout(
        self, request: CallerRequest, progress: RequestProgress, answer: Awaitable[Answer]
    ) -> Answer:
        """Wait for a back end, with a timeout if the request can be sent to another one.

        Raises:
            ConnectionBrokenError: The back end was too slow.
        """
        timeout_s = self._timeout_s(request, progress)
        if timeout_s is None:
            return await answer
        try:
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError as error:
            self._hedge_budget.withdraw()
            raise ConnectionBrokenError("too slow", cause=BreakCause.TIMED_OUT) from error

    def _timeout_s(self, request: CallerRequest, progress: RequestProgress) -> float | None:
        route = request.route
        if not route.repeatable or progress.sends >= route.max_backends:
            return None
        accepting = self._selector.accepting_instances(
            request.service, monotonic(), request.residence, progress.version
        )
        untried = [
            state
            for state in accepting
            if state.instance.instance_id not in progress.tried_instances
        ]
        # One of them is the back end that is waited for.
        if len(untried) < 2:
            return None
        if route.kind is RouteKind.STREAM:
            return STREAM_STALL_TIMEOUT_S
        if not self._hedge_budget.can_hedge:
            return None
        return max(MIN_HEDGE_DELAY_S, route.objective_s * HEDGE_DELAY_SHARE)

    async def _ensure_started(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        head: ResponseHead,
    ) -> None:
        if progress.answer_started:
            return
        self._request_log.first_byte(request, progress)
        progress.answer_started = True
        await sink.start(head.status, http_headers.headers_for_client(head))

    def _region_of(self, state: InstanceState) -> RegionName | None:
        return self._selector.eligibility.topology.region(state.instance.zone)

    def _avoid(self, state: InstanceState, cause: str) -> None:
        avoid_s = self._selector.record_failure(state, monotonic())
        self._request_log.avoided(state, cause, avoid_s)


def _take_new_events(
    splitter: EventSplitter, data: bytes, request: CallerRequest, progress: RequestProgress
) -> tuple[bytes, str]:
    """Return the complete events that the caller lacks, and what is wrong after them, or ''."""
    forwarded: list[bytes] = []
    for event in splitter.feed(data):
        if event.number is not None:
            last = progress.last_received_event(request.facts)
            if last is not None and event.number <= last:
                continue
            if last is not None and event.number > last + 1:
                return b"".join(forwarded), "an event is missing"
            progress.last_event = event.number
        forwarded.append(event.raw)
    return b"".join(forwarded), splitter.malformed
