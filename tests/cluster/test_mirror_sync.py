"""How a node's mirror stays up to date: peers first, the service where no peer is fresh."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from wharfcart.cluster import mirror_sync
from wharfcart.cluster.address import Address
from wharfcart.cluster.coordination import ChangeBatch, CoordinationUnavailableError, KeyChange
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.mirror_sync import MirrorSync, PeerUpdates
from wharfcart.cluster.peer_selection import Peer, PeerSelector
from wharfcart.cluster.topology import RegionName, Topology
from wharfcart.experiments.virtual_time import run_virtually, virtual_monotonic
from wharfcart.observability.decisions import DecisionLog


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mirror_sync, "monotonic", virtual_monotonic)


class Service:
    """A coordination service; its calls are counted."""

    def __init__(self) -> None:
        self.entries: dict[str, KeyChange] = {}
        self.revision = 1
        self.stale_reads = 0
        self.calls = 0
        self.is_unavailable = False
        self._changed = asyncio.Event()

    def put(self, key: str) -> None:
        self.revision += 1
        self.entries[key] = KeyChange(key, self.revision, b"v")
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def read_all(self, stale: bool = False) -> ChangeBatch:
        self.stale_reads += stale
        self.calls += not stale
        return ChangeBatch(tuple(self.entries.values()), self.revision, complete=True)

    async def wait_for_changes(self, after: int, wait_s: float) -> ChangeBatch:
        self.calls += 1
        if self.is_unavailable:
            raise CoordinationUnavailableError("refused")
        try:
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            pass
        news = tuple(entry for entry in self.entries.values() if entry.revision > after)
        return ChangeBatch(news, self.revision)


class Peers:
    """Calls to other links, by node id; those in ``silent`` never answer."""

    def __init__(self) -> None:
        self.syncs: dict[str, MirrorSync] = {}
        self.unresponsive: set[str] = set()

    async def pull(self, peer: Peer, after: int, wait_s: float) -> PeerUpdates | None:
        if peer.node_id in self.unresponsive:
            await asyncio.sleep(3600)
        return await self.syncs[peer.node_id].serve_pull(after, wait_s)

    def disconnect(self, peer: Peer) -> None:
        """Nothing to close."""


class Fleet:
    """Storage nodes s0..s4 and gateways, each with a link of its own."""

    def __init__(self, gateways: int = 20) -> None:
        self.shared = Service()
        self.peers = Peers()
        self.services: dict[str, Service] = {}
        known = {f"s{n}": Peer(f"s{n}", "a", Address("", n)) for n in range(5)}
        self.syncs: dict[str, MirrorSync] = {}
        for node_id in [*known, *(f"g{n}" for n in range(gateways))]:
            sources = PeerSelector(node_id, "a")
            sources.set_peers(known)
            self.syncs[node_id] = MirrorSync(
                Mirror(), self.shared, sources, self.peers, lambda news: None, DecisionLog(node_id)
            )
        self.peers.syncs = {key: self.syncs[key] for key in known}

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        tasks = [asyncio.create_task(link.run()) for link in self.syncs.values()]
        try:
            await scenario()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def nodes_with_key(self, key: str) -> set[str]:
        return {name for name, link in self.syncs.items() if link.mirror.get(key) is not None}


def run_scenario(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet()
        await fleet.run(lambda: scenario(fleet))

    run_virtually(run())


def test_change_reaches_all_nodes_and_only_readers_call_the_service() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        before = fleet.shared.calls
        await asyncio.sleep(10)
        # Two readers, each with a watch that ends about once a second.
        assert fleet.shared.calls - before < 2 * 12
        fleet.shared.put("news")
        await asyncio.sleep(0.3)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)

    run_scenario(scenario)


def test_simultaneous_start_uses_stale_reads_only() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(1.0)
        assert fleet.shared.stale_reads == len(fleet.syncs)
        assert fleet.shared.calls < 10

    run_scenario(scenario)


def test_unresponsive_readers_delay_a_change_by_less_than_two_seconds() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        fleet.peers.unresponsive = {"s0", "s1", "s2", "s3", "s4"}
        fleet.shared.put("news")
        await asyncio.sleep(1.9)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)

    run_scenario(scenario)


def test_node_cut_off_from_the_service_follows_peers() -> None:
    async def scenario(fleet: Fleet) -> None:
        refused = fleet.syncs["s0"]
        own = Service()
        own.is_unavailable = True
        refused._service = own
        await asyncio.sleep(5)
        fleet.shared.put("news")
        await asyncio.sleep(1.9)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)
        assert not refused.in_outage

    run_scenario(scenario)


def test_every_node_detects_an_outage() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        assert not any(link.in_outage for link in fleet.syncs.values())
        fleet.shared.is_unavailable = True
        await asyncio.sleep(4)
        assert all(link.in_outage for link in fleet.syncs.values())
        fleet.shared.is_unavailable = False
        fleet.shared.put("news")
        await asyncio.sleep(2.5)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)

    run_scenario(scenario)


def test_only_readers_call_the_service_after_an_outage() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        fleet.shared.is_unavailable = True
        await asyncio.sleep(4)
        fleet.shared.is_unavailable = False
        # A node that is refused tries again after 1.5 s or less, about half as much longer.
        await asyncio.sleep(2.5)
        before = fleet.shared.calls
        for _ in range(10):
            fleet.shared.put("news")
            await asyncio.sleep(0.1)
        # Two readers, each with a call for each of ten changes, and few that were followed besides.
        assert fleet.shared.calls - before < 5 * 12

    run_scenario(scenario)


def test_malformed_response_does_not_stop_synchronization() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        watch = fleet.shared.wait_for_changes
        broken = iter([True] * 4)

        async def odd(after: int, wait_s: float) -> ChangeBatch:
            if next(broken, False):
                raise ValueError("not an answer")
            return await watch(after, wait_s)

        fleet.shared.wait_for_changes = odd  # type: ignore[method-assign]
        await asyncio.sleep(5)
        fleet.shared.put("news")
        await asyncio.sleep(1)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)

    run_scenario(scenario)


def test_node_starting_during_an_outage_loads_state_from_a_seed() -> None:
    """Read in the code: a start during an outage waited for the service to come back."""

    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        fleet.shared.put("before")
        await asyncio.sleep(0.5)
        silent = Service()

        async def never(*_arguments: object, **_options: object) -> ChangeBatch:
            await asyncio.sleep(3600)
            raise AssertionError

        silent.read_all = silent.wait_for_changes = never  # type: ignore[method-assign]
        known = {f"s{n}": Peer(f"s{n}", "a", Address("", n)) for n in range(5)}
        sources = PeerSelector("new", "a")
        seeds = [Peer("gone", "", Address("", 9)), known["s3"]]
        fleet.peers.unresponsive.add("gone")

        def on_changes(_news: list[KeyChange]) -> None:
            sources.set_peers(known)

        started = MirrorSync(
            Mirror(), silent, sources, fleet.peers, on_changes, DecisionLog("new"), seeds
        )
        task = asyncio.create_task(started.run())
        await asyncio.sleep(1.5)
        assert started.mirror.get("before") is not None
        fleet.shared.put("news")
        await asyncio.sleep(1.0)
        assert started.mirror.get("news") is not None
        task.cancel()

    run_scenario(scenario)


def test_fleet_started_gradually_converges_on_the_readers_of_each_region() -> None:
    """Nodes kept whom they had chosen while they knew few: 14 of 84 read the service, not 9."""
    topology = Topology({"a": RegionName("west"), "b": RegionName("east")})
    known: dict[str, Peer] = {}
    service, peers = Service(), Peers()

    def followed() -> set[str]:
        return {name for link in peers.syncs.values() for name in link._followed_ids}

    async def scenario() -> None:
        all_sources, tasks = [], []
        for n in range(40):
            node = Peer(f"s{n}", "ab"[n % 2], Address("", n))
            known[node.node_id] = node
            sources = PeerSelector(node.node_id, node.zone, topology)
            all_sources.append(sources)
            link = MirrorSync(
                Mirror(), service, sources, peers, lambda news: None, DecisionLog(node.node_id)
            )
            peers.syncs[node.node_id] = link
            for one in all_sources:
                one.set_peers(known)
            tasks.append(asyncio.create_task(link.run()))
            await asyncio.sleep(0.2)
        await asyncio.sleep(15.0)
        assert sorted(known[name].zone for name in followed()) == ["a", "a", "b", "b"]
        for name, link in peers.syncs.items():
            assert {known[other].zone for other in link._followed_ids} <= {known[name].zone}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_virtually(scenario())
