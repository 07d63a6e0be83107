"""Serves the gateways' calls on a job group: submissions, results, item bodies, cancellations.

A node that does not lead the group, or whose leadership is unconfirmed, reports so in the status;
the gateway then calls another node.
"""

import asyncio
from collections import Counter
from collections.abc import Callable

from wharfcart.batch.job_execution import JobExecution
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    DONE,
    MAYBE_ELSEWHERE,
    NOT_FOUND,
    NOT_LEADING,
    OTHER_SUBMISSION,
    OUTSIDE_RESIDENCE,
    REFUSED,
    TAKEN,
    UNSURE,
    CountWaitingTokens,
    EndJob,
    Frame,
    ItemBody,
    ItemOutcome,
    JobAnswer,
    JobStatus,
    ReadItemBody,
    ReadResults,
    RequestJob,
    ResultPage,
    SubmitJob,
    WaitingTokens,
)
from wharfcart.configuration.residence import residence_from_message, residence_to_message
from wharfcart.configuration.serving import Route, ServingConfiguration
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.storage.job_client import JobCallFailure, JobClient
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.job_residence import RegionOf, all_in_residence
from wharfcart.storage.replicated_job import NO_SUBMISSION, ReplicatedJob

WRITE_TIMEOUT_S = 3.0
CONFIRMATION_TIMEOUT_S = 0.8
MAX_PAGE_BYTES = 700_000
# Keeps submissions short while another group's leader is unresponsive: a leader answers within
# milliseconds, and a submission must be answered within a fraction of a second.
COUNT_TIMEOUT_S = 0.15
# Result position beyond the last item of any job: the answer shows only whether the job exists.
PAST_LAST_POSITION = 2**32 - 1


class OtherGroups:
    """Calls from one group's leader to the leaders of all other groups.

    Args:
        group_numbers: returns the numbers of the other groups.
        client: calls their leaders.
    """

    def __init__(self, group_numbers: Callable[[], list[int]], client: JobClient) -> None:
        self._group_numbers = group_numbers
        self._client = client

    async def waiting_tokens(self, job: RequestJob, limit: int) -> int:
        """Return the waiting tokens of a job's tenant and route in all other groups.

        A group whose leader does not answer counts as its equal share of the limit.
        """
        numbers = self._group_numbers()
        counts = await asyncio.gather(*(self._waiting_tokens_at(group, job) for group in numbers))
        share = limit // (1 + len(numbers))
        return sum(share if count is None else count for count in counts)

    async def job_status(self, job: RequestJob) -> JobStatus:
        """Return DONE if another group has a job, UNSURE if one gives no answer, or NOT_FOUND."""
        statuses = await asyncio.gather(
            *(self._job_status_at(group, job) for group in self._group_numbers())
        )
        if DONE in statuses:
            return DONE
        return UNSURE if UNSURE in statuses else NOT_FOUND

    async def _job_status_at(self, group: int, job: RequestJob) -> JobStatus:
        message = ReadResults(
            job_id=job.job_id, after=PAST_LAST_POSITION, tenant=job.tenant, group=group
        )
        answer = await self._client.call_group(
            group, Frame(read_results=message), "result_page", COUNT_TIMEOUT_S, COUNT_TIMEOUT_S
        )
        return UNSURE if isinstance(answer, JobCallFailure) else answer.result_page.status

    async def _waiting_tokens_at(self, group: int, job: RequestJob) -> int | None:
        message = CountWaitingTokens(group=group, host=job.host, path=job.path, tenant=job.tenant)
        answer = await self._client.call_group(
            group,
            Frame(count_waiting_tokens=message),
            "waiting_tokens",
            COUNT_TIMEOUT_S,
            COUNT_TIMEOUT_S,
        )
        if isinstance(answer, JobCallFailure) or answer.waiting_tokens.status != DONE:
            return None
        return answer.waiting_tokens.tokens


class JobGroupService:
    """Serves calls on one job group.

    Args:
        group: the job group.
        execution: runs the items while this node leads the group.
        configuration: returns the current configuration, or None.
        other_groups: leaders of all other groups.
        log: decision log.
        region_of: returns the region of a disk, or None if it is unknown.
    """

    def __init__(
        self,
        group: JobGroup,
        execution: JobExecution,
        configuration: Callable[[], ServingConfiguration | None],
        other_groups: OtherGroups,
        log: DecisionLog,
        region_of: RegionOf = lambda _identity: None,
    ) -> None:
        self._group = group
        self._execution = execution
        self._configuration = configuration
        self._other_groups = other_groups
        self._log = log
        self._region_of = region_of
        self._pending_submissions: Counter[str] = Counter()
        self._had_restricted_residence = False

    async def submit(self, message: SubmitJob) -> JobAnswer:
        """Accept a job; answers DONE once a quorum of disks has it."""
        leadership = self._group.leadership
        if leadership is None:
            return JobAnswer(status=NOT_LEADING, leader=self._leader())
        job = message.job
        record = leadership.jobs.get(job.job_id)
        is_known = record is not None
        if record is not None and not _belongs_to(record.job, job.tenant):
            return JobAnswer(status=TAKEN)
        if not is_known:
            self._pending_submissions[job.job_id] += 1
            try:
                refusal_status = await self._refusal_reason(leadership, message)
            finally:
                self._pending_submissions[job.job_id] -= 1
                self._pending_submissions += Counter()
            if refusal_status is not None:
                return JobAnswer(status=refusal_status, leader=self._leader())
        record = leadership.accept_job(job)
        self._group.wake_sessions()
        if not await self._wait_until_committed(leadership, record, 1):
            return JobAnswer(status=UNSURE)
        if not record.is_finished:
            self._execution.job_accepted(record)
        if not is_known:
            self._log.write(
                Event.JOB_ACCEPTED,
                job=job.job_id,
                items=len(job.items),
                epoch=leadership.epoch,
                objective_s=job.objective_s,
                submission=record.submission,
            )
        return JobAnswer(status=DONE, submission=record.submission)

    async def _refusal_reason(
        self, leadership: JobLeadership, message: SubmitJob
    ) -> JobStatus | None:
        """Return the status that refuses a new job, or None to accept it.

        Checks the regions of the disks again at the end, because the set of disks may change while
        other groups are asked.
        """
        job = message.job
        self._restrict_residence(job)
        if not self._disks_allow(job):
            return self._refuse_outside_residence(job)
        other_status = await self._status_in_other_groups(message)
        if other_status is not None:
            return other_status
        if not await self._is_within_token_limit(leadership, job):
            # A former leader has an outdated count of waiting tokens and must not refuse by it.
            return REFUSED if await self._confirm_leadership() else self._unconfirmed_status()
        return None if self._disks_allow(job) else self._refuse_outside_residence(job)

    def _restrict_residence(self, job: RequestJob) -> None:
        """Intersect a job's residence with the one that this node's configuration gives."""
        configuration = self._configuration()
        if configuration is None:
            return
        self._had_restricted_residence |= configuration.restricts_residence
        route = configuration.route_for(job.host, job.path)
        if route is None:
            return
        allowed = residence_from_message(job).intersect(
            configuration.residence_of(route, job.tenant)
        )
        message = residence_to_message(allowed)
        if message is not None:
            job.residence.CopyFrom(message)

    def _disks_allow(self, job: RequestJob) -> bool:
        residence = residence_from_message(job)
        return all_in_residence(self._group.disks, residence, self._region_of)

    def _refuse_outside_residence(self, job: RequestJob) -> JobStatus:
        residence = residence_from_message(job)
        self._log.write(
            Event.JOB_REFUSED,
            job=job.job_id,
            tenant=job.tenant,
            cause="outside_residence",
            regions=sorted(residence.regions or ()),
            disks={disk: self._region_of(disk) for disk in sorted(self._group.disks)},
        )
        return OUTSIDE_RESIDENCE

    async def _status_in_other_groups(self, message: SubmitJob) -> JobStatus | None:
        """Return the status for a job that another group has or may have, else None.

        A resubmission reaches a different group if the residence of its route or tenant, or the set
        of eligible groups, has changed since the first submission. All other groups are therefore
        asked for the job id, if any residence is or was restricted since this process started or
        the gateway reports a recent change. If a group does not answer, the job is refused only if
        its gateway reports such a change; otherwise an unreachable region would block submissions
        in all other regions.

        Limitation: a job may be accepted twice if gateway and leader both started after the change
        and the group that has the job does not answer.
        """
        if not (self._had_restricted_residence or message.moved):
            return None
        status = await self._other_groups.job_status(message.job)
        if status is DONE:
            return DONE
        return MAYBE_ELSEWHERE if status is UNSURE and message.moved else None

    async def read_results(self, message: ReadResults) -> ResultPage:
        """Return the results from a position; waits up to ``wait_ms`` for the first one."""
        deadline = monotonic() + message.wait_ms / 1000
        while True:
            if not await self._confirm_leadership():
                return ResultPage(status=self._unconfirmed_status(), leader=self._leader())
            leadership = self._group.leadership
            record = self._visible_job(leadership, message.job_id, message.tenant)
            if leadership is None or record is None:
                status = self._missing_status(leadership, message.job_id, message.tenant)
                return ResultPage(status=status, leader=self._leader())
            if not _is_named(record, message.submission):
                return ResultPage(status=OTHER_SUBMISSION, submission=record.submission)
            results = leadership.committed_results(message.job_id, message.after)
            left_s = deadline - monotonic()
            if results or left_s <= 0 or record.ended or message.after >= len(record.job.items):
                return _result_page(record, results)
            await self._group.wait_for_progress(left_s)

    async def read_item_body(self, message: ReadItemBody) -> ItemBody:
        """Return the request body of an item."""
        if not await self._confirm_leadership():
            return ItemBody(status=self._unconfirmed_status(), leader=self._leader())
        leadership = self._group.leadership
        record = self._visible_job(leadership, message.job_id, message.tenant)
        if record is None:
            status = self._missing_status(leadership, message.job_id, message.tenant)
            return ItemBody(status=status)
        for item in record.job.items:
            if item.item_id == message.item_id:
                return ItemBody(status=DONE, body=item.body)
        return ItemBody(status=NOT_FOUND)

    async def cancel(self, message: EndJob) -> JobAnswer:
        """Cancel a job; none of its items is sent to a back end afterwards."""
        if not await self._confirm_leadership():
            return JobAnswer(status=self._unconfirmed_status(), leader=self._leader())
        leadership = self._group.leadership
        if leadership is None:
            return JobAnswer(status=NOT_LEADING, leader=self._leader())
        known_job = leadership.jobs.get(message.job_id)
        if known_job is None or not _belongs_to(known_job.job, message.tenant):
            # A job whose submission is pending is not reported as missing: it would run although
            # its caller cancelled it.
            status = self._missing_status(leadership, message.job_id, message.tenant)
            return JobAnswer(status=status, leader=self._leader())
        if not _is_named(known_job, message.submission):
            return JobAnswer(status=OTHER_SUBMISSION, submission=known_job.submission)
        record = leadership.end_job(message.job_id)
        assert record is not None
        self._execution.job_cancelled(message.job_id)
        self._group.wake_sessions()
        if not await self._wait_until_committed(leadership, record, record.version):
            return JobAnswer(status=UNSURE)
        self._log.write(Event.JOB_ENDED, job=message.job_id, results=len(record.results))
        return JobAnswer(status=DONE, submission=record.submission)

    def count_waiting_tokens(self, message: CountWaitingTokens) -> WaitingTokens:
        """Report the waiting tokens of a tenant and route to the leader of another group."""
        leadership = self._group.leadership
        configuration = self._configuration()
        if leadership is None or configuration is None:
            return WaitingTokens(status=NOT_LEADING, leader=self._leader())
        route = configuration.route_for(message.host, message.path)
        tokens = 0
        if route is not None:
            tokens = self._waiting_tokens(leadership, configuration, route, message.tenant)
        return WaitingTokens(status=DONE, tokens=tokens)

    async def _is_within_token_limit(self, leadership: JobLeadership, job: RequestJob) -> bool:
        """Whether a new job fits the limit on waiting tokens of its tenant and route.

        The limit covers all groups. Jobs submitted to several groups at the same time may together
        exceed it.
        """
        configuration = self._configuration()
        if configuration is None:
            return True
        route = configuration.route_for(job.host, job.path)
        if route is None or not route.max_waiting_tokens:
            return True
        limit = route.max_waiting_tokens
        elsewhere = await self._other_groups.waiting_tokens(job, limit)
        here = self._waiting_tokens(leadership, configuration, route, job.tenant)
        waiting = elsewhere + here
        tokens = sum(item.tokens for item in job.items)
        if waiting + tokens <= limit:
            return True
        self._log.write(
            Event.JOB_REFUSED,
            job=job.job_id,
            route=route.name,
            tenant=job.tenant,
            tokens=tokens,
            waiting=waiting,
            elsewhere=elsewhere,
            limit=limit,
            configuration=configuration.version,
        )
        return False

    def _waiting_tokens(
        self,
        leadership: JobLeadership,
        configuration: ServingConfiguration,
        route: Route,
        tenant: str,
    ) -> int:
        return sum(
            record.waiting_tokens
            for record in leadership.jobs.values()
            if record.job.tenant == tenant
            and configuration.route_for(record.job.host, record.job.path) is route
        )

    async def _wait_until_committed(
        self, leadership: JobLeadership, record: ReplicatedJob, version: int
    ) -> bool:
        job_id = record.job.job_id
        deadline = monotonic() + WRITE_TIMEOUT_S
        while leadership.committed_version(job_id) < version:
            left_s = deadline - monotonic()
            is_deleted = leadership.jobs.get(job_id) is not record
            if left_s <= 0 or is_deleted or self._group.leadership is not leadership:
                return False
            await self._group.wait_for_progress(left_s)
        return True

    async def _confirm_leadership(self) -> bool:
        """Whether this node's leadership is confirmed; waits briefly for a confirmation."""
        deadline = monotonic() + CONFIRMATION_TIMEOUT_S
        while not self._group.may_answer_reads:
            if self._group.leadership is None or self._group.may_have_successor:
                return False
            if monotonic() > deadline:
                return False
            await self._group.wait_for_progress(0.05)
        return True

    def _leader(self) -> str:
        record = self._group.record
        return "" if record is None else record.leader

    def _unconfirmed_status(self) -> JobStatus:
        return NOT_LEADING if self._group.leadership is None else UNSURE

    def _visible_job(
        self, leadership: JobLeadership | None, job_id: str, tenant: str
    ) -> ReplicatedJob | None:
        """Return a committed job that a tenant may see, or None."""
        if leadership is None or leadership.committed_version(job_id) == 0:
            return None
        record = leadership.jobs[job_id]
        return record if _belongs_to(record.job, tenant) else None

    def _missing_status(
        self, leadership: JobLeadership | None, job_id: str, tenant: str
    ) -> JobStatus:
        if leadership is None:
            return NOT_LEADING
        record = leadership.jobs.get(job_id)
        # Both an uncommitted job and a pending submission may still be committed. UNSURE also lets
        # two groups that receive a job at the same time learn of each other.
        if record is None:
            return UNSURE if job_id in self._pending_submissions else NOT_FOUND
        return UNSURE if _belongs_to(record.job, tenant) else NOT_FOUND


def _belongs_to(job: RequestJob, tenant: str) -> bool:
    """Whether a tenant may see a job; a job without a tenant is visible to everyone.

    Args:
        job: the job.
        tenant: tenant of the caller; '' if callers need no API key.
    """
    return not tenant or job.tenant in ("", tenant)


def _is_named(record: ReplicatedJob, submission: int) -> bool:
    """Whether a caller names a job's submission, or none."""
    return submission in (NO_SUBMISSION, record.submission)


def _result_page(record: ReplicatedJob, results: list[ItemOutcome]) -> ResultPage:
    page = ResultPage(status=DONE, total=len(record.job.items), submission=record.submission)
    size = 0
    for outcome in results:
        size += outcome.ByteSize()
        if page.results and size > MAX_PAGE_BYTES:
            break
        page.results.append(outcome)
    return page
