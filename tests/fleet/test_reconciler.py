"""Orders that bring engines to the configuration."""

from wharfcart.backends.interface import EngineCommand, EngineCommandKind
from wharfcart.fleet.reconciler import (
    REPORT_LAG_S,
    EngineStatus,
    FleetReconciler,
    TargetModel,
    assign_models,
)

BIG = TargetModel("big", "1", 2, ("law",))
SMALL = TargetModel("small", "1", 1, ())


def _engine(name: str, model: str = "", zone: str = "a", **fields: object) -> EngineStatus:
    values: dict[str, object] = {"version": "1" if model else "", "adapters": frozenset()}
    return EngineStatus(name, zone, model, **(values | fields))  # type: ignore[arg-type]


def _commands(engines: list[EngineStatus], models: list[TargetModel]) -> list[EngineCommand]:
    return FleetReconciler(epoch=7).reconcile(models, engines, 100.0)


def _reconcile_until_stable(
    engines: list[EngineStatus], models: list[TargetModel]
) -> list[EngineStatus]:
    """Obey orders until none come; every step keeps a copy of each model in use."""
    reconciler = FleetReconciler(epoch=7)
    state = {engine.backend_id: engine for engine in engines}
    now = 0.0
    for _ in range(40):
        now += REPORT_LAG_S + 1
        for order in reconciler.reconcile(models, list(state.values()), now):
            before = state[order.backend_id]
            if order.kind is EngineCommandKind.LOAD_MODEL:
                held = [e for e in state.values() if e.model == before.model]
                in_use = before.model in {model.name for model in models}
                assert not in_use or len(held) > 1 or before.model == order.name
                state[order.backend_id] = _engine(order.backend_id, order.name, before.zone)
            else:
                state[order.backend_id] = _engine(
                    order.backend_id,
                    before.model,
                    before.zone,
                    adapters=before.adapters | {order.name}
                    if order.kind is EngineCommandKind.LOAD_ADAPTER
                    else before.adapters - {order.name},
                )
    return list(state.values())


def test_empty_engines_reach_the_configuration() -> None:
    engines = [_engine(f"e{n}", zone="ab"[n % 2]) for n in range(3)]
    ended = _reconcile_until_stable(engines, [BIG, SMALL])
    models = sorted(engine.model for engine in ended)
    assert models == ["big", "big", "small"]
    assert {engine.adapters for engine in ended if engine.model == "big"} == {frozenset({"law"})}
    assert {engine.zone for engine in ended if engine.model == "big"} == {"a", "b"}


def test_last_copy_of_a_model_in_use_is_kept() -> None:
    engines = [_engine("e0", "big"), _engine("e1", "small"), _engine("e2", "small")]
    ended = _reconcile_until_stable(engines, [TargetModel("big", "1", 2, ()), SMALL])
    assert sorted(engine.model for engine in ended) == ["big", "big", "small"]


def test_assignment_keeps_loaded_models_if_possible() -> None:
    engines = [_engine("e0", "small"), _engine("e1", "big"), _engine("e2", "big")]
    assert assign_models([BIG, SMALL], engines) == {"e0": "small", "e1": "big", "e2": "big"}


def test_commands_carry_the_epoch_and_increasing_sequence_numbers() -> None:
    orders = _commands([_engine("e0"), _engine("e1")], [BIG, SMALL])
    assert {order.epoch for order in orders} == {7}
    assert [order.sequence for order in orders] == sorted({o.sequence for o in orders})


def test_leaving_and_loading_servers_get_no_commands() -> None:
    assert _commands([_engine("e0", leaving=True)], [SMALL]) == []
    assert (
        _commands([_engine("e0", "small", loading=True, adapters=frozenset({"x"}))], [SMALL]) == []
    )


def test_command_is_not_repeated_within_the_report_lag() -> None:
    reconciler = FleetReconciler(epoch=1)
    assert len(reconciler.reconcile([SMALL], [_engine("e0")], 10.0)) == 1
    assert reconciler.reconcile([SMALL], [_engine("e0")], 11.0) == []
    assert len(reconciler.reconcile([SMALL], [_engine("e0")], 10.0 + REPORT_LAG_S)) == 1


def test_new_version_is_loaded_on_one_server_at_a_time() -> None:
    engines = [_engine(f"e{n}", "big", adapters=frozenset({"law"})) for n in range(3)]
    orders = _commands(engines, [TargetModel("big", "2", 3, ("law",))])
    assert [order.kind for order in orders] == [EngineCommandKind.LOAD_MODEL]
