"""The promises, judged by what callers and back ends saw."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from wharfcart.emulator.model_server import ModelServer, RunRecord
from wharfcart.soak.history import (
    EvacuationRecord,
    JobRecord,
    RequestKind,
    RequestRecord,
    SoakHistory,
)
from wharfcart.soak.tenants import (
    LIMITED_BURST_REQUESTS,
    LIMITED_REQUESTS_PER_SECOND,
    LIMITED_TENANT,
    tenant_of,
)
from wharfcart.soak.workload import item_id

EVENTS_PER_STREAM = 12
MAX_RUNS_BY_KIND = {RequestKind.REPEATABLE: 2, RequestKind.RESUMABLE: 3}
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A job that was accepted may be denied for this long.
JOB_VISIBILITY_DELAY_S = 1.0
# Over any span of these seconds a tenant sends what its limit allows, and a little more while
# gateways and those who keep the limit are lost together.
LIMIT_WINDOW_S = 5.0
LIMIT_OVERSHOOT_FACTOR = 1.1
LIMIT_OVERSHOOT_REQUESTS = 20
# An ended job's items reach no back end after this time.
CANCELLATION_DELAY_S = 3.0
# An order to empty a zone is in force after this time on every node that runs and is reached by
# any other; the plan says which nodes may not have been.
EVACUATION_DELAY_S = 2.0
# A request that ends its back ends is held back at each gateway once two have ended under it, even
# if no other gateway hears of that; one that starts anew may not know it either.
MAX_CRASHES_PER_GATEWAY_PROCESS = 2


@dataclass(frozen=True)
class ZoneBackend:
    """A back end, its zone, and when nodes may not have heard of an order for it.

    Attributes:
        excused: spans of monotonic time in which a node stood still or nobody could read orders,
            and a while after each.
    """

    server: ModelServer
    zone: str
    excused_intervals: tuple[tuple[float, float], ...] = ()

    def is_excused(self, at: float) -> bool:
        """Whether a run that began at a time may have been sent without knowing of the order."""
        return any(begin <= at <= end for begin, end in self.excused_intervals)


def find_runs_in_evacuated_zone(
    backend: ZoneBackend, evacuations: list[EvacuationRecord]
) -> list[str]:
    """Return every run that began in a zone that was to get nothing new, in words."""
    found = []
    for order in evacuations:
        if order.zone != backend.zone:
            continue
        until = math.inf if order.ended_at is None else order.ended_at
        found += [
            f"{run.request_id}: ran at {backend.server.instance_id}, whose zone {order.zone} was "
            f"evacuated {run.run_at - order.started_at:.2f} s before"
            for run in backend.server.runs
            if order.started_at + EVACUATION_DELAY_S < run.run_at < until
            and not backend.is_excused(run.run_at)
        ]
    return found


def find_excessive_crashes(
    crashes_by_body: Mapping[bytes, int], gateway_processes: int
) -> list[str]:
    """Return every request under which too many back ends ended, in words.

    Args:
        ends_by_body: how many back ends each has ended.
        gateway_lives: processes of gateways that ran, one after the other ones counted as several.
    """
    most = MAX_CRASHES_PER_GATEWAY_PROCESS * gateway_processes
    return [
        f"{body.decode()}: {ends} back ends ended while they ran it, {most} may"
        for body, ends in crashes_by_body.items()
        if ends > most
    ]


def find_violations(history: SoakHistory, servers: list[ModelServer]) -> list[str]:
    """Return every promise that was broken, in words.

    Args:
        history: what callers saw.
        servers: every back end that ever served, with the runs that each recorded.
    """
    runs = Counter(run.request_id for server in servers for run in server.runs)
    last_runs: dict[str, float] = {}
    for run in (run for server in servers for run in server.runs):
        last_runs[run.request_id] = max(run.run_at, last_runs.get(run.request_id, 0.0))
    found = [problem for record in history.requests for problem in _check_request(record, runs)]
    found += _check_tenants([run for server in servers for run in server.runs])
    for job in history.jobs_by_id.values():
        found += _check_job(job, runs)
        found += _check_cancelled_job(job, history.started_at, last_runs)
    for route in history.routes:
        found += [
            f"route {route.path} denied again by {life}" for life in route.regressed_processes
        ]
    return found


def _check_request(record: RequestRecord, runs: Counter[str]) -> Iterator[str]:
    name = record.request_id
    ran = runs[name]
    if record.status == 200 and record.body != _expected_body(record):
        yield f"{name}: answer is not whole or another's: {record.body[:60]!r}"
    if record.status in NOT_RUN_STATUSES and ran:
        yield f"{name}: refused with {record.status}, but ran {ran} times"
    most = MAX_RUNS_BY_KIND.get(record.kind, 1)
    if ran > most:
        yield f"{name}: ran {ran} times, {most} allowed"
    if record.status == 404:
        yield f"{name}: denied a route that was always there"
    if record.status == 401:
        yield f"{name}: its key was denied"
    if record.status == 429 and tenant_of(name) is not LIMITED_TENANT:
        yield f"{name}: refused under a limit that its tenant does not have"


def _check_tenants(runs: list[RunRecord]) -> Iterator[str]:
    for run in runs:
        owner = tenant_of(run.request_id)
        if run.tenant != owner.name:
            yield f"{run.request_id}: ran as a request of {run.tenant!r}, not of {owner.name}"
        if run.api_key:
            yield f"{run.request_id}: its caller's key was passed on"
    hot = sorted(run.run_at for run in runs if tenant_of(run.request_id) is LIMITED_TENANT)
    busiest = max((sum(at - LIMIT_WINDOW_S < one <= at for one in hot) for at in hot), default=0)
    most = (
        LIMITED_REQUESTS_PER_SECOND * LIMIT_WINDOW_S + LIMITED_BURST_REQUESTS
    ) * LIMIT_OVERSHOOT_FACTOR + LIMIT_OVERSHOOT_REQUESTS
    if busiest > most:
        yield (
            f"{busiest} requests of {LIMITED_TENANT.name} ran within {LIMIT_WINDOW_S} s, "
            f"{most:g} allowed"
        )


def _expected_body(record: RequestRecord) -> bytes:
    if record.kind in (RequestKind.REPEATABLE, RequestKind.AT_MOST_ONCE):
        return f"answer to {record.request_id}".encode()
    return b"".join(
        f"id: {number}\ndata: {record.request_id}-{number}\n\n".encode()
        for number in range(EVENTS_PER_STREAM)
    )


def _check_job(job: JobRecord, runs: Counter[str]) -> Iterator[str]:
    name = job.job_id
    yield from (f"{name}: {conflict}" for conflict in job.conflicts)
    items = [item_id(job, number) for number in range(job.item_count)]
    if job.accepted_at is None:
        refused = bool(job.submission_statuses) and all(
            status in NOT_RUN_STATUSES for status in job.submission_statuses
        )
        if refused and any(runs[item] for item in items):
            yield f"{name}: refused every time, but ran"
        return
    late = [at for at in job.denied_at if at > job.accepted_at + JOB_VISIBILITY_DELAY_S]
    if late:
        yield f"{name}: accepted at {job.accepted_at:.2f} s, denied at {late[0]:.2f} s"
    if not job.is_readable_at_end:
        yield f"{name}: can't be read at the end"
    listed = Counter(result[0] for result in job.results.values())
    yield from (f"{name}: {item} is listed twice" for item, times in listed.items() if times > 1)
    yield from (f"{name}: {item} is not its item" for item in listed if item not in items)
    if job.cancelled_at is None:
        yield from (f"{name}: {item} has no result" for item in items if item not in listed)
    for item, state, text in job.results.values():
        if state == "succeeded" and text != _expected_text(item):
            yield f"{name}: text of {item} is not whole: {text[:60]!r}"
        if state != "succeeded" and job.cancelled_at is None:
            yield f"{name}: {item} was given up"


def _check_cancelled_job(
    job: JobRecord, started_at: float, last_run_at: dict[str, float]
) -> Iterator[str]:
    if job.cancelled_at is None:
        return
    for number in range(job.item_count):
        ran_at = last_run_at.get(item_id(job, number), started_at) - started_at
        if ran_at > job.cancelled_at + CANCELLATION_DELAY_S:
            yield f"{job.job_id}: ended at {job.cancelled_at:.2f} s, an item ran at {ran_at:.2f} s"


def _expected_text(item: str) -> str:
    return "\n".join(f"{item}-{number}" for number in range(EVENTS_PER_STREAM))
