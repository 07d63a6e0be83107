"""The emulated surroundings of a fleet in one process: platform, engines, application servers."""

import asyncio
from dataclasses import dataclass

from wharfcart.emulator.application_server import ApplicationServer, Effect
from wharfcart.emulator.engine_core import EngineModel
from wharfcart.emulator.engine_server import EngineServer
from wharfcart.emulator.fault_proxy import ProxyGroup
from wharfcart.emulator.key_value_server import KeyValueServer
from wharfcart.emulator.platform_servers import Machine, MachineListServer, WeightStoreServer
from wharfcart.emulator.web_server import WebServer
from wharfcart.settings.schema import EmulatorSettings


@dataclass(frozen=True)
class EmulatorAddresses:
    """Where the platform's stand-ins listen."""

    key_value: str
    machine_list: str
    weight_store: str


class EmulatedFleet:
    """All stand-ins of one emulator process."""

    def __init__(self, settings: EmulatorSettings) -> None:
        self._settings = settings
        self._next_port = settings.first_port
        self.key_value = KeyValueServer(settings.key_value_calls_per_second, settings.seed)
        self.machine_list = MachineListServer(settings.machine_list_lag_seconds, settings.seed)
        self.weight_store = WeightStoreServer(lambda: settings.speed, settings.seed)
        self.proxies = ProxyGroup(settings.proxies, settings.seed)
        self.engines: dict[str, EngineServer] = {}
        self.applications: dict[str, ApplicationServer] = {}
        self.ledgers: dict[str, list[Effect]] = {}

    @property
    def addresses(self) -> EmulatorAddresses:
        """Addresses for node settings."""
        return EmulatorAddresses(
            self.key_value.server.address,
            f"http://{self.machine_list.server.address}/targets",
            self.weight_store.server.address,
        )

    async def start(self) -> None:
        """Start everything."""
        for server in (self.key_value, self.machine_list, self.weight_store):
            await server.server.start(self._settings.listen_host, self._allocate_port())
        await self.proxies.start(self._settings.listen_host, self._allocate_port())
        seed = self._settings.seed
        for group in self._settings.engines:
            for _ in range(group.count):
                seed += 1
                await self._start_engine(group.zone, group.models, seed)
        for application in self._settings.applications:
            for _ in range(application.count):
                seed += 1
                await self._start_application(application.zone, application.name, seed)

    async def stop(self) -> None:
        """Stop everything."""
        servers: list[EngineServer | ApplicationServer | WebServer | ProxyGroup] = [
            self.proxies,
            *self.engines.values(),
            *self.applications.values(),
            self.key_value.server,
            self.machine_list.server,
            self.weight_store.server,
        ]
        await asyncio.gather(*(server.stop() for server in servers))

    async def _start_engine(self, zone: str, models: list[str], seed: int) -> None:
        engine_id = f"engine-{len(self.engines) + 1}"
        engine = EngineServer(
            engine_id,
            EngineModel(),
            self._settings.speed,
            self.weight_store.server.address,
            seed,
        )
        if models:
            engine.loaded_model.model_name, engine.loaded_model.version = models[0], "1"
            engine.loaded_model.adapters = set(models[1:])
        await engine.start(self._settings.listen_host, self._allocate_port())
        self.engines[engine_id] = engine
        machine = Machine(engine_id, "engine", "", zone, engine.address)
        self.machine_list.put(machine, visible_at_once=True)

    async def _start_application(self, zone: str, name: str, seed: int) -> None:
        server_id = f"{name}-{len(self.applications) + 1}"
        ledger = self.ledgers.setdefault(name, [])
        server = ApplicationServer(server_id, name, ledger, self._settings.speed, seed)
        await server.start(self._settings.listen_host, self._allocate_port())
        self.applications[server_id] = server
        machine = Machine(server_id, "application", name, zone, server.address)
        self.machine_list.put(machine, visible_at_once=True)

    def _allocate_port(self) -> int:
        if self._next_port == 0:
            return 0
        port = self._next_port
        self._next_port += 1
        return port
