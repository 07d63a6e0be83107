"""What the node that grants slots tells its holders of the back ends, now and then."""

from dataclasses import dataclass, field, replace


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load of one back end.

    Attributes:
        in_use: slots that are taken, by whomever.
        unread_tokens: of prompts that probably wait to be read there.
        avoided: its failures or its silence speak against it.
    """

    instance_id: str
    in_use: int
    unread_tokens: int = 0
    avoided: bool = False


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Room for requests of one service at the back ends that one node grants.

    Attributes:
        slots: of all back ends that may be used.
        free: slots that nobody has.
        yielding: slots of batch items that would leave for a request.
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
        backends: the most loaded ones, those that are avoided first.
        sends_per_s: requests a second that all holders send, by service.
        holders: how many sessions are open.
        usage: requests of one window over all gateways, by tenant that comes near its limit.
        gateways: how many gateways are counted in that.
    """

    backends: tuple[BackendLoad, ...] = ()
    capacities: tuple[ServiceCapacity, ...] = ()
    sends_per_s: dict[str, float] = field(default_factory=dict)
    holders: int = 0
    usage: dict[str, int] = field(default_factory=dict)
    gateways: int = 0

    def for_other_region(self) -> "SlotSnapshot":
        """Return what a holder in another region needs: where there is room, and what to avoid."""
        avoided = tuple(load for load in self.backends if load.avoided)
        return replace(self, backends=avoided)

    def capacity_for(self, service: str) -> ServiceCapacity | None:
        """Return the room for a service; None if none of its back ends are granted there."""
        return next((room for room in self.capacities if room.service == service), None)
