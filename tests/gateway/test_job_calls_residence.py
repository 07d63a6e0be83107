"""What a gateway says of a job for its residence: where it sends it, and why it refuses it."""

import asyncio
import json
from types import SimpleNamespace

import pytest

from wharfcart.cluster.messages_pb2 import (
    DONE,
    MAYBE_ELSEWHERE,
    NOT_FOUND,
    OUTSIDE_RESIDENCE,
    Frame,
    JobAnswer,
    ResultPage,
)
from wharfcart.configuration.residence import (
    ANYWHERE,
    Residence,
    residence_from_message,
    residence_in,
)
from wharfcart.configuration.serving import (
    Route,
    RouteKind,
    ServedTenant,
    ServingConfiguration,
    TenantIndex,
    TrafficShare,
)
from wharfcart.gateway.job_calls import JobCallHandlers
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import names
from wharfcart.storage.job_client import JobCallFailure

WEST, EAST, BOTH = residence_in(["west"]), residence_in(["east"]), residence_in(["west", "east"])
ROUTE = Route(
    "jobs", "h", "/jobs/", RouteKind.BATCH, (TrafficShare("s", 1.0),), 30.0, 0.4, residence=BOTH
)
OTHER = Route("other", "h", "/other/", RouteKind.BATCH, ROUTE.shares, 30.0, 0.4)
ONLINE = Route("look", "h", "/look/", RouteKind.STREAM, ROUTE.shares, 30.0, 0.4, residence=EAST)


class RecordingLog(DecisionLog):
    def __init__(self) -> None:
        super().__init__("n")
        self.lines: list[dict[str, object]] = []

    def write(self, event: Event, **fields: object) -> None:
        self.lines.append(fields)


class FakeJobClient:
    """Stands in for the calls to groups."""

    def __init__(self, answer: Frame | JobCallFailure) -> None:
        self.answer = answer
        self.groups = (0,)
        self.sent: list[tuple[Frame, object]] = []

    def eligible_groups(self, _residence: Residence) -> tuple[int, ...]:
        return self.groups

    async def call(self, _job_id: str, frame: Frame, *more: object) -> Frame | JobCallFailure:
        self.sent.append((frame, more[-1]))
        return self.answer

    async def find(self, _job_id: str, frame: Frame, *more: object) -> Frame | JobCallFailure:
        self.sent.append((frame, more[-1]))
        return self.answer


class JobCallsHarness:
    def __init__(self, answer: Frame | JobCallFailure) -> None:
        self.client = FakeJobClient(answer)
        self.log = RecordingLog()
        self.metrics = ServingMetrics()
        tenants = TenantIndex([ServedTenant("t", residence=WEST)])
        configuration = ServingConfiguration(1, (ROUTE, OTHER, ONLINE), {}, tenants=tenants)
        self.calls = JobCallHandlers(self.client, self.log, lambda: configuration, self.metrics)

    def submit(self) -> SimpleNamespace:
        body = json.dumps({"requests": []}).encode()
        request = SimpleNamespace(
            headers={names.REQUEST_ID: "j", "host": "h:80"}, raw_url=b"/jobs/j", body=body
        )
        return asyncio.run(self.calls.submit(request, ROUTE, "t"))

    def read(self) -> SimpleNamespace:
        url = f"{names.JOB_PATH}j".encode()
        request = SimpleNamespace(
            headers={"host": "h:80"},
            raw_url=url,
            method="GET",
            args=SimpleNamespace(get=_no_argument),
        )
        return asyncio.run(self.calls.handle(request, "t"))


def _no_argument(_name: str) -> None:
    return None


def answer_with(status: int) -> Frame:
    return Frame(job_answer=JobAnswer(status=status))


def test_job_residence_is_the_intersection_of_route_and_tenant() -> None:
    gateway = JobCallsHarness(answer_with(DONE))
    assert gateway.submit().status == 202
    frame, residence = gateway.client.sent[0]
    assert residence == WEST
    assert residence_from_message(frame.submit_job.job) == WEST


@pytest.mark.parametrize(
    "answer", [JobCallFailure(False, "outside_residence"), answer_with(OUTSIDE_RESIDENCE)]
)
def test_job_without_a_group_in_its_residence_is_refused_and_counted(answer) -> None:
    gateway = JobCallsHarness(answer)
    refused = gateway.submit()
    assert refused.status == 503
    assert names.RETRY_AFTER.lower() in {name.lower() for name in refused.headers}
    assert gateway.log.lines[-1]["regions"] == ["west"]
    assert b'wharfcart_outside_residence_total{what="job"} 1.0' in gateway.metrics.render()


def test_job_that_another_group_may_have_is_refused_with_503() -> None:
    gateway = JobCallsHarness(answer_with(MAYBE_ELSEWHERE))
    assert gateway.submit().status == 503


def test_submission_reports_a_change_of_eligible_groups() -> None:
    gateway = JobCallsHarness(answer_with(DONE))
    gateway.submit()
    gateway.client.groups = (1,)
    gateway.submit()
    assert [frame.submit_job.moved for frame, _ in gateway.client.sent] == [False, True]


def test_read_uses_the_residences_of_the_hosts_batch_routes_and_tenant() -> None:
    gateway = JobCallsHarness(Frame(result_page=ResultPage(status=NOT_FOUND)))
    assert gateway.read().status == 404
    _, residences = gateway.client.sent[0]
    assert residences == {WEST}
    configuration = gateway.calls._configuration()
    assert configuration.job_residences("h", "unknown") == {BOTH, ANYWHERE}
    assert configuration.batch_residences == {BOTH, ANYWHERE, WEST}
