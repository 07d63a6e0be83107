"""Taking a job group over: promises of enough replicas, and the newest state of each job."""

import asyncio
from collections.abc import Callable

from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_records import JobState, ReplicatedJob, job_from_update
from wharfcart.storage.replica_session import HigherEpochError, ReplicaFailedError, ReplicaLink

RETRY_S = 0.15


class Takeover:
    """One new leader's way to know everything that ever counted.

    Parameters
    ----------
    link: how a replica is reached, the leader's own disk among them.
    """

    def __init__(
        self,
        record: GroupRecord,
        identity: str,
        copies: int,
        link: Callable[[str], ReplicaLink],
    ) -> None:
        self._record = record
        self._identity = identity
        self._needed = len(record.members) - copies + 1
        self._link = link
        self.states: dict[str, list[JobState]] = {}

    async def gather(self, given_up: Callable[[], bool]) -> bool:
        """Have replicas promise the epoch until there are enough; False if given up.

        The own disk promises first: this process must never lead the epoch in another life.
        """
        try:
            own = self._link(self._identity)
            self.states[self._identity] = await own.fence(self._record.epoch)
        except (ReplicaFailedError, HigherEpochError):
            return False
        while len(self.states) < self._needed:
            await self._ask_missing()
            if given_up():
                return False
            if len(self.states) < self._needed:
                await asyncio.sleep(RETRY_S)
        return True

    async def newest_records(self) -> list[ReplicatedJob]:
        """Return each job's state with the highest epoch, then length.

        Raises
        ------
        ReplicaFailedError: a replica that has the newest state of a job did not give it.
        """
        newest: dict[str, tuple[tuple[int, int], str]] = {}
        ordered = sorted(self.states, key=lambda identity: identity != self._identity)
        for identity in ordered:
            for state in self.states[identity]:
                rank = (state.epoch, state.version)
                if state.job_id not in newest or rank > newest[state.job_id][0]:
                    newest[state.job_id] = (rank, identity)
        records = []
        for identity in ordered:
            wanted = [job_id for job_id, (_, holder) in newest.items() if holder == identity]
            if not wanted:
                continue
            updates = await self._link(identity).fetch(wanted)
            if len(updates) != len(wanted):
                raise ReplicaFailedError("a job is missing")
            records += [job_from_update(update) for update in updates]
        return records

    async def _ask_missing(self) -> None:
        """Ask the replicas that have not promised yet; stop once there are enough."""
        calls = {
            asyncio.create_task(self._link(identity).fence(self._record.epoch)): identity
            for identity in self._record.members - self.states.keys()
        }
        pending = set(calls)
        while pending and len(self.states) < self._needed:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for call in done:
                if not isinstance(call.exception(), (ReplicaFailedError, HigherEpochError)):
                    self.states[calls[call]] = call.result()
        for call in pending:
            call.cancel()
