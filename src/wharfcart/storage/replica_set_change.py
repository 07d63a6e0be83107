"""A leader's care for its replica set: lost disks replaced, leaving nodes emptied, gaps filled.

One change at a time. While it is under way writes need enough copies in both sets; it takes effect
by compare-and-swap once everything has enough copies in the new set.
"""

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from wharfcart.observability.decisions import Event
from wharfcart.storage.group_record import RecordInDoubtError

if TYPE_CHECKING:
    from wharfcart.storage.group_context import GroupContext
    from wharfcart.storage.job_group import JobGroup

PERIOD_S = 0.25
DEAD_S = 1.5
CHANGE_TIMEOUT_S = 4.0
SETTLE_S = 1.0


class ReplicaSetChanger:
    """Compares the replica set with what it should be, for one leadership."""

    def __init__(self, group: "JobGroup", context: "GroupContext") -> None:
        self._group = group
        self._context = context
        self._doubtful: frozenset[str] | None = None

    async def run(self) -> None:
        """Keep the set as it should be, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S)
            leadership = self._group.leadership
            if leadership is None:
                return
            # A swap in doubt may take effect as long as nothing else has: it is settled first.
            target = self._doubtful or self._wanted_set(await self._live_spares())
            self._leave_outsiders()
            if target is not None and target != leadership.members:
                await self._change_to(target)

    async def _live_spares(self) -> list[str]:
        """Return the disks outside the set that answer now, if the set has need of any.

        The list of nodes keeps machines that are gone for good: only an answer speaks for one.
        """
        leadership = self._group.leadership
        if leadership is None:
            return []
        retiring = self._context.retiring()
        kept = leadership.members - retiring
        if len(kept) >= self._context.full_size and not any(map(self._is_dead, kept)):
            return []
        outside = sorted(self._context.identities().keys() - leadership.members - retiring)
        return await self._group.answering(list(filter(self._group.may_hold, outside)))

    def _wanted_set(self, spares: list[str]) -> frozenset[str] | None:
        leadership = self._group.leadership
        if leadership is None:
            return None
        # A job may have come while the spares were asked.
        spares = list(filter(self._group.may_hold, spares))
        retiring = self._context.retiring()
        kept = [identity for identity in leadership.members if identity not in retiring]
        dead = [identity for identity in kept if self._is_dead(identity)]
        replaceable = dead[: len(spares)]
        wanted = [identity for identity in kept if identity not in replaceable]
        room = self._context.full_size - len(wanted)
        wanted += spares[: max(0, room)]
        if len(wanted) < leadership.copies:
            return None
        return frozenset(wanted)

    def _leave_outsiders(self) -> None:
        """Leave spares that did not catch up in time and may not hold what has come since."""
        leadership = self._group.leadership
        if leadership is None:
            return
        needed = leadership.members | (leadership.target or frozenset())
        for identity in self._group.sessions.keys() - needed:
            if not self._group.may_hold(identity):
                self._group.close_session(identity)
                leadership.replica_left(identity)

    def _is_dead(self, identity: str) -> bool:
        if identity == self._context.identity:
            return False
        if identity not in self._context.identities():
            return True
        session = self._group.sessions.get(identity)
        return session is not None and session.silent_s(monotonic()) > DEAD_S

    async def _change_to(self, target: frozenset[str]) -> None:
        leadership = self._group.leadership
        assert leadership is not None
        before = leadership.members
        leadership.begin_change(target)
        for identity in target:
            self._group.open_session(identity)
        if not await self._caught_up(target):
            if self._doubtful is None:
                leadership.begin_change(None)
            return
        try:
            record = await self._group.records.swap_members(
                leadership.epoch, target, self._leader_for(target)
            )
        except RecordInDoubtError:
            self._doubtful = target
            return
        if record is None:
            return
        self._doubtful = None
        if record.epoch != leadership.epoch:
            return  # the group follows another leader now
        leadership.finish_change(record.members)
        self._close_sessions(record.members)
        self._context.log.write(
            Event.REPLICA_SET_CHANGED,
            group=self._group.group,
            epoch=record.epoch,
            before=sorted(before),
            after=sorted(record.members),
        )
        self._group.notify_progress()

    async def _caught_up(self, target: frozenset[str]) -> bool:
        """Wait until the new set has everything; its slowest disk is waited for only a while."""
        leadership = self._group.leadership
        assert leadership is not None
        began_at = monotonic()
        while monotonic() - began_at < CHANGE_TIMEOUT_S:
            safe = leadership.change_is_safe()
            all_there = not any(leadership.behind(identity) for identity in target)
            if safe and (all_there or monotonic() - began_at > SETTLE_S):
                return True
            await self._group.wait_progress(PERIOD_S)
        return False

    def _leader_for(self, target: frozenset[str]) -> str:
        if self._context.identity in target:
            return self._context.identity
        leadership = self._group.leadership
        assert leadership is not None
        caught_up = [identity for identity in sorted(target) if not leadership.behind(identity)]
        return (caught_up or sorted(target))[0]

    def _close_sessions(self, members: frozenset[str]) -> None:
        leadership = self._group.leadership
        for identity in list(self._group.sessions):
            if identity not in members:
                self._group.close_session(identity)
                if leadership is not None:
                    leadership.replica_left(identity)
