"""Reconciler core: brings engines to the configured models, adapters and versions.

The reconciler compares target and actual state and returns engine commands. Each command carries
the leader's epoch, so that engines refuse commands of earlier leaders. The reconciler never removes
the last copy of a model in use and changes one server of a model at a time. The caller drains a
server before its base model changes. Every server of a model loads all of the model's adapters,
regardless of the tenants' demand.
"""

from dataclasses import dataclass, field

from wharfcart.backends.interface import EngineCommand, EngineCommandKind
from wharfcart.cluster.rendezvous import rendezvous_order

REPORT_LAG_S = 10.0  # longest time until a command shows in the reports, drain included
COMMAND_TIMEOUT_S = 120.0


@dataclass(frozen=True)
class TargetModel:
    """A model as configured."""

    name: str
    version: str
    min_servers: int
    adapters: tuple[str, ...]


@dataclass(frozen=True)
class EngineStatus:
    """Last reported status of an engine."""

    backend_id: str
    zone: str
    model: str
    version: str
    adapters: frozenset[str]
    leaving: bool = False
    loading: bool = False


@dataclass
class FleetReconciler:
    """Reconciler of the leader of one epoch."""

    epoch: int
    _sequence: int = 0
    _sent_at: dict[tuple[str, EngineCommandKind, str], float] = field(default_factory=dict)

    def reconcile(
        self, models: list[TargetModel], engines: list[EngineStatus], now: float
    ) -> list[EngineCommand]:
        """Return the commands that bring the fleet one step closer to the target."""
        usable = {engine.backend_id: engine for engine in engines if not engine.leaving}
        commands = self._model_commands(models, usable, now)
        changing = {command.backend_id for command in commands}
        by_name = {model.name: model for model in models}
        for engine in usable.values():
            if engine.backend_id not in changing and not engine.loading:
                target = by_name.get(engine.model)
                if target is not None:
                    commands.extend(self._adapter_commands(target, engine, now))
        return commands

    def _model_commands(
        self, models: list[TargetModel], engines: dict[str, EngineStatus], now: float
    ) -> list[EngineCommand]:
        assignment = assign_models(models, list(engines.values()))
        copies: dict[str, int] = {}
        for engine in engines.values():
            copies[engine.model] = copies.get(engine.model, 0) + (not engine.loading)
        commands: list[EngineCommand] = []
        for model in models:
            if any(
                e.loading and assignment.get(e.backend_id) == model.name for e in engines.values()
            ):
                continue  # one server of a model at a time
            command = self._next_model_command(model, engines, assignment, copies, now)
            if command is not None:
                commands.append(command)
        return commands

    def _next_model_command(
        self,
        model: TargetModel,
        engines: dict[str, EngineStatus],
        assignment: dict[str, str],
        copies: dict[str, int],
        now: float,
    ) -> EngineCommand | None:
        for backend_id, name in sorted(assignment.items()):
            engine = engines[backend_id]
            current = (engine.model, engine.version)
            if name != model.name or current == (model.name, model.version):
                continue
            removes_last_copy = engine.model and copies.get(engine.model, 0) <= 1
            is_model_in_use = engine.model in assignment.values()
            if removes_last_copy and is_model_in_use and engine.model != model.name:
                continue
            command = self._command(
                backend_id, EngineCommandKind.LOAD_MODEL, model.name, model.version, now
            )
            if command is not None:
                return command
        return None

    def _adapter_commands(
        self, target: TargetModel, engine: EngineStatus, now: float
    ) -> list[EngineCommand]:
        missing = [name for name in target.adapters if name not in engine.adapters]
        surplus = sorted(engine.adapters.difference(target.adapters))
        required = [(EngineCommandKind.LOAD_ADAPTER, name) for name in missing[:1]]
        required.extend((EngineCommandKind.UNLOAD_ADAPTER, name) for name in surplus)
        commands = [
            self._command(engine.backend_id, kind, name, target.version, now)
            for kind, name in required
        ]
        return [command for command in commands if command is not None]

    def _command(
        self, backend_id: str, kind: EngineCommandKind, name: str, version: str, now: float
    ) -> EngineCommand | None:
        key = (backend_id, kind, name)
        if now - self._sent_at.get(key, -COMMAND_TIMEOUT_S) < REPORT_LAG_S:
            return None  # the last command may not show in the reports yet
        self._sent_at[key] = now
        self._sequence += 1
        return EngineCommand(backend_id, kind, name, version, self.epoch, self._sequence)


def assign_models(models: list[TargetModel], engines: list[EngineStatus]) -> dict[str, str]:
    """Assign every engine a model: at least ``min_servers`` each, spread over zones.

    Engines keep their loaded model if possible, to avoid loading. The others are assigned in
    rendezvous order, so that every leader computes the same assignment.
    """
    assignment: dict[str, str] = {}
    by_id = {engine.backend_id: engine for engine in engines}
    total_min_servers = sum(model.min_servers for model in models) or 1
    for model in sorted(models, key=lambda model: model.name):
        server_count = max(model.min_servers, len(engines) * model.min_servers // total_min_servers)
        candidates = rendezvous_order(model.name, by_id)
        candidates.sort(key=lambda name: by_id[name].model != model.name)
        zones: dict[str, int] = {}
        for _ in range(server_count):
            unassigned = [name for name in candidates if name not in assignment]
            if not unassigned:
                break
            chosen = min(unassigned, key=lambda n: _preference(by_id[n], model.name, zones))
            assignment[chosen] = model.name
            zones[by_id[chosen].zone] = zones.get(by_id[chosen].zone, 0) + 1
    return assignment


def _preference(engine: EngineStatus, model: str, zones: dict[str, int]) -> tuple[int, int]:
    return (int(engine.model != model), zones.get(engine.zone, 0))
