"""Passing one request on to back ends: choice, retries, resumption, and what may be promised.

What may be repeated after what:

* nothing was sent, or the back end proved that it did not run the request: always;
* anything else: only a repeatable request, and a resumable stream after its last whole event.

A refusal ("not run") is given only in the first case. Every request has one deadline, the earlier
of its caller's and its route's; the back end is told what is left of it.
"""

import asyncio
import math
from collections.abc import Awaitable, Callable
from time import time
from typing import TypeVar

from wharfcart.admission.hedging import HedgeBudget
from wharfcart.admission.suspects import SUSPECTED
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
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import exchanges
from wharfcart.routing.backend_choice import BackendChoice, InstanceState
from wharfcart.routing.broken_runs import BrokenRun, BrokenRuns
from wharfcart.routing.caller_request import AnswerCutError, AnswerSink, CallerRequest
from wharfcart.routing.deadlines import Deadlines
from wharfcart.routing.eligibility import RuledOut
from wharfcart.routing.event_stream import EventSplitter
from wharfcart.routing.placement import (
    NoSlotError,
    OverLimitError,
    Placed,
    Placement,
    PlacementRequest,
    SendVerdict,
)
from wharfcart.routing.region_reach import RegionReach
from wharfcart.routing.request_log import RequestLog
from wharfcart.routing.request_progress import RequestProgress

MOST_REFUSED_SENDS = 3
MOST_CONNECT_FAILURES = 4
# A repeatable request is sent elsewhere when no answer has begun after this part of its objective.
PATIENCE_OF_OBJECTIVE = 0.55
FEWEST_PATIENCE_S = 0.06
# A resumable stream is taken up elsewhere when nothing has come for so long.
STREAM_PATIENCE_S = 1.6
RETRY_AFTER_NO_BACKEND_S = 0.4
# There are back ends, but all of them are in regions where the request's data may not be.
OUTSIDE_RESIDENCE = RuledOut.OUTSIDE_RESIDENCE.value
# Back ends in the only regions where it may be are not reached.
REGION_UNREACHABLE = "region_unreachable"
NO_BACKEND_CAUSES = ("no_backend", OUTSIDE_RESIDENCE, REGION_UNREACHABLE)
# An operator takes an order to empty a zone back after seconds at the soonest.
RETRY_AFTER_EVACUATED_S = 2.0
# A slot is waited for until this part of the caller's patience is over.
WAIT_SHARE_OF_PATIENCE = 0.5
STATUS_TOO_MANY = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
STATUS_SERVER_ERROR = 500


Answer = TypeVar("Answer")


class _Verdict:
    """What one send came to, if not to an answer: whether it may have run, and why."""

    def __init__(self, ran: bool, cause: str) -> None:
        self.ran = ran
        self.cause = cause


class Forwarder:
    """Passes requests on to the back ends of their services.

    Attributes:
        deadlines: of the requests in progress.
    """

    def __init__(
        self,
        choice: BackendChoice,
        placement: Placement,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        log: DecisionLog,
        metrics: ServingMetrics,
        broken_runs: BrokenRuns,
    ) -> None:
        self._choice = choice
        self._placement = placement
        self._pool = pool
        self._connection_limit = connection_limit
        self._told = RequestLog(choice, log, metrics)
        self._broken_runs = broken_runs
        self._hedges = HedgeBudget()
        self.deadlines = Deadlines()
        self._reach = RegionReach()

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Get the request answered.

        Raises
        ------
        AnswerCutError: a begun answer can't be finished.
        """
        progress = RequestProgress()
        self._hedges.earn()
        try:
            async with self.deadlines.limit(request.deadline):
                await self._try_backends(request, sink, progress)
        except TimeoutError:
            progress.cause = "deadline"
            await self._give_up(request, sink, progress, STATUS_TIMEOUT)
        except asyncio.CancelledError:
            self._told.ended(request, progress, "caller_left", 0)
            raise

    async def _try_backends(
        self, request: CallerRequest, sink: AnswerSink, progress: RequestProgress
    ) -> None:
        while True:
            if self._is_held_back(request, progress):
                await self._give_up(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            if self._regions_lost(request):
                progress.cause = REGION_UNREACHABLE
                await self._give_up(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            try:
                placed = await self._placement.place(_placement_request(request, progress))
            except NoSlotError as error:
                progress.cause = "no_slot"
                progress.retry_after_s = error.retry_after_s
                await self._give_up(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            except OverLimitError as error:
                await self._refuse_over_limit(request, sink, progress, error)
                return
            if placed is None:
                progress.cause = self._cause_of_no_backend(request, progress)
                await self._give_up(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            state = placed.state
            progress.placed = True
            self._told.placed(request, progress, placed)
            verdict = await self._send(request, sink, progress, placed)
            if verdict is None:
                return
            progress.cause = verdict.cause
            progress.tried.add(state.instance.instance_id)
            if not self._may_repeat(request, progress, verdict):
                await self._give_up(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            self._told.retried(request, progress)

    def _is_held_back(self, request: CallerRequest, progress: RequestProgress) -> bool:
        """Whether back ends have ended under requests of the same content, here or elsewhere.

        Asked before each send: what ends its back ends takes all others there with it.
        """
        held_s = self._broken_runs.suspects.held_for_s(lambda: request.content, time())
        if not held_s:
            return False
        progress.cause = SUSPECTED
        progress.retry_after_s = math.ceil(held_s)
        return True

    def _regions_lost(self, request: CallerRequest) -> bool:
        """Whether a request is bound to regions that this gateway does not reach now."""
        regions = request.residence.regions
        if not regions or self._placement.reaches(request.service, request.residence):
            return False
        return self._reach.are_lost(regions, monotonic())

    def _region_of(self, state: InstanceState) -> RegionName | None:
        return self._choice.eligibility.topology.region(state.instance.zone)

    def _cause_of_no_backend(self, request: CallerRequest, progress: RequestProgress) -> str:
        if self._choice.is_all_evacuated(request.service):
            return RuledOut.EVACUATED.value
        if progress.cause:
            return progress.cause
        elsewhere = request.residence.is_bound and self._choice.accepting(
            request.service, monotonic()
        )
        return OUTSIDE_RESIDENCE if elsewhere else "no_backend"

    def _may_repeat(
        self, request: CallerRequest, progress: RequestProgress, verdict: _Verdict
    ) -> bool:
        if not verdict.ran:
            few_refusals = progress.refusals < MOST_REFUSED_SENDS
            return few_refusals and progress.connect_failures < MOST_CONNECT_FAILURES
        progress.may_have_run = True
        if progress.started and progress.last_event is None:
            return False
        return request.route.repeatable and progress.sends < request.route.most_backends

    async def _send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        placed: Placed,
    ) -> _Verdict | None:
        """Send once; None when the request has its final answer."""
        state = placed.state
        progress.last_backend = state.instance.instance_id
        progress.well = True
        progress.told = SendVerdict.UNKNOWN
        # Counted before the connection is made, so that a slot that was granted is seen as taken.
        use = self._choice.sent(state, monotonic(), request.unread_tokens)
        try:
            return await self._connect_and_send(request, sink, progress, state, use, monotonic())
        finally:
            self._choice.ended(state, use)
            self._placement.ended(placed, progress.told)

    async def _connect_and_send(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        state: InstanceState,
        use: int,
        placed_at: float,
    ) -> _Verdict | None:
        instance = state.instance
        try:
            connection = await self._pool.take(instance, self._connection_limit(instance.service))
        except ConnectionLimitError:
            progress.refusals += 1
            return _Verdict(False, "connection_limit")
        except ConnectFailedError:
            progress.connect_failures += 1
            progress.told = SendVerdict.BAD
            self._reach.failed(self._region_of(state), instance.instance_id, monotonic())
            self._avoid(state, "connect")
            return _Verdict(False, "connect")
        held_back = self._choice.held_back(state, placed_at, monotonic(), request.residence)
        if held_back is not None:
            # Costs no try: nothing was sent, and the back end had no part in it.
            self._pool.give_back(instance, connection)
            return _Verdict(False, held_back.value)
        if self._is_held_back(request, progress):
            # It was found out while this one waited for its slot and its connection.
            self._pool.give_back(instance, connection)
            return _Verdict(False, SUSPECTED)
        began_at = monotonic()
        if began_at >= request.deadline:
            # The machine was suspended while it waited: nobody waits for the answer any more.
            self._pool.give_back(instance, connection)
            raise TimeoutError
        try:
            verdict = await self._exchange(request, sink, progress, state, connection, use)
        except ConnectionBrokenError as error:
            self._pool.discard(instance, connection)
            if not error.sent:
                return _Verdict(False, "closed_before_send")
            progress.broke = error.cause.value
            self._turned_out(state, progress, False)
            if use in state.waiting_since:
                # Nothing came of it: a kept connection into a region that was cut off since.
                self._reach.failed(self._region_of(state), instance.instance_id, monotonic())
            if connection.answered == 0:
                self._avoid(state, "broken")
            await self._look_into(request, state, use, error.cause, monotonic() - began_at)
            return _Verdict(True, "broken")
        except BaseException:
            # The caller left or the time is over: closing ends the back end's work.
            self._pool.discard(instance, connection)
            raise
        self._pool.give_back(instance, connection)
        if verdict is None or verdict.ran:
            self._broken_runs.suspects.note_answer(lambda: request.content)
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
        run = BrokenRun(
            request.facts.request_id,
            request.content,
            state.instance,
            cause,
            use not in state.waiting_since,
            ran_s,
        )
        if request.route.repeatable:
            await self._broken_runs.look_into(run)
        else:
            self._broken_runs.note(run)

    def _turned_out(self, state: InstanceState, progress: RequestProgress, good: bool) -> None:
        progress.told = SendVerdict.GOOD if good else SendVerdict.BAD
        self._choice.turned_out(state, good, monotonic())

    async def _exchange(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        state: InstanceState,
        connection: HttpConnection,
        use: int,
    ) -> _Verdict | None:
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
        self._choice.answered(state, use)
        self._reach.reached(self._region_of(state))
        self._placement.answer_begun(request.route.name, monotonic() - sent_at)
        load = exchanges.reported_load(head)
        if load is not None:
            self._choice.reported(state, load.running, load.waiting, monotonic())
        if exchanges.was_not_run(head):
            await connection.read_body()
            progress.sends -= 1
            progress.refusals += 1
            if head.status == STATUS_UNAVAILABLE:
                self._choice.full(state, monotonic())
            return _Verdict(False, f"refused_{head.status}")
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
    ) -> _Verdict | None:
        body = await connection.read_body()
        failed = head.status >= STATUS_SERVER_ERROR
        progress.well = not failed or head.status == STATUS_TIMEOUT
        if failed and progress.started:
            raise ConnectionBrokenError("resumption failed")
        if failed and request.route.repeatable and progress.sends < request.route.most_backends:
            return _Verdict(True, f"status_{head.status}")
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
            self._hedges.spend()
            raise ConnectionBrokenError("too slow", cause=BreakCause.SLOW) from error

    def _patience_s(self, request: CallerRequest, progress: RequestProgress) -> float | None:
        route = request.route
        if not route.repeatable or progress.sends >= route.most_backends:
            return None
        accepting = self._choice.accepting(request.service, monotonic(), request.residence)
        others = len(accepting) - len(progress.tried)
        if others < 2:
            return None
        if route.kind is RouteKind.STREAM:
            return STREAM_PATIENCE_S
        if not self._hedges.available:
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

    async def _give_up(
        self, request: CallerRequest, sink: AnswerSink, progress: RequestProgress, status: int
    ) -> None:
        """Give the final answer: a refusal if nothing can have run, else that it is not known."""
        if progress.started:
            self._told.ended(request, progress, "cut", 0)
            raise AnswerCutError(progress.cause)
        in_doubt = progress.may_have_run or (progress.cause == "deadline" and progress.last_backend)
        if in_doubt:
            self._told.ended(request, progress, "given_up", status)
            await sink.whole(status, [], b"")
            return
        retry_after_s = progress.retry_after_s
        if progress.cause in NO_BACKEND_CAUSES:
            retry_after_s = RETRY_AFTER_NO_BACKEND_S
        elif progress.cause == RuledOut.EVACUATED.value:
            retry_after_s = RETRY_AFTER_EVACUATED_S
        self._told.ended(request, progress, "refused", STATUS_UNAVAILABLE)
        retry_after = (exchanges.RETRY_AFTER_HEADER, f"{retry_after_s:g}")
        await sink.whole(STATUS_UNAVAILABLE, [retry_after], b"")

    async def _refuse_over_limit(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        error: OverLimitError,
    ) -> None:
        progress.cause = "over_limit" if error.surely else "limit_not_known"
        status = STATUS_TOO_MANY if error.surely else STATUS_UNAVAILABLE
        self._told.limited(request, progress, status)
        retry_after_s = f"{error.retry_after_s:g}"
        await sink.whole(status, [(exchanges.RETRY_AFTER_HEADER, retry_after_s)], b"")

    def _avoid(self, state: InstanceState, cause: str) -> None:
        seconds = self._choice.failed(state, monotonic())
        self._told.avoided(state, cause, seconds)


def _placement_request(request: CallerRequest, progress: RequestProgress) -> PlacementRequest:
    route = request.route
    patience_s = min(route.patience_s, request.deadline - request.received_at)
    in_time_until = request.received_at + route.objective_s
    leave_at = request.received_at + patience_s * WAIT_SHARE_OF_PATIENCE
    if progress.started:
        # Its caller has the beginning: it goes before those that can wait, and is not given up.
        in_time_until = monotonic() + route.objective_s / 2
        leave_at = request.deadline
    return PlacementRequest(
        service=request.service,
        excluded=frozenset(progress.tried),
        affinity_key=request.affinity_key,
        unread_tokens=request.unread_tokens,
        request_id=request.facts.request_id,
        route_name=route.name,
        in_time_until=in_time_until,
        leave_at=leave_at,
        priority=request.priority,
        tenant=request.tenant_name,
        limit=None if request.tenant is None or progress.placed else request.tenant.limit,
        residence=request.residence,
    )


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
