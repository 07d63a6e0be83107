"""Which replicas a shard has and which must acknowledge: decisions of its leader, one at a time.

Pure: looks at what the leader knows (:class:`LeaderView`) and returns the next replica set, or a
spare to feed first. The rules and why they are safe: docs/design/0002-journal.md.
"""

from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import ReplicaSet

IN_SYNC_TIMEOUT_S = 1.0
IN_SYNC_TIMEOUT_LEAVING_S = 0.3  # membership says that the replica is gone or leaving
REPAIR_DELAY_S = 3.0
MIN_COPIES = 2


@dataclass
class Progress:
    """What the leader knows of one other replica."""

    next_index: int
    match_index: int = 0
    last_contact_at: float = 0.0
    sent_at: float = 0.0
    in_flight_from: int = 0
    in_flight: bool = False
    acknowledged_round_sent_at: float = -1.0
    snapshot_running: bool = False


@dataclass(frozen=True)
class LeaderView:
    """What the leader knows when it decides.

    Parameters
    ----------
    settled: whether the newest set is committed, and something of the leader's own epoch, too.
    """

    replica_set: ReplicaSet
    progress: dict[str, Progress]
    commit_index: int
    settled: bool

    def caught_up(self, peer: str) -> bool:
        """Whether a replica holds everything committed."""
        progress = self.progress.get(peer)
        return progress is not None and progress.match_index >= self.commit_index


@dataclass(frozen=True)
class ReplicaSetDecision:
    """What to do: propose a set, or feed a learner; and whose progress to forget."""

    next_set: ReplicaSet | None = None
    learner: str | None = None
    dropped_peers: tuple[str, ...] = ()


@dataclass
class ReplicaSetPolicy:
    """Keeps the in-sync set answering and replaces voters that are gone."""

    live: dict[str, str] = field(default_factory=dict)  # identity -> zone
    leaving: set[str] = field(default_factory=set)
    _learner: str = ""
    _absent_since: dict[str, float] = field(default_factory=dict)

    def reset(self) -> None:
        """Forget what an earlier leadership was about to do."""
        self._learner = ""
        self._absent_since = {}

    def decide(self, view: LeaderView, now: float) -> ReplicaSetDecision:
        """Drop silent replicas from the in-sync set; else repair."""
        if self._unresponsive(view, now):
            return ReplicaSetDecision(self._shrunk_set(view, now))
        # Fewer voters need more of them to answer: never shrink while one in sync is silent.
        if self.live and view.settled:
            return self._repair(view, now)
        return ReplicaSetDecision()

    def admit(self, view: LeaderView, peer: str) -> ReplicaSet | None:
        """Return the set with a voter that has caught up, if it is not in sync yet."""
        current = view.replica_set
        if peer in current.in_sync or peer not in current.voters or not view.settled:
            return None
        if not view.caught_up(peer):
            return None
        return ReplicaSet(voters=current.voters, in_sync=[*current.in_sync, peer])

    # ---- the in-sync set ----

    def _is_responsive(self, view: LeaderView, peer: str, now: float) -> bool:
        known_gone = self.live and peer not in self.live
        patience = IN_SYNC_TIMEOUT_LEAVING_S if known_gone else IN_SYNC_TIMEOUT_S
        return now - view.progress[peer].last_contact_at <= patience

    def _unresponsive(self, view: LeaderView, now: float) -> list[str]:
        return [
            peer
            for peer in view.replica_set.in_sync
            if peer in view.progress and not self._is_responsive(view, peer, now)
        ]

    def _shrunk_set(self, view: LeaderView, now: float) -> ReplicaSet | None:
        current = view.replica_set
        silent = self._unresponsive(view, now)
        keep = [peer for peer in current.in_sync if peer not in silent]
        # A voter that has caught up takes a silent one's place in the same entry: with two in sync,
        # dropping the silent one first would leave a single copy.
        keep.extend(
            peer
            for peer in current.voters
            if peer in view.progress
            and peer not in current.in_sync
            and self._is_responsive(view, peer, now)
            and view.caught_up(peer)
        )
        if len(keep) < max(MIN_COPIES, len(current.voters) // 2 + 1):
            return None
        return ReplicaSet(voters=current.voters, in_sync=keep)

    # ---- repair ----

    def _repair(self, view: LeaderView, now: float) -> ReplicaSetDecision:
        """Replace a voter whose identity has been gone for a while by a spare."""
        current = view.replica_set
        if len(current.voters) <= MIN_COPIES:
            return self._add_voter(view)
        dead = self._find_dead_voter(view, now)
        if dead is None:
            self._learner = ""
            return ReplicaSetDecision()
        if not self._learner:
            return self._choose_learner(view, dead)
        if not view.caught_up(self._learner):
            return self._give_up_lost_learner()
        voters = [peer for peer in current.voters if peer != dead]
        in_sync = [peer for peer in current.in_sync if peer != dead]
        return ReplicaSetDecision(ReplicaSet(voters=voters, in_sync=in_sync), dropped_peers=(dead,))

    def _add_voter(self, view: LeaderView) -> ReplicaSetDecision:
        if not self._learner:
            return self._choose_learner(view, "")
        if not view.caught_up(self._learner):
            return self._give_up_lost_learner()
        learner, self._learner = self._learner, ""
        current = view.replica_set
        return ReplicaSetDecision(
            ReplicaSet(voters=[*current.voters, learner], in_sync=[*current.in_sync, learner])
        )

    def _give_up_lost_learner(self) -> ReplicaSetDecision:
        if self._learner in self.live:
            return ReplicaSetDecision()
        lost, self._learner = self._learner, ""
        return ReplicaSetDecision(dropped_peers=(lost,))

    def _find_dead_voter(self, view: LeaderView, now: float) -> str | None:
        for voter in view.replica_set.voters:
            silent = voter in view.progress and voter not in view.replica_set.in_sync
            present = voter in self.live or voter in self.leaving
            if present or not silent:
                self._absent_since.pop(voter, None)
            elif now - self._absent_since.setdefault(voter, now) > REPAIR_DELAY_S:
                return voter
        return None

    def _choose_learner(self, view: LeaderView, dead: str) -> ReplicaSetDecision:
        voters = view.replica_set.voters
        used_zones = {self.live.get(peer, "") for peer in voters if peer != dead}
        spares = sorted(peer for peer in self.live if peer not in voters)
        other_zone = [peer for peer in spares if self.live[peer] not in used_zones]
        choice = next(iter(other_zone or spares), None)
        if choice is None:
            return ReplicaSetDecision()
        self._learner = choice
        return ReplicaSetDecision(learner=choice)
