"""Metrics of one serving process, in the Prometheus text format."""

from collections.abc import Iterator
from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest, start_http_server
from prometheus_client import Counter as PrometheusCounter
from prometheus_client import Gauge as PrometheusGauge
from prometheus_client import Histogram as PrometheusHistogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from wharfcart.observability.tasks import failures_by_task

# Bounds the number of time series.
MAX_SERVICE_LABELS = 100
MAX_TENANT_LABELS = 300
OTHER_LABELS = "(others)"
MAX_ZONE_LABELS = 64
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 8, 30)


class LabelledCounter:
    """A counter with one label."""

    def __init__(self, counter: PrometheusCounter) -> None:
        self._counter = counter

    def add(self, label: str, count: int = 1) -> None:
        """Add to the counter of a label; 0 adds nothing."""
        if count:
            self._counter.labels(label).inc(count)


class BoundedCounter:
    """A counter with a bounded number of label values; all further values share one.

    Args:
        counter: a counter with one label.
        max_labels: maximum number of label values with their own count.
    """

    def __init__(self, counter: LabelledCounter, max_labels: int) -> None:
        self._counter = counter
        self._max_labels = max_labels
        self._labels: set[str] = set()

    def add(self, label: str) -> None:
        """Count one."""
        if label not in self._labels and len(self._labels) >= self._max_labels:
            label = OTHER_LABELS
        else:
            self._labels.add(label)
        self._counter.add(label)


class BoundedGauge:
    """A gauge with a bounded number of label values; further values are ignored.

    Args:
        gauge: a gauge with one label.
        max_labels: maximum number of label values.
    """

    def __init__(self, gauge: PrometheusGauge, max_labels: int) -> None:
        self._gauge = gauge
        self._max_labels = max_labels
        self._labels: set[str] = set()

    def set(self, label: str, value: float) -> None:
        """Set the value of a label."""
        if label in self._labels or len(self._labels) < self._max_labels:
            self._labels.add(label)
            self._gauge.labels(label).set(value)


class Gauge(Protocol):
    """A metric whose value can go up and down."""

    def set(self, value: float) -> None:
        """Set the value."""
        ...


class _TaskFailures(Collector):
    """Unexpected errors of the process's tasks, by task."""

    def collect(self) -> Iterator[CounterMetricFamily]:
        family = CounterMetricFamily(
            "wharfcart_task_failures", "Unexpected errors of tasks", labels=["task"]
        )
        for task, count in sorted(failures_by_task.items()):
            family.add_metric([task], count)
        yield family


class ServingMetrics:
    """Counters, gauges and histograms of a gateway or storage process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.registry.register(_TaskFailures())
        self.requests = self._counter("wharfcart_answers", "Answers to callers", "outcome")
        self.limited_requests = BoundedCounter(
            self._counter("wharfcart_limited", "Requests over their tenant's limit", "tenant"),
            MAX_TENANT_LABELS,
        )
        self.outside_residence = self._counter(
            "wharfcart_outside_residence",
            "Refused since nothing in the regions where the data may be could take it",
            "what",
        )
        self.retries = self._counter("wharfcart_request_retries", "Further sends", "cause")
        self.coordination_calls = self._counter(
            "wharfcart_coordination_calls", "Calls to the coordination service", "call"
        )
        self.placements = self._counter(
            "wharfcart_placements", "Choices of a back end, by who made them", "by"
        )
        self.answer_ends = self._counter(
            "wharfcart_answer_ends",
            "Ends of answers that no length or chunks prove, by what they were taken for",
            "end",
        )
        self.stream_origins = self._counter(
            "wharfcart_stream_origins",
            "Streams that callers resumed, by what shows which software began them",
            "evidence",
        )
        self._peer_bytes = PrometheusCounter(
            "wharfcart_peer_bytes",
            "Bytes sent to other nodes, by distance of the node and kind of message",
            ["distance", "kind"],
            registry=self.registry,
        )
        self.item_runs = self._counter("wharfcart_items", "Runs of batch items", "outcome")
        self.first_byte_seconds = PrometheusHistogram(
            "wharfcart_first_byte_seconds",
            "Time from a whole request to the first byte of its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.configuration_version = self._gauge(
            "wharfcart_configuration_version", "Version of the configuration in force"
        )
        self.mirror_age_seconds = self._gauge(
            "wharfcart_coordination_age_seconds", "Time since coordination state was last confirmed"
        )
        self.evacuated_zones = BoundedGauge(
            self._gauge("wharfcart_zone_evacuated", "1 while nothing goes to a zone", "zone"),
            MAX_ZONE_LABELS,
        )
        self.in_flight_in_evacuated_zones = BoundedGauge(
            self._gauge(
                "wharfcart_zone_evacuated_in_flight",
                "Requests of this process that still run in a zone that was emptied",
                "zone",
            ),
            MAX_ZONE_LABELS,
        )
        self.cold_backends = self._gauge(
            "wharfcart_cold_backends", "Back ends that count as cold and are sent little"
        )
        self.quarantined_fingerprints = self._gauge(
            "wharfcart_contents_held_back",
            "Contents of requests that are held back since back ends ended while they ran them",
        )
        self.quarantined_parts = self._gauge(
            "wharfcart_parts_held_back",
            "Parts of prompts, or sets that can't be told apart, that crash back ends",
        )
        self.open_items = self._gauge("wharfcart_open_items", "Batch items not finished, if leader")
        self.items_waiting = self._gauge(
            "wharfcart_items_waiting", "Batch items that are not being run, if leader", "reason"
        )
        self.longest_item_wait = self._gauge(
            "wharfcart_items_waiting_longest_seconds",
            "Longest wait of a batch item since it last ran, if leader",
            "reason",
        )
        self.item_offers = self._counter(
            "wharfcart_item_offers", "Slots offered to batch items, by what became of them", "use"
        )
        self.items_preempted = self._counter(
            "wharfcart_items_yielded", "Items that left a slot for online requests", "cause"
        )
        self.items_restarted = BoundedCounter(
            self._counter(
                "wharfcart_items_restarted",
                "Items that began anew at another software version than their text's",
                "service",
            ),
            MAX_SERVICE_LABELS,
        )
        self.requests_waiting = self._gauge(
            "wharfcart_requests_waiting", "Requests that wait for a slot, at the node that grants"
        )
        self.copy_mismatches = self._counter(
            "wharfcart_copy_mismatches",
            "Messages, updates, texts and claims that did not fit a replica's copy",
            "what",
        )
        self.replicas_behind = self._gauge(
            "wharfcart_replicas_behind", "Replicas that lack acknowledged state, if leader"
        )

    def count_peer_message(self, distance: str, kind: str, size_bytes: int) -> None:
        """Count the bytes of a message to another node; both labels have few values."""
        self._peer_bytes.labels(distance, kind).inc(size_bytes)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

    def serve(self, host: str, port: int) -> None:
        """Serve the metrics over HTTP from a background thread."""
        start_http_server(port, host, self.registry)

    def _counter(self, name: str, description: str, label: str) -> LabelledCounter:
        return LabelledCounter(
            PrometheusCounter(name, description, [label], registry=self.registry)
        )

    def _gauge(self, name: str, description: str, *labels: str) -> PrometheusGauge:
        return PrometheusGauge(name, description, labels, registry=self.registry)
