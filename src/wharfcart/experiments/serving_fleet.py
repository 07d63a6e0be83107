"""Gateways and storage nodes as processes, with emulated servers and metadata store.

The emulated servers run in the event loop of the caller.
"""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp

from wharfcart.emulator.metadata_store import MetadataStoreServer
from wharfcart.emulator.model_server import ModelServer
from wharfcart.emulator.operator_documents import example_configuration
from wharfcart.experiments.dev_fleet import free_endpoint
from wharfcart.node.fleet_keys import GROUP_PREFIX
from wharfcart.platform import names

HOST = "svc.example"
STREAM_SERVICE = "lm"
PLAIN_SERVICE = "app"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.03
ZONES = ("a", "b", "c")
MAX_SEEDS = 3
# Longer than the pause of a gateway between two listings.
LISTING_PAUSE_S = 1.0


@dataclass
class ServingNodeProcess:
    """A node's process, addresses and files."""

    role: str
    node_id: str
    folder: Path
    settings_path: Path
    listen: str
    readiness_listen: str
    cluster_listen: str
    process: "subprocess.Popen[bytes] | None" = None

    @property
    def log_path(self) -> Path:
        """File with the standard output of the process."""
        return self.folder / f"{self.node_id}.log"

    @property
    def data_folder(self) -> Path:
        """Folder with the node's data."""
        return self.folder / f"{self.node_id}-data"


class ServingFleet:
    """Emulated platform, gateways and storage nodes."""

    def __init__(self, gateways: int = 2, stores: int = 3, event_s: float = 0.01) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="wharfcart-serving-"))
        self.store = MetadataStoreServer()
        self.stream_servers = [ModelServer(f"i-lm-{n}", 12, event_s) for n in range(3)]
        self.plain_servers = [ModelServer(f"i-app-{n}", 0, 0.02) for n in range(2)]
        self.gateways = [self._make_node("gateway", n) for n in range(gateways)]
        self.stores = [self._make_node("storage", n) for n in range(stores)]
        self.configuration_version = 1
        self.tenants: list[dict[str, Any]] | None = None  # None: callers need no API keys
        self.session: aiohttp.ClientSession

    # ---- lifecycle ----

    async def start(self) -> None:
        """Start all processes; wait until gateways are ready and the job group has a leader."""
        self.session = aiohttp.ClientSession()
        for server in (*self.stream_servers, *self.plain_servers):
            await server.server.start("127.0.0.1", 0)
        await self.put_configuration(self.configuration())
        for server in self.stream_servers:
            await self.announce(server, STREAM_SERVICE)
        for server in self.plain_servers:
            await self.announce(server, PLAIN_SERVICE)
        for node in (*self.stores, *self.gateways):
            await self._write_settings(node)
            self.start_node(node)
        await self.until(self._all_ready, START_TIMEOUT_S)

    async def stop(self) -> None:
        """Kill all processes and remove the folder."""
        for node in (*self.gateways, *self.stores):
            self.signal(node, signal.SIGKILL)
        await self.session.close()
        await self.store.stop()
        for server in (*self.stream_servers, *self.plain_servers):
            await server.server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_node(self, node: ServingNodeProcess) -> None:
        """Start or restart a node."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "WHARFCART_SETTINGS": str(node.settings_path),
        }
        environment |= self.extra_environment(node)
        with node.log_path.open("ab") as output:
            node.process = subprocess.Popen(
                [sys.executable, "-m", "wharfcart.node.process", node.role],
                env=environment,
                stdout=output,
                stderr=output,
            )

    def signal(self, node: ServingNodeProcess, number: signal.Signals) -> None:
        """Send a signal to a running node; after SIGKILL, wait until it exits."""
        if node.process is None or node.process.poll() is not None:
            return
        node.process.send_signal(number)
        if number is signal.SIGKILL:
            node.process.wait()

    async def wait_for_exit(self, node: ServingNodeProcess) -> int:
        """Wait until a process exits and return its exit code."""
        assert node.process is not None
        return await asyncio.to_thread(node.process.wait, STOP_TIMEOUT_S)

    async def until(self, condition: Any, seconds: float) -> None:
        """Poll a condition, a function or coroutine function, until it holds.

        Raises:
            TimeoutError: the condition does not hold in time.
        """
        async with asyncio.timeout(seconds):
            while True:
                result = condition()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _all_ready(self) -> bool:
        if f"{GROUP_PREFIX}0" not in self.store.state.items:
            return False
        # A gateway that still lists keys does not follow a peer yet.
        if any(
            self.store.seconds_since_list(node.node_id) < LISTING_PAUSE_S for node in self.gateways
        ):
            return False
        return all([await self.is_ready(node) for node in self.gateways])

    async def is_ready(self, node: ServingNodeProcess) -> bool:
        """Whether a gateway reports ready."""
        url = f"http://{node.readiness_listen}{names.READINESS_PATH}"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    def log_lines(self, *events: str) -> list[str]:
        """Return the decision log's lines of some events, of all nodes, to explain a failure."""
        marks = [f'"event": "{event}"' for event in events]
        return [
            line
            for node in (*self.gateways, *self.stores)
            if node.log_path.exists()
            for line in node.log_path.read_text().split("\n")
            if any(mark in line for mark in marks)
        ]

    # ---- configuration and servers ----

    def configuration(self, **added: dict[str, Any]) -> dict[str, Any]:
        """Return the example configuration with more routes; keywords are names and prefixes."""
        self.configuration_version += 3
        return example_configuration(
            self.configuration_version, HOST, STREAM_SERVICE, PLAIN_SERVICE, added, self.tenants
        )

    async def put_configuration(self, configuration: dict[str, Any]) -> None:
        """Write the configuration to the metadata store."""
        await self.store.put(names.CONFIGURATION_KEY, configuration)

    async def announce(self, server: ModelServer, service: str, state: str = "ready") -> None:
        """Write a server's discovery entry to the metadata store."""
        key = names.SERVER_PREFIX + server.instance_id
        entry = server.backend_entry(service, self.zone_of(server), state)
        entry |= {"address": self.address_of(server)}
        await self.store.put(key, entry)

    # ---- clients ----

    async def request(
        self, gateway: int, path: str, request_id: str, deadline_ms: int = 8000, **more: Any
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request; return status, body and headers with lower-case names.

        Raises:
            aiohttp.ClientError: the connection closed before the response was complete.
        """
        headers = request_headers(request_id, deadline_ms, more.pop("key", ""))
        headers |= more.pop("headers", {})
        url = f"http://{self.gateways[gateway].listen}{path}"
        method = more.pop("method", "POST")
        async with self.session.request(method, url, headers=headers, **more) as response:
            response_headers = {name.lower(): value for name, value in response.headers.items()}
            return response.status, await response.read(), response_headers

    # ---- override points ----

    def address_of(self, server: ModelServer) -> str:
        """Return the address at which nodes reach a server."""
        return server.server.address

    def zone_of(self, server: ModelServer) -> str:
        """Return the zone of a server."""
        return ZONES[0]

    def extra_settings(self, node: ServingNodeProcess) -> list[str]:
        """Return additional lines of a node's settings file."""
        return []

    def extra_environment(self, node: ServingNodeProcess) -> dict[str, str]:
        """Return additional environment variables of a node's process."""
        return {}

    # ---- internals ----

    def _make_node(self, role: str, number: int) -> ServingNodeProcess:
        node_id = f"{role}-{number}"
        settings = self.folder / f"{node_id}.toml"
        return ServingNodeProcess(
            role,
            node_id,
            self.folder,
            settings,
            free_endpoint(),
            free_endpoint(),
            free_endpoint(),
        )

    async def _write_settings(self, node: ServingNodeProcess) -> None:
        number = int(node.node_id.rpartition("-")[2])
        seeds = ", ".join(f'"{gateway.cluster_listen}"' for gateway in self.gateways[:MAX_SEEDS])
        lines = [
            f'node_id = "{node.node_id}"',
            f'zone = "{ZONES[number % len(ZONES)]}"',
            f'coordination = "{await self.store.open_endpoint(node.node_id)}"',
            f'cluster_listen = "{node.cluster_listen}"',
            *self.extra_settings(node),
            f"seeds = [{seeds}]",
            "first_start = true",
            "stop_within_s = 8",
        ]
        if node.role == "gateway":
            lines.append(f'listen = "{node.listen}"')
            lines.append(f'readiness_listen = "{node.readiness_listen}"')
        else:
            lines.append(f'data_folder = "{node.data_folder}"')
        node.settings_path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def request_headers(request_id: str, deadline_ms: int, key: str = "") -> dict[str, str]:
    """Return the headers of a request; ``key`` is the tenant's API key, or '' for none."""
    headers = {"Host": HOST, names.REQUEST_ID: request_id, names.DEADLINE_MS: str(deadline_ms)}
    if key:
        headers[names.AUTHORIZATION] = f"Bearer {key}"
    return headers
