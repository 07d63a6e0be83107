"""Fleet of a soak: processes behind fault proxies, with fault hooks for clock and disk."""

import asyncio
import json
import random
import shutil
import signal
import sys
import typing as t
from collections import Counter
from enum import Enum
from pathlib import Path
from time import monotonic
from zlib import crc32

from wharfcart.emulator.answer_shapes import ShapeDraw
from wharfcart.emulator.fault_proxy import Endpoint, FaultProxy, ProxyFaults
from wharfcart.emulator.model_server import ModelServer
from wharfcart.emulator.operator_documents import repeatable_route_fields
from wharfcart.experiments.dev_fleet import free_endpoint
from wharfcart.experiments.serving_fleet import (
    PLAIN_SERVICE,
    STREAM_SERVICE,
    ZONES,
    ServingFleet,
    ServingNodeProcess,
    request_headers,
)
from wharfcart.node.fleet_keys import GROUP_PREFIX, NODE_PREFIX, node_entry_from
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.platform import names
from wharfcart.settings.base import split_endpoint
from wharfcart.soak.history import EvacuationRecord
from wharfcart.soak.hooks import sitecustomize as hooks
from wharfcart.soak.peer_processes import has_connection_from
from wharfcart.soak.tenants import tenant_documents, tenant_of
from wharfcart.storage.group_record import group_record_from

HOOKS_FOLDER = Path(hooks.__file__).parent
# Time from the crash of a back end to its restart.
RESTART_DELAY_S = 0.6
# Share of the streams without length and chunks.
UNTIL_CLOSE_SHARE = 0.25
BREAK_SHARE = 0.03
# The first part of all prompts.
COMMON_PART = "first"
SECOND_PARTS = 12
# Few, so that no prompt ties its request to one back end.
TOKENS_PER_PART = 10
# Time for which the store has no entry of the back end, with SAME_ID_AFTER_REMOVAL.
ENTRY_ABSENCE_S = 0.5


class RestartMode(Enum):
    """How a crashed back end restarts; the runs that it executed are lost in every mode.

    Attributes:
        NEW_ID: with a new instance id.
        SAME_ID: with its id; the new entry overwrites the old one.
        SAME_ID_AFTER_REMOVAL: with its id, some time after its entry was removed.
    """

    NEW_ID = "new_id"
    SAME_ID = "old_id_in_place"
    SAME_ID_AFTER_REMOVAL = "old_id_after_lapse"


# Modes are used in turn, so that few crashes cover all of them.
RESTART_MODES = tuple(RestartMode)


def prompt_of(*part_ids: str) -> str:
    """Return the header's value for a prompt with these parts."""
    return ",".join(f"{part_id}:{TOKENS_PER_PART}" for part_id in part_ids)


def sound_prompt_of(request_id: str) -> str:
    """Return the prompt of a sound request, whose first part many others share."""
    return prompt_of(COMMON_PART, f"second{crc32(request_id.encode()) % SECOND_PARTS}", request_id)


class SoakFleet(ServingFleet):
    """A fleet with fault injection into links, clocks and disks.

    Args:
        seed: seed of the proxies' random delays.
        gateways: number of gateways.
        stores: number of storage nodes.
    """

    def __init__(self, seed: int, gateways: int, stores: int) -> None:
        super().__init__(gateways=gateways, stores=stores, event_s=0.02)
        self._seed = seed
        for server in self.stream_servers:
            server.shapes = self._shapes_of(server.instance_id)
        self.proxies_by_node: dict[str, FaultProxy] = {}
        self.proxies_by_server: dict[str, FaultProxy] = {}
        self._address_by_server: dict[str, str] = {}
        self._advertised_by_node: dict[str, str] = {}
        self.retired_servers: list[ModelServer] = []
        self._next_server_number = 100
        self._restart_count = 0
        self.gateway_process_count = 0
        self.violations: list[str] = []
        self._added_routes: dict[str, dict[str, t.Any]] = {}
        self.on_route_added: t.Callable[[str], None] = lambda path: None
        self.tenants = tenant_documents()
        self.evacuations: list[EvacuationRecord] = []
        self._zones_by_server: dict[str, str] = {}
        self._poison_bodies: set[bytes] = set()
        self._poison_parts: set[str] = set()
        self.crashes_by_body: Counter[bytes] = Counter()
        self.crash_times_by_part: dict[str, list[float]] = {}
        self._replacements = BackgroundTasks()
        self.released_version = self.stream_servers[0].version

    async def request(
        self, gateway: int, path: str, request_id: str, deadline_ms: int = 8000, **more: t.Any
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send one request with its tenant's key; see :meth:`ServingFleet.request`."""
        key = tenant_of(request_id).key
        headers = {names.PROMPT_PREFIX: sound_prompt_of(request_id)} | more.pop("headers", {})
        return await super().request(
            gateway, path, request_id, deadline_ms, key=key, headers=headers, **more
        )

    def headers_of(self, request_id: str, deadline_ms: int) -> dict[str, str]:
        """Return the headers of a request with its tenant's key."""
        headers = request_headers(request_id, deadline_ms, tenant_of(request_id).key)
        return headers | {names.PROMPT_PREFIX: sound_prompt_of(request_id)}

    # -- lifecycle -----------------------------------------------------

    async def start(self) -> None:
        """Start proxies, emulated services and processes."""
        for node in (*self.gateways, *self.stores):
            advertised = free_endpoint()
            self._advertised_by_node[node.node_id] = advertised
            target = split_endpoint(node.cluster_listen)
            proxy = FaultProxy(split_endpoint(advertised), target, self._seed)
            self.proxies_by_node[node.node_id] = proxy
            await proxy.start()
            self.set_hook_faults(node, clock_step_s=0.0, disk="")
        await super().start()

    async def stop(self) -> None:
        """Stop all processes, emulated services and proxies."""
        await self._replacements.stop()
        await super().stop()
        for server in self.retired_servers:
            await server.server.stop()
        for proxy in (*self.proxies_by_node.values(), *self.proxies_by_server.values()):
            await proxy.stop()

    def extra_settings(self, node: ServingNodeProcess) -> list[str]:
        """Return the setting that makes peers reach the node through its proxy."""
        return [f'cluster_advertise = "{self._advertised_by_node[node.node_id]}"']

    def extra_environment(self, node: ServingNodeProcess) -> dict[str, str]:
        """Return variables that load the fault hooks for clock and disk into the process."""
        path = [str(HOOKS_FOLDER), *(entry for entry in sys.path if entry)]
        return {
            "PYTHONPATH": ":".join(path),
            hooks.CONTROL_VARIABLE: str(self._control_file(node)),
        }

    # -- faults --------------------------------------------------------

    def set_hook_faults(self, node: ServingNodeProcess, **values: t.Any) -> None:
        """Update the control file of one process's fault hooks."""
        path = self._control_file(node)
        current = json.loads(path.read_text()) if path.exists() else {}
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(current | values))
        new_path.replace(path)

    def kill_and_wipe(self, node: ServingNodeProcess) -> None:
        """Kill a storage node and delete its data."""
        self.signal(node, signal.SIGKILL)
        shutil.rmtree(node.data_folder, ignore_errors=True)

    def start_node(self, node: ServingNodeProcess) -> None:
        """Start or restart a node, and count the processes of gateways."""
        super().start_node(node)
        self.gateway_process_count += node in self.gateways

    def restart(self, node: ServingNodeProcess) -> None:
        """Restart a process if it has exited."""
        if node.process is not None and node.process.poll() is not None:
            self.start_node(node)

    async def set_link_faults(self, proxy: FaultProxy, **faults: t.Any) -> None:
        """Replace the faults of one link."""
        proxy.set_faults(ProxyFaults(**faults))

    def cut_off(self, node: ServingNodeProcess) -> None:
        """Let a storage node and the other storage nodes exchange nothing.

        Unlike stalled links to each of them, this lets the others elect a leader.
        """
        others = [store for store in self.stores if store is not node]
        self.proxies_by_node[node.node_id].set_unreachable_peers(
            lambda peer: _is_peer(others, peer)
        )
        for store in others:
            self.proxies_by_node[store.node_id].set_unreachable_peers(
                lambda peer: _is_peer([node], peer)
            )

    def end_cut_off(self) -> None:
        """Let all storage nodes exchange bytes again."""
        for node in self.stores:
            self.proxies_by_node[node.node_id].clear_unreachable_peers()

    def leader(self) -> ServingNodeProcess | None:
        """Return the storage node that leads job group 0 according to the metadata store."""
        items = self.store.state.items
        item = items.get(f"{GROUP_PREFIX}0")
        record = None if item is None else group_record_from(item.value, item.revision)
        for node in self.stores:
            entry = items.get(f"{NODE_PREFIX}{node.node_id}")
            node_entry = None if entry is None else node_entry_from(entry.value)
            if (
                record is not None
                and node_entry is not None
                and node_entry.identity == record.leader
            ):
                return node
        return None

    def serving_count(self, version: str) -> int:
        """Return the number of stream servers of a version that neither drain nor have crashed."""
        return sum(
            server.version == version and not server.has_crashed for server in self.stream_servers
        )

    async def replace_server(self, server_index: int, version: str = "") -> None:
        """Add a back end and drain the one that it replaces.

        Args:
            server_index: place of the back end.
            version: software version of the new one; '' for that of the old one.
        """
        index = server_index % len(self.stream_servers)
        version = version or self.stream_servers[index].version
        instance_id = f"i-lm-{self._next_server_number}"
        shapes = self._shapes_of(instance_id)
        new = ModelServer(instance_id, 12, 0.02, version=version, shapes=shapes)
        self._next_server_number += 1
        await new.server.start("127.0.0.1", 0)
        await self._add_server_proxy(new)
        # The server at this place may have crashed and restarted meanwhile.
        old, self.stream_servers[index] = self.stream_servers[index], new
        self.retired_servers.append(old)
        await self.announce(new, STREAM_SERVICE)
        await self.announce(old, STREAM_SERVICE, "draining")

    def _shapes_of(self, instance_id: str) -> ShapeDraw:
        """Return how a back end frames and breaks off its answers."""
        rng = random.Random(f"{self._seed} {instance_id}")
        return ShapeDraw(rng, UNTIL_CLOSE_SHARE, BREAK_SHARE)

    def peak_memory_by_node(self) -> dict[str, int]:
        """Return the largest resident size in bytes of each running process."""
        return {
            node.node_id: peak_memory_of(node.process.pid)
            for node in (*self.gateways, *self.stores)
            if node.process is not None and node.process.poll() is None
        }

    def crash_server(self, server: ModelServer) -> None:
        """Crash a back end, whatever it runs; it restarts soon."""
        if not server.has_crashed:
            server.crash()
            self._replacements.spawn(self._restart_crashed(server))

    def has_run(self, request_id: str) -> bool:
        """Return whether any back end has run the request."""
        return any(
            run.request_id == request_id for server in self.all_servers for run in server.runs
        )

    def add_poison_request(self) -> bytes:
        """Register a new poison request and return its body."""
        body = f"fatal {len(self._poison_bodies)}".encode()
        self._poison_bodies.add(body)
        return body

    def add_poison_part(self) -> str:
        """Register a new part of prompts that crashes back ends and return its id."""
        part_id = f"bad{len(self._poison_parts)}"
        self._poison_parts.add(part_id)
        self.crash_times_by_part[part_id] = []
        return part_id

    async def evacuate_zone(self, zone_index: int) -> EvacuationRecord:
        """Evacuate a zone, as the operator does."""
        zone = ZONES[zone_index % len(ZONES)]
        await self.store.put(names.EVACUATE_PREFIX + zone, {})
        record = EvacuationRecord(zone, monotonic())
        self.evacuations.append(record)
        return record

    async def end_evacuation(self, record: EvacuationRecord) -> None:
        """End an evacuation, unless another one of the same zone is still in force."""
        record.ended_at = monotonic()
        if not any(one.zone == record.zone and one.ended_at is None for one in self.evacuations):
            await self.store.remove(names.EVACUATE_PREFIX + record.zone)

    def zone_of(self, server: ModelServer) -> str:
        """Return the zone of a server; new servers are assigned to the zones in turn."""
        server_count = len(self._zones_by_server)
        return self._zones_by_server.setdefault(
            server.instance_id, ZONES[server_count % len(ZONES)]
        )

    async def add_route(self) -> None:
        """Write a configuration with one more route, as the operator does."""
        name = f"added-{len(self._added_routes)}"
        self._added_routes[name] = repeatable_route_fields(PLAIN_SERVICE)
        await self.put_configuration(self.configuration(**self._added_routes))
        self.on_route_added(f"/{name}/")

    @property
    def all_servers(self) -> list[ModelServer]:
        """Return all back ends of the run, including replaced ones."""
        return [*self.stream_servers, *self.plain_servers, *self.retired_servers]

    def address_of(self, server: ModelServer) -> str:
        """Return the address of the back end's proxy."""
        return self._address_by_server[server.instance_id]

    async def announce(self, server: ModelServer, service: str, state: str = "ready") -> None:
        """Write a back end's entry, after its proxy has started."""
        if server.instance_id not in self._address_by_server:
            await self._add_server_proxy(server)
        await super().announce(server, service, state)

    # -- crashed back ends ---------------------------------------------

    def _on_server_crash(self, server: ModelServer, poison: bytes) -> None:
        """Count the crash of a back end and schedule its restart."""
        if poison in self._poison_bodies:
            self.crashes_by_body[poison] += 1
        else:
            self.crash_times_by_part[poison.decode()].append(monotonic())
        self._replacements.spawn(self._restart_crashed(server))

    async def _restart_crashed(self, old: ModelServer) -> None:
        await self.proxies_by_server[old.instance_id].stop()
        is_stream_server = old in self.stream_servers
        servers = self.stream_servers if is_stream_server else self.plain_servers
        await asyncio.sleep(RESTART_DELAY_S)
        if old not in servers:
            return  # it was draining and has been replaced already
        mode = RESTART_MODES[self._restart_count % len(RESTART_MODES)]
        self._restart_count += 1
        if mode is RestartMode.NEW_ID:
            instance_id = f"i-after-end-{self._next_server_number}"
            self._next_server_number += 1
        else:
            instance_id = old.instance_id
            del self._address_by_server[instance_id]
        if mode is not RestartMode.SAME_ID:
            await self.store.remove(names.SERVER_PREFIX + old.instance_id)
        if mode is RestartMode.SAME_ID_AFTER_REMOVAL:
            await asyncio.sleep(ENTRY_ABSENCE_S)
        event_count, event_interval_s = (12, 0.02) if is_stream_server else (0, 0.02)
        # A back end may return under its id with the version that is being released.
        version = self.released_version if is_stream_server else old.version
        shapes = self._shapes_of(instance_id)
        new = ModelServer(
            instance_id, event_count, event_interval_s, version=version, shapes=shapes
        )
        await new.server.start("127.0.0.1", 0)
        if old not in servers:
            await new.server.stop()
            return
        servers[servers.index(old)] = new
        self.retired_servers.append(old)
        await self.announce(new, STREAM_SERVICE if is_stream_server else PLAIN_SERVICE)

    async def _add_server_proxy(self, server: ModelServer) -> None:
        """Put a proxy before a back end, and let what is poison crash it."""
        server.poison_bodies = self._poison_bodies
        server.poison_parts = self._poison_parts
        server.on_crash = self._on_server_crash
        address = free_endpoint()
        target = split_endpoint(server.server.address)
        proxy = FaultProxy(split_endpoint(address), target, self._seed)
        await proxy.start()
        self.proxies_by_server[server.instance_id] = proxy
        self._address_by_server[server.instance_id] = address

    def _control_file(self, node: ServingNodeProcess) -> Path:
        return self.folder / f"{node.node_id}.control.json"


def peak_memory_of(pid: int) -> int:
    """Return the largest resident size of a process in bytes; 0 if it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    peaks = [line.split()[1] for line in status.split("\n") if line.startswith("VmHWM:")]
    return int(peaks[0]) * 1024 if peaks else 0


def _is_peer(nodes: list[ServingNodeProcess], peer: Endpoint) -> bool:
    """Return whether a connection comes from one of some nodes, given its source address."""
    pids = [node.process.pid for node in nodes if node.process is not None]
    return has_connection_from(pids, peer[1])
