"""The operators' dashboard queries exactly the metrics that a process serves."""

import json
import re
from pathlib import Path

from wharfcart.observability.serving_metrics import ServingMetrics

DASHBOARD = Path(__file__).parents[2] / "docs" / "operations" / "grafana-dashboard.json"
SUFFIXES = ("_bucket", "_total", "_sum", "_count", "_created")


def metric_family(name: str) -> str:
    for suffix in SUFFIXES:
        name = name.removesuffix(suffix)
    return name


def served_metrics() -> set[str]:
    text = ServingMetrics().render().decode()
    return {
        metric_family(line.split()[2]) for line in text.splitlines() if line.startswith("# TYPE")
    }


def queried_metrics() -> set[str]:
    panels = json.loads(DASHBOARD.read_text())["panels"]
    queries = [target["expr"] for panel in panels for target in panel["targets"]]
    return {
        metric_family(name) for query in queries for name in re.findall(r"wharfcart_\w+", query)
    }


def test_dashboard_queries_exactly_the_served_metrics() -> None:
    assert queried_metrics() == served_metrics()


def test_panels_do_not_overlap() -> None:
    positions = [
        tuple(panel["gridPos"].values()) for panel in json.loads(DASHBOARD.read_text())["panels"]
    ]
    assert len(set(positions)) == len(positions)
