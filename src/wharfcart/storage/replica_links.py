"""Links from a leader to replicas: its own disk and disks of other nodes."""

import asyncio
from collections.abc import Callable, Sequence

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    CONFIRMED,
    FenceGroup,
    FetchJobs,
    Frame,
    ItemReference,
    JobDigest,
    JobUpdate,
    PartialText,
    ReplicateJobs,
)
from wharfcart.cluster.transport import PeerUnreachableError, Transport
from wharfcart.errors import ServingError
from wharfcart.storage.disk import Disk, DiskFailedError
from wharfcart.storage.message_order import MessageNumber
from wharfcart.storage.partial_texts import ItemKey
from wharfcart.storage.replica_session import (
    HigherEpochError,
    Mismatches,
    ReplicaFailedError,
)
from wharfcart.storage.replicated_job import NO_EPOCH, JobState, SubmissionId, version_of

CALL_TIMEOUT_S = 0.9


class LocalReplicaLink:
    """The leader's own disk."""

    def __init__(self, group: int, disk: Disk) -> None:
        self._group = group
        self._disk = disk

    async def grants_pre_vote(self) -> bool:
        """Return True: the replica itself requests the vote."""
        return True

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        """Promise an epoch on the leader's own disk, which runs its calls in order."""
        try:
            if not await self._disk.promise_epoch(self._group, epoch):
                raise HigherEpochError(epoch + 1)
            return await self._disk.job_states(self._group)
        except DiskFailedError as error:
            raise ReplicaFailedError(str(error)) from error

    async def replicate(
        self,
        epoch: int,
        number: MessageNumber,
        updates: Sequence[JobUpdate],
        partial_texts: Sequence[PartialText],
    ) -> Mismatches:
        """Write updates; the partial texts are already in the leader's memory."""
        if not updates:
            return Mismatches()
        try:
            applied = await self._disk.apply_updates(self._group, epoch, updates)
        except DiskFailedError as error:
            raise ReplicaFailedError(str(error)) from error
        if applied is None:
            raise HigherEpochError(epoch + 1)
        return Mismatches(applied.mismatches)

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return complete jobs."""
        try:
            return await self._disk.load_jobs(job_ids)
        except DiskFailedError as error:
            raise ReplicaFailedError(str(error)) from error

    def round_trip_s(self) -> float:
        """Return 0: the disk is local."""
        return 0.0

    def drop_connection(self) -> None:
        """Do nothing: there is no connection."""


class RemoteReplicaLink:
    """Another node's disk."""

    def __init__(
        self,
        group: int,
        leader: str,
        target: str,
        address_of: Callable[[str], Address | None],
        transport: Transport,
    ) -> None:
        self._group = group
        self._leader = leader
        self._target = target
        self._address_of = address_of
        self._transport = transport

    async def grants_pre_vote(self) -> bool:
        """Ask whether the replica has no contact with a leader."""
        message = FenceGroup(group=self._group, target=self._target, ask_only=True)
        return (await self._call(Frame(fence_group=message))).fence_result.granted

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        """Obtain the replica's promise of an epoch and the states of its jobs."""
        message = FenceGroup(
            group=self._group,
            epoch=epoch,
            leader=self._leader,
            target=self._target,
            session=session,
        )
        answer = (await self._call(Frame(fence_group=message))).fence_result
        if not answer.granted:
            raise self._refusal_error(answer.epoch, epoch)
        states = [state_from_message(digest) for digest in answer.jobs]
        return states + [deletion_from_message(digest) for digest in answer.deleted_jobs]

    async def replicate(
        self,
        epoch: int,
        number: MessageNumber,
        updates: Sequence[JobUpdate],
        partial_texts: Sequence[PartialText],
    ) -> Mismatches:
        """Write updates; return once they are on the replica's disk."""
        message = ReplicateJobs(
            group=self._group,
            epoch=epoch,
            leader=self._leader,
            target=self._target,
            updates=[update for update in updates if update.deletion != CONFIRMED],
            partial_texts=partial_texts,
            confirmed_deletions=[update for update in updates if update.deletion == CONFIRMED],
            session=number.session,
            sequence=number.sequence,
        )
        answer = (await self._call(Frame(replicate_jobs=message))).replicate_result
        if not answer.accepted:
            raise self._refusal_error(answer.epoch, epoch)
        return Mismatches(
            tuple(state_from_message(digest) for digest in answer.mismatched_jobs),
            tuple(key_from_message(item) for item in answer.mismatched_texts),
        )

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return complete jobs."""
        message = FetchJobs(group=self._group, target=self._target, job_ids=job_ids)
        answer = await self._call(Frame(fetch_jobs=message))
        return list(answer.job_updates.updates)

    def round_trip_s(self) -> float:
        """Return the minimum recent round-trip time in seconds; 0 if unknown."""
        address = self._address_of(self._target)
        return 0.0 if address is None else self._transport.round_trip_s(address)

    def drop_connection(self) -> None:
        """Drop the connection, which may be dead."""
        address = self._address_of(self._target)
        if address is not None:
            self._transport.drop(address)

    def _refusal_error(self, promised: int, epoch: int) -> Exception:
        if promised > epoch:
            return HigherEpochError(promised)
        return ReplicaFailedError("replica refused: disk or identity")

    async def _call(self, frame: Frame) -> Frame:
        address = self._address_of(self._target)
        if address is None:
            raise ReplicaFailedError("no address: the disk is gone")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._transport.call(address, frame)
        except TimeoutError as error:
            # The connection may be dead: the next call opens a new one.
            self._transport.drop(address)
            raise ReplicaFailedError("no answer in time") from error
        except (PeerUnreachableError, ServingError) as error:
            raise ReplicaFailedError(str(error)) from error


def state_from_message(digest: JobDigest) -> JobState:
    """Decode a digest."""
    if digest.epoch == NO_EPOCH:
        return JobState(digest.job_id, NO_EPOCH, 0)
    version = version_of(digest.results, digest.ended)
    return JobState(digest.job_id, digest.epoch, version, SubmissionId(digest.submission))


def deletion_from_message(digest: JobDigest) -> JobState:
    """Decode the digest of a deleted job."""
    return JobState(digest.job_id, digest.epoch, 0, SubmissionId(digest.submission), True)


def state_to_message(state: JobState) -> JobDigest:
    """Encode a state; the end marker counts as part of ``results``, only the length matters."""
    return JobDigest(
        job_id=state.job_id,
        epoch=state.epoch,
        results=max(0, state.version - 1),
        submission=state.submission,
    )


def key_from_message(item: ItemReference) -> ItemKey:
    """Decode a reference to an item."""
    return ItemKey(item.job_id, item.item_id, SubmissionId(item.submission))
