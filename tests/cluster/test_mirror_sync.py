"""Synchronization of mirrors from peers, with the service as a fallback."""

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
from wharfcart.experiments.virtual_time import run_in_virtual_time, virtual_monotonic
from wharfcart.observability.decisions import DecisionLog


@pytest.fixture(autouse=True)
def virtual_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mirror_sync, "monotonic", virtual_monotonic)


class Service:
    """Fake coordination service that counts its calls."""

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
        previous, self._changed = self._changed, asyncio.Event()
        previous.set()

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
        changes = tuple(entry for entry in self.entries.values() if entry.revision > after)
        return ChangeBatch(changes, self.revision)


class Peers:
    """Peer client that calls other nodes directly; nodes in ``unresponsive`` never respond."""

    def __init__(self) -> None:
        self.syncs: dict[str, MirrorSync] = {}
        self.unresponsive: set[str] = set()

    async def pull(self, peer: Peer, after: int, wait_s: float) -> PeerUpdates | None:
        if peer.node_id in self.unresponsive:
            await asyncio.sleep(3600)
        return await self.syncs[peer.node_id].serve_pull(after, wait_s)

    def disconnect(self, peer: Peer) -> None:
        """Do nothing, as there is no connection."""


class Fleet:
    """Storage nodes s0 to s4 and gateways, each with its own synchronization."""

    def __init__(self, gateways: int = 20) -> None:
        self.shared = Service()
        self.peers = Peers()
        self.services: dict[str, Service] = {}
        storage_peers = {f"s{n}": Peer(f"s{n}", "a", Address("", n)) for n in range(5)}
        self.syncs: dict[str, MirrorSync] = {}
        for node_id in [*storage_peers, *(f"g{n}" for n in range(gateways))]:
            selector = PeerSelector(node_id, "a")
            selector.set_peers(storage_peers)
            self.syncs[node_id] = MirrorSync(
                Mirror(),
                self.shared,
                selector,
                self.peers,
                lambda _changes: None,
                DecisionLog(node_id),
            )
        self.peers.syncs = {key: self.syncs[key] for key in storage_peers}

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        tasks = [asyncio.create_task(sync.run()) for sync in self.syncs.values()]
        try:
            await scenario()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def nodes_with_key(self, key: str) -> set[str]:
        return {name for name, sync in self.syncs.items() if sync.mirror.get(key) is not None}


def run_scenario(scenario: Callable[[Fleet], Awaitable[None]]) -> None:
    async def run() -> None:
        fleet = Fleet()
        await fleet.run(lambda: scenario(fleet))

    run_in_virtual_time(run())


def test_change_reaches_all_nodes_and_only_readers_call_the_service() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        before = fleet.shared.calls
        await asyncio.sleep(10)
        # Two readers, each with about one watch per second.
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
        cut_off = fleet.syncs["s0"]
        unavailable = Service()
        unavailable.is_unavailable = True
        cut_off._service = unavailable
        await asyncio.sleep(5)
        fleet.shared.put("news")
        await asyncio.sleep(1.9)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)
        assert not cut_off.in_outage

    run_scenario(scenario)


def test_every_node_detects_an_outage() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        assert not any(sync.in_outage for sync in fleet.syncs.values())
        fleet.shared.is_unavailable = True
        await asyncio.sleep(4)
        assert all(sync.in_outage for sync in fleet.syncs.values())
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
        # Wait for the longest retry delay, 1.5 s plus jitter.
        await asyncio.sleep(2.5)
        before = fleet.shared.calls
        for _ in range(10):
            fleet.shared.put("news")
            await asyncio.sleep(0.1)
        # Two readers, each with one call per change, and a few nodes that were followed before.
        assert fleet.shared.calls - before < 5 * 12

    run_scenario(scenario)


def test_malformed_response_does_not_stop_synchronization() -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        watch = fleet.shared.wait_for_changes
        malformed = iter([True] * 4)

        async def fail_at_first(after: int, wait_s: float) -> ChangeBatch:
            if next(malformed, False):
                raise ValueError("not an answer")
            return await watch(after, wait_s)

        fleet.shared.wait_for_changes = fail_at_first  # type: ignore[method-assign]
        await asyncio.sleep(5)
        fleet.shared.put("news")
        await asyncio.sleep(1)
        assert fleet.nodes_with_key("news") == set(fleet.syncs)

    run_scenario(scenario)


def test_node_starting_during_an_outage_loads_state_from_a_seed() -> None:
    """A start during an outage must not wait for the service."""

    async def scenario(fleet: Fleet) -> None:
        await asyncio.sleep(5)
        fleet.shared.put("before")
        await asyncio.sleep(0.5)
        unresponsive_service = Service()

        async def wait_forever(*_arguments: object, **_options: object) -> ChangeBatch:
            await asyncio.sleep(3600)
            raise AssertionError

        unresponsive_service.read_all = unresponsive_service.wait_for_changes = wait_forever  # type: ignore[method-assign]
        storage_peers = {f"s{n}": Peer(f"s{n}", "a", Address("", n)) for n in range(5)}
        selector = PeerSelector("new", "a")
        seeds = [Peer("gone", "", Address("", 9)), storage_peers["s3"]]
        fleet.peers.unresponsive.add("gone")

        def on_changes(_changes: list[KeyChange]) -> None:
            selector.set_peers(storage_peers)

        sync = MirrorSync(
            Mirror(),
            unresponsive_service,
            selector,
            fleet.peers,
            on_changes,
            DecisionLog("new"),
            seeds,
        )
        task = asyncio.create_task(sync.run())
        await asyncio.sleep(1.5)
        assert sync.mirror.get("before") is not None
        fleet.shared.put("news")
        await asyncio.sleep(1.0)
        assert sync.mirror.get("news") is not None
        task.cancel()

    run_scenario(scenario)


def test_fleet_started_gradually_converges_on_the_readers_of_each_region() -> None:
    """Nodes must not keep peers that they chose while few peers were known."""
    topology = Topology({"a": RegionName("west"), "b": RegionName("east")})
    known: dict[str, Peer] = {}
    service, peers = Service(), Peers()

    def followed() -> set[str]:
        return {name for sync in peers.syncs.values() for name in sync._followed_ids}

    async def scenario() -> None:
        selectors, tasks = [], []
        for n in range(40):
            node = Peer(f"s{n}", "ab"[n % 2], Address("", n))
            known[node.node_id] = node
            selector = PeerSelector(node.node_id, node.zone, topology)
            selectors.append(selector)
            sync = MirrorSync(
                Mirror(), service, selector, peers, lambda _changes: None, DecisionLog(node.node_id)
            )
            peers.syncs[node.node_id] = sync
            for other_selector in selectors:
                other_selector.set_peers(known)
            tasks.append(asyncio.create_task(sync.run()))
            await asyncio.sleep(0.2)
        await asyncio.sleep(15.0)
        assert sorted(known[name].zone for name in followed()) == ["a", "a", "b", "b"]
        for name, sync in peers.syncs.items():
            assert {known[other].zone for other in sync._followed_ids} <= {known[name].zone}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    run_in_virtual_time(scenario())
