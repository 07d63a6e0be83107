"""Load balancing for many nodes that select back ends from the same, slightly old snapshot.

If every node selected the least loaded back end, all requests would go there. Instead, each node
estimates how many requests the whole fleet sends before the next snapshot, fills the least loaded
back ends with that many up to a common level (water filling), and picks one of them at random.

This module does no I/O; callers pass in the source of randomness.
"""

from collections.abc import Sequence

from wharfcart.cluster.randomness import RandomSource


def fill_level(loads: Sequence[float], slots: Sequence[int], amount: float) -> float:
    """Return the load up to which ``amount`` requests fill the least loaded back ends.

    Args:
        loads: share of each back end's slots in use; may exceed 1.
        slots: number of slots of each back end.
        amount: number of requests to distribute, above 0.
    """
    ordered = sorted(zip(loads, slots, strict=True))
    filled = 0.0
    total_slots = 0
    level = ordered[0][0]
    for load, count in ordered:
        raised = filled + total_slots * (load - level)
        if raised >= amount:
            break
        filled = raised
        level = load
        total_slots += max(1, count)
    return level + (amount - filled) / total_slots


def pick_below(
    loads: Sequence[float], slots: Sequence[int], level: float, rng: RandomSource
) -> int:
    """Return the index of a random back end, weighted by free capacity below a level.

    Args:
        loads: share of each back end's slots in use; may exceed 1.
        slots: number of slots of each back end.
        level: load level, above the smallest load.
        rng: source of randomness.
    """
    capacities = [
        max(0.0, level - load) * max(1, count) for load, count in zip(loads, slots, strict=True)
    ]
    left = rng.random() * sum(capacities)
    for i, capacity in enumerate(capacities):
        left -= capacity
        if left < 0:
            return i
    return min(range(len(loads)), key=loads.__getitem__)
