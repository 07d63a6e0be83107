"""The moment at which a request leaves: its back end may be ruled out since it was placed there."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic, time

import pytest

from wharfcart.admission.poison_requests import FIRST_QUARANTINE_S, PoisonRequests
from wharfcart.admission.request_fingerprint import fingerprint_of
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.batch.item_run import ItemAttempt, ItemProgress, ItemRunner, RunOutcome
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.serving import ColdLimit, Route, RouteKind, TrafficShare
from wharfcart.emulator.model_server import ModelServer
from wharfcart.http.connection import HttpConnection
from wharfcart.observability.decisions import DecisionLog
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.platform import exchanges
from wharfcart.platform.exchanges import RequestFacts
from wharfcart.routing import sender
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.routing.caller_request import CallerRequest
from wharfcart.routing.cold_backends import PERMIT_TTL_S
from wharfcart.routing.crash_detection import CrashDetector
from wharfcart.routing.forwarder import RETRY_AFTER_EVACUATED_S, Forwarder
from wharfcart.routing.placement import LocalPlacement, PlacementDecision, SendResult
from wharfcart.storage.partial_texts import ItemPartialText

ZONES = ("a", "b", "c")
HEADERS = [("host", "h"), (exchanges.REQUEST_ID_HEADER, "q")]


class DelayedPool(ConnectionPool):
    """Connections that come up after something has happened."""

    def __init__(self, on_connect: Callable[[BackendInstance], Awaitable[None]]) -> None:
        super().__init__()
        self._on_connect = on_connect

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> HttpConnection:
        connection = await super().acquire(instance, limit, force_new)
        await self._on_connect(instance)
        return connection


class Sink:
    """Takes an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""

    async def send_whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status, self.headers, self.body = status, dict(headers), body

    async def start(self, status: int, _headers: list[tuple[str, str]]) -> None:
        self.status = status

    async def send_part(self, data: bytes) -> None:
        self.body += data


class RecordingPlacement(LocalPlacement):
    """Notes which places were given back, and what was told of them."""

    def __init__(self, choice: BackendSelector) -> None:
        super().__init__(choice)
        self.finished_sends: list[tuple[str, SendResult]] = []

    def send_finished(self, decision: PlacementDecision, result: SendResult) -> None:
        self.finished_sends.append((decision.state.instance.instance_id, result))


class ForwarderHarness:
    """A forwarder before three servers, each in a zone of its own."""

    def __init__(self) -> None:
        self.selector = BackendSelector("a", Random(1))
        self.servers = {zone: ModelServer(zone, 0, 0.0) for zone in ZONES}
        self.connected: list[str] = []
        self.on_connected: Callable[[BackendInstance], Awaitable[None]] = self._nothing
        self.pool = DelayedPool(self._connected)
        self.placement = RecordingPlacement(self.selector)
        self.crash_detector = CrashDetector(PoisonRequests(), DecisionLog("test"))
        self.forwarder = Forwarder(
            self.selector,
            self.placement,
            self.pool,
            lambda _service: 8,
            DecisionLog("test"),
            ServingMetrics(),
            self.crash_detector,
        )

    async def _nothing(self, _instance: BackendInstance) -> None:
        return

    async def _connected(self, instance: BackendInstance) -> None:
        self.connected.append(instance.instance_id)
        await self.on_connected(instance)

    async def start(self) -> None:
        for zone, server in self.servers.items():
            await server.server.start("127.0.0.1", 0)
            host, _, port = server.server.address.rpartition(":")
            self.selector.put(BackendInstance(zone, "s", host, int(port), zone, 8, True))

    async def stop(self) -> None:
        self.pool.close()
        for server in self.servers.values():
            await server.server.stop()

    def evacuate(self, *zones: str) -> None:
        self.selector.eligibility.evacuated_zones = frozenset(zones)

    def run_zones(self) -> list[str]:
        return [zone for zone, server in self.servers.items() for _ in server.runs]

    async def forward(self, most_backends: int = 1) -> Sink:
        sink = Sink()
        route = Route(
            "r",
            "h",
            "/",
            RouteKind.AT_MOST_ONCE,
            (TrafficShare("s", 1.0),),
            5.0,
            1.0,
            max_backends=most_backends,
        )
        request = CallerRequest(
            "POST",
            "/x",
            HEADERS,
            b"",
            RequestFacts("q", None, (), 0, None),
            route,
            "s",
            monotonic(),
        )
        await self.forwarder.forward(request, sink)
        return sink

    async def run_item(self, zone: str) -> RunOutcome:
        state = self.selector.state(zone)
        assert state is not None
        runner = ItemRunner(self.selector, self.pool, lambda _service: 8, self.crash_detector)
        use = self.selector.record_sent(state, monotonic())
        progress = ItemProgress(ItemPartialText("j"))
        item = RequestItem(item_id="q", path="/x")
        return await runner.run(ItemAttempt(item, "h", "", state, use, progress, monotonic() + 9.0))


def play(scenario: Callable[[ForwarderHarness], Awaitable[None]]) -> None:
    async def run() -> None:
        bench = ForwarderHarness()
        await bench.start()
        try:
            await scenario(bench)
        finally:
            await bench.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_request_is_placed_again_if_its_zone_is_evacuated_during_connect() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def empty_once(instance: BackendInstance) -> None:
            if len(bench.connected) == 1:
                bench.evacuate(instance.zone)

        bench.on_connected = empty_once
        sink = await bench.forward()
        assert sink.status == 200
        first, second = bench.connected
        assert bench.run_zones() == [second] != [first]
        assert bench.placement.finished_sends[0] == (first, SendResult.UNKNOWN)

    play(scenario)


def test_successive_evacuations_use_up_no_attempts() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def empty_all_but_c(instance: BackendInstance) -> None:
            if len(bench.connected) < 3:
                bench.evacuate(*bench.connected)

        bench.on_connected = empty_all_but_c
        sink = await bench.forward(most_backends=1)
        assert sink.status == 200
        assert bench.run_zones() == [bench.connected[2]]

    play(scenario)


def test_refused_with_retry_after_if_all_zones_are_evacuated() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def empty_all(_instance: BackendInstance) -> None:
            bench.evacuate(*ZONES)

        bench.on_connected = empty_all
        sink = await bench.forward()
        assert sink.status == 503
        assert float(sink.headers["retry-after"]) == RETRY_AFTER_EVACUATED_S
        assert not bench.run_zones()

    play(scenario)


def test_restored_zone_is_used_while_another_is_evacuated() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        bench.evacuate("a", "b")
        assert (await bench.forward()).status == 200
        bench.evacuate("b", "c")
        assert (await bench.forward()).status == 200
        assert bench.run_zones() == ["a", "c"]

    play(scenario)


def test_item_is_not_sent_if_its_zone_is_evacuated_during_connect() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def empty_it(instance: BackendInstance) -> None:
            bench.evacuate(instance.zone)

        bench.on_connected = empty_it
        assert await bench.run_item("a") is RunOutcome.REFUSED
        assert not bench.run_zones()
        state = bench.selector.state("a")
        assert state is not None and state.in_flight == 0

    play(scenario)


def test_expired_permit_for_a_cold_back_end_is_not_used() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def slowly(_instance: BackendInstance) -> None:
            if len(bench.connected) == 1:
                await asyncio.sleep(PERMIT_TTL_S * 1.2)

        bench.selector.cold.limits = {"s": ColdLimit(4.0, 3.0)}
        bench.on_connected = slowly
        state = bench.selector.state("a")
        assert state is not None
        bench.selector.cold.report_received(state.cold, 60.0, monotonic(), 1)
        assert await bench.run_item("a") is RunOutcome.REFUSED
        assert not bench.run_zones()
        assert await bench.run_item("a") is not RunOutcome.REFUSED
        assert bench.run_zones() == ["a"]

    play(scenario)


FINGERPRINT = fingerprint_of("h", "POST", "/x", "", b"")


def quarantine(bench: ForwarderHarness) -> None:
    """Have it become known that two back ends ended while they ran the request."""
    for instance_id in ("gone-1", "gone-2"):
        bench.crash_detector.poison_requests.record_crash(FINGERPRINT, instance_id, 1.0, time())


def test_request_is_not_sent_if_quarantined_during_connect() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def suspect_it(_instance: BackendInstance) -> None:
            quarantine(bench)

        bench.on_connected = suspect_it
        sink = await bench.forward(most_backends=3)
        assert sink.status == 503
        assert FIRST_QUARANTINE_S - 1.0 <= float(sink.headers["retry-after"]) <= FIRST_QUARANTINE_S
        assert len(bench.connected) == 1 and not bench.run_zones()

    play(scenario)


def test_item_is_not_sent_if_quarantined_during_connect() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        async def suspect_it(_instance: BackendInstance) -> None:
            quarantine(bench)

        bench.on_connected = suspect_it
        assert await bench.run_item("a") is RunOutcome.REFUSED
        assert not bench.run_zones()

    play(scenario)


def test_answer_clears_poison_evidence() -> None:
    async def scenario(bench: ForwarderHarness) -> None:
        bench.crash_detector.poison_requests.record_crash(FINGERPRINT, "gone-1", 1.0, time())
        assert (await bench.forward()).status == 200
        assert not len(bench.crash_detector.poison_requests)
        bench.crash_detector.poison_requests.record_crash(FINGERPRINT, "gone-1", 1.0, time())
        bench.servers["a"].failure_status = 422
        assert await bench.run_item("a") is RunOutcome.UNPROCESSABLE
        assert not len(bench.crash_detector.poison_requests)

    play(scenario)


def test_request_is_not_sent_if_its_deadline_passes_during_connect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its machine was suspended meanwhile, and no timer ran."""

    async def scenario(bench: ForwarderHarness) -> None:
        async def suspend(_instance: BackendInstance) -> None:
            monkeypatch.setattr(sender, "monotonic", lambda: monotonic() + 60.0)

        bench.on_connected = suspend
        assert (await bench.forward()).status == 504
        assert not bench.run_zones()

    play(scenario)
