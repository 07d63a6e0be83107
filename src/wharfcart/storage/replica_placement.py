"""Replica placement core: which disks should hold a job group, and which of them should lead it.

A group prefers the zones whose back ends' slots it grants: its leader serves the gateways there,
and each write waits for several replicas. The replicas are also distributed over zones so that a
tolerated number of zone failures never destroys every copy of a write.

Pure: no sockets, clock, files.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from wharfcart.cluster.topology import Distance, Topology


def _any_disk(_identity: str) -> bool:
    return True


@dataclass(frozen=True)
class ReplicaPlacement:
    """Placement rules for the replicas of one group, given the known disks of the fleet.

    Attributes:
        write_quorum: replicas that must have a write before it is committed.
        replication_factor: replicas of the group if there are enough disks.
        zones_by_identity: zone of each storage node, by its disk's identity.
        topology: regions of the zones.
        preferred_zones: zones whose back ends' slots the group grants; empty for all zones.
        tolerated_zone_failures: zones that may fail at the same time.
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
        """Maximum number of replicas in one zone.

        A committed write has ``write_quorum`` copies, so one is left if fewer copies are lost.
        """
        if self.tolerated_zone_failures == 0:
            return self.replication_factor
        return max(1, (self.write_quorum - 1) // self.tolerated_zone_failures)

    def zone_of(self, identity: str) -> str:
        """Return the zone of a disk, or '' if unknown."""
        return self.zones_by_identity.get(identity, "")

    def distance_to(self, identity: str) -> Distance:
        """Return the distance from a disk to the nearest preferred zone."""
        if not self.preferred_zones:
            return Distance.SAME_ZONE
        zone = self.zone_of(identity)
        return min(self.topology.distance(zone, preferred) for preferred in self.preferred_zones)

    def in_other_region(self, identity: str) -> bool:
        """Whether a disk is outside the group's region."""
        return self.distance_to(identity) == Distance.OTHER_REGION

    def rank_leaders(self, members: Iterable[str]) -> list[str]:
        """Return the members in order of leadership preference, the nearest first."""
        return sorted(members, key=lambda identity: (self.distance_to(identity), identity))

    def choose_additions(
        self,
        kept: Iterable[str],
        spares: Iterable[str],
        group_counts: Mapping[str, int] | None = None,
    ) -> list[str]:
        """Return the spares that should join the kept members, the best first.

        A spare that would exceed the limit of its zone does not join a set that has a write quorum
        and tolerates zone failures: after a zone failure a smaller set still has every committed
        write, while a set with an overfilled zone may not.

        Args:
            kept: members that stay.
            spares: disks that could join.
            group_counts: number of groups already on each disk, when planning several groups.
        """
        in_zone = Counter(map(self.zone_of, kept))
        size = in_zone.total()
        candidates = {identity for identity in spares if self.may_hold(identity)}
        chosen: list[str] = []
        while candidates and size + len(chosen) < self.replication_factor:
            best = min(
                candidates, key=lambda identity: self._rank(identity, in_zone, group_counts or {})
            )
            zone = self.zone_of(best)
            is_sufficient = size + len(
                chosen
            ) >= self.write_quorum and self._tolerates_zone_failures(in_zone)
            if is_sufficient and in_zone[zone] >= self.max_per_zone:
                break
            in_zone[zone] += 1
            candidates.remove(best)
            chosen.append(best)
        return chosen

    def repaired_members(
        self, alive: Sequence[str], dead: Sequence[str], spares: Iterable[str]
    ) -> frozenset[str]:
        """Return the members after a repair: live members, added spares, dead members still kept.

        Each added spare replaces one dead member, from the zone with the most members first.
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
        """Return a member and the spare that should replace it, or None if no swap is better.

        Args:
            members: current members, all of them alive.
            spares: disks that could join.
            keep: the leader, which is not replaced.
        """
        swaps = [
            (leaving, joining)
            for leaving in members
            if leaving != keep
            for joining in spares
            if self.may_hold(joining)
        ]
        violations_by_swap = {
            swap: self._violations([*(set(members) - {swap[0]}), swap[1]]) for swap in swaps
        }
        best = min(
            violations_by_swap,
            key=lambda swap: (violations_by_swap[swap], swap),
            default=None,
        )
        if best is None or violations_by_swap[best] >= self._violations(members):
            return None
        return best

    def is_satisfied_by(self, members: Collection[str]) -> bool:
        """Whether all members may hold the group, are in its region, and tolerate zone failures."""
        if any(
            self.in_other_region(identity) or not self.may_hold(identity) for identity in members
        ):
            return False
        return self._tolerates_zone_failures(Counter(map(self.zone_of, members)))

    def shortfalls(self, members: Collection[str]) -> list[str]:
        """Return the reasons why the members don't tolerate the configured failures."""
        reasons = []
        if len(members) < self.replication_factor:
            reasons.append(f"{len(members)} replicas of {self.replication_factor}")
        in_zone = Counter(map(self.zone_of, members))
        if not self._tolerates_zone_failures(in_zone):
            held = self._max_in_failed_zones(in_zone)
            reasons.append(
                f"{self.tolerated_zone_failures} zones hold {held} replicas of {len(members)}"
            )
        excluded = sum(not self.may_hold(identity) for identity in members)
        if excluded:
            reasons.append(f"{excluded} replicas are on disks that may not hold the group")
        return reasons

    def _max_in_failed_zones(self, in_zone: Counter[str]) -> int:
        return sum(count for _, count in in_zone.most_common(self.tolerated_zone_failures))

    def _tolerates_zone_failures(self, in_zone: Counter[str]) -> bool:
        return self._max_in_failed_zones(in_zone) < self.write_quorum

    def _rank(
        self, identity: str, in_zone: Mapping[str, int], group_counts: Mapping[str, int]
    ) -> tuple[bool, bool, int, int, Distance, str]:
        """Return the sort key of a disk that could join; the lowest is the best."""
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
        """Count members that may not hold the group, exceed a zone limit, are in other regions."""
        members = list(members)
        in_zone = Counter(map(self.zone_of, members))
        return (
            sum(not self.may_hold(identity) for identity in members),
            sum(max(0, count - self.max_per_zone) for count in in_zone.values()),
            sum(map(self.in_other_region, members)),
        )
