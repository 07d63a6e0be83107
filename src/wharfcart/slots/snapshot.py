"""Load snapshot that a granting node sends to its holders periodically."""

from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load of one back end.

    Attributes:
        in_use: slots that are taken by any holder.
        unread_tokens: prompt tokens that the back end probably has to prefill.
        avoided: the back end has failed or is unresponsive.
    """

    instance_id: str
    in_use: int
    unread_tokens: int = 0
    avoided: bool = False


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Capacity for requests of one service at the back ends that one node grants.

    Attributes:
        slots: slots of all usable back ends.
        free: free slots.
        preemptible: slots of batch items that a request can preempt.
        waiting: requests that wait for a slot.
    """

    service: str
    slots: int
    free: int
    preemptible: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class SlotSnapshot:
    """State of all slots that one node grants.

    Attributes:
        backends: the most loaded back ends; avoided ones come first.
        capacities: capacity of each service.
        sends_per_s: requests per second that all holders send, by service.
        holders: number of open sessions.
        usage: requests of all gateways in one window, by tenant; only tenants near their limit.
        gateways: number of gateways that are counted in ``usage``.
    """

    backends: tuple[BackendLoad, ...] = ()
    capacities: tuple[ServiceCapacity, ...] = ()
    sends_per_s: dict[str, float] = field(default_factory=dict)
    holders: int = 0
    usage: dict[str, int] = field(default_factory=dict)
    gateways: int = 0

    def for_other_region(self) -> "SlotSnapshot":
        """Return a smaller snapshot for other regions; its back ends are only the avoided ones."""
        avoided = tuple(load for load in self.backends if load.avoided)
        return replace(self, backends=avoided)

    def capacity_for(self, service: str) -> ServiceCapacity | None:
        """Return the capacity for a service; None if the node grants none of its back ends."""
        return next((capacity for capacity in self.capacities if capacity.service == service), None)
