"""Job group service: residence of jobs, and jobs that another group already has."""

import asyncio
from types import SimpleNamespace

import pytest

from wharfcart.batch.job_service import JobGroupService, OtherGroups
from wharfcart.cluster.messages_pb2 import (
    DONE,
    MAYBE_ELSEWHERE,
    NOT_FOUND,
    OUTSIDE_RESIDENCE,
    UNSURE,
    Frame,
    JobStatus,
    ReadResults,
    RequestItem,
    RequestJob,
    SubmitJob,
)
from wharfcart.cluster.topology import RegionName
from wharfcart.configuration.residence import (
    ANYWHERE,
    Residence,
    residence_in,
    residence_to_message,
)
from wharfcart.configuration.serving import (
    Route,
    RouteKind,
    ServedTenant,
    ServingConfiguration,
    TenantIndex,
    TrafficShare,
)
from wharfcart.observability.decisions import DecisionLog
from wharfcart.storage.job_client import JobCallFailure
from wharfcart.storage.job_leadership import JobLeadership

WEST, EAST = residence_in(["west"]), residence_in(["east"])
REGIONS = {"w": RegionName("west"), "e": RegionName("east")}


class SingleReplicaGroup:
    """A group of one replica, optionally with more disks."""

    def __init__(self, *more_disks: str) -> None:
        self.leadership = JobLeadership(1, 1, frozenset({"w1"}))
        self.leadership.add_replica("w1", [])
        self.may_answer_reads = True
        self.may_have_successor = False
        self.record = None
        self.disks = frozenset({"w1", *more_disks})

    def wake_sessions(self) -> None:
        self.leadership.record_written("w1", self.leadership.updates_for("w1"))

    async def wait_for_progress(self, _timeout_s: float) -> bool:
        await asyncio.sleep(0)
        return True


class JobServiceHarness:
    """A job group service that reaches the services of other groups directly."""

    def __init__(
        self,
        *more_disks: str,
        route: Residence = ANYWHERE,
        tenant: Residence = ANYWHERE,
        other_groups: "tuple[JobServiceHarness | None, ...]" = (),
    ) -> None:
        self.group = SingleReplicaGroup(*more_disks)
        self.other_groups = other_groups  # None for an unresponsive leader
        self.set_residence(route, tenant)
        execution = SimpleNamespace(job_accepted=lambda _job: None, job_cancelled=lambda _job: None)
        others = OtherGroups(lambda: list(range(len(self.other_groups))), self)
        self.service = JobGroupService(
            self.group,
            execution,
            lambda: self.configuration,
            others,
            DecisionLog("test"),
            lambda disk: REGIONS.get(disk[0]),
        )

    def set_residence(self, route: Residence, tenant: Residence = ANYWHERE) -> None:
        shares = (TrafficShare("s", 1.0),)
        jobs = Route("jobs", "h", "/jobs/", RouteKind.BATCH, shares, 30.0, 0.4, residence=route)
        tenants = TenantIndex([ServedTenant("t", residence=tenant)])
        self.configuration = ServingConfiguration(1, (jobs,), {}, tenants=tenants)

    async def call_group(
        self, group: int, frame: Frame, *_arguments: object
    ) -> Frame | JobCallFailure:
        """Call another group's service, in place of JobClient."""
        other = self.other_groups[group]
        if other is None:
            return JobCallFailure(False, "no_leader")
        page = await other.service.read_results(frame.read_results)
        if page.status == UNSURE:
            return JobCallFailure(True, "unsure")
        return Frame(result_page=page)

    async def submit(
        self, residence: Residence = ANYWHERE, job_id: str = "a", moved: bool = False
    ) -> JobStatus:
        job = RequestJob(
            job_id=job_id,
            host="h",
            path=f"/jobs/{job_id}",
            items=[RequestItem(item_id="1")],
            tenant="t",
            residence=residence_to_message(residence),
        )
        return (await self.service.submit(SubmitJob(job=job, moved=moved))).status


def test_a_job_is_accepted_if_all_disks_are_in_its_residence() -> None:
    jobs = JobServiceHarness("w2", route=WEST)
    assert asyncio.run(jobs.submit(WEST)) == DONE
    assert jobs.group.leadership.residences == {WEST}


def test_a_job_is_refused_if_a_disk_is_outside_its_residence() -> None:
    """The disk may be a current replica, a future one or a spare that receives updates."""
    jobs = JobServiceHarness("e1", route=WEST)
    assert asyncio.run(jobs.submit(WEST)) == OUTSIDE_RESIDENCE
    assert jobs.group.leadership.jobs == {}


def test_a_disk_of_unknown_region_is_outside_any_restricted_residence() -> None:
    assert asyncio.run(JobServiceHarness("?", route=WEST).submit(WEST)) == OUTSIDE_RESIDENCE
    assert asyncio.run(JobServiceHarness("?").submit()) == DONE


@pytest.mark.parametrize(("route", "tenant"), [(EAST, ANYWHERE), (ANYWHERE, EAST), (EAST, WEST)])
def test_the_leaders_configuration_applies_if_the_gateway_is_behind(
    route: Residence, tenant: Residence
) -> None:
    assert asyncio.run(JobServiceHarness(route=route, tenant=tenant).submit()) == OUTSIDE_RESIDENCE


def test_the_gateways_residence_applies_if_the_leader_is_behind() -> None:
    assert asyncio.run(JobServiceHarness().submit(EAST)) == OUTSIDE_RESIDENCE


def test_a_disk_added_while_other_groups_are_asked_is_checked() -> None:
    async def scenario() -> None:
        other = JobServiceHarness()
        jobs = JobServiceHarness(route=WEST, other_groups=(other,))
        original_call = jobs.call_group

        async def add_disk_and_call(*arguments: object) -> Frame | JobCallFailure:
            jobs.group.disks |= {"e1"}
            return await original_call(*arguments)

        jobs.call_group = add_disk_and_call
        assert await jobs.submit(WEST) == OUTSIDE_RESIDENCE

    asyncio.run(scenario())


def test_a_resubmission_after_a_residence_change_is_not_accepted_twice() -> None:
    async def scenario() -> None:
        first = JobServiceHarness()
        assert await first.submit() == DONE
        second = JobServiceHarness(route=WEST, other_groups=(JobServiceHarness(), first))
        assert await second.submit(WEST) == DONE
        assert second.group.leadership.jobs == {}
        assert await second.submit(WEST, job_id="b") == DONE
        assert list(second.group.leadership.jobs) == ["b"]

    asyncio.run(scenario())


def test_other_groups_are_asked_after_the_last_restriction_is_removed() -> None:
    async def scenario() -> None:
        first = JobServiceHarness(route=WEST)
        assert await first.submit(WEST) == DONE
        second = JobServiceHarness(route=WEST, other_groups=(first,))
        assert await second.submit(WEST, job_id="b") == DONE
        second.set_residence(ANYWHERE)
        assert await second.submit() == DONE
        assert list(second.group.leadership.jobs) == ["b"]

    asyncio.run(scenario())


def test_an_unresponsive_group_blocks_only_jobs_that_it_may_have() -> None:
    async def scenario() -> None:
        jobs = JobServiceHarness(route=WEST, other_groups=(None,))
        assert await jobs.submit(WEST, moved=True) == MAYBE_ELSEWHERE
        assert jobs.group.leadership.jobs == {}
        assert await jobs.submit(WEST) == DONE

    asyncio.run(scenario())


def test_without_restrictions_no_other_group_is_asked() -> None:
    assert asyncio.run(JobServiceHarness(other_groups=(None,)).submit()) == DONE


def test_concurrent_submissions_of_one_job_to_two_groups_are_accepted_once() -> None:
    async def scenario() -> None:
        one, two = JobServiceHarness(route=WEST), JobServiceHarness(route=WEST)
        one.other_groups, two.other_groups = (two,), (one,)
        original_call = one.call_group

        async def submit_to_other_and_call(*arguments: object) -> Frame | JobCallFailure:
            assert await two.submit(WEST, moved=True) == MAYBE_ELSEWHERE
            return await original_call(*arguments)

        one.call_group = submit_to_other_and_call
        assert await one.submit(WEST, moved=True) == DONE
        assert list(one.group.leadership.jobs) == ["a"]
        assert two.group.leadership.jobs == {}
        page = await two.service.read_results(ReadResults(job_id="a", tenant="t"))
        assert page.status == NOT_FOUND

    asyncio.run(scenario())
