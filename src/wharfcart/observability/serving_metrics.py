"""Metrics of one serving process, in the Prometheus text format."""

from typing import Protocol

from prometheus_client import CollectorRegistry, generate_latest, start_http_server
from prometheus_client import Counter as PrometheusCounter
from prometheus_client import Gauge as PrometheusGauge
from prometheus_client import Histogram as PrometheusHistogram

# Tenants that are refused are few; a fleet of two years from now has 270 in all.
MOST_TENANTS = 300
OTHERS = "(others)"
# More zones than any fleet has.
MOST_ZONES = 64
LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 8, 30)


class LabelledCounter:
    """A counter with one label."""

    def __init__(self, counter: PrometheusCounter) -> None:
        self._counter = counter

    def add(self, label: str) -> None:
        """Count one."""
        self._counter.labels(label).inc()


class BoundedCounter:
    """A counter whose label takes any value, and shows so many; the rest count together.

    Args:
        counter: with one label.
        most: values that are shown by themselves.
    """

    def __init__(self, counter: LabelledCounter, most: int) -> None:
        self._counter = counter
        self._most = most
        self._shown: set[str] = set()

    def add(self, label: str) -> None:
        """Count one."""
        if label not in self._shown and len(self._shown) >= self._most:
            label = OTHERS
        else:
            self._shown.add(label)
        self._counter.add(label)


class BoundedGauge:
    """A gauge whose label takes any value, and shows so many; further ones are not shown.

    Args:
        gauge: with one label.
        most: values that are shown.
    """

    def __init__(self, gauge: PrometheusGauge, most: int) -> None:
        self._gauge = gauge
        self._most = most
        self._shown: set[str] = set()

    def set(self, label: str, value: float) -> None:
        """Show a value."""
        if label in self._shown or len(self._shown) < self._most:
            self._shown.add(label)
            self._gauge.labels(label).set(value)


class Gauge(Protocol):
    """A value that rises and falls."""

    def set(self, value: float) -> None:
        """Show a value."""
        ...


class ServingMetrics:
    """Counters, gauges and histograms of a gateway or storage process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter("wharfcart_answers", "Answers to callers", "outcome")
        self.limited = BoundedCounter(
            self._counter("wharfcart_limited", "Requests over their tenant's limit", "tenant"),
            MOST_TENANTS,
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
        self._peer_bytes = PrometheusCounter(
            "wharfcart_peer_bytes",
            "Bytes sent to other nodes, by distance of the node and kind of message",
            ["distance", "kind"],
            registry=self.registry,
        )
        self.items = self._counter("wharfcart_items", "Runs of batch items", "outcome")
        self.first_byte = PrometheusHistogram(
            "wharfcart_first_byte_seconds",
            "Time from a whole request to the first byte of its answer",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.configuration_version = self._gauge(
            "wharfcart_configuration_version", "Version of the configuration in force"
        )
        self.mirror_age = self._gauge(
            "wharfcart_coordination_age_seconds", "Time since coordination state was last confirmed"
        )
        self.evacuated = BoundedGauge(
            self._gauge("wharfcart_zone_evacuated", "1 while nothing goes to a zone", "zone"),
            MOST_ZONES,
        )
        self.evacuated_in_flight = BoundedGauge(
            self._gauge(
                "wharfcart_zone_evacuated_in_flight",
                "Requests of this process that still run in a zone that was emptied",
                "zone",
            ),
            MOST_ZONES,
        )
        self.cold_backends = self._gauge(
            "wharfcart_cold_backends", "Back ends that count as cold and are sent little"
        )
        self.contents_held = self._gauge(
            "wharfcart_contents_held_back",
            "Contents of requests that are held back since back ends ended while they ran them",
        )
        self.open_items = self._gauge("wharfcart_open_items", "Batch items not finished, if leader")
        self.items_yielded = self._counter(
            "wharfcart_items_yielded", "Items that left a slot for online requests", "cause"
        )
        self.requests_waiting = self._gauge(
            "wharfcart_requests_waiting", "Requests that wait for a slot, at the node that grants"
        )
        self.replicas_behind = self._gauge(
            "wharfcart_replicas_behind", "Replicas that lack acknowledged state, if leader"
        )

    def sent_to_peer(self, distance: str, kind: str, size: int) -> None:
        """Count a message to another node; both labels have few values."""
        self._peer_bytes.labels(distance, kind).inc(size)

    def render(self) -> bytes:
        """Return the text format."""
        return generate_latest(self.registry)

    def serve(self, host: str, port: int) -> None:
        """Serve the text format over HTTP, from a thread of its own."""
        start_http_server(port, host, self.registry)

    def _counter(self, name: str, text: str, label: str) -> LabelledCounter:
        return LabelledCounter(PrometheusCounter(name, text, [label], registry=self.registry))

    def _gauge(self, name: str, text: str, *labels: str) -> PrometheusGauge:
        return PrometheusGauge(name, text, labels, registry=self.registry)
