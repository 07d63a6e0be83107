"""Mirror core: one node's copy of the coordination service's keys.

Fed with changes from the service itself or from a peer's mirror. A key never goes back to an older
revision, whatever order answers arrive in. Removed keys are remembered for a bounded time, so that
a peer that lags can be brought up to date by changes alone.
"""

from dataclasses import dataclass, field, replace

from wharfcart.cluster.coordination import ChangeBatch, KeyChange

MAX_TOMBSTONES = 4096


@dataclass
class Mirror:
    """Keys, the revision up to which they are complete, and what was removed lately."""

    last_revision: int = 0
    _entries: dict[str, KeyChange] = field(default_factory=dict)
    _tombstones: dict[str, KeyChange] = field(default_factory=dict)
    _tombstone_horizon: int = 0

    @property
    def loaded(self) -> bool:
        """Whether any complete state was ever taken."""
        return self.last_revision > 0

    def get(self, key: str) -> KeyChange | None:
        """Return a key's newest known state, or None where it does not exist."""
        return self._entries.get(key)

    def with_prefix(self, prefix: str) -> list[KeyChange]:
        """Return the keys that begin with a prefix."""
        return [entry for key, entry in self._entries.items() if key.startswith(prefix)]

    def apply(self, batch: ChangeBatch) -> list[KeyChange]:
        """Take changes; return those that were news, removals among them."""
        if batch.complete and batch.last_revision < self.last_revision:
            return []
        news = [change for change in batch.changes if self._apply_change(change)]
        if batch.complete:
            news += self._remove_unlisted(
                {change.key for change in batch.changes}, batch.last_revision
            )
            # A key that came and went before this listing is not known here: whoever is complete
            # up to an older revision only may still hold it.
            self._tombstone_horizon = max(self._tombstone_horizon, batch.last_revision)
        self.last_revision = max(self.last_revision, batch.last_revision)
        return news

    def changes_since(self, after: int) -> ChangeBatch:
        """Return what a peer that is complete up to ``after`` lacks."""
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
        # A key written after `at` is not in an answer as of `at`, and yet exists.
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
