"""Forwarding of a request to back ends: placement, retries, resumption and final failures.

A request may be retried

* always, if nothing was sent or the back end proved that it did not run the request;
* otherwise only if it is repeatable; a resumable stream continues after its last complete event.

The gateway answers "not run" only in the first case. Each request has one deadline, the earlier of
its caller's and its route's; the back end receives the remaining time.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import http_headers
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import AnswerSink, AnswerTruncatedError, CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.deadlines import Deadlines
from wharfcart.routing.eligibility import ExclusionReason
from wharfcart.routing.origin_resolution import OriginEvidence, decide_origin
from wharfcart.routing.placement import (
    NoSlotError,
    OverLimitError,
    Placement,
    PlacementRequest,
)
from wharfcart.routing.region_reachability import RegionReachability
from wharfcart.routing.request_log import RequestLog
from wharfcart.routing.request_progress import RequestProgress
from wharfcart.routing.sender import Sender, SendFailure
from wharfcart.routing.stream_origins import ORIGIN_TTL_S

MAX_REFUSED_SENDS = 3
MAX_CONNECT_FAILURES = 4
# A caller resumes a stream in so many requests at most, each within the time limit of the route.
MAX_CALLER_ATTEMPTS = 4
RETRY_AFTER_NO_BACKEND_S = 0.4
# All back ends are outside the regions allowed for the request's data.
OUTSIDE_RESIDENCE = ExclusionReason.OUTSIDE_RESIDENCE.value
# No back end of the software version that began the answer is left.
VERSION_GONE = "version_gone"
# The route no longer leads to the service that began the answer.
ORIGIN_NOT_ROUTED = "origin_not_routed"
# The allowed regions are unreachable.
REGION_UNREACHABLE = "region_unreachable"
NO_BACKEND_CAUSES = (
    "no_backend",
    OUTSIDE_RESIDENCE,
    REGION_UNREACHABLE,
    VERSION_GONE,
    ORIGIN_NOT_ROUTED,
    OriginEvidence.UNKNOWN.value,
    OriginEvidence.UNCONFIRMED.value,
)
# Operators do not cancel an evacuation sooner than this.
RETRY_AFTER_EVACUATED_S = 2.0
# Share of the caller's patience spent waiting for a slot.
SLOT_WAIT_SHARE = 0.5
STATUS_TOO_MANY_REQUESTS = 429
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504


class Forwarder:
    """Forwards requests to the back ends of their services.

    Attributes:
        deadlines: deadlines of the requests in progress.
    """

    def __init__(
        self,
        selector: BackendSelector,
        placement: Placement,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        log: DecisionLog,
        metrics: ServingMetrics,
        crash_detector: CrashDetector,
    ) -> None:
        self._selector = selector
        self._placement = placement
        self._request_log = RequestLog(selector, log, metrics)
        self._reachability = RegionReachability()
        self._sender = Sender(
            selector,
            placement,
            pool,
            connection_limit,
            self._request_log,
            crash_detector,
            self._reachability,
        )
        self.deadlines = Deadlines()

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        """Forward a request and send its answer to the sink.

        Raises:
            AnswerTruncatedError: A started answer can't be completed.
        """
        progress = RequestProgress()
        self._sender.record_request()
        try:
            async with self.deadlines.enforce(request.deadline):
                if request.resumes_stream:
                    request = await self._find_origin(request, progress)
                if progress.cause:
                    await self._fail_request(request, sink, progress, STATUS_BAD_GATEWAY)
                else:
                    await self._try_backends(request, sink, progress)
        except TimeoutError:
            progress.cause = "deadline"
            await self._fail_request(request, sink, progress, STATUS_TIMEOUT)
        except asyncio.CancelledError:
            self._request_log.finished(request, progress, "caller_left", 0)
            raise

    async def _find_origin(
        self, request: CallerRequest, progress: RequestProgress
    ) -> CallerRequest:
        """Return a request for the software that began its stream; set a cause if there is none."""
        lifetime_s = min(ORIGIN_TTL_S, MAX_CALLER_ATTEMPTS * request.route.time_limit_s)
        report = await self._placement.find_origin(
            request.facts.origin_request, request.service, lifetime_s
        )
        decision = decide_origin(request.service, report)
        self._request_log.origin_decided(request, report, decision)
        software = decision.software
        if software is None:
            progress.cause = decision.evidence.value
            return request
        if software.service not in {share.service for share in request.route.shares}:
            progress.cause = ORIGIN_NOT_ROUTED
            return request
        progress.version = software.version
        return replace(request, service=software.service)

    async def _try_backends(
        self, request: CallerRequest, sink: AnswerSink, progress: RequestProgress
    ) -> None:
        while True:
            if self._sender.is_quarantined(request, progress):
                await self._fail_request(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            if self._are_regions_unreachable(request):
                progress.cause = REGION_UNREACHABLE
                await self._fail_request(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            try:
                decision = await self._placement.place(self._placement_request(request, progress))
            except NoSlotError as error:
                progress.cause = "no_slot"
                progress.retry_after_s = error.retry_after_s
                await self._fail_request(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            except OverLimitError as error:
                await self._reject_over_limit(request, sink, progress, error)
                return
            if decision is None:
                progress.cause = self._no_backend_cause(request, progress)
                await self._fail_request(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            state = decision.state
            progress.placed = True
            progress.placements += 1
            self._request_log.placed(request, progress, decision)
            failure = await self._sender.send(request, sink, progress, decision)
            if failure is None:
                return
            progress.cause = failure.cause
            progress.tried_instances.add(state.instance.instance_id)
            if not self._may_retry(request, progress, failure):
                await self._fail_request(request, sink, progress, STATUS_BAD_GATEWAY)
                return
            self._request_log.retried(request, progress)

    def _are_regions_unreachable(self, request: CallerRequest) -> bool:
        """Whether a request is bound to regions that this gateway can't reach now."""
        regions = request.residence.regions
        if not regions or self._placement.is_granter_reachable(request.service, request.residence):
            return False
        return self._reachability.are_unreachable(regions, monotonic())

    def _no_backend_cause(self, request: CallerRequest, progress: RequestProgress) -> str:
        if self._selector.is_fully_evacuated(request.service):
            return ExclusionReason.EVACUATED.value
        if progress.version is not None and not self._accepting_instances(request, progress):
            return VERSION_GONE
        if progress.cause:
            return progress.cause
        elsewhere = request.residence.is_restricted and self._selector.accepting_instances(
            request.service, monotonic()
        )
        return OUTSIDE_RESIDENCE if elsewhere else "no_backend"

    def _may_retry(
        self, request: CallerRequest, progress: RequestProgress, failure: SendFailure
    ) -> bool:
        if not failure.possibly_ran:
            few_refusals = progress.refusals < MAX_REFUSED_SENDS
            return few_refusals and progress.connect_failures < MAX_CONNECT_FAILURES
        progress.may_have_run = True
        if progress.answer_started and progress.last_event is None:
            return False
        return request.route.repeatable and progress.sends < request.route.max_backends

    async def _fail_request(
        self, request: CallerRequest, sink: AnswerSink, progress: RequestProgress, status: int
    ) -> None:
        """Send the final answer: a refusal if nothing can have run, else ``status``."""
        if progress.answer_started:
            self._request_log.finished(request, progress, "cut", 0)
            raise AnswerTruncatedError(progress.cause)
        in_doubt = progress.may_have_run or (progress.cause == "deadline" and progress.last_backend)
        if in_doubt:
            self._request_log.finished(request, progress, "given_up", status)
            await sink.send_whole(status, [], b"")
            return
        retry_after_s = progress.retry_after_s
        if progress.cause in NO_BACKEND_CAUSES:
            retry_after_s = RETRY_AFTER_NO_BACKEND_S
        elif progress.cause == ExclusionReason.EVACUATED.value:
            retry_after_s = RETRY_AFTER_EVACUATED_S
        self._request_log.finished(request, progress, "refused", STATUS_UNAVAILABLE)
        retry_after = (http_headers.RETRY_AFTER_HEADER, f"{retry_after_s:g}")
        await sink.send_whole(STATUS_UNAVAILABLE, [retry_after], b"")

    async def _reject_over_limit(
        self,
        request: CallerRequest,
        sink: AnswerSink,
        progress: RequestProgress,
        error: OverLimitError,
    ) -> None:
        progress.cause = "over_limit" if error.is_confirmed else "limit_not_known"
        status = STATUS_TOO_MANY_REQUESTS if error.is_confirmed else STATUS_UNAVAILABLE
        self._request_log.limited(request, progress, status)
        retry_after_s = f"{error.retry_after_s:g}"
        await sink.send_whole(status, [(http_headers.RETRY_AFTER_HEADER, retry_after_s)], b"")

    def _accepting_instances(self, request: CallerRequest, progress: RequestProgress) -> set[str]:
        """Return the instances that accept a request, of the version that began its answer."""
        accepting = self._selector.accepting_instances(
            request.service, monotonic(), request.residence, progress.version
        )
        return {state.instance.instance_id for state in accepting}

    def _excluded_instances(
        self, request: CallerRequest, progress: RequestProgress
    ) -> frozenset[str]:
        """Return the instances that are not asked again.

        Where all instances of the version that began the answer were tried, they are asked again:
        a back end that broke a connection may still serve.
        """
        tried = frozenset(progress.tried_instances)
        if progress.version is None or self._accepting_instances(request, progress) - tried:
            return tried
        return frozenset()

    def _placement_request(
        self, request: CallerRequest, progress: RequestProgress
    ) -> PlacementRequest:
        return _placement_request(request, progress, self._excluded_instances(request, progress))


def _placement_request(
    request: CallerRequest, progress: RequestProgress, excluded: frozenset[str]
) -> PlacementRequest:
    route = request.route
    patience_s = min(route.caller_timeout_s, request.deadline - request.received_at)
    start_by = request.received_at + route.objective_s
    queue_until = request.received_at + patience_s * SLOT_WAIT_SHARE
    if progress.answer_started or request.resumes_stream:
        # The caller has the start of the answer: the request takes precedence.
        start_by = monotonic() + route.objective_s / 2
    if progress.answer_started:
        queue_until = request.deadline
    return PlacementRequest(
        service=request.service,
        excluded=excluded,
        affinity_key=request.affinity_key,
        unread_tokens=request.unread_tokens,
        request_id=request.facts.request_id,
        route_name=route.name,
        start_deadline=start_by,
        queue_deadline=queue_until,
        priority=request.priority,
        tenant=request.tenant_name,
        limit=None if request.tenant is None or progress.placed else request.tenant.limit,
        residence=request.residence,
        version=progress.version,
        is_resumable=request.is_resumable,
    )
