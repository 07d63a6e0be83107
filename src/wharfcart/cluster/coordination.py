"""Interface to the coordination service: small keys, revisions, conditions and watches.

The service stores small data that must survive the loss of any machine: configuration, service
discovery, and the leader and replicas of each job group. Each supported service has its own
implementation.
"""

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One write or removal of a key.

    Attributes:
        key: the key.
        revision: revision of the write.
        value: value written; None if the key was removed.
        last_value: value that a removed key had, if known.
    """

    key: str
    revision: int
    value: bytes | None
    last_value: bytes | None = None


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes up to and including a revision.

    Attributes:
        changes: the changes.
        last_revision: revision up to which the batch is complete.
        complete: whether the batch lists all existing keys, so that any other key is removed.
    """

    changes: tuple[KeyChange, ...]
    last_revision: int
    complete: bool = False


@dataclass(frozen=True)
class Transaction:
    """Set of writes that is applied atomically.

    Attributes:
        expected: required revision by key; 0 means that the key must not exist.
        put: values to write by key.
        remove: keys to remove.
    """

    expected: dict[str, int]
    put: dict[str, bytes] = field(default_factory=dict)
    remove: tuple[str, ...] = ()


class CoordinationUnavailableError(Exception):
    """Raised when the service does not respond or rejects the call.

    Attributes:
        reason: human-readable cause.
        may_have_taken_effect: False only if the write certainly did not and will not happen.
    """

    def __init__(self, reason: str, may_have_taken_effect: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.may_have_taken_effect = may_have_taken_effect


class HistoryLostError(Exception):
    """Raised when the service no longer has the changes after a revision; read all keys again."""


class ConditionFailedError(Exception):
    """Raised when a condition of a transaction does not hold; nothing was written."""


class CoordinationService(Protocol):
    """Operations that wharfcart needs from a coordination service."""

    async def read_all(self, stale: bool = False) -> ChangeBatch:
        """Return all keys.

        Args:
            stale: whether the result may be seconds old, which is cheaper for the service.

        Raises:
            CoordinationUnavailableError: the service does not respond or rejects the call.
        """
        ...

    async def wait_for_changes(self, after: int, wait_s: float) -> ChangeBatch:
        """Return the changes after a revision as soon as one exists, or none after ``wait_s``.

        Raises:
            CoordinationUnavailableError: the service does not respond or rejects the call.
            HistoryLostError: the service no longer has all changes after the revision.
        """
        ...

    async def read(self, key: str) -> KeyChange | None:
        """Return the current state of one key (linearizable read); None if it does not exist.

        Raises:
            CoordinationUnavailableError: the service does not respond or rejects the call.
        """
        ...

    async def commit(self, transaction: Transaction) -> int:
        """Execute a transaction and return its revision.

        Raises:
            CoordinationUnavailableError: the service does not respond or rejects the call.
            ConditionFailedError: a condition does not hold.
        """
        ...
