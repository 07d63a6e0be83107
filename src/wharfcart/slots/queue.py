"""Queue core: online requests that wait for a slot of a back end.

Back ends serve requests first in, first out, so that under overload every request is late. This
queue serves requests that can still answer in time before those that cannot.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple

from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.configuration.residence import ANYWHERE, Residence

# Per service, residence and version.
MAX_WAITING = 400


class QueueKey(NamedTuple):
    """Which back ends of a service the requests of a queue may go to.

    Attributes:
        residence: regions where the requests' data may be processed.
        version: software version that began their answers; None for new answers.
    """

    residence: Residence = ANYWHERE
    version: SoftwareVersion | None = None


ANY_BACKEND = QueueKey()


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        number: position in the order of arrival.
        start_deadline: latest monotonic time to start and still answer in time.
        queue_deadline: monotonic time at which the request stops waiting.
        priority: 0 is the most urgent.
        key: which back ends the request may go to.
    """

    number: int
    service: str
    start_deadline: float
    queue_deadline: float
    priority: int = 0
    key: QueueKey = ANY_BACKEND

    @property
    def order(self) -> tuple[int, float, int]:
        """Sort key of a request that can still answer in time."""
        return self.priority, self.start_deadline, self.number

    @property
    def late_order(self) -> tuple[int, float, int]:
        """Sort key of a late request among late requests."""
        return self.priority, self.queue_deadline, self.number

    def rank(self, now: float) -> tuple[bool, tuple[int, float, int]]:
        """Return the sort key over several queues; requests that can be in time come first."""
        if now <= self.start_deadline:
            return False, self.order
        return True, self.late_order


@dataclass
class _KeyQueue:
    """Requests that wait for the same back ends of one service.

    Attributes:
        waiting_by_number: all waiting requests. The heaps also hold removed requests, which are
            skipped.
        on_time: heap of requests that could answer in time when they were last examined.
        late: heap of late requests.
    """

    waiting_by_number: dict[int, WaitingRequest] = field(default_factory=dict)
    on_time: list[tuple[tuple[int, float, int], WaitingRequest]] = field(default_factory=list)
    late: list[tuple[tuple[int, float, int], WaitingRequest]] = field(default_factory=list)

    def add(self, waiting: WaitingRequest) -> None:
        """Add a request."""
        self.waiting_by_number[waiting.number] = waiting
        heappush(self.on_time, (waiting.order, waiting))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request to serve next; None if the queue is empty."""
        while self.on_time:
            waiting = self.on_time[0][1]
            if waiting.number in self.waiting_by_number:
                if now <= waiting.start_deadline:
                    return waiting
                heappush(self.late, (waiting.late_order, waiting))
            heappop(self.on_time)
        while self.late and self.late[0][1].number not in self.waiting_by_number:
            heappop(self.late)
        return self.late[0][1] if self.late else None


@dataclass
class SlotQueue:
    """Waiting requests by service and key.

    Each key has a queue of its own, so that a request whose regions or whose version are full does
    not block requests for others.
    """

    _queues_by_service: dict[str, dict[QueueKey, _KeyQueue]] = field(default_factory=dict)
    _next_number: int = 0

    def add(
        self,
        service: str,
        start_deadline: float,
        queue_deadline: float,
        priority: int,
        key: QueueKey = ANY_BACKEND,
    ) -> WaitingRequest | None:
        """Add a request and return it; None if its queue is full."""
        queue = self._queues_by_service.setdefault(service, {}).setdefault(key, _KeyQueue())
        if len(queue.waiting_by_number) >= MAX_WAITING:
            return None
        self._next_number += 1
        waiting = WaitingRequest(
            self._next_number, service, start_deadline, queue_deadline, priority, key
        )
        queue.add(waiting)
        return waiting

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request that got its slot or stopped waiting."""
        queue = self._queues_by_service.get(waiting.service, {}).get(waiting.key)
        if queue is not None:
            queue.waiting_by_number.pop(waiting.number, None)

    def count(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        queues = self._queues_by_service.get(service, {}).values()
        return sum(len(queue.waiting_by_number) for queue in queues)

    def count_in(self, service: str, key: QueueKey) -> int:
        """Return the number of requests with one key that wait for a service."""
        queue = self._queues_by_service.get(service, {}).get(key)
        return 0 if queue is None else len(queue.waiting_by_number)

    def total(self) -> int:
        """Return the number of waiting requests."""
        return sum(map(self.count, self._queues_by_service))

    def services(self) -> list[str]:
        """Return the services that have waiting requests."""
        return [service for service in self._queues_by_service if self.count(service)]

    def keys(self, service: str) -> list[QueueKey]:
        """Return the keys of a service's waiting requests."""
        queues = self._queues_by_service.get(service, {})
        return [key for key, queue in queues.items() if queue.waiting_by_number]

    def next(
        self, service: str, now: float, skipped: Collection[QueueKey] = ()
    ) -> WaitingRequest | None:
        """Return the request to serve next over all keys except the skipped ones."""
        queues = self._queues_by_service.get(service, {})
        heads = [
            head
            for key, queue in queues.items()
            if key not in skipped and (head := queue.first(now)) is not None
        ]
        return min(heads, key=lambda head: head.rank(now), default=None)
