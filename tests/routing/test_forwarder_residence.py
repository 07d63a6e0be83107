"""Requests without a back end in their allowed regions are refused at once and do not run."""

import asyncio
from random import Random

import pytest

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import Residence, residence_in
from wharfcart.configuration.serving import Route, RouteKind, ServedTenant, TrafficShare
from wharfcart.http.connection import ConnectFailedError, ConnectionBrokenError
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform.http_headers import RequestMetadata
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import CallerRequest
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.eligibility import Eligibility
from wharfcart.routing.forwarder import Forwarder
from wharfcart.routing.placement import LocalPlacement

TOPOLOGY = Topology({"w1": RegionName("west"), "e1": RegionName("east")})
ANSWER_WITHIN_S = 0.1


class RecordingLog(DecisionLog):
    def __init__(self) -> None:
        super().__init__("n")
        self.lines: list[tuple[Event, dict[str, object]]] = []

    def write(self, event: Event, **fields: object) -> None:
        self.lines.append((event, fields))


class RecordingPool(ConnectionPool):
    """Records the instances that connections are requested for, and refuses to connect."""

    def __init__(self) -> None:
        super().__init__()
        self.requested: list[str] = []

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> object:
        self.requested.append(instance.instance_id)
        raise ConnectFailedError


class UnresponsiveConnection:
    """An idle connection whose peer no longer responds."""

    answered = 3

    def send(self, *_request: object) -> None:
        return

    async def read_head(self) -> None:
        raise ConnectionBrokenError("unresponsive")

    def close(self) -> None:
        return


class UnresponsivePool(RecordingPool):
    """Pool with an idle connection to every back end of an unreachable region."""

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> object:
        self.requested.append(instance.instance_id)
        return UnresponsiveConnection()


class Sink:
    def __init__(self) -> None:
        self.answers: list[tuple[int, list[tuple[str, str]]]] = []

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.answers.append((status, headers))


class ResidenceHarness:
    """A forwarder with one back end in the west."""

    def __init__(self, pool: RecordingPool | None = None) -> None:
        self.selector = BackendSelector("w1", Random(1), Eligibility(TOPOLOGY))
        self.selector.put(BackendInstance("i", "s", "127.0.0.1", 1, "w1", 4, True))
        self.pool = pool or RecordingPool()
        self.log = RecordingLog()
        self.metrics = ServingMetrics()
        self.sink = Sink()
        self.placement = LocalPlacement(self.selector)
        self.forwarder = Forwarder(
            self.selector,
            self.placement,
            self.pool,
            lambda _service: 4,
            self.log,
            self.metrics,
            CrashDetector(PoisonRequests(), self.log),
        )

    def add_back_ends(self) -> None:
        """Add eight back ends in the west and one in the east."""
        for n in range(8):
            self.selector.put(BackendInstance(f"i{n}", "s", "127.0.0.1", 1, "w1", 4, True))
        self.selector.put(BackendInstance("far", "s", "127.0.0.1", 1, "e1", 4, True))

    def send(self, route: Residence, tenant: Residence) -> None:
        kind = RouteKind.REPEATABLE
        shares = (TrafficShare("s", 1.0),)
        bound = Route("r", "h", "/", kind, shares, 5.0, 0.3, max_backends=3, residence=route)
        facts = RequestMetadata("id", None, (), 0, None)

        async def forward() -> None:
            now = asyncio.get_running_loop().time()
            request = CallerRequest(
                "GET", "/x", [], b"", facts, bound, "s", now, ServedTenant("t", residence=tenant)
            )
            async with asyncio.timeout(ANSWER_WITHIN_S):
                await self.forwarder.forward(request, self.sink)

        asyncio.run(forward())


@pytest.mark.parametrize(
    ("route", "tenant"),
    [
        (residence_in(["east"]), residence_in([])),
        (residence_in([]), residence_in(["east"])),
        (residence_in(["east"]), residence_in(["west"])),
        (residence_in(["west"]), residence_in(["east", "south"])),
    ],
)
def test_refused_at_once_without_a_back_end_in_its_regions(
    route: Residence, tenant: Residence
) -> None:
    harness = ResidenceHarness()
    harness.send(route, tenant)
    assert harness.pool.requested == []
    [(status, headers)] = harness.sink.answers
    assert status == 503
    assert "retry-after" in {name.lower() for name, _ in headers}
    _, fields = harness.log.lines[-1]
    assert (fields["outcome"], fields["cause"]) == ("refused", "outside_residence")
    assert b'wharfcart_outside_residence_total{what="request"} 1.0' in harness.metrics.render()


def test_retry_respects_residence() -> None:
    harness = ResidenceHarness()
    harness.selector.put(BackendInstance("far", "s", "127.0.0.1", 1, "e1", 4, True))
    harness.send(residence_in(["west"]), residence_in([]))
    assert set(harness.pool.requested) == {"i"}


def test_requests_to_an_unreachable_region_are_refused_without_a_connect() -> None:
    harness = ResidenceHarness()
    harness.add_back_ends()
    harness.send(residence_in(["west"]), residence_in([]))
    tried = list(harness.pool.requested)
    assert len(set(tried)) == 3
    harness.send(residence_in(["west"]), residence_in([]))
    assert harness.pool.requested == tried
    assert [status for status, _ in harness.sink.answers] == [503, 503]
    _, fields = harness.log.lines[-1]
    assert (fields["cause"], fields["regions"]) == ("region_unreachable", ["west"])


def test_unresponsive_idle_connections_count_as_region_failures() -> None:
    harness = ResidenceHarness(UnresponsivePool())
    harness.add_back_ends()
    for _ in range(3):
        harness.send(residence_in(["west"]), residence_in([]))
    assert len(harness.pool.requested) == 3
    # The first request may have run, so it is not answered as "not run".
    assert [status for status, _ in harness.sink.answers] == [502, 503, 503]


def test_region_with_a_reachable_granting_node_is_reachable() -> None:
    harness = ResidenceHarness()
    harness.add_back_ends()
    harness.send(residence_in(["west"]), residence_in([]))
    tried = len(harness.pool.requested)
    harness.placement.is_granter_reachable = lambda _service, _residence: True
    harness.send(residence_in(["west"]), residence_in([]))
    assert len(harness.pool.requested) > tried
