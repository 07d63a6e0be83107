"""Keeps one node's mirror up to date: from peers, or from the coordination service.

A node follows two peers with calls that wait for news. A peer that is followed watches the service;
so does a node that finds no fresh peer. All others leave the service alone: at any size, a handful
of nodes read it. No node ever takes an older state of a key.
"""

import asyncio
import logging
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from random import random, sample
from typing import Protocol

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import (
    ChangeBatch,
    CoordinationService,
    CoordinationUnavailableError,
    HistoryLostError,
    KeyChange,
)
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.news_sources import STALE_S, NewsSources, Peer
from wharfcart.observability.decisions import DecisionLog, Event

FOLLOWED_PEERS = 2
# A watch that ends without news confirms that there was none: so often that is done.
WATCH_S = 0.9
# Changes that come in close succession are told by one answer.
WATCH_PAUSE_S = 0.08
FOLLOW_S = 1.0
FOLLOW_MARGIN_S = 0.5
ANSWER_MARGIN_S = 0.15
SHORTEST_ASK_S = 0.3
# A node that was followed goes on watching for so long.
FOLLOWED_KEPT_S = 3.0
# A node that found no fresh peer watches itself for so long.
ALONE_KEPT_S = 3.0
# After its start a node has so long to find a fresh peer.
FIRST_CONTACT_S = 1.5
RETRY_LEAST_S = 0.1
RETRY_MOST_S = 1.5
CHECK_S = 0.1
OUTAGE_S = 3.0
LOST_AFTER_S = 3.0
# A starting node asks its seeds if the service has not answered by then.
SEEDS_DELAY_S = 0.25
SEED_S = 0.5
# At the first start of a fleet peers announce themselves within this time.
FIRST_PEERS_S = 4.0
FIRST_PEERS_POLL_S = 0.5
DEPENDENCY = "coordination_service"

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PeerNews:
    """What a peer answers.

    Attributes:
        age_s: seconds since the peer itself was surely up to date.
    """

    changes: ChangeBatch
    age_s: float


class PeerCalls(Protocol):
    """How peers are asked."""

    async def ask(self, peer: Peer, after: int, wait_s: float) -> PeerNews | None:
        """Return what a peer knows beyond a revision; None if it does not answer.

        Args:
            peer: whom to ask.
            after: revision up to which this node knows everything.
            wait_s: how long the peer may wait for news.
        """
        ...

    def drop(self, peer: Peer) -> None:
        """Give up the connection to a peer that did not answer in time."""
        ...


class MirrorLink:
    """Feeds a mirror and tells of news.

    Args:
        mirror: the node's copy of the service's keys.
        service: the coordination service.
        sources: the peers that may be followed.
        calls: how they are asked.
        on_changes: called with changes that were news.
        log: the decision log.
        seeds: peers to ask at the start, when the service does not answer.
    """

    def __init__(
        self,
        mirror: Mirror,
        service: CoordinationService,
        sources: NewsSources,
        calls: PeerCalls,
        on_changes: Callable[[list[KeyChange]], None],
        log: DecisionLog,
        seeds: Sequence[Peer] = (),
    ) -> None:
        self.mirror = mirror
        self._service = service
        self._sources = sources
        self._calls = calls
        self._on_changes = on_changes
        self._log = log
        self._seeds = seeds
        self._began_at = monotonic()
        self._stale_at = -1e9
        self._failure = ""
        self._loaded_at = -1e9
        self._followed_at = -1e9
        self._alone_until = -1e9
        self._watch_confirmed_at = -1e9
        self._reachable = True
        self._followed: set[str] = set()
        self._progress = asyncio.Event()

    @property
    def in_outage(self) -> bool:
        """Whether, a moment ago, neither the service nor any peer confirmed the mirror."""
        return monotonic() - self._stale_at < OUTAGE_S

    @property
    def age_s(self) -> float:
        """Seconds since the service or a peer last confirmed the mirror."""
        return monotonic() - self._sources.confirmed_at

    # -- as a peer that is followed ------------------------------------

    async def answer(self, after: int, wait_s: float) -> PeerNews:
        """Tell what a peer lacks, as soon as there is any or this node's state is confirmed anew.

        Args:
            after: revision up to which the peer knows everything.
            wait_s: how long to wait at most.
        """
        self._followed_at = monotonic()
        confirmed_at = self._sources.confirmed_at
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.mirror.at <= after and self._sources.confirmed_at <= confirmed_at:
                    await self._progress.wait()
        return PeerNews(self.mirror.since(after), self.age_s)

    # -- following -----------------------------------------------------

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled; a defect begins it anew."""
        while True:
            try:
                await self._run_once()
            except Exception:
                logger.exception("following failed")
                await _sleep_about(RETRY_MOST_S)

    async def _run_once(self) -> None:
        await self._load()
        self._loaded_at = monotonic()
        async with asyncio.TaskGroup() as group:
            for _ in range(FOLLOWED_PEERS):
                group.create_task(self._follow())
            group.create_task(self._watch_when_needed())
            group.create_task(self._note_reachability())

    async def _load(self) -> None:
        """Begin with a state that may be seconds old; peers tell what has come since."""
        retry_s = RETRY_LEAST_S
        while True:
            changes = await self._first_state()
            if changes is None:
                await _sleep_about(retry_s)
                retry_s = min(RETRY_MOST_S, retry_s * 2)
                continue
            self._take(changes)
            if self._sources.choose(monotonic(), ()) is not None:
                return
            if monotonic() - self._began_at > FIRST_PEERS_S:
                return
            await _sleep_about(FIRST_PEERS_POLL_S)

    async def _first_state(self) -> ChangeBatch | None:
        """Return the state that the service tells, or a seed if the service takes long."""
        pending = {
            asyncio.create_task(self._read_old_state()),
            asyncio.create_task(self._ask_seeds()),
        }
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    if (changes := task.result()) is not None:
                        return changes
            return None
        finally:
            for task in pending:
                task.cancel()

    async def _read_old_state(self) -> ChangeBatch | None:
        try:
            return await self._service.read_all(stale=True)
        except CoordinationUnavailableError as error:
            self._failure = error.reason
            return None

    async def _ask_seeds(self) -> ChangeBatch | None:
        await asyncio.sleep(SEEDS_DELAY_S)
        for seed in sample(self._seeds, len(self._seeds)):
            news = await self._ask(seed, SEED_S)
            if news is not None and news.changes.last_revision > 0:
                return news.changes
        return None

    async def _follow(self) -> None:
        """Follow one peer after the other."""
        while True:
            peer = (
                None if self._watches_well() else self._sources.choose(monotonic(), self._followed)
            )
            if peer is None:
                await asyncio.sleep(CHECK_S)
                continue
            self._followed.add(peer.node_id)
            try:
                await self._follow_peer(peer)
            finally:
                self._followed.discard(peer.node_id)

    async def _follow_peer(self, peer: Peer) -> None:
        """Follow a peer until it is silent or behind, or this node watches itself."""
        fresh_at = monotonic()
        while not self._watches_well():
            fresh_for_s = fresh_at + STALE_S - monotonic()
            limit_s = max(SHORTEST_ASK_S, min(FOLLOW_S + FOLLOW_MARGIN_S, fresh_for_s))
            news = await self._ask(peer, limit_s)
            now = monotonic()
            if news is not None:
                self._take(news.changes)
                self._confirmed(now, news.age_s)
                fresh_at = max(fresh_at, now - news.age_s)
                if news.age_s < STALE_S:
                    self._alone_until = now  # a peer reads the service again
            if now - fresh_at >= STALE_S or news is None:
                self._sources.failed(peer.node_id, now)
                return
            if self._sources.should_leave(peer.node_id, now, self._followed):
                return

    async def _ask(self, peer: Peer, limit_s: float) -> PeerNews | None:
        try:
            async with asyncio.timeout(limit_s):
                wait_s = min(FOLLOW_S, limit_s - ANSWER_MARGIN_S)
                return await self._calls.ask(peer, self.mirror.at, wait_s)
        except TimeoutError:
            self._calls.drop(peer)
            return None

    # -- watching the service ------------------------------------------

    async def _watch_when_needed(self) -> None:
        retry_s = RETRY_LEAST_S
        reload = False
        while True:
            if not self._must_watch():
                await asyncio.sleep(CHECK_S * (0.5 + random()))
                continue
            try:
                await (self._read_all() if reload else self._wait_for_changes())
                reload = False
                retry_s = RETRY_LEAST_S
                await asyncio.sleep(WATCH_PAUSE_S)
            except HistoryLostError:
                reload = True
            except CoordinationUnavailableError as error:
                self._failure = error.reason
                await _sleep_about(retry_s)
                retry_s = min(RETRY_MOST_S, retry_s * 2)

    def _must_watch(self) -> bool:
        now = monotonic()
        if self._sources.is_stale(now) and now - self._loaded_at > FIRST_CONTACT_S:
            self._alone_until = now + ALONE_KEPT_S
        return now < self._alone_until or self._is_followed(now)

    def _is_followed(self, now: float) -> bool:
        return now - self._followed_at < FOLLOWED_KEPT_S

    def _watches_well(self) -> bool:
        """Whether this node reads the service for others, so that it need not follow any."""
        now = monotonic()
        return self._is_followed(now) and now - self._watch_confirmed_at < STALE_S

    async def _read_all(self) -> None:
        self._take(await self._service.read_all())
        self._watch_confirmed()

    async def _wait_for_changes(self) -> None:
        known_at = self.mirror.at
        changes = await self._service.wait_for_changes(known_at, WATCH_S)
        if changes.last_revision > known_at and not changes.changes:
            raise HistoryLostError  # something changed that was not told
        self._take(changes)
        self._watch_confirmed()

    def _watch_confirmed(self) -> None:
        now = monotonic()
        self._watch_confirmed_at = now
        self._confirmed(now, 0.0)

    # -- state ---------------------------------------------------------

    def _take(self, changes: ChangeBatch) -> None:
        known_at = self.mirror.at
        news = self.mirror.apply(changes)
        if news:
            self._on_changes(news)
        if self.mirror.at > known_at:
            self._wake()

    def _confirmed(self, now: float, age_s: float) -> None:
        known = self._sources.confirmed_at
        self._sources.confirmed(now, age_s)
        if self._sources.confirmed_at > known:
            self._wake()

    def _wake(self) -> None:
        progress, self._progress = self._progress, asyncio.Event()
        progress.set()

    async def _note_reachability(self) -> None:
        """Log once when neither the service nor a peer confirms the mirror, and once it is over."""
        while True:
            await asyncio.sleep(CHECK_S)
            if self._sources.is_stale(monotonic()):
                self._stale_at = monotonic()
            # At first the state is as old as the process.
            age_s = min(self.age_s, monotonic() - self._began_at)
            reachable = age_s < LOST_AFTER_S
            if reachable == self._reachable:
                continue
            self._reachable = reachable
            if not reachable:
                self._log.write(
                    Event.DEPENDENCY_LOST,
                    dependency=DEPENDENCY,
                    reason=self._failure,
                    at=self.mirror.at,
                    age_s=round(age_s, 2),
                )
            else:
                self._log.write(Event.DEPENDENCY_REGAINED, dependency=DEPENDENCY, at=self.mirror.at)


async def _sleep_about(seconds: float) -> None:
    await asyncio.sleep(seconds * (0.5 + random()))
