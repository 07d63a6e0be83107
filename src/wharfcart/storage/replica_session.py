"""A leader's session with one replica: promise, catch up, writes, heartbeats.

The leader's own disk is a replica like the others, so a full or hanging disk of the leader holds up
nothing that enough other disks have.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Protocol

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import JobUpdate, PartialText
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.job_records import JobState
from wharfcart.storage.partial_texts import PartialTexts, SentOffsets

HEARTBEAT_S = 0.15
# A heartbeat that was lost is followed by another one within the replica's patience. The round trip
# that was observed to the replica comes on top.
HEARTBEAT_TIMEOUT_S = 0.2
MOST_SILENCE_S = 0.9
RETRY_S = 0.25


class ReplicaFailedError(Exception):
    """The replica can't be reached or its disk refuses; what it did is not known."""


class HigherEpochError(Exception):
    """The replica obeys a newer leader."""

    def __init__(self, epoch: int) -> None:
        super().__init__(str(epoch))
        self.epoch = epoch


class ReplicaLink(Protocol):
    """How a leader talks to one replica.

    Every method raises ReplicaFailedError or HigherEpochError.
    """

    async def may_elect(self) -> bool:
        """Ask whether the replica hears no leader."""
        ...

    async def fence(self, epoch: int) -> list[JobState]:
        """Have the replica promise an epoch and tell what it holds."""
        ...

    async def replicate(
        self, epoch: int, updates: Sequence[JobUpdate], partial_texts: Sequence[PartialText]
    ) -> None:
        """Have updates written; returns once they are on disk. Partial texts are kept in memory."""
        ...

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return whole records."""
        ...

    def round_trip_s(self) -> float:
        """Return the least time that a message there and back took lately; 0 if unknown."""
        ...

    def drop(self) -> None:
        """Leave the connection, which may have died without a word; the next call makes one."""
        ...


class ReplicaSession:
    """Keeps one replica up to date for as long as the epoch lasts."""

    def __init__(
        self,
        identity: str,
        link: ReplicaLink,
        leadership: JobLeadership,
        partial_texts: PartialTexts,
        on_progress: Callable[[], None],
        on_deposed: Callable[[int], None],
        log: DecisionLog,
    ) -> None:
        self.identity = identity
        self._link = link
        self._leadership = leadership
        self._partial_texts = partial_texts
        self._sent_parts = SentOffsets()
        self._on_progress = on_progress
        self._on_deposed = on_deposed
        self._log = log
        self._work = asyncio.Event()
        self._joined = False
        self._failing = False
        self.confirmed_at = -1e9  # send time of the last message that the replica acknowledged
        self.started_at = monotonic()

    def wake(self) -> None:
        """Tell that there may be something to write."""
        self._work.set()

    def joined(self, states: Sequence[JobState], asked_at: float) -> None:
        """Note a promise that was obtained before this session began."""
        self._leadership.add_replica(self.identity, states)
        self._joined = True
        self.confirmed_at = asked_at

    def silent_s(self, now: float) -> float:
        """Seconds since the replica's last sign of life, or since the session began."""
        return now - max(self.confirmed_at, self.started_at)

    async def run(self) -> None:
        """Serve the replica until cancelled or deposed."""
        while True:
            try:
                await self._step()
            except HigherEpochError as error:
                self._on_deposed(error.epoch)
                return
            except ReplicaFailedError as error:
                self._note_failure(str(error))
                self._joined = False
                self._sent_parts = SentOffsets()
                self._leadership.remove_replica(self.identity)
                await asyncio.sleep(RETRY_S)

    async def _step(self) -> None:
        epoch = self._leadership.epoch
        sent_at = monotonic()
        if not self._joined:
            self.joined(await self._link.fence(epoch), sent_at)
            self._on_progress()
            return
        self._work.clear()
        updates = self._leadership.updates_for(self.identity)
        if not updates:
            if await _within(self._work.wait(), HEARTBEAT_S):
                return
            sent_at = monotonic()
        texts = self._partial_texts.take_unsent(self._sent_parts)
        if not updates:
            timeout_s = HEARTBEAT_TIMEOUT_S + self._link.round_trip_s()
            if not await _within(self._link.replicate(epoch, [], texts), timeout_s):
                self._note_missed_heartbeat()
                return
        else:
            await self._link.replicate(epoch, updates, texts)
        self.confirmed_at = sent_at
        self._note_success()
        self._leadership.record_written(self.identity, updates)
        if updates:
            self._on_progress()

    def _note_missed_heartbeat(self) -> None:
        """Try again at once, before the replica takes its leader for lost.

        Raises:
            ReplicaFailedError: it has been silent for too long.
        """
        self._sent_parts = SentOffsets()
        if self.silent_s(monotonic()) > MOST_SILENCE_S:
            self._link.drop()
            raise ReplicaFailedError("no answer in time")

    def _note_failure(self, reason: str) -> None:
        if not self._failing:
            self._failing = True
            self._log.write(Event.REPLICA_FAILED, replica=self.identity, reason=reason)

    def _note_success(self) -> None:
        if self._failing:
            self._failing = False
            self._log.write(Event.REPLICA_SYNCED, replica=self.identity)


async def _within(work: Awaitable[object], seconds: float) -> bool:
    try:
        async with asyncio.timeout(seconds):
            await work
    except TimeoutError:
        return False
    return True
