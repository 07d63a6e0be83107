"""The moment at which a request leaves: its back end may be ruled out since it was placed there."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random
from time import monotonic, time

import pytest

from wharfcart.admission.request_content import content_of
from wharfcart.admission.suspects import FIRST_HOLD_S, Suspects
from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.batch.item_run import ItemProgress, ItemRunner, ItemSend, RunOutcome
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
from wharfcart.routing.backend_choice import BackendChoice
from wharfcart.routing.broken_runs import BrokenRuns
from wharfcart.routing.caller_request import CallerRequest
from wharfcart.routing.cold_rates import PERMIT_KEPT_S
from wharfcart.routing.forwarder import RETRY_AFTER_EVACUATED_S, Forwarder
from wharfcart.routing.placement import LocalPlacement, Placed, SendVerdict
from wharfcart.storage.partial_texts import ItemPartialText

ZONES = ("a", "b", "c")
HEADERS = [("host", "h"), (exchanges.REQUEST_ID_HEADER, "q")]


class Pool(ConnectionPool):
    """Connections that come up after something has happened."""

    def __init__(self, meanwhile: Callable[[BackendInstance], Awaitable[None]]) -> None:
        super().__init__()
        self._meanwhile = meanwhile

    async def take(
        self, instance: BackendInstance, limit: int, fresh: bool = False
    ) -> HttpConnection:
        connection = await super().take(instance, limit, fresh)
        await self._meanwhile(instance)
        return connection


class Sink:
    """Takes an answer."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""

    async def whole(self, status: int, headers: list[tuple[str, str]], body: bytes) -> None:
        self.status, self.headers, self.body = status, dict(headers), body

    async def start(self, status: int, _headers: list[tuple[str, str]]) -> None:
        self.status = status

    async def send(self, data: bytes) -> None:
        self.body += data


class RecordingPlacement(LocalPlacement):
    """Notes which places were given back, and what was told of them."""

    def __init__(self, choice: BackendChoice) -> None:
        super().__init__(choice)
        self.ends: list[tuple[str, SendVerdict]] = []

    def ended(self, placed: Placed, verdict: SendVerdict) -> None:
        self.ends.append((placed.state.instance.instance_id, verdict))


class Bench:
    """A forwarder before three servers, each in a zone of its own."""

    def __init__(self) -> None:
        self.choice = BackendChoice("a", Random(1))
        self.servers = {zone: ModelServer(zone, 0, 0.0) for zone in ZONES}
        self.connected: list[str] = []
        self.on_connected: Callable[[BackendInstance], Awaitable[None]] = self._nothing
        self.pool = Pool(self._connected)
        self.placement = RecordingPlacement(self.choice)
        self.broken_runs = BrokenRuns(Suspects(), DecisionLog("test"))
        self.forwarder = Forwarder(
            self.choice,
            self.placement,
            self.pool,
            lambda _service: 8,
            DecisionLog("test"),
            ServingMetrics(),
            self.broken_runs,
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
            self.choice.put(BackendInstance(zone, "s", host, int(port), zone, 8, True))

    async def stop(self) -> None:
        self.pool.close()
        for server in self.servers.values():
            await server.server.stop()

    def empty(self, *zones: str) -> None:
        self.choice.eligibility.evacuated_zones = frozenset(zones)

    def runs(self) -> list[str]:
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
            most_backends=most_backends,
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
        state = self.choice.state(zone)
        assert state is not None
        runner = ItemRunner(self.choice, self.pool, lambda _service: 8, self.broken_runs)
        use = self.choice.sent(state, monotonic())
        progress = ItemProgress(ItemPartialText("j"))
        item = RequestItem(item_id="q", path="/x")
        return await runner.run(ItemSend(item, "h", "", state, use, progress, monotonic() + 9.0))


def play(scenario: Callable[[Bench], Awaitable[None]]) -> None:
    async def run() -> None:
        bench = Bench()
        await bench.start()
        try:
            await scenario(bench)
        finally:
            await bench.stop()

    asyncio.run(asyncio.wait_for(run(), 20))


def test_a_request_whose_zone_was_emptied_as_its_connection_came_up_is_placed_anew() -> None:
    async def scenario(bench: Bench) -> None:
        async def empty_once(instance: BackendInstance) -> None:
            if len(bench.connected) == 1:
                bench.empty(instance.zone)

        bench.on_connected = empty_once
        sink = await bench.forward()
        assert sink.status == 200
        first, second = bench.connected
        assert bench.runs() == [second] != [first]
        assert bench.placement.ends[0] == (first, SendVerdict.UNKNOWN)

    play(scenario)


def test_zones_that_are_emptied_one_after_the_other_cost_a_request_none_of_its_tries() -> None:
    async def scenario(bench: Bench) -> None:
        async def empty_all_but_c(instance: BackendInstance) -> None:
            if len(bench.connected) < 3:
                bench.empty(*bench.connected)

        bench.on_connected = empty_all_but_c
        sink = await bench.forward(most_backends=1)
        assert sink.status == 200
        assert bench.runs() == [bench.connected[2]]

    play(scenario)


def test_with_all_zones_emptied_nothing_is_sent_and_the_refusal_tells_when_to_come_back() -> None:
    async def scenario(bench: Bench) -> None:
        async def empty_all(_instance: BackendInstance) -> None:
            bench.empty(*ZONES)

        bench.on_connected = empty_all
        sink = await bench.forward()
        assert sink.status == 503
        assert float(sink.headers["retry-after"]) == RETRY_AFTER_EVACUATED_S
        assert not bench.runs()

    play(scenario)


def test_a_zone_that_is_given_back_while_another_is_emptied_is_served_in_again() -> None:
    async def scenario(bench: Bench) -> None:
        bench.empty("a", "b")
        assert (await bench.forward()).status == 200
        bench.empty("b", "c")
        assert (await bench.forward()).status == 200
        assert bench.runs() == ["a", "c"]

    play(scenario)


def test_an_item_whose_zone_was_emptied_as_its_connection_came_up_is_not_sent() -> None:
    async def scenario(bench: Bench) -> None:
        async def empty_it(instance: BackendInstance) -> None:
            bench.empty(instance.zone)

        bench.on_connected = empty_it
        assert await bench.run_item("a") is RunOutcome.REFUSED
        assert not bench.runs()
        state = bench.choice.state("a")
        assert state is not None and state.in_flight == 0

    play(scenario)


def test_a_permit_for_a_cold_back_end_that_has_grown_old_is_not_used() -> None:
    async def scenario(bench: Bench) -> None:
        async def slowly(_instance: BackendInstance) -> None:
            if len(bench.connected) == 1:
                await asyncio.sleep(PERMIT_KEPT_S * 1.2)

        bench.choice.cold.limits = {"s": ColdLimit(4.0, 3.0)}
        bench.on_connected = slowly
        state = bench.choice.state("a")
        assert state is not None
        bench.choice.cold.told(state.cold, 60.0, monotonic(), 1)
        assert await bench.run_item("a") is RunOutcome.REFUSED
        assert not bench.runs()
        assert await bench.run_item("a") is not RunOutcome.REFUSED
        assert bench.runs() == ["a"]

    play(scenario)


CONTENT = content_of("h", "POST", "/x", "", b"")


def suspect(bench: Bench) -> None:
    """Have it become known that two back ends ended while they ran the request."""
    for instance_id in ("gone-1", "gone-2"):
        bench.broken_runs.suspects.note_end(CONTENT, instance_id, 1.0, time())


def test_a_request_that_becomes_a_suspect_as_its_connection_comes_up_is_not_sent() -> None:
    async def scenario(bench: Bench) -> None:
        async def suspect_it(_instance: BackendInstance) -> None:
            suspect(bench)

        bench.on_connected = suspect_it
        sink = await bench.forward(most_backends=3)
        assert sink.status == 503
        assert FIRST_HOLD_S - 1.0 <= float(sink.headers["retry-after"]) <= FIRST_HOLD_S
        assert len(bench.connected) == 1 and not bench.runs()

    play(scenario)


def test_an_item_that_becomes_a_suspect_as_its_connection_comes_up_is_not_sent() -> None:
    async def scenario(bench: Bench) -> None:
        async def suspect_it(_instance: BackendInstance) -> None:
            suspect(bench)

        bench.on_connected = suspect_it
        assert await bench.run_item("a") is RunOutcome.REFUSED
        assert not bench.runs()

    play(scenario)


def test_an_answer_takes_the_suspicion_away() -> None:
    async def scenario(bench: Bench) -> None:
        bench.broken_runs.suspects.note_end(CONTENT, "gone-1", 1.0, time())
        assert (await bench.forward()).status == 200
        assert not len(bench.broken_runs.suspects)
        bench.broken_runs.suspects.note_end(CONTENT, "gone-1", 1.0, time())
        bench.servers["a"].fails_with = 422
        assert await bench.run_item("a") is RunOutcome.IMPOSSIBLE
        assert not len(bench.broken_runs.suspects)

    play(scenario)


def test_a_request_whose_time_is_over_as_its_connection_comes_up_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its machine was suspended meanwhile, and no timer ran."""

    async def scenario(bench: Bench) -> None:
        async def suspend(_instance: BackendInstance) -> None:
            monkeypatch.setattr(sender, "monotonic", lambda: monotonic() + 60.0)

        bench.on_connected = suspend
        assert (await bench.forward()).status == 504
        assert not bench.runs()

    play(scenario)
