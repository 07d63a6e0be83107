"""Admission of requests to one back end; its owner runs this.

Online requests are admitted at once, up to the back end's limit, and never queue behind batch.
Batch requests use the spare capacity: the gate fits
``inter-token seconds = base + slope * sequences`` to the token times of answers and lets batch
lengthen an online token by at most the policy's ``max_slowdown``. When an online request arrives,
the gate preempts batch above that bound at once, without waiting for a load report. An engine that
can resume keeps the tokens of a preempted request.
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
    """Parameters of a preemption policy (docs/operations/yielding.md).

    Attributes:
        max_slowdown: fraction by which batch may lengthen an online token.
        unmeasured_batch_fraction: fraction of the batch slots that batch may use beside online
            requests before the fit has enough samples.
        prefills_beside_online: batch prompts that may start in one engine step beside online
            requests.
        prefills_when_idle: batch prompts that may start in one engine step without online requests.
            It bounds the length of the step that a new online request has to wait for.
        idle_seconds: time without online requests after which batch may use all slots.
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
    """Whether a back end accepts new requests."""

    LIVE = "live"
    DRAINING = "leaving"
    REMOVED = "gone"


@dataclass(frozen=True)
class GateCapacity:
    """Maximum numbers of concurrent requests at one back end."""

    online: int
    batch: int


@dataclass
class TokenTimeFit:
    """Least-squares fit of inter-token seconds to running sequences; old samples decay."""

    weight: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0
    samples: int = 0

    def add(self, sequences: int, seconds: float) -> None:
        """Add a sample."""
        self.weight = self.weight * FIT_DECAY + 1
        self.sum_x = self.sum_x * FIT_DECAY + sequences
        self.sum_y = self.sum_y * FIT_DECAY + seconds
        self.sum_xx = self.sum_xx * FIT_DECAY + sequences * sequences
        self.sum_xy = self.sum_xy * FIT_DECAY + sequences * seconds
        self.samples += 1

    def coefficients(self) -> tuple[float, float] | None:
        """Return base and slope, or None while the samples do not determine them."""
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
    """Requests in flight at one back end, as its owner counts them."""

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
        """Admit an online request; return False if the back end is full or draining."""
        if self.state is not BackendState.LIVE or len(self.online) >= self.capacity.online:
            return False
        self.online[request_id] = _RunningRequest(now)
        self.last_online_at = now
        return True

    def preempt_batch(self) -> list[str]:
        """Mark the batch requests that must stop now as preempted and return them.

        The most recently started ones are preempted: they lose the least work.
        """
        candidates = [request_id for request_id in self.batch if request_id not in self._preempted]
        surplus = len(candidates) - self._max_batch_beside_online()
        if surplus <= 0 or not self.online:
            return []
        stopped = candidates[-surplus:]
        self._preempted.update(stopped)
        self.preempted_count += len(stopped)
        return stopped

    def is_preempted(self, request_id: str) -> bool:
        """Whether a batch request was preempted."""
        return request_id in self._preempted

    def record_first_token(self, request_id: str, now: float) -> None:
        """Record the first token of an online request."""
        running = self.online.get(request_id)
        if running is not None and not running.first_token_seen:
            running.first_token_seen = True
            seconds = now - running.started_at
            self.first_token_seconds += FIRST_TOKEN_WEIGHT * (seconds - self.first_token_seconds)

    def record_token_time(self, seconds: float) -> None:
        """Record the time between two tokens of any running request."""
        self.fit.add(len(self.online) + len(self.batch), seconds)

    def finish_online(self, request_id: str, now: float) -> None:
        """Record that an online request finished."""
        self.online.pop(request_id, None)
        self.last_online_at = now

    # ---- batch ----

    def available_batch_slots(self, now: float) -> int:
        """Return how many batch requests may be admitted now."""
        if self.state is not BackendState.LIVE:
            return 0
        idle_for = now - self.last_online_at
        if not self.online and idle_for >= POLICY_PARAMETERS[self.policy].idle_seconds:
            free = self.capacity.batch - len(self.batch)
            return max(
                0, min(free, self._parameters.prefills_when_idle - self._prefilling_count(now))
            )
        if any(not running.first_token_seen for running in self.online.values()):
            return 0  # a batch prompt would delay the first token of an online request
        free = self._max_batch_beside_online() - len(self.batch)
        return max(
            0, min(free, self._parameters.prefills_beside_online - self._prefilling_count(now))
        )

    def _prefilling_count(self, now: float) -> int:
        """Return the number of batch requests that the engine probably prefills in this step."""
        fitted = self.fit.coefficients()
        step_s = fitted[0] if fitted is not None else DEFAULT_STEP_S
        return sum(now - running.started_at < step_s for running in self.batch.values())

    def start_batch(self, request_id: str, now: float) -> None:
        """Record that a batch request was sent."""
        self.batch[request_id] = _RunningRequest(now)

    def finish_batch(self, request_id: str) -> None:
        """Record that a batch request finished."""
        self.batch.pop(request_id, None)
        self._preempted.discard(request_id)

    @property
    def _parameters(self) -> PreemptionParameters:
        return POLICY_PARAMETERS[self.policy]

    def _max_batch_beside_online(self) -> int:
        """Return how many batch sequences may run without exceeding the policy's slowdown."""
        parameters = self._parameters
        fitted = self.fit.coefficients()
        if fitted is None:
            return int(self.capacity.batch * parameters.unmeasured_batch_fraction)
        base, slope = fitted
        if slope <= 0:
            return self.capacity.batch
        online_token_s = base + slope * max(1, len(self.online))
        return min(self.capacity.batch, int(parameters.max_slowdown * online_token_s / slope))
