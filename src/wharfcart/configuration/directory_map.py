"""Propagation core: a map of entries that several nodes write, synchronized by digests.

Writers stamp entries with their clocks, so the newest stamp that a node knows does not tell which
entries it lacks. Nodes compare digests instead: one of the whole map, which each node announces,
and, if these differ, one of each bucket of keys. A peer then returns the entries of the buckets
that differ. The order in which entries arrive does not matter.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from wharfcart.cluster.messages_pb2 import Entry
from wharfcart.configuration.revisioned_map import DIRECTORY_OVERLAP_MS, RevisionedMap

# With 1,500 entries a bucket has some 24 of them.
BUCKET_COUNT = 64


@dataclass
class DirectoryMap(RevisionedMap):
    """Entries of several writers; of two for one key, all nodes keep the same one.

    Attributes:
        bucket_digests: digest of the entries in each bucket; 0 for an empty one.
    """

    bucket_digests: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    @property
    def digest(self) -> int:
        """Digest of all entries, from 1; 0 stands for a peer that announces none."""
        digests = b"".join(digest.to_bytes(8, "little") for digest in self.bucket_digests)
        return xxhash.xxh3_64_intdigest(digests) or 1

    def merge(self, entries: Iterable[Entry], revision: int) -> list[Entry]:
        """Apply entries that prevail over the known ones and return them."""
        changed: list[Entry] = []
        for entry in entries:
            known = self.entries.get(entry.key)
            if known is not None and _precedence(entry) <= _precedence(known):
                continue
            bucket = _bucket_of(entry.key)
            if known is not None:
                self.bucket_digests[bucket] ^= _digest_of(known)
            self.bucket_digests[bucket] ^= _digest_of(entry)
            self.entries[entry.key] = entry
            changed.append(entry)
        self.revision = max(self.revision, revision)
        return changed

    def entries_of_other_buckets(self, digests: Sequence[int]) -> list[Entry]:
        """Return the entries of the buckets whose digest differs from a peer's."""
        if len(digests) != BUCKET_COUNT:
            return list(self.entries.values())
        return [
            entry
            for key, entry in self.entries.items()
            if self.bucket_digests[bucket := _bucket_of(key)] != digests[bucket]
        ]

    def pull_revision(self) -> int:
        """Return 0: a peer that does not compare digests returns all entries."""
        return 0

    def overlapping_revision(self) -> int:
        """Return the revision after which peers without digests are asked for entries.

        An entry with a slightly earlier stamp than the newest known one is not missed.
        """
        return max(0, self.revision - DIRECTORY_OVERLAP_MS)


def _precedence(entry: Entry) -> tuple[int, bool, bytes]:
    """Order of the entries of one key; a deletion prevails over a value of the same stamp."""
    return entry.revision, entry.deleted, entry.value


def _bucket_of(key: str) -> int:
    return xxhash.xxh32_intdigest(key.encode()) % BUCKET_COUNT


def _digest_of(entry: Entry) -> int:
    """Digest of an entry; the same for equal fields, whatever build encoded it."""
    fields = (entry.key.encode(), bytes([entry.deleted]), entry.value)
    state = xxhash.xxh3_64(entry.revision.to_bytes(8, "little"))
    for part in fields:
        state.update(len(part).to_bytes(4, "little"))
        state.update(part)
    return state.intdigest()
