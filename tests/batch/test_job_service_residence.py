"""A leader takes a job only where its data may be, and no job that another group has."""

import asyncio
from types import SimpleNamespace

import pytest

from wharfcart.batch.job_service import JobService, OtherGroups
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


class Group:
    """A group of one replica; more disks may be written to."""

    def __init__(self, *more_disks: str) -> None:
        self.leadership = JobLeadership(1, 1, frozenset({"w1"}))
        self.leadership.add_replica("w1", [])
        self.is_recently_confirmed = True
        self.record = None
        self.disks = frozenset({"w1", *more_disks})

    def wake_sessions(self) -> None:
        self.leadership.record_written("w1", self.leadership.updates_for("w1"))

    async def wait_for_progress(self, _timeout_s: float) -> bool:
        await asyncio.sleep(0)
        return True


class Jobs:
    """A job service before its caller, with the services of other groups."""

    def __init__(
        self,
        *more_disks: str,
        route: Residence = ANYWHERE,
        tenant: Residence = ANYWHERE,
        elsewhere: "tuple[Jobs | None, ...]" = (),
    ) -> None:
        self.group = Group(*more_disks)
        self.elsewhere = elsewhere  # None where the leader does not answer
        self.set_residence(route, tenant)
        execution = SimpleNamespace(job_accepted=lambda _job: None, job_ended=lambda _job: None)
        others = OtherGroups(lambda: list(range(len(self.elsewhere))), self)
        self.service = JobService(
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

    async def call_group(self, group: int, frame: Frame, *_more: object) -> Frame | JobCallFailure:
        """Stand in for the client that calls the leaders of other groups."""
        other = self.elsewhere[group]
        if other is None:
            return JobCallFailure(False, "no_leader")
        page = await other.service.read(frame.read_results)
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


def test_a_leader_takes_a_job_whose_data_may_be_on_all_disks() -> None:
    jobs = Jobs("w2", route=WEST)
    assert asyncio.run(jobs.submit(WEST)) == DONE
    assert jobs.group.leadership.residences == {WEST}


def test_a_disk_elsewhere_has_a_job_refused_that_surely_does_not_run() -> None:
    """It may be a replica, one to come, or a spare that is fed."""
    jobs = Jobs("e1", route=WEST)
    assert asyncio.run(jobs.submit(WEST)) == OUTSIDE_RESIDENCE
    assert jobs.group.leadership.jobs == {}


def test_a_disk_of_no_known_region_has_a_bound_job_refused() -> None:
    assert asyncio.run(Jobs("?", route=WEST).submit(WEST)) == OUTSIDE_RESIDENCE
    assert asyncio.run(Jobs("?").submit()) == DONE


@pytest.mark.parametrize(("route", "tenant"), [(EAST, ANYWHERE), (ANYWHERE, EAST), (EAST, WEST)])
def test_what_the_leader_knows_binds_although_its_gateway_is_behind(
    route: Residence, tenant: Residence
) -> None:
    assert asyncio.run(Jobs(route=route, tenant=tenant).submit()) == OUTSIDE_RESIDENCE


def test_what_the_gateway_knows_binds_although_the_leader_is_behind() -> None:
    assert asyncio.run(Jobs().submit(EAST)) == OUTSIDE_RESIDENCE


def test_a_set_that_changes_while_other_groups_are_asked_is_seen() -> None:
    async def scenario() -> None:
        other = Jobs()
        jobs = Jobs(route=WEST, elsewhere=(other,))
        ask = jobs.call_group

        async def ask_and_change(*more: object) -> Frame | JobCallFailure:
            jobs.group.disks |= {"e1"}
            return await ask(*more)

        jobs.call_group = ask_and_change
        assert await jobs.submit(WEST) == OUTSIDE_RESIDENCE

    asyncio.run(scenario())


def test_a_submission_that_is_sent_again_after_a_change_is_not_taken_twice() -> None:
    async def scenario() -> None:
        first = Jobs()
        assert await first.submit() == DONE
        second = Jobs(route=WEST, elsewhere=(Jobs(), first))
        assert await second.submit(WEST) == DONE
        assert second.group.leadership.jobs == {}
        assert await second.submit(WEST, job_id="b") == DONE
        assert list(second.group.leadership.jobs) == ["b"]

    asyncio.run(scenario())


def test_other_groups_are_asked_after_the_last_residence_was_taken_away() -> None:
    async def scenario() -> None:
        first = Jobs(route=WEST)
        assert await first.submit(WEST) == DONE
        second = Jobs(route=WEST, elsewhere=(first,))
        assert await second.submit(WEST, job_id="b") == DONE
        second.set_residence(ANYWHERE)
        assert await second.submit() == DONE
        assert list(second.group.leadership.jobs) == ["b"]

    asyncio.run(scenario())


def test_a_group_that_does_not_answer_stops_only_jobs_that_may_be_there() -> None:
    async def scenario() -> None:
        jobs = Jobs(route=WEST, elsewhere=(None,))
        assert await jobs.submit(WEST, moved=True) == MAYBE_ELSEWHERE
        assert jobs.group.leadership.jobs == {}
        assert await jobs.submit(WEST) == DONE

    asyncio.run(scenario())


def test_where_nothing_is_bound_no_other_group_is_asked() -> None:
    assert asyncio.run(Jobs(elsewhere=(None,)).submit()) == DONE


def test_of_two_groups_that_take_a_job_at_once_neither_says_that_it_has_none() -> None:
    async def scenario() -> None:
        one, two = Jobs(route=WEST), Jobs(route=WEST)
        one.elsewhere, two.elsewhere = (two,), (one,)
        ask = one.call_group

        async def ask_while_the_other_takes_it(*more: object) -> Frame | JobCallFailure:
            assert await two.submit(WEST, moved=True) == MAYBE_ELSEWHERE
            return await ask(*more)

        one.call_group = ask_while_the_other_takes_it
        assert await one.submit(WEST, moved=True) == DONE
        assert list(one.group.leadership.jobs) == ["a"]
        assert two.group.leadership.jobs == {}
        page = await two.service.read(ReadResults(job_id="a", tenant="t"))
        assert page.status == NOT_FOUND

    asyncio.run(scenario())
