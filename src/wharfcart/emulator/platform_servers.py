"""Emulated machine list (Prometheus HTTP service discovery) and rate-limited weight store."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from wharfcart.emulator.faults import FaultSwitch
from wharfcart.emulator.web_server import WebServer

MODEL_BYTES = 16e9
ADAPTER_BYTES = 60e6
STORE_BYTES_PER_SECOND = 40e9


@dataclass(frozen=True)
class Machine:
    """One machine as the platform knows it."""

    machine_id: str
    kind: str  # engine | application
    application: str
    zone: str
    address: str
    state: str = "live"  # live | leaving


class MachineListServer:
    """``GET /targets``: the machines as they were some time ago; ``POST`` changes one's state."""

    def __init__(self, lag_seconds: float, seed: int) -> None:
        self.switch = FaultSwitch(seed)
        self.machines: dict[str, Machine] = {}
        self._lag_s = lag_seconds
        self._versions: list[tuple[float, list[Machine]]] = []
        app = web.Application()
        app.router.add_get("/targets", self._targets)
        app.router.add_post("/control/machines/{id}", self._set_machine_state)
        self.switch.add_routes(app)
        self.server = WebServer(app)

    def put(self, machine: Machine, visible_at_once: bool = False) -> None:
        """Add or change a machine; seen after the lag."""
        self.machines[machine.machine_id] = machine
        self._record_version(visible_at_once)

    def remove(self, machine_id: str) -> None:
        """Drop a machine; seen after the lag."""
        self.machines.pop(machine_id, None)
        self._record_version(False)

    def _record_version(self, at_once: bool) -> None:
        now = asyncio.get_running_loop().time()
        at = now - self._lag_s if at_once else now
        self._versions.append((at, list(self.machines.values())))
        del self._versions[:-1000]

    async def _targets(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        horizon = asyncio.get_running_loop().time() - self._lag_s
        seen = [machines for at, machines in self._versions if at <= horizon]
        groups = [
            {
                "targets": [machine.address],
                "labels": {
                    "id": machine.machine_id,
                    "kind": machine.kind,
                    "application": machine.application,
                    "zone": machine.zone,
                    "state": machine.state,
                },
            }
            for machine in (seen[-1] if seen else [])
        ]
        return web.json_response(groups)

    async def _set_machine_state(self, request: web.Request) -> web.Response:
        body = await request.json()
        machine = self.machines.get(request.match_info["id"])
        if machine is None:
            return web.json_response({"error": "no such machine"}, status=404)
        changed = Machine(**(machine.__dict__ | {"state": body["state"]}))
        self.put(changed)
        return web.json_response({"state": changed.state})


class WeightStoreServer:
    """``GET /weights/{name}/{version}``: takes as long as the shared rate allows."""

    def __init__(self, speed: Callable[[], float], seed: int) -> None:
        self.switch = FaultSwitch(seed)
        self._speed = speed
        self._free_at = 0.0
        app = web.Application()
        app.router.add_get("/weights/{name}/{version}", self._weights)
        self.switch.add_routes(app)
        self.server = WebServer(app)

    async def _weights(self, request: web.Request) -> web.Response:
        refused = await self.switch.apply_before(request)
        if refused is not None:
            return refused
        adapter = request.match_info["name"].startswith("adapter-")
        size = ADAPTER_BYTES if adapter else MODEL_BYTES
        now = asyncio.get_running_loop().time()
        # One queue for all readers: the store's rate is shared.
        self._free_at = max(self._free_at, now) + size / STORE_BYTES_PER_SECOND / self._speed()
        await asyncio.sleep(self._free_at - now)
        return web.json_response({"bytes": size})
