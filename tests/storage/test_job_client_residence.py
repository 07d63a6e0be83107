"""To which groups and nodes a gateway sends a job's body, and where it looks for a job."""

from collections.abc import Iterator
from unittest import mock

import pytest

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    DONE,
    NOT_FOUND,
    NOT_LEADING,
    Frame,
    JobAnswer,
    ReadResults,
    RequestJob,
    ResultPage,
    SubmitJob,
)
from wharfcart.cluster.topology import RegionName
from wharfcart.cluster.transport import PeerUnreachableError
from wharfcart.configuration.residence import ANYWHERE, Residence, residence_in
from wharfcart.experiments.virtual_time import run_virtually, virtual_monotonic
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_client import JobCallFailure, JobClient
from wharfcart.storage.job_residence import group_of, pick_group

WEST, EAST = residence_in(["west"]), residence_in(["east"])
REGIONS = {"w": RegionName("west"), "e": RegionName("east")}
DISKS = ("w1", "w2", "w3", "e1", "e2", "e3")
ADDRESSES = {disk: Address(disk, 1) for disk in DISKS}
# Two groups in the west, one in the east, one over both.
MEMBERS = (("w1", "w2"), ("w2", "w3"), ("e1", "e2"), ("e3", "w3"))


@pytest.fixture(autouse=True)
def virtual_clock() -> Iterator[None]:
    with mock.patch("wharfcart.storage.job_client.monotonic", virtual_monotonic):
        yield


class Leaders:
    """Leaders of four groups, some of which have a job and some of which are gone."""

    def __init__(self, having: int | None = None, gone: tuple[str, ...] = ()) -> None:
        self.having = having
        self.gone = gone
        self.hint = ""
        self.asked: list[tuple[str, int]] = []
        self.records = {
            group: GroupRecord(1, members[0], frozenset(members))
            for group, members in enumerate(MEMBERS)
        }
        self.client = JobClient(
            self, lambda: 4, self.records.get, ADDRESSES.get, lambda disk: REGIONS.get(disk[0])
        )

    async def call(self, address: Address, frame: Frame) -> Frame:
        if address.host in self.gone:
            raise PeerUnreachableError(address, sent=False)
        if frame.WhichOneof("body") == "submit_job":
            self.asked.append((address.host, frame.submit_job.group))
            if self.hint:
                return Frame(job_answer=JobAnswer(status=NOT_LEADING, leader=self.hint))
            return Frame(job_answer=JobAnswer(status=DONE))
        group = frame.read_results.group
        self.asked.append((address.host, group))
        status = DONE if group == self.having else NOT_FOUND
        return Frame(result_page=ResultPage(status=status))

    def drop(self, _address: Address) -> None:
        return

    def round_trip_s(self, _address: Address) -> float:
        return 0.0

    async def submit(self, job_id: str, residence: Residence) -> Frame | JobCallFailure:
        frame = Frame(submit_job=SubmitJob(job=RequestJob(job_id=job_id)))
        return await self.client.call(job_id, frame, "job_answer", 3.0, 2.0, residence)

    async def read(self, job_id: str, *residences: Residence) -> Frame | JobCallFailure:
        frame = Frame(read_results=ReadResults(job_id=job_id))
        return await self.client.find(job_id, frame, "result_page", 1.2, 0.7, residences)


def status(answer: Frame | JobCallFailure) -> int:
    assert isinstance(answer, Frame)
    return answer.result_page.status


def test_a_job_goes_to_groups_all_of_whose_disks_are_in_its_regions() -> None:
    async def scenario() -> None:
        leaders = Leaders()
        for n in range(40):
            assert isinstance(await leaders.submit(f"job-{n}", WEST), Frame)
        assert set(leaders.asked) == {("w1", 0), ("w2", 1)}

    run_virtually(scenario())


def test_a_job_that_no_group_may_hold_is_refused_at_once_and_sent_nowhere() -> None:
    async def scenario() -> None:
        leaders = Leaders()
        for residence in (residence_in(["south"]), WEST.intersect(EAST)):
            refused = await leaders.submit("a", residence)
            assert refused == JobCallFailure(False, "outside_residence")
        assert virtual_monotonic() == 0.0
        assert leaders.asked == []

    run_virtually(scenario())


def test_a_body_is_sent_to_no_leader_elsewhere_whoever_says_that_it_leads() -> None:
    async def scenario() -> None:
        leaders = Leaders()
        leaders.hint = "e3"
        refused = await leaders.submit("a", EAST.intersect(EAST))
        leaders.hint = "w1"
        refused = await leaders.submit("a", EAST)
        assert refused == JobCallFailure(False, "outside_residence")
        assert {host[0] for host, _ in leaders.asked} == {"e"}

    run_virtually(scenario())


def test_a_job_is_looked_for_where_its_id_leads_for_each_residence() -> None:
    async def scenario() -> None:
        east = pick_group("a", (2,))
        leaders = Leaders(having=east)
        assert status(await leaders.read("a", EAST)) == DONE
        assert leaders.asked == [("e1", east)]
        leaders = Leaders(having=group_of("a", 4))
        assert status(await leaders.read("a")) == DONE
        assert len(leaders.asked) == 1

    run_virtually(scenario())


@pytest.mark.parametrize("having", [0, 1, 3])
def test_a_job_from_before_a_change_is_found_at_another_group(having: int) -> None:
    async def scenario() -> None:
        leaders = Leaders(having=having)
        assert status(await leaders.read("a", EAST)) == DONE
        assert status(await leaders.read("a", residence_in(["south"]))) == DONE

    run_virtually(scenario())


def test_there_is_no_such_job_only_if_every_group_says_so() -> None:
    async def scenario() -> None:
        leaders = Leaders()
        assert status(await leaders.read("a", EAST, ANYWHERE)) == NOT_FOUND
        assert {group for _, group in leaders.asked} == {0, 1, 2, 3}
        leaders = Leaders(gone=("w1",))
        assert isinstance(await leaders.read("a", EAST), JobCallFailure)

    run_virtually(scenario())


def test_a_group_that_has_the_job_answers_although_another_one_is_gone() -> None:
    async def scenario() -> None:
        leaders = Leaders(having=3, gone=("w1", "w2"))
        assert status(await leaders.read("a", EAST)) == DONE

    run_virtually(scenario())
