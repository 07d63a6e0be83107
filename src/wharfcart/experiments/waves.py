"""Experiment ``waves``: online load in square waves beside batch jobs, by policy.

Policies, each on the same arrivals:

* ``grants``: the product;
* ``own_choice``: gateways choose by load snapshots; online requests preempt items with a delay;
* ``no_yielding``: the same without preemption;
* ``online_alone``: the product without batch jobs, a bound for online requests.
"""

import asyncio
import json
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from random import Random
from typing import Any

from wharfcart.experiments.simulated_slots import VIRTUAL_CLOCK_MODULES, SlotFleet
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_clock

WARM_UP_S = 2.0


class WavePolicy(StrEnum):
    """How slots are assigned."""

    GRANTS = "grants"
    LOCAL_CHOICE = "own_choice"
    NO_PREEMPTION = "no_yielding"
    ONLINE_ONLY = "online_alone"


@dataclass(frozen=True)
class WaveLoad:
    """Load and fleet size; rates per second, times in seconds.

    Attributes:
        backlog_jobs: accepted before the start, evenly spaced over the deadline, with all progress
            lost: the state after a power loss of all machines.
    """

    duration_s: float = 40.0
    online_requests_per_s: float = 28.0
    low_factor: float = 0.38
    high_factor: float = 1.84
    low_s: float = 3.8
    high_s: float = 2.8
    online_prompt_tokens: int = 250
    online_events: int = 39
    objective_s: float = 0.3
    jobs_per_s: float = 0.34
    job_items: int = 10
    item_prompt_tokens: int = 350
    item_events: int = 268
    job_deadline_s: float = 18.0
    gateways: int = 6
    servers: int = 6
    slots: int = 8
    backlog_jobs: int = 0

    def rate_at(self, at: float) -> float:
        """Return the online requests per second at a time."""
        low = at % (self.low_s + self.high_s) < self.low_s
        return self.online_requests_per_s * (self.low_factor if low else self.high_factor)


@dataclass
class WaveResult:
    """Result of a policy.

    Attributes:
        first_events: arrival of each online request and seconds to its first event; None if it
            is refused.
    """

    first_events: list[tuple[float, float | None]] = field(default_factory=list)
    items: int = 0
    items_in_time: int = 0

    def online_in_time_share(self, objective_s: float) -> float:
        """Return the share of online requests with the first event within the objective."""
        in_time = sum(first is not None and first <= objective_s for _, first in self.first_events)
        return in_time / max(1, len(self.first_events))


@dataclass(frozen=True)
class Arrivals:
    """Arrivals of a run, the same for every policy."""

    online: list[tuple[float, int]]  # at, events
    jobs: list[tuple[float, list[int]]]  # at, events of each item; negative: backlog


def generate_arrivals(load: WaveLoad, seed: int) -> Arrivals:
    """Generate the arrivals of a run."""
    rng = Random(seed)

    def size(mean: int) -> int:
        return max(1, round(mean * rng.uniform(0.7, 1.3)))

    online: list[tuple[float, int]] = []
    at = 0.0
    while (
        at := at + rng.expovariate(load.online_requests_per_s * load.high_factor)
    ) < load.duration_s:
        if rng.random() < load.rate_at(at) / (load.online_requests_per_s * load.high_factor):
            online.append((at, size(load.online_events)))
    jobs: list[tuple[float, list[int]]] = []
    jobs += [
        (
            -load.job_deadline_s * n / load.backlog_jobs,
            [size(load.item_events) for _ in range(load.job_items)],
        )
        for n in range(load.backlog_jobs)
    ]
    at = 0.0
    while (at := at + rng.expovariate(load.jobs_per_s)) < load.duration_s:
        jobs.append((at, [size(load.item_events) for _ in range(size(load.job_items))]))
    return Arrivals(online, jobs)


def simulate(policy: WavePolicy, load: WaveLoad, seed: int) -> WaveResult:
    """Run a policy in virtual time."""
    arrivals = generate_arrivals(load, seed)
    with virtual_clock(VIRTUAL_CLOCK_MODULES):
        return run_in_virtual_time(_run_fleet(policy, load, arrivals, seed))


async def _run_fleet(
    policy: WavePolicy, load: WaveLoad, arrivals: Arrivals, seed: int
) -> WaveResult:
    uses_grants = policy in (WavePolicy.GRANTS, WavePolicy.ONLINE_ONLY)
    preempts_items = policy is not WavePolicy.NO_PREEMPTION
    fleet = SlotFleet(seed, load.gateways, load.servers, load.slots, uses_grants, preempts_items)
    result = WaveResult()
    background = fleet.start()

    async def ask(number: int, at: float, events: int) -> None:
        await asyncio.sleep(WARM_UP_S + at)
        first_s = await fleet.send_request(
            f"r{number}", load.online_prompt_tokens, events, load.objective_s
        )
        result.first_events.append((at, first_s))

    async def submit(number: int, at: float, events: list[int]) -> None:
        await asyncio.sleep(WARM_UP_S + max(0.0, at))
        age_s = max(0.0, -at)
        fleet.submit(f"j{number}", load.item_prompt_tokens, events, load.job_deadline_s, age_s)

    tasks = [asyncio.create_task(ask(n, *one)) for n, one in enumerate(arrivals.online)]
    if policy is not WavePolicy.ONLINE_ONLY:
        tasks += [asyncio.create_task(submit(n, *one)) for n, one in enumerate(arrivals.jobs)]
    await asyncio.gather(*tasks)
    await asyncio.sleep(load.job_deadline_s)
    for task in background:
        task.cancel()
    done_at = fleet.leadership.done_at
    result.items = len(fleet.leadership.due_at)
    result.items_in_time = sum(
        done_at.get(item, float("inf")) <= due for item, due in fleet.leadership.due_at.items()
    )
    return result


def run_waves(seed: int, output: Path, load: WaveLoad | None = None) -> dict[str, Any]:
    """Run every policy on the same arrivals; write figures and a plot."""
    load = load or WaveLoad()
    output.mkdir(parents=True, exist_ok=True)
    results = {policy: simulate(policy, load, seed) for policy in WavePolicy}
    figures: dict[str, Any] = {"experiment": "waves", "seed": seed}
    for policy, result in results.items():
        figures[f"{policy}_online_in_time"] = round(
            result.online_in_time_share(load.objective_s), 4
        )
        figures[f"{policy}_items_in_time"] = f"{result.items_in_time} of {result.items}"
    (output / "waves.json").write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    _plot(results, load, output / "waves.png")
    return figures


def _plot(outcomes: dict[WavePolicy, WaveResult], load: WaveLoad, path: Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(9, 4))
    seconds = range(int(load.duration_s))
    for policy, outcome in outcomes.items():
        axes.plot(
            seconds, [_in_time_share_at(outcome, load, at) for at in seconds], label=policy.value
        )
    axes.set_xlabel("second")
    axes.set_ylabel("online requests in time")
    axes.set_ylim(0, 1.05)
    axes.legend(loc="lower right")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _in_time_share_at(outcome: WaveResult, load: WaveLoad, second: int) -> float:
    def is_in_second(at: float) -> bool:
        return second <= at < second + 1

    delays_s = [first for at, first in outcome.first_events if is_in_second(at)]
    in_time = sum(first is not None and first <= load.objective_s for first in delays_s)
    return in_time / len(delays_s) if delays_s else 1.0
