"""Checks of the invariants of a soak against what callers and back ends recorded."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from wharfcart.emulator.model_server import ModelServer, RunRecord
from wharfcart.emulator.stream_events import (
    find_mixed_versions,
    find_stream_faults,
    find_text_faults,
)
from wharfcart.soak.history import (
    EvacuationRecord,
    JobRecord,
    RequestKind,
    RequestRecord,
    ResumedStream,
    SoakHistory,
)
from wharfcart.soak.tenants import (
    LIMITED_BURST_REQUESTS,
    LIMITED_REQUESTS_PER_SECOND,
    LIMITED_TENANT,
    tenant_of,
)
from wharfcart.soak.workload import EVENTS_PER_STREAM, item_id

MAX_RUNS_BY_KIND = {RequestKind.REPEATABLE: 2, RequestKind.RESUMABLE: 3}
NOT_RUN_STATUSES = (408, 421, 429, 503)
# An accepted job may be unknown to a node for this long.
JOB_VISIBILITY_DELAY_S = 1.0
LIMIT_WINDOW_S = 5.0
# A tenant may exceed its limit slightly when gateways and limit coordinators fail together.
LIMIT_OVERSHOOT_FACTOR = 1.1
LIMIT_OVERSHOOT_REQUESTS = 20
# Items of a cancelled job do not start after this time.
CANCELLATION_DELAY_S = 3.0
# Time after which every reachable node applies an evacuation.
EVACUATION_DELAY_S = 2.0
# Of the smallest machines that the users run gateways on.
MAX_PROCESS_BYTES = 260 * 2**20
# Each gateway process quarantines a poison request after this count, even with no peer updates.
MAX_CRASHES_PER_GATEWAY_PROCESS = 2
# The users' rule: after the fifth crash and this time, three requests with a part that crashes back
# ends reach one; here for each process, since some learn nothing from their peers.
PART_CRASHES = 5
PART_KNOWN_S = 3.0
MAX_LATE_PART_RUNS = 3
# The users' rule: streams that are taken up go on at least half as often as new ones begin.
MIN_RESUMED_SHARE = 0.5
MIN_RESUMED_STREAMS = 12


@dataclass(frozen=True)
class ZoneBackend:
    """A back end and its zone.

    Attributes:
        excused_intervals: intervals of monotonic time, as (begin, end), in which a node may not
            know that the zone is evacuated.
    """

    server: ModelServer
    zone: str
    excused_intervals: tuple[tuple[float, float], ...] = ()

    def is_excused(self, at: float) -> bool:
        """Return whether a run that began at ``at`` may have been sent by an unaware node."""
        return any(begin <= at <= end for begin, end in self.excused_intervals)


def find_runs_in_evacuated_zone(
    backend: ZoneBackend, evacuations: list[EvacuationRecord]
) -> list[str]:
    """Return a description of every run that began in the zone while it was evacuated."""
    violations = []
    for evacuation in evacuations:
        if evacuation.zone != backend.zone:
            continue
        end = math.inf if evacuation.ended_at is None else evacuation.ended_at
        violations += [
            f"{run.request_id}: ran at {backend.server.instance_id}, whose zone {evacuation.zone} "
            f"was evacuated {run.run_at - evacuation.started_at:.2f} s before"
            for run in backend.server.runs
            if evacuation.started_at + EVACUATION_DELAY_S < run.run_at < end
            and not backend.is_excused(run.run_at)
        ]
    return violations


def find_excessive_crashes(
    crashes_by_body: Mapping[bytes, int], gateway_processes: int
) -> list[str]:
    """Return a description of every poison request that crashed too many back ends.

    Args:
        crashes_by_body: number of back ends that each request crashed.
        gateway_processes: number of gateway processes of the run, including restarted ones.
    """
    max_crashes = MAX_CRASHES_PER_GATEWAY_PROCESS * gateway_processes
    return [
        f"{body.decode()}: {crashes} back ends crashed while they ran it, {max_crashes} allowed"
        for body, crashes in crashes_by_body.items()
        if crashes > max_crashes
    ]


def find_late_poison_parts(
    crash_times_by_part: Mapping[str, Sequence[float]],
    servers: Sequence[ModelServer],
    gateway_processes: int,
) -> list[str]:
    """Return a description of every part that reached back ends long after it had crashed some.

    Args:
        crash_times_by_part: monotonic times at which each part crashed back ends, in order.
        servers: every back end of the run. The ids of requests with a part begin with its id.
        gateway_processes: number of gateway processes of the run, including restarted ones.
    """
    violations = []
    for part, crash_times in crash_times_by_part.items():
        if len(crash_times) < PART_CRASHES:
            continue
        known_at = crash_times[PART_CRASHES - 1] + PART_KNOWN_S
        late = sum(
            run.request_id.startswith(f"{part}-") and run.run_at > known_at
            for server in servers
            for run in server.runs
        )
        if late > MAX_LATE_PART_RUNS * gateway_processes:
            violations.append(
                f"{part}: {late} requests reached back ends {PART_KNOWN_S} s after the fifth crash"
            )
    return violations


def find_violations(history: SoakHistory, servers: list[ModelServer]) -> list[str]:
    """Return a description of every violated invariant.

    Args:
        history: what callers recorded.
        servers: every back end of the run, including replaced ones, with the runs it recorded.
    """
    run_counts = Counter(run.request_id for server in servers for run in server.runs)
    last_run_at: dict[str, float] = {}
    for run in (run for server in servers for run in server.runs):
        last_run_at[run.request_id] = max(run.run_at, last_run_at.get(run.request_id, 0.0))
    violations = [
        violation for record in history.requests for violation in _check_request(record, run_counts)
    ]
    for stream in history.resumed_streams:
        violations += _check_resumed_stream(stream, run_counts)
    violations += _check_resumed_share(history.resumed_streams)
    violations += _check_tenants([run for server in servers for run in server.runs])
    for job in history.jobs_by_id.values():
        violations += _check_job(job, run_counts)
        violations += _check_cancelled_job(job, history.started_at, last_run_at)
    for route in history.routes:
        violations += [
            f"route {route.path} disappeared at gateway process {process}"
            for process in route.regressed_processes
        ]
    return violations


def _check_request(record: RequestRecord, run_counts: Counter[str]) -> Iterator[str]:
    label = record.request_id
    run_count = run_counts[label]
    if record.status == 200:
        yield from (f"{label}: {fault}" for fault in _check_body(record))
    if record.status in NOT_RUN_STATUSES and run_count:
        yield f"{label}: refused with {record.status}, but ran {run_count} times"
    max_runs = MAX_RUNS_BY_KIND.get(record.kind, 1)
    if run_count > max_runs:
        yield f"{label}: ran {run_count} times, {max_runs} allowed"
    if record.status == 404:
        yield f"{label}: not found, although its route is always configured"
    if record.status == 401:
        yield f"{label}: its valid API key was rejected"
    if record.status == 429 and tenant_of(label) is not LIMITED_TENANT:
        yield f"{label}: rejected by a rate limit, although its tenant has none"


def _check_resumed_stream(stream: ResumedStream, run_counts: Counter[str]) -> Iterator[str]:
    label = stream.tries[0].request_id
    yield from (f"{label}: {fault}" for fault in find_mixed_versions(stream.events))
    numbers = [event.number for event in stream.events]
    if numbers != list(range(len(numbers))):
        yield f"{label}: events are missing, repeated or out of order: {numbers}"
    for stream_try in stream.tries:
        if stream_try.status in NOT_RUN_STATUSES and run_counts[stream_try.request_id]:
            yield f"{stream_try.request_id}: refused with {stream_try.status}, but ran"


def resumed_shares(streams: list[ResumedStream]) -> tuple[float, float, int]:
    """Return the share of streams that began, of resumptions that went on, and their number.

    Resumptions count while two servers of the stream's version serve.
    """
    begun = [bool(stream.tries[0].events) for stream in streams]
    resumed = [
        bool(stream_try.events)
        for stream in streams
        for stream_try in stream.tries[1:]
        if stream_try.counts
    ]
    return sum(begun) / max(1, len(begun)), sum(resumed) / max(1, len(resumed)), len(resumed)


def _check_resumed_share(streams: list[ResumedStream]) -> Iterator[str]:
    begun, resumed, count = resumed_shares(streams)
    if count >= MIN_RESUMED_STREAMS and resumed < MIN_RESUMED_SHARE * begun:
        yield f"{resumed:.2f} of {count} resumed streams went on, but {begun:.2f} of new ones began"


def _check_tenants(runs: list[RunRecord]) -> Iterator[str]:
    for run in runs:
        owner = tenant_of(run.request_id)
        if run.tenant != owner.name:
            yield f"{run.request_id}: ran for tenant {run.tenant!r} instead of {owner.name}"
        if run.api_key:
            yield f"{run.request_id}: its API key was forwarded to a back end"
    run_times = sorted(run.run_at for run in runs if tenant_of(run.request_id) is LIMITED_TENANT)
    max_count = max(
        (sum(at - LIMIT_WINDOW_S < other <= at for other in run_times) for at in run_times),
        default=0,
    )
    allowed_count = (
        LIMITED_REQUESTS_PER_SECOND * LIMIT_WINDOW_S + LIMITED_BURST_REQUESTS
    ) * LIMIT_OVERSHOOT_FACTOR + LIMIT_OVERSHOOT_REQUESTS
    if max_count > allowed_count:
        yield (
            f"{max_count} requests of {LIMITED_TENANT.name} ran within {LIMIT_WINDOW_S} s, "
            f"{allowed_count:g} allowed"
        )


def _check_body(record: RequestRecord) -> list[str]:
    if record.kind in (RequestKind.STREAM, RequestKind.RESUMABLE):
        return find_stream_faults(record.request_id, record.body, EVENTS_PER_STREAM)
    if record.body != f"answer to {record.request_id}".encode():
        return [f"response is truncated or of another request: {record.body[:60]!r}"]
    return []


def _check_job(job: JobRecord, run_counts: Counter[str]) -> Iterator[str]:
    label = job.job_id
    yield from (f"{label}: {conflict}" for conflict in job.conflicts)
    item_ids = [item_id(job, number) for number in range(job.item_count)]
    if job.accepted_at is None:
        refused = bool(job.submission_statuses) and all(
            status in NOT_RUN_STATUSES for status in job.submission_statuses
        )
        if refused and any(run_counts[item] for item in item_ids):
            yield f"{label}: every submission was refused, but an item ran"
        return
    denied_late_at = [at for at in job.denied_at if at > job.accepted_at + JOB_VISIBILITY_DELAY_S]
    if denied_late_at:
        yield f"{label}: accepted at {job.accepted_at:.2f} s, unknown at {denied_late_at[0]:.2f} s"
    if not job.is_readable_at_end:
        yield f"{label}: cannot be read at the end of the run"
    result_counts = Counter(result[0] for result in job.results.values())
    yield from (
        f"{label}: {item} has several results" for item, count in result_counts.items() if count > 1
    )
    yield from (
        f"{label}: {item} does not belong to the job"
        for item in result_counts
        if item not in item_ids
    )
    if job.cancelled_at is None:
        yield from (
            f"{label}: {item} has no result" for item in item_ids if item not in result_counts
        )
    for item, state, text in job.results.values():
        if state == "succeeded":
            faults = find_text_faults(item, text, EVENTS_PER_STREAM)
            yield from (f"{label}: text of {item}: {fault}" for fault in faults)
        if state != "succeeded" and job.cancelled_at is None:
            yield f"{label}: {item} failed"


def _check_cancelled_job(
    job: JobRecord, started_at: float, last_run_at: dict[str, float]
) -> Iterator[str]:
    if job.cancelled_at is None:
        return
    for number in range(job.item_count):
        ran_at = last_run_at.get(item_id(job, number), started_at) - started_at
        if ran_at > job.cancelled_at + CANCELLATION_DELAY_S:
            yield (
                f"{job.job_id}: cancelled at {job.cancelled_at:.2f} s, "
                f"an item started at {ran_at:.2f} s"
            )


def find_excessive_memory(peak_bytes_by_node: Mapping[str, int]) -> list[str]:
    """Return a description of every process that held more memory than a machine has.

    Args:
        peak_bytes_by_node: largest resident size of each process so far, in bytes.
    """
    return [
        f"{node_id} held {peak // 2**20} MB of memory"
        for node_id, peak in peak_bytes_by_node.items()
        if peak > MAX_PROCESS_BYTES
    ]
