"""Reconciler core: brings engines to the configured models, adapters and versions.

Compares target with actual state and returns orders, each fenced by the leader's epoch, so that an
engine refuses a leader of the past. Never takes the last copy of a model in use and changes one
server of a model at a time. The driver drains a server before its base model changes. Not done yet:
following tenants' demand for adapters (every server of a model loads all of its adapters).
"""

from dataclasses import dataclass, field

from wharfcart.backends.interface import EngineCommand, EngineCommandKind
from wharfcart.cluster.rendezvous import rendezvous_order

REPORT_LAG_S = 10.0  # an order shows in the reports after this at the latest, drain included
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
    """What an engine reported, possibly some time ago."""

    backend_id: str
    zone: str
    model: str
    version: str
    adapters: frozenset[str]
    leaving: bool = False
    loading: bool = False


@dataclass
class FleetReconciler:
    """Reconciler of one leader in one epoch."""

    epoch: int
    _sequence: int = 0
    _sent_at: dict[tuple[str, EngineCommandKind, str], float] = field(default_factory=dict)

    def reconcile(
        self, models: list[TargetModel], engines: list[EngineStatus], now: float
    ) -> list[EngineCommand]:
        """Return the orders that bring the fleet one step closer to the target."""
        usable = {engine.backend_id: engine for engine in engines if not engine.leaving}
        orders = self._model_commands(models, usable, now)
        changing = {order.backend_id for order in orders}
        by_name = {model.name: model for model in models}
        for engine in usable.values():
            if engine.backend_id not in changing and not engine.loading:
                target = by_name.get(engine.model)
                if target is not None:
                    orders.extend(self._adapter_commands(target, engine, now))
        return orders

    def _model_commands(
        self, models: list[TargetModel], engines: dict[str, EngineStatus], now: float
    ) -> list[EngineCommand]:
        assignment = assign_models(models, list(engines.values()))
        held: dict[str, int] = {}
        for engine in engines.values():
            held[engine.model] = held.get(engine.model, 0) + (not engine.loading)
        orders: list[EngineCommand] = []
        for model in models:
            if any(
                e.loading and assignment.get(e.backend_id) == model.name for e in engines.values()
            ):
                continue  # one server of a model at a time
            order = self._next_model_command(model, engines, assignment, held, now)
            if order is not None:
                orders.append(order)
        return orders

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
            leaves_last_copy = engine.model and copies.get(engine.model, 0) <= 1
            wanted_elsewhere = engine.model in assignment.values()
            if leaves_last_copy and wanted_elsewhere and engine.model != model.name:
                continue
            order = self._command(
                backend_id, EngineCommandKind.LOAD_MODEL, model.name, model.version, now
            )
            if order is not None:
                return order
        return None

    def _adapter_commands(
        self, target: TargetModel, engine: EngineStatus, now: float
    ) -> list[EngineCommand]:
        missing = [name for name in target.adapters if name not in engine.adapters]
        surplus = sorted(engine.adapters.difference(target.adapters))
        wanted = [(EngineCommandKind.LOAD_ADAPTER, name) for name in missing[:1]]
        wanted.extend((EngineCommandKind.UNLOAD_ADAPTER, name) for name in surplus)
        orders = [
            self._command(engine.backend_id, kind, name, target.version, now)
            for kind, name in wanted
        ]
        return [order for order in orders if order is not None]

    def _command(
        self, backend_id: str, kind: EngineCommandKind, name: str, version: str, now: float
    ) -> EngineCommand | None:
        key = (backend_id, kind, name)
        if now - self._sent_at.get(key, -COMMAND_TIMEOUT_S) < REPORT_LAG_S:
            return None  # reports lag: give the last order time to show
        self._sent_at[key] = now
        self._sequence += 1
        return EngineCommand(backend_id, kind, name, version, self.epoch, self._sequence)


def assign_models(models: list[TargetModel], engines: list[EngineStatus]) -> dict[str, str]:
    """Assign every engine a model: at least ``least_servers`` each, spread over zones.

    Engines that hold a model keep it where the numbers allow, so that little is loaded; the rest go
    round by rendezvous order, which makes every leader assign alike.
    """
    assignment: dict[str, str] = {}
    by_id = {engine.backend_id: engine for engine in engines}
    total_least = sum(model.min_servers for model in models) or 1
    for model in sorted(models, key=lambda model: model.name):
        wanted = max(model.min_servers, len(engines) * model.min_servers // total_least)
        order = rendezvous_order(model.name, by_id)
        order.sort(key=lambda name: by_id[name].model != model.name)
        zones: dict[str, int] = {}
        for _ in range(wanted):
            free = [name for name in order if name not in assignment]
            if not free:
                break
            chosen = min(free, key=lambda n: _preference(by_id[n], model.name, zones))
            assignment[chosen] = model.name
            zones[by_id[chosen].zone] = zones.get(by_id[chosen].zone, 0) + 1
    return assignment


def _preference(engine: EngineStatus, model: str, zones: dict[str, int]) -> tuple[int, int]:
    return (int(engine.model != model), zones.get(engine.zone, 0))
