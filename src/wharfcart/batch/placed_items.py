"""Items of one leader that occupy slots of back ends."""

import asyncio
from dataclasses import dataclass, field

from wharfcart.batch.job_scheduler import ScheduledJob
from wharfcart.cluster.messages_pb2 import RequestItem
from wharfcart.routing.backend_selection import InstanceState
from wharfcart.slots.events import SlotNumber
from wharfcart.slots.item_slots import ItemSlot
from wharfcart.slots.session import HeldSlot
from wharfcart.storage.partial_texts import ItemKey


@dataclass(eq=False)
class PlacedItem:
    """An item that was assigned to a slot of a back end.

    Attributes:
        scheduled: the job of the item.
        item: the item.
        state: state of the back end.
        send_id: id under which the selector counts the item as in flight.
        slot: the slot that the item occupies.
        task: runs the item.
        started: whether the task has started; cancelling it earlier would lose the item.
        is_stopping: whether a stop was requested.
    """

    scheduled: ScheduledJob
    item: RequestItem
    state: InstanceState
    send_id: int
    slot: ItemSlot
    task: asyncio.Task[None] | None = None
    started: bool = False
    is_stopping: bool = False

    @property
    def key(self) -> ItemKey:
        """Key of the item."""
        return self.scheduled.key_of(self.item.item_id)

    def stop(self) -> None:
        """Stop the item; its task requeues it."""
        self.is_stopping = True
        if self.started and self.task is not None:
            self.task.cancel()


@dataclass
class PlacedItems:
    """Items of one leader that occupy slots, indexed by item and by slot."""

    _by_item: dict[ItemKey, PlacedItem] = field(default_factory=dict)
    _by_slot: dict[tuple[int, SlotNumber], PlacedItem] = field(default_factory=dict)

    def add(self, placed: PlacedItem) -> None:
        """Add an item."""
        self._by_item[placed.key] = placed
        self._by_slot[placed.slot.group, placed.slot.number] = placed

    def remove(self, placed: PlacedItem) -> None:
        """Remove an item that has released its slot."""
        if self._by_item.get(placed.key) is placed:
            del self._by_item[placed.key]
        self._by_slot.pop((placed.slot.group, placed.slot.number), None)

    def clear(self) -> list[PlacedItem]:
        """Remove and return all items."""
        placed = list(self._by_item.values())
        self._by_item.clear()
        self._by_slot.clear()
        return placed

    def get(self, key: ItemKey) -> PlacedItem | None:
        """Return an item, or None."""
        return self._by_item.get(key)

    def get_by_slot(self, slot: HeldSlot) -> PlacedItem | None:
        """Return the item that occupies a slot, or None."""
        return self._by_slot.get((slot.group, slot.number))
