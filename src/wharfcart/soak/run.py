"""One run of a soak: a fleet, a plan, a load, and the verdict."""

import asyncio
import json
import shutil
import typing as t
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

from wharfcart.soak.faults import play_fault
from wharfcart.soak.fleet import SoakFleet
from wharfcart.soak.history import RequestKind
from wharfcart.soak.plan import FaultKind, PlannedFault, draw_plan
from wharfcart.soak.promises import (
    EVACUATION_S,
    ServedZone,
    broken_promises,
    ended_too_many,
    sent_to_evacuated,
)
from wharfcart.soak.workload import Workload

GATEWAYS = 3
STORES = 3
# The fleet has so long after the last fault to serve as before and to finish every job.
RECOVERY_S = 12.0
FINISH_S = 18.0
CALM_REQUESTS = 6
POLL_S = 0.2
# A node that stands still, or that can read no order since the store is away, sends as before.
UNAWARE_KINDS = frozenset({FaultKind.FREEZE, FaultKind.STORE_DOWN})


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
    requests: int
    answered: int
    jobs: int
    seconds: float
    kept: Path | None = None


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
        keep: Path,
        plan: list[PlannedFault] | None = None,
        gateways: int = GATEWAYS,
        stores: int = STORES,
    ) -> None:
        self.seed = seed
        self.load_s = load_s
        self._keep = keep
        self.plan = draw_plan(seed, load_s, gateways, stores) if plan is None else plan
        self._fleet = SoakFleet(seed, gateways, stores)
        self._workload = Workload(self._fleet, seed)
        self._fleet.on_route_added = self._workload.route_added

    async def play(self) -> Verdict:
        """Play the run to its end and judge it."""
        began_at = monotonic()
        try:
            await self._fleet.start()
            async with asyncio.TaskGroup() as group:
                group.create_task(self._workload.run(self.load_s))
                for planned in self.plan:
                    group.create_task(play_fault(self._fleet, planned))
            violations = self._fleet.violations + await self._recover()
            violations += broken_promises(self._workload.history, self._fleet.all_servers)
            violations += self._sent_to_evacuated()
            violations += ended_too_many(self._fleet.ends_by_body, self._gateway_lives())
            kept = self._keep_logs(violations) if violations else None
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

    def _gateway_lives(self) -> int:
        """Return how many processes of gateways the plan has run."""
        kills = sum(
            fault.kind in (FaultKind.KILL, FaultKind.TERMINATE) and not fault.on_storage
            for fault in self.plan
        )
        all_kills = sum(fault.kind is FaultKind.KILL_ALL for fault in self.plan)
        return len(self._fleet.gateways) * (1 + all_kills) + kills

    def _sent_to_evacuated(self) -> list[str]:
        """Return what was sent to emptied zones, but for nodes that could not know of the order."""
        began_at = self._workload.history.began_at
        excused = tuple(
            (began_at + fault.at_s, began_at + fault.at_s + fault.for_s + EVACUATION_S)
            for fault in self.plan
            if fault.kind in UNAWARE_KINDS
        )
        return [
            problem
            for server in self._fleet.all_servers
            for problem in sent_to_evacuated(
                ServedZone(server, self._fleet.zone_of(server), excused), self._fleet.evacuations
            )
        ]

    async def _recover(self) -> list[str]:
        """Wait until the fleet is well again; returns what was not in time."""
        found = []
        if not await self._within(RECOVERY_S, self._every_gateway_serves):
            found.append(f"no gateway or not each serves {RECOVERY_S} s after the last fault")
        if not await self._within(FINISH_S, self._every_job_is_done):
            found.append(f"jobs are not done {FINISH_S} s after the recovery")
        for job in self._workload.history.jobs_by_id.values():
            if job.accepted_at is None:
                continue
            reads = [
                await self._workload.read_page(job, gateway, 0)
                for gateway in range(len(self._fleet.gateways))
            ]
            job.readable_at_end = all(status == 200 for status in reads)
        return found

    async def _every_gateway_serves(self) -> bool:
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

    async def _every_job_is_done(self) -> bool:
        open_jobs = [
            job
            for job in self._workload.history.jobs_by_id.values()
            if job.accepted_at is not None and job.ended_at is None and not job.complete
        ]
        for number, job in enumerate(open_jobs):
            await self._workload.read_page(job, number % len(self._fleet.gateways), 0)
        return all(job.complete for job in open_jobs)

    async def _within(self, seconds: float, condition: t.Callable[[], t.Awaitable[bool]]) -> bool:
        until = monotonic() + seconds
        while monotonic() < until:
            if await condition():
                return True
            await asyncio.sleep(POLL_S)
        return False

    def _keep_logs(self, violations: list[str]) -> Path:
        folder = self._keep / f"seed-{self.seed}"
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
