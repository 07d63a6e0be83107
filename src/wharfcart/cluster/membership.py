"""Membership core: failure detection and dissemination of membership changes.

Implements SWIM (Das, Gupta, Motivala 2002) with the suspicion subprotocol and incarnation numbers,
and the local health multiplier of Lifeguard (Dadgar, Phillips, Currey 2017): a node that misses
acknowledgements slows its own probes before it suspects others. Rumours are piggybacked on probes,
a bounded number on each, so that the bytes a node sends do not grow with the number of nodes.

This module does no I/O; callers pass in the time in seconds and a seeded random source, and execute
the returned actions.
"""

from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from math import ceil, log10
from typing import Protocol

import xxhash

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    ACK,
    ALIVE,
    DEAD,
    DIGEST,
    JOIN,
    LEFT,
    MEMBERS,
    PING,
    PING_REQUEST,
    SUSPECT,
    Gossip,
    Member,
)

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.3
SUSPICION_TIMEOUT_S = 2.0
PUSH_ROUNDS = 2
PUSH_INTERVAL_S = 0.3
PUSH_DELAY_S = 0.1  # changes within this time are pushed together
MIN_SYNC_INTERVAL_S = 5.0  # between two requests for a full member list
PAUSE_THRESHOLD_S = 1.0  # a longer gap between ticks means that this process was paused
INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 12
RETRANSMIT_FACTOR = 4
MAX_LOCAL_HEALTH = 8
DEAD_RETENTION_S = 7200.0  # longer than a partition between regions, which may last an hour
RECONNECT_INTERVAL_S = 5.0  # between two probes of dead members
# This many suspects mean a zone or link failure, in which refutations take longer: they double the
# suspicion timeout.
MASS_SUSPICION_COUNT = 20
JOIN_RETRY_INTERVAL_S = 0.5
DIGEST_FANOUT = 3
RING_SIZE = 2**64
MEMBERS_PER_DATAGRAM = 16


class ShufflingRandomSource(Protocol):
    """Subset of :class:`random.Random` that the core uses."""

    def random(self) -> float:
        """Return a float in [0, 1)."""
        ...

    def shuffle(self, x: list[str], /) -> None:
        """Shuffle a list in place."""
        ...


@dataclass(frozen=True)
class SendGossip:
    """Action: send one datagram."""

    address: Address
    message: Gossip


@dataclass(frozen=True)
class MemberChanged:
    """Action: notify the node that a member's state changed."""

    member: Member


@dataclass(frozen=True)
class PeerRevisions:
    """Action: notify the node of the revisions that a peer reported.

    Attributes:
        node_id: id of the peer.
        configuration_revision: revision of its configuration.
        placement_version: digest of its shard placement.
        directory_revision: revision of its directory.
        directory_digest: digest of its directory; 0 from builds that announce none.
    """

    node_id: str
    configuration_revision: int
    placement_version: int
    directory_revision: int
    directory_digest: int


MembershipAction = SendGossip | MemberChanged | PeerRevisions


class _ProbeStage(Enum):
    DIRECT = "direct"
    INDIRECT = "indirect"


@dataclass
class _Probe:
    target: str
    sequence: int
    deadline: float
    period_end: float
    stage: _ProbeStage = _ProbeStage.DIRECT


@dataclass
class _Rumour:
    member: Member
    sent: int = 0


@dataclass
class _Relay:
    requester: Address
    sequence: int


@dataclass
class Membership:
    """One node's view of all nodes.

    Call :meth:`start` once, then :meth:`receive` for each datagram and :meth:`tick` at or after
    :meth:`next_deadline`.

    Attributes:
        local_member: this node's member record.
        seeds: addresses of nodes to join through.
        random: random source.
        configuration_revision: configuration revision that this node announces.
        placement_version: placement digest that this node announces.
        directory_revision: directory revision that this node announces.
        directory_digest: directory digest that this node announces.
        members: all other known members by node id, including dead ones.
    """

    local_member: Member
    seeds: list[Address]
    random: ShufflingRandomSource
    configuration_revision: int = 0
    placement_version: int = 0
    directory_revision: int = 0
    directory_digest: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    _suspected_until: dict[str, float] = field(default_factory=dict)
    _dead_since: dict[str, float] = field(default_factory=dict)
    _rumours: dict[str, _Rumour] = field(default_factory=dict)
    _probe: _Probe | None = None
    _probe_order: list[str] = field(default_factory=list)
    _relays: dict[int, _Relay] = field(default_factory=dict)
    _sequence: int = 0
    _local_health: int = 0
    _probe_count: int = 0
    _next_probe_at: float = 0.0
    _next_join_at: float = 0.0
    _next_push_at: float | None = None
    _push_rounds_left: int = 0
    _last_sync_at: float = 0.0
    _last_change_at: float = 0.0
    _next_reconnect_at: float = 0.0
    _last_tick_at: float | None = None
    _digest: int = 0

    # ---- views ----

    def live(self) -> list[Member]:
        """Return members that may receive work: alive or suspected, including this node."""
        alive = [m for m in self.members.values() if m.state in (ALIVE, SUSPECT)]
        return [*alive, self.local_member] if self.local_member.state == ALIVE else alive

    def find(self, node_id: str) -> Member | None:
        """Return the member with a node id; None if it is unknown."""
        if node_id == self.local_member.node_id:
            return self.local_member
        return self.members.get(node_id)

    def next_deadline(self, now: float) -> float:
        """Return the latest time at which :meth:`tick` must be called again."""
        candidates = [self._next_probe_at]
        if self._probe is not None:
            candidates = [self._probe.deadline]
        if not self.members:
            candidates.append(self._next_join_at)
        if self._next_push_at is not None:
            candidates.append(self._next_push_at)
        candidates.extend(self._suspected_until.values())
        return max(now, min(candidates))

    # ---- inputs ----

    def start(self, now: float) -> list[MembershipAction]:
        """Request the member list from the seeds."""
        self._next_probe_at = now + PROBE_INTERVAL_S * self.random.random()
        return self._join(now)

    def leave(self, now: float) -> list[MembershipAction]:
        """Announce that this node leaves to a few peers; probes disseminate it further."""
        self.local_member.state = LEFT
        self.local_member.incarnation += 1
        self._add_rumour(self.local_member)
        peers = self._random_peers(DIGEST_FANOUT * 2, excluded_id="")
        return [self._send(peer, PING) for peer in peers]

    def announce_revision(self) -> list[MembershipAction]:
        """Push this node's revisions to a few random peers after one has changed."""
        return [self._send(peer, DIGEST) for peer in self._random_peers(DIGEST_FANOUT, "")]

    def receive(self, message: Gossip, sender: Address, now: float) -> list[MembershipAction]:
        """Handle one datagram."""
        actions: list[MembershipAction] = []
        for update in message.updates:
            # Other nodes know the contents of a full list already, so it is not propagated.
            actions.extend(self._merge(update, now, propagate=message.kind != MEMBERS))
        if message.sender != self.local_member.node_id:
            actions.append(
                PeerRevisions(
                    message.sender,
                    message.configuration_revision,
                    message.placement_version,
                    message.directory_revision,
                    message.directory_digest,
                )
            )
        actions.extend(self._request_sync(message, sender, now))
        if message.kind == PING:
            actions.append(self._acknowledge(message, sender))
        elif message.kind == PING_REQUEST:
            actions.append(self._relay_probe(message, sender))
        elif message.kind == ACK:
            actions.extend(self._handle_ack(message, now))
        elif message.kind == JOIN:
            actions.extend(SendGossip(sender, part) for part in self._member_list_messages())
        return actions

    def tick(self, now: float) -> list[MembershipAction]:
        """Run due timers: probes, suspicion timeouts, joins, and removal of dead members."""
        actions: list[MembershipAction] = []
        if self._last_tick_at is not None and now - self._last_tick_at > PAUSE_THRESHOLD_S:
            # The acknowledgement may have arrived during the pause: suspect nobody.
            self._probe = None
        self._last_tick_at = now
        if not self.members and now >= self._next_join_at:
            actions.extend(self._join(now))
        if self._probe is not None and now >= self._probe.deadline:
            actions.extend(self._probe_timed_out(now))
        if self._probe is None and now >= self._next_probe_at:
            actions.extend(self._start_probe(now))
        for node_id, until in list(self._suspected_until.items()):
            if now >= until:
                actions.extend(self._declare_dead(node_id, now))
        self._forget_dead(now)
        if now >= self._next_reconnect_at:
            actions.extend(self._reconnect(now))
        if self._next_push_at is not None and now >= self._next_push_at:
            actions.extend(self._push(now))
        return actions

    # ---- full lists ----

    def _request_sync(self, message: Gossip, sender: Address, now: float) -> list[MembershipAction]:
        """Request a peer's full member list if it differs from ours and no change came recently.

        A difference without recent changes means that rumours were lost. Agreement with one peer
        proves nothing, because both may lack the same member.
        """
        if message.members_digest in (0, self.members_digest):
            return []
        if now - max(self._last_sync_at, self._last_change_at) < MIN_SYNC_INTERVAL_S:
            return []
        self._last_sync_at = now
        return [SendGossip(sender, self._join_message())]

    def _join_message(self) -> Gossip:
        """Return a request for a full list; it contains this node, which others may lack."""
        message = self._message(JOIN, 0, None)
        message.updates.append(self.local_member)
        return message

    def _put_member(self, member: Member) -> None:
        self._remove_from_digest(member.node_id)
        self.members[member.node_id] = member
        self._digest ^= _member_hash(member)

    def _remove_from_digest(self, node_id: str) -> None:
        known = self.members.get(node_id)
        if known is not None:
            self._digest ^= _member_hash(known)

    @property
    def members_digest(self) -> int:
        """Hash of the member list, including this node."""
        return self._digest ^ _member_hash(self.local_member)

    # ---- probing ----

    def _start_probe(self, now: float) -> list[MembershipAction]:
        slowdown = 1 + self._local_health
        self._next_probe_at = now + PROBE_INTERVAL_S * slowdown
        target = self._next_target()
        if target is None:
            return []
        self._sequence += 1
        self._probe = _Probe(
            target, self._sequence, now + PROBE_TIMEOUT_S * slowdown, self._next_probe_at
        )
        return [self._send(self.members[target], PING, self._sequence)]

    def _next_target(self) -> str | None:
        # Random probes alone leave a node unprobed for five seconds with a probability of 1 in 150,
        # so that a rack failure is detected late. Every second probe therefore goes to the
        # successor on a hash ring.
        self._probe_count += 1
        if self._probe_count % 2 == 0:
            return self._ring_successor()
        return self._shuffled_target()

    def _ring_successor(self) -> str | None:
        own_position = _ring_position(self.local_member.node_id)
        # Skip suspects: when a rack fails, the next successor may be dead as well.
        alive_ids = [m.node_id for m in self.members.values() if m.state == ALIVE]
        return min(
            alive_ids,
            key=lambda name: (_ring_position(name) - own_position) % RING_SIZE,
            default=None,
        )

    def _shuffled_target(self) -> str | None:
        while True:
            if not self._probe_order:
                self._probe_order = [
                    m.node_id for m in self.members.values() if m.state in (ALIVE, SUSPECT)
                ]
                self.random.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            target = self._probe_order.pop()
            member = self.members.get(target)
            if member is not None and member.state in (ALIVE, SUSPECT):
                return target

    def _probe_timed_out(self, now: float) -> list[MembershipAction]:
        probe = self._probe
        assert probe is not None
        member = self.members.get(probe.target)
        if member is None:
            self._probe = None
            return []
        if probe.stage is _ProbeStage.DIRECT:
            probe.stage = _ProbeStage.INDIRECT
            probe.deadline = probe.period_end
            helpers = self._indirect_probers(member)
            return [self._send(h, PING_REQUEST, probe.sequence, member) for h in helpers]
        self._probe = None
        self._local_health = min(MAX_LOCAL_HEALTH, self._local_health + 1)
        return self._suspect(probe.target, now)

    def _indirect_probers(self, target: Member) -> list[Member]:
        """Choose members for indirect probes, preferring the target's zone.

        These still reach the target if a link between zones has failed.
        """
        peers = self._random_peers(len(self.members), target.node_id)
        peers.sort(key=lambda peer: peer.zone != target.zone)
        same_zone_first = peers[: INDIRECT_PROBES - 1]
        return same_zone_first + self._random_peers(1, target.node_id)

    def _reconnect(self, now: float) -> list[MembershipAction]:
        """Probe one dead member; if it was only partitioned, it responds and refutes its death."""
        self._next_reconnect_at = now + RECONNECT_INTERVAL_S * (0.5 + self.random.random())
        dead_ids = [m.node_id for m in self.members.values() if m.state == DEAD]
        if not dead_ids:
            return []
        target = dead_ids[int(self.random.random() * len(dead_ids))]
        return [self._send(self.members[target], PING)]

    def _handle_ack(self, message: Gossip, now: float) -> list[MembershipAction]:
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            answer = self._message(ACK, relay.sequence, None)
            return [SendGossip(relay.requester, answer)]
        if self._probe is not None and message.sequence == self._probe.sequence:
            self._probe = None
            self._local_health = max(0, self._local_health - 1)
        return []

    def _acknowledge(self, message: Gossip, sender: Address) -> SendGossip:
        answer = self._message(ACK, message.sequence, message.sender)
        return SendGossip(sender, answer)

    def _relay_probe(self, message: Gossip, sender: Address) -> SendGossip:
        self._sequence += 1
        self._relays[self._sequence] = _Relay(sender, message.sequence)
        if len(self._relays) > 64:
            self._relays.pop(next(iter(self._relays)))
        return self._send(message.target, PING, self._sequence)

    # ---- suspicion ----

    def _suspect(self, node_id: str, now: float) -> list[MembershipAction]:
        member = self.members[node_id]
        if member.state != ALIVE:
            return []
        suspected = _copy(member)
        suspected.state = SUSPECT
        actions = self._merge(suspected, now)
        # Notify the suspect at once, as only it can refute the suspicion.
        return [*actions, self._send(suspected, PING)]

    def _suspicion_timeout_s(self) -> float:
        suspect_ratio = min(2.0, len(self._suspected_until) / MASS_SUSPICION_COUNT)
        return SUSPICION_TIMEOUT_S * (1 + max(suspect_ratio, self._local_health / MAX_LOCAL_HEALTH))

    def _declare_dead(self, node_id: str, now: float) -> list[MembershipAction]:
        member = self.members.get(node_id)
        self._suspected_until.pop(node_id, None)
        if member is None or member.state != SUSPECT:
            return []
        dead = _copy(member)
        dead.state = DEAD
        return self._merge(dead, now)

    def _forget_dead(self, now: float) -> None:
        for node_id, since in list(self._dead_since.items()):
            if now - since > DEAD_RETENTION_S:
                del self._dead_since[node_id]
                self._remove_from_digest(node_id)
                self.members.pop(node_id, None)

    # ---- merging rumours ----

    def _merge(self, update: Member, now: float, propagate: bool = True) -> list[MembershipAction]:
        if update.node_id == self.local_member.node_id:
            self._refute(update, now)
            return []
        known = self.members.get(update.node_id)
        if known is not None and not _supersedes(update, known):
            return []
        if known is None and update.state in (DEAD, LEFT):
            return []
        member = _copy(update)
        self._put_member(member)
        self._last_change_at = now
        refuted = known is not None and known.state != ALIVE
        if propagate:
            self._add_rumour(member)
        if propagate and (member.state != ALIVE or refuted):
            self._schedule_push(now)
        self._suspected_until.pop(member.node_id, None)
        self._dead_since.pop(member.node_id, None)
        if member.state == SUSPECT:
            self._suspected_until[member.node_id] = now + self._suspicion_timeout_s()
        elif member.state in (DEAD, LEFT):
            self._dead_since[member.node_id] = now
        if known is not None and known.state == member.state:
            return []
        return [MemberChanged(member)]

    def _schedule_push(self, now: float) -> None:
        self._push_rounds_left = PUSH_ROUNDS
        if self._next_push_at is None:
            self._next_push_at = now + PUSH_DELAY_S

    def _push(self, now: float) -> list[MembershipAction]:
        # A single round of three messages per node misses one node in twenty, which would then not
        # receive a refutation.
        self._push_rounds_left -= 1
        self._next_push_at = now + PUSH_INTERVAL_S if self._push_rounds_left else None
        return [self._send(peer, DIGEST) for peer in self._random_peers(DIGEST_FANOUT, "")]

    def _refute(self, update: Member, now: float) -> None:
        # Override a false rumour, or a record of an earlier run, with a higher incarnation.
        is_outdated = update.incarnation > self.local_member.incarnation
        is_accused = update.state != ALIVE and update.incarnation >= self.local_member.incarnation
        if self.local_member.state == ALIVE and (is_accused or is_outdated):
            self.local_member.incarnation = update.incarnation + 1
            self._local_health = min(MAX_LOCAL_HEALTH, self._local_health + 1)
            self._add_rumour(self.local_member)
            self._schedule_push(now)

    def _add_rumour(self, member: Member) -> None:
        self._rumours[member.node_id] = _Rumour(_copy(member))

    def _select_rumours(self, receiver: str | None) -> list[Member]:
        limit = RETRANSMIT_FACTOR * ceil(log10(len(self.members) + 2))
        # Of rumours sent equally often, send alive and suspect states first: a refutation must
        # overtake the death it refutes.
        least_sent_first = sorted(
            self._rumours.values(),
            key=lambda rumour: (rumour.sent, rumour.member.state not in (ALIVE, SUSPECT)),
        )
        selected = least_sent_first[:MAX_UPDATES_PER_MESSAGE]
        for rumour in selected:
            rumour.sent += 1
            if rumour.sent >= limit:
                del self._rumours[rumour.member.node_id]
        updates = [rumour.member for rumour in selected]
        # Notify a suspected receiver first, so that it can refute (Lifeguard's buddy system).
        accused = self.members.get(receiver) if receiver else None
        if accused is not None and accused.state != ALIVE and accused not in updates:
            updates.insert(0, accused)
        return updates

    # ---- sending ----

    def _join(self, now: float) -> list[MembershipAction]:
        self._next_join_at = now + JOIN_RETRY_INTERVAL_S * (1 + self.random.random())
        message = self._join_message()
        own_address = Address(self.local_member.host, self.local_member.port)
        return [SendGossip(seed, message) for seed in self.seeds if seed != own_address]

    def _member_list_messages(self) -> list[Gossip]:
        """Return the full member list, split into messages of moderate size."""
        everyone = [self.local_member, *self.members.values()]
        parts: list[Gossip] = []
        for start in range(0, len(everyone), MEMBERS_PER_DATAGRAM):
            message = self._message(MEMBERS, 0, None)
            message.updates.extend(everyone[start : start + MEMBERS_PER_DATAGRAM])
            parts.append(message)
        return parts

    def _send(
        self, peer: Member, kind: int, sequence: int = 0, target: Member | None = None
    ) -> SendGossip:
        message = self._message(kind, sequence, peer.node_id)
        if target is not None:
            message.target.CopyFrom(target)
        return SendGossip(Address(peer.host, peer.port), message)

    def _message(self, kind: int, sequence: int, receiver: str | None) -> Gossip:
        message = Gossip(
            kind=kind,  # type: ignore[arg-type]
            sender=self.local_member.node_id,
            sequence=sequence,
            configuration_revision=self.configuration_revision,
            placement_version=self.placement_version,
            directory_revision=self.directory_revision,
            directory_digest=self.directory_digest,
            members_digest=self.members_digest,
        )
        message.updates.extend(self._select_rumours(receiver))
        if kind in (PING, DIGEST) and receiver and self._sequence % 10 == 0:
            message.updates.append(self.local_member)
        return message

    def _random_peers(self, max_count: int, excluded_id: str) -> list[Member]:
        node_ids = [
            m.node_id
            for m in self.members.values()
            if m.state in (ALIVE, SUSPECT) and m.node_id != excluded_id
        ]
        self.random.shuffle(node_ids)
        return [self.members[name] for name in node_ids[:max_count]]


def _copy(member: Member) -> Member:
    copy = Member()
    copy.CopyFrom(member)
    return copy


@lru_cache(maxsize=4096)
def _ring_position(node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(node_id.encode())


def _member_hash(member: Member) -> int:
    text = f"{member.node_id}\0{member.incarnation}\0{member.state}"
    return xxhash.xxh3_64_intdigest(text.encode())


def _supersedes(update: Member, known: Member) -> bool:
    """Whether an update overrides the known state, in the order of SWIM section 4.2.

    A higher incarnation wins; at the same incarnation the worse state wins.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state
