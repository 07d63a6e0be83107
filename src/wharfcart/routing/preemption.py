"""What the node that grants slots asks of the batch items that it runs."""

from abc import ABC, abstractmethod


class Preemption(ABC):
    """Batch items that make room for online requests."""

    @abstractmethod
    def items_at(self, instance_id: str) -> int:
        """Return how many items at a back end would leave for an online request."""

    @abstractmethod
    def make_room(self, instance_id: str) -> bool:
        """Have one item leave a back end at once; False if none does."""

    @abstractmethod
    def slots_changed(self) -> None:
        """Note that the load of back ends has changed."""
