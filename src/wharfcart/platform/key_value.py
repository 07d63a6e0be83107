"""Interface to the platform's key-value service."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class VersionedValue:
    """A value and the revision that set it."""

    key: str
    value: bytes
    mod_revision: int


class KeyValueUnavailableError(Exception):
    """The service did not respond, or refused the call.

    Attributes:
        may_have_taken_effect: False only if the write is known not to have happened.
    """

    def __init__(self, reason: str, may_have_taken_effect: bool) -> None:
        super().__init__(reason)
        self.may_have_taken_effect = may_have_taken_effect


class KeyValueStore(Protocol):
    """Interface that wharfcart needs; each kind of service has an implementation."""

    async def get(self, key: str) -> VersionedValue | None:
        """Return the value of a key, or None.

        Raises:
            KeyValueUnavailableError: the service did not respond, or refused the call.
        """
        ...

    async def get_prefix(self, prefix: str, min_mod_revision: int = 0) -> list[VersionedValue]:
        """Return all values under a prefix that were set at or after a revision."""
        ...

    async def compare_and_put(
        self, compare_key: str, expected_mod_revision: int, puts: dict[str, bytes]
    ) -> bool:
        """Write all values atomically if ``compare_key`` was last set at the expected revision.

        An expected revision of 0 means that the key does not exist. Return whether the values were
        written.
        """
        ...
