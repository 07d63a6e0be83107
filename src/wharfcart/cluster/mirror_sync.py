"""Keeps one node's mirror up to date, from peers or from the coordination service.

Each node follows two peers by long polling. A node watches the service only while peers follow it
or while it finds no up-to-date peer, so that only a few nodes read the service at any fleet size.
A key never returns to an older state.
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
# A watch that times out without changes confirms the mirror.
WATCH_TIMEOUT_S = 0.9
# Pause after a watch, so that one watch returns several changes in quick succession.
WATCH_PAUSE_S = 0.08
PULL_WAIT_S = 1.0
PULL_TIMEOUT_MARGIN_S = 0.5
RESPONSE_MARGIN_S = 0.15
MIN_PULL_TIMEOUT_S = 0.3
# A node continues to watch the service for this time after a peer's last pull.
WATCH_AFTER_PULL_S = 3.0
# A node without an up-to-date peer watches the service for this time.
WATCH_WITHOUT_PEERS_S = 3.0
# Time after loading in which a node must find an up-to-date peer.
FIRST_CONTACT_TIMEOUT_S = 1.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 1.5
CHECK_INTERVAL_S = 0.1
OUTAGE_HOLD_S = 3.0
UNREACHABLE_AFTER_S = 3.0
# A starting node pulls from its seeds if the service has not responded by then.
SEED_FALLBACK_DELAY_S = 0.25
SEED_TIMEOUT_S = 0.5
# Time in which peers announce themselves at the first start of a fleet.
FIRST_PEERS_TIMEOUT_S = 4.0
FIRST_PEERS_POLL_INTERVAL_S = 0.5
DEPENDENCY = "coordination_service"

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class PeerUpdates:
    """Response of a peer to a pull.

    Attributes:
        changes: changes that this node lacks.
        age_s: seconds since the peer was last confirmed to be up to date.
    """

    changes: ChangeBatch
    age_s: float


class PeerClient(Protocol):
    """Pulls changes from peers."""

    async def pull(self, peer: Peer, after: int, wait_s: float) -> PeerUpdates | None:
        """Return a peer's changes after a revision; None if it does not respond.

        Args:
            peer: the peer.
            after: revision up to which this node is complete.
            wait_s: how long in seconds the peer may wait for changes.
        """
        ...

    def disconnect(self, peer: Peer) -> None:
        """Close the connection to a peer that did not respond in time."""
        ...


class MirrorSync:
    """Keeps a mirror up to date and reports the changes that took effect.

    Args:
        mirror: the node's copy of the service's keys.
        service: the coordination service.
        peer_selector: selects the peers to follow.
        peer_client: pulls changes from peers.
        on_changes: called with the changes that took effect.
        log: the decision log.
        seeds: peers to pull from at the start if the service does not respond.
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
        """Whether the mirror was recently stale: neither the service nor a peer confirmed it."""
        return monotonic() - self._last_stale_at < OUTAGE_HOLD_S

    @property
    def age_s(self) -> float:
        """Seconds since the service or a peer last confirmed the mirror."""
        return monotonic() - self._peer_selector.confirmed_at

    # -- serving followers ---------------------------------------------

    async def serve_pull(self, after: int, wait_s: float) -> PeerUpdates:
        """Return the changes that a peer lacks.

        Waits until there is a change or this node's state is confirmed again.

        Args:
            after: revision up to which the peer is complete.
            wait_s: how long to wait at most, in seconds.
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
        """Keep the mirror up to date until cancelled; restart after an unexpected error."""
        while True:
            try:
                await self._run_once()
            except Exception:
                logger.exception("synchronization failed; restarting it")
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
        """Load an initial state, which may be seconds old; peers provide the changes since."""
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
        """Return the state from the service, or from a seed if the service is slow."""
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
            response = await self._pull(seed, SEED_TIMEOUT_S)
            if response is not None and response.changes.last_revision > 0:
                return response.changes
        return None

    async def _follow(self) -> None:
        """Follow one peer after another."""
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
        """Follow a peer until it is unresponsive or stale, or this node watches the service."""
        up_to_date_at = monotonic()
        while not self._has_working_watch():
            remaining_s = up_to_date_at + STALE_AFTER_S - monotonic()
            timeout_s = max(
                MIN_PULL_TIMEOUT_S, min(PULL_WAIT_S + PULL_TIMEOUT_MARGIN_S, remaining_s)
            )
            response = await self._pull(peer, timeout_s)
            now = monotonic()
            if response is not None:
                self._apply(response.changes)
                self._record_confirmation(now, response.age_s)
                up_to_date_at = max(up_to_date_at, now - response.age_s)
                if response.age_s < STALE_AFTER_S:
                    self._watch_until = now  # a peer watches the service again
            if now - up_to_date_at >= STALE_AFTER_S or response is None:
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
        """Whether this node watches the service successfully for followers."""
        now = monotonic()
        return self._is_followed(now) and now - self._watch_confirmed_at < STALE_AFTER_S

    async def _read_all(self) -> None:
        self._apply(await self._service.read_all())
        self._record_watch()

    async def _wait_for_changes(self) -> None:
        previous_revision = self.mirror.last_revision
        changes = await self._service.wait_for_changes(previous_revision, WATCH_TIMEOUT_S)
        if changes.last_revision > previous_revision and not changes.changes:
            raise HistoryLostError  # the revision rose, but the changes are missing
        self._apply(changes)
        self._record_watch()

    def _record_watch(self) -> None:
        now = monotonic()
        self._watch_confirmed_at = now
        self._record_confirmation(now, 0.0)

    # -- state ---------------------------------------------------------

    def _apply(self, changes: ChangeBatch) -> None:
        previous_revision = self.mirror.last_revision
        applied = self.mirror.apply(changes)
        if applied:
            self._on_changes(applied)
        if self.mirror.last_revision > previous_revision:
            self._notify_waiters()

    def _record_confirmation(self, now: float, age_s: float) -> None:
        previous = self._peer_selector.confirmed_at
        self._peer_selector.record_confirmation(now, age_s)
        if self._peer_selector.confirmed_at > previous:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        previous, self._advanced = self._advanced, asyncio.Event()
        previous.set()

    async def _log_reachability(self) -> None:
        """Log when neither the service nor a peer confirms the mirror, and when one does again."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._peer_selector.is_stale(monotonic()):
                self._last_stale_at = monotonic()
            # Before the first confirmation, the state is as old as the process.
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
