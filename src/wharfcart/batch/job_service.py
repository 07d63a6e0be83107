"""What gateways ask of a job group's leader: submissions, results, bodies, ends.

A node that does not lead, or can't be sure that it still does, says so; the gateway asks elsewhere.
"""

import asyncio
from collections.abc import Callable
from time import monotonic

from wharfcart.batch.job_execution import JobExecution
from wharfcart.cluster.messages_pb2 import (
    DONE,
    NOT_FOUND,
    NOT_LEADING,
    REFUSED,
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
from wharfcart.configuration.serving import Route, ServingConfiguration
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.storage.job_client import JobCallFailure, JobClient
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.job_leadership import JobLeadership

WRITE_TIMEOUT_S = 3.0
SURE_TIMEOUT_S = 0.8
MOST_PAGE_BYTES = 700_000
# A submission has to be answered within a part of a second; a leader answers in milliseconds.
COUNT_TIMEOUT_S = 0.15


class OtherGroups:
    """What one group's leader asks of the leaders of all other groups.

    Args:
        numbers: the other groups.
        client: calls their leaders.
    """

    def __init__(self, numbers: Callable[[], list[int]], client: JobClient) -> None:
        self._numbers = numbers
        self._client = client

    async def waiting_tokens(self, host: str, path: str, limit: int) -> int:
        """Return the tokens that wait on a route at all other groups.

        A group whose leader does not answer counts as having its equal share of the limit.
        """
        numbers = self._numbers()
        counts = await asyncio.gather(*(self._count(group, host, path) for group in numbers))
        share = limit // (1 + len(numbers))
        return sum(share if count is None else count for count in counts)

    async def _count(self, group: int, host: str, path: str) -> int | None:
        message = CountWaitingTokens(group=group, host=host, path=path)
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


class JobService:
    """Calls on one job group."""

    def __init__(
        self,
        group: JobGroup,
        execution: JobExecution,
        configuration: Callable[[], ServingConfiguration | None],
        others: OtherGroups,
        log: DecisionLog,
    ) -> None:
        self._group = group
        self._execution = execution
        self._configuration = configuration
        self._others = others
        self._log = log

    async def submit(self, message: SubmitJob) -> JobAnswer:
        """Take a job; answered once enough disks have it."""
        leadership = self._group.leadership
        if leadership is None:
            return JobAnswer(status=NOT_LEADING, leader=self._leader())
        job = message.job
        known = job.job_id in leadership.jobs
        if not known and not await self._fits(leadership, job):
            # One that no longer leads would refuse a job by what once waited.
            if not await self._sure():
                return JobAnswer(status=self._unsure_status(), leader=self._leader())
            return JobAnswer(status=REFUSED)
        record = leadership.accept(job)
        self._group.wake_sessions()
        if not await self._counted(leadership, job.job_id, 1):
            return JobAnswer(status=UNSURE)
        if not record.ended and not record.complete:
            self._execution.job_accepted(record.job)
        if not known:
            self._log.write(
                Event.JOB_ACCEPTED,
                job=job.job_id,
                items=len(job.items),
                epoch=leadership.epoch,
                objective_s=job.objective_s,
            )
        return JobAnswer(status=DONE)

    async def read(self, message: ReadResults) -> ResultPage:
        """Return the results from a position on; waits for one if asked to."""
        until = monotonic() + message.wait_ms / 1000
        while True:
            if not await self._sure():
                return ResultPage(status=self._unsure_status(), leader=self._leader())
            leadership = self._group.leadership
            if leadership is None or leadership.counted_version(message.job_id) == 0:
                status = self._missing_status(leadership, message.job_id)
                return ResultPage(status=status, leader=self._leader())
            record = leadership.jobs[message.job_id]
            results = leadership.counted_results(message.job_id, message.after)
            left_s = until - monotonic()
            if results or left_s <= 0 or record.ended or message.after >= len(record.job.items):
                return _page(len(record.job.items), results)
            await self._group.wait_progress(left_s)

    async def read_body(self, message: ReadItemBody) -> ItemBody:
        """Return the body of an item that has no result yet."""
        if not await self._sure():
            return ItemBody(status=self._unsure_status(), leader=self._leader())
        leadership = self._group.leadership
        if leadership is None or leadership.counted_version(message.job_id) == 0:
            return ItemBody(status=self._missing_status(leadership, message.job_id))
        for item in leadership.jobs[message.job_id].job.items:
            if item.item_id == message.item_id:
                return ItemBody(status=DONE, body=item.body)
        return ItemBody(status=NOT_FOUND)

    async def end(self, message: EndJob) -> JobAnswer:
        """End a job; nothing of it is sent to a back end afterwards."""
        if not await self._sure():
            return JobAnswer(status=self._unsure_status(), leader=self._leader())
        leadership = self._group.leadership
        if leadership is None:
            return JobAnswer(status=NOT_LEADING, leader=self._leader())
        record = leadership.end(message.job_id)
        if record is None:
            return JobAnswer(status=NOT_FOUND)
        self._execution.job_ended(message.job_id)
        self._group.wake_sessions()
        if not await self._counted(leadership, message.job_id, record.version):
            return JobAnswer(status=UNSURE)
        self._log.write(Event.JOB_ENDED, job=message.job_id, results=len(record.results))
        return JobAnswer(status=DONE)

    # ---- inner ----

    def count(self, message: CountWaitingTokens) -> WaitingTokens:
        """Tell another leader how many tokens wait here on a route."""
        leadership = self._group.leadership
        configuration = self._configuration()
        if leadership is None or configuration is None:
            return WaitingTokens(status=NOT_LEADING, leader=self._leader())
        route = configuration.route_for(message.host, message.path)
        tokens = 0 if route is None else self._waiting_tokens(leadership, configuration, route)
        return WaitingTokens(status=DONE, tokens=tokens)

    async def _fits(self, leadership: JobLeadership, job: RequestJob) -> bool:
        """Whether a new job keeps the limit of tokens that wait on its route, over all groups.

        Jobs that come to several groups within the time of one call may together exceed it.
        """
        configuration = self._configuration()
        if configuration is None:
            return True
        route = configuration.route_for(job.host, job.path)
        if route is None or not route.most_waiting_tokens:
            return True
        limit = route.most_waiting_tokens
        elsewhere = await self._others.waiting_tokens(job.host, job.path, limit)
        waiting = elsewhere + self._waiting_tokens(leadership, configuration, route)
        tokens = sum(item.tokens for item in job.items)
        if waiting + tokens <= limit:
            return True
        self._log.write(
            Event.JOB_REFUSED,
            job=job.job_id,
            route=route.name,
            tokens=tokens,
            waiting=waiting,
            elsewhere=elsewhere,
            limit=limit,
            configuration=configuration.version,
        )
        return False

    def _waiting_tokens(
        self, leadership: JobLeadership, configuration: ServingConfiguration, route: Route
    ) -> int:
        return sum(
            record.waiting_tokens
            for record in leadership.jobs.values()
            if configuration.route_for(record.job.host, record.job.path) is route
        )

    async def _counted(self, leadership: JobLeadership, job_id: str, version: int) -> bool:
        until = monotonic() + WRITE_TIMEOUT_S
        while leadership.counted_version(job_id) < version:
            left_s = until - monotonic()
            if left_s <= 0 or self._group.leadership is not leadership:
                return False
            await self._group.wait_progress(left_s)
        return True

    async def _sure(self) -> bool:
        """Whether this node surely leads; waits for a confirmation that is about to come."""
        if self._group.leadership is None:
            return False
        until = monotonic() + SURE_TIMEOUT_S
        while not self._group.leads_freshly:
            if monotonic() > until or self._group.leadership is None:
                return False
            await self._group.wait_progress(0.05)
        return True

    def _leader(self) -> str:
        record = self._group.record
        return "" if record is None else record.leader

    def _unsure_status(self) -> JobStatus:
        return NOT_LEADING if self._group.leadership is None else UNSURE

    def _missing_status(self, leadership: JobLeadership | None, job_id: str) -> JobStatus:
        if leadership is None:
            return NOT_LEADING
        # A job that is known but does not count yet may still come to count.
        return UNSURE if job_id in leadership.jobs else NOT_FOUND


def _page(total: int, results: list[ItemOutcome]) -> ResultPage:
    page = ResultPage(status=DONE, total=total)
    size = 0
    for outcome in results:
        size += outcome.ByteSize()
        if page.results and size > MOST_PAGE_BYTES:
            break
        page.results.append(outcome)
    return page
