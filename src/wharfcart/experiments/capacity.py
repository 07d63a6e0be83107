"""Table of the capacity page: the load of each role at full size, computed from committed figures.

A test checks that ``docs/CAPACITY.md`` holds the output of :func:`render_table`.
``python -m wharfcart.experiments.capacity`` regenerates the table.
"""

import json
from dataclasses import dataclass
from math import log
from pathlib import Path
from typing import Any

FIGURES_FOLDER = Path("docs/figures")
PAGE_PATH = Path("docs/CAPACITY.md")
TABLE_BEGIN = "<!-- table: computed, do not edit -->"
TABLE_END = "<!-- end of table -->"

NODES = 410
SERVERS = 1100
STORAGE_NODES = 30
SHARDS = 30
REPLICAS = 3
REQUESTS_PER_SECOND = 1000
TOKENS_PER_SECOND = 370_000
BATCH_ITEMS_PER_DAY = 1.3e9
MAX_JOB_ITEMS = 690_000
CHANGES_PER_DAY = 3300
SECONDS_PER_DAY = 86_400
ITEMS_PER_LEASE = 64
HEADER_BYTES = 40
OPEN_ITEMS_SHARE = 1 / 3  # of a day's items; job deadlines are eight hours
HEARTBEAT_INTERVAL_S = 0.25
POLLS_PER_SECOND_PER_SERVER = 1.0
CPU_LIMIT_PERCENT = 1.9
MEMORY_LIMIT_MB = 128
BYTES_PER_SECOND_LIMIT = 2000


@dataclass(frozen=True)
class CapacityRow:
    """A figure of one role at full size, and its limit."""

    role: str
    figure: str
    formula: str
    value: float
    unit: str
    limit: float | None
    basis: str

    @property
    def verdict(self) -> str:
        """Whether the value is within the limit; empty without a limit."""
        if self.limit is None:
            return ""
        return "within" if self.value <= self.limit else "OVER"


def load_figures(folder: Path) -> dict[str, Any]:
    """Return the content of each JSON file of the folder by file stem."""
    return {path.stem: json.loads(path.read_text()) for path in sorted(folder.glob("*.json"))}


def compute_rows(figures: dict[str, Any]) -> list[CapacityRow]:
    """Compute the rows of all roles at full size."""
    return [
        *_membership(figures),
        *_caller_edge(figures),
        *_owner(figures),
        *_journal(figures),
        *_scheduler(figures),
        *_configuration(figures),
        *_whole_node(figures),
        *_serving(figures),
    ]


def _membership(figures: dict[str, Any]) -> list[CapacityRow]:
    slopes = {slope["figure"]: slope for slope in figures["scale"]["slopes"]}

    def at_size(name: str) -> float:
        return float(slopes[name]["base"] + slopes[name]["per_node"] * NODES)

    def formula(name: str) -> str:
        slope = slopes[name]
        return (
            f"{slope['base']:.4g} + {slope['per_node']:.3g} ± {slope['standard_error']:.1g} a node"
        )

    largest = figures["scale"]["sizes"][-1]
    return [
        CapacityRow(
            "membership",
            "bytes sent",
            formula("bytes_per_second"),
            at_size("bytes_per_second"),
            "B/s",
            BYTES_PER_SECOND_LIMIT,
            "run hollow, 50 to 410",
        ),
        CapacityRow(
            "membership",
            "messages",
            formula("messages_per_second"),
            at_size("messages_per_second"),
            "1/s",
            None,
            "run hollow, 50 to 410",
        ),
        CapacityRow(
            "membership",
            "processor",
            formula("cpu_percent"),
            at_size("cpu_percent"),
            "% of a core",
            CPU_LIMIT_PERCENT,
            "run hollow, 50 to 410",
        ),
        CapacityRow(
            "membership",
            "memory",
            formula("memory_bytes"),
            at_size("memory_bytes") / 1e6,
            "MB",
            MEMORY_LIMIT_MB,
            "run hollow; extension memory not counted",
        ),
        CapacityRow(
            "membership",
            "one node lost, known to 99 in 100",
            "measured at 410",
            largest["node_detection_p99_s"],
            "s",
            6.0,
            "run hollow",
        ),
        CapacityRow(
            "membership",
            "rack lost, known to 99 in 100",
            "measured at 410",
            largest["rack_detection_p99_s"],
            "s",
            6.0,
            "run hollow",
        ),
        CapacityRow(
            "membership",
            "false removals in an hour, 1 % loss",
            "measured at 410",
            figures["membership_hour"]["false_removals"],
            "",
            0.0,
            "run hollow",
        ),
    ]


def _caller_edge(figures: dict[str, Any]) -> list[CapacityRow]:
    gateway = figures["gateway"]
    requests = REQUESTS_PER_SECOND / NODES
    tokens = TOKENS_PER_SECOND / NODES
    per_request = gateway["gateway_cpu_microseconds_per_request"]
    per_token = gateway["cpu_microseconds_per_streamed_token_all_nodes"]
    return [
        CapacityRow(
            "caller edge",
            "processor for requests",
            f"{requests:.2f}/s x {per_request} us",
            requests * per_request / 1e4,
            "% of a core",
            None,
            "reckoned from a measured slope",
        ),
        CapacityRow(
            "caller edge and owner",
            "processor for tokens",
            f"{tokens:.0f}/s x {per_token} us",
            tokens * per_token / 1e4,
            "% of a core",
            None,
            "reckoned from a measured slope",
        ),
    ]


def _owner(figures: dict[str, Any]) -> list[CapacityRow]:
    slopes = figures["slopes"]
    servers = SERVERS / NODES
    poll_bytes = slopes["lease_poll_bytes"] + HEADER_BYTES
    polls = servers * POLLS_PER_SECOND_PER_SERVER
    return [
        CapacityRow(
            "owner",
            "lease polls sent",
            f"{servers:.1f} servers x 1/s x {poll_bytes} B",
            polls * poll_bytes,
            "B/s",
            BYTES_PER_SECOND_LIMIT,
            "reckoned from encoded messages",
        ),
        CapacityRow(
            "owner",
            "choice of a back end",
            "measured with 1,100 servers",
            slopes["router_choose_seconds"] * 1e6,
            "us",
            None,
            "measured",
        ),
        CapacityRow(
            "owner",
            "routing state",
            "measured with 1,100 servers",
            slopes["router_memory_bytes"] / 1e6,
            "MB",
            MEMORY_LIMIT_MB,
            "measured",
        ),
    ]


def _journal(figures: dict[str, Any]) -> list[CapacityRow]:
    journal, slopes = figures["journal"], figures["slopes"]
    items = BATCH_ITEMS_PER_DAY / SECONDS_PER_DAY
    per_node = items * REPLICAS / STORAGE_NODES
    cpu = journal["cpu_microseconds_per_item_three_replicas"] / REPLICAS
    disk = journal["disk_bytes_per_item_and_replica"]
    led_shards = SHARDS / STORAGE_NODES
    heartbeats_per_s = led_shards * (REPLICAS - 1) / HEARTBEAT_INTERVAL_S
    heartbeat_bytes = slopes["heartbeat_bytes"] + HEADER_BYTES
    answer_bytes = slopes["heartbeat_answer_bytes"] + HEADER_BYTES
    return [
        CapacityRow(
            "journal replica",
            "processor for items",
            f"{per_node:.0f}/s x {cpu:.1f} us",
            per_node * cpu / 1e4,
            "% of a core",
            None,
            "reckoned from a measured slope",
        ),
        CapacityRow(
            "journal replica",
            "disk written a day",
            f"{per_node:.0f}/s x {disk} B",
            per_node * disk * SECONDS_PER_DAY / 1e9,
            "GB a disk",
            None,
            "reckoned from a measured slope",
        ),
        CapacityRow(
            "journal leader",
            "heartbeats and answers, idle",
            f"{heartbeats_per_s:.0f}/s x ({heartbeat_bytes} + {answer_bytes}) B",
            heartbeats_per_s * (heartbeat_bytes + answer_bytes),
            "B/s",
            BYTES_PER_SECOND_LIMIT,
            "reckoned from encoded messages",
        ),
        CapacityRow(
            "journal leader",
            "memory of the largest job",
            f"{MAX_JOB_ITEMS:,} x {slopes['scheduler_memory_bytes_per_item']:.2f} B",
            MAX_JOB_ITEMS * slopes["scheduler_memory_bytes_per_item"] / 1e6,
            "MB",
            MEMORY_LIMIT_MB,
            "measured",
        ),
    ]


def _scheduler(figures: dict[str, Any]) -> list[CapacityRow]:
    slopes = figures["slopes"]
    items = BATCH_ITEMS_PER_DAY / SECONDS_PER_DAY
    leases = items / ITEMS_PER_LEASE / SHARDS
    seconds = slopes["scheduler_choose_seconds"]
    per_item = slopes["scheduler_memory_bytes_per_item"]
    memory_bytes = BATCH_ITEMS_PER_DAY * OPEN_ITEMS_SHARE * per_item / STORAGE_NODES * REPLICAS
    return [
        CapacityRow(
            "batch scheduler",
            "processor",
            f"{leases:.1f} leases/s x {seconds * 1e6:.0f} us",
            leases * seconds * 100,
            "% of a core",
            CPU_LIMIT_PERCENT,
            "reckoned, 94 jobs a shard measured",
        ),
        CapacityRow(
            "batch scheduler",
            "memory of open items",
            f"1.3e9 / 3 x {per_item:.2f} B x 3 / 30",
            memory_bytes / 1e6,
            "MB",
            MEMORY_LIMIT_MB,
            "reckoned from a measured slope",
        ),
    ]


def _configuration(figures: dict[str, Any]) -> list[CapacityRow]:
    slopes, largest = figures["slopes"], figures["scale"]["sizes"][-1]
    changes = CHANGES_PER_DAY / SECONDS_PER_DAY
    burst_rate = 50 / 70
    per_change = (largest["burst_bytes_per_second"] - largest["bytes_per_second"]) / burst_rate
    return [
        CapacityRow(
            "configuration reader",
            "key-value calls, whole fleet",
            "2 readers x 1 / 2.5 s",
            0.8,
            "1/s",
            1.0,
            "reckoned",
        ),
        CapacityRow(
            "configuration",
            "in force everywhere, at most",
            "measured at 410, 50 a minute",
            largest["change_in_force_max_s"],
            "s",
            7.0,
            "run hollow",
        ),
        CapacityRow(
            "configuration",
            "bytes sent for changes",
            f"{changes:.3f}/s x {per_change:.0f} B",
            changes * per_change,
            "B/s",
            BYTES_PER_SECOND_LIMIT,
            "reckoned from a measured slope",
        ),
        CapacityRow(
            "configuration",
            "state",
            f"{slopes['configuration_entries']:,} entries",
            slopes["configuration_memory_bytes"] / 1e6,
            "MB",
            MEMORY_LIMIT_MB,
            "measured; extension memory not counted",
        ),
    ]


def _whole_node(figures: dict[str, Any]) -> list[CapacityRow]:
    gateway = figures["gateway"]
    idle = max(gateway["idle_megabytes"].values())
    return [
        CapacityRow(
            "whole node",
            "memory, idle, small fleet",
            "resident, measured",
            idle,
            "MB",
            MEMORY_LIMIT_MB,
            "measured, 4 real nodes",
        ),
        CapacityRow(
            "whole node",
            "processor, idle, 3 back ends a node",
            "measured",
            gateway["idle_cpu_percent"],
            "% of a core",
            CPU_LIMIT_PERCENT,
            "measured, 4 real nodes",
        ),
    ]


def _serving(figures: dict[str, Any]) -> list[CapacityRow]:
    """Return rows of gateways and storage nodes, extrapolated from a sweep over fleet sizes."""
    serving = figures["serving"]

    def row(role: str, key: str, name: str, unit: str, limit: float | None = None) -> CapacityRow:
        value, power = _extrapolate(serving["machines"], serving[key])
        return CapacityRow(
            role,
            name,
            f"busiest at {serving['machines'][-1]} machines x size^{power:.2f}",
            value,
            unit,
            limit,
            "measured by a sweep of 30, 100, 300; requests, batch and control together",
        )

    return [
        row("gateway process", "gateway_cpu_percent", "processor", "% of a core"),
        row("gateway process", "gateway_memory_mb", "memory, peak", "MB", MEMORY_LIMIT_MB),
        row("storage process", "storage_cpu_percent", "processor, leader", "% of a core"),
        row("storage process", "storage_memory_mb", "memory, peak", "MB", MEMORY_LIMIT_MB),
        row("storage process", "storage_connections", "connections, leader", ""),
        row("fleet", "configuration_in_force_ms", "configuration in force", "ms", 7000),
        row("fleet", "serving_after_all_killed_ms", "serving after all were killed", "ms"),
    ]


def _extrapolate(sizes: list[int], values: list[float]) -> tuple[float, float]:
    """Extrapolate to full size by the power law of the last two sizes; return value and power."""
    growth = log(values[-1] / values[-2]) / log(sizes[-1] / sizes[-2])
    power = min(2.0, max(0.0, growth))
    return values[-1] * (NODES / sizes[-1]) ** power, power


def render_table(rows: list[CapacityRow]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| role | figure | formula | at the size | limit | verdict | basis |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for row in rows:
        value = f"{row.value:.3g} {row.unit}".strip()
        limit = "" if row.limit is None else f"{row.limit:g}"
        lines.append(
            f"| {row.role} | {row.figure} | {row.formula} | {value} | {limit} | {row.verdict} |"
            f" {row.basis} |"
        )
    return "\n".join(lines)


def replace_table(page: str, table: str) -> str:
    """Return the page with its table replaced."""
    before, rest = page.split(TABLE_BEGIN)
    _, after = rest.split(TABLE_END)
    return f"{before}{TABLE_BEGIN}\n{table}\n{TABLE_END}{after}"


def main() -> None:
    """Regenerate the table of the capacity page."""
    table = render_table(compute_rows(load_figures(FIGURES_FOLDER)))
    PAGE_PATH.write_text(
        replace_table(PAGE_PATH.read_text(encoding="utf-8"), table), encoding="utf-8"
    )


if __name__ == "__main__":
    main()
