"""The router's choices."""

import random

from wharfcart.routing.router import SHARD_SIZE, Backend, BackendKind, Router

NOW = 100.0


def _router(count: int = 12, zones: int = 1) -> Router:
    router = Router("zone-0", random.Random(1))
    for number in range(count):
        router.put_backend(_backend(number, zones), 0.0)
    return router


def _backend(number: int, zones: int = 1, leaving: bool = False) -> Backend:
    zone = f"zone-{number % zones}"
    targets = frozenset({"model"})
    return Backend(f"e{number}", BackendKind.ENGINE, "", zone, targets, leaving)


def _choose(router: Router, key: str = "tenant/template", prefix: str = "") -> str:
    backend = router.choose("model", key, NOW, prefix)
    assert backend is not None
    return backend.backend_id


def test_service_stays_on_its_shuffle_shard() -> None:
    router = _router()
    chosen = {_choose(router) for _ in range(200)}
    assert 1 < len(chosen) <= SHARD_SIZE
    others = {_choose(router, f"tenant-{n}/template") for n in range(100)}
    assert others == {f"e{n}" for n in range(12)}


def test_prefix_affinity_until_overload() -> None:
    router = _router()
    preferred = _choose(router, prefix="head")
    assert {_choose(router, prefix="head") for _ in range(50)} == {preferred}
    for _ in range(20):
        router.record_started(preferred)
    assert _choose(router, prefix="head") != preferred


def test_own_zone_is_preferred_until_overloaded() -> None:
    router = _router(zones=3)
    near = {f"e{n}" for n in range(0, 12, 3)}
    assert {_choose(router) for _ in range(100)} <= near
    for name in near:
        for _ in range(30):
            router.record_started(name)
    assert {_choose(router) for _ in range(100)} - near


def test_draining_back_ends_and_unknown_models_are_not_chosen() -> None:
    router = _router(1)
    router.put_backend(_backend(0, leaving=True), 0.0)
    assert router.choose("model", "k", NOW) is None
    assert router.choose("other", "k", NOW) is None


def test_circuit_opens_after_failures_and_lets_one_trial_through() -> None:
    router = _router(1)
    for _ in range(3):
        router.record_started("e0")
        router.record_finished("e0", NOW, None, failed=True)
    assert router.choose("model", "k", NOW + 0.5) is None
    assert router.choose("model", "k", NOW + 1.1) is not None
    router.record_started("e0")
    assert router.choose("model", "k", NOW + 1.2) is None
    router.record_finished("e0", NOW + 1.2, 0.01, failed=False)
    assert router.choose("model", "k", NOW + 1.3) is not None


def test_stale_owner_load_is_ignored() -> None:
    router = _router(2)
    router.record_owner_load("e0", 50, NOW)
    fresh = {router.choose("model", "k", NOW).backend_id for _ in range(50)}  # type: ignore[union-attr]
    router.record_owner_load("e0", 50, NOW - 10)
    stale = {router.choose("model", "k", NOW + 10).backend_id for _ in range(50)}  # type: ignore[union-attr]
    assert "e1" in fresh and stale == {"e0", "e1"}
