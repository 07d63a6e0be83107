"""One run of a soak: starts a fleet, injects faults under load and checks the invariants."""

import asyncio
import json
import shutil
import typing as t
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from wharfcart.soak.faults import inject_fault
from wharfcart.soak.fleet import SoakFleet
from wharfcart.soak.history import RequestKind
from wharfcart.soak.invariants import (
    EVACUATION_DELAY_S,
    ZoneBackend,
    find_excessive_crashes,
    find_excessive_memory,
    find_late_poison_parts,
    find_runs_in_evacuated_zone,
    find_violations,
    resumed_shares,
)
from wharfcart.soak.plan import FaultKind, PlannedFault, generate_plan
from wharfcart.soak.workload import SoakWorkload

GATEWAYS = 3
STORES = 3
# Time after the last fault until every gateway serves again, then until every job is complete.
RECOVERY_TIMEOUT_S = 12.0
JOB_COMPLETION_TIMEOUT_S = 18.0
CALM_REQUESTS = 6
POLL_INTERVAL_S = 0.2
# A frozen node, or one that cannot read the store, does not know of a new evacuation.
EVACUATION_EXCUSE_KINDS = frozenset(
    {FaultKind.FREEZE, FaultKind.LEADER_SERIES, FaultKind.STORE_DOWN}
)


@dataclass(frozen=True)
class Verdict:
    """Result of one run.

    Attributes:
        violations: descriptions of violated invariants; empty if the run passed.
        request_count: requests sent.
        success_count: requests answered with status 200.
        job_count: batch jobs submitted.
        resumed_shares: share of streams that began, of resumptions that went on, and their number.
        duration_s: duration of the run, including start and recovery.
        logs_folder: folder with plan, logs and verdict; None if the run passed.
    """

    seed: int
    plan: list[PlannedFault]
    violations: list[str]
    request_count: int
    success_count: int
    job_count: int
    resumed_shares: tuple[float, float, int]
    duration_s: float
    logs_folder: Path | None = None


class SoakRun:
    """One run.

    Args:
        seed: seed of the plan and the load.
        load_s: duration of load and faults, in seconds.
        failures_folder: parent folder for the logs of a failed run.
        plan: faults to inject; None generates them from the seed.
        gateways: number of gateways.
        stores: number of storage nodes.
    """

    def __init__(
        self,
        seed: int,
        load_s: float,
        failures_folder: Path,
        plan: list[PlannedFault] | None = None,
        gateways: int = GATEWAYS,
        stores: int = STORES,
    ) -> None:
        self.seed = seed
        self.load_s = load_s
        self._failures_folder = failures_folder
        self.plan = generate_plan(seed, load_s, gateways, stores) if plan is None else plan
        self._fleet = SoakFleet(seed, gateways, stores)
        self._workload = SoakWorkload(self._fleet, seed)
        self._fleet.on_route_added = self._workload.track_added_route

    async def execute(self) -> Verdict:
        """Execute the run and return its verdict."""
        started_at = monotonic()
        try:
            await self._fleet.start()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._workload.run(self.load_s))
                for planned in self.plan:
                    group.create_task(inject_fault(self._fleet, planned))
            violations = self._fleet.violations + await self._wait_for_recovery()
            violations += find_violations(self._workload.history, self._fleet.all_servers)
            violations += self._find_runs_in_evacuated_zones()
            violations += find_excessive_memory(self._fleet.peak_memory_by_node())
            violations += find_excessive_crashes(
                self._fleet.crashes_by_body, self._fleet.gateway_process_count
            )
            violations += find_late_poison_parts(
                self._fleet.crash_times_by_part,
                self._fleet.all_servers,
                self._fleet.gateway_process_count,
            )
            logs_folder = self._save_logs(violations) if violations else None
        finally:
            await self._fleet.stop()
        history = self._workload.history
        success_count = sum(record.status == 200 for record in history.requests)
        return Verdict(
            self.seed,
            self.plan,
            violations,
            len(history.requests),
            success_count,
            len(history.jobs_by_id),
            resumed_shares(history.resumed_streams),
            round(monotonic() - started_at, 1),
            logs_folder,
        )

    def _find_runs_in_evacuated_zones(self) -> list[str]:
        """Return descriptions of runs in evacuated zones, except while a node may be unaware."""
        load_started_at = self._workload.history.started_at
        excused_intervals = tuple(
            (
                load_started_at + fault.start_s,
                load_started_at + fault.start_s + fault.duration_s + EVACUATION_DELAY_S,
            )
            for fault in self.plan
            if fault.kind in EVACUATION_EXCUSE_KINDS
        )
        return [
            violation
            for server in self._fleet.all_servers
            for violation in find_runs_in_evacuated_zone(
                ZoneBackend(server, self._fleet.zone_of(server), excused_intervals),
                self._fleet.evacuations,
            )
        ]

    async def _wait_for_recovery(self) -> list[str]:
        """Wait until the fleet has recovered; describe what did not recover in time."""
        violations = []
        if not await self._poll(RECOVERY_TIMEOUT_S, self._all_gateways_serve):
            violations.append(
                f"not every gateway serves {RECOVERY_TIMEOUT_S} s after the last fault"
            )
        if not await self._poll(JOB_COMPLETION_TIMEOUT_S, self._all_jobs_complete):
            violations.append(
                f"not every job is complete {JOB_COMPLETION_TIMEOUT_S} s after the recovery"
            )
        for job in self._workload.history.jobs_by_id.values():
            if job.accepted_at is None:
                continue
            reads = [
                await self._workload.read_page(job, gateway, 0)
                for gateway in range(len(self._fleet.gateways))
            ]
            job.is_readable_at_end = all(status == 200 for status in reads)
        return violations

    async def _all_gateways_serve(self) -> bool:
        number = int(monotonic() * 1000)
        for gateway in range(len(self._fleet.gateways)):
            for attempt, kind in enumerate(RequestKind):
                request_id = f"calm-{kind.value}-{number}-{gateway}-{attempt}"
                record = await self._workload.request(request_id, kind, gateway)
                if record.status != 200:
                    return False
            for route in self._workload.history.routes:
                if await self._workload.probe(route, gateway) != 200:
                    return False
        return True

    async def _all_jobs_complete(self) -> bool:
        open_jobs = [
            job
            for job in self._workload.history.jobs_by_id.values()
            if job.accepted_at is not None and job.cancelled_at is None and not job.is_complete
        ]
        for number, job in enumerate(open_jobs):
            await self._workload.read_page(job, number % len(self._fleet.gateways), 0)
        return all(job.is_complete for job in open_jobs)

    async def _poll(self, timeout_s: float, condition: t.Callable[[], t.Awaitable[bool]]) -> bool:
        deadline = monotonic() + timeout_s
        while monotonic() < deadline:
            if await condition():
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    def _save_logs(self, violations: list[str]) -> Path:
        folder = self._failures_folder / f"seed-{self.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for node in (*self._fleet.gateways, *self._fleet.stores):
            if node.log_path.exists():
                shutil.copy(node.log_path, folder)
        verdict = {
            "seed": self.seed,
            "load_s": self.load_s,
            "violations": violations,
            "plan": [str(planned) for planned in self.plan],
        }
        (folder / "verdict.json").write_text(json.dumps(verdict, indent=2))
        return folder
