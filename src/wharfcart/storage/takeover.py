"""Takeover of a job group: promises of enough replicas, and the newest state of each job."""

import asyncio
from collections.abc import Callable, Collection

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

    Attributes:
        states_by_identity: states of the jobs of each replica that promised.
        corrected_by_identity: states that a replica holds where it had reported another.
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
        self.corrected_by_identity: dict[str, list[JobState]] = {}

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
        """Return each job in its newest state (:meth:`JobState.is_newer_than`).

        A replica that holds another state than it reported is ranked by what it holds.

        Raises:
            ReplicaFailedError: a replica that has the newest state of a job did not return it.
        """
        jobs: dict[str, ReplicatedJob] = {}
        newest = self._newest_states(jobs.keys())
        while newest:
            wanted = sum(len(states) for states in newest.values())
            fetched = len(jobs)
            for identity, states in newest.items():
                for first in range(0, len(states), MAX_JOBS_PER_FETCH):
                    chunk = states[first : first + MAX_JOBS_PER_FETCH]
                    jobs |= await self._fetch(identity, chunk)
            all_fetched = len(jobs) - fetched == wanted
            newest = {} if all_fetched else self._newest_states(jobs.keys())
        return list(jobs.values())

    def deletions(self) -> list[JobState]:
        """Return the deletions that follow every other state of their job."""
        reported = {
            state.job_id
            for states in self.states_by_identity.values()
            for state in states
            if state.is_deleted
        }
        if not reported:
            return []
        newest, _ = self._newest_state_by_job()
        return [newest[job_id] for job_id in reported if newest[job_id].is_deleted]

    def _newest_states(self, fetched: Collection[str]) -> dict[str, list[JobState]]:
        """Return the newest state of each job that was not fetched yet, by replica."""
        newest, holders = self._newest_state_by_job()
        states_by_identity: dict[str, list[JobState]] = {}
        for job_id, state in newest.items():
            if job_id not in fetched and not state.is_deleted:
                states_by_identity.setdefault(holders[job_id], []).append(state)
        return states_by_identity

    def _newest_state_by_job(self) -> tuple[dict[str, JobState], dict[str, str]]:
        """Return the newest state of each job, and the replica that reported it."""
        newest: dict[str, JobState] = {}
        holders: dict[str, str] = {}
        ordered = sorted(self.states_by_identity, key=lambda identity: identity != self._identity)
        for identity in ordered:
            for state in self.states_by_identity[identity]:
                job_id = state.job_id
                known = newest.get(job_id)
                # Most replicas report the same state.
                if known is None or (state != known and state.is_newer_than(known)):
                    newest[job_id] = state
                    holders[job_id] = identity
        return newest, holders

    async def _fetch(self, identity: str, states: list[JobState]) -> dict[str, ReplicatedJob]:
        """Fetch jobs; return those whose states are the reported ones, and correct the others."""
        reported = {state.job_id: state for state in states}
        updates = await self._link_to(identity).fetch(list(reported))
        records = {update.job_id: job_from_update(update) for update in updates}
        if records.keys() != reported.keys():
            raise ReplicaFailedError("a job is missing")
        corrected = []
        for job_id, state in reported.items():
            held = records[job_id]
            if held.state != state:
                corrected.append(held.state)
                del records[job_id]
        if corrected:
            self._correct_claims(identity, corrected)
        return records

    def _correct_claims(self, identity: str, held: list[JobState]) -> None:
        self.corrected_by_identity.setdefault(identity, []).extend(held)
        states = {state.job_id: state for state in self.states_by_identity[identity]}
        states |= {state.job_id: state for state in held}
        self.states_by_identity[identity] = list(states.values())

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
