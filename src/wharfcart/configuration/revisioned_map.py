"""Propagation core: a map of entries with revisions that peers synchronize by pulling.

A node sends its newest revision with its probes; a peer with an older revision pulls the newer
entries. An entry is replaced only by one of a higher revision.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import Entry

# Longer than the clocks of writers differ.
DIRECTORY_OVERLAP_MS = 10_000


@dataclass
class RevisionedMap:
    """Entries by key, each with the revision that set it; all revisions come from one sequence.

    Attributes:
        revision: newest known revision.
        entries: entries by key, including deleted ones.
    """

    revision: int = 0
    entries: dict[str, Entry] = field(default_factory=dict)

    def merge(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Apply newer entries and return them; ``revision`` never decreases."""
        changed: list[Entry] = []
        for entry in entries:
            known = self.entries.get(entry.key)
            if known is None or entry.revision > known.revision:
                self.entries[entry.key] = entry
                changed.append(entry)
        self.revision = max(self.revision, revision)
        return changed

    def changes_since(self, revision: int) -> list[Entry]:
        """Return entries newer than ``revision``, lowest revision first."""
        newer = [entry for entry in self.entries.values() if entry.revision > revision]
        return sorted(newer, key=lambda entry: entry.revision)

    def pull_revision(self) -> int:
        """Return the revision after which a pull requests entries."""
        return self.revision

    def live_values(self) -> dict[str, bytes]:
        """Return the values of entries that are not deleted, by key."""
        return {key: entry.value for key, entry in self.entries.items() if not entry.deleted}
