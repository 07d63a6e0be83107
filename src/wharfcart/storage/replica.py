"""Journal replica core: one replica of one shard's log.

Raft (Ongaro and Ousterhout 2014) with three changes; docs/design/0002-journal.md has the reasons:

* **Commit** needs every replica of the *in-sync set*, at least two replicas, and a majority of the
  voters. The majority is Raft's safety rule; the other copies keep an entry when disks are lost.
* **In-sync set** and voters are ``ReplicaSet`` entries in the log. The others drop an unresponsive
  replica with such an entry, and add it again once it has caught up.
* **Repair** replaces a dead identity by a caught-up spare: it removes one, then adds the other, so
  that two consecutive voter sets always share a majority.

Pre-vote and sticky leaders prevent a returning replica from replacing a live leader. Reads require
a lease. The leader computes it with its own monotonic clock from the *send* time of an acknowledged
round, so a paused leader resumes without a lease.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from wharfcart.cluster.messages_pb2 import (
    AppendRequest,
    AppendResponse,
    CampaignNow,
    Command,
    LogEntry,
    Noop,
    ReplicaMessage,
    ReplicaSet,
    VoteRequest,
    VoteResponse,
)
from wharfcart.cluster.randomness import RandomSource
from wharfcart.storage.replica_actions import (
    Apply,
    CompactLog,
    HardState,
    Persist,
    ReplicaAction,
    Role,
    RoleChanged,
    Send,
    StartSnapshot,
)
from wharfcart.storage.replica_set_policy import (
    IN_SYNC_TIMEOUT_S,
    MIN_COPIES,
    LeaderView,
    Progress,
    ReplicaSetPolicy,
)

HEARTBEAT_INTERVAL_S = 0.25
MIN_ELECTION_TIMEOUT_S = 0.8
ELECTION_JITTER_S = 0.5
LEASE_S = 0.65
RESEND_TIMEOUT_S = 0.3
MAX_ENTRIES_PER_MESSAGE = 256
MAX_BYTES_PER_MESSAGE = 4 * 1024 * 1024
MAX_LOG_ENTRIES = 4096
MAX_LOG_BYTES = 16 * 1024 * 1024


class NotLeaderError(Exception):
    """The replica does not lead its shard; ``leader`` is the leader it knows of, or ''."""

    def __init__(self, leader: str) -> None:
        super().__init__(leader)
        self.leader = leader


@dataclass
class Replica:
    """One replica of one shard.

    Inputs: :meth:`tick`, :meth:`receive`, :meth:`propose`, :meth:`persisted`,
    :meth:`snapshot_installed`, :meth:`snapshot_sent`, :meth:`update_storage_members`. Each returns
    actions that the caller must execute in order.
    """

    shard: int
    identity: str
    random: RandomSource
    started_at: float
    base_set: ReplicaSet
    epoch: int = 0
    voted_for: str = ""
    log: list[LogEntry] = field(default_factory=list)
    base_index: int = 0
    base_epoch: int = 0
    commit_index: int = 0
    role: Role = Role.FOLLOWER
    leader: str = ""
    installing: bool = False
    max_log_entries: int = MAX_LOG_ENTRIES
    _persisted_index: int = 0
    _log_bytes: int = 0
    _replica_sets: list[tuple[int, ReplicaSet]] = field(default_factory=list)
    _last_leader_contact_at: float = 0.0
    _election_due_at: float = 0.0
    _votes: set[str] = field(default_factory=set)
    _progress: dict[str, Progress] = field(default_factory=dict)
    _previous_leader: str = ""
    _votes_requested_at: float = 0.0
    _round: int = 0
    _round_sent_at: dict[int, float] = field(default_factory=dict)
    _epoch_start_index: int = 0
    _last_heartbeat_at: float = 0.0
    _policy: ReplicaSetPolicy = field(default_factory=ReplicaSetPolicy)

    def __post_init__(self) -> None:
        self._persisted_index = self.last_index
        self._log_bytes = sum(len(entry.command) for entry in self.log)
        # Before its restart the replica may have acknowledged a leader's lease, so it waits as if
        # it had contact with one.
        self._last_leader_contact_at = self.started_at
        self.commit_index = max(self.commit_index, self.base_index)
        self._rebuild_sets()
        self._reset_election(self.started_at)

    # ---- views ----

    @property
    def last_index(self) -> int:
        """Index of the newest entry in the log."""
        return self.base_index + len(self.log)

    @property
    def last_epoch(self) -> int:
        """Epoch of the newest entry."""
        return self.log[-1].epoch if self.log else self.base_epoch

    @property
    def replica_set(self) -> ReplicaSet:
        """Newest replica set in the log, committed or not (Raft section 6)."""
        return self._replica_sets[-1][1] if self._replica_sets else self.base_set

    @property
    def replica_set_index(self) -> int:
        """Index of the entry that contains :attr:`replica_set`."""
        return self._replica_sets[-1][0] if self._replica_sets else self.base_index

    def lease_valid(self, now: float) -> bool:
        """Whether this replica may answer reads.

        It must lead, have committed an entry of its epoch, and hold the lease.
        """
        if self.role is not Role.LEADER or self.commit_index < self._epoch_start_index:
            return False
        return now < self._last_quorum_contact_at() + LEASE_S

    def entry(self, index: int) -> LogEntry | None:
        """Return the entry at ``index`` if it is still held in memory."""
        offset = index - self.base_index - 1
        return self.log[offset] if 0 <= offset < len(self.log) else None

    # ---- inputs ----

    def tick(self, now: float) -> list[ReplicaAction]:
        """Advance timers."""
        if self.role is Role.LEADER:
            return self._leader_tick(now)
        if now >= self._election_due_at:
            return self._start_pre_vote(now)
        if self.role is not Role.FOLLOWER and now - self._votes_requested_at > RESEND_TIMEOUT_S:
            # Otherwise a lost request would delay the election by a whole timeout.
            pre_vote = self.role is Role.PRE_CANDIDATE
            return self._request_votes(self.epoch + pre_vote, pre_vote, now)
        return []

    def propose(self, commands: Sequence[bytes], now: float) -> tuple[int, list[ReplicaAction]]:
        """Append commands to the log; return the index of the first one.

        Raises:
            NotLeaderError: this replica does not lead.
        """
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        first = self.last_index + 1
        entries = [
            LogEntry(index=first + offset, epoch=self.epoch, command=command)
            for offset, command in enumerate(commands)
        ]
        actions = self._append_entries(entries)
        actions.extend(self._replicate_all(now))
        return first, actions

    def persisted(self, epoch: int, index: int, now: float) -> list[ReplicaAction]:
        """Record that the log up to ``index``, written in ``epoch``, is on disk."""
        if epoch != self.epoch:
            return []
        self._persisted_index = max(self._persisted_index, min(index, self.last_index))
        return self._advance_commit(now) if self.role is Role.LEADER else []

    def update_storage_members(
        self, live: dict[str, str], leaving: set[str], now: float
    ) -> list[ReplicaAction]:
        """Update the live storage identities, with their zones, and those that are restarting.

        The leader repairs the replica set accordingly. A restarting identity is not replaced.
        """
        self._policy.live = live
        self._policy.leaving = leaving
        return self._apply_policy(now) if self.role is Role.LEADER else []

    def receive(self, message: ReplicaMessage, now: float) -> list[ReplicaAction]:
        """Handle a message from another replica of this shard."""
        if message.target != self.identity:
            return []  # addressed to a former disk of this node
        kind = message.WhichOneof("body")
        if kind == "vote_request":
            return self._handle_vote_request(message, now)
        actions: list[ReplicaAction] = []
        granted_pre_vote = (
            kind == "vote_response"
            and message.vote_response.pre_vote
            and message.vote_response.granted
        )
        if message.epoch > self.epoch and not granted_pre_vote:
            actions.extend(self._become_follower(message.epoch, "", now))
        if kind == "vote_response":
            actions.extend(self._handle_vote_response(message, now))
        elif kind == "append_request":
            actions.extend(self._handle_append_request(message, now))
        elif kind == "append_response":
            actions.extend(self._handle_append_response(message, now))
        elif kind == "campaign_now" and message.epoch == self.epoch and self._may_campaign():
            actions.extend(self._start_election(now, transfer=True))
        return actions

    def snapshot_sent(self, target: str, index: int, now: float) -> list[ReplicaAction]:
        """Record that ``target`` holds the rows as of ``index`` (0: the transfer failed)."""
        progress = self._progress.get(target)
        if progress is None:
            return []
        progress.snapshot_running = False
        if index == 0:
            return []
        progress.next_index = max(progress.next_index, index + 1)
        progress.match_index = max(progress.match_index, index)
        progress.in_flight = False
        return self._replicate(target, now)

    def snapshot_installed(
        self, index: int, epoch: int, replica_set: ReplicaSet
    ) -> list[ReplicaAction]:
        """Replace log and base with an installed snapshot."""
        self.log = []
        self._log_bytes = 0
        self.base_index = index
        self.base_epoch = epoch
        self.base_set = replica_set
        self._replica_sets = []
        self.commit_index = index
        self._persisted_index = index
        self.installing = False
        return []

    # ---- elections ----

    def _reset_election(self, now: float) -> None:
        self._election_due_at = (
            now + MIN_ELECTION_TIMEOUT_S + ELECTION_JITTER_S * self.random.random()
        )

    def _may_campaign(self) -> bool:
        return self.identity in self.replica_set.voters and not self.installing

    def _start_pre_vote(self, now: float) -> list[ReplicaAction]:
        self._reset_election(now)
        if not self._may_campaign():
            return []
        self.role = Role.PRE_CANDIDATE
        self._previous_leader = self.leader or self._previous_leader
        self.leader = ""
        self._votes = {self.identity}
        if self._has_majority(self._votes):
            return self._start_election(now)
        return self._request_votes(self.epoch + 1, True, now)

    def _start_election(self, now: float, transfer: bool = False) -> list[ReplicaAction]:
        self.role = Role.CANDIDATE
        self.epoch += 1
        self.voted_for = self.identity
        self._votes = {self.identity}
        self._reset_election(now)
        actions: list[ReplicaAction] = [self._persist()]
        if self._has_majority(self._votes):
            return actions + self._become_leader(now)
        return actions + self._request_votes(self.epoch, False, now, transfer)

    def _request_votes(
        self, epoch: int, pre_vote: bool, now: float, transfer: bool = False
    ) -> list[ReplicaAction]:
        request = VoteRequest(
            last_index=self.last_index,
            last_epoch=self.last_epoch,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        self._votes_requested_at = now
        # The vote for this replica itself must be on disk before the request is sent.
        return [
            Send(self._message(peer, epoch, vote_request=request), after_persist=not pre_vote)
            for peer in self.replica_set.voters
            if peer != self.identity and peer not in self._votes
        ]

    def _handle_vote_request(self, message: ReplicaMessage, now: float) -> list[ReplicaAction]:
        request = message.vote_request
        # A live leader's lease depends on this refusal (Raft section 6, disruptive servers).
        # A leader that transfers its leadership has already given up its lease.
        recent = now < self._last_leader_contact_at + MIN_ELECTION_TIMEOUT_S
        sticky = self.role is Role.LEADER or (recent and not request.transfer)
        up_to_date = (request.last_epoch, request.last_index) >= (self.last_epoch, self.last_index)
        if sticky or message.epoch < self.epoch:
            return [self._vote_response(message.sender, self.epoch, False, request.pre_vote)]
        if request.pre_vote:
            granted = up_to_date and message.epoch > self.epoch and not self._wins_tie(message)
            epoch = message.epoch if granted else self.epoch
            return [self._vote_response(message.sender, epoch, granted, True)]
        actions: list[ReplicaAction] = []
        if message.epoch > self.epoch:
            actions.extend(self._become_follower(message.epoch, "", now))
        granted = up_to_date and self.voted_for in ("", message.sender)
        if granted:
            self.voted_for = message.sender
            self._reset_election(now)
            actions.append(self._persist())
        actions.append(self._vote_response(message.sender, self.epoch, granted, False))
        return actions

    def _wins_tie(self, message: ReplicaMessage) -> bool:
        """Whether this replica wins over another candidate with an equal log.

        Without a winner both would vote for themselves and wait for another election timeout.
        """
        request = message.vote_request
        equal = (request.last_epoch, request.last_index) == (self.last_epoch, self.last_index)
        standing = self.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
        return standing and equal and self.identity < message.sender

    def _vote_response(self, target: str, epoch: int, granted: bool, pre_vote: bool) -> Send:
        response = VoteResponse(granted=granted, pre_vote=pre_vote)
        return Send(self._message(target, epoch, vote_response=response), after_persist=True)

    def _handle_vote_response(self, message: ReplicaMessage, now: float) -> list[ReplicaAction]:
        response = message.vote_response
        wanted = Role.PRE_CANDIDATE if response.pre_vote else Role.CANDIDATE
        expected_epoch = self.epoch + 1 if response.pre_vote else self.epoch
        if self.role is not wanted or not response.granted or message.epoch != expected_epoch:
            return []
        self._votes.add(message.sender)
        if not self._has_majority(self._votes):
            return []
        return self._start_election(now) if response.pre_vote else self._become_leader(now)

    def _has_majority(self, identities: set[str]) -> bool:
        voters = self.replica_set.voters
        return len(identities.intersection(voters)) > len(voters) // 2

    def _become_follower(self, epoch: int, leader: str, now: float) -> list[ReplicaAction]:
        actions: list[ReplicaAction] = []
        if self.role is Role.LEADER:
            actions.append(RoleChanged(Role.FOLLOWER))
        if epoch > self.epoch:
            self.epoch = epoch
            self.voted_for = ""
            actions.append(self._persist())
        self.role = Role.FOLLOWER
        self.leader = leader
        if leader:
            self._previous_leader = ""
        self._reset_election(now)
        return actions

    def _become_leader(self, now: float) -> list[ReplicaAction]:
        self.role = Role.LEADER
        self.leader = self.identity
        self._round_sent_at = {}
        self._policy.reset()
        self._progress = {
            # A majority has lost contact with the previous leader for an election timeout, so
            # that leader is dropped from the in-sync set without a further wait.
            peer: Progress(
                next_index=self.last_index + 1,
                last_contact_at=now - 2 * IN_SYNC_TIMEOUT_S
                if peer == self._previous_leader
                else now,
            )
            for peer in self.replica_set.voters
            if peer != self.identity
        }
        self._epoch_start_index = self.last_index + 1
        noop = Command(noop=Noop()).SerializeToString()
        entry = LogEntry(index=self._epoch_start_index, epoch=self.epoch, command=noop)
        actions: list[ReplicaAction] = [RoleChanged(Role.LEADER), *self._append_entries([entry])]
        return actions + self._replicate_all(now)

    def recover_as_sole_voter(self, now: float) -> list[ReplicaAction]:
        """Continue as the only voter after an operator declared the other disks lost.

        The repair then adds spares. This method can't tell whether the replica was in sync when
        the disks were lost; the caller checks that as far as possible
        (docs/operations/failures.md).
        """
        self.epoch += 1
        self.voted_for = self.identity
        sole_voter_set = ReplicaSet(voters=[self.identity], in_sync=[self.identity])
        command = Command(replica_set=sole_voter_set).SerializeToString()
        entry = LogEntry(index=self.last_index + 1, epoch=self.epoch, command=command)
        actions = self._append_entries([entry])
        return actions + self._become_leader(now)

    def step_down(self, now: float) -> list[ReplicaAction]:
        """Give up leadership for a planned stop and ask the most advanced peer to campaign."""
        if self.role is not Role.LEADER:
            return []
        successors = [peer for peer in self.replica_set.in_sync if peer in self._progress]
        actions = self._become_follower(self.epoch, "", now)
        self._election_due_at = now + 10 * MIN_ELECTION_TIMEOUT_S
        if successors:
            successor = max(successors, key=lambda peer: self._progress[peer].match_index)
            actions.append(Send(self._message(successor, self.epoch, campaign_now=CampaignNow())))
        return actions

    # ---- log ----

    def _append_entries(self, entries: list[LogEntry]) -> list[ReplicaAction]:
        self._extend_log(entries)
        return [self._persist(tuple(entries))]

    def _extend_log(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            self.log.append(entry)
            self._log_bytes += len(entry.command)
            self._record_replica_set(entry)

    def _record_replica_set(self, entry: LogEntry) -> None:
        # A replica set is small: parsing large commands here would double their CPU time.
        if len(entry.command) > 4096:
            return
        command = Command.FromString(entry.command)
        if command.WhichOneof("body") == "replica_set":
            self._replica_sets.append((entry.index, command.replica_set))

    def _rebuild_sets(self) -> None:
        self._replica_sets = []
        for entry in self.log:
            self._record_replica_set(entry)

    def _truncate_from(self, index: int) -> None:
        del self.log[index - self.base_index - 1 :]
        self._persisted_index = min(self._persisted_index, index - 1)
        self._log_bytes = sum(len(entry.command) for entry in self.log)
        while self._replica_sets and self._replica_sets[-1][0] >= index:
            self._replica_sets.pop()

    def _epoch_at(self, index: int) -> int | None:
        if index == self.base_index:
            return self.base_epoch
        entry = self.entry(index)
        return entry.epoch if entry is not None else None

    def _persist(self, entries: tuple[LogEntry, ...] = ()) -> Persist:
        return Persist(HardState(self.epoch, self.voted_for), entries)

    # ---- following ----

    def _handle_append_request(self, message: ReplicaMessage, now: float) -> list[ReplicaAction]:
        request = message.append_request
        if message.epoch < self.epoch:
            return [self._append_response(message.sender, False, self.last_index, request.round)]
        actions: list[ReplicaAction] = []
        if self.role is not Role.FOLLOWER or self.leader != message.sender:
            actions.extend(self._become_follower(message.epoch, message.sender, now))
        self._last_leader_contact_at = now
        self._reset_election(now)
        if self.installing:
            # Answer nevertheless: a leader without answers steps down, and the snapshot restarts.
            actions.append(self._append_response(message.sender, False, 0, request.round))
            return actions
        previous_epoch = self._epoch_at(request.previous_index)
        if request.previous_index < self.base_index:
            # Entries up to the base are committed, so they match any leader's log.
            match = self.base_index
            entries = [entry for entry in request.entries if entry.index > match]
            if not entries or entries[0].index != match + 1:
                actions.append(self._append_response(message.sender, True, match, request.round))
                return actions
        elif previous_epoch != request.previous_epoch:
            hint = min(request.previous_index - 1, self.last_index)
            actions.append(self._append_response(message.sender, False, hint, request.round))
            return actions
        else:
            entries = list(request.entries)
            match = request.previous_index
        new = self._skip_known(entries)
        if new:
            if new[0].index <= self.last_index:
                self._truncate_from(new[0].index)
            self._extend_log(new)
            actions.append(self._persist(tuple(new)))
        if entries:
            match = entries[-1].index
        actions.append(self._append_response(message.sender, True, match, request.round))
        actions.extend(self._commit_to(min(request.commit_index, match)))
        return actions

    def _skip_known(self, entries: Sequence[LogEntry]) -> list[LogEntry]:
        for position, entry in enumerate(entries):
            if self._epoch_at(entry.index) != entry.epoch:
                return list(entries[position:])
        return []

    def _append_response(self, target: str, accepted: bool, match: int, round_: int) -> Send:
        response = AppendResponse(accepted=accepted, match_index=match, round=round_)
        message = self._message(target, self.epoch, append_response=response)
        return Send(message, after_persist=True)

    def _commit_to(self, index: int) -> list[ReplicaAction]:
        if index <= self.commit_index:
            return []
        first = self.commit_index + 1
        start = first - self.base_index - 1
        entries = tuple(self.log[start : index - self.base_index])
        self.commit_index = index
        return [Apply(entries), *self._compact()]

    def _compact(self) -> list[ReplicaAction]:
        if len(self.log) <= self.max_log_entries and self._log_bytes <= MAX_LOG_BYTES:
            return []
        keep_from = self.commit_index
        if self.role is Role.LEADER:
            members = [self._progress[p] for p in self.replica_set.in_sync if p in self._progress]
            keep_from = min([keep_from, *(progress.match_index for progress in members)])
        drop = (keep_from - self.base_index) // 2
        if drop <= 0:
            return []
        index = self.base_index + drop
        self.base_epoch = self.log[drop - 1].epoch
        while self._replica_sets and self._replica_sets[0][0] <= index:
            self.base_set = self._replica_sets.pop(0)[1]
        self._log_bytes -= sum(len(entry.command) for entry in self.log[:drop])
        del self.log[:drop]
        self.base_index = index
        return [CompactLog(index)]

    # ---- leading ----

    def _leader_tick(self, now: float) -> list[ReplicaAction]:
        if self._lost_quorum(now):
            return self._become_follower(self.epoch, "", now)
        actions = self._apply_policy(now)
        if now - self._last_heartbeat_at >= HEARTBEAT_INTERVAL_S:
            actions.extend(self._replicate_all(now, heartbeat=True))
        return actions

    def _lost_quorum(self, now: float) -> bool:
        voters = self.replica_set.voters
        in_contact = {
            peer
            for peer, progress in self._progress.items()
            if now - progress.last_contact_at < 2 * MIN_ELECTION_TIMEOUT_S
        }
        return not self._has_majority(in_contact | {self.identity}) and len(voters) > 1

    def _last_quorum_contact_at(self) -> float:
        """Return the send time of the latest round that a majority has acknowledged."""
        voters = self.replica_set.voters
        needed = len(voters) // 2 + 1 - (1 if self.identity in voters else 0)
        if needed == 0:
            return float("inf")
        times = sorted(
            (self._progress[p].acknowledged_round_sent_at for p in voters if p in self._progress),
            reverse=True,
        )
        return times[needed - 1] if len(times) >= needed else -1.0

    def _replicate_all(self, now: float, heartbeat: bool = False) -> list[ReplicaAction]:
        self._round += 1
        self._round_sent_at[self._round] = now
        if len(self._round_sent_at) > 512:
            self._round_sent_at.pop(next(iter(self._round_sent_at)))
        if heartbeat:
            self._last_heartbeat_at = now
        actions: list[ReplicaAction] = []
        for peer in self._progress:
            actions.extend(self._replicate(peer, now, heartbeat))
        return actions

    def _replicate(self, peer: str, now: float, heartbeat: bool = False) -> list[ReplicaAction]:
        progress = self._progress[peer]
        if progress.in_flight and now - progress.sent_at > RESEND_TIMEOUT_S:
            # Resend from the last index sent, not from the last acknowledged one: a new leader has
            # no acknowledgement yet, and would start a snapshot that empties a replica in sync.
            progress.in_flight = False
            progress.next_index = min(progress.next_index, progress.in_flight_from)
        if progress.snapshot_running:
            return [self._append(peer, self.last_index, ())] if heartbeat else []
        if peer in self.replica_set.in_sync:
            # A replica in sync holds every committed entry, so it matches at least at the base. A
            # snapshot would empty it while its acknowledgements still count.
            progress.next_index = max(progress.next_index, self.base_index + 1)
        if progress.next_index <= self.base_index:
            progress.snapshot_running = True
            return [StartSnapshot(peer)]
        entries: tuple[LogEntry, ...] = ()
        if not progress.in_flight:
            entries = self._entries_from(progress.next_index)
        if not entries and not heartbeat:
            return []
        previous = progress.next_index - 1
        if entries:
            progress.in_flight = True
            progress.sent_at = now
            progress.in_flight_from = progress.next_index
            progress.next_index = entries[-1].index + 1
        return [self._append(peer, previous, entries)]

    def _entries_from(self, index: int) -> tuple[LogEntry, ...]:
        start = index - self.base_index - 1
        entries: list[LogEntry] = []
        total = 0
        for entry in self.log[start : start + MAX_ENTRIES_PER_MESSAGE]:
            total += len(entry.command)
            if entries and total > MAX_BYTES_PER_MESSAGE:
                break
            entries.append(entry)
        return tuple(entries)

    def _append(self, peer: str, previous: int, entries: tuple[LogEntry, ...]) -> Send:
        request = AppendRequest(
            previous_index=previous,
            previous_epoch=self._epoch_at(previous) or 0,
            entries=entries,
            commit_index=self.commit_index,
            round=self._round,
        )
        # The leader writes its own copy while the followers write theirs (Raft thesis 10.2.1).
        return Send(self._message(peer, self.epoch, append_request=request))

    def _handle_append_response(self, message: ReplicaMessage, now: float) -> list[ReplicaAction]:
        progress = self._progress.get(message.sender)
        if self.role is not Role.LEADER or message.epoch != self.epoch or progress is None:
            return []
        response = message.append_response
        progress.last_contact_at = now
        sent_at = self._round_sent_at.get(response.round, -1.0)
        progress.acknowledged_round_sent_at = max(progress.acknowledged_round_sent_at, sent_at)
        if not response.accepted:
            progress.in_flight = False
            progress.next_index = max(progress.match_index + 1, response.match_index + 1)
            return self._replicate(message.sender, now)
        progress.match_index = max(progress.match_index, response.match_index)
        if progress.match_index + 1 >= progress.next_index:
            progress.in_flight = False
            progress.next_index = progress.match_index + 1
        actions = self._advance_commit(now)
        actions.extend(self._admit_to_in_sync(message.sender, now))
        actions.extend(self._replicate(message.sender, now))
        return actions

    def _advance_commit(self, now: float) -> list[ReplicaAction]:
        index = self._committable_index()
        if index <= self.commit_index or self._epoch_at(index) != self.epoch:
            return []
        actions = self._commit_to(index)
        if self.identity not in self.replica_set.voters and index >= self.replica_set_index:
            actions.extend(self._become_follower(self.epoch, "", now))
        return actions

    def _committable_index(self) -> int:
        replica_set = self.replica_set
        matches = {peer: progress.match_index for peer, progress in self._progress.items()}
        matches[self.identity] = self._persisted_index
        in_sync = [matches.get(peer, 0) for peer in replica_set.in_sync]
        if len(in_sync) < min(MIN_COPIES, len(replica_set.voters)):
            return 0
        by_voter = sorted((matches.get(peer, 0) for peer in replica_set.voters), reverse=True)
        majority_match = by_voter[len(by_voter) // 2]
        return min([majority_match, *in_sync])

    # ---- in-sync set and repair ----

    def _is_set_settled(self) -> bool:
        """Whether the newest replica set and an entry of this epoch are committed."""
        settled = self.commit_index >= self.replica_set_index
        return settled and self.commit_index >= self._epoch_start_index

    def _change_set(self, wanted: ReplicaSet | None, now: float) -> list[ReplicaAction]:
        if wanted is None:
            return []
        command = Command(replica_set=wanted)
        _, actions = self.propose([command.SerializeToString()], now)
        return actions

    def _apply_policy(self, now: float) -> list[ReplicaAction]:
        """Change the replica set or start a learner, as the policy decides."""
        decision = self._policy.decide(self._view(), now)
        for peer in decision.dropped_peers:
            self._progress.pop(peer, None)
        if decision.learner is not None:
            self._progress[decision.learner] = Progress(self.last_index + 1, last_contact_at=now)
            return self._replicate(decision.learner, now, heartbeat=True)
        return self._change_set(decision.next_set, now)

    def _admit_to_in_sync(self, peer: str, now: float) -> list[ReplicaAction]:
        return self._change_set(self._policy.admit(self._view(), peer), now)

    def _view(self) -> LeaderView:
        return LeaderView(
            self.replica_set, self._progress, self.commit_index, self._is_set_settled()
        )

    def _message(
        self,
        target: str,
        epoch: int,
        vote_request: VoteRequest | None = None,
        vote_response: VoteResponse | None = None,
        append_request: AppendRequest | None = None,
        append_response: AppendResponse | None = None,
        campaign_now: CampaignNow | None = None,
    ) -> ReplicaMessage:
        return ReplicaMessage(
            shard=self.shard,
            sender=self.identity,
            target=target,
            epoch=epoch,
            vote_request=vote_request,
            vote_response=vote_response,
            append_request=append_request,
            append_response=append_response,
            campaign_now=campaign_now,
        )
