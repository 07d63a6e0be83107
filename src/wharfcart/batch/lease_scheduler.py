"""Batch scheduling core of a shard's leader: chooses the items that a back end leases next.

Tenants share capacity by weight (start-time fair queueing, Goyal et al. 1996, over leased items).
Within a tenant, jobs run earliest deadline first, except that every fourth chunk goes to the job
with the fewest pending items, so that a huge job does not delay a small one. Leases expire by the
leader's monotonic clock; a new leader grants every existing lease a full term.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from wharfcart.storage.shard_state import BatchJob, ItemState, ShardState

LEASE_TERM_S = 10.0
MAX_ITEMS_PER_LEASE = 64
SMALLEST_JOB_INTERVAL = 4


@dataclass(frozen=True)
class LeaseChoice:
    """Items to lease together: one job, one service."""

    job_id: str
    service: str
    rows: list[int]


@dataclass
class _TenantAccount:
    virtual_time: float = 0.0
    chunks: int = 0


@dataclass
class LeaseScheduler:
    """Scheduling state of one shard's leader, kept in memory only.

    Attributes:
        state: replicated state of the shard.
        weight_of: returns the scheduling weight of a tenant.
        target_of: returns the model or application of a tenant's service, or None.
    """

    state: ShardState
    weight_of: Callable[[str], float]
    target_of: Callable[[str, str], str | None]
    _accounts: dict[str, _TenantAccount] = field(default_factory=dict)
    _lease_expiry: dict[str, float] = field(default_factory=dict)
    _reserved: dict[str, set[int]] = field(default_factory=dict)

    def choose(self, targets: Collection[str], max_items: int) -> list[LeaseChoice]:
        """Choose and reserve up to ``max_items`` items whose target is one of ``targets``."""
        choices: list[LeaseChoice] = []
        target_set = frozenset(targets)
        exhausted: set[str] = set()
        while max_items > 0:
            job = self._next_job(target_set, exhausted)
            if job is None:
                break
            found = self._reserve_rows(job, target_set, min(max_items, MAX_ITEMS_PER_LEASE))
            if found is None:
                exhausted.add(job.record.create.job_id)
                continue
            choices.append(found)
            max_items -= len(found.rows)
            self._charge(job.record.create.tenant, len(found.rows))
        return choices

    def release_reservation(self, choice: LeaseChoice) -> None:
        """Release the reservation of a choice after its lease was applied or refused."""
        reserved = self._reserved.get(choice.job_id)
        if reserved is not None:
            reserved.difference_update(choice.rows)
            if not reserved:
                del self._reserved[choice.job_id]

    # ---- leases ----

    def renew(self, lease_ids: Collection[str], now: float) -> list[str]:
        """Extend leases; return those that no longer exist or whose job was cancelled."""
        revoked: list[str] = []
        for lease_id in lease_ids:
            lease = self.state.leases.get(lease_id)
            if lease is None or self.state.jobs[lease.job_id].cancelled:
                revoked.append(lease_id)
            if lease is not None:
                self._lease_expiry[lease_id] = now + LEASE_TERM_S
        return revoked

    def expired_leases(self, now: float) -> list[str]:
        """Return leases that were not renewed for a full term."""
        expired: list[str] = []
        for lease_id in self.state.leases:
            expires_at = self._lease_expiry.setdefault(lease_id, now + LEASE_TERM_S)
            if now >= expires_at:
                expired.append(lease_id)
        for lease_id in self._lease_expiry.keys() - self.state.leases.keys():
            del self._lease_expiry[lease_id]
        return expired

    # ---- choice ----

    def _next_job(self, targets: frozenset[str], exhausted: set[str]) -> BatchJob | None:
        by_tenant: dict[str, list[BatchJob]] = {}
        for job_id, job in self.state.jobs.items():
            if job.finished or job.cancelled or job_id in exhausted:
                continue
            if self._has_servable_items(job, targets):
                by_tenant.setdefault(job.record.create.tenant, []).append(job)
        if not by_tenant:
            return None
        accounts = {tenant: self._account(tenant) for tenant in by_tenant}
        tenant = min(accounts, key=lambda name: (accounts[name].virtual_time, name))
        jobs = by_tenant[tenant]
        if accounts[tenant].chunks % SMALLEST_JOB_INTERVAL == SMALLEST_JOB_INTERVAL - 1:
            return min(jobs, key=lambda job: job.count(ItemState.PENDING))
        return min(jobs, key=lambda job: (job.record.create.deadline_ms, job.record.created_ms))

    def _has_servable_items(self, job: BatchJob, targets: frozenset[str]) -> bool:
        if ItemState.PENDING not in job.states:
            return False
        tenant = job.record.create.tenant
        return any(self.target_of(tenant, name) in targets for name in job.record.service_names)

    def _reserve_rows(
        self, job: BatchJob, targets: frozenset[str], max_items: int
    ) -> LeaseChoice | None:
        create = job.record.create
        reserved = self._reserved.get(create.job_id, set())
        for class_, service in enumerate(job.record.service_names):
            if self.target_of(create.tenant, service) not in targets:
                continue
            found = job.next_pending(class_, max_items + len(reserved))
            rows = [row for row in found if row not in reserved][:max_items]
            if rows:
                self._reserved.setdefault(create.job_id, set()).update(rows)
                return LeaseChoice(create.job_id, service, rows)
        return None

    def _account(self, tenant: str) -> _TenantAccount:
        account = self._accounts.get(tenant)
        if account is None:
            # A new tenant starts at the lowest virtual time; starting at zero would let it starve
            # the others until it has caught up.
            start = min((a.virtual_time for a in self._accounts.values()), default=0.0)
            account = _TenantAccount(virtual_time=start)
            self._accounts[tenant] = account
        return account

    def _charge(self, tenant: str, items: int) -> None:
        account = self._account(tenant)
        account.virtual_time += items / max(1e-6, self.weight_of(tenant))
        account.chunks += 1
