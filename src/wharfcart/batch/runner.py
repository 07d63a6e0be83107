"""Batch runner: runs leased items in the free slots of one back end that this node owns.

Polls a few shards for items that the back end can serve, runs them as the gate grants slots, and
commits results in groups. A preempted item stays queued and resumes by its request id.
"""

import asyncio
import json
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from wharfcart.admission.backend_gate import BackendState
from wharfcart.backends.interface import BackendError, BackendPart, BackendRequest
from wharfcart.backends.requests import build_batch_request
from wharfcart.batch.held_leases import HeldLease, HeldLeases
from wharfcart.batch.lease_scheduler import MAX_ITEMS_PER_LEASE
from wharfcart.batch.lines import error_line, output_line, service_name_of
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    COMPLETED,
    FAILED,
    UNKNOWN,
    GrantedLease,
    ItemEnd,
    ItemResult,
)
from wharfcart.configuration.services import Service
from wharfcart.errors import Outcome, ServingError
from wharfcart.observability.metrics import Metrics
from wharfcart.routing.owner import BackendOwner, BatchPreemptedError, OwnedBackend
from wharfcart.routing.router import BackendKind
from wharfcart.storage.journal_client import JournalClient

IDLE_POLL_INTERVAL_S = 1.0
RENEW_INTERVAL_S = 1.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.2
SHARDS_PER_POLL = 2
SLOT_WAIT_TIMEOUT_S = 0.05
# Bounds the delay of a job's cancellation by an engine that is slow to confirm a stop. Engines do
# so within milliseconds, a starved one took 1.2 to 2.1 s; a cancelled job does not need the answer.
STOP_TIMEOUT_S = 0.5

logger = logging.getLogger(__name__)

FindService = Callable[[str, str], Service | None]


@dataclass
class _LeasedItem:
    lease: HeldLease
    row: int
    service: Service
    line: bytes
    attempts: int = 0
    was_sent: bool = False  # to this back end, also under an earlier lease

    @property
    def request_id(self) -> str:
        """Request id, the same on every attempt so that an engine can resume the item."""
        return f"{self.lease.job_id}-{self.row}"


class BatchRunner:
    """Runs batch items on one back end while this node owns it.

    Args:
        node_id: id of this node, the holder of the leases.
        owned: the back end with its gate and client.
        owner: runs requests on back ends of this node.
        journal: client of the shards' leaders.
        find_service: returns a tenant's service by name, or None.
        metrics: counters of items.
    """

    def __init__(
        self,
        node_id: str,
        owned: OwnedBackend,
        owner: BackendOwner,
        journal: JournalClient,
        find_service: FindService,
        metrics: Metrics,
    ) -> None:
        self.owned = owned
        self._owner = owner
        self._placement = journal.placement
        self._find_service = find_service
        self._metrics = metrics
        self._leases = HeldLeases(node_id, owned.backend.backend_id, journal)
        self._waiting: deque[_LeasedItem] = deque()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._productive_shards: list[int] = []
        # Their leaders may have granted items to a poll without an answer.
        self._unanswered_shards: dict[int, None] = {}
        self._next_poll_at = 0.0
        self._poll_task: asyncio.Task[None] | None = None
        self._wind_down_tasks: set[asyncio.Task[None]] = set()
        self._stopping = False

    # ---- lifecycle ----

    async def run(self) -> None:
        """Run until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._renew_loop())
            group.create_task(self._leases.flush_loop())
            group.create_task(self._fill_loop())

    async def stop(self) -> None:
        """Wait for running items, then release all leases. :meth:`run` must still be running."""
        self._stopping = True
        if self._poll_task is not None:
            await asyncio.wait([self._poll_task])
        while self._running:
            await asyncio.wait(list(self._running.values()))
        await self._leases.flush()
        not_run = self._remove_waiting(lambda item: True)
        for lease in self._leases.held():
            rows = [item.row for item in not_run if item.lease is lease and not item.was_sent]
            await self._leases.release(lease, rows)

    # ---- filling ----

    async def _fill_loop(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            self.owned.capacity_changed.clear()
            slots = 0 if self._stopping else self.owned.gate.available_batch_slots(monotonic())
            for _ in range(min(slots, len(self._waiting))):
                self._start(self._waiting.popleft())
            if self._poll_task is None and self._wants_items(slots, monotonic()):
                self._poll_task = loop.create_task(self._poll())
            try:
                async with asyncio.timeout(SLOT_WAIT_TIMEOUT_S):
                    await self.owned.capacity_changed.wait()
            except TimeoutError:
                continue

    def _wants_items(self, slots: int, now: float) -> bool:
        if self._stopping or self.owned.gate.state is not BackendState.LIVE:
            return False
        is_queue_low = len(self._waiting) < MAX_ITEMS_PER_LEASE // 2
        return is_queue_low and now >= self._next_poll_at and (slots > 0 or bool(self._running))

    def _start(self, item: _LeasedItem) -> None:
        task = asyncio.get_running_loop().create_task(self._run_item(item))
        self._running[item.request_id] = task
        task.add_done_callback(lambda _: self._running.pop(item.request_id, None))

    def _remove_waiting(self, predicate: Callable[[_LeasedItem], bool]) -> list[_LeasedItem]:
        removed = [item for item in self._waiting if predicate(item)]
        self._waiting = deque(item for item in self._waiting if not predicate(item))
        return removed

    # ---- polling ----

    async def _poll(self) -> None:
        try:
            accepted = 0
            for shard in self._shards_to_poll():
                accepted += await self._poll_shard(shard)
                if accepted >= MAX_ITEMS_PER_LEASE:
                    break
            pause_s = 0.0 if accepted else IDLE_POLL_INTERVAL_S * (0.5 + random.random())
            self._next_poll_at = monotonic() + pause_s
        finally:
            self._poll_task = None
            self.owned.capacity_changed.set()

    def _shards_to_poll(self) -> list[int]:
        """Return the shards without an answer, those that gave work last, and a few others.

        Polling all shards would not scale with their number.
        """
        count = self._placement.shard_count
        others = random.sample(range(count), min(SHARDS_PER_POLL, count))
        unanswered = list(self._unanswered_shards)[:SHARDS_PER_POLL]
        return list(dict.fromkeys([*unanswered, *self._productive_shards, *others]))

    async def _poll_shard(self, shard: int) -> int:
        targets = sorted(self.owned.backend.targets)
        try:
            grant = await self._leases.poll(shard, targets, MAX_ITEMS_PER_LEASE)
        except ServingError as error:
            logger.debug("lease poll failed", extra={"shard": shard, "cause": str(error)})
            self._unanswered_shards.pop(shard, None)
            self._unanswered_shards[shard] = None
            return 0
        self._unanswered_shards.pop(shard, None)
        self.revoke(list(grant.revoked))
        accepted = sum(self._accept_lease(shard, granted) for granted in grant.leases)
        self._productive_shards = [other for other in self._productive_shards if other != shard]
        if accepted:
            self._productive_shards = [shard, *self._productive_shards][:SHARDS_PER_POLL]
        return accepted

    def _accept_lease(self, shard: int, granted: GrantedLease) -> int:
        lease = granted.lease
        name = service_name_of(json.loads(granted.lines[0]))
        service = self._find_service(granted.tenant, name)
        repeatable = service is not None and service.repeatable
        held = HeldLease(lease.lease_id, shard, lease.job_id, repeatable, set(lease.rows))
        is_valid = self._leases.add(held)
        rows = zip(lease.rows, granted.lines, granted.previous_backends, strict=True)
        for row, line, previous_backend in rows:
            if service is None:
                body = error_line(line, "", "service_not_found", Outcome.NOT_RUN)
                self._record_result(held, row, FAILED, body)
                continue
            was_sent = previous_backend == self.owned.backend.backend_id
            self._waiting.append(_LeasedItem(held, row, service, line, was_sent=was_sent))
        if not is_valid:
            self._begin_wind_down(held)
        return len(lease.rows)

    # ---- items ----

    async def _run_item(self, item: _LeasedItem) -> None:
        if item.lease.revoked:
            return
        request = build_batch_request(item.service, item.line, item.request_id)
        request = replace(request, resume=item.was_sent)
        item.was_sent = True
        try:
            part = await self._owner.run_batch(self.owned, request)
        except BatchPreemptedError:
            self._waiting.appendleft(item)
        except ServingError as error:
            await self._handle_failure(item, request, error)
        except Exception as error:
            # An unexpected error must not lose the item.
            logger.exception(
                "unexpected error while running an item", extra={"request": item.request_id}
            )
            await self._handle_failure(item, request, BackendError(repr(error), Outcome.UNKNOWN))
        else:
            self._record_answer(item, part)

    def _record_answer(self, item: _LeasedItem, part: BackendPart) -> None:
        end = COMPLETED if part.status < 400 else FAILED
        body = output_line(item.line, item.request_id, part.status, part.data)
        self._record_result(item.lease, item.row, end, body, part.status)

    async def _handle_failure(
        self, item: _LeasedItem, request: BackendRequest, error: ServingError
    ) -> None:
        item.attempts += 1
        if error.outcome is not Outcome.NOT_RUN and not item.service.repeatable:
            await self._resolve_outcome(item, request)
            return
        if item.attempts < MAX_ATTEMPTS and self.owned.gate.state is BackendState.LIVE:
            await asyncio.sleep(RETRY_DELAY_S * item.attempts)
            self._waiting.append(item)
            return
        # Returns the item so that another back end can run it.
        await self._leases.return_rows(item.lease, [item.row])

    async def _resolve_outcome(self, item: _LeasedItem, request: BackendRequest) -> None:
        """Ask the back end for the outcome of an item that must not run twice."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                part = await self.owned.client.settle(request)
            except BackendError:
                await asyncio.sleep(RETRY_DELAY_S * attempt)
                continue
            if part is not None:
                self._record_answer(item, part)
            else:
                await self._leases.return_rows(item.lease, [item.row])
            return
        body = error_line(item.line, item.request_id, "unknown", Outcome.UNKNOWN)
        self._record_result(item.lease, item.row, UNKNOWN, body)

    def _record_result(
        self, lease: HeldLease, row: int, end: ItemEnd, body: bytes, status: int = 0
    ) -> None:
        result = ItemResult(row=row, status=status, body=body, end=end)
        self._leases.record(lease.lease_id, result)
        self._metrics.batch_items.labels(ItemEnd.Name(end).lower()).inc()

    # ---- renewal and revocation ----

    async def _renew_loop(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            self.revoke(await self._leases.renew_all())

    def revoke(self, lease_ids: list[str]) -> None:
        """Wind down leases that ended or whose job was cancelled."""
        for lease_id in lease_ids:
            lease = self._leases.revoke(lease_id)
            if lease is not None:
                self._begin_wind_down(lease)

    def _begin_wind_down(self, lease: HeldLease) -> None:
        # Removes the items before the task runs, so that a slot that becomes free starts none.
        dropped = self._remove_waiting(lambda item: item.lease is lease)
        task = asyncio.get_running_loop().create_task(self._wind_down(lease, dropped))
        self._wind_down_tasks.add(task)
        task.add_done_callback(self._wind_down_tasks.discard)

    async def _wind_down(self, lease: HeldLease, dropped: list[_LeasedItem]) -> None:
        started_at = monotonic()
        running = [
            task
            for row in lease.open_rows
            if (task := self._running.get(f"{lease.job_id}-{row}")) is not None
        ]
        if self.owned.backend.kind is BackendKind.ENGINE:
            unconfirmed = await self._stop_tasks(running)
        else:
            # Waits for application calls: stopping one would make its outcome unknown.
            unconfirmed = await _wait_for(running, None)
        stopped_at = monotonic()
        await self._leases.release(lease, [item.row for item in dropped if not item.was_sent])
        logger.info(
            "lease wound down",
            extra={
                "lease": lease.lease_id,
                "job": lease.job_id,
                "backend": self.owned.backend.backend_id,
                "running": len(running),
                "unconfirmed": unconfirmed,
                "stop_s": round(stopped_at - started_at, 3),
                "end_s": round(monotonic() - stopped_at, 3),
            },
        )

    async def _stop_tasks(self, running: list[asyncio.Task[None]]) -> int:
        """Stop items at an engine; return the number of stops not confirmed in time.

        Unconfirmed stops continue, and their items keep their slots until the engine confirms.
        """
        for task in running:
            task.cancel()
        return await _wait_for(running, STOP_TIMEOUT_S)


async def _wait_for(tasks: list[asyncio.Task[None]], timeout_s: float | None) -> int:
    """Wait for tasks; return the number that are still running after the timeout."""
    if not tasks:
        return 0
    _, pending = await asyncio.wait(tasks, timeout=timeout_s)
    return len(pending)
