"""One run of a soak: a fleet, a plan, a load, and the verdict."""

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
    find_runs_in_evacuated_zone,
    find_violations,
)
from wharfcart.soak.plan import FaultKind, PlannedFault, generate_plan
from wharfcart.soak.workload import SoakWorkload

GATEWAYS = 3
STORES = 3
# The fleet has so long after the last fault to serve as before and to finish every job.
RECOVERY_TIMEOUT_S = 12.0
JOB_COMPLETION_TIMEOUT_S = 18.0
CALM_REQUESTS = 6
POLL_INTERVAL_S = 0.2
# A node that stands still, or that can read no order since the store is away, sends as before.
EVACUATION_EXCUSE_KINDS = frozenset({FaultKind.FREEZE, FaultKind.STORE_DOWN})


@dataclass(frozen=True)
class Verdict:
    """How one run ended.

    Attributes:
        violations: broken promises, in words; none if the run passed.
        kept: folder with plan, logs and verdict of a run that failed.
    """

    seed: int
    plan: list[PlannedFault]
    violations: list[str]
    request_count: int
    success_count: int
    job_count: int
    duration_s: float
    logs_folder: Path | None = None


class SoakRun:
    """One run.

    Args:
        seed: draws the plan and the load.
        load_s: how long faults and load go on.
        keep: folder that takes the logs of a run that failed.
        plan: faults to play in place of those that the seed draws.
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
        """Play the run to its end and judge it."""
        began_at = monotonic()
        try:
            await self._fleet.start()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._workload.run(self.load_s))
                for planned in self.plan:
                    group.create_task(inject_fault(self._fleet, planned))
            violations = self._fleet.violations + await self._wait_for_recovery()
            violations += find_violations(self._workload.history, self._fleet.all_servers)
            violations += self._find_runs_in_evacuated_zones()
            violations += find_excessive_crashes(
                self._fleet.crashes_by_body, self._gateway_process_count()
            )
            kept = self._save_logs(violations) if violations else None
        finally:
            await self._fleet.stop()
        history = self._workload.history
        answered = sum(record.status == 200 for record in history.requests)
        return Verdict(
            self.seed,
            self.plan,
            violations,
            len(history.requests),
            answered,
            len(history.jobs_by_id),
            round(monotonic() - began_at, 1),
            kept,
        )

    def _gateway_process_count(self) -> int:
        """Return how many processes of gateways the plan has run."""
        kills = sum(
            fault.kind in (FaultKind.KILL, FaultKind.TERMINATE) and not fault.on_storage
            for fault in self.plan
        )
        all_kills = sum(fault.kind is FaultKind.KILL_ALL for fault in self.plan)
        return len(self._fleet.gateways) * (1 + all_kills) + kills

    def _find_runs_in_evacuated_zones(self) -> list[str]:
        """Return what was sent to emptied zones, but for nodes that could not know of the order."""
        began_at = self._workload.history.started_at
        excused = tuple(
            (
                began_at + fault.start_s,
                began_at + fault.start_s + fault.duration_s + EVACUATION_DELAY_S,
            )
            for fault in self.plan
            if fault.kind in EVACUATION_EXCUSE_KINDS
        )
        return [
            problem
            for server in self._fleet.all_servers
            for problem in find_runs_in_evacuated_zone(
                ZoneBackend(server, self._fleet.zone_of(server), excused), self._fleet.evacuations
            )
        ]

    async def _wait_for_recovery(self) -> list[str]:
        """Wait until the fleet is well again; returns what was not in time."""
        found = []
        if not await self._poll(RECOVERY_TIMEOUT_S, self._all_gateways_serve):
            found.append(
                f"no gateway or not each serves {RECOVERY_TIMEOUT_S} s after the last fault"
            )
        if not await self._poll(JOB_COMPLETION_TIMEOUT_S, self._all_jobs_complete):
            found.append(f"jobs are not done {JOB_COMPLETION_TIMEOUT_S} s after the recovery")
        for job in self._workload.history.jobs_by_id.values():
            if job.accepted_at is None:
                continue
            reads = [
                await self._workload.read_page(job, gateway, 0)
                for gateway in range(len(self._fleet.gateways))
            ]
            job.is_readable_at_end = all(status == 200 for status in reads)
        return found

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
        until = monotonic() + timeout_s
        while monotonic() < until:
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
