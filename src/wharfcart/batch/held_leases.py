"""Leases that a runner holds, with their unfinished rows and uncommitted results."""

import asyncio
import logging
import uuid
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import partial

from wharfcart.batch.lines import now_ms
from wharfcart.cluster.messages_pb2 import (
    Command,
    Frame,
    ItemResult,
    ItemsComplete,
    LeaseEnd,
    LeaseGrant,
    LeasePoll,
)
from wharfcart.errors import ServingError
from wharfcart.storage.journal_client import JournalClient

POLL_TIMEOUT_S = 4.0
FLUSH_INTERVAL_S = 0.05
MAX_UNFLUSHED_RESULTS = 64
# Revocations remembered for unknown leases, since a revocation may arrive before its grant.
MAX_EARLY_REVOCATIONS = 256
# These expire at the leader within a lease's term.
MAX_UNCONFIRMED_ENDS = 64

logger = logging.getLogger(__name__)


@dataclass
class HeldLease:
    """A lease that a runner holds.

    Attributes:
        lease_id: id of the lease.
        shard: shard of the job.
        job_id: job of the leased items.
        repeatable: whether the items may run twice.
        open_rows: rows that have no result yet.
        results: results that are not committed yet.
        revoked: whether the leader has revoked the lease.
    """

    lease_id: str
    shard: int
    job_id: str
    repeatable: bool
    open_rows: set[int]
    results: list[ItemResult] = field(default_factory=list)
    revoked: bool = False


class HeldLeases:
    """All leases of one runner.

    Args:
        holder: node that holds the leases.
        backend_id: back end that runs the items.
        journal: client of the shards' leaders.
    """

    def __init__(self, holder: str, backend_id: str, journal: JournalClient) -> None:
        self._holder = holder
        self._backend_id = backend_id
        self._journal = journal
        self._leases: dict[str, HeldLease] = {}
        self._runner_id = uuid.uuid4().hex
        self._last_poll = 0
        # Leases whose end is not confirmed; the leader must not take them for never received.
        self._ending: dict[str, None] = {}
        self._early_revocations: dict[str, None] = {}  # lease ids, oldest first
        self._flush_requested = asyncio.Event()

    def add(self, lease: HeldLease) -> bool:
        """Add a granted lease; return False if it was revoked before its grant arrived."""
        lease.revoked = lease.lease_id in self._early_revocations
        self._leases[lease.lease_id] = lease
        return not lease.revoked

    def revoke(self, lease_id: str) -> HeldLease | None:
        """Mark a lease as revoked; return it, or None if it is unknown or already revoked."""
        lease = self._leases.get(lease_id)
        if lease is None:
            self._early_revocations[lease_id] = None
            if len(self._early_revocations) > MAX_EARLY_REVOCATIONS:
                del self._early_revocations[next(iter(self._early_revocations))]
            return None
        if lease.revoked:
            return None
        lease.revoked = True
        return lease

    def held(self) -> list[HeldLease]:
        """Return all held leases."""
        return list(self._leases.values())

    # ---- polling leaders ----

    async def poll(self, shard: int, targets: Iterable[str], max_items: int) -> LeaseGrant:
        """Renew the leases of a shard and request up to ``max_items`` new items.

        Each attempt has a number of its own: the leader takes back what it granted to an earlier
        one and this runner does not name. So there is one such poll at a time.

        Raises:
            ServingError: the shard's leader could not be reached or refused the poll.
        """

        def make_frame() -> Frame:
            poll = self._renewal(shard)
            self._last_poll += 1
            poll.runner = self._runner_id
            poll.number = self._last_poll
            poll.ending.extend(self._ending)
            poll.targets.extend(targets)
            poll.most = max_items
            return Frame(lease_poll=poll)

        return (await self._journal.ask_leader(shard, make_frame, POLL_TIMEOUT_S)).lease_grant

    def _renewal(self, shard: int) -> LeasePoll:
        return LeasePoll(
            shard=shard,
            holder=self._holder,
            held=[lease.lease_id for lease in self._leases.values() if lease.shard == shard],
            backend_id=self._backend_id,
        )

    async def renew_all(self) -> list[str]:
        """Renew all leases; return the ids of those that ended or whose job was cancelled."""
        revoked: list[str] = []
        for shard in {lease.shard for lease in self._leases.values()}:
            try:
                answer = await self._journal.ask_leader(
                    shard, partial(self._renewal_frame, shard), POLL_TIMEOUT_S
                )
            except ServingError as error:
                logger.debug("lease renewal failed", extra={"shard": shard, "cause": str(error)})
                continue
            revoked.extend(answer.lease_grant.revoked)
        return revoked

    def _renewal_frame(self, shard: int) -> Frame:
        return Frame(lease_poll=self._renewal(shard))

    # ---- results ----

    def record(self, lease_id: str, result: ItemResult) -> None:
        """Queue a result for the next flush."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return
        lease.results.append(result)
        lease.open_rows.discard(result.row)
        if sum(len(held.results) for held in self._leases.values()) >= MAX_UNFLUSHED_RESULTS:
            self._flush_requested.set()

    async def flush_loop(self) -> None:
        """Commit results in groups until cancelled."""
        while True:
            try:
                async with asyncio.timeout(FLUSH_INTERVAL_S):
                    await self._flush_requested.wait()
            except TimeoutError:
                pass
            self._flush_requested.clear()
            await self.flush()

    async def flush(self) -> None:
        """Commit all queued results."""
        await asyncio.gather(*(self._commit(lease) for lease in self.held() if lease.results))

    async def _commit(self, lease: HeldLease) -> None:
        results, lease.results = lease.results, []
        complete = ItemsComplete(job_id=lease.job_id, lease_id=lease.lease_id, results=results)
        command = Command(at_ms=now_ms(), items_complete=complete)
        try:
            await self._journal.propose(lease.shard, command)
        except ServingError as error:
            # Keeps the results of completed items; the next flush proposes them again.
            logger.warning(
                "commit of results failed; retrying with the next flush",
                extra={"cause": str(error)},
            )
            lease.results = results + lease.results
            return
        if not lease.open_rows and not lease.results:
            self._leases.pop(lease.lease_id, None)

    # ---- ending ----

    async def return_rows(self, lease: HeldLease, not_run: list[int]) -> None:
        """Return rows that did not run or may run twice; the lease keeps its other rows.

        Args:
            lease: the lease.
            not_run: rows to return.
        """
        lease.open_rows.difference_update(not_run)
        await self._propose_lease_end(lease, LeaseEnd(rows=not_run, not_run=not_run))

    async def release(self, lease: HeldLease, not_run: list[int]) -> None:
        """End a lease: commit its results and return its other rows.

        Args:
            lease: the lease.
            not_run: rows that never started.
        """
        if lease.results:
            await self._commit(lease)
        if lease.results:
            return  # the lease expires later; flushes propose the results again until then
        if lease.open_rows:
            self._add_ending(lease.lease_id)
            self._leases.pop(lease.lease_id, None)
            if await self._propose_lease_end(lease, LeaseEnd(not_run=not_run)):
                self._ending.pop(lease.lease_id, None)
        else:
            self._leases.pop(lease.lease_id, None)

    def _add_ending(self, lease_id: str) -> None:
        self._ending[lease_id] = None
        if len(self._ending) > MAX_UNCONFIRMED_ENDS:
            del self._ending[next(iter(self._ending))]

    async def _propose_lease_end(self, lease: HeldLease, end: LeaseEnd) -> bool:
        """Propose the end of a lease or of some of its rows; return whether it is committed."""
        end.lease_id = lease.lease_id
        end.repeatable = lease.repeatable
        command = Command(at_ms=now_ms(), lease_end=end)
        try:
            await self._journal.propose(lease.shard, command, POLL_TIMEOUT_S)
        except ServingError as error:
            logger.info(
                "release of a lease failed; it will expire",
                extra={"lease": lease.lease_id, "cause": str(error)},
            )
            return False
        return True
