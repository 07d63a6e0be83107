"""Runs that broke off: whether the back end has ended, and whose request may have been the cause.

A connection that ends in the middle of an answer tells little: the answer may have been lost, or
the back end has ended. So a new connection is tried at once; only where nobody listens any more did
the back end end. One that is silent has lost its power or is cut off, which no request does.
"""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass
from time import time

from wharfcart.admission.poison_requests import PoisonRequests, crash_weight
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import BreakCause, ConnectFailedError, HttpConnection
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.tasks import BackgroundTasks

# A connection comes up within a round trip, also to another region, or is refused as soon.
CHECK_TIMEOUT_S = 0.3
# A process that ends resets its connections one after the other: one that came up meanwhile is
# reset within this time.
RESET_DELAY_S = 0.02
# A request that may be repeated waits for the verdict for no longer than this.
MAX_INSPECTION_WAIT_S = 0.1
MAX_CONNECTION_CHECKS = 2
# All runs of a back end break off within this time when it ends. A run that breaks off later may
# have been at its next life under the same id, which takes 3 s to start: it is asked for anew.
CRASH_TTL_S = 1.0
# More back ends than this are not remembered to have ended.
MAX_REMEMBERED_CRASHES = 256


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A run that broke off.

    Attributes:
        request_id: of the request or item.
        content: by which it is known beyond this run.
        instance: that ran it.
        cause: how it broke off.
        answer_begun: some of its answer had come in this run.
        ran_s: how long ago it had been sent.
    """

    request_id: str
    fingerprint: RequestFingerprint
    instance: BackendInstance
    cause: BreakCause
    answer_begun: bool
    ran_s: float


class CrashDetector:
    """Looks into the broken runs of one node.

    Args:
        suspects: is told of runs whose back ends have ended.
        log: takes a line for each end that this node sees, and for each request that had a part.
    """

    def __init__(self, poison_requests: PoisonRequests, log: DecisionLog) -> None:
        self.poison_requests = poison_requests
        self._log = log
        self._tasks = BackgroundTasks()
        self._checks_by_instance: dict[str, asyncio.Task[None]] = {}
        self._crashed_at: OrderedDict[str, float] = OrderedDict()

    def start_inspection(self, run: InterruptedRun) -> asyncio.Task[None]:
        """Look into a run; the task ends once it is known what became of its back end."""
        return self._tasks.spawn(self._inspect(run))

    async def inspect(self, run: InterruptedRun) -> None:
        """Look into a run and wait for the verdict, for a moment at most."""
        await asyncio.wait((self.start_inspection(run),), timeout=MAX_INSPECTION_WAIT_S)

    async def _inspect(self, run: InterruptedRun) -> None:
        if run.cause is not BreakCause.CLOSED or not await self._has_crashed(run.instance):
            return
        weight = crash_weight(run.answer_begun, run.ran_s)
        if not weight:
            return
        now = time()
        instance_id = run.instance.instance_id
        record = self.poison_requests.record_crash(run.fingerprint, instance_id, weight, now)
        self._log.write(
            Event.REQUEST_SUSPECTED,
            request=run.request_id,
            content=run.fingerprint,
            backend=instance_id,
            answer_begun=run.answer_begun,
            ran_s=round(run.ran_s, 3),
            ends=len(record.crashes_by_key),
            weight=record.total_weight(),
            held_s=round(record.quarantine_left_s(now), 1),
        )

    async def _has_crashed(self, instance: BackendInstance) -> bool:
        instance_id = instance.instance_id
        if self._crashed_recently(instance_id):
            return True
        check = self._checks_by_instance.get(instance_id)
        if check is None:
            check = self._tasks.spawn(self._check(instance))
            self._checks_by_instance[instance_id] = check
            check.add_done_callback(lambda _task: self._checks_by_instance.pop(instance_id, None))
        await asyncio.shield(check)
        return self._crashed_recently(instance_id)

    def _crashed_recently(self, instance_id: str) -> bool:
        ended_at = self._crashed_at.get(instance_id)
        return ended_at is not None and monotonic() - ended_at < CRASH_TTL_S

    async def _check(self, instance: BackendInstance) -> None:
        if not await _refuses_connections(instance):
            return
        self._crashed_at[instance.instance_id] = monotonic()
        self._crashed_at.move_to_end(instance.instance_id)
        if len(self._crashed_at) > MAX_REMEMBERED_CRASHES:
            self._crashed_at.popitem(last=False)
        self._log.write(Event.BACKEND_ENDED, backend=instance.instance_id, service=instance.service)


async def _refuses_connections(instance: BackendInstance) -> bool:
    """Whether nobody listens where a back end did."""
    for _ in range(MAX_CONNECTION_CHECKS):
        try:
            connection = await HttpConnection.open(instance.host, instance.port, CHECK_TIMEOUT_S)
        except ConnectFailedError as error:
            return error.refused
        await asyncio.sleep(RESET_DELAY_S)
        was_reset = connection.closed
        connection.close()
        if not was_reset:
            return False
    return False
