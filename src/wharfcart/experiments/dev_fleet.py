"""A small fleet in one process: nodes, emulated platform and emulated back ends."""

import asyncio
import hashlib
import random
import shutil
import socket
import tempfile
from pathlib import Path

import aiohttp
import yaml

from wharfcart.emulator.fleet import EmulatedFleet
from wharfcart.experiments.example_fleets import Profile, example_document, example_emulator
from wharfcart.node.node import Node
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.schema import NodeSettings

ADMIN_KEY = "admin-key"
STORAGE_NODES = 3
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
MIN_PORT = 12_000
MAX_PORT = 32_000

_allocated_ports: set[int] = set()


def free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive loopback ports that are free for TCP and UDP.

    The ports are below the kernel's ephemeral range, so that no outgoing connection can use one
    before its server starts.
    """
    while True:
        first = random.randrange(MIN_PORT, MAX_PORT - count)
        wanted = range(first, first + count)
        if _allocated_ports.isdisjoint(wanted) and all(_is_free(port) for port in wanted):
            _allocated_ports.update(wanted)
            return first


def _is_free(port: int) -> bool:
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
    ):
        try:
            tcp.bind(("127.0.0.1", port))
            udp.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def free_endpoint() -> str:
    """Return a loopback address that is free for TCP and UDP."""
    return f"127.0.0.1:{free_ports(1)}"


class DevFleet:
    """Nodes in three zones, three of them with data folders, and the emulator."""

    def __init__(self, profile: Profile, nodes: int, listen: str) -> None:
        self.profile = profile
        self.admin_key = ADMIN_KEY
        self.document = example_document(profile)
        self.api_keys = [f"{tenant['name']}-key" for tenant in self.document["tenants"]]
        self.emulator = EmulatedFleet(example_emulator(profile))
        self.nodes: list[Node] = []
        self.urls: list[str] = []
        self._node_count = nodes
        self._listen = listen
        self._folder = Path(tempfile.mkdtemp(prefix="wharfcart-dev-"))

    async def start(self) -> None:
        """Start all nodes and wait until the configuration is in force."""
        await self.emulator.start()
        cluster = [free_endpoint() for _ in range(self._node_count)]
        for position in range(self._node_count):
            settings = self._settings(position, cluster)
            node = Node(settings)
            await node.start()
            self.nodes.append(node)
            self.urls.append(f"http://{settings.listen}")
        await wait_for_fleet(self.urls, self.admin_key, self._node_count)
        await apply_document(self.urls[0], self.admin_key, self.document)

    def _settings(self, position: int, cluster: list[str]) -> NodeSettings:
        zones = sorted({group.zone for group in example_emulator(self.profile).engines})
        addresses = self.emulator.addresses
        listen = free_endpoint()
        if position == 0 and split_endpoint(self._listen)[1] != 0:
            listen = self._listen
        return NodeSettings(
            node_id=f"node-{position + 1}",
            zone=zones[position % len(zones)],
            listen=listen,
            cluster_listen=cluster[position],
            seeds=cluster[:STORAGE_NODES],
            key_value=addresses.key_value,
            machine_list=addresses.machine_list,
            admin_key_sha256=hashlib.sha256(self.admin_key.encode()).hexdigest(),
            data_folder=(
                self._folder / f"node-{position + 1}" if position < STORAGE_NODES else None
            ),
        )

    async def stop(self) -> None:
        """Stop all nodes and delete their data."""
        for node in self.nodes:
            await node.close()
        await self.emulator.stop()
        await asyncio.to_thread(shutil.rmtree, self._folder, ignore_errors=True)


async def wait_for_fleet(urls: list[str], admin_key: str, nodes: int) -> None:
    """Wait until every node sees all nodes answering and each journal shard has a leader.

    Raises:
        TimeoutError: the fleet is not ready in time.
    """
    headers = {"Authorization": f"Bearer {admin_key}"}
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession(headers=headers) as session:
        for url in urls:
            while not await _is_ready(session, url, nodes):
                await asyncio.sleep(POLL_INTERVAL_S)


async def _is_ready(session: aiohttp.ClientSession, url: str, nodes: int) -> bool:
    try:
        async with session.get(f"{url}/admin/v1/status") as response:
            status = await response.json()
    except (aiohttp.ClientError, OSError):
        return False
    answering = [node for node in status["nodes"] if node["answers"]]
    leaders = sum(node["led_shards"] for node in answering)
    shards = len(status["shards"])
    return len(answering) >= nodes and 0 < shards <= leaders


async def apply_document(url: str, admin_key: str, document: dict[str, object]) -> None:
    """Apply a configuration document and wait until it is in force on every node.

    Raises:
        RuntimeError: the node rejects the document.
    """

    body = {"document": yaml.safe_dump(document), "author": "dev", "wait": True}
    headers = {"Authorization": f"Bearer {admin_key}"}
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.post(f"{url}/admin/v1/configuration", json=body) as response,
    ):
        if response.status != 200:
            raise RuntimeError(await response.text())
