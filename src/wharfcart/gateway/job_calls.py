"""Callers' batch calls at a gateway: submit, read results, read bodies, delete."""

from collections.abc import Callable
from time import time

from sanic.request import Request
from sanic.response import HTTPResponse

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    DONE,
    MAYBE_ELSEWHERE,
    NOT_FOUND,
    OTHER_SUBMISSION,
    OUTSIDE_RESIDENCE,
    REFUSED,
    TAKEN,
    EndJob,
    Frame,
    ReadItemBody,
    ReadResults,
    RequestJob,
    SubmitJob,
)
from wharfcart.configuration.residence import ANYWHERE, Residence, residence_to_message
from wharfcart.configuration.serving import Route, ServingConfiguration
from wharfcart.gateway.entity_tags import BadEntityTagError, entity_tag, submission_from
from wharfcart.gateway.plain_responses import plain_response
from wharfcart.http.grammar import parse_whole_number
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import batch_bodies, names
from wharfcart.storage.job_client import OUTSIDE_RESIDENCE as OUTSIDE_RESIDENCE_CAUSE
from wharfcart.storage.job_client import JobCallFailure, JobClient
from wharfcart.storage.job_move_tracker import JobMoveTracker
from wharfcart.storage.replicated_job import NO_SUBMISSION, SubmissionId

SUBMIT_TIMEOUT_S = 3.0
SUBMIT_ATTEMPT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.2
READ_ATTEMPT_MARGIN_S = 0.7
DELETE_TIMEOUT_S = 3.0
MAX_LONG_POLL_S = 1.0
# Capacity for a job takes longer to free up than a leader takes to be elected.
STATUS_BAD_REQUEST = 400
# Of an unsigned 32-bit field.
MAX_COUNT = 2**32 - 1
RETRY_AFTER_BY_STATUS_S = {503: 0.3, 429: 1.0}
# Cause of a refusal by a leader that has newer knowledge of the group's disks than the gateway.
GROUP_OUTSIDE_CAUSE = "a disk of the group is outside the residence"
OTHER_SUBMISSION_CAUSE = "the id was submitted again"
JSON_CONTENT_TYPE = ("content-type", "application/json")


class JobCallHandlers:
    """Translates callers' batch calls into calls on job groups.

    Args:
        client: Client of the job groups' leaders.
        log: Records refused calls.
        configuration: Returns the configuration in force, or None.
        metrics: Counts jobs that are refused because of their residence.
    """

    def __init__(
        self,
        client: JobClient,
        log: DecisionLog,
        configuration: Callable[[], ServingConfiguration | None],
        metrics: ServingMetrics,
    ) -> None:
        self._client = client
        self._log = log
        self._configuration = configuration
        self._metrics = metrics
        self._move_tracker = JobMoveTracker()

    async def submit(self, request: Request, route: Route, tenant: str) -> HTTPResponse:
        """Submit a tenant's batch job to a job group."""
        job_id = request.headers.get(names.REQUEST_ID, "")
        try:
            items = batch_bodies.parse_items(request.body)
        except batch_bodies.BadSubmissionError as error:
            return self._refuse(job_id, "submit", STATUS_BAD_REQUEST, f"malformed: {error}")
        if not job_id or not job_id.isprintable():
            return self._refuse(job_id, "submit", STATUS_BAD_REQUEST, "no id")
        configuration = self._configuration()
        residence = route.residence
        if configuration is not None:
            residence = configuration.residence_of(route, tenant)
        job = RequestJob(
            job_id=job_id,
            host=_host_of(request),
            path=request.raw_url.decode("latin-1").partition("?")[0],
            accepted_ms=int(time() * 1000),
            objective_s=route.completion_objective_s,
            give_up_after_s=route.give_up_after_s,
            most_attempts=route.max_backends,
            items=items,
            tenant=tenant,
            residence=residence_to_message(residence),
        )
        frame = Frame(
            submit_job=SubmitJob(job=job, moved=self._may_have_moved(route, tenant, residence))
        )
        answer = await self._client.call(
            job_id, frame, "job_answer", SUBMIT_TIMEOUT_S, SUBMIT_ATTEMPT_TIMEOUT_S, residence
        )
        if isinstance(answer, JobCallFailure):
            status = 504 if answer.may_have_executed else 503
            return self._refuse(job_id, "submit", status, answer.cause, residence)
        if answer.job_answer.status == OUTSIDE_RESIDENCE:
            return self._refuse(job_id, "submit", 503, GROUP_OUTSIDE_CAUSE, residence)
        if answer.job_answer.status == MAYBE_ELSEWHERE:
            return self._refuse(job_id, "submit", 503, "another group may have it", residence)
        if answer.job_answer.status == REFUSED:
            return self._refuse(job_id, "submit", 429, "too many tokens wait")
        if answer.job_answer.status == TAKEN:
            return self._refuse(job_id, "submit", 409, "the id is in use")
        if answer.job_answer.status != DONE:
            return plain_response(503)
        return plain_response(202, _tag_headers(answer.job_answer.submission))

    async def handle(self, request: Request, tenant: str) -> HTTPResponse:
        """Answer a tenant's call on a job; other tenants' jobs are not found."""
        path = request.raw_url.decode("latin-1").partition("?")[0]
        if path.startswith(names.JOB_PATH):
            job_id = path.removeprefix(names.JOB_PATH)
            try:
                submission = submission_from(request.headers.get("if-match"))
            except BadEntityTagError as error:
                cause = f"malformed entity tag: {error}"
                return self._refuse(job_id, "if_match", STATUS_BAD_REQUEST, cause)
            if request.method == "DELETE":
                return await self._delete(request, job_id, tenant, submission)
            if request.method == "GET":
                return await self._read(request, job_id, tenant, submission)
        elif request.method == "GET":
            job_id = path.removeprefix(names.ITEM_BODY_PATH)
            return await self._read_body(request, job_id, tenant)
        return plain_response(405)

    async def _read(
        self, request: Request, job_id: str, tenant: str, submission: SubmissionId
    ) -> HTTPResponse:
        first = _parse_count(request.args.get("after"))
        wait_ms = _parse_count(request.headers.get(names.WAIT_MS))
        if first is None or wait_ms is None:
            field = "after" if first is None else names.WAIT_MS
            return self._refuse(
                job_id, "read", STATUS_BAD_REQUEST, f"malformed: {field} is no whole number"
            )
        wait_s = min(MAX_LONG_POLL_S, wait_ms / 1000)
        message = ReadResults(
            job_id=job_id,
            after=first,
            wait_ms=int(wait_s * 1000),
            tenant=tenant,
            submission=submission,
        )
        answer = await self._client.find(
            job_id,
            Frame(read_results=message),
            "result_page",
            READ_TIMEOUT_S + wait_s,
            wait_s + READ_ATTEMPT_MARGIN_S,
            self._residences(request, tenant),
        )
        if isinstance(answer, JobCallFailure):
            return self._refuse(job_id, "read", 503, answer.cause)
        page = answer.result_page
        if page.status == NOT_FOUND:
            return self._refuse(job_id, "read", 404, "no such job")
        if page.status == OTHER_SUBMISSION:
            return self._refuse(job_id, "read", 412, OTHER_SUBMISSION_CAUSE)
        return plain_response(
            200,
            [JSON_CONTENT_TYPE, *_tag_headers(page.submission)],
            batch_bodies.encode_result_page(page.total, first, page.results),
        )

    async def _read_body(self, request: Request, job_id: str, tenant: str) -> HTTPResponse:
        item_id = request.args.get("id") or ""
        message = ReadItemBody(job_id=job_id, item_id=item_id, tenant=tenant)
        frame = Frame(read_item_body=message)
        answer = await self._client.find(
            job_id,
            frame,
            "item_body",
            READ_TIMEOUT_S,
            READ_ATTEMPT_MARGIN_S,
            self._residences(request, tenant),
        )
        if isinstance(answer, JobCallFailure):
            return self._refuse(job_id, "read_body", 503, answer.cause)
        if answer.item_body.status == NOT_FOUND:
            return self._refuse(job_id, "read_body", 404, "no such job or item")
        return plain_response(
            200, [("content-type", "application/octet-stream")], answer.item_body.body
        )

    async def _delete(
        self, request: Request, job_id: str, tenant: str, submission: SubmissionId
    ) -> HTTPResponse:
        answer = await self._client.find(
            job_id,
            Frame(end_job=EndJob(job_id=job_id, tenant=tenant, submission=submission)),
            "job_answer",
            DELETE_TIMEOUT_S,
            SUBMIT_ATTEMPT_TIMEOUT_S,
            self._residences(request, tenant),
        )
        if isinstance(answer, JobCallFailure):
            status = 504 if answer.may_have_executed else 503
            return self._refuse(job_id, "end", status, answer.cause)
        if answer.job_answer.status == NOT_FOUND:
            return self._refuse(job_id, "end", 404, "no such job")
        if answer.job_answer.status == OTHER_SUBMISSION:
            return self._refuse(job_id, "end", 412, OTHER_SUBMISSION_CAUSE)
        return plain_response(200)

    def _may_have_moved(self, route: Route, tenant: str, residence: Residence) -> bool:
        """Return whether earlier submissions of a job may have reached another group."""
        groups = self._client.eligible_groups(residence)
        return self._move_tracker.has_moved_recently((route.name, tenant), groups, monotonic())

    def _residences(self, request: Request, tenant: str) -> frozenset[Residence]:
        """Return the possible residences of a tenant's jobs at the requested host."""
        configuration = self._configuration()
        if configuration is None:
            return frozenset()
        return configuration.job_residences(_host_of(request), tenant)

    def _refuse(
        self, job_id: str, call: str, status: int, cause: str, residence: Residence = ANYWHERE
    ) -> HTTPResponse:
        regions: dict[str, object] = {}
        if residence.regions is not None:
            regions["regions"] = sorted(residence.regions)
        if cause in (OUTSIDE_RESIDENCE_CAUSE, GROUP_OUTSIDE_CAUSE):
            self._metrics.outside_residence.add("job")
        self._log.write(
            Event.REQUEST_REFUSED, request=job_id, call=call, status=status, cause=cause, **regions
        )
        retry_after_s = RETRY_AFTER_BY_STATUS_S.get(status)
        headers = [] if retry_after_s is None else [(names.RETRY_AFTER, f"{retry_after_s:g}")]
        body = cause.encode() if status == STATUS_BAD_REQUEST else b""
        return plain_response(status, headers, body)


def _tag_headers(submission: int) -> list[tuple[str, str]]:
    return [] if submission == NO_SUBMISSION else [("etag", entity_tag(submission))]


def _host_of(request: Request) -> str:
    return (request.headers.get("host") or "").partition(":")[0]


def _parse_count(text: str | None) -> int | None:
    """Return a count, 0 if there is none; None if it is malformed.

    One that no message can carry is beyond the last result of every job, as is the largest.
    """
    count = 0 if text is None else parse_whole_number(text)
    return None if count is None else min(count, MAX_COUNT)
