"""Router core: which back end a request goes to.

A service's candidates are a shuffle shard of the back ends that hold its model. Prompts with a
common prefix prefer one of them while its load is bounded (consistent hashing with bounded loads,
Mirrokni, Thorup, Zadimoghaddam 2018); otherwise the better of two choices by requests in flight and
latency (Mitzenmacher 2001; Prequal, Wydrowski et al. 2024). Load is learned from answers, each of
which carries the owner's exact count, and forgotten with age; nothing is broadcast.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from wharfcart.cluster.randomness import RandomSource
from wharfcart.cluster.rendezvous import rendezvous_order, shuffle_shard

SHARD_SIZE = 4
MAX_LOAD_RATIO = 1.25
MAX_OWNER_LOAD_AGE_S = 1.0
LATENCY_WEIGHT = 0.2
SLOW_START_S = 10.0
MIN_SLOW_START_FACTOR = 0.1
FAILURES_TO_OPEN = 3
MIN_CIRCUIT_OPEN_S = 1.0
MAX_CIRCUIT_OPEN_S = 30.0


class BackendKind(StrEnum):
    """Kinds of back ends."""

    ENGINE = "engine"
    APPLICATION = "application"


@dataclass(frozen=True)
class Backend:
    """One server, as the directory tells it."""

    backend_id: str
    kind: BackendKind
    address: str  # host:port
    zone: str
    targets: frozenset[str]  # models and adapters it holds, or its application's name
    draining: bool = False


@dataclass
class _BackendLoad:
    added_at: float
    in_flight: int = 0
    owner_in_flight: int = 0
    owner_load_at: float = -1e9
    latency_s: float = 0.0
    failures: int = 0
    opened_at: float = 0.0
    open_for_s: float = 0.0
    trial_running: bool = False


@dataclass
class Router:
    """Choices of one node."""

    zone: str
    random: RandomSource
    zone_distance: Callable[[str, str], int] = lambda mine, theirs: int(mine != theirs)
    backends: dict[str, Backend] = field(default_factory=dict)
    _loads: dict[str, _BackendLoad] = field(default_factory=dict)
    _by_target: dict[str, set[str]] = field(default_factory=dict)

    # ---- directory ----

    def put_backend(self, backend: Backend, now: float) -> None:
        """Add or change a back end."""
        known = self.backends.get(backend.backend_id)
        if known is not None:
            self._forget_targets(known)
        else:
            # The first directory of a fresh node is no reason to start everything slowly.
            old = now - SLOW_START_S if not self.backends else now
            self._loads[backend.backend_id] = _BackendLoad(added_at=old)
        self.backends[backend.backend_id] = backend
        for target in backend.targets:
            self._by_target.setdefault(target, set()).add(backend.backend_id)

    def remove_backend(self, backend_id: str) -> None:
        """Drop a back end."""
        backend = self.backends.pop(backend_id, None)
        if backend is not None:
            self._forget_targets(backend)
            self._loads.pop(backend_id, None)

    def _forget_targets(self, backend: Backend) -> None:
        for target in backend.targets:
            self._by_target.get(target, set()).discard(backend.backend_id)

    # ---- choice ----

    def choose(
        self,
        target: str,
        routing_key: str,
        now: float,
        prefix: str = "",
        exclude: Collection[str] = (),
    ) -> Backend | None:
        """Return the back end for one request, or None if none may take it."""
        usable = [
            name
            for name in self._by_target.get(target, ())
            if name not in exclude and self._is_usable(name, now)
        ]
        if not usable:
            return None
        candidates = self._shard(routing_key, usable, now)
        if prefix:
            preferred = rendezvous_order(prefix, candidates)[0]
            if self._is_within_bound(preferred, candidates, now):
                return self.backends[preferred]
        return self.backends[self._better_of_two(candidates, now)]

    def _shard(self, routing_key: str, usable: list[str], now: float) -> list[str]:
        near = [name for name in usable if self._distance(name) == 0]
        shard = shuffle_shard(routing_key, near or usable, SHARD_SIZE)
        if near and len(near) < len(usable) and self._are_overloaded(shard, usable, now):
            shard = shard + shuffle_shard(routing_key, set(usable) - set(near), SHARD_SIZE)
        return shard

    def _distance(self, name: str) -> int:
        return self.zone_distance(self.zone, self.backends[name].zone)

    def _are_overloaded(self, shard: Iterable[str], usable: list[str], now: float) -> bool:
        """Whether the near candidates carry clearly more than the rest: spill to other zones."""
        lowest = min(self._in_flight(name, now) for name in shard)
        mean = sum(self._in_flight(name, now) for name in usable) / len(usable)
        return lowest > MAX_LOAD_RATIO * mean + 1

    def _is_within_bound(self, name: str, candidates: list[str], now: float) -> bool:
        mean = sum(self._in_flight(other, now) for other in candidates) / len(candidates)
        return self._in_flight(name, now) <= MAX_LOAD_RATIO * mean + 1

    def _better_of_two(self, candidates: list[str], now: float) -> str:
        first = candidates[int(self.random.random() * len(candidates))]
        second = candidates[int(self.random.random() * len(candidates))]
        return min((first, second), key=lambda name: self._score(name, now))

    def _score(self, name: str, now: float) -> float:
        load = self._loads[name]
        ramp = min(1.0, max(MIN_SLOW_START_FACTOR, (now - load.added_at) / SLOW_START_S))
        distance = 1 + self._distance(name)
        return (self._in_flight(name, now) + 1) * max(load.latency_s, 1e-3) * distance / ramp

    def _in_flight(self, name: str, now: float) -> float:
        load = self._loads[name]
        if now - load.owner_load_at > MAX_OWNER_LOAD_AGE_S:
            return float(load.in_flight)
        return float(max(load.in_flight, load.owner_in_flight))

    # ---- circuit ----

    def _is_usable(self, name: str, now: float) -> bool:
        if self.backends[name].draining:
            return False
        load = self._loads[name]
        if load.open_for_s == 0:
            return True
        return now >= load.opened_at + load.open_for_s and not load.trial_running

    # ---- what happened ----

    def record_started(self, backend_id: str) -> None:
        """Note a dispatch."""
        load = self._loads.get(backend_id)
        if load is not None:
            load.in_flight += 1
            load.trial_running = load.open_for_s > 0

    def record_owner_load(self, backend_id: str, owner_in_flight: int, now: float) -> None:
        """Take the owner's count from an answer."""
        load = self._loads.get(backend_id)
        if load is not None:
            load.owner_in_flight = owner_in_flight
            load.owner_load_at = now

    def record_finished(
        self, backend_id: str, now: float, latency_s: float | None, failed: bool
    ) -> None:
        """Note the end of a dispatch; ``latency_s`` is to the first byte, None if none came."""
        load = self._loads.get(backend_id)
        if load is None:
            return
        load.in_flight = max(0, load.in_flight - 1)
        load.trial_running = False
        if failed:
            self._record_failure(load, now)
            return
        load.failures = 0
        load.open_for_s = 0.0
        if latency_s is not None:
            load.latency_s += LATENCY_WEIGHT * (latency_s - load.latency_s)

    def _record_failure(self, load: _BackendLoad, now: float) -> None:
        load.failures += 1
        if load.failures >= FAILURES_TO_OPEN:
            load.opened_at = now
            load.open_for_s = min(MAX_CIRCUIT_OPEN_S, max(MIN_CIRCUIT_OPEN_S, load.open_for_s * 2))
