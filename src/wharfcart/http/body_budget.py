"""Bound on the bytes that one process holds of bodies that it reads whole.

This module does no I/O.
"""

from collections.abc import Iterator
from contextlib import contextmanager


class BodyReservation:
    """The part of a budget that one body takes.

    Args:
        budget: the budget.
        free_bytes: bytes that the body has besides.
    """

    def __init__(self, budget: "BodyBudget", free_bytes: int) -> None:
        self._budget = budget
        self._free_bytes = free_bytes
        self.taken = 0

    def grow(self, size: int) -> bool:
        """Take what a body of a size in bytes needs; False if the budget has too little left."""
        wanted = max(0, size - self._free_bytes) - self.taken
        if wanted > self._budget.left:
            return False
        self._budget.left -= wanted
        self.taken += wanted
        return True


class BodyBudget:
    """Bytes that are left for bodies being read.

    Attributes:
        left: bytes that no body has taken.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.left = limit_bytes

    @contextmanager
    def reservation(self, free_bytes: int) -> Iterator[BodyReservation]:
        """Yield an empty reservation, which is given back at the end."""
        reservation = BodyReservation(self, free_bytes)
        try:
            yield reservation
        finally:
            self.left += reservation.taken
