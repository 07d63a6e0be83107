"""The soak's verdict: each promise, broken in a history made by hand."""

from wharfcart.emulator.model_server import ModelServer, RunRecord
from wharfcart.soak.history import (
    EvacuationRecord,
    JobRecord,
    RequestKind,
    RequestRecord,
    RouteRecord,
    SoakHistory,
)
from wharfcart.soak.promises import (
    EVENTS_PER_STREAM,
    ZoneBackend,
    find_excessive_crashes,
    find_runs_in_evacuated_zone,
    find_violations,
)
from wharfcart.soak.tenants import (
    LIMITED_REQUEST_PREFIX,
    LIMITED_TENANT,
    UNLIMITED_TENANT,
    tenant_of,
)


def whole(request_id: str) -> bytes:
    return b"".join(
        f"id: {n}\ndata: {request_id}-{n}\n\n".encode() for n in range(EVENTS_PER_STREAM)
    )


def text(item: str) -> str:
    return "\n".join(f"{item}-{n}" for n in range(EVENTS_PER_STREAM))


def judged(
    runs: list[str], *requests: RequestRecord, jobs: tuple[JobRecord, ...] = ()
) -> list[str]:
    server = ModelServer("i", EVENTS_PER_STREAM, 0.0)
    server.runs = [RunRecord(run, 0, 1000, tenant=tenant_of(run).name) for run in runs]
    history = SoakHistory(requests=list(requests), jobs_by_id={job.job_id: job for job in jobs})
    return find_violations(history, [server])


def request(kind: RequestKind, status: int | None, body: bytes = b"") -> RequestRecord:
    return RequestRecord("r", kind, 0, 0.0, 0.1, status, body)


def finished_job() -> JobRecord:
    job = JobRecord("j", 2, [202], accepted_at=1.0, is_readable_at_end=True)
    job.record_result(0, ("j-1", "succeeded", text("j-1")), "")
    job.record_result(1, ("j-0", "succeeded", text("j-0")), "")
    return job


def test_what_is_well_breaks_nothing() -> None:
    assert judged(["r"], request(RequestKind.STREAM, 200, whole("r"))) == []
    assert judged(["r", "r"], request(RequestKind.REPEATABLE, 200, b"answer to r")) == []
    assert judged(["j-0", "j-1", "j-1"], jobs=(finished_job(),)) == []


def test_an_answer_that_is_not_whole() -> None:
    assert judged(["r"], request(RequestKind.STREAM, 200, whole("r")[:-9]))


def test_an_answer_of_another_request() -> None:
    assert judged(["r"], request(RequestKind.REPEATABLE, 200, b"answer to q"))


def test_a_refusal_that_is_not_true() -> None:
    assert judged(["r"], request(RequestKind.AT_MOST_ONCE, 503))
    assert judged([], request(RequestKind.AT_MOST_ONCE, 503)) == []


def test_a_request_that_ran_twice() -> None:
    assert judged(["r", "r"], request(RequestKind.AT_MOST_ONCE, None))
    assert judged(["r", "r"], request(RequestKind.STREAM, None))


def test_more_back_ends_than_the_route_allows() -> None:
    assert judged(["r"] * 3, request(RequestKind.REPEATABLE, 200, b"answer to r"))


def test_a_route_denied() -> None:
    assert judged([], request(RequestKind.REPEATABLE, 404))


def test_a_job_refused_that_ran() -> None:
    assert judged(["j-0"], jobs=(JobRecord("j", 1, [503, 503]),))
    assert judged(["j-0"], jobs=(JobRecord("j", 1, [503, None]),)) == []


def test_a_job_that_is_lost() -> None:
    job = finished_job()
    job.is_readable_at_end = False
    assert judged([], jobs=(job,))
    job = finished_job()
    job.denied_at = [3.0]
    assert judged([], jobs=(job,))


def test_a_request_that_ends_too_many_back_ends() -> None:
    assert find_excessive_crashes({b"fatal 0": 6, b"fatal 1": 7}, 3) == [
        "fatal 1: 7 back ends ended while they ran it, 6 may"
    ]


def test_an_item_without_a_result() -> None:
    job = finished_job()
    del job.results[1]
    assert judged([], jobs=(job,))
    job.cancelled_at = 2.0
    assert judged([], jobs=(job,)) == []


def test_an_item_that_ran_long_after_its_job_was_ended() -> None:
    job = finished_job()
    job.cancelled_at = 2.0
    server = ModelServer("i", EVENTS_PER_STREAM, 0.0)
    history = SoakHistory(started_at=100.0, jobs_by_id={"j": job})
    server.runs = [RunRecord("j-0", 0, 1000, run_at=104.0, tenant=UNLIMITED_TENANT.name)]
    assert find_violations(history, [server]) == []
    server.runs = [RunRecord("j-0", 0, 1000, run_at=106.0, tenant=UNLIMITED_TENANT.name)]
    assert find_violations(history, [server])


def test_a_result_that_changed() -> None:
    job = finished_job()
    job.record_result(1, ("j-0", "succeeded", text("j-0")[:-1]), "at gateway 1")
    assert judged([], jobs=(job,))


def test_an_item_listed_twice_or_not_whole() -> None:
    job = finished_job()
    job.record_result(2, ("j-0", "succeeded", text("j-0")), "")
    assert judged([], jobs=(job,))
    job = JobRecord("j", 1, [202], accepted_at=1.0, is_readable_at_end=True)
    job.record_result(0, ("j-0", "succeeded", text("j-0")[:-1]), "")
    assert judged([], jobs=(job,))


def test_a_route_that_went_back() -> None:
    history = SoakHistory(routes=[RouteRecord("/added-0/", 1.0, regressed_processes=["0:17"])])
    assert find_violations(history, [])


def judged_runs(*runs: RunRecord) -> list[str]:
    server = ModelServer("i", EVENTS_PER_STREAM, 0.0)
    server.runs = list(runs)
    return find_violations(SoakHistory(requests=[], jobs_by_id={}), [server])


def test_a_run_under_another_tenant_or_with_its_callers_key() -> None:
    assert judged_runs(RunRecord("r", 0, 1000, tenant=LIMITED_TENANT.name))
    assert judged_runs(RunRecord("r", 0, 1000, tenant=""))
    assert judged_runs(RunRecord("r", 0, 1000, tenant=UNLIMITED_TENANT.name, api_key="Bearer k"))
    assert judged_runs(RunRecord("r", 0, 1000, tenant=UNLIMITED_TENANT.name)) == []


def test_more_runs_of_a_tenant_than_its_limit_allows() -> None:
    def hot(count: int, gap_s: float) -> list[RunRecord]:
        return [
            RunRecord(f"{LIMITED_REQUEST_PREFIX}{n}", 0, 1000, n * gap_s, LIMITED_TENANT.name)
            for n in range(count)
        ]

    assert judged_runs(*hot(46, 0.1)) == []
    assert judged_runs(*hot(47, 0.1))
    assert judged_runs(*hot(300, 0.2)) == []


def test_a_limit_or_a_key_that_is_wrongly_denied() -> None:
    assert judged([], request(RequestKind.REPEATABLE, 401))
    assert judged([], request(RequestKind.REPEATABLE, 429))
    limited = RequestRecord(f"{LIMITED_REQUEST_PREFIX}1", RequestKind.REPEATABLE, 0, 0.0, 0.1, 429)
    assert judged([], limited) == []


def evacuated(ran_at: float, zone: str = "b", until: float | None = 30.0) -> list[str]:
    server = ModelServer("i", EVENTS_PER_STREAM, 0.0)
    server.runs = [RunRecord("r", 0, 1000, ran_at)]
    served = ZoneBackend(server, zone, excused_intervals=((20.0, 21.0),))
    return find_runs_in_evacuated_zone(served, [EvacuationRecord("b", 10.0, until)])


def test_what_runs_in_a_zone_that_was_to_be_emptied() -> None:
    assert evacuated(12.5)
    assert evacuated(40.0, until=None)
    assert evacuated(21.5)


def test_an_order_to_empty_a_zone_has_a_moment_to_spread_and_an_end() -> None:
    assert evacuated(11.5) == []
    assert evacuated(31.0) == []
    assert evacuated(12.5, zone="a") == []
    assert evacuated(20.5) == []  # a node stood still
