"""Store of one job group's record in the coordination service."""

from dataclasses import replace

from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationService,
    CoordinationUnavailableError,
    Transaction,
)
from wharfcart.cluster.mirror import Mirror
from wharfcart.storage.group_record import GroupRecord, RecordInDoubtError, group_record_from


class GroupRecordStore:
    """Reads and swaps the record of one group."""

    def __init__(self, key: str, coordination: CoordinationService, mirror: Mirror) -> None:
        self._key = key
        self._coordination = coordination
        self._mirror = mirror
        self._parsed: GroupRecord | None = None  # cache of the decoded entry

    @property
    def mirrored(self) -> GroupRecord | None:
        """Record in this node's mirror."""
        entry = self._mirror.get(self._key)
        if entry is None:
            return None
        if self._parsed is None or self._parsed.revision != entry.revision:
            self._parsed = group_record_from(entry.value, entry.revision)
        return self._parsed

    async def read(self) -> GroupRecord | None:
        """Read the current record from the coordination service.

        Raises:
            CoordinationUnavailableError: the service does not answer.
        """
        entry = await self._coordination.read(self._key)
        return None if entry is None else group_record_from(entry.value, entry.revision)

    async def swap(self, record: GroupRecord, revision: int) -> GroupRecord | None:
        """Replace the record of a revision; return None if the swap definitely failed.

        Raises:
            RecordInDoubtError: the swap took effect or still may, as long as its condition holds.
        """
        try:
            new_revision = await self._coordination.commit(
                Transaction({self._key: revision}, {self._key: record.to_bytes()})
            )
        except ConditionFailedError:
            return None
        except CoordinationUnavailableError as error:
            if error.may_have_taken_effect:
                raise RecordInDoubtError from error
            return None
        return replace(record, revision=new_revision)

    async def swap_members(
        self, epoch: int, members: frozenset[str], leader: str
    ) -> GroupRecord | None:
        """Set another replica set, and possibly another leader, within an epoch.

        Returns the current record, or None if nothing changed.

        Raises:
            RecordInDoubtError: the swap may or may not have taken effect.
        """
        known = self.mirrored
        if known is None or known.epoch != epoch:
            return None
        new_epoch = known.epoch if leader == known.leader else known.epoch + 1
        wanted = replace(known, epoch=new_epoch, leader=leader, members=members)
        written = await self.swap(wanted, known.revision)
        if written is not None:
            return written
        try:
            found = await self.read()
        except CoordinationUnavailableError:
            return None
        return None if found is None or found.revision == known.revision else found
