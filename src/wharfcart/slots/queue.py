"""Queue core: online requests that wait for a slot of a back end, in the order in which they go.

Back ends serve what they are sent in the order in which it comes. When more comes than they can
take, everybody in such a queue is late by the same time. Here a request that can still be in time
goes before one that can't, and one that has waited long enough is told so.

Pure: time is handed in as seconds.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush

from wharfcart.configuration.residence import ANYWHERE, Residence

# So many requests wait for one service in the same regions, no more.
MAX_WAITING = 400


@dataclass(frozen=True)
class WaitingRequest:
    """A request that waits for a slot.

    Attributes:
        number: rises with each request that comes.
        in_time_until: monotonic time until which a slot lets it answer in time.
        leave_at: monotonic time at which it is given up.
        priority: 0 is the most urgent.
        residence: where its data may be.
    """

    number: int
    service: str
    start_deadline: float
    queue_deadline: float
    priority: int = 0
    residence: Residence = ANYWHERE

    @property
    def order(self) -> tuple[int, float, int]:
        """Sorts a request that can still be in time."""
        return self.priority, self.start_deadline, self.number

    @property
    def late_order(self) -> tuple[int, float, int]:
        """Sorts a request that can't be in time any more, behind all that can."""
        return self.priority, self.queue_deadline, self.number

    def rank(self, now: float) -> tuple[bool, tuple[int, float, int]]:
        """Sorts requests of several lines, those that can still be in time first."""
        if now <= self.start_deadline:
            return False, self.order
        return True, self.late_order


@dataclass
class _ResidenceQueue:
    """Requests that wait for one service and may go to the same back ends.

    Attributes:
        waiting_by_number: all of them; who is not here has left, and is passed over in the heaps.
        in_time: those that could still be in time when they were looked at last, a heap.
        late: the others, a heap.
    """

    waiting_by_number: dict[int, WaitingRequest] = field(default_factory=dict)
    on_time: list[tuple[tuple[int, float, int], WaitingRequest]] = field(default_factory=list)
    late: list[tuple[tuple[int, float, int], WaitingRequest]] = field(default_factory=list)

    def add(self, waiting: WaitingRequest) -> None:
        """Take a request in."""
        self.waiting_by_number[waiting.number] = waiting
        heappush(self.on_time, (waiting.order, waiting))

    def first(self, now: float) -> WaitingRequest | None:
        """Return the request that goes next."""
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
    """Requests that wait, by service and residence.

    Requests that may go to the same back ends stand in one line: one whose regions are full holds
    up no other. Residences are few, as a configuration names them.
    """

    _queues_by_service: dict[str, dict[Residence, _ResidenceQueue]] = field(default_factory=dict)
    _next_number: int = 0

    def add(
        self,
        service: str,
        start_deadline: float,
        queue_deadline: float,
        priority: int,
        residence: Residence = ANYWHERE,
    ) -> WaitingRequest | None:
        """Take a request in; None if too many wait already."""
        line = self._queues_by_service.setdefault(service, {}).setdefault(
            residence, _ResidenceQueue()
        )
        if len(line.waiting_by_number) >= MAX_WAITING:
            return None
        self._next_number += 1
        waiting = WaitingRequest(
            self._next_number, service, start_deadline, queue_deadline, priority, residence
        )
        line.add(waiting)
        return waiting

    def remove(self, waiting: WaitingRequest) -> None:
        """Drop a request that has its slot, or waits no longer."""
        line = self._queues_by_service.get(waiting.service, {}).get(waiting.residence)
        if line is not None:
            line.waiting_by_number.pop(waiting.number, None)

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        lines = self._queues_by_service.get(service, {}).values()
        return sum(len(line.waiting_by_number) for line in lines)

    def count_in(self, service: str, residence: Residence) -> int:
        """Return how many requests of one residence wait for a service."""
        line = self._queues_by_service.get(service, {}).get(residence)
        return 0 if line is None else len(line.waiting_by_number)

    def total(self) -> int:
        """Return how many requests wait."""
        return sum(map(self.count, self._queues_by_service))

    def services(self) -> list[str]:
        """Return the services that requests wait for."""
        return [service for service in self._queues_by_service if self.count(service)]

    def residences(self, service: str) -> list[Residence]:
        """Return the residences of the requests that wait for a service."""
        lines = self._queues_by_service.get(service, {})
        return [residence for residence, line in lines.items() if line.waiting_by_number]

    def next(
        self, service: str, now: float, skipped: Collection[Residence] = ()
    ) -> WaitingRequest | None:
        """Return the request that goes next, of all lines but those passed over."""
        lines = self._queues_by_service.get(service, {})
        heads = [
            head
            for residence, line in lines.items()
            if residence not in skipped and (head := line.first(now)) is not None
        ]
        return min(heads, key=lambda head: head.rank(now), default=None)
