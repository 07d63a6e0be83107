"""Core: the items that were given to back ends, and which of them leave first for online requests.

Pure but for the tasks that it stops: time is handed in as seconds.
"""

import asyncio
from dataclasses import dataclass, field

from wharfcart.batch.job_scheduler import ScheduledJob
from wharfcart.batch.run_estimate import RunEstimate, Urgency
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.routing.backend_choice import InstanceState

# Urgent items that run keep so much of a back end, whatever online work comes.
RESERVED_SHARE = 0.2
# Urgent items are counted this often: from one count to the next little changes.
COUNT_PERIOD_S = 0.1


@dataclass(eq=False)
class PlacedItem:
    """An item that was given to a back end.

    Attributes:
        use: number under which it counts as in flight there.
        begun: its task runs; one that has not begun can't be cancelled without losing the item.
        stopped: it is to leave, or has.
    """

    scheduled: ScheduledJob
    item: RequestItem
    state: InstanceState
    use: int
    task: asyncio.Task[None] | None = None
    begun: bool = False
    stopped: bool = False

    @property
    def instance_id(self) -> str:
        """Incarnation of the back end."""
        return self.state.instance.instance_id

    @property
    def service(self) -> str:
        """Service of the back end."""
        return self.state.instance.service

    def stop(self) -> None:
        """Have the item leave; its task puts it back into the queue."""
        self.stopped = True
        if self.begun and self.task is not None:
            self.task.cancel()


@dataclass
class PlacedItems:
    """All items of one leader that are at back ends.

    Attributes:
        estimates_by_service: how long items run, learnt from those that have finished.
    """

    estimates_by_service: dict[str, RunEstimate] = field(default_factory=dict)
    _by_item: dict[str, PlacedItem] = field(default_factory=dict)
    _by_backend: dict[str, dict[str, PlacedItem]] = field(default_factory=dict)
    _urgent_by_backend: dict[str, int] = field(default_factory=dict)  # as counted last
    _count_at: float = 0.0

    def add(self, placed: PlacedItem) -> None:
        """Note an item that is given to a back end."""
        item_id = placed.item.item_id
        self._by_item[item_id] = placed
        self._by_backend.setdefault(placed.instance_id, {})[item_id] = placed

    def remove(self, placed: PlacedItem) -> None:
        """Forget an item that has left its back end."""
        item_id = placed.item.item_id
        self._by_item.pop(item_id, None)
        there = self._by_backend.get(placed.instance_id, {})
        there.pop(item_id, None)
        if not there:
            self._by_backend.pop(placed.instance_id, None)
            self._urgent_by_backend.pop(placed.instance_id, None)

    def clear(self) -> list[PlacedItem]:
        """Forget all items; return them."""
        placed = list(self._by_item.values())
        self._by_item.clear()
        self._by_backend.clear()
        self._urgent_by_backend.clear()
        return placed

    def get(self, item_id: str) -> PlacedItem | None:
        """Return an item that is at a back end."""
        return self._by_item.get(item_id)

    def backends(self) -> list[InstanceState]:
        """Return the back ends that have items."""
        return [next(iter(there.values())).state for there in self._by_backend.values()]

    def yielding_at(self, instance_id: str) -> int:
        """Return how many items at a back end leave if they are asked to."""
        there = self._by_backend.get(instance_id)
        if not there:
            return 0
        staying = min(self._urgent_by_backend.get(instance_id, 0), _most_staying(there))
        return max(0, sum(not placed.stopped for placed in there.values()) - staying)

    def in_order_of_yielding(self, instance_id: str, now: float) -> list[PlacedItem]:
        """Return the items at a back end that yield, those first that lose least by it.

        That are those that come too late anyway, then those with the most time left; a few urgent
        ones stay.
        """
        there = self._by_backend.get(instance_id, {})
        urgencies = {
            item_id: self.urgency(placed.scheduled, placed.item, placed.service, now)
            for item_id, placed in there.items()
            if not placed.stopped
        }
        ordered = sorted(urgencies, key=lambda item_id: urgencies[item_id].order)
        urgent = [item_id for item_id in ordered if urgencies[item_id].urgent]
        self._urgent_by_backend[instance_id] = len(urgent)
        staying = urgent[-_most_staying(there) :] if there else []
        return [there[item_id] for item_id in ordered if item_id not in staying]

    def count_urgent(self, now: float) -> None:
        """Count the urgent items at each back end, a few times a second."""
        if now < self._count_at:
            return
        self._count_at = now + COUNT_PERIOD_S
        for instance_id in self._by_backend:
            self.in_order_of_yielding(instance_id, now)

    def urgency(
        self, scheduled: ScheduledJob, item: RequestItem, service: str, now: float
    ) -> Urgency:
        """Return how an item stands against its due time."""
        estimate = self.estimate(service)
        done = len(scheduled.progress_of(item.item_id).text.texts)
        remaining_s = estimate.remaining_s(done, scheduled.job.objective_s)
        return Urgency(scheduled.due_at - now, remaining_s)

    def estimate(self, service: str) -> RunEstimate:
        """Return what is known of the runs of a service's items."""
        return self.estimates_by_service.setdefault(service, RunEstimate())


def _most_staying(there: dict[str, PlacedItem]) -> int:
    """Return how many urgent items keep their slots at the back end where these are."""
    slots = next(iter(there.values())).state.instance.slots
    return max(1, int(slots * RESERVED_SHARE))
