"""Gate core: what may run on one back end now. Run by the back end's owner.

Online work is admitted at once, up to the back end's limit, and never queues behind batch. Batch is
admitted into *measured slack*: the gate fits ``inter-token seconds = base + slope * sequences``
from the answers themselves and lets batch lengthen an online token by at most the policy's
tolerance. When online work arrives, batch above that bound is stopped in the same step, without
waiting for a load report; where the engine can resume, finished tokens are kept.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from wharfcart.configuration.schema import PreemptionPolicy

FIT_DECAY = 0.98
MIN_SAMPLES = 20
MIN_IDLE_S = 0.02
DEFAULT_FIRST_TOKEN_S = 0.1
DEFAULT_STEP_S = 0.015
FIRST_TOKEN_WEIGHT = 0.1


@dataclass(frozen=True)
class PreemptionParameters:
    """Numbers behind a yielding policy (docs/operations/yielding.md).

    Parameters
    ----------
    tolerance: by what part batch may lengthen an online token.
    floor_fraction: part of the slots that batch may use beside online work while nothing has been
        measured yet.
    prefills_beside_online: batch prompts that may begin in one engine step beside online work.
    prefills_when_idle: the same without online work. It bounds the step that an online request may
        find under way, which nothing can stop.
    idle_seconds: how long a back end has been without online work before batch takes all slots.
    """

    max_slowdown: float
    unmeasured_batch_fraction: float
    prefills_beside_online: int
    prefills_when_idle: int
    idle_seconds: float


POLICY_PARAMETERS = {
    PreemptionPolicy.TAIL: PreemptionParameters(0.05, 0.05, 1, 4, 0.1),
    PreemptionPolicy.THROUGHPUT: PreemptionParameters(0.08, 0.25, 1, 4, MIN_IDLE_S),
}


class BackendState(StrEnum):
    """Whether a back end may take new work."""

    LIVE = "live"
    DRAINING = "leaving"
    REMOVED = "gone"


@dataclass(frozen=True)
class GateCapacity:
    """Bounds of one back end: requests it runs at once."""

    online: int
    batch: int


@dataclass
class TokenTimeFit:
    """Least squares of inter-token seconds on running sequences, with exponential forgetting."""

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    samples: int = 0

    def add(self, sequences: int, seconds: float) -> None:
        """Take one observation."""
        self.weight = self.weight * FIT_DECAY + 1
        self.sum_x = self.sum_x * FIT_DECAY + sequences
        self.sum_y = self.sum_y * FIT_DECAY + seconds
        self.sum_xx = self.sum_xx * FIT_DECAY + sequences * sequences
        self.sum_xy = self.sum_xy * FIT_DECAY + sequences * seconds
        self.samples += 1

    def coefficients(self) -> tuple[float, float] | None:
        """Return base and slope, or None before they can be told."""
        determinant = self.weight * self.sum_xx - self.sum_x * self.sum_x
        if self.samples < MIN_SAMPLES or determinant < 1e-6 * self.weight**2:
            return None
        slope = (self.weight * self.sum_xy - self.sum_x * self.sum_y) / determinant
        base = (self.sum_y - slope * self.sum_x) / self.weight
        return (base, slope) if base > 0 else None


@dataclass
class _RunningRequest:
    started_at: float
    first_token_seen: bool = False


@dataclass
class BackendGate:
    """Everything in flight on one back end, exactly, as its owner knows it."""

    backend_id: str
    capacity: GateCapacity
    policy: PreemptionPolicy = PreemptionPolicy.TAIL
    state: BackendState = BackendState.LIVE
    fit: TokenTimeFit = field(default_factory=TokenTimeFit)
    online: dict[str, _RunningRequest] = field(default_factory=dict)
    batch: dict[str, _RunningRequest] = field(default_factory=dict)
    last_online_at: float = -1e9
    first_token_seconds: float = DEFAULT_FIRST_TOKEN_S
    preempted_count: int = 0
    _preempted: set[str] = field(default_factory=set)

    # ---- online ----

    def admit_online(self, request_id: str, now: float) -> bool:
        """Admit an online request, or refuse it because the back end is full or leaving."""
        if self.state is not BackendState.LIVE or len(self.online) >= self.capacity.online:
            return False
        self.online[request_id] = _RunningRequest(now)
        self.last_online_at = now
        return True

    def preempt_batch(self) -> list[str]:
        """Return the batch requests that must stop now: youngest first, they lose least."""
        running = [name for name in self.batch if name not in self._preempted]
        surplus = len(running) - self._max_batch_beside_online()
        if surplus <= 0 or not self.online:
            return []
        stopped = running[-surplus:]
        self._preempted.update(stopped)
        self.preempted_count += len(stopped)
        return stopped

    def is_preempted(self, request_id: str) -> bool:
        """Whether a batch request was told to stop."""
        return request_id in self._preempted

    def record_first_token(self, request_id: str, now: float) -> None:
        """Note that an online request's first token came."""
        running = self.online.get(request_id)
        if running is not None and not running.first_token_seen:
            running.first_token_seen = True
            seconds = now - running.started_at
            self.first_token_seconds += FIRST_TOKEN_WEIGHT * (seconds - self.first_token_seconds)

    def record_token_time(self, seconds: float) -> None:
        """Note the time between two tokens of any running request."""
        self.fit.add(len(self.online) + len(self.batch), seconds)

    def finish_online(self, request_id: str, now: float) -> None:
        """Note that an online request ended."""
        self.online.pop(request_id, None)
        self.last_online_at = now

    # ---- batch ----

    def available_batch_slots(self, now: float) -> int:
        """Return how many batch requests may be admitted now."""
        if self.state is not BackendState.LIVE:
            return 0
        idle_for = now - self.last_online_at
        if not self.online and idle_for >= POLICY_PARAMETERS[self.policy].idle_seconds:
            room = self.capacity.batch - len(self.batch)
            return max(
                0, min(room, self._parameters.prefills_when_idle - self._prefilling_count(now))
            )
        if any(not running.first_token_seen for running in self.online.values()):
            return 0  # no batch prompt before an online first token
        room = self._max_batch_beside_online() - len(self.batch)
        return max(
            0, min(room, self._parameters.prefills_beside_online - self._prefilling_count(now))
        )

    def _prefilling_count(self, now: float) -> int:
        """Batch requests whose prompt is likely processed in the engine's present step."""
        line = self.fit.coefficients()
        step = line[0] if line is not None else DEFAULT_STEP_S
        return sum(now - running.started_at < step for running in self.batch.values())

    def start_batch(self, request_id: str, now: float) -> None:
        """Note that a batch request was sent."""
        self.batch[request_id] = _RunningRequest(now)

    def finish_batch(self, request_id: str) -> None:
        """Note that a batch request ended."""
        self.batch.pop(request_id, None)
        self._preempted.discard(request_id)

    @property
    def _parameters(self) -> PreemptionParameters:
        return POLICY_PARAMETERS[self.policy]

    def _max_batch_beside_online(self) -> int:
        """Return how many batch sequences lengthen an online token by no more than tolerated."""
        parameters = self._parameters
        line = self.fit.coefficients()
        if line is None:
            return int(self.capacity.batch * parameters.unmeasured_batch_fraction)
        base, slope = line
        if slope <= 0:
            return self.capacity.batch
        alone = base + slope * max(1, len(self.online))
        return min(self.capacity.batch, int(parameters.max_slowdown * alone / slope))
