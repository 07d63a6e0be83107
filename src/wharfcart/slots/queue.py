"""Queue core: online requests that wait for a slot of a back end, in the order in which they go.

Back ends serve what they are sent in the order in which it comes. When more comes than they can
take, everybody in such a queue is late by the same time. Here a request that can still be in time
goes before one that can't, and one that has waited long enough is told so.

Pure: time is handed in as seconds.
"""

from dataclasses import dataclass, field

# So many requests wait for one service, no more.
MOST_WAITING = 400


@dataclass(frozen=True)
class Waiting:
    """A request that waits for a slot.

    Attributes:
        number: rises with each request that comes.
        in_time_until: monotonic time until which a slot lets it answer in time.
        leave_at: monotonic time at which it is given up.
        priority: 0 is the most urgent.
    """

    number: int
    service: str
    in_time_until: float
    leave_at: float
    priority: int = 0

    def order(self, now: float) -> tuple[bool, int, float, int]:
        """Sorts the request that goes next to the front."""
        late = now > self.in_time_until
        return late, self.priority, self.leave_at if late else self.in_time_until, self.number


@dataclass
class SlotQueue:
    """Requests that wait, by service."""

    _by_service: dict[str, dict[int, Waiting]] = field(default_factory=dict)
    _next_number: int = 0

    def add(
        self, service: str, in_time_until: float, leave_at: float, priority: int
    ) -> Waiting | None:
        """Take a request in; None if too many wait already."""
        waiting_by_number = self._by_service.setdefault(service, {})
        if len(waiting_by_number) >= MOST_WAITING:
            return None
        self._next_number += 1
        waiting = Waiting(self._next_number, service, in_time_until, leave_at, priority)
        waiting_by_number[waiting.number] = waiting
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Drop a request that has its slot, or waits no longer."""
        self._by_service.get(waiting.service, {}).pop(waiting.number, None)

    def count(self, service: str) -> int:
        """Return how many requests wait for a service."""
        return len(self._by_service.get(service, {}))

    def total(self) -> int:
        """Return how many requests wait."""
        return sum(map(len, self._by_service.values()))

    def services(self) -> list[str]:
        """Return the services that requests wait for."""
        return [service for service, waiting in self._by_service.items() if waiting]

    def next(self, service: str, now: float) -> Waiting | None:
        """Return the request that goes next."""
        waiting = self._by_service.get(service, {}).values()
        return min(waiting, key=lambda one: one.order(now), default=None)
