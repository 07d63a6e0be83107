"""The promises, judged by what callers and back ends saw."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from wharfcart.emulator.model_server import ModelServer, RunRecord
from wharfcart.soak.history import (
    EvacuationRecord,
    History,
    JobRecord,
    RequestKind,
    RequestRecord,
)
from wharfcart.soak.tenants import HOT, HOT_BURST, HOT_PER_S, tenant_of
from wharfcart.soak.workload import item_id

EVENTS = 12
MOST_RUNS = {RequestKind.REPEATABLE: 2, RequestKind.RESUMABLE: 3}
PROMISED_NOT_RUN = (408, 421, 429, 503)
# A job that was accepted may be denied for this long.
SETTLE_S = 1.0
# Over any span of these seconds a tenant sends what its limit allows, and a little more while
# gateways and those who keep the limit are lost together.
LIMIT_SPAN_S = 5.0
LIMIT_OVERAGE = 1.1
LIMIT_SLACK = 20
# An ended job's items reach no back end after this time.
END_S = 3.0
# An order to empty a zone is in force after this time on every node that runs and is reached by
# any other; the plan says which nodes may not have been.
EVACUATION_S = 2.0
# A request that ends its back ends is held back at each gateway once two have ended under it, even
# if no other gateway hears of that; one that starts anew may not know it either.
MOST_ENDS_A_GATEWAY_LIFE = 2


@dataclass(frozen=True)
class ServedZone:
    """A back end, its zone, and when nodes may not have heard of an order for it.

    Attributes:
        excused: spans of monotonic time in which a node stood still or nobody could read orders,
            and a while after each.
    """

    server: ModelServer
    zone: str
    excused: tuple[tuple[float, float], ...] = ()

    def is_excused(self, at: float) -> bool:
        """Whether a run that began at a time may have been sent without knowing of the order."""
        return any(begin <= at <= end for begin, end in self.excused)


def sent_to_evacuated(served: ServedZone, evacuations: list[EvacuationRecord]) -> list[str]:
    """Return every run that began in a zone that was to get nothing new, in words."""
    found = []
    for order in evacuations:
        if order.zone != served.zone:
            continue
        until = math.inf if order.until is None else order.until
        found += [
            f"{run.request_id}: ran at {served.server.instance_id}, whose zone {order.zone} was "
            f"evacuated {run.at - order.since:.2f} s before"
            for run in served.server.runs
            if order.since + EVACUATION_S < run.at < until and not served.is_excused(run.at)
        ]
    return found


def ended_too_many(ends_by_body: Mapping[bytes, int], gateway_lives: int) -> list[str]:
    """Return every request under which too many back ends ended, in words.

    Args:
        ends_by_body: how many back ends each has ended.
        gateway_lives: processes of gateways that ran, one after the other ones counted as several.
    """
    most = MOST_ENDS_A_GATEWAY_LIFE * gateway_lives
    return [
        f"{body.decode()}: {ends} back ends ended while they ran it, {most} may"
        for body, ends in ends_by_body.items()
        if ends > most
    ]


def broken_promises(history: History, servers: list[ModelServer]) -> list[str]:
    """Return every promise that was broken, in words.

    Args:
        history: what callers saw.
        servers: every back end that ever served, with the runs that each recorded.
    """
    runs = Counter(run.request_id for server in servers for run in server.runs)
    last_runs: dict[str, float] = {}
    for run in (run for server in servers for run in server.runs):
        last_runs[run.request_id] = max(run.at, last_runs.get(run.request_id, 0.0))
    found = [problem for record in history.requests for problem in _of_request(record, runs)]
    found += _of_tenants([run for server in servers for run in server.runs])
    for job in history.jobs_by_id.values():
        found += _of_job(job, runs)
        found += _after_the_end(job, history.began_at, last_runs)
    for route in history.routes:
        found += [
            f"route {route.path} denied again by {life}" for life in route.denied_after_served
        ]
    return found


def _of_request(record: RequestRecord, runs: Counter[str]) -> Iterator[str]:
    name = record.request_id
    ran = runs[name]
    if record.status == 200 and record.body != _whole_answer(record):
        yield f"{name}: answer is not whole or another's: {record.body[:60]!r}"
    if record.status in PROMISED_NOT_RUN and ran:
        yield f"{name}: refused with {record.status}, but ran {ran} times"
    most = MOST_RUNS.get(record.kind, 1)
    if ran > most:
        yield f"{name}: ran {ran} times, {most} allowed"
    if record.status == 404:
        yield f"{name}: denied a route that was always there"
    if record.status == 401:
        yield f"{name}: its key was denied"
    if record.status == 429 and tenant_of(name) is not HOT:
        yield f"{name}: refused under a limit that its tenant does not have"


def _of_tenants(runs: list[RunRecord]) -> Iterator[str]:
    for run in runs:
        owner = tenant_of(run.request_id)
        if run.tenant != owner.name:
            yield f"{run.request_id}: ran as a request of {run.tenant!r}, not of {owner.name}"
        if run.key:
            yield f"{run.request_id}: its caller's key was passed on"
    hot = sorted(run.at for run in runs if tenant_of(run.request_id) is HOT)
    busiest = max((sum(at - LIMIT_SPAN_S < one <= at for one in hot) for at in hot), default=0)
    most = (HOT_PER_S * LIMIT_SPAN_S + HOT_BURST) * LIMIT_OVERAGE + LIMIT_SLACK
    if busiest > most:
        yield f"{busiest} requests of {HOT.name} ran within {LIMIT_SPAN_S} s, {most:g} allowed"


def _whole_answer(record: RequestRecord) -> bytes:
    if record.kind in (RequestKind.REPEATABLE, RequestKind.AT_MOST_ONCE):
        return f"answer to {record.request_id}".encode()
    return b"".join(
        f"id: {number}\ndata: {record.request_id}-{number}\n\n".encode() for number in range(EVENTS)
    )


def _of_job(job: JobRecord, runs: Counter[str]) -> Iterator[str]:
    name = job.job_id
    yield from (f"{name}: {conflict}" for conflict in job.conflicts)
    items = [item_id(job, number) for number in range(job.items)]
    if job.accepted_at is None:
        refused = bool(job.statuses) and all(status in PROMISED_NOT_RUN for status in job.statuses)
        if refused and any(runs[item] for item in items):
            yield f"{name}: refused every time, but ran"
        return
    late = [at for at in job.missing if at > job.accepted_at + SETTLE_S]
    if late:
        yield f"{name}: accepted at {job.accepted_at:.2f} s, denied at {late[0]:.2f} s"
    if not job.readable_at_end:
        yield f"{name}: can't be read at the end"
    listed = Counter(result[0] for result in job.results.values())
    yield from (f"{name}: {item} is listed twice" for item, times in listed.items() if times > 1)
    yield from (f"{name}: {item} is not its item" for item in listed if item not in items)
    if job.ended_at is None:
        yield from (f"{name}: {item} has no result" for item in items if item not in listed)
    for item, state, text in job.results.values():
        if state == "succeeded" and text != _whole_text(item):
            yield f"{name}: text of {item} is not whole: {text[:60]!r}"
        if state != "succeeded" and job.ended_at is None:
            yield f"{name}: {item} was given up"


def _after_the_end(job: JobRecord, began_at: float, last_runs: dict[str, float]) -> Iterator[str]:
    if job.ended_at is None:
        return
    for number in range(job.items):
        ran_at = last_runs.get(item_id(job, number), began_at) - began_at
        if ran_at > job.ended_at + END_S:
            yield f"{job.job_id}: ended at {job.ended_at:.2f} s, an item ran at {ran_at:.2f} s"


def _whole_text(item: str) -> str:
    return "\n".join(f"{item}-{number}" for number in range(EVENTS))
