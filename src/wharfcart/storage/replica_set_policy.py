"""Replica set policy core: which replicas a shard has, and which of them must acknowledge.

The shard's leader makes one decision at a time: the next replica set, or a spare that must catch up
first. docs/design/0002-journal.md has the rules and why they are safe.

Pure: decides by a :class:`LeaderView` only.
"""

from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import ReplicaSet

IN_SYNC_TIMEOUT_S = 1.0
IN_SYNC_TIMEOUT_LEAVING_S = 0.3  # if membership no longer lists the replica as live
REPAIR_DELAY_S = 3.0
MIN_COPIES = 2


@dataclass
class Progress:
    """Replication progress of one other replica, as the leader knows it."""

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
    """State of a shard as its leader knows it.

    Attributes:
        replica_set: newest replica set in the log.
        progress: progress of the other replicas, by identity.
        commit_index: index of the last committed entry.
        settled: whether the newest set and an entry of the leader's own epoch are committed.
    """

    replica_set: ReplicaSet
    progress: dict[str, Progress]
    commit_index: int
    settled: bool

    def caught_up(self, peer: str) -> bool:
        """Whether a replica holds every committed entry."""
        progress = self.progress.get(peer)
        return progress is not None and progress.match_index >= self.commit_index


@dataclass(frozen=True)
class ReplicaSetDecision:
    """A set to propose, a learner to start, and peers whose progress is no longer needed."""

    next_set: ReplicaSet | None = None
    learner: str | None = None
    dropped_peers: tuple[str, ...] = ()


@dataclass
class ReplicaSetPolicy:
    """Removes unresponsive replicas from the in-sync set and replaces lost voters."""

    live: dict[str, str] = field(default_factory=dict)  # identity -> zone
    leaving: set[str] = field(default_factory=set)
    _learner: str = ""
    _absent_since: dict[str, float] = field(default_factory=dict)

    def reset(self) -> None:
        """Discard the state of an earlier leadership."""
        self._learner = ""
        self._absent_since = {}

    def decide(self, view: LeaderView, now: float) -> ReplicaSetDecision:
        """Drop unresponsive replicas from the in-sync set; if there are none, repair."""
        if self._unresponsive(view, now):
            return ReplicaSetDecision(self._shrunk_set(view, now))
        # With fewer voters a larger share must answer: don't remove one while another in sync is
        # unresponsive.
        if self.live and view.settled:
            return self._repair(view, now)
        return ReplicaSetDecision()

    def admit(self, view: LeaderView, peer: str) -> ReplicaSet | None:
        """Return the set with a caught-up voter added to the in-sync set, or None."""
        current = view.replica_set
        if peer in current.in_sync or peer not in current.voters or not view.settled:
            return None
        if not view.caught_up(peer):
            return None
        return ReplicaSet(voters=current.voters, in_sync=[*current.in_sync, peer])

    # ---- the in-sync set ----

    def _is_responsive(self, view: LeaderView, peer: str, now: float) -> bool:
        known_gone = self.live and peer not in self.live
        timeout_s = IN_SYNC_TIMEOUT_LEAVING_S if known_gone else IN_SYNC_TIMEOUT_S
        return now - view.progress[peer].last_contact_at <= timeout_s

    def _unresponsive(self, view: LeaderView, now: float) -> list[str]:
        return [
            peer
            for peer in view.replica_set.in_sync
            if peer in view.progress and not self._is_responsive(view, peer, now)
        ]

    def _shrunk_set(self, view: LeaderView, now: float) -> ReplicaSet | None:
        current = view.replica_set
        unresponsive = self._unresponsive(view, now)
        keep = [peer for peer in current.in_sync if peer not in unresponsive]
        # A caught-up voter replaces an unresponsive one in the same entry: with two in sync,
        # dropping the unresponsive one first would leave a single copy.
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
        """Replace a voter that has been absent for a while by a spare."""
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
            unresponsive = voter in view.progress and voter not in view.replica_set.in_sync
            present = voter in self.live or voter in self.leaving
            if present or not unresponsive:
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
