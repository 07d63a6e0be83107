"""Experiment ``scale``: resource usage of hollow nodes over fleet size.

Measures membership (bytes, messages, processor time and memory; detection of a lost rack and zone;
a partitioned region) and propagation of configuration changes. Writes ``figures.json`` and plots.
"""

import gc
import json
import math
import tracemalloc
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import numpy as np

from wharfcart.experiments.hollow_fleet import HollowFleet

WARM_UP_S = 180.0
STEADY_S = 60.0
RACK_NODES = 8
DETECTION_WAIT_S = 25.0
PARTITION_S = 60.0
HEAL_S = 40.0
BURST_CHANGES = 50
BURST_S = 60.0
LOSS = 0.01


@dataclass(frozen=True)
class SizeFigures:
    """Figures of one fleet size; rates and memory are means per node."""

    nodes: int
    bytes_per_second: float
    bytes_per_second_max: float
    messages_per_second: float
    cpu_percent: float
    memory_bytes: float
    node_detection_p99_s: float
    rack_detection_p50_s: float
    rack_detection_p99_s: float
    rack_known_part: float
    zone_detection_p99_s: float
    zone_known_part: float
    false_removals: int
    cut_false_removals_inside: int
    healed_part: float
    change_in_force_max_s: float
    change_in_force_p50_s: float
    changes_in_force_everywhere: int
    burst_bytes_per_second: float


@dataclass(frozen=True)
class Slope:
    """Least-squares fit of a figure over the number of nodes."""

    figure: str
    base: float
    per_node: float
    standard_error: float


def run_scale(sizes: list[int], seed: int, output: Path) -> dict[str, Any]:
    """Run every size and write the figures."""
    output.mkdir(parents=True, exist_ok=True)
    figures = [measure_size(size, seed) for size in sizes]
    slopes = [
        fit_slope(name, figures)
        for name in ("bytes_per_second", "messages_per_second", "cpu_percent", "memory_bytes")
    ]
    result = {
        "experiment": "scale",
        "seed": seed,
        "loss": LOSS,
        "sizes": [asdict(figure) for figure in figures],
        "slopes": [asdict(slope) for slope in slopes],
    }
    (output / "figures.json").write_text(json.dumps(result, indent=2) + "\n", encoding="utf-8")
    plot_scale(figures, output / "scale.png")
    return result


def measure_size(nodes: int, seed: int) -> SizeFigures:
    """Run a fleet of one size through all faults."""
    gc.collect()
    tracemalloc.start()
    fleet = HollowFleet(nodes, seed, LOSS)
    fleet.run(WARM_UP_S)
    memory = tracemalloc.get_traced_memory()[0] / nodes
    tracemalloc.stop()
    fleet.reset_counters()
    fleet.run(STEADY_S)
    steady = _resource_usage(fleet, STEADY_S)
    single_times, _ = _kill_and_measure(fleet, {"node-7"})
    rack = {f"node-{number}" for number in range(nodes // 2, nodes // 2 + RACK_NODES)}
    rack_times, rack_part = _kill_and_measure(fleet, rack)
    zone = {n.name for n in fleet.nodes if n.zone == "zone-3" and n.up}
    zone_times, zone_part = _kill_and_measure(fleet, zone)
    lost = rack | zone | {"node-7"}
    false_removals = fleet.false_removals(lost)
    burst = _measure_burst(fleet)
    inside, healed = _measure_partition(fleet, lost)
    return SizeFigures(
        nodes,
        *steady,
        memory,
        _percentile(single_times, 99),
        _percentile(rack_times, 50),
        _percentile(rack_times, 99),
        rack_part,
        _percentile(zone_times, 99),
        zone_part,
        false_removals,
        inside,
        healed,
        *burst,
    )


def _resource_usage(fleet: HollowFleet, seconds: float) -> tuple[float, float, float, float]:
    live = [node for node in fleet.nodes if node.up]
    count = len(live)
    return (
        sum(node.bytes_sent for node in live) / count / seconds,
        max(node.bytes_sent for node in live) / seconds,
        sum(node.messages_sent for node in live) / count / seconds,
        sum(node.cpu_seconds for node in live) / count / seconds * 100,
    )


def _kill_and_measure(fleet: HollowFleet, names: set[str]) -> tuple[list[float], float]:
    killed_at = fleet.now
    fleet.kill(names)
    fleet.run(DETECTION_WAIT_S)
    times = fleet.detection_times(names, killed_at)
    observers = sum(node.up for node in fleet.nodes)
    return times, len(times) / (observers * len(names))


def _measure_burst(fleet: HollowFleet) -> tuple[float, float, int, float]:
    fleet.reset_counters()
    accepted: dict[int, float] = {}
    for revision in range(1, BURST_CHANGES + 1):
        accepted[revision] = fleet.now
        fleet.change_configuration(revision)
        fleet.run(BURST_S / BURST_CHANGES)
    fleet.run(10.0)
    live = {node.name for node in fleet.nodes if node.up}
    times = [
        max(seen[name] for name in live) - accepted[revision]
        for revision, seen in fleet.applied_at.items()
        if live <= seen.keys()
    ]
    spent = sum(node.bytes_sent for node in fleet.nodes if node.up) / len(live) / (BURST_S + 10)
    return max(times), _percentile(sorted(times), 50), len(times), spent


def _measure_partition(fleet: HollowFleet, lost: set[str]) -> tuple[int, float]:
    """Partition a region and heal it; return false removals and the share of known members."""
    before = len(fleet.changes)
    regions = sorted({node.region for node in fleet.nodes})
    fleet.partitioned_regions = {frozenset((regions[0], other)) for other in regions[1:]}
    fleet.run(PARTITION_S)
    region_of = {node.name: node.region for node in fleet.nodes}
    inside = sum(
        change.state == 3
        and change.member not in lost
        and (region_of[change.observer] == regions[0]) == (region_of[change.member] == regions[0])
        for change in fleet.changes[before:]
    )
    fleet.partitioned_regions = set()
    fleet.run(HEAL_S)
    live = [node for node in fleet.nodes if node.up]
    known = sum(len(node.membership.live()) for node in live)
    return inside, known / len(live) ** 2


def _percentile(ordered: list[float], percent: float) -> float:
    if not ordered:
        return math.inf
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def fit_slope(name: str, figures: list[SizeFigures]) -> Slope:
    """Fit a line over the number of nodes, with the standard error of its slope."""
    x = np.array([figure.nodes for figure in figures], dtype=float)
    y = np.array([getattr(figure, name) for figure in figures], dtype=float)
    if len(x) < 3:
        return Slope(name, float(y.mean()), 0.0, math.inf)
    (slope, base), covariance = np.polyfit(x, y, 1, cov="unscaled")
    residual = y - (base + slope * x)
    variance = float((residual**2).sum()) / (len(x) - 2)
    return Slope(name, float(base), float(slope), math.sqrt(variance * float(covariance[0, 0])))


def plot_scale(figures: list[SizeFigures], path: Path) -> None:
    """Plot traffic, detection time and propagation time over the number of nodes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    x = [figure.nodes for figure in figures]
    panels = [
        ("bytes a second a node", [f.bytes_per_second for f in figures], 2000.0),
        ("rack detection p99, s", [f.rack_detection_p99_s for f in figures], 6.0),
        ("change in force, max, s", [f.change_in_force_max_s for f in figures], 7.0),
    ]
    chart, axes = pyplot.subplots(1, len(panels), figsize=(12, 3.5))
    for axis, (title, values, limit) in zip(axes, panels, strict=True):
        axis.plot(x, values, marker="o")
        axis.axhline(limit, linestyle="--", color="grey")
        axis.set_title(title)
        axis.set_xlabel("nodes")
        axis.set_ylim(bottom=0)
    chart.tight_layout()
    chart.savefig(path, dpi=120)
    pyplot.close(chart)
