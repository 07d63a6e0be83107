"""Granting of slots, at the node that runs batch items: at once, or when one comes free.

A request for which no slot is free, and for which no item leaves, waits here and not at a back end.
Its gateway hears from this node several times a second while it waits, so that it does not wait for
one that has gone.
"""

import asyncio
from collections.abc import Awaitable, Callable
from time import monotonic

from wharfcart.cluster.messages_pb2 import SlotGrant, SlotRequest
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import Gauge
from wharfcart.routing.backend_choice import BackendChoice, InstanceState
from wharfcart.routing.load_board import LoadBoard, report_kept_s
from wharfcart.routing.preemption import Preemption
from wharfcart.routing.slot_queue import SlotQueue, Waiting

SIGN_OF_LIFE_S = 0.1
FEWEST_RETRY_AFTER_S = 0.2
MOST_RETRY_AFTER_S = 1.5
# A slot is taken for about so long: tells when one is likely to come free.
SLOT_TURNOVER_S = 0.5

Respond = Callable[[SlotGrant], Awaitable[None]]


class SlotGranting:
    """Grants the slots of services.

    Args:
        node_id: of this node.
        choice: what this node knows of the back ends; kept up to date with each grant.
        board: the load of all nodes; grants are counted there.
        granting: the services whose slots are granted here.
        preemption: makes batch items leave their slots.
        log: tells which requests were given up.
        requests_waiting: shows how many wait.
    """

    def __init__(
        self,
        node_id: str,
        choice: BackendChoice,
        board: LoadBoard,
        granting: Callable[[], frozenset[str]],
        preemption: Preemption,
        log: DecisionLog,
        requests_waiting: Gauge,
    ) -> None:
        self._node_id = node_id
        self._choice = choice
        self._board = board
        self._granting = granting
        self._preemption = preemption
        self._log = log
        self._requests_waiting = requests_waiting
        self._queue = SlotQueue()
        self._answers: dict[int, asyncio.Future[SlotGrant]] = {}  # by number in the queue
        self._requests: dict[int, SlotRequest] = {}  # by number in the queue

    def waiting(self, service: str) -> int:
        """Return how many requests wait for a slot of a service."""
        return self._queue.count(service)

    async def serve(self, request: SlotRequest, respond: Respond) -> None:
        """Answer a gateway that asks for a slot; cancelled if its caller leaves."""
        if request.service not in self._granting():
            await respond(SlotGrant())
            return
        if not self._must_wait(request):
            await respond(self._grant_now(request))
            return
        now = monotonic()
        waiting = self._queue.add(
            request.service,
            now + request.in_time_for_ms / 1000,
            now + request.waits_for_ms / 1000,
            request.priority,
        )
        if waiting is None:
            await respond(self._refusal(request, "queue_full"))
            return
        answer: asyncio.Future[SlotGrant] = asyncio.get_running_loop().create_future()
        self._answers[waiting.number] = answer
        self._requests[waiting.number] = request
        self._requests_waiting.set(self._queue.total())
        self.slots_changed()
        try:
            await self._wait(waiting, answer, respond)
        finally:
            self._forget(waiting)

    def slots_changed(self) -> None:
        """Grant what has come free, to the first of the queue first."""
        now = monotonic()
        for service in self._queue.services():
            while (waiting := self._queue.next(service, now)) is not None:
                request = self._requests[waiting.number]
                if not self._has_room(request, now):
                    break
                self._answer(waiting, self._grant_now(request))

    async def _wait(
        self, waiting: Waiting, answer: asyncio.Future[SlotGrant], respond: Respond
    ) -> None:
        request = self._requests[waiting.number]
        while not answer.done():
            await respond(SlotGrant(waiting=True))
            left_s = max(0.0, waiting.leave_at - monotonic())
            await asyncio.wait((answer,), timeout=min(SIGN_OF_LIFE_S, left_s))
            if not answer.done() and monotonic() >= waiting.leave_at:
                self._answer(waiting, self._refusal(request, "waited"))
        await respond(answer.result())

    def _answer(self, waiting: Waiting, grant: SlotGrant) -> None:
        answer = self._answers.get(waiting.number)
        if answer is not None and not answer.done():
            answer.set_result(grant)
        self._forget(waiting)

    def _forget(self, waiting: Waiting) -> None:
        self._queue.remove(waiting)
        self._answers.pop(waiting.number, None)
        self._requests.pop(waiting.number, None)
        self._requests_waiting.set(self._queue.total())

    def _must_wait(self, request: SlotRequest) -> bool:
        """Whether others wait already, or no slot can be had."""
        now = monotonic()
        if not self._choice.usable(request.service, now, request.excluded):
            return False  # waiting would not help
        return self._queue.count(request.service) > 0 or not self._has_room(request, now)

    def _has_room(self, request: SlotRequest, now: float) -> bool:
        return any(
            state.has_free_slot(now) or self._preemption.items_at(state.instance.instance_id)
            for state in self._choice.usable(request.service, now, request.excluded)
        )

    def _grant_now(self, request: SlotRequest) -> SlotGrant:
        now = monotonic()
        state = self._choice.choose_by_exact_load(
            request.service,
            now,
            request.zone,
            self._preemption.items_at,
            request.excluded,
            request.affinity_key,
        )
        if state is None:
            return SlotGrant()
        if not state.has_free_slot(now):
            self._preemption.make_room(state.instance.instance_id)
        return self._count(request, state, now)

    def _count(self, request: SlotRequest, state: InstanceState, now: float) -> SlotGrant:
        instance_id = state.instance.instance_id
        number = self._board.grant(request.node_id, instance_id, now)
        load = self._board.other(self._node_id, instance_id)
        self._choice.other_reported(load, now, report_kept_s(self._board.nodes(now)))
        return SlotGrant(instance_id=instance_id, number=number)

    def _refusal(self, request: SlotRequest, cause: str) -> SlotGrant:
        slots = sum(
            state.instance.slots for state in self._choice.usable(request.service, monotonic())
        )
        waiting = self._queue.count(request.service)
        retry_after_s = SLOT_TURNOVER_S * (1 + waiting) / max(1, slots)
        retry_after_s = min(MOST_RETRY_AFTER_S, max(FEWEST_RETRY_AFTER_S, retry_after_s))
        self._log.write(
            Event.SLOT_REFUSED,
            request=request.request_id,
            service=request.service,
            cause=cause,
            waiting=waiting,
            slots=slots,
            retry_after_s=round(retry_after_s, 2),
        )
        return SlotGrant(refused=True, retry_after_ms=int(retry_after_s * 1000))
