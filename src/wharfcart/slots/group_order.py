"""Group order core: the order and mode in which a gateway requests a slot from the groups.

The gateway's own zone comes first, as traffic between zones costs more. A free slot in another zone
comes before preemption, as a preempted item has to start again. Other regions come last: a slot
there costs two round trips between regions, and the traffic of the answer costs more than a
preempted item. A request waits only if no group has a slot.

Pure.
"""

from collections.abc import Collection, Mapping

import xxhash

from wharfcart.cluster.topology import Distance
from wharfcart.slots.events import RequestMode
from wharfcart.slots.snapshot import ServiceCapacity

RequestStep = tuple[int, RequestMode]

# Added to the waiting requests per slot of a queue in another region: about as many as are served
# during the round trips there: twice there and back, and half as long again.
REMOTE_QUEUE_PENALTY = 0.25


def order_groups(
    capacity_by_group: Mapping[int, ServiceCapacity], distances: Mapping[int, Distance]
) -> list[RequestStep]:
    """Return the groups to request a slot from, one after the other until one grants it.

    Args:
        capacity_by_group: capacity for the service as the granting nodes reported it last.
        distances: distance of each group's back ends from the gateway.
    """
    if len(capacity_by_group) < 2:
        return [(group, RequestMode.WAIT) for group in capacity_by_group]
    own_zone = [group for group in capacity_by_group if distances[group] is Distance.SAME_ZONE]
    remote = [group for group in capacity_by_group if distances[group] is Distance.OTHER_REGION]
    local_capacities = {
        group: capacity for group, capacity in capacity_by_group.items() if group not in remote
    }
    remote_capacities = {group: capacity_by_group[group] for group in remote}
    steps = _best_groups(local_capacities, own_zone, RequestMode.FREE) + _best_groups(
        local_capacities, own_zone, RequestMode.PREEMPT
    )
    steps += _best_groups(remote_capacities, (), RequestMode.FREE) + _best_groups(
        remote_capacities, (), RequestMode.PREEMPT
    )

    def wait_cost(group: int) -> tuple[float, bool]:
        capacity = capacity_by_group[group]
        queue_per_slot = capacity.waiting / max(1, capacity.slots)
        return queue_per_slot + (
            REMOTE_QUEUE_PENALTY if group in remote else 0.0
        ), group not in own_zone

    groups = sorted(capacity_by_group, key=wait_cost)
    return steps + [(group, RequestMode.WAIT) for group in groups]


def order_groups_by_affinity(
    capacity_by_group: Mapping[int, ServiceCapacity],
    affinity_key: str,
    distances: Mapping[int, Distance] | None = None,
) -> list[RequestStep]:
    """Return the groups to request a slot from for a long shared prompt.

    Groups with capacity come first, then groups in the own region, ordered by a hash of the key, so
    that requests with one prompt reach the group whose back ends have it cached.

    Args:
        capacity_by_group: capacity for the service as the granting nodes reported it last.
        affinity_key: key of the prompt; each region caches the prompt for itself.
        distances: distance of each group's back ends from the gateway; None if all groups are in
            its region.
    """

    def rank(group: int) -> tuple[bool, bool, int]:
        capacity = capacity_by_group[group]
        full = capacity.free + capacity.preemptible <= capacity.waiting
        remote = distances is not None and distances[group] is Distance.OTHER_REGION
        return full, remote, xxhash.xxh64_intdigest(f"{affinity_key}/{group}".encode())

    return [(group, RequestMode.WAIT) for group in sorted(capacity_by_group, key=rank)]


def _best_groups(
    capacity_by_group: Mapping[int, ServiceCapacity], own_zone: Collection[int], mode: RequestMode
) -> list[RequestStep]:
    """Return the best group of the own zone and the best other one with capacity in a mode."""

    def free_slots(group: int) -> int:
        capacity = capacity_by_group[group]
        slots = capacity.free if mode is RequestMode.FREE else capacity.free + capacity.preemptible
        return slots - capacity.waiting

    available = [group for group in capacity_by_group if free_slots(group) > 0]
    available.sort(key=free_slots, reverse=True)
    in_own_zone = [group for group in available if group in own_zone]
    others = [group for group in available if group not in own_zone]
    return [(group, mode) for group in in_own_zone[:1] + others[:1]]
