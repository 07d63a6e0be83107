"""Takeover of a job group: promises of enough replicas, and the newest state of each job."""

import asyncio
from collections.abc import Callable

from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.message_order import FIRST_SESSION
from wharfcart.storage.replica_session import HigherEpochError, ReplicaFailedError, ReplicaLink
from wharfcart.storage.replicated_job import JobState, ReplicatedJob, job_from_update

RETRY_DELAY_S = 0.15
# Keeps each call far below the timeout of a link.
MAX_JOBS_PER_FETCH = 512


class Takeover:
    """Collects every committed write for a new leader.

    Args:
        record: group record that names the new leader.
        identity: identity of the new leader's disk.
        write_quorum: replicas that must have a write before it is committed.
        link_to: link to a replica, including the leader's own disk.
    """

    def __init__(
        self,
        record: GroupRecord,
        identity: str,
        write_quorum: int,
        link_to: Callable[[str], ReplicaLink],
    ) -> None:
        self._record = record
        self._identity = identity
        self._required_promises = len(record.members) - write_quorum + 1
        self._link_to = link_to
        self.states_by_identity: dict[str, list[JobState]] = {}

    async def collect_promises(self, is_cancelled: Callable[[], bool]) -> bool:
        """Collect promises of the epoch until there are enough; return False if cancelled.

        The own disk promises first, so that this node never leads the epoch again after a restart.
        """
        try:
            own = self._link_to(self._identity)
            self.states_by_identity[self._identity] = await own.fence(
                self._record.epoch, FIRST_SESSION
            )
        except (ReplicaFailedError, HigherEpochError):
            return False
        while len(self.states_by_identity) < self._required_promises:
            await self._request_missing_promises()
            if is_cancelled():
                return False
            if len(self.states_by_identity) < self._required_promises:
                await asyncio.sleep(RETRY_DELAY_S)
        return True

    async def newest_jobs(self) -> list[ReplicatedJob]:
        """Return each job in the state with the highest epoch, then the greatest length.

        Raises:
            ReplicaFailedError: a replica that has the newest state of a job did not return it.
        """
        newest: dict[str, tuple[tuple[int, int], str]] = {}
        ordered = sorted(self.states_by_identity, key=lambda identity: identity != self._identity)
        for identity in ordered:
            for state in self.states_by_identity[identity]:
                rank = (state.epoch, state.version)
                if state.job_id not in newest or rank > newest[state.job_id][0]:
                    newest[state.job_id] = (rank, identity)
        records = []
        for identity in ordered:
            wanted = [job_id for job_id, (_, holder) in newest.items() if holder == identity]
            for first in range(0, len(wanted), MAX_JOBS_PER_FETCH):
                records += await self._fetch(identity, wanted[first : first + MAX_JOBS_PER_FETCH])
        return records

    async def _fetch(self, identity: str, job_ids: list[str]) -> list[ReplicatedJob]:
        updates = await self._link_to(identity).fetch(job_ids)
        if len(updates) != len(job_ids):
            raise ReplicaFailedError("a job is missing")
        return [job_from_update(update) for update in updates]

    async def _request_missing_promises(self) -> None:
        """Request promises from the remaining replicas; stop once there are enough."""
        calls = {
            asyncio.create_task(
                self._link_to(identity).fence(self._record.epoch, FIRST_SESSION)
            ): identity
            for identity in sorted(self._record.members - self.states_by_identity.keys())
        }
        pending = set(calls)
        while pending and len(self.states_by_identity) < self._required_promises:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for call in (call for call in calls if call in done):
                if not isinstance(call.exception(), (ReplicaFailedError, HigherEpochError)):
                    self.states_by_identity[calls[call]] = call.result()
        for call in pending:
            call.cancel()
