"""Core: which granting nodes a gateway asks for a slot, in which order and how insistently.

Slots of the gateway's own zone come first, as bytes between zones cost more; but a free slot in
another zone comes before one that a batch item must give up, since an item that is cut begins its
prompt anew. Other regions come after all that: a slot there costs two round trips between regions,
and its answer's bytes cost more than an item that is cut. A request waits only once nobody has a
slot.

Pure.
"""

from collections.abc import Collection, Mapping

import xxhash

from wharfcart.cluster.topology import Distance
from wharfcart.slots.events import RequestMode
from wharfcart.slots.snapshot import ServiceCapacity

RequestStep = tuple[int, RequestMode]

# A line in another region is joined if it is shorter by so many requests a slot: those take about
# as long to leave as a request takes to the other region and back, twice, and half as long again.
REMOTE_QUEUE_PENALTY = 0.25


def order_groups(
    capacity_by_group: Mapping[int, ServiceCapacity], distances: Mapping[int, Distance]
) -> list[RequestStep]:
    """Return the groups to ask, one after the other until one has a slot.

    Args:
        rooms_by_group: room for the service as the granting nodes told last.
        distances: how far each group's back ends are from the gateway.
    """
    if len(capacity_by_group) < 2:
        return [(group, RequestMode.WAIT) for group in capacity_by_group]
    own = [group for group in capacity_by_group if distances[group] is Distance.SAME_ZONE]
    far = [group for group in capacity_by_group if distances[group] is Distance.OTHER_REGION]
    near_rooms = {group: room for group, room in capacity_by_group.items() if group not in far}
    far_rooms = {group: capacity_by_group[group] for group in far}
    steps = _best_groups(near_rooms, own, RequestMode.FREE) + _best_groups(
        near_rooms, own, RequestMode.PREEMPT
    )
    steps += _best_groups(far_rooms, (), RequestMode.FREE) + _best_groups(
        far_rooms, (), RequestMode.PREEMPT
    )

    def wait_cost(group: int) -> tuple[float, bool]:
        room = capacity_by_group[group]
        line = room.waiting / max(1, room.slots)
        return line + (REMOTE_QUEUE_PENALTY if group in far else 0.0), group not in own

    groups = sorted(capacity_by_group, key=wait_cost)
    return steps + [(group, RequestMode.WAIT) for group in groups]


def order_groups_by_affinity(
    capacity_by_group: Mapping[int, ServiceCapacity],
    affinity_key: str,
    distances: Mapping[int, Distance] | None = None,
) -> list[RequestStep]:
    """Return the groups to ask for a long shared prompt: where it was read before comes first.

    Args:
        rooms_by_group: room for the service as the granting nodes told last.
        affinity_key: names the prompt; each region reads it for itself.
        distances: how far each group's back ends are from the gateway; None if none is far.
    """

    def rank(group: int) -> tuple[bool, bool, int]:
        room = capacity_by_group[group]
        full = room.free + room.preemptible <= room.waiting
        far = distances is not None and distances[group] is Distance.OTHER_REGION
        return full, far, xxhash.xxh64_intdigest(f"{affinity_key}/{group}".encode())

    return [(group, RequestMode.WAIT) for group in sorted(capacity_by_group, key=rank)]


def _best_groups(
    capacity_by_group: Mapping[int, ServiceCapacity], own: Collection[int], mode: RequestMode
) -> list[RequestStep]:
    """Return the own group and the best other one that have room in a manner."""

    def room_for(group: int) -> int:
        room = capacity_by_group[group]
        room_left = room.free if mode is RequestMode.FREE else room.free + room.preemptible
        return room_left - room.waiting

    with_room = [group for group in capacity_by_group if room_for(group) > 0]
    with_room.sort(key=room_for, reverse=True)
    owned = [group for group in with_room if group in own]
    others = [group for group in with_room if group not in own]
    return [(group, mode) for group in owned[:1] + others[:1]]
