"""Keeps one node's mirror up to date: from the coordination service, and from peers.

The node watches the service with long waits. Beside that it asks one peer at a time what it lacks:
so news reaches a node that the service refuses, throttles or silently drops, and a watch that has
died without a word is found out. No node ever takes an older state of a key.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import random
from time import monotonic

from wharfcart.cluster.coordination import (
    Change,
    Changes,
    CoordinationService,
    CoordinationUnavailableError,
    HistoryLostError,
)
from wharfcart.cluster.mirror import Mirror
from wharfcart.observability.decisions import DecisionLog, Event

WATCH_S = 28.0
RETRY_LEAST_S = 0.1
RETRY_MOST_S = 1.5
OUTAGE_S = 3.0
PULL_PERIOD_S = 0.8
PULL_PERIOD_CUT_OFF_S = 0.25
DEPENDENCY = "coordination_service"

PullFromPeer = Callable[[int], Awaitable[Changes | None]]
OnChanges = Callable[[list[Change]], None]


class MirrorLink:
    """Feeds a mirror and tells of news.

    Parameters
    ----------
    pull: asks some peer for what is newer than a revision; None if none answered.
    """

    def __init__(
        self,
        mirror: Mirror,
        service: CoordinationService,
        pull: PullFromPeer,
        on_changes: OnChanges,
        log: DecisionLog,
    ) -> None:
        self.mirror = mirror
        self._service = service
        self._pull = pull
        self._on_changes = on_changes
        self._log = log
        self._reachable: bool | None = None
        self._confirmed_at = monotonic()
        self._failed_at = -1e9
        self._watch: asyncio.Task[None] | None = None
        self._watch_is_stale = False

    @property
    def in_outage(self) -> bool:
        """Whether the service could not be reached a moment ago."""
        return monotonic() - self._failed_at < OUTAGE_S

    @property
    def age_s(self) -> float:
        """Seconds since the service or a peer last confirmed the mirror."""
        return monotonic() - self._confirmed_at

    async def run_watch(self) -> None:
        """Follow the service until cancelled."""
        retry_s = RETRY_LEAST_S
        reload = True
        while True:
            step = self._read_all() if reload else self._wait_for_changes()
            self._watch = asyncio.ensure_future(step)
            try:
                await self._watch
                reload = False
                retry_s = RETRY_LEAST_S
            except HistoryLostError:
                reload = True
            except asyncio.CancelledError:
                if not self._watch_is_stale:
                    raise
                # A peer knew more than this watch told: begin anew.
                self._watch_is_stale = False
            except CoordinationUnavailableError as error:
                self._failed_at = monotonic()
                self._note_reachable(False, error.reason)
                await asyncio.sleep(retry_s * (0.5 + random()))
                retry_s = min(RETRY_MOST_S, retry_s * 2)

    async def run_pulls(self) -> None:
        """Ask peers until cancelled."""
        while True:
            period_s = PULL_PERIOD_S if self._reachable else PULL_PERIOD_CUT_OFF_S
            await asyncio.sleep(period_s * (0.5 + random()))
            changes = await self._pull(self.mirror.at)
            if changes is None:
                continue
            known_at = self.mirror.at
            self._take(changes)
            if self.mirror.at > known_at and self._watch is not None and self._reachable:
                self._watch_is_stale = True
                self._watch.cancel()

    async def _read_all(self) -> None:
        changes = await self._service.read_all()
        self._note_reachable(True, "")
        self._take(changes)

    async def _wait_for_changes(self) -> None:
        changes = await self._service.wait_for_changes(self.mirror.at, WATCH_S)
        self._note_reachable(True, "")
        self._take(changes)

    def _take(self, changes: Changes) -> None:
        self._confirmed_at = monotonic()
        news = self.mirror.apply(changes)
        if news:
            self._on_changes(news)

    def _note_reachable(self, reachable: bool, reason: str) -> None:
        if reachable == self._reachable:
            return
        known_before = self._reachable is not None
        self._reachable = reachable
        if not reachable:
            self._log.write(
                Event.DEPENDENCY_LOST, dependency=DEPENDENCY, reason=reason, at=self.mirror.at
            )
        elif known_before:
            self._log.write(Event.DEPENDENCY_REGAINED, dependency=DEPENDENCY, at=self.mirror.at)
