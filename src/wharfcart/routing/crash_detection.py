"""Detection of back-end crashes after interrupted runs.

A connection that breaks in the middle of an answer has two possible causes: a lost answer or a
crash of the back end. So the detector opens a new connection at once; if the back end refuses it,
the back end crashed. A back end that does not respond at all has lost power or is cut off, which no
request can cause.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Collection
from dataclasses import dataclass
from time import time

from wharfcart.admission.crashing_parts import (
    FIRST_CRASH_WEIGHT,
    MIN_SOUND_S,
    REPEATED_CRASH_WEIGHT,
    CrashReport,
    crash_id_of,
)
from wharfcart.admission.poison_requests import PoisonRequests, crash_weight
from wharfcart.admission.prompt_parts import PromptPartKey
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.answer_end import (
    AnswerEnd,
    BodyForm,
    EndDecision,
    decide_by_backend,
    decide_by_form,
)
from wharfcart.http.connection import BreakCause, Framing
from wharfcart.http.liveness import refuses_connections
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.tasks import BackgroundTasks

# Upper bound of the delay of a retry by the inspection.
MAX_INSPECTION_WAIT_S = 0.1
# All runs of a crashed back end are interrupted within this time. Shorter than a restart, which
# takes 3 s: a run interrupted later may have run on a restarted back end.
CRASH_TTL_S = 1.0
# The oldest crashes are evicted beyond this number.
MAX_REMEMBERED_CRASHES = 256


@dataclass(frozen=True, slots=True)
class InterruptedRun:
    """A run whose connection broke before the end of the answer.

    Attributes:
        request_id: id of the request or item.
        fingerprint: fingerprint of the request.
        instance: the instance that ran it.
        cause: why the connection broke.
        answer_begun: whether any byte of the answer had arrived in this run.
        ran_s: seconds since the send.
        parts: the parts of its prompt that other requests may share.
        written_s: seconds since the first bytes of the answer's body, or None if there were none.
    """

    request_id: str
    fingerprint: RequestFingerprint
    instance: BackendInstance
    cause: BreakCause
    answer_begun: bool
    ran_s: float
    parts: tuple[PromptPartKey, ...] = ()
    written_s: float | None = None


@dataclass(frozen=True, slots=True)
class InterruptedItem:
    """A run of a batch item whose connection broke before the end of the answer.

    Attributes:
        instance: the instance that ran it.
        cause: why the connection broke.
        parts: the parts of its prompt that other requests may share.
        written_s: seconds since the first bytes of the answer's body, or None if there were none.
    """

    instance: BackendInstance
    cause: BreakCause
    parts: tuple[PromptPartKey, ...]
    written_s: float | None


class CrashDetector:
    """Inspects the interrupted runs of one node and the ends of its answers.

    Args:
        poison_requests: receives evidence against requests that ran at a crash.
        log: receives a line for each crash, for each request that ran at one, and for each end of
            an answer that is not known by its framing.
        count_end: called with each such end.
    """

    def __init__(
        self,
        poison_requests: PoisonRequests,
        log: DecisionLog,
        count_end: Callable[[AnswerEnd], None] = lambda _end: None,
    ) -> None:
        self.poison_requests = poison_requests
        self._log = log
        self._count_end = count_end
        self._tasks = BackgroundTasks()
        self._checks_by_instance: dict[str, asyncio.Task[None]] = {}
        self._crashed_at: OrderedDict[str, float] = OrderedDict()

    def start_inspection(self, run: InterruptedRun) -> asyncio.Task[None]:
        """Start to inspect a run; the task finishes once the state of its back end is known."""
        return self._tasks.spawn(self._inspect(run))

    async def inspect(self, run: InterruptedRun) -> None:
        """Inspect a run and wait for the result for a bounded time."""
        await asyncio.wait((self.start_inspection(run),), timeout=MAX_INSPECTION_WAIT_S)

    async def inspect_item(self, run: InterruptedItem) -> None:
        """Inspect a run of an item, which crashes no back end, for a bounded time."""
        inspection = self._tasks.spawn(self._inspect_item(run))
        await asyncio.wait((inspection,), timeout=MAX_INSPECTION_WAIT_S)

    async def decide_end(
        self, request_id: str, instance: BackendInstance, framing: Framing, form: BodyForm
    ) -> EndDecision:
        """Decide whether an answer ended whole; ask for its back end only where that decides.

        Args:
            request_id: id of the request or item.
            instance: the instance that answered.
            framing: how the answer tells where it ends.
            form: what its body says about its end.
        """
        decision = decide_by_form(framing, form)
        if decision is None:
            decision = decide_by_backend(await self._is_gone(instance))
        if framing is Framing.UNTIL_CLOSE or decision.end is not AnswerEnd.WHOLE:
            self._count_end(decision.end)
            self._log.write(
                Event.ANSWER_END,
                request=request_id,
                backend=instance.instance_id,
                framing=framing,
                form=form,
                end=decision.end,
                evidence=decision.evidence,
            )
        return decision

    async def _is_gone(self, instance: BackendInstance) -> bool:
        """Whether an instance has crashed, by a check that begins after the call."""
        earlier_check = self._checks_by_instance.get(instance.instance_id)
        if earlier_check is not None:
            await asyncio.shield(earlier_check)
        return await self._has_crashed(instance)

    async def _inspect(self, run: InterruptedRun) -> None:
        if run.cause is not BreakCause.CLOSED or not await self._has_crashed(run.instance):
            return
        now = time()
        self._record_parts(run, now)
        weight = crash_weight(run.answer_begun, run.ran_s)
        if not weight:
            return
        instance_id = run.instance.instance_id
        evidence = self.poison_requests.record_crash(run.fingerprint, instance_id, weight, now)
        unexplained = self.poison_requests.unexplained_evidence(run.fingerprint)
        self._log.write(
            Event.REQUEST_SUSPECTED,
            request=run.request_id,
            content=run.fingerprint,
            backend=instance_id,
            answer_begun=run.answer_begun,
            ran_s=round(run.ran_s, 3),
            written_s=None if run.written_s is None else round(run.written_s, 3),
            parts=run.parts,
            ends=len(evidence.crashes_by_key),
            weight=evidence.total_weight(),
            explained=evidence.total_weight() - unexplained.total_weight(),
            held_s=round(unexplained.quarantine_left_s(now), 1),
        )

    async def _inspect_item(self, run: InterruptedItem) -> None:
        """Report a crash under an item, which says nothing against the item or its parts.

        Without the report, parts that requests had at few of many crashes would seem to be at all.
        """
        if run.cause is not BreakCause.CLOSED or not await self._has_crashed(run.instance):
            return
        now = time()
        if run.written_s is not None and run.written_s > MIN_SOUND_S and run.parts:
            self.poison_requests.parts.record_sound(run.parts, now - run.written_s)
        crash_id = crash_id_of(run.instance.instance_id, run.instance.started_at_ms)
        self.poison_requests.parts.record_crash(CrashReport(crash_id, now, {}))

    def record_sound(self, parts: Collection[PromptPartKey], began_at: float) -> None:
        """Record that a back end began to write an answer to some parts and went on.

        Args:
            parts: parts of the request.
            began_at: monotonic time at which it began.
        """
        if parts and self.poison_requests.parts:
            wall_clock_began_at = time() - (monotonic() - began_at)
            self.poison_requests.parts.record_sound(parts, wall_clock_began_at)

    def _record_parts(self, run: InterruptedRun, now: float) -> None:
        """Record what a crash says of the parts of a run's prompt."""
        if not run.parts:
            return
        if run.written_s is not None and run.written_s > MIN_SOUND_S:
            self.poison_requests.parts.record_sound(run.parts, now - run.written_s)
            return
        evidence = self.poison_requests.evidence(run.fingerprint)
        weight = REPEATED_CRASH_WEIGHT if evidence.crashes_by_key else FIRST_CRASH_WEIGHT
        crash_id = crash_id_of(run.instance.instance_id, run.instance.started_at_ms)
        self.poison_requests.parts.record_crash(
            CrashReport(crash_id, now, dict.fromkeys(run.parts, weight))
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
        crashed_at = self._crashed_at.get(instance_id)
        return crashed_at is not None and monotonic() - crashed_at < CRASH_TTL_S

    async def _check(self, instance: BackendInstance) -> None:
        if not await refuses_connections(instance.host, instance.port):
            return
        self._crashed_at[instance.instance_id] = monotonic()
        self._crashed_at.move_to_end(instance.instance_id)
        if len(self._crashed_at) > MAX_REMEMBERED_CRASHES:
            self._crashed_at.popitem(last=False)
        self._log.write(Event.BACKEND_ENDED, backend=instance.instance_id, service=instance.service)
