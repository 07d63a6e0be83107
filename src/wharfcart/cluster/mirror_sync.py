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
from wharfcart.cluster.peer_selection import STALE_AFTER_S, Peer, PeerSelector
from wharfcart.observability.decisions import DecisionLog, Event

FOLLOWED_PEERS = 2
# A watch that ends without news confirms that there was none: so often that is done.
WATCH_TIMEOUT_S = 0.9
# Changes that come in close succession are told by one answer.
WATCH_PAUSE_S = 0.08
PULL_WAIT_S = 1.0
PULL_TIMEOUT_MARGIN_S = 0.5
RESPONSE_MARGIN_S = 0.15
MIN_PULL_TIMEOUT_S = 0.3
# A node that was followed goes on watching for so long.
WATCH_AFTER_PULL_S = 3.0
# A node that found no fresh peer watches itself for so long.
WATCH_WITHOUT_PEERS_S = 3.0
# After its start a node has so long to find a fresh peer.
FIRST_CONTACT_TIMEOUT_S = 1.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.5
CHECK_INTERVAL_S = 0.1
OUTAGE_HOLD_S = 3.0
UNREACHABLE_AFTER_S = 3.0
# A starting node asks its seeds if the service has not answered by then.
SEED_FALLBACK_DELAY_S = 0.25
SEED_TIMEOUT_S = 0.5
# At the first start of a fleet peers announce themselves within this time.
FIRST_PEERS_TIMEOUT_S = 4.0
FIRST_PEERS_POLL_INTERVAL_S = 0.5
DEPENDENCY = "coordination_service"

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PeerUpdates:
    """What a peer answers.

    Attributes:
        age_s: seconds since the peer itself was surely up to date.
    """

    changes: ChangeBatch
    age_s: float


class PeerClient(Protocol):
    """How peers are asked."""

    async def pull(self, peer: Peer, after: int, wait_s: float) -> PeerUpdates | None:
        """Return what a peer knows beyond a revision; None if it does not answer.

        Args:
            peer: whom to ask.
            after: revision up to which this node knows everything.
            wait_s: how long the peer may wait for news.
        """
        ...

    def disconnect(self, peer: Peer) -> None:
        """Give up the connection to a peer that did not answer in time."""
        ...


class MirrorSync:
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
        peer_selector: PeerSelector,
        peer_client: PeerClient,
        on_changes: Callable[[list[KeyChange]], None],
        log: DecisionLog,
        seeds: Sequence[Peer] = (),
    ) -> None:
        self.mirror = mirror
        self._service = service
        self._peer_selector = peer_selector
        self._peer_client = peer_client
        self._on_changes = on_changes
        self._log = log
        self._seeds = seeds
        self._started_at = monotonic()
        self._last_stale_at = -1e9
        self._last_failure = ""
        self._loaded_at = -1e9
        self._last_pulled_at = -1e9
        self._watch_until = -1e9
        self._watch_confirmed_at = -1e9
        self._reachable = True
        self._followed_ids: set[str] = set()
        self._advanced = asyncio.Event()

    @property
    def in_outage(self) -> bool:
        """Whether, a moment ago, neither the service nor any peer confirmed the mirror."""
        return monotonic() - self._last_stale_at < OUTAGE_HOLD_S

    @property
    def age_s(self) -> float:
        """Seconds since the service or a peer last confirmed the mirror."""
        return monotonic() - self._peer_selector.confirmed_at

    # -- as a peer that is followed ------------------------------------

    async def serve_pull(self, after: int, wait_s: float) -> PeerUpdates:
        """Tell what a peer lacks, as soon as there is any or this node's state is confirmed anew.

        Args:
            after: revision up to which the peer knows everything.
            wait_s: how long to wait at most.
        """
        self._last_pulled_at = monotonic()
        confirmed_at = self._peer_selector.confirmed_at
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while (
                    self.mirror.last_revision <= after
                    and self._peer_selector.confirmed_at <= confirmed_at
                ):
                    await self._advanced.wait()
        return PeerUpdates(self.mirror.changes_since(after), self.age_s)

    # -- following -----------------------------------------------------

    async def run(self) -> None:
        """Keep the mirror up to date until cancelled; a defect begins it anew."""
        while True:
            try:
                await self._run_once()
            except Exception:
                logger.exception("following failed")
                await _sleep_jittered(MAX_RETRY_S)

    async def _run_once(self) -> None:
        await self._load()
        self._loaded_at = monotonic()
        async with asyncio.TaskGroup() as group:
            for _ in range(FOLLOWED_PEERS):
                group.create_task(self._follow())
            group.create_task(self._watch_when_needed())
            group.create_task(self._log_reachability())

    async def _load(self) -> None:
        """Begin with a state that may be seconds old; peers tell what has come since."""
        retry_s = MIN_RETRY_S
        while True:
            changes = await self._initial_state()
            if changes is None:
                await _sleep_jittered(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            self._apply(changes)
            if self._peer_selector.choose(monotonic(), ()) is not None:
                return
            if monotonic() - self._started_at > FIRST_PEERS_TIMEOUT_S:
                return
            await _sleep_jittered(FIRST_PEERS_POLL_INTERVAL_S)

    async def _initial_state(self) -> ChangeBatch | None:
        """Return the state that the service tells, or a seed if the service takes long."""
        pending = {
            asyncio.create_task(self._read_stale_state()),
            asyncio.create_task(self._pull_from_seeds()),
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

    async def _read_stale_state(self) -> ChangeBatch | None:
        try:
            return await self._service.read_all(stale=True)
        except CoordinationUnavailableError as error:
            self._last_failure = error.reason
            return None

    async def _pull_from_seeds(self) -> ChangeBatch | None:
        await asyncio.sleep(SEED_FALLBACK_DELAY_S)
        for seed in sample(self._seeds, len(self._seeds)):
            news = await self._pull(seed, SEED_TIMEOUT_S)
            if news is not None and news.changes.last_revision > 0:
                return news.changes
        return None

    async def _follow(self) -> None:
        """Follow one peer after the other."""
        while True:
            peer = (
                None
                if self._has_working_watch()
                else self._peer_selector.choose(monotonic(), self._followed_ids)
            )
            if peer is None:
                await asyncio.sleep(CHECK_INTERVAL_S)
                continue
            self._followed_ids.add(peer.node_id)
            try:
                await self._follow_peer(peer)
            finally:
                self._followed_ids.discard(peer.node_id)

    async def _follow_peer(self, peer: Peer) -> None:
        """Follow a peer until it is silent or behind, or this node watches itself."""
        fresh_at = monotonic()
        while not self._has_working_watch():
            fresh_for_s = fresh_at + STALE_AFTER_S - monotonic()
            limit_s = max(MIN_PULL_TIMEOUT_S, min(PULL_WAIT_S + PULL_TIMEOUT_MARGIN_S, fresh_for_s))
            news = await self._pull(peer, limit_s)
            now = monotonic()
            if news is not None:
                self._apply(news.changes)
                self._record_confirmation(now, news.age_s)
                fresh_at = max(fresh_at, now - news.age_s)
                if news.age_s < STALE_AFTER_S:
                    self._watch_until = now  # a peer reads the service again
            if now - fresh_at >= STALE_AFTER_S or news is None:
                self._peer_selector.record_failure(peer.node_id, now)
                return
            if self._peer_selector.should_replace(peer.node_id, now, self._followed_ids):
                return

    async def _pull(self, peer: Peer, timeout_s: float) -> PeerUpdates | None:
        try:
            async with asyncio.timeout(timeout_s):
                wait_s = min(PULL_WAIT_S, timeout_s - RESPONSE_MARGIN_S)
                return await self._peer_client.pull(peer, self.mirror.last_revision, wait_s)
        except TimeoutError:
            self._peer_client.disconnect(peer)
            return None

    # -- watching the service ------------------------------------------

    async def _watch_when_needed(self) -> None:
        retry_s = MIN_RETRY_S
        reload = False
        while True:
            if not self._should_watch():
                await asyncio.sleep(CHECK_INTERVAL_S * (0.5 + random()))
                continue
            try:
                await (self._read_all() if reload else self._wait_for_changes())
                reload = False
                retry_s = MIN_RETRY_S
                await asyncio.sleep(WATCH_PAUSE_S)
            except HistoryLostError:
                reload = True
            except CoordinationUnavailableError as error:
                self._last_failure = error.reason
                await _sleep_jittered(retry_s)
                retry_s = min(MAX_RETRY_S, retry_s * 2)

    def _should_watch(self) -> bool:
        now = monotonic()
        if self._peer_selector.is_stale(now) and now - self._loaded_at > FIRST_CONTACT_TIMEOUT_S:
            self._watch_until = now + WATCH_WITHOUT_PEERS_S
        return now < self._watch_until or self._is_followed(now)

    def _is_followed(self, now: float) -> bool:
        return now - self._last_pulled_at < WATCH_AFTER_PULL_S

    def _has_working_watch(self) -> bool:
        """Whether this node reads the service for others, so that it need not follow any."""
        now = monotonic()
        return self._is_followed(now) and now - self._watch_confirmed_at < STALE_AFTER_S

    async def _read_all(self) -> None:
        self._apply(await self._service.read_all())
        self._record_watch()

    async def _wait_for_changes(self) -> None:
        known_at = self.mirror.last_revision
        changes = await self._service.wait_for_changes(known_at, WATCH_TIMEOUT_S)
        if changes.last_revision > known_at and not changes.changes:
            raise HistoryLostError  # something changed that was not told
        self._apply(changes)
        self._record_watch()

    def _record_watch(self) -> None:
        now = monotonic()
        self._watch_confirmed_at = now
        self._record_confirmation(now, 0.0)

    # -- state ---------------------------------------------------------

    def _apply(self, changes: ChangeBatch) -> None:
        known_at = self.mirror.last_revision
        news = self.mirror.apply(changes)
        if news:
            self._on_changes(news)
        if self.mirror.last_revision > known_at:
            self._notify_waiters()

    def _record_confirmation(self, now: float, age_s: float) -> None:
        known = self._peer_selector.confirmed_at
        self._peer_selector.record_confirmation(now, age_s)
        if self._peer_selector.confirmed_at > known:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        progress, self._advanced = self._advanced, asyncio.Event()
        progress.set()

    async def _log_reachability(self) -> None:
        """Log once when neither the service nor a peer confirms the mirror, and once it is over."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._peer_selector.is_stale(monotonic()):
                self._last_stale_at = monotonic()
            # At first the state is as old as the process.
            age_s = min(self.age_s, monotonic() - self._started_at)
            reachable = age_s < UNREACHABLE_AFTER_S
            if reachable == self._reachable:
                continue
            self._reachable = reachable
            if not reachable:
                self._log.write(
                    Event.DEPENDENCY_LOST,
                    dependency=DEPENDENCY,
                    reason=self._last_failure,
                    at=self.mirror.last_revision,
                    age_s=round(age_s, 2),
                )
            else:
                self._log.write(
                    Event.DEPENDENCY_REGAINED, dependency=DEPENDENCY, at=self.mirror.last_revision
                )


async def _sleep_jittered(seconds: float) -> None:
    await asyncio.sleep(seconds * (0.5 + random()))
