"""Job group service: token limit of a route, visibility to tenants, cancellation."""

import asyncio
from types import SimpleNamespace

from wharfcart.batch.job_service import JobGroupService, OtherGroups
from wharfcart.cluster.messages_pb2 import (
    DONE,
    NOT_FOUND,
    NOT_LEADING,
    OTHER_SUBMISSION,
    REFUSED,
    TAKEN,
    UNSURE,
    EndJob,
    Frame,
    ItemOutcome,
    JobStatus,
    ReadItemBody,
    ReadResults,
    RequestItem,
    RequestJob,
    SubmitJob,
)
from wharfcart.configuration.serving import Route, RouteKind, ServingConfiguration, TrafficShare
from wharfcart.observability.decisions import DecisionLog
from wharfcart.storage.job_client import JobCallFailure
from wharfcart.storage.job_leadership import JobLeadership

MEMBERS = frozenset({"a"})


class SingleReplicaGroup:
    """A group of one replica that writes at once."""

    def __init__(self) -> None:
        self.leadership: JobLeadership | None = JobLeadership(1, 1, MEMBERS)
        self.leadership.add_replica("a", [])
        self.may_answer_reads = True
        self.may_have_successor = False
        self.record = None
        self.disks = MEMBERS

    def wake_sessions(self) -> None:
        assert self.leadership is not None
        self.leadership.record_written("a", self.leadership.updates_for("a"))

    async def wait_for_progress(self, _timeout_s: float) -> bool:
        await asyncio.sleep(0)
        return True


def configuration(limit: int) -> ServingConfiguration:
    shares = (TrafficShare("s", 1.0),)
    routes = tuple(
        Route(
            name,
            "h",
            f"/{name}/",
            RouteKind.BATCH,
            shares,
            30.0,
            0.4,
            max_waiting_tokens=limit if name == "jobs" else 0,
        )
        for name in ("jobs", "other")
    )
    return ServingConfiguration(1, routes, {})


class JobServiceHarness:
    """A job group service that reaches the services of other groups directly."""

    def __init__(
        self, limit: int, other_groups: "list[JobServiceHarness | None] | None" = None
    ) -> None:
        self.group = SingleReplicaGroup()
        self.other_groups = other_groups or []  # None for an unresponsive leader
        execution = SimpleNamespace(job_accepted=lambda _job: None, job_cancelled=lambda _job: None)
        others = OtherGroups(lambda: list(range(len(self.other_groups))), self)
        self.service = JobGroupService(
            self.group, execution, lambda: configuration(limit), others, DecisionLog("test")
        )

    async def call_group(
        self, group: int, frame: Frame, *_arguments: object
    ) -> Frame | JobCallFailure:
        """Call another group's service, in place of JobClient."""
        other = self.other_groups[group]
        if other is None:
            return JobCallFailure(False, "no_leader")
        return Frame(waiting_tokens=other.service.count_waiting_tokens(frame.count_waiting_tokens))

    def submit(self, job_id: str, tokens: int, route: str = "jobs", tenant: str = "") -> JobStatus:
        items = [RequestItem(item_id=f"{job_id}-{n}", tokens=tokens // 2) for n in range(2)]
        job = RequestJob(
            job_id=job_id, host="h", path=f"/{route}/{job_id}", items=items, tenant=tenant
        )
        return asyncio.run(self.service.submit(SubmitJob(job=job))).status


def test_a_job_over_the_token_limit_is_refused() -> None:
    jobs = JobServiceHarness(100)
    assert jobs.submit("a", 60) == DONE
    assert jobs.submit("b", 60) == REFUSED
    assert jobs.submit("c", 40) == DONE


def test_a_repeated_submission_is_not_counted_twice() -> None:
    jobs = JobServiceHarness(100)
    assert jobs.submit("a", 100) == DONE
    assert jobs.submit("a", 100) == DONE


def test_results_and_cancelled_jobs_free_waiting_tokens() -> None:
    jobs = JobServiceHarness(100)
    jobs.submit("a", 60)
    jobs.submit("b", 40)
    jobs.group.leadership.append_result("a", ItemOutcome(item_id="a-0", succeeded=True))
    assert jobs.submit("c", 30) == DONE
    asyncio.run(jobs.service.cancel(EndJob(job_id="b")))
    assert jobs.submit("d", 40) == DONE


def test_the_limit_of_a_route_does_not_apply_to_other_routes() -> None:
    jobs = JobServiceHarness(100)
    jobs.submit("a", 100)
    assert jobs.submit("b", 1000, route="other") == DONE
    assert JobServiceHarness(0).submit("a", 10_000_000) == DONE


def test_the_token_limit_holds_over_all_groups() -> None:
    other = JobServiceHarness(100)
    assert other.submit("a", 60) == DONE
    jobs = JobServiceHarness(100, other_groups=[other, JobServiceHarness(100)])
    assert jobs.submit("b", 50) == REFUSED
    assert jobs.submit("c", 40) == DONE
    other.group.leadership.append_result("a", ItemOutcome(item_id="a-0", succeeded=True))
    assert jobs.submit("d", 30) == DONE


def test_an_unresponsive_group_counts_as_its_share_of_the_limit() -> None:
    jobs = JobServiceHarness(100, other_groups=[None])
    assert jobs.submit("a", 60) == REFUSED
    assert jobs.submit("b", 50) == DONE


def test_a_group_without_a_leader_counts_as_its_share_of_the_limit() -> None:
    other = JobServiceHarness(100)
    other.group.leadership = None
    jobs = JobServiceHarness(100, other_groups=[other])
    assert jobs.submit("a", 60) == REFUSED
    assert jobs.submit("b", 50) == DONE


def test_a_node_that_lost_leadership_does_not_refuse_for_the_token_limit() -> None:
    jobs = JobServiceHarness(100)
    jobs.submit("a", 100)
    jobs.group.leadership = None
    assert jobs.submit("b", 60) == NOT_LEADING


def test_each_tenant_has_the_limit_for_itself_over_all_groups() -> None:
    other = JobServiceHarness(100)
    assert other.submit("a", 60, tenant="t") == DONE
    jobs = JobServiceHarness(100, other_groups=[other])
    assert jobs.submit("b", 50, tenant="t") == REFUSED
    assert jobs.submit("c", 90, tenant="u") == DONE
    assert jobs.submit("d", 40, tenant="t") == DONE


def statuses_for_tenant(jobs: JobServiceHarness, tenant: str) -> list[JobStatus]:
    """Return the statuses of reading, reading a body, cancelling and resubmitting job ``a``."""
    service = jobs.service
    return [
        asyncio.run(service.read_results(ReadResults(job_id="a", tenant=tenant))).status,
        asyncio.run(
            service.read_item_body(ReadItemBody(job_id="a", item_id="a-0", tenant=tenant))
        ).status,
        asyncio.run(service.cancel(EndJob(job_id="a", tenant=tenant))).status,
        jobs.submit("a", 10, tenant=tenant),
    ]


def test_a_job_does_not_exist_for_another_tenant() -> None:
    jobs = JobServiceHarness(0)
    assert jobs.submit("a", 10, tenant="t") == DONE
    assert statuses_for_tenant(jobs, "u") == [NOT_FOUND, NOT_FOUND, NOT_FOUND, TAKEN]
    assert not jobs.group.leadership.jobs["a"].ended
    assert statuses_for_tenant(jobs, "t") == [DONE] * 4


def test_a_job_without_a_tenant_is_visible_to_every_tenant() -> None:
    jobs = JobServiceHarness(0)
    assert jobs.submit("a", 10) == DONE
    assert statuses_for_tenant(jobs, "t") == [DONE] * 4


def test_without_api_keys_jobs_of_all_tenants_are_visible() -> None:
    jobs = JobServiceHarness(0)
    assert jobs.submit("a", 10, tenant="t") == DONE
    assert statuses_for_tenant(jobs, "") == [DONE] * 4


def test_cancelling_a_job_during_its_submission_is_unsure() -> None:
    """Guards against NOT_FOUND for a cancelled job that is accepted and runs afterwards."""

    async def scenario() -> tuple[JobStatus, JobStatus]:
        other_groups_called = asyncio.Event()
        may_answer = asyncio.Event()

        class SlowHarness(JobServiceHarness):
            async def call_group(self, *_arguments: object) -> Frame | JobCallFailure:
                other_groups_called.set()
                await may_answer.wait()
                return JobCallFailure(False, "no_leader")

        jobs = SlowHarness(100, other_groups=[None])
        job = RequestJob(job_id="a", host="h", path="/jobs/a", items=[RequestItem(item_id="1")])
        submission = asyncio.create_task(jobs.service.submit(SubmitJob(job=job)))
        await other_groups_called.wait()
        status_during_submission = (await jobs.service.cancel(EndJob(job_id="a"))).status
        may_answer.set()
        await submission
        return status_during_submission, (await jobs.service.cancel(EndJob(job_id="a"))).status

    assert asyncio.run(scenario()) == (UNSURE, DONE)
    assert (
        asyncio.run(JobServiceHarness(100).service.cancel(EndJob(job_id="none"))).status
        == NOT_FOUND
    )


def test_repeated_reads_and_cancellations_give_the_same_answer() -> None:
    harness = JobServiceHarness(100)
    harness.submit("a", 10)
    leadership = harness.group.leadership
    assert leadership is not None
    leadership.append_result("a", ItemOutcome(item_id="a-1"))
    harness.group.wake_sessions()

    async def scenario() -> None:
        for after, found in ((0, ["a-1"]), (1, []), (0, ["a-1"]), (7, [])):
            page = await harness.service.read_results(ReadResults(job_id="a", after=after))
            assert (page.status, page.total) == (DONE, 2)
            assert [result.item_id for result in page.results] == found
        for _ in range(2):
            answer = await harness.service.cancel(EndJob(job_id="a"))
            assert answer.status == DONE
        other = await harness.service.cancel(EndJob(job_id="b"))
        assert other.status == NOT_FOUND

    asyncio.run(scenario())
    assert harness.submit("a", 10) == DONE
    assert leadership.jobs["a"].ended


def test_a_caller_that_names_a_deleted_submission_learns_that_it_is_another() -> None:
    """Guards against a position or a late cancellation that is applied to the next job of an id."""
    harness = JobServiceHarness(100)
    leadership = harness.group.leadership
    assert leadership is not None
    harness.submit("a", 10)
    deleted = leadership.jobs["a"].submission
    leadership.delete_job("a")
    harness.submit("a", 10)
    current = leadership.jobs["a"].submission
    assert current > deleted

    async def scenario() -> None:
        read, cancel = harness.service.read_results, harness.service.cancel
        for submission, status in ((deleted, OTHER_SUBMISSION), (current, DONE), (0, DONE)):
            page = await read(ReadResults(job_id="a", submission=submission))
            assert (page.status, page.submission) == (status, current)
        assert (await cancel(EndJob(job_id="a", submission=deleted))).status == OTHER_SUBMISSION
        assert not leadership.jobs["a"].ended
        assert (await cancel(EndJob(job_id="a", submission=current))).status == DONE
        assert leadership.jobs["a"].ended

    asyncio.run(scenario())
