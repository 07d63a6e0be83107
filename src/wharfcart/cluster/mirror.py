"""Mirror core: one node's copy of the coordination service's keys.

The mirror applies changes from the service or from a peer's mirror. A key never returns to an older
revision, regardless of the order in which batches arrive. A bounded number of removed keys is kept
as tombstones, so that changes alone can bring a lagging peer up to date.
"""

from dataclasses import dataclass, field, replace

from wharfcart.cluster.coordination import ChangeBatch, KeyChange

MAX_TOMBSTONES = 4096


@dataclass
class Mirror:
    """Copy of all keys, with tombstones of recently removed ones.

    Attributes:
        last_revision: revision up to which the mirror is complete.
    """

    last_revision: int = 0
    _entries: dict[str, KeyChange] = field(default_factory=dict)
    _tombstones: dict[str, KeyChange] = field(default_factory=dict)
    _tombstone_horizon: int = 0

    @property
    def loaded(self) -> bool:
        """Whether a complete state has been applied."""
        return self.last_revision > 0

    def get(self, key: str) -> KeyChange | None:
        """Return the newest known state of a key; None if it does not exist."""
        return self._entries.get(key)

    def with_prefix(self, prefix: str) -> list[KeyChange]:
        """Return the entries whose keys start with a prefix."""
        return [entry for key, entry in self._entries.items() if key.startswith(prefix)]

    def apply(self, batch: ChangeBatch) -> list[KeyChange]:
        """Apply a batch and return the changes that took effect, including removals."""
        if batch.complete and batch.last_revision < self.last_revision:
            return []
        applied = [change for change in batch.changes if self._apply_change(change)]
        if batch.complete:
            applied += self._remove_unlisted(
                {change.key for change in batch.changes}, batch.last_revision
            )
            # Removals between the previous revision and this listing are unknown here, so peers
            # at an older revision need a complete listing.
            self._tombstone_horizon = max(self._tombstone_horizon, batch.last_revision)
        self.last_revision = max(self.last_revision, batch.last_revision)
        return applied

    def changes_since(self, after: int) -> ChangeBatch:
        """Return the changes that a peer lacks.

        Args:
            after: revision up to which the peer is complete.
        """
        if after < self._tombstone_horizon or after == 0:
            return ChangeBatch(tuple(self._entries.values()), self.last_revision, complete=True)
        changed = [entry for entry in self._entries.values() if entry.revision > after]
        removed = [change for change in self._tombstones.values() if change.revision > after]
        return ChangeBatch(tuple(changed + removed), self.last_revision)

    def _apply_change(self, change: KeyChange) -> bool:
        known = self._entries.get(change.key)
        if known is not None and known.revision >= change.revision:
            return False
        removed = self._tombstones.get(change.key)
        if removed is not None and removed.revision >= change.revision:
            return False
        if change.value is None:
            self._entries.pop(change.key, None)
            self._add_tombstone(_with_last_value(change, known))
            return known is not None
        self._entries[change.key] = change
        self._tombstones.pop(change.key, None)
        return True

    def _remove_unlisted(self, listed: set[str], at: int) -> list[KeyChange]:
        # A key written after the listing's revision is not listed but still exists.
        gone = [
            KeyChange(key, at, None, entry.value)
            for key, entry in self._entries.items()
            if key not in listed and entry.revision <= at
        ]
        for change in gone:
            del self._entries[change.key]
            self._add_tombstone(change)
        return gone

    def _add_tombstone(self, change: KeyChange) -> None:
        self._tombstones.pop(change.key, None)
        self._tombstones[change.key] = change
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self._tombstones))
            self._tombstone_horizon = max(
                self._tombstone_horizon, self._tombstones.pop(oldest).revision
            )


def _with_last_value(removal: KeyChange, known: KeyChange | None) -> KeyChange:
    if removal.last_value is not None or known is None:
        return removal
    return replace(removal, last_value=known.value)
