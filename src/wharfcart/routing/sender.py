"""One send of a request to a back end: its connection, the exchange, and what it tells.

Nothing is decided here about a further send but what one must know for it: whether the request may
have run, and why it came to no answer (:mod:`wharfcart.routing.forwarder`).
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import time
from typing import TypeVar

from wharfcart.admission.hedging import HedgeBudget
from wharfcart.admission.poison_requests import POISON_CAUSE
from wharfcart.backends.connection_pool import ConnectionLimitError, ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.topology import RegionName
from wharfcart.configuration.serving import RouteKind
from wharfcart.http.connection import (
    AnswerHead,
    BreakCause,
    ConnectFailedError,
    ConnectionBrokenError,
    HttpConnection,
)
from wharfcart.platform import exchanges
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.caller_request import AnswerSink, CallerRequest
from wharfcart.routing.crash_detection import CrashDetector, InterruptedRun
from wharfcart.routing.event_stream import EventSplitter
from wharfcart.routing.placement import Placement, PlacementDecision, SendResult
from wharfcart.routing.region_reachability import RegionReachability
from wharfcart.routing.request_log import RequestLog
from wharfcart.routing.request_progress import RequestProgress

# A repeatable request is sent elsewhere when no answer has begun after this part of its objective.
HEDGE_DELAY_SHARE = 0.55
MIN_HEDGE_DELAY_S = 0.06
# A resumable stream is taken up elsewhere when nothing has come for so long.
STREAM_STALL_TIMEOUT_S = 1.6
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
STATUS_SERVER_ERROR = 500

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class SendFailure:
    """What a send came to that brought no final answer.

    Attributes:
        ran: the request may have run.
        cause: why there is no answer.
    """

    possibly_ran: bool
    cause: str


class Sender:
    """Sends requests to back ends, and their answers to callers.

    Args:
        choice: what this gateway knows of the back ends.
        placement: is told how a send ended.
        pool: connections to back ends.
        connection_limit: of one back end, by service.
        told: takes what is to be logged and counted.
        broken_runs: looks into sends that break off.
        reach: is told which regions can be reached.
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
        """Note that a request came: a share of them may be hedged."""
        self._hedge_budget.deposit()

    def is_quarantined(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Whether back ends have ended under requests of the same content, here or elsewhere.

        Asked before each send: what ends its back ends takes all others there with it.
        """
        held_s = self._crash_detector.poison_requests.quarantine_left_s(
            lambda: request.fingerprint, time()
        )
        if not held_s:
            return False
        progress.cause = POISON_CAUSE
        progress.retry_after_s = math.ceil(held_s)
        return True

    async def send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        decision: PlacementDecision,
    ) -> SendFailure | None:
        """Send once; None when the request has its final answer."""
        state = decision.state
        progress.last_backend = state.instance.instance_id
        progress.answer_ok = True
        progress.send_result = SendResult.UNKNOWN
        # Counted before the connection is made, so that a slot that was granted is seen as taken.
        use = self._selector.record_sent(state, monotonic(), request.unread_tokens)
        try:
            return await self._connect_and_send(request, sink, progress, state, use, monotonic())
        finally:
            self._selector.record_finished(state, use)
            self._placement.send_finished(decision, progress.send_result)

    async def _connect_and_send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        state: InstanceState,
        send_id: int,
        placed_at: float,
    ) -> SendFailure | None:
        instance = state.instance
        try:
            connection = await self._pool.acquire(
                instance, self._connection_limit(instance.service)
            )
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
        held_back = self._selector.exclusion_before_send(
            state, placed_at, monotonic(), request.residence
        )
        if held_back is not None:
            # Costs no try: nothing was sent, and the back end had no part in it.
            self._pool.release(instance, connection)
            return SendFailure(False, held_back.value)
        if self.is_quarantined(request, progress):
            # It was found out while this one waited for its slot and its connection.
            self._pool.release(instance, connection)
            return SendFailure(False, POISON_CAUSE)
        began_at = monotonic()
        if began_at >= request.deadline:
            # The machine was suspended while it waited: nobody waits for the answer any more.
            self._pool.release(instance, connection)
            raise TimeoutError
        try:
            verdict = await self._exchange(request, sink, progress, state, connection, send_id)
        except ConnectionBrokenError as error:
            self._pool.discard(instance, connection)
            if not error.sent:
                return SendFailure(False, "closed_before_send")
            progress.break_cause = error.cause.value
            self._record_outcome(state, progress, False)
            if send_id in state.unanswered_since:
                # Nothing came of it: a kept connection into a region that was cut off since.
                self._reachability.record_failure(
                    self._region_of(state), instance.instance_id, monotonic()
                )
            if connection.answered == 0:
                self._avoid(state, "broken")
            await self._inspect_interruption(
                request, state, send_id, error.cause, monotonic() - began_at
            )
            return SendFailure(True, "broken")
        except BaseException:
            # The caller left or the time is over: closing ends the back end's work.
            self._pool.discard(instance, connection)
            raise
        self._pool.release(instance, connection)
        if verdict is None or verdict.possibly_ran:
            self._crash_detector.poison_requests.record_answer(lambda: request.fingerprint)
            self._record_outcome(state, progress, verdict is None and progress.answer_ok)
        return verdict

    async def _inspect_interruption(
        self,
        request: CallerRequest,
        state: InstanceState,
        send_id: int,
        cause: BreakCause,
        ran_s: float,
    ) -> None:
        """Have it found out whether the back end ended; who may be repeated waits for that."""
        run = InterruptedRun(
            request.facts.request_id,
            request.fingerprint,
            state.instance,
            cause,
            send_id not in state.unanswered_since,
            ran_s,
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
        state: InstanceState,
        connection: HttpConnection,
        send_id: int,
    ) -> SendFailure | None:
        resume_after = progress.last_event
        if resume_after is None:
            resume_after = request.facts.resume_after
        connection.send(
            request.method,
            request.target,
            exchanges.headers_for_server(
                request.headers,
                state.instance.instance_id,
                request.deadline - monotonic(),
                resume_after,
                request.tenant_name,
            ),
            request.body,
            exchanges.REQUEST_ID_HEADER,
            request.facts.request_id,
        )
        progress.sends += 1
        sent_at = monotonic()
        head = await self._with_timeout(request, progress, connection.read_head())
        self._selector.record_first_byte(state, send_id)
        self._reachability.record_success(self._region_of(state))
        self._placement.first_byte_received(request.route.name, monotonic() - sent_at)
        load = exchanges.reported_load(head)
        if load is not None:
            self._selector.record_reported_load(state, load.running, load.waiting, monotonic())
        if exchanges.was_not_run(head):
            await connection.read_body()
            progress.sends -= 1
            progress.refusals += 1
            if head.status == STATUS_UNAVAILABLE:
                self._selector.record_full(state, monotonic())
            return SendFailure(False, f"refused_{head.status}")
        if not exchanges.is_signed(head) and head.status < 300:
            raise ConnectionBrokenError("answer is not signed")
        if request.route.kind is RouteKind.STREAM and head.status < 300:
            await self._forward_stream(request, sink, progress, connection, head)
            return None
        return await self._forward_whole(request, sink, progress, connection, head)

    async def _forward_whole(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        connection: HttpConnection,
        head: AnswerHead,
    ) -> SendFailure | None:
        body = await connection.read_body()
        failed = head.status >= STATUS_SERVER_ERROR
        progress.answer_ok = not failed or head.status == STATUS_TIMEOUT
        if failed and progress.answer_started:
            raise ConnectionBrokenError("resumption failed")
        if failed and request.route.repeatable and progress.sends < request.route.max_backends:
            return SendFailure(True, f"status_{head.status}")
        self._request_log.first_byte(request, progress)
        if progress.answer_started:
            raise ConnectionBrokenError("resumption refused")
        await sink.send_whole(head.status, exchanges.headers_for_client(head), body)
        self._request_log.finished(request, progress, "answered", head.status)
        return None

    async def _forward_stream(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        connection: HttpConnection,
        head: AnswerHead,
    ) -> None:
        if progress.answer_started:
            self._request_log.resumed(request, progress)
        splitter = EventSplitter() if request.route.resumable else None
        while True:
            part = await self._with_timeout(request, progress, connection.read_part())
            if part is None:
                break
            if splitter is not None:
                part = _complete_new_events(splitter, part, progress)
            if not part:
                continue
            await self._ensure_started(request, sink, progress, head)
            await sink.send_part(part)
        if splitter is not None and splitter.remainder:
            raise ConnectionBrokenError("ended inside an event")
        await self._ensure_started(request, sink, progress, head)
        self._request_log.finished(request, progress, "answered", head.status)

    async def _with_timeout(
        self, request: CallerRequest, progress: RequestProgress, answer: Awaitable[Answer]
    ) -> Answer:
        """Wait for a back end, but not for ever where the request may go on elsewhere.

        Raises
        ------
        ConnectionBrokenError: it was too slow.
        """
        patience_s = self._timeout_s(request, progress)
        if patience_s is None:
            return await answer
        try:
            async with asyncio.timeout(patience_s):
                return await answer
        except TimeoutError as error:
            self._hedge_budget.withdraw()
            raise ConnectionBrokenError("too slow", cause=BreakCause.SLOW) from error

    def _timeout_s(self, request: CallerRequest, progress: RequestProgress) -> float | None:
        route = request.route
        if not route.repeatable or progress.sends >= route.max_backends:
            return None
        accepting = self._selector.accepting_instances(
            request.service, monotonic(), request.residence
        )
        others = len(accepting) - len(progress.tried_instances)
        if others < 2:
            return None
        if route.kind is RouteKind.STREAM:
            return STREAM_STALL_TIMEOUT_S
        if not self._hedge_budget.can_hedge:
            return None
        return max(MIN_HEDGE_DELAY_S, route.objective_s * HEDGE_DELAY_SHARE)

    async def _ensure_started(
        self, request: CallerRequest, sink: AnswerSink, progress: RequestProgress, head: AnswerHead
    ) -> None:
        if progress.answer_started:
            return
        self._request_log.first_byte(request, progress)
        progress.answer_started = True
        await sink.start(head.status, exchanges.headers_for_client(head))

    def _region_of(self, state: InstanceState) -> RegionName | None:
        return self._selector.eligibility.topology.region(state.instance.zone)

    def _avoid(self, state: InstanceState, cause: str) -> None:
        seconds = self._selector.record_failure(state, monotonic())
        self._request_log.avoided(state, cause, seconds)


def _complete_new_events(splitter: EventSplitter, data: bytes, progress: RequestProgress) -> bytes:
    passed = []
    for event in splitter.feed(data):
        if event.number is not None:
            if progress.last_event is not None and event.number <= progress.last_event:
                continue
            if progress.last_event is not None and event.number > progress.last_event + 1:
                raise ConnectionBrokenError("an event is missing")
            progress.last_event = event.number
        passed.append(event.raw)
    return b"".join(passed)
