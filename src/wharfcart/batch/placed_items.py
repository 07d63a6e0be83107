"""The items of one leader that run in slots of back ends."""

import asyncio
from dataclasses import dataclass, field

from wharfcart.batch.job_scheduler import ScheduledJob
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.routing.backend_selection import InstanceState
from wharfcart.slots.events import SlotNumber
from wharfcart.slots.item_slots import ItemSlot
from wharfcart.slots.session import HeldSlot


@dataclass(eq=False)
class PlacedItem:
    """An item that was given to a back end.

    Attributes:
        send_id: number under which it counts as in flight there.
        slot: that was offered for it.
        started: its task runs; one that has not begun can't be cancelled without losing the item.
        is_stopping: it is to leave, or has.
    """

    scheduled: ScheduledJob
    item: RequestItem
    state: InstanceState
    send_id: int
    slot: ItemSlot
    task: asyncio.Task[None] | None = None
    started: bool = False
    is_stopping: bool = False

    def stop(self) -> None:
        """Have the item leave; its task puts it back into the queue."""
        self.is_stopping = True
        if self.started and self.task is not None:
            self.task.cancel()


@dataclass
class PlacedItems:
    """All items of one leader that are at back ends, by item and by slot."""

    _by_item: dict[str, PlacedItem] = field(default_factory=dict)
    _by_slot: dict[tuple[int, SlotNumber], PlacedItem] = field(default_factory=dict)

    def add(self, placed: PlacedItem) -> None:
        """Note an item that is given to a back end."""
        self._by_item[placed.item.item_id] = placed
        self._by_slot[placed.slot.group, placed.slot.number] = placed

    def remove(self, placed: PlacedItem) -> None:
        """Forget an item that has left its back end."""
        if self._by_item.get(placed.item.item_id) is placed:
            del self._by_item[placed.item.item_id]
        self._by_slot.pop((placed.slot.group, placed.slot.number), None)

    def clear(self) -> list[PlacedItem]:
        """Forget all items; return them."""
        placed = list(self._by_item.values())
        self._by_item.clear()
        self._by_slot.clear()
        return placed

    def get(self, item_id: str) -> PlacedItem | None:
        """Return an item that is at a back end."""
        return self._by_item.get(item_id)

    def get_by_slot(self, slot: HeldSlot) -> PlacedItem | None:
        """Return the item that runs in a slot."""
        return self._by_slot.get((slot.group, slot.number))
