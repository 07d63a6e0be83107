"""A fleet of separate processes on loopback, for tests and benchmarks."""

import asyncio
import hashlib
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from wharfcart.experiments.dev_fleet import (
    ADMIN_KEY,
    STORAGE_NODES,
    apply_document,
    free_endpoint,
    free_ports,
    wait_for_fleet,
)
from wharfcart.experiments.example_fleets import Profile, example_document, example_emulator
from wharfcart.settings.schema import EmulatorSettings, ProxySettings

EXIT_TIMEOUT_S = 30.0
EMULATOR_PORT_COUNT = 64
POLL_INTERVAL_S = 0.05


@dataclass
class NodeProcess:
    """A node's process, addresses and files."""

    node_id: str
    zone: str
    url: str
    cluster_address: str
    advertised_address: str
    settings_path: Path
    data_folder: Path | None
    process: "subprocess.Popen[bytes] | None" = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self.process is not None
        return self.process.pid


@dataclass
class ProcessFleet:
    """Emulator and nodes, each in its own process."""

    profile: Profile
    node_count: int
    shards: int = 3
    proxied: bool = False  # nodes reach each other only through fault-injecting proxies
    document: dict[str, Any] = field(default_factory=dict)
    nodes: list[NodeProcess] = field(default_factory=list)
    admin_key: str = ADMIN_KEY

    def __post_init__(self) -> None:
        self.document = self.document or example_document(self.profile)
        self.folder = Path(tempfile.mkdtemp(prefix="wharfcart-fleet-"))
        self._emulator: subprocess.Popen[bytes] | None = None
        self._emulator_settings = example_emulator(self.profile)

    @property
    def urls(self) -> list[str]:
        """HTTP base addresses of all nodes."""
        return [node.url for node in self.nodes]

    # ---- starting ----

    async def start(self) -> None:
        """Start all processes and apply the example configuration."""
        self._plan_nodes()
        await self._start_emulator()
        self._write_settings()
        for node in self.nodes:
            self.start_node(node)
        await wait_for_fleet(self.urls, self.admin_key, self.node_count)
        await apply_document(self.urls[0], self.admin_key, self.document)
        await self._wait_for_backends()

    async def _start_emulator(self) -> None:
        first_port = free_ports(EMULATOR_PORT_COUNT)
        proxies = [
            ProxySettings(
                name=node.node_id, listen=node.advertised_address, target=node.cluster_address
            )
            for node in self.nodes
            if node.advertised_address != node.cluster_address
        ]
        settings = self._emulator_settings.model_copy(
            update={"first_port": first_port, "proxies": proxies}
        )
        path = self.folder / "emulator.toml"
        path.write_text(_emulator_toml(settings), encoding="utf-8")
        self.key_value = f"127.0.0.1:{first_port}"
        self.machine_list = f"http://127.0.0.1:{first_port + 1}/targets"
        self.proxy_control = f"127.0.0.1:{first_port + 3}"
        self._emulator = self._start_process("emulator", path, "emulator")
        async with asyncio.timeout(EXIT_TIMEOUT_S), aiohttp.ClientSession() as session:
            while not await _is_responding(session, self.machine_list):
                await asyncio.sleep(POLL_INTERVAL_S)

    def _plan_nodes(self) -> None:
        zones = sorted({group.zone for group in self._emulator_settings.engines})
        cluster = [free_endpoint() for _ in range(self.node_count)]
        for position in range(self.node_count):
            node_id = f"node-{position + 1}"
            stores = position < STORAGE_NODES
            data_folder = self.folder / f"{node_id}-data" if stores else None
            node = NodeProcess(
                node_id,
                zones[position % len(zones)],
                f"http://{free_endpoint()}",
                cluster[position],
                free_endpoint() if self.proxied else cluster[position],
                self.folder / f"{node_id}.toml",
                data_folder,
            )
            self.nodes.append(node)

    def _write_settings(self) -> None:
        seeds = [node.advertised_address for node in self.nodes[:STORAGE_NODES]]
        for node in self.nodes:
            node.settings_path.write_text(self._node_toml(node, seeds), encoding="utf-8")

    def _node_toml(self, node: NodeProcess, seed_list: list[str]) -> str:
        seeds = ", ".join(f'"{seed}"' for seed in seed_list)
        lines = [
            f'node_id = "{node.node_id}"',
            f'zone = "{node.zone}"',
            f'listen = "{node.url.removeprefix("http://")}"',
            f'cluster_listen = "{node.cluster_address}"',
            f'cluster_advertise = "{node.advertised_address}"',
            f"seeds = [{seeds}]",
            f'key_value = "{self.key_value}"',
            f'machine_list = "{self.machine_list}"',
            f'admin_key_sha256 = "{hashlib.sha256(self.admin_key.encode()).hexdigest()}"',
        ]
        if node.data_folder is not None:
            lines.append(f'data_folder = "{node.data_folder}"')
        lines += ["[journal]", f"shards = {self.shards}"]
        return "\n".join(lines) + "\n"

    def start_node(self, node: NodeProcess) -> None:
        """Start or restart a node."""
        node.process = self._start_process("node", node.settings_path, node.node_id)

    def _start_process(self, command: str, settings: Path, name: str) -> "subprocess.Popen[bytes]":
        log = (self.folder / f"{name}.log").open("ab")
        arguments = [sys.executable, "-m", "wharfcart", command, "--settings", str(settings)]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("WHARFCART_")}
        return subprocess.Popen(arguments, stdout=log, stderr=log, env=environment)

    async def _wait_for_backends(self) -> None:
        """Wait until every listed back end has an owner."""
        wanted = sum(group.count for group in self._emulator_settings.engines)
        wanted += sum(group.count for group in self._emulator_settings.applications)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while await self._owned_backends() < wanted:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _owned_backends(self) -> int:
        status = await self.status()
        owned = [b for node in status["nodes"] for b in node.get("owned", [])]
        return len({backend["backend_id"] for backend in owned})

    # ---- inspection ----

    async def status(self, url: str | None = None) -> dict[str, Any]:
        """Return the fleet status that a node reports; by default the first node."""
        headers = {"Authorization": f"Bearer {self.admin_key}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(f"{url or self.urls[0]}/admin/v1/status") as response,
        ):
            result: dict[str, Any] = await response.json()
            return result

    async def leaders(self, url: str | None = None) -> list[NodeProcess]:
        """Return the nodes that lead shards, most shards first."""
        status = await self.status(url)
        led = {node["node_id"]: node.get("led_shards", 0) for node in status["nodes"]}
        leading = [node for node in self.nodes if led.get(node.node_id, 0) > 0]
        return sorted(leading, key=lambda node: -led[node.node_id])

    async def ledger(self) -> list[dict[str, Any]]:
        """Return the effects that the application servers recorded."""
        address = (await self.addresses("application"))[0]
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{address}/ledger") as response,
        ):
            effects: list[dict[str, Any]] = await response.json()
            return effects

    async def addresses(self, kind: str) -> list[str]:
        """Return the addresses of the listed back ends of a kind."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(self.machine_list) as response,
        ):
            groups = await response.json()
        return [str(g["targets"][0]) for g in groups if g["labels"]["kind"] == kind]

    async def set_faults(self, address: str, **faults: object) -> None:
        """Set the faults of an emulated server."""
        async with (
            aiohttp.ClientSession() as session,
            session.post(f"http://{address}/control/faults", json=faults) as response,
        ):
            response.raise_for_status()

    # ---- faults ----

    async def set_link_faults(self, node: NodeProcess, **faults: object) -> None:
        """Set the faults of the traffic to a node; the fleet must be proxied."""
        url = f"http://{self.proxy_control}/control/proxies/{node.node_id}"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json=faults) as response,
        ):
            response.raise_for_status()

    def send_signal(self, node: NodeProcess, number: signal.Signals) -> None:
        """Send a signal to a node's process."""
        os.kill(node.pid, number)

    async def wait_exit(self, node: NodeProcess) -> int:
        """Wait until a node exits and return its exit code."""
        assert node.process is not None
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while node.process.poll() is None:
                await asyncio.sleep(POLL_INTERVAL_S)
        return int(node.process.returncode)

    def stop(self) -> None:
        """Kill every process of this fleet and delete its files."""
        processes = [node.process for node in self.nodes if node.process is not None]
        if self._emulator is not None:
            processes.append(self._emulator)
        for process in processes:
            if process.poll() is None:
                os.kill(process.pid, signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def _is_responding(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200 and bool(await response.json())
    except (aiohttp.ClientError, OSError):
        return False


def _emulator_toml(settings: EmulatorSettings) -> str:
    lines = [f"first_port = {settings.first_port}", f"speed = {settings.speed}"]
    for engine in settings.engines:
        models = ", ".join(f'"{model}"' for model in engine.models)
        lines += [
            "[[engines]]",
            f'zone = "{engine.zone}"',
            f"count = {engine.count}",
            f"models = [{models}]",
        ]
    for proxy in settings.proxies:
        lines += [
            "[[proxies]]",
            f'name = "{proxy.name}"',
            f'listen = "{proxy.listen}"',
            f'target = "{proxy.target}"',
        ]
    for application in settings.applications:
        lines += [
            "[[applications]]",
            f'zone = "{application.zone}"',
            f'name = "{application.name}"',
            f"count = {application.count}",
        ]
    return "\n".join(lines) + "\n"
