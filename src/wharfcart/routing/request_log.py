"""Decision-log lines and metrics of forwarded requests."""

from time import time

from wharfcart.admission.poison_requests import POISON_CAUSE
from wharfcart.clock import monotonic
from wharfcart.http.connection import Framing
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.routing.caller_request import CallerRequest
from wharfcart.routing.eligibility import ExclusionReason
from wharfcart.routing.origin_resolution import OriginDecision, OriginReport
from wharfcart.routing.placement import PlacementDecision
from wharfcart.routing.request_progress import RequestProgress

# Larger ages are logged as this.
MAX_LOGGED_AGE_S = 999.0


class RequestLog:
    """Writes decision-log lines and metrics of one gateway's requests.

    Args:
        selector: state of the back ends as the gateway knows it.
        log: decision log.
        metrics: metrics of the gateway.
    """

    def __init__(
        self, selector: BackendSelector, log: DecisionLog, metrics: ServingMetrics
    ) -> None:
        self._selector = selector
        self._log = log
        self._metrics = metrics

    def placed(
        self, request: CallerRequest, progress: RequestProgress, decision: PlacementDecision
    ) -> None:
        """Log where a request goes, before it is sent: a killed process logs no final line."""
        now = monotonic()
        state = decision.state
        self._log.write(
            Event.REQUEST_PLACED,
            request=request.facts.request_id,
            backend=state.instance.instance_id,
            version=state.instance.version,
            **_resumption_fields(request, progress),
            granted=decision.granted,
            waited_s=round(now - request.received_at, 4),
            sends=progress.sends,
            cold=self._selector.is_cold(state, now),
            load=round(state.load(now), 2),
            load_age_s=round(min(now - state.snapshot_at, MAX_LOGGED_AGE_S), 2),
            deadline_left_s=round(request.deadline - now, 3),
        )

    def limited(self, request: CallerRequest, progress: RequestProgress, status: int) -> None:
        """Log that a request was refused by its tenant's limit."""
        self._metrics.limited_requests.add(request.tenant_name)
        self.finished(request, progress, "limited", status)

    def retried(self, request: CallerRequest, progress: RequestProgress) -> None:
        """Log that a request is retried, and why."""
        self._metrics.retries.add(progress.cause)
        self._log.write(
            Event.REQUEST_RETRIED,
            request=request.facts.request_id,
            backend=progress.last_backend,
            cause=progress.cause,
            broke=progress.break_cause,
            sends=progress.sends,
            after_event=progress.last_event,
            left_s=round(request.deadline - monotonic(), 3),
        )

    def resumed(self, request: CallerRequest, progress: RequestProgress) -> None:
        """Log that a stream resumes at another back end."""
        state = self._selector.state(progress.last_backend)
        self._log.write(
            Event.STREAM_RESUMED,
            request=request.facts.request_id,
            backend=progress.last_backend,
            version=None if state is None else state.instance.version,
            after_event=progress.last_event,
        )

    def origin_decided(
        self, request: CallerRequest, report: OriginReport, decision: OriginDecision
    ) -> None:
        """Log which software a resumed stream goes on at, and what the decision rests on."""
        self._metrics.stream_origins.add(decision.evidence.value)
        self._log.write(
            Event.STREAM_ORIGIN,
            request=request.facts.request_id,
            origin_request=request.facts.origin_request,
            resume_after=request.facts.resume_after,
            evidence=decision.evidence.value,
            service=None if decision.software is None else decision.software.service,
            version=None if decision.software is None else decision.software.version,
            known_versions=sorted(report.known.versions),
            known_s=round(report.known.known_s, 1),
            asked=report.asked,
            answered=report.answered,
        )

    def avoided(self, state: InstanceState, cause: str, seconds: float) -> None:
        """Log that a back end is avoided for a time."""
        self._log.write(
            Event.BACKEND_AVOIDED,
            backend=state.instance.instance_id,
            cause=cause,
            failures=state.failures,
            seconds=seconds,
        )

    def first_byte(self, request: CallerRequest, progress: RequestProgress) -> None:
        """Record the first byte of the answer."""
        if progress.first_byte_s is None:
            progress.first_byte_s = monotonic() - request.received_at
            self._metrics.first_byte_seconds.labels(request.route.kind.value).observe(
                progress.first_byte_s
            )

    def finished(
        self, request: CallerRequest, progress: RequestProgress, outcome: str, status: int
    ) -> None:
        """Log the outcome of a request."""
        self._metrics.requests.add(outcome)
        optional_fields: dict[str, object] = {}
        if progress.break_cause:
            optional_fields["broke"] = progress.break_cause
        if progress.framing is Framing.UNTIL_CLOSE or progress.inside_event:
            optional_fields["framing"] = progress.framing
            optional_fields["inside_event"] = progress.inside_event
            optional_fields["answer_bytes"] = progress.answer_bytes
        if progress.break_cause or progress.cause == POISON_CAUSE:
            optional_fields["content"] = request.fingerprint
        if progress.suspicion is not None:
            suspicion = progress.suspicion
            optional_fields["suspected_parts"] = sorted(suspicion.parts)
            optional_fields["crashes"] = len(suspicion.crashes)
            optional_fields["crashes_weight"] = suspicion.weight
            optional_fields["last_crash_age_s"] = round(time() - suspicion.last_crash_at, 1)
        if progress.cause == ExclusionReason.OUTSIDE_RESIDENCE.value:
            self._metrics.outside_residence.add("request")
        if request.residence.regions is not None:
            optional_fields["regions"] = sorted(request.residence.regions)
        state = self._selector.state(progress.last_backend)
        now = monotonic()
        self._log.write(
            Event.REQUEST_ENDED,
            request=request.facts.request_id,
            route=request.route.name,
            tenant=request.tenant_name,
            outcome=outcome,
            status=status,
            cause=progress.cause,
            backend=progress.last_backend,
            version=None if state is None else state.instance.version,
            **_resumption_fields(request, progress),
            sends=progress.sends,
            refusals=progress.refusals,
            connect_failures=progress.connect_failures,
            last_event=progress.last_event,
            load=None if state is None else round(state.load(now), 2),
            load_age_s=None
            if state is None
            else round(min(now - state.reported_at, MAX_LOGGED_AGE_S), 2),
            first_byte_s=progress.first_byte_s and round(progress.first_byte_s, 4),
            seconds=round(now - request.received_at, 4),
            **optional_fields,
            deadline_left_s=round(request.deadline - now, 3),
        )


def _resumption_fields(request: CallerRequest, progress: RequestProgress) -> dict[str, object]:
    """Return which stream a request takes up and after which event; nothing for a new stream."""
    fields: dict[str, object] = {}
    if request.facts.origin_request:
        fields["origin_request"] = request.facts.origin_request
    if request.facts.resume_after is not None or progress.last_event is not None:
        fields["resume_after"] = progress.last_received_event(request.facts)
    return fields
