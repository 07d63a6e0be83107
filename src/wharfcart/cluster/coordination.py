"""Interface to the coordination service: small keys, revisions, conditions and watches.

What must outlast every machine and is small lives there: configuration, service discovery, who
leads a job group, which replicas it has. Another service is another implementation.
"""

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class KeyChange:
    """A key as it was written at a revision; ``value`` None means that it was removed.

    ``last_value`` is the value that a removed key had, where that is known.
    """

    key: str
    revision: int
    value: bytes | None
    last_value: bytes | None = None


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes up to and including revision ``last_revision``.

    ``complete`` tells that these are all keys there are, so that any other key is gone.
    """

    changes: tuple[KeyChange, ...]
    last_revision: int
    complete: bool = False


@dataclass(frozen=True)
class Transaction:
    """Everything or nothing.

    Parameters
    ----------
    expected: key to the revision it must have; 0 means that it must not exist.
    """

    expected: dict[str, int]
    put: dict[str, bytes] = field(default_factory=dict)
    remove: tuple[str, ...] = ()


class CoordinationUnavailableError(Exception):
    """The service did not answer or refused.

    ``may_have_taken_effect`` is False only on proof that a write did not and will not happen.
    """

    def __init__(self, reason: str, may_have_taken_effect: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_taken_effect = may_have_taken_effect


class HistoryLostError(Exception):
    """The changes after a revision are no longer known: everything must be read anew."""


class ConditionFailedError(Exception):
    """An expectation of a transaction did not hold, so nothing was done."""


class CoordinationService(Protocol):
    """What wharfcart asks of the service."""

    async def read_all(self, stale: bool = False) -> ChangeBatch:
        """Return every key.

        ``stale`` allows an answer that is seconds old, which costs the service little.

        Raises
        ------
        CoordinationUnavailableError
        """
        ...

    async def wait_for_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Return the changes after a revision as soon as one exists, or none after ``wait_s``.

        Raises
        ------
        CoordinationUnavailableError, HistoryLostError
        """
        ...

    async def read(self, key: str) -> KeyChange | None:
        """Return one key, never an older state than the service has acknowledged.

        Raises
        ------
        CoordinationUnavailableError
        """
        ...

    async def commit(self, transaction: Transaction) -> int:
        """Carry out a transaction and return its revision.

        Raises
        ------
        CoordinationUnavailableError, ConditionFailedError
        """
        ...
