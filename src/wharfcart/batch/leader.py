"""Batch leader: leases out the items of the shards that this node leads."""

import asyncio
import logging
import uuid
from collections.abc import Callable

from wharfcart.batch.lease_scheduler import LEASE_TERM_S, LeaseChoice, LeaseScheduler
from wharfcart.batch.lines import now_ms
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import (
    Command,
    Expire,
    GrantedLease,
    ItemsLease,
    JobQuery,
    JobView,
    Lease,
    LeaseEnd,
    LeaseGrant,
    LeasePoll,
)
from wharfcart.configuration.services import Service
from wharfcart.errors import ServingError
from wharfcart.storage.journal import Journal
from wharfcart.storage.shard import Shard
from wharfcart.storage.shard_state import BatchJob, RowKind

HOUSEKEEPING_INTERVAL_S = 0.5
EXPIRE_INTERVAL_S = 60.0
MAX_EXPIRED_PER_COMMAND = 100
MAX_LINE_BYTES_PER_GRANT = 8 * 1024 * 1024
MAX_JOBS_PER_QUERY = 100

logger = logging.getLogger(__name__)

FindService = Callable[[str, str], Service | None]


class BatchLeader:
    """Leases, job queries and housekeeping of the shards that this node leads.

    Args:
        journal: shards of this node.
        find_service: returns a tenant's service by name, or None.
        weight_of: returns the scheduling weight of a tenant.
        retention_hours: time for which finished jobs and unused files are kept.
        send_revocation: sends ids of revoked leases to a holder.
    """

    def __init__(
        self,
        journal: Journal,
        find_service: FindService,
        weight_of: Callable[[str], float],
        retention_hours: float,
        send_revocation: Callable[[str, list[str]], None],
    ) -> None:
        self._journal = journal
        self._find_service = find_service
        self._weight_of = weight_of
        self._send_revocation = send_revocation
        self._retention_ms = int(retention_hours * 3_600_000)
        self._schedulers: dict[int, LeaseScheduler] = {}
        # Leases of polls that were cancelled before their answer, and when, by shard. They may be
        # committed later.
        self._undelivered: dict[int, dict[str, float]] = {}
        self._last_expire_at = 0.0

    def leadership_changed(self, shard: int, leads: bool) -> None:
        """Start or stop scheduling a shard; scheduling state does not survive the change."""
        self._schedulers.pop(shard, None)
        self._undelivered.pop(shard, None)
        if leads:
            state = self._journal.shards[shard].state
            self._schedulers[shard] = LeaseScheduler(state, self._weight_of, self._target_of)

    def _target_of(self, tenant: str, name: str) -> str | None:
        service = self._find_service(tenant, name)
        return None if service is None else service.target

    def _scheduler_of(self, shard: Shard) -> LeaseScheduler:
        scheduler = self._schedulers.get(shard.number)
        if scheduler is None or scheduler.state is not shard.state:
            scheduler = LeaseScheduler(shard.state, self._weight_of, self._target_of)
            self._schedulers[shard.number] = scheduler
        return scheduler

    # ---- polls ----

    async def poll(self, poll: LeasePoll) -> LeaseGrant:
        """Renew the holder's leases and grant it new ones.

        Raises:
            ServingError: ``not_leader`` if this node does not lead the shard.
        """
        shard = self._journal.leading_shard(poll.shard)
        await self._take_back_unreceived(shard, poll)
        scheduler = self._scheduler_of(shard)
        now = monotonic()
        grant = LeaseGrant(lease_ms=int(LEASE_TERM_S * 1000))
        grant.revoked.extend(scheduler.renew(poll.held, now))
        choices = scheduler.choose(poll.targets, poll.most)
        leased = await asyncio.gather(
            *(self._lease(shard, scheduler, choice, poll) for choice in choices)
        )
        grant.leases.extend(lease for lease in leased if lease is not None)
        return grant

    async def _lease(
        self, shard: Shard, scheduler: LeaseScheduler, choice: LeaseChoice, poll: LeasePoll
    ) -> GrantedLease | None:
        lease_id = uuid.uuid4().hex
        items = ItemsLease(
            lease_id=lease_id,
            job_id=choice.job_id,
            holder=poll.holder,
            rows=choice.rows,
            backend_id=poll.backend_id,
            runner=poll.runner,
            poll=poll.number,
        )
        try:
            # Commits the lease before any item is sent: it records that the items may have started.
            result = await self._journal.propose(shard.number, stamped_command(items_lease=items))
            lease = shard.state.leases.get(lease_id)
            if result.code != "ok" or lease is None:
                return None
            scheduler.renew([lease_id], monotonic())
            return await self._granted_lease(shard, lease)
        except asyncio.CancelledError:
            self._undelivered.setdefault(shard.number, {})[lease_id] = monotonic()
            raise
        finally:
            scheduler.release_reservation(choice)

    async def _take_back_unreceived(self, shard: Shard, poll: LeasePoll) -> None:
        """Return the items of leases that their holder never received.

        These are leases of polls that were cancelled before their answer, and those that were
        granted to an earlier poll of the same runner, which does not name them.
        """
        await self._take_back_undelivered(shard)
        if not poll.runner:
            return
        known = {*poll.held, *poll.ending}
        unreceived = [
            lease
            for lease in shard.state.leases.values()
            if lease.runner == poll.runner
            and lease.poll < poll.number
            and lease.lease_id not in known
        ]
        for lease in unreceived:
            await self._take_back(shard, lease, f"not received by poll {poll.number}")

    async def _take_back_undelivered(self, shard: Shard) -> None:
        undelivered = self._undelivered.get(shard.number, {})
        for lease_id, cancelled_at in list(undelivered.items()):
            lease = shard.state.leases.get(lease_id)
            if lease is not None:
                await self._take_back(shard, lease, "its poll was cancelled")
            if lease is not None or monotonic() - cancelled_at > LEASE_TERM_S:
                undelivered.pop(lease_id, None)

    async def _take_back(self, shard: Shard, lease: Lease, cause: str) -> None:
        """End a lease of which no item was sent."""
        logger.info(
            "lease taken back",
            extra={
                "lease": lease.lease_id,
                "job": lease.job_id,
                "holder": lease.holder,
                "items": len(lease.rows),
                "cause": cause,
            },
        )
        end = LeaseEnd(lease_id=lease.lease_id, not_run=lease.rows)
        await self._journal.propose(shard.number, stamped_command(lease_end=end))

    async def _granted_lease(self, shard: Shard, lease: Lease) -> GrantedLease:
        job = shard.state.jobs[lease.job_id]
        create = job.record.create
        lines: dict[int, bytes] = {}
        for row in lease.rows:
            if row not in lines:
                max_rows = lease.rows[-1] - row + 1
                found = await self._journal.read_rows(
                    shard.number,
                    RowKind.LINE,
                    create.file_id,
                    row,
                    max_rows,
                    MAX_LINE_BYTES_PER_GRANT,
                )
                lines.update({line.number: line.value for line in found.rows})
        previous = shard.state.previous_backends
        return GrantedLease(
            lease=lease,
            tenant=create.tenant,
            lines=[lines[row] for row in lease.rows],
            previous_backends=[previous.get((lease.job_id, row), "") for row in lease.rows],
        )

    # ---- job views ----

    def query_jobs(self, query: JobQuery) -> list[JobView]:
        """Return one job, or the jobs of a tenant in a shard, newest first."""
        shard = self._journal.leading_shard(query.shard)
        if query.job_id:
            job = shard.state.jobs.get(query.job_id)
            is_visible = job is not None and job.record.create.tenant == query.tenant
            return [job.to_view()] if job is not None and is_visible else []
        jobs = [j for j in shard.state.jobs.values() if j.record.create.tenant == query.tenant]
        jobs.sort(key=lambda job: -job.record.created_ms)
        return [job.to_view() for job in jobs[: query.most or MAX_JOBS_PER_QUERY]]

    # ---- housekeeping ----

    async def run(self) -> None:
        """End expired leases and delete old files and jobs, until cancelled."""
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = monotonic()
            expire = now - self._last_expire_at > EXPIRE_INTERVAL_S
            if expire:
                self._last_expire_at = now
            for number in list(self._journal.shards):
                try:
                    await self._housekeep_shard(number, now, expire)
                except ServingError as error:
                    if error.code != "not_leader":
                        logger.warning("housekeeping failed", extra={"cause": str(error)})

    async def _housekeep_shard(self, number: int, now: float, expire: bool) -> None:
        shard = self._journal.leading_shard(number)
        await self._take_back_undelivered(shard)
        for lease_id in self._scheduler_of(shard).expired_leases(now):
            lease = shard.state.leases[lease_id]
            job = shard.state.jobs[lease.job_id]
            end = LeaseEnd(lease_id=lease_id, repeatable=self._is_repeatable(job, lease))
            logger.info("lease expired", extra={"lease": lease_id, "holder": lease.holder})
            await self._journal.propose(number, stamped_command(lease_end=end))
        if expire:
            before = now_ms() - self._retention_ms
            await self._journal.propose(
                number,
                stamped_command(expire=Expire(before_ms=before, most=MAX_EXPIRED_PER_COMMAND)),
            )

    def _is_repeatable(self, job: BatchJob, lease: Lease) -> bool:
        # All items of a lease use one service. A deleted service counts as not repeatable.
        name = job.record.service_names[job.classes[lease.rows[0]]]
        service = self._find_service(job.record.create.tenant, name)
        return service is not None and service.repeatable

    def revoke_leases(self, shard_number: int, job_id: str) -> None:
        """Revoke the leases of a cancelled job at once; the next renewals repeat it."""
        by_holder: dict[str, list[str]] = {}
        for lease in self._journal.shards[shard_number].state.leases.values():
            if lease.job_id == job_id:
                by_holder.setdefault(lease.holder, []).append(lease.lease_id)
        logger.info(
            "job cancelled",
            extra={"job": job_id, "leases": {name: len(ids) for name, ids in by_holder.items()}},
        )
        for holder, lease_ids in by_holder.items():
            self._send_revocation(holder, lease_ids)


def stamped_command(
    items_lease: ItemsLease | None = None,
    lease_end: LeaseEnd | None = None,
    expire: Expire | None = None,
) -> Command:
    """Return a command stamped with the wall clock."""
    return Command(
        at_ms=now_ms(),
        items_lease=items_lease,
        lease_end=lease_end,
        expire=expire,
    )
