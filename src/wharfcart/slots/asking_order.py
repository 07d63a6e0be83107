"""Core: which granting nodes a gateway asks for a slot, in which order and how insistently.

Slots of the gateway's own zone come first, as bytes between zones cost more; but a free slot in
another zone comes before one that a batch item must give up, since an item that is cut begins its
prompt anew. A request waits only once nobody has a slot.

Pure.
"""

from collections.abc import Collection, Mapping

import xxhash

from wharfcart.slots.events import Manner
from wharfcart.slots.picture import ServiceRoom

Step = tuple[int, Manner]


def asking_order(rooms_by_group: Mapping[int, ServiceRoom], own: Collection[int]) -> list[Step]:
    """Return the groups to ask, one after the other until one has a slot.

    Args:
        rooms_by_group: room for the service as the granting nodes told last.
        own: groups whose back ends are in the gateway's own zone.
    """
    if len(rooms_by_group) < 2:
        return [(group, Manner.WAIT) for group in rooms_by_group]
    steps = _best(rooms_by_group, own, Manner.FREE)
    steps += _best(rooms_by_group, own, Manner.YIELDED)

    def wait_cost(group: int) -> tuple[float, bool]:
        room = rooms_by_group[group]
        return room.waiting / max(1, room.slots), group not in own

    groups = sorted(rooms_by_group, key=wait_cost)
    return steps + [(group, Manner.WAIT) for group in groups]


def asking_order_by_affinity(
    rooms_by_group: Mapping[int, ServiceRoom], affinity_key: str
) -> list[Step]:
    """Return the groups to ask for a long shared prompt: where it was read before comes first.

    Args:
        rooms_by_group: room for the service as the granting nodes told last.
        affinity_key: names the prompt.
    """

    def rank(group: int) -> tuple[bool, int]:
        room = rooms_by_group[group]
        full = room.free + room.yielding <= room.waiting
        return full, xxhash.xxh64_intdigest(f"{affinity_key}/{group}".encode())

    return [(group, Manner.WAIT) for group in sorted(rooms_by_group, key=rank)]


def _best(
    rooms_by_group: Mapping[int, ServiceRoom], own: Collection[int], manner: Manner
) -> list[Step]:
    """Return the own group and the best other one that have room in a manner."""

    def room_for(group: int) -> int:
        room = rooms_by_group[group]
        room_left = room.free if manner is Manner.FREE else room.free + room.yielding
        return room_left - room.waiting

    with_room = [group for group in rooms_by_group if room_for(group) > 0]
    with_room.sort(key=room_for, reverse=True)
    owned = [group for group in with_room if group in own]
    others = [group for group in with_room if group not in own]
    return [(group, manner) for group in owned[:1] + others[:1]]
