"""Prometheus metrics of a node.

Each node has its own registry, since several nodes can run in one process.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.56, 1, 2, 5, 10, 30)


class Metrics:
    """Metrics of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "wharfcart_requests", "Callers' requests", ["kind", "status"], registry=self.registry
        )
        self.first_byte_seconds = Histogram(
            "wharfcart_first_byte_seconds",
            "Time to the first byte of an online response",
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.retries = Counter(
            "wharfcart_retries", "Requests dispatched again", ["cause"], registry=self.registry
        )
        self.refusals = Counter(
            "wharfcart_refusals", "Requests not run", ["code"], registry=self.registry
        )
        self.batch_items = Counter(
            "wharfcart_batch_items",
            "Batch items finished on this node",
            ["end"],
            registry=self.registry,
        )
        self.batch_preemptions = Counter(
            "wharfcart_batch_yields", "Batch items stopped for online work", registry=self.registry
        )
        self.key_value_calls = Counter(
            "wharfcart_key_value_calls",
            "Calls to the key-value service",
            ["call"],
            registry=self.registry,
        )
        self.journal_commits = Gauge(
            "wharfcart_journal_commits", "Group commits written", registry=self.registry
        )
        self.dropped_completions = Gauge(
            "wharfcart_dropped_completions",
            "Duplicate completions dropped, led shards",
            registry=self.registry,
        )
        self.configuration_revision = Gauge(
            "wharfcart_configuration_revision", "Revision in force", registry=self.registry
        )
        self.live_members = Gauge("wharfcart_live_members", "Live nodes", registry=self.registry)
        self.control_bytes = Counter(
            "wharfcart_control_bytes", "Membership bytes sent", registry=self.registry
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
