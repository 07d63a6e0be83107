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
from wharfcart.admission.suspects import POISON_CAUSE
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
from wharfcart.routing.backend_choice import BackendSelector, InstanceState
from wharfcart.routing.broken_runs import CrashDetector, InterruptedRun
from wharfcart.routing.caller_request import AnswerSink, CallerRequest
from wharfcart.routing.event_stream import EventSplitter
from wharfcart.routing.placement import Placed, Placement, SendVerdict
from wharfcart.routing.region_reach import RegionReachability
from wharfcart.routing.request_log import RequestLog
from wharfcart.routing.request_progress import RequestProgress

# A repeatable request is sent elsewhere when no answer has begun after this part of its objective.
PATIENCE_OF_OBJECTIVE = 0.55
FEWEST_PATIENCE_S = 0.06
# A resumable stream is taken up elsewhere when nothing has come for so long.
STREAM_PATIENCE_S = 1.6
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
STATUS_SERVER_ERROR = 500

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """What a send came to that brought no final answer.

    Attributes:
        ran: the request may have run.
        cause: why there is no answer.
    """

    ran: bool
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
        choice: BackendSelector,
        placement: Placement,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        told: RequestLog,
        broken_runs: CrashDetector,
        reach: RegionReachability,
    ) -> None:
        self._choice = choice
        self._placement = placement
        self._pool = pool
        self._connection_limit = connection_limit
        self._told = told
        self._broken_runs = broken_runs
        self._reach = reach
        self._hedges = HedgeBudget()

    def request_came(self) -> None:
        """Note that a request came: a share of them may be hedged."""
        self._hedges.deposit()

    def is_held_back(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Whether back ends have ended under requests of the same content, here or elsewhere.

        Asked before each send: what ends its back ends takes all others there with it.
        """
        held_s = self._broken_runs.poison_requests.quarantine_left_s(
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
        placed: Placed,
    ) -> NoAnswer | None:
        """Send once; None when the request has its final answer."""
        state = placed.state
        progress.last_backend = state.instance.instance_id
        progress.well = True
        progress.told = SendVerdict.UNKNOWN
        # Counted before the connection is made, so that a slot that was granted is seen as taken.
        use = self._choice.record_sent(state, monotonic(), request.unread_tokens)
        try:
            return await self._connect_and_send(request, sink, progress, state, use, monotonic())
        finally:
            self._choice.record_finished(state, use)
            self._placement.ended(placed, progress.told)

    async def _connect_and_send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        state: InstanceState,
        use: int,
        placed_at: float,
    ) -> NoAnswer | None:
        instance = state.instance
        try:
            connection = await self._pool.acquire(
                instance, self._connection_limit(instance.service)
            )
        except ConnectionLimitError:
            progress.refusals += 1
            return NoAnswer(False, "connection_limit")
        except ConnectFailedError:
            progress.connect_failures += 1
            progress.told = SendVerdict.BAD
            self._reach.record_failure(self._region_of(state), instance.instance_id, monotonic())
            self._avoid(state, "connect")
            return NoAnswer(False, "connect")
        held_back = self._choice.exclusion_before_send(
            state, placed_at, monotonic(), request.residence
        )
        if held_back is not None:
            # Costs no try: nothing was sent, and the back end had no part in it.
            self._pool.release(instance, connection)
            return NoAnswer(False, held_back.value)
        if self.is_held_back(request, progress):
            # It was found out while this one waited for its slot and its connection.
            self._pool.release(instance, connection)
            return NoAnswer(False, POISON_CAUSE)
        began_at = monotonic()
        if began_at >= request.deadline:
            # The machine was suspended while it waited: nobody waits for the answer any more.
            self._pool.release(instance, connection)
            raise TimeoutError
        try:
            verdict = await self._exchange(request, sink, progress, state, connection, use)
        except ConnectionBrokenError as error:
            self._pool.discard(instance, connection)
            if not error.sent:
                return NoAnswer(False, "closed_before_send")
            progress.broke = error.cause.value
            self._turned_out(state, progress, False)
            if use in state.unanswered_since:
                # Nothing came of it: a kept connection into a region that was cut off since.
                self._reach.record_failure(
                    self._region_of(state), instance.instance_id, monotonic()
                )
            if connection.answered == 0:
                self._avoid(state, "broken")
            await self._look_into(request, state, use, error.cause, monotonic() - began_at)
            return NoAnswer(True, "broken")
        except BaseException:
            # The caller left or the time is over: closing ends the back end's work.
            self._pool.discard(instance, connection)
            raise
        self._pool.release(instance, connection)
        if verdict is None or verdict.ran:
            self._broken_runs.poison_requests.record_answer(lambda: request.fingerprint)
            self._turned_out(state, progress, verdict is None and progress.well)
        return verdict

    async def _look_into(
        self,
        request: CallerRequest,
        state: InstanceState,
        use: int,
        cause: BreakCause,
        ran_s: float,
    ) -> None:
        """Have it found out whether the back end ended; who may be repeated waits for that."""
        run = InterruptedRun(
            request.facts.request_id,
            request.fingerprint,
            state.instance,
            cause,
            use not in state.unanswered_since,
            ran_s,
        )
        if request.route.repeatable:
            await self._broken_runs.inspect(run)
        else:
            self._broken_runs.start_inspection(run)

    def _turned_out(self, state: InstanceState, progress: RequestProgress, good: bool) -> None:
        progress.told = SendVerdict.GOOD if good else SendVerdict.BAD
        self._choice.record_outcome(state, good, monotonic())

    async def _exchange(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        state: InstanceState,
        connection: HttpConnection,
        use: int,
    ) -> NoAnswer | None:
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
        head = await self._patiently(request, progress, connection.read_head())
        self._choice.record_first_byte(state, use)
        self._reach.record_success(self._region_of(state))
        self._placement.answer_begun(request.route.name, monotonic() - sent_at)
        load = exchanges.reported_load(head)
        if load is not None:
            self._choice.record_reported_load(state, load.running, load.waiting, monotonic())
        if exchanges.was_not_run(head):
            await connection.read_body()
            progress.sends -= 1
            progress.refusals += 1
            if head.status == STATUS_UNAVAILABLE:
                self._choice.record_full(state, monotonic())
            return NoAnswer(False, f"refused_{head.status}")
        if not exchanges.is_signed(head) and head.status < 300:
            raise ConnectionBrokenError("answer is not signed")
        if request.route.kind is RouteKind.STREAM and head.status < 300:
            await self._pass_stream(request, sink, progress, connection, head)
            return None
        return await self._pass_whole(request, sink, progress, connection, head)

    async def _pass_whole(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        connection: HttpConnection,
        head: AnswerHead,
    ) -> NoAnswer | None:
        body = await connection.read_body()
        failed = head.status >= STATUS_SERVER_ERROR
        progress.well = not failed or head.status == STATUS_TIMEOUT
        if failed and progress.started:
            raise ConnectionBrokenError("resumption failed")
        if failed and request.route.repeatable and progress.sends < request.route.most_backends:
            return NoAnswer(True, f"status_{head.status}")
        self._told.first_byte(request, progress)
        if progress.started:
            raise ConnectionBrokenError("resumption refused")
        await sink.whole(head.status, exchanges.headers_for_client(head), body)
        self._told.ended(request, progress, "answered", head.status)
        return None

    async def _pass_stream(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        connection: HttpConnection,
        head: AnswerHead,
    ) -> None:
        if progress.started:
            self._told.resumed(request, progress)
        splitter = EventSplitter() if request.route.resumable else None
        while True:
            part = await self._patiently(request, progress, connection.read_part())
            if part is None:
                break
            if splitter is not None:
                part = _whole_new_events(splitter, part, progress)
            if not part:
                continue
            await self._ensure_started(request, sink, progress, head)
            await sink.send(part)
        if splitter is not None and splitter.rest:
            raise ConnectionBrokenError("ended inside an event")
        await self._ensure_started(request, sink, progress, head)
        self._told.ended(request, progress, "answered", head.status)

    async def _patiently(
        self, request: CallerRequest, progress: RequestProgress, answer: Awaitable[Answer]
    ) -> Answer:
        """Wait for a back end, but not for ever where the request may go on elsewhere.

        Raises
        ------
        ConnectionBrokenError: it was too slow.
        """
        patience_s = self._patience_s(request, progress)
        if patience_s is None:
            return await answer
        try:
            async with asyncio.timeout(patience_s):
                return await answer
        except TimeoutError as error:
            self._hedges.withdraw()
            raise ConnectionBrokenError("too slow", cause=BreakCause.SLOW) from error

    def _patience_s(self, request: CallerRequest, progress: RequestProgress) -> float | None:
        route = request.route
        if not route.repeatable or progress.sends >= route.most_backends:
            return None
        accepting = self._choice.accepting_instances(
            request.service, monotonic(), request.residence
        )
        others = len(accepting) - len(progress.tried)
        if others < 2:
            return None
        if route.kind is RouteKind.STREAM:
            return STREAM_PATIENCE_S
        if not self._hedges.can_hedge:
            return None
        return max(FEWEST_PATIENCE_S, route.objective_s * PATIENCE_OF_OBJECTIVE)

    async def _ensure_started(
        self, request: CallerRequest, sink: AnswerSink, progress: RequestProgress, head: AnswerHead
    ) -> None:
        if progress.started:
            return
        self._told.first_byte(request, progress)
        progress.started = True
        await sink.start(head.status, exchanges.headers_for_client(head))

    def _region_of(self, state: InstanceState) -> RegionName | None:
        return self._choice.eligibility.topology.region(state.instance.zone)

    def _avoid(self, state: InstanceState, cause: str) -> None:
        seconds = self._choice.record_failure(state, monotonic())
        self._told.avoided(state, cause, seconds)


def _whole_new_events(splitter: EventSplitter, data: bytes, progress: RequestProgress) -> bytes:
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
