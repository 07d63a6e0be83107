"""Replica spread core: which disks should hold a job group, and which of them should lead it.

A group's home is the zones whose back ends' slots it grants. Its replicas are to be near them: each
write waits for some of them, and its leader answers the gateways there. And they are to be spread
over zones such that the zones that may be lost at once never hold every copy of a write.

Pure.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from wharfcart.cluster.topology import Distance, Topology


def _any_disk(_identity: str) -> bool:
    return True


@dataclass(frozen=True)
class ReplicaPlacement:
    """Where the replicas of one group should be, by what is known of the fleet now.

    Attributes:
        copies: replicas that must have a write before it counts.
        full_size: replicas that the group has if there are enough disks.
        zones_by_identity: zone of each storage node, by its disk's identity.
        topology: regions of the zones.
        home_zones: zones whose back ends' slots the group grants; none for all zones.
        zones_lost: zones that may be lost at once.
        may_hold: whether a disk may hold the group at all.
    """

    write_quorum: int
    replication_factor: int
    zones_by_identity: Mapping[str, str]
    topology: Topology = field(default_factory=Topology)
    preferred_zones: Collection[str] = ()
    tolerated_zone_failures: int = 0
    may_hold: Callable[[str], bool] = _any_disk

    @property
    def max_per_zone(self) -> int:
        """Replicas that a zone may hold at most.

        A write has ``copies`` copies, so that one is left if fewer than that are lost.
        """
        if self.tolerated_zone_failures == 0:
            return self.replication_factor
        return max(1, (self.write_quorum - 1) // self.tolerated_zone_failures)

    def zone_of(self, identity: str) -> str:
        """Return the zone of a disk; '' while that is not known."""
        return self.zones_by_identity.get(identity, "")

    def distance_to(self, identity: str) -> Distance:
        """Return how far a disk is from the group's home."""
        if not self.preferred_zones:
            return Distance.SAME_ZONE
        zone = self.zone_of(identity)
        return min(self.topology.distance(zone, home) for home in self.preferred_zones)

    def in_other_region(self, identity: str) -> bool:
        """Whether a disk is outside the group's region."""
        return self.distance_to(identity) == Distance.OTHER_REGION

    def rank_leaders(self, members: Iterable[str]) -> list[str]:
        """Return the members in the order in which they should lead, the nearest first."""
        return sorted(members, key=lambda identity: (self.distance_to(identity), identity))

    def choose_additions(
        self,
        kept: Iterable[str],
        spares: Iterable[str],
        group_counts: Mapping[str, int] | None = None,
    ) -> list[str]:
        """Return the spares that should join the kept members, the best first.

        One that would overfill its zone does not join a set that is large enough to write and
        bears the loss of zones: a group that is not full still has what counted afterwards, an
        overfilled one may not.

        Args:
            kept: members that stay.
            spares: disks that could join.
            uses: groups that a disk holds already, where several groups are planned.
        """
        in_zone = Counter(map(self.zone_of, kept))
        size = in_zone.total()
        left = {identity for identity in spares if self.may_hold(identity)}
        chosen: list[str] = []
        while left and size + len(chosen) < self.replication_factor:
            best = min(left, key=lambda identity: self._rank(identity, in_zone, group_counts or {}))
            zone = self.zone_of(best)
            enough = size + len(chosen) >= self.write_quorum and self._tolerates_zone_failures(
                in_zone
            )
            if enough and in_zone[zone] >= self.max_per_zone:
                break
            in_zone[zone] += 1
            left.remove(best)
            chosen.append(best)
        return chosen

    def repaired_members(
        self, alive: Sequence[str], dead: Sequence[str], spares: Iterable[str]
    ) -> frozenset[str]:
        """Return the members after a repair: those alive, spares, and the dead not replaced yet.

        Of the dead those leave first whose zones hold most.
        """
        added = self.choose_additions(alive, spares)
        remaining = list(dead)
        for _ in added:
            if not remaining:
                break
            in_zone = Counter(map(self.zone_of, [*alive, *added, *remaining]))
            remaining.remove(max(remaining, key=lambda identity: in_zone[self.zone_of(identity)]))
        return frozenset([*alive, *added, *remaining])

    def find_better_swap(
        self, members: Collection[str], spares: Iterable[str], keep: str
    ) -> tuple[str, str] | None:
        """Return a member and a spare that should take its place, or None where nothing is gained.

        Args:
            members: the members, all of them alive.
            spares: disks that could join.
            keep: a member that stays, the leader.
        """
        exchanges = [
            (leaving, joining)
            for leaving in members
            if leaving != keep
            for joining in spares
            if self.may_hold(joining)
        ]
        after = {
            exchange: self._violations([*(set(members) - {exchange[0]}), exchange[1]])
            for exchange in exchanges
        }
        best = min(after, key=lambda exchange: (after[exchange], exchange), default=None)
        if best is None or after[best] >= self._violations(members):
            return None
        return best

    def is_satisfied_by(self, members: Collection[str]) -> bool:
        """Whether all members are in the group's region, and such that zones may be lost."""
        if any(
            self.in_other_region(identity) or not self.may_hold(identity) for identity in members
        ):
            return False
        return self._tolerates_zone_failures(Counter(map(self.zone_of, members)))

    def shortfalls(self, members: Collection[str]) -> list[str]:
        """Return why some members can't bear what the fleet promises to bear; none if they can."""
        found = []
        if len(members) < self.replication_factor:
            found.append(f"{len(members)} replicas of {self.replication_factor}")
        in_zone = Counter(map(self.zone_of, members))
        if not self._tolerates_zone_failures(in_zone):
            held = self._max_in_failed_zones(in_zone)
            found.append(
                f"{self.tolerated_zone_failures} zones hold {held} replicas of {len(members)}"
            )
        barred = sum(not self.may_hold(identity) for identity in members)
        if barred:
            found.append(f"{barred} replicas are on disks that may not hold the group")
        return found

    def _max_in_failed_zones(self, in_zone: Counter[str]) -> int:
        return sum(count for _, count in in_zone.most_common(self.tolerated_zone_failures))

    def _tolerates_zone_failures(self, in_zone: Counter[str]) -> bool:
        return self._max_in_failed_zones(in_zone) < self.write_quorum

    def _rank(
        self, identity: str, in_zone: Mapping[str, int], group_counts: Mapping[str, int]
    ) -> tuple[bool, bool, int, int, Distance, str]:
        """Return what ranks the disks that could join, the least first."""
        count = in_zone.get(self.zone_of(identity), 0)
        distance = self.distance_to(identity)
        return (
            count >= self.max_per_zone,
            distance == Distance.OTHER_REGION,
            count,
            group_counts.get(identity, 0),
            distance,
            identity,
        )

    def _violations(self, members: Iterable[str]) -> tuple[int, int, int]:
        """Return members that may not hold the group, are too many in their zone, or are far."""
        members = list(members)
        in_zone = Counter(map(self.zone_of, members))
        return (
            sum(not self.may_hold(identity) for identity in members),
            sum(max(0, count - self.max_per_zone) for count in in_zone.values()),
            sum(map(self.in_other_region, members)),
        )
