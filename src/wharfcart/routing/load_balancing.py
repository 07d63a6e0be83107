"""Spreading of requests that many nodes send by the same, slightly old picture of the load.

If every node sent to the back end that looked emptiest, all would meet there. Instead each assumes
how many requests the whole fleet sends before the picture changes, fills the emptiest back ends up
to a common level with that many, as water fills a vessel, and takes one of these at random.

Pure: randomness is handed in.
"""

from collections.abc import Sequence

from wharfcart.cluster.randomness import RandomSource


def fill_level(loads: Sequence[float], slots: Sequence[int], amount: float) -> float:
    """Return the load up to which ``amount`` requests fill the emptiest back ends.

    Args:
        loads: share of each back end's slots that is taken; may exceed 1.
        slots: number of slots of each.
        amount: number of requests to place, above 0.
    """
    ordered = sorted(zip(loads, slots, strict=True))
    room = 0.0
    width = 0
    level = ordered[0][0]
    for load, count in ordered:
        risen = room + width * (load - level)
        if risen >= amount:
            break
        room = risen
        level = load
        width += max(1, count)
    return level + (amount - room) / width


def pick_below(
    loads: Sequence[float], slots: Sequence[int], level: float, rng: RandomSource
) -> int:
    """Return the index of a back end, drawn by the room that each has below a level.

    Args:
        loads: as for :func:`fill_level`.
        slots: as for :func:`fill_level`.
        level: above the least load.
        rng: source of randomness.
    """
    rooms = [
        max(0.0, level - load) * max(1, count) for load, count in zip(loads, slots, strict=True)
    ]
    left = rng.random() * sum(rooms)
    for i, room in enumerate(rooms):
        left -= room
        if left < 0:
            return i
    return min(range(len(loads)), key=loads.__getitem__)
