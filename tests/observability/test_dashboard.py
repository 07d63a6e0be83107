"""The dashboard for operators asks only for metrics that are served, and for each of them."""

import json
import re
from pathlib import Path

from wharfcart.observability.serving_metrics import ServingMetrics

DASHBOARD = Path(__file__).parents[2] / "docs" / "operations" / "grafana-dashboard.json"
SUFFIXES = ("_bucket", "_total", "_sum", "_count", "_created")


def family(name: str) -> str:
    for suffix in SUFFIXES:
        name = name.removesuffix(suffix)
    return name


def served() -> set[str]:
    text = ServingMetrics().render().decode()
    return {family(line.split()[2]) for line in text.splitlines() if line.startswith("# TYPE")}


def asked() -> set[str]:
    panels = json.loads(DASHBOARD.read_text())["panels"]
    queries = [target["expr"] for panel in panels for target in panel["targets"]]
    return {family(name) for query in queries for name in re.findall(r"wharfcart_\w+", query)}


def test_the_dashboard_asks_for_each_metric_that_is_served() -> None:
    assert asked() == served()


def test_panels_stand_apart() -> None:
    places = [
        tuple(panel["gridPos"].values()) for panel in json.loads(DASHBOARD.read_text())["panels"]
    ]
    assert len(set(places)) == len(places)
