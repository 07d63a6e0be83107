"""Changes of a job group's replica set, made by its leader.

The leader replaces lost disks, moves the group off retiring nodes and fills gaps;
:mod:`wharfcart.storage.replica_placement` decides which disks join. Once a complete set has been
stable for a while, the leader swaps badly placed replicas one at a time and moves the leadership to
the group's own region.

Only one change is in progress at a time. During a change a write needs a quorum in the old set and
in the new one. The change takes effect by compare-and-swap once a quorum of the new set has every
write.
"""

import asyncio
from typing import TYPE_CHECKING

from wharfcart.clock import monotonic
from wharfcart.observability.decisions import Event
from wharfcart.storage.group_record import RecordInDoubtError

if TYPE_CHECKING:
    from wharfcart.storage.group_context import GroupContext
    from wharfcart.storage.job_group import JobGroup

CHECK_INTERVAL_S = 0.25
DEAD_AFTER_S = 1.5
CHANGE_TIMEOUT_S = 4.0
STRAGGLER_WAIT_S = 1.0
# Longer than a node's restart, so that restarts cause no rebalancing: moving a replica or the
# leadership costs more than serving from another zone or region for this time.
REBALANCE_DELAY_S = 5.0


class ReplicaSetChanger:
    """Repairs and rebalances a group's replica set during one leadership."""

    def __init__(self, group: "JobGroup", context: "GroupContext") -> None:
        self._group = group
        self._context = context
        self._in_doubt_target: frozenset[str] | None = None
        self._stable_since = monotonic()
        self._logged_shortfalls: list[str] = []

    async def run(self) -> None:
        """Repair and rebalance the set until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            leadership = self._group.leadership
            if leadership is None:
                return
            self._log_shortfalls(leadership.members)
            # A swap in doubt may still take effect, so it is resolved before any other change.
            target = self._in_doubt_target or self._repaired_set(await self._live_spares())
            if self._in_doubt_target is None and target in (None, leadership.members):
                target = await self._rebalanced_set()
            self._close_ineligible_sessions()
            if target is not None and target != leadership.members and self._may_change_to(target):
                self._stable_since = monotonic()
                await self._change_to(target)

    async def _live_spares(self) -> list[str]:
        """Return the responsive disks outside the set, if the set needs any.

        The list of nodes may contain lost machines, so each candidate must answer a call.
        """
        leadership = self._group.leadership
        if leadership is None:
            return []
        retiring = self._context.retiring()
        kept = leadership.members - retiring
        if len(kept) >= self._context.replication_factor and not any(map(self._is_dead, kept)):
            return []
        outside = sorted(self._context.known_addresses().keys() - leadership.members - retiring)
        alive = [identity for identity in kept if not self._is_dead(identity)]
        outside = list(filter(self._group.may_hold, outside))
        if not self._group.placement.choose_additions(alive, outside):
            return []
        return await self._group.responsive_disks(outside)

    def _repaired_set(self, spares: list[str]) -> frozenset[str] | None:
        leadership = self._group.leadership
        if leadership is None:
            return None
        retiring = self._context.retiring()
        kept = sorted(leadership.members - retiring)
        dead = [identity for identity in kept if self._is_dead(identity)]
        alive = [identity for identity in kept if identity not in dead]
        wanted = self._group.placement.repaired_members(alive, dead, spares)
        return wanted if len(wanted) >= leadership.write_quorum else None

    async def _rebalanced_set(self) -> frozenset[str] | None:
        """Return the set after one swap that improves its placement, or transfer the leadership."""
        leadership = self._group.leadership
        if leadership is None or monotonic() - self._stable_since < REBALANCE_DELAY_S:
            return None
        if any(map(self._is_dead, leadership.members)):
            self._stable_since = monotonic()
            return None
        if await self._transfer_to_own_region():
            return None
        group_placement = self._group.placement
        known = (
            self._context.known_addresses().keys() - leadership.members - self._context.retiring()
        )
        outside = set(filter(self._group.may_hold, known))
        swap = group_placement.find_better_swap(leadership.members, outside, self._context.identity)
        if swap is None:
            return None
        leaving, joining = swap
        if not await self._group.responsive_disks([joining]):
            self._stable_since = monotonic()
            return None
        return leadership.members - {leaving} | {joining}

    async def _transfer_to_own_region(self) -> bool:
        """Transfer leadership to a replica in the group's region if this node is in another one."""
        leadership = self._group.leadership
        group_placement = self._group.placement
        if leadership is None or not group_placement.in_other_region(self._context.identity):
            return False
        caught_up = [
            identity
            for identity in self._group.successors()
            if not group_placement.in_other_region(identity)
            and leadership.is_nearly_caught_up(identity)
        ]
        if not caught_up:
            return False
        self._stable_since = monotonic()
        await self._group.transfer_leadership(caught_up[0])
        return True

    def _log_shortfalls(self, members: frozenset[str]) -> None:
        """Log the configured failures that the set does not tolerate, once per change."""
        shortfalls = self._group.placement.shortfalls(members)
        if shortfalls == self._logged_shortfalls:
            return
        self._logged_shortfalls = shortfalls
        self._context.log.write(
            Event.TOLERANCE_SHORT,
            group=self._group.group,
            members=sorted(members),
            shortfalls=shortfalls,
        )

    def _may_change_to(self, target: frozenset[str]) -> bool:
        """Whether each disk that joins may hold the group's jobs.

        The group may have accepted a job that excludes a disk while that disk was being called. A
        target in doubt is resolved in any case: until then the group accepts no such job.
        """
        leadership = self._group.leadership
        if leadership is None:
            return False
        joining = target - leadership.members
        return target == self._in_doubt_target or all(map(self._group.may_hold, joining))

    def _close_ineligible_sessions(self) -> None:
        """Close the sessions with spares that may no longer hold the group's jobs."""
        leadership = self._group.leadership
        if leadership is None:
            return
        needed = leadership.members | (leadership.target_members or frozenset())
        for identity in sorted(self._group.sessions.keys() - needed):
            if not self._group.may_hold(identity):
                self._group.close_session(identity)
                leadership.remove_replica(identity)

    def _is_dead(self, identity: str) -> bool:
        if identity == self._context.identity:
            return False
        if identity not in self._context.known_addresses():
            return True
        session = self._group.sessions.get(identity)
        return session is not None and session.unresponsive_s(monotonic()) > DEAD_AFTER_S

    async def _change_to(self, target: frozenset[str]) -> None:
        leadership = self._group.leadership
        assert leadership is not None
        before = leadership.members
        leadership.begin_set_change(target)
        for identity in sorted(target):
            self._group.open_session(identity)
        if not await self._wait_until_caught_up(target):
            if self._in_doubt_target is None:
                leadership.begin_set_change(None)
            return
        try:
            record = await self._group.swap_members(target, self._leader_for(target))
        except RecordInDoubtError:
            self._in_doubt_target = target
            return
        if record is None:
            return
        self._in_doubt_target = None
        if record.epoch != leadership.epoch:
            return  # another leader has taken over
        leadership.finish_set_change(record.members)
        self._close_other_sessions(record.members)
        self._context.log.write(
            Event.REPLICA_SET_CHANGED,
            group=self._group.group,
            epoch=record.epoch,
            before=sorted(before),
            after=sorted(record.members),
        )
        self._group.notify_progress()

    async def _wait_until_caught_up(self, target: frozenset[str]) -> bool:
        """Wait until a quorum of the new set has every write, and briefly for the other disks."""
        leadership = self._group.leadership
        assert leadership is not None
        started_at = monotonic()
        while monotonic() - started_at < CHANGE_TIMEOUT_S:
            safe = leadership.is_set_change_safe()
            all_caught_up = all(map(leadership.is_nearly_caught_up, target))
            if safe and (all_caught_up or monotonic() - started_at > STRAGGLER_WAIT_S):
                return True
            await self._group.wait_for_progress(CHECK_INTERVAL_S)
        return False

    def _leader_for(self, target: frozenset[str]) -> str:
        if self._context.identity in target:
            return self._context.identity
        leadership = self._group.leadership
        assert leadership is not None
        ranked = self._group.placement.rank_leaders(target)
        caught_up = list(filter(leadership.is_nearly_caught_up, ranked))
        return (caught_up or ranked)[0]

    def _close_other_sessions(self, members: frozenset[str]) -> None:
        leadership = self._group.leadership
        for identity in list(self._group.sessions):
            if identity not in members:
                self._group.close_session(identity)
                if leadership is not None:
                    leadership.remove_replica(identity)
