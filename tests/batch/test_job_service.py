"""The limit of tokens that wait on a route."""

import asyncio
from types import SimpleNamespace

from wharfcart.batch.job_service import JobService, OtherGroups
from wharfcart.cluster.messages_pb2 import (
    DONE,
    NOT_FOUND,
    NOT_LEADING,
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


class Group:
    """A group of one replica, which has everything on its disk at once."""

    def __init__(self) -> None:
        self.leadership: JobLeadership | None = JobLeadership(1, 1, MEMBERS)
        self.leadership.add_replica("a", [])
        self.is_recently_confirmed = True
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
            most_waiting_tokens=limit if name == "jobs" else 0,
        )
        for name in ("jobs", "other")
    )
    return ServingConfiguration(1, routes, {})


class Jobs:
    """A job service before its caller."""

    def __init__(self, limit: int, elsewhere: "list[Jobs | None] | None" = None) -> None:
        self.group = Group()
        self.elsewhere = elsewhere or []  # None where the leader does not answer
        execution = SimpleNamespace(job_accepted=lambda _job: None, job_ended=lambda _job: None)
        others = OtherGroups(lambda: list(range(len(self.elsewhere))), self)
        self.service = JobService(
            self.group, execution, lambda: configuration(limit), others, DecisionLog("test")
        )

    async def call_group(self, group: int, frame: Frame, *_more: object) -> Frame | JobCallFailure:
        """Stand in for the client that calls the leaders of other groups."""
        other = self.elsewhere[group]
        if other is None:
            return JobCallFailure(False, "no_leader")
        return Frame(waiting_tokens=other.service.count(frame.count_waiting_tokens))

    def submit(self, job_id: str, tokens: int, route: str = "jobs", tenant: str = "") -> JobStatus:
        items = [RequestItem(item_id=f"{job_id}-{n}", tokens=tokens // 2) for n in range(2)]
        job = RequestJob(
            job_id=job_id, host="h", path=f"/{route}/{job_id}", items=items, tenant=tenant
        )
        return asyncio.run(self.service.submit(SubmitJob(job=job))).status


def test_a_job_that_does_not_fit_is_refused_and_one_that_does_is_taken() -> None:
    jobs = Jobs(100)
    assert jobs.submit("a", 60) == DONE
    assert jobs.submit("b", 60) == REFUSED
    assert jobs.submit("c", 40) == DONE


def test_a_job_that_comes_again_is_not_counted_twice() -> None:
    jobs = Jobs(100)
    assert jobs.submit("a", 100) == DONE
    assert jobs.submit("a", 100) == DONE


def test_results_and_ends_make_room() -> None:
    jobs = Jobs(100)
    jobs.submit("a", 60)
    jobs.submit("b", 40)
    jobs.group.leadership.append_result("a", ItemOutcome(item_id="a-0", succeeded=True))
    assert jobs.submit("c", 30) == DONE
    asyncio.run(jobs.service.end(EndJob(job_id="b")))
    assert jobs.submit("d", 40) == DONE


def test_another_route_and_no_limit_at_all() -> None:
    jobs = Jobs(100)
    jobs.submit("a", 100)
    assert jobs.submit("b", 1000, route="other") == DONE
    assert Jobs(0).submit("a", 10_000_000) == DONE


def test_a_limit_is_kept_over_all_groups() -> None:
    other = Jobs(100)
    assert other.submit("a", 60) == DONE
    jobs = Jobs(100, elsewhere=[other, Jobs(100)])
    assert jobs.submit("b", 50) == REFUSED
    assert jobs.submit("c", 40) == DONE
    other.group.leadership.append_result("a", ItemOutcome(item_id="a-0", succeeded=True))
    assert jobs.submit("d", 30) == DONE


def test_a_group_that_does_not_answer_counts_with_its_share_of_the_limit() -> None:
    jobs = Jobs(100, elsewhere=[None])
    assert jobs.submit("a", 60) == REFUSED
    assert jobs.submit("b", 50) == DONE


def test_a_group_whose_node_no_longer_leads_counts_with_its_share_too() -> None:
    other = Jobs(100)
    other.group.leadership = None
    jobs = Jobs(100, elsewhere=[other])
    assert jobs.submit("a", 60) == REFUSED
    assert jobs.submit("b", 50) == DONE


def test_a_node_that_may_no_longer_lead_does_not_refuse() -> None:
    jobs = Jobs(100)
    jobs.submit("a", 100)
    jobs.group.leadership = None
    assert jobs.submit("b", 60) == NOT_LEADING


def test_each_tenant_has_the_limit_for_itself_over_all_groups() -> None:
    other = Jobs(100)
    assert other.submit("a", 60, tenant="t") == DONE
    jobs = Jobs(100, elsewhere=[other])
    assert jobs.submit("b", 50, tenant="t") == REFUSED
    assert jobs.submit("c", 90, tenant="u") == DONE
    assert jobs.submit("d", 40, tenant="t") == DONE


def calls(jobs: Jobs, tenant: str) -> list[JobStatus]:
    """Return what a tenant is told of job ``a``: read, body, end, sent again."""
    service = jobs.service
    return [
        asyncio.run(service.read(ReadResults(job_id="a", tenant=tenant))).status,
        asyncio.run(
            service.read_body(ReadItemBody(job_id="a", item_id="a-0", tenant=tenant))
        ).status,
        asyncio.run(service.end(EndJob(job_id="a", tenant=tenant))).status,
        jobs.submit("a", 10, tenant=tenant),
    ]


def test_a_job_does_not_exist_for_another_tenant() -> None:
    jobs = Jobs(0)
    assert jobs.submit("a", 10, tenant="t") == DONE
    assert calls(jobs, "u") == [NOT_FOUND, NOT_FOUND, NOT_FOUND, TAKEN]
    assert not jobs.group.leadership.jobs["a"].ended
    assert calls(jobs, "t") == [DONE] * 4


def test_a_job_from_before_the_fleet_had_tenants_is_anyones() -> None:
    jobs = Jobs(0)
    assert jobs.submit("a", 10) == DONE
    assert calls(jobs, "t") == [DONE] * 4


def test_where_callers_need_no_key_a_tenants_job_is_shown() -> None:
    jobs = Jobs(0)
    assert jobs.submit("a", 10, tenant="t") == DONE
    assert calls(jobs, "") == [DONE] * 4


def test_an_end_does_not_deny_a_job_that_is_being_taken() -> None:
    """Else its caller takes it for unknown, and it runs to its end all the same."""

    async def scenario() -> tuple[JobStatus, JobStatus]:
        others_asked = asyncio.Event()
        answer_now = asyncio.Event()

        class Slow(Jobs):
            async def call_group(self, *_arguments: object) -> Frame | JobCallFailure:
                others_asked.set()
                await answer_now.wait()
                return JobCallFailure(False, "no_leader")

        jobs = Slow(100, elsewhere=[None])
        job = RequestJob(job_id="a", host="h", path="/jobs/a", items=[RequestItem(item_id="1")])
        submission = asyncio.create_task(jobs.service.submit(SubmitJob(job=job)))
        await others_asked.wait()
        while_taken = (await jobs.service.end(EndJob(job_id="a"))).status
        answer_now.set()
        await submission
        return while_taken, (await jobs.service.end(EndJob(job_id="a"))).status

    assert asyncio.run(scenario()) == (UNSURE, DONE)
    assert asyncio.run(Jobs(100).service.end(EndJob(job_id="none"))).status == NOT_FOUND
