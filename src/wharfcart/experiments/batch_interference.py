"""Experiments on batch work beside online requests, compared with paired baselines."""

import json
import random
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from wharfcart.configuration.schema import PreemptionPolicy
from wharfcart.experiments.example_fleets import Profile
from wharfcart.experiments.simulated_serving import (
    OnlineArrival,
    ServingMode,
    ServingResult,
    ServingWorkload,
    SimulatedServing,
)

DURATION_S = 300.0
WARM_UP_S = 20.0
JOB_INTERVAL_S = 10.0


@dataclass(frozen=True)
class FleetShape:
    """Fleet size and load of a profile."""

    engines: int
    policy: PreemptionPolicy
    online_per_second: float
    online_prompt_words: int
    job_items: int
    batch_prompt_words: int
    tenants: int


SHAPES = {
    Profile.REGISTRATION: FleetShape(6, PreemptionPolicy.TAIL, 9.0, 400, 6000, 60, 50),
    Profile.SWAP: FleetShape(9, PreemptionPolicy.THROUGHPUT, 12.0, 250, 9000, 60, 60),
}


class Variant(StrEnum):
    """Experiment of this module."""

    HEAPS = "heaps"
    BURSTS = "bursts"
    FLOODING = "flooding"
    SLOW_BACKEND = "slow-backend"


def make_workload(shape: FleetShape, variant: Variant, seed: int) -> ServingWorkload:
    """Generate online arrivals and batch jobs."""
    source = random.Random(seed)
    arrivals: list[OnlineArrival] = []
    at = 0.0
    while at < DURATION_S:
        rate = shape.online_per_second
        if variant == Variant.BURSTS and 5.0 <= at % 15.0 < 7.0:
            rate *= 4
        at += source.expovariate(rate)
        tenant = f"tenant-{source.randrange(shape.tenants)}"
        if variant == Variant.FLOODING and source.random() < 0.5:
            tenant = "flooder"
        arrivals.append(OnlineArrival(at, tenant, _prompt(shape, tenant, source)))
    heaps = [
        (number * JOB_INTERVAL_S, shape.job_items)
        for number in range(int(DURATION_S / JOB_INTERVAL_S))
    ]
    return ServingWorkload(arrivals, heaps, shape.batch_prompt_words, DURATION_S, WARM_UP_S)


def _prompt(shape: FleetShape, tenant: str, source: random.Random) -> str:
    """Return a prompt: a prefix that all requests of the tenant share, and a random suffix."""
    prefix = " ".join(f"{tenant}-{n}" for n in range(shape.online_prompt_words // 2))
    length = int(shape.online_prompt_words / 2 * source.lognormvariate(0, 0.4))
    suffix = " ".join(str(source.randrange(10**6)) for _ in range(length))
    return f"{prefix} {suffix}"


def run_batch_interference(
    profile: Profile, variant: Variant, seed: int, output: Path
) -> dict[str, Any]:
    """Run every mode on the same arrivals; write figures, plots and an HTML report."""
    output.mkdir(parents=True, exist_ok=True)
    shape = SHAPES[profile]
    workload = make_workload(shape, variant, seed)
    slow = 4.0 if variant == Variant.SLOW_BACKEND else 1.0
    results = {
        mode: SimulatedServing(mode, workload, shape.engines, shape.policy, seed, slow).run()
        for mode in ServingMode
    }
    figures = summarize(profile, variant, seed, results)
    (output / "figures.json").write_text(json.dumps(figures, indent=2) + "\n", encoding="utf-8")
    plot_outcomes(results, output / "latency.png", output / "timeline.png")
    (output / "report.html").write_text(_render_html(figures), encoding="utf-8")
    return figures


def summarize(
    profile: Profile, variant: Variant, seed: int, outcomes: dict[ServingMode, ServingResult]
) -> dict[str, Any]:
    """Return the figures of an experiment."""
    online_only, wharfcart = outcomes[ServingMode.ONLINE_ONLY], outcomes[ServingMode.WHARFCART]
    oracle = outcomes[ServingMode.ORACLE]
    figures: dict[str, Any] = {
        "experiment": variant.value,
        "profile": profile.value,
        "seed": seed,
        "online_p99_ratio": _first_token_ratio(wharfcart, online_only, 99),
        "online_p50_ratio": _first_token_ratio(wharfcart, online_only, 50),
        "batch_throughput_ratio": round(
            wharfcart.items_completed / max(1, oracle.items_completed), 4
        ),
        "prefix_hit_ratio": round(wharfcart.hit_tokens / max(1, wharfcart.prompt_tokens), 4),
        "fairness_max_min_ratio": _fairness(wharfcart),
        "batch_stopped": wharfcart.batch_preempted,
    }
    for mode, outcome in outcomes.items():
        figures[f"{mode.value}_items_per_second"] = round(
            outcome.items_completed / (DURATION_S - WARM_UP_S), 1
        )
        figures[f"{mode.value}_first_token_p50_ms"] = _first_token_ms(outcome, 50)
        figures[f"{mode.value}_first_token_p99_ms"] = _first_token_ms(outcome, 99)
    return figures


def _first_token_ms(outcome: ServingResult, percent: float) -> float:
    return round(float(outcome.first_token.get_value_at_percentile(percent)) / 1000, 2)


def _first_token_ratio(one: ServingResult, other: ServingResult, percent: float) -> float:
    return round(_first_token_ms(one, percent) / _first_token_ms(other, percent), 4)


def _fairness(outcome: ServingResult) -> float:
    """Return the ratio of the highest to the lowest mean time to first token over tenants.

    The flooding tenant and tenants with few requests are excluded.
    """
    means = [
        histogram.get_mean_value()
        for tenant, histogram in outcome.first_token_by_tenant.items()
        if tenant != "flooder" and histogram.total_count >= 10
    ]
    return round(max(means) / min(means), 3) if means else 1.0


def plot_outcomes(
    outcomes: dict[ServingMode, ServingResult], latency: Path, timeline: Path
) -> None:
    """Plot latency distributions, and requests in flight over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    percents = [1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9]
    chart, axis = pyplot.subplots(figsize=(8, 4.5))
    for mode, outcome in outcomes.items():
        values = [_first_token_ms(outcome, percent) for percent in percents]
        axis.plot([str(percent) for percent in percents], values, marker=".", label=mode.value)
    axis.set(xlabel="percentile", ylabel="time to first token, ms", yscale="log")
    axis.legend()
    chart.tight_layout()
    chart.savefig(latency, dpi=120)
    pyplot.close(chart)
    chart, axis = pyplot.subplots(figsize=(8, 3.5))
    points = outcomes[ServingMode.WHARFCART].timeline
    axis.plot([p[0] for p in points], [p[1] for p in points], label="online in flight")
    axis.plot([p[0] for p in points], [p[2] for p in points], label="batch in flight", alpha=0.6)
    axis.set(xlabel="seconds", ylabel="requests on all engines")
    axis.legend()
    chart.tight_layout()
    chart.savefig(timeline, dpi=120)
    pyplot.close(chart)


def _render_html(figures: dict[str, Any]) -> str:
    rows = "".join(f"<tr><td>{key}</td><td>{value}</td></tr>" for key, value in figures.items())
    return (
        "<!doctype html><meta charset='utf-8'><title>wharfcart experiment</title>"
        f"<h1>{figures['experiment']}, {figures['profile']}</h1><table>{rows}</table>"
        "<img src='latency.png' alt='latency'><img src='timeline.png' alt='timeline'>"
    )
