"""A leader's session with one replica: promise, catch-up, writes, heartbeats.

The leader's own disk is a replica like the others, so a full or hanging disk of the leader does not
block writes that a quorum of other disks has.
"""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import JobUpdate, PartialText
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.message_order import FIRST_SESSION, MessageNumber
from wharfcart.storage.partial_texts import ItemKey, PartialTexts, SentOffsets
from wharfcart.storage.replicated_job import JobState

HEARTBEAT_INTERVAL_S = 0.15
# Added to the observed round trip; allows another heartbeat within the election timeout.
HEARTBEAT_TIMEOUT_S = 0.2
MAX_UNRESPONSIVE_S = 0.9
RETRY_DELAY_S = 0.25


class ReplicaFailedError(Exception):
    """The replica is unreachable or its disk failed; whether it executed the call is unknown."""


class HigherEpochError(Exception):
    """The replica has promised a higher epoch."""

    def __init__(self, epoch: int) -> None:
        super().__init__(str(epoch))
        self.epoch = epoch


@dataclass(frozen=True, slots=True)
class Mismatches:
    """Parts of a replication message that do not extend what the replica holds.

    Attributes:
        jobs: what the replica holds of jobs whose updates it refused.
        text_items: items of partial texts that it refused.
    """

    jobs: tuple[JobState, ...] = ()
    text_items: tuple[ItemKey, ...] = ()


class ReplicaLink(Protocol):
    """A leader's connection to one replica.

    Calls to the replica raise ReplicaFailedError or HigherEpochError.
    """

    async def grants_pre_vote(self) -> bool:
        """Ask whether the replica has no contact with a leader."""
        ...

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        """Obtain the replica's promise of an epoch and the states of its jobs."""
        ...

    async def replicate(
        self,
        epoch: int,
        number: MessageNumber,
        updates: Sequence[JobUpdate],
        partial_texts: Sequence[PartialText],
    ) -> Mismatches:
        """Write updates; return once they are on disk. Partial texts are kept in memory."""
        ...

    async def fetch(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return complete jobs."""
        ...

    def round_trip_s(self) -> float:
        """Return the minimum recent round-trip time in seconds; 0 if unknown."""
        ...

    def drop_connection(self) -> None:
        """Drop the connection, which may be dead; the next call opens a new one."""
        ...


class ReplicaSession:
    """Keeps one replica up to date during one epoch.

    Args:
        identity: identity of the replica's disk.
        link: connection to the replica.
        leadership: state of the leader.
        partial_texts: texts of running items that the replica receives.
        on_progress: called after each promise and each write.
        on_higher_epoch: called with an epoch that the replica has promised to another leader.
        log: decision log.
        first_session: number of the first session; higher than all earlier ones in the epoch.
    """

    def __init__(
        self,
        identity: str,
        link: ReplicaLink,
        leadership: JobLeadership,
        partial_texts: PartialTexts,
        on_progress: Callable[[], None],
        on_higher_epoch: Callable[[int], None],
        log: DecisionLog,
        first_session: int = FIRST_SESSION,
    ) -> None:
        self.identity = identity
        self._link = link
        self._leadership = leadership
        self._partial_texts = partial_texts
        self._sent_offsets = SentOffsets()
        self._on_progress = on_progress
        self._on_higher_epoch = on_higher_epoch
        self._log = log
        self._wake_event = asyncio.Event()
        self._has_promised = False
        self._last_number = MessageNumber(first_session)
        self._last_mismatches: Sequence[JobState] = ()
        self._failing = False
        self.confirmed_at = -1e9  # send time of the last message that the replica acknowledged
        self.started_at = monotonic()

    @property
    def session(self) -> int:
        """Number of the current session in the epoch."""
        return self._last_number.session

    def wake(self) -> None:
        """Signal that there may be updates to write."""
        self._wake_event.set()

    def record_promise(self, states: Sequence[JobState], requested_at: float) -> None:
        """Record a promise of the replica and the states of its jobs."""
        self._leadership.add_replica(self.identity, states)
        self._has_promised = True
        self.confirmed_at = requested_at

    def unresponsive_s(self, now: float) -> float:
        """Return the seconds since the replica's last response, or since the session began."""
        return now - max(self.confirmed_at, self.started_at)

    async def run(self) -> None:
        """Keep the replica up to date until cancelled or until it reports a higher epoch."""
        while True:
            try:
                await self._step()
            except HigherEpochError as error:
                self._on_higher_epoch(error.epoch)
                return
            except ReplicaFailedError as error:
                self._log_failure(str(error))
                self._has_promised = False
                self._last_number = self._last_number.next_session()
                self._sent_offsets = SentOffsets()
                self._leadership.remove_replica(self.identity)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _step(self) -> None:
        epoch = self._leadership.epoch
        sent_at = monotonic()
        if not self._has_promised:
            self.record_promise(await self._link.fence(epoch, self._last_number.session), sent_at)
            self._on_progress()
            return
        self._wake_event.clear()
        updates = self._leadership.updates_for(self.identity)
        if not updates:
            if await _completes_within(self._wake_event.wait(), HEARTBEAT_INTERVAL_S):
                return
            sent_at = monotonic()
        texts = self._partial_texts.take_unsent(self._sent_offsets)
        # Updates wait as long as the link allows.
        timeout_s = None if updates else HEARTBEAT_TIMEOUT_S + self._link.round_trip_s()
        try:
            async with asyncio.timeout(timeout_s):
                self._last_number = self._last_number.next_message()
                mismatches = await self._link.replicate(epoch, self._last_number, updates, texts)
        except TimeoutError:
            self._handle_missed_heartbeat()
            return
        self._sent_offsets.forget(mismatches.text_items)
        self.confirmed_at = sent_at
        self._log_recovery()
        refused = {state.job_id for state in mismatches.jobs}
        written = [update for update in updates if update.job_id not in refused]
        self._leadership.record_written(self.identity, written)
        if updates:
            self._on_progress()
        await self._handle_mismatched_jobs(mismatches.jobs)

    async def _handle_mismatched_jobs(self, states: Sequence[JobState]) -> None:
        """Send what the replica lacks of jobs whose updates it refused.

        Waits if the replica refuses the same again, so that a fault costs no busy loop.
        """
        was_refused_before = states == self._last_mismatches
        self._last_mismatches = states
        if not states:
            return
        if was_refused_before:
            await asyncio.sleep(RETRY_DELAY_S)
        self._leadership.record_mismatches(self.identity, states)
        self._log.write(
            Event.JOB_COPY_MISMATCH,
            replica=self.identity,
            epoch=self._leadership.epoch,
            jobs=len(states),
            job_id=states[0].job_id,
            held_epoch=states[0].epoch,
            held_version=states[0].version,
            held_submission=states[0].submission,
        )

    def _handle_missed_heartbeat(self) -> None:
        """Retry at once, before the replica's election timeout expires.

        Raises:
            ReplicaFailedError: the replica has been unresponsive for too long.
        """
        self._sent_offsets = SentOffsets()
        if self.unresponsive_s(monotonic()) > MAX_UNRESPONSIVE_S:
            self._link.drop_connection()
            raise ReplicaFailedError("no answer in time")

    def _log_failure(self, reason: str) -> None:
        if not self._failing:
            self._failing = True
            self._log.write(Event.REPLICA_FAILED, replica=self.identity, reason=reason)

    def _log_recovery(self) -> None:
        if self._failing:
            self._failing = False
            self._log.write(Event.REPLICA_SYNCED, replica=self.identity)


async def _completes_within(work: Awaitable[object], timeout_s: float) -> bool:
    try:
        async with asyncio.timeout(timeout_s):
            await work
    except TimeoutError:
        return False
    return True
