"""The groups and nodes to which a gateway sends jobs and lookups, by residence."""

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
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_monotonic
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_client import JobCallFailure, JobClient
from wharfcart.storage.job_residence import hash_to_group, pick_group

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


class GroupLeaders:
    """Leaders of four groups; one group may have the job, some leaders may be unreachable."""

    def __init__(
        self, group_with_job: int | None = None, unreachable: tuple[str, ...] = ()
    ) -> None:
        self.group_with_job = group_with_job
        self.unreachable = unreachable
        self.hint = ""
        self.calls: list[tuple[str, int]] = []
        self.records = {
            group: GroupRecord(1, members[0], frozenset(members))
            for group, members in enumerate(MEMBERS)
        }
        self.client = JobClient(
            self, lambda: 4, self.records.get, ADDRESSES.get, lambda disk: REGIONS.get(disk[0])
        )

    async def call(self, address: Address, frame: Frame) -> Frame:
        if address.host in self.unreachable:
            raise PeerUnreachableError(address, sent=False)
        if frame.WhichOneof("body") == "submit_job":
            self.calls.append((address.host, frame.submit_job.group))
            if self.hint:
                return Frame(job_answer=JobAnswer(status=NOT_LEADING, leader=self.hint))
            return Frame(job_answer=JobAnswer(status=DONE))
        group = frame.read_results.group
        self.calls.append((address.host, group))
        status = DONE if group == self.group_with_job else NOT_FOUND
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


def test_a_job_goes_to_a_group_with_all_disks_in_its_regions() -> None:
    async def scenario() -> None:
        leaders = GroupLeaders()
        for n in range(40):
            assert isinstance(await leaders.submit(f"job-{n}", WEST), Frame)
        assert set(leaders.calls) == {("w1", 0), ("w2", 1)}

    run_in_virtual_time(scenario())


def test_a_job_without_an_eligible_group_is_refused_at_once() -> None:
    async def scenario() -> None:
        leaders = GroupLeaders()
        for residence in (residence_in(["south"]), WEST.intersect(EAST)):
            refused = await leaders.submit("a", residence)
            assert refused == JobCallFailure(False, "outside_residence")
        assert virtual_monotonic() == 0.0
        assert leaders.calls == []

    run_in_virtual_time(scenario())


def test_a_job_is_not_sent_to_a_hinted_leader_outside_its_residence() -> None:
    async def scenario() -> None:
        leaders = GroupLeaders()
        leaders.hint = "e3"
        refused = await leaders.submit("a", EAST.intersect(EAST))
        leaders.hint = "w1"
        refused = await leaders.submit("a", EAST)
        assert refused == JobCallFailure(False, "outside_residence")
        assert {host[0] for host, _ in leaders.calls} == {"e"}

    run_in_virtual_time(scenario())


def test_a_job_is_looked_up_in_the_group_its_id_hashes_to_for_each_residence() -> None:
    async def scenario() -> None:
        east = pick_group("a", (2,))
        leaders = GroupLeaders(group_with_job=east)
        assert status(await leaders.read("a", EAST)) == DONE
        assert leaders.calls == [("e1", east)]
        leaders = GroupLeaders(group_with_job=hash_to_group("a", 4))
        assert status(await leaders.read("a")) == DONE
        assert len(leaders.calls) == 1

    run_in_virtual_time(scenario())


@pytest.mark.parametrize("group", [0, 1, 3])
def test_a_job_from_before_a_change_is_found_at_another_group(group: int) -> None:
    async def scenario() -> None:
        leaders = GroupLeaders(group_with_job=group)
        assert status(await leaders.read("a", EAST)) == DONE
        assert status(await leaders.read("a", residence_in(["south"]))) == DONE

    run_in_virtual_time(scenario())


def test_not_found_requires_an_answer_of_every_group() -> None:
    async def scenario() -> None:
        leaders = GroupLeaders()
        assert status(await leaders.read("a", EAST, ANYWHERE)) == NOT_FOUND
        assert {group for _, group in leaders.calls} == {0, 1, 2, 3}
        leaders = GroupLeaders(unreachable=("w1",))
        assert isinstance(await leaders.read("a", EAST), JobCallFailure)

    run_in_virtual_time(scenario())


def test_a_job_is_found_while_other_groups_are_unreachable() -> None:
    async def scenario() -> None:
        leaders = GroupLeaders(group_with_job=3, unreachable=("w1", "w2"))
        assert status(await leaders.read("a", EAST)) == DONE

    run_in_virtual_time(scenario())
