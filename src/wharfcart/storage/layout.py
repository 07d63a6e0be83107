"""Layout core: the number of job groups of a fleet, and the back ends whose slots each one grants.

The layout is fixed at the first start of a fleet and stored in the coordination service: jobs are
distributed over the groups by a hash of their ids, so the number of groups can't change. A group
grants the slots of the back ends in its zones. A small fleet has one group; a large fleet has
several, so that no node grants all slots and the loss of one affects only a part of them.

In a fleet over several regions each region with enough storage nodes has its own groups: a slot
granted in another region adds a round trip between the regions to each request.

Pure: no sockets, clock, files.
"""

import json
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from wharfcart.cluster.topology import Distance, RegionName, Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import Residence
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.replica_placement import ReplicaPlacement

# Five replicas, which tolerate two failures, and a spare.
NODES_PER_GROUP = 6
# Bounds the sessions: each leader and gateway holds one with every group's granting node.
MAX_GROUPS = 16
NO_REGIONS = Topology()


@dataclass(frozen=True)
class Layout:
    """Job groups of a fleet.

    Attributes:
        zones_by_group: for each group, the zones whose back ends' slots it grants; several groups
            may share a zone.
        region_by_group: for each group, the region of its replicas; empty if groups belong to the
            whole fleet.
    """

    zones_by_group: tuple[tuple[str, ...], ...]
    region_by_group: tuple[RegionName, ...] = ()

    @property
    def group_count(self) -> int:
        """Number of groups."""
        return len(self.zones_by_group)

    def group_of(self, instance: BackendInstance, topology: Topology = NO_REGIONS) -> int:
        """Return the group that grants a back end's slots.

        The back ends of a zone are distributed over the groups that share the zone. Back ends of a
        zone without a group are distributed over the groups of its region, or else over all groups.
        """
        sharing = [
            group for group, zones in enumerate(self.zones_by_group) if instance.zone in zones
        ]
        if not sharing:
            region = topology.region(instance.zone)
            sharing = [
                group
                for group in range(self.group_count)
                if region is not None and region == self.region(group)
            ]
        if len(sharing) == 1:
            return sharing[0]
        sharing = sharing or list(range(self.group_count))
        return sharing[xxhash.xxh64_intdigest(instance.instance_id.encode()) % len(sharing)]

    def may_grant_in(self, group: int, residence: Residence, topology: Topology) -> bool:
        """Whether a group may grant slots of back ends in the regions of a residence.

        Back ends of a zone that no group names may belong to any group.
        """
        if not residence.is_restricted:
            return True
        named = {zone for zones in self.zones_by_group for zone in zones}
        unnamed = topology.region_by_zone.keys() - named
        return any(
            residence.allows(topology.region(zone))
            for zone in (*self.zones_by_group[group], *unnamed)
        )

    def grants_zone(self, group: int, zone: str) -> bool:
        """Whether a zone is one of a group's zones."""
        return zone in self.zones_by_group[group]

    def distance(self, group: int, zone: str, topology: Topology) -> Distance:
        """Return the distance from a zone to the nearest zone of a group."""
        zones = self.zones_by_group[group]
        return min(topology.distance(zone, own) for own in zones)

    def region(self, group: int) -> RegionName | None:
        """Return the region of a group's replicas, or None if the group has no region."""
        return self.region_by_group[group] if self.region_by_group else None

    def preferred_zones(self, group: int, topology: Topology) -> tuple[str, ...]:
        """Return the zones of a group that are in its region; its replicas should be near them."""
        zones = self.zones_by_group[group]
        region = self.region(group)
        return tuple(zone for zone in zones if region in (None, topology.region(zone)))

    def to_bytes(self) -> bytes:
        """Encode the layout as JSON."""
        body: dict[str, object] = {"zones_by_group": self.zones_by_group}
        if self.region_by_group:
            body["region_by_group"] = self.region_by_group
        return json.dumps(body).encode()


def layout_from_bytes(value: bytes) -> Layout:
    """Decode a layout; older layouts have no regions."""
    body = json.loads(value)
    return Layout(
        tuple(tuple(zones) for zones in body["zones_by_group"]),
        tuple(RegionName(region) for region in body.get("region_by_group", ())),
    )


def plan_layout(
    zones_by_identity: Mapping[str, str], topology: Topology = NO_REGIONS, write_quorum: int = 1
) -> Layout:
    """Return the layout of a fleet.

    Args:
        zones_by_identity: zone of each storage node, by its disk's identity.
        topology: regions of the fleet's zones.
        write_quorum: replicas that must have a write; a region with fewer disks gets no group.
    """
    nodes_by_region = _nodes_by_region(zones_by_identity, topology)
    hosting = {region for region, nodes in nodes_by_region.items() if nodes >= write_quorum}
    if len(set(topology.region_by_zone.values())) < 2 or not hosting:
        zones = sorted(set(zones_by_identity.values()))
        return Layout(_divide_zones(zones, _group_count_for(len(zones_by_identity))))
    zones_by_group: list[tuple[str, ...]] = []
    region_by_group: list[RegionName] = []
    groups_by_region = _group_counts_by_region(
        {region: nodes_by_region[region] for region in hosting}
    )
    for region, groups in sorted(groups_by_region.items()):
        zones_by_group += _divide_zones(_zones_in(region, topology), groups)
        region_by_group += [region] * groups
    for region in sorted(set(topology.region_by_zone.values()) - groups_by_region.keys()):
        fewest_zones_group = min(
            range(len(zones_by_group)), key=lambda group: len(zones_by_group[group])
        )
        zones_by_group[fewest_zones_group] += tuple(_zones_in(region, topology))
    return Layout(tuple(zones_by_group), tuple(region_by_group))


def plan_group_records(
    layout: Layout,
    zones_by_identity: Mapping[str, str],
    replication_factor: int,
    placement_of: Callable[[int], ReplicaPlacement] | None = None,
) -> list[GroupRecord]:
    """Return the initial record of each group: its replica set and its leader.

    Args:
        layout: the groups.
        zones_by_identity: zone of each storage node, by its disk's identity.
        replication_factor: replicas of a group if there are enough disks.
        placement_of: placement of a group's replicas; None if only the zones are known.
    """
    identities = _interleave_zones(zones_by_identity)
    group_counts: Counter[str] = Counter()
    leaders: set[str] = set()
    records = []
    for group in range(layout.group_count):
        first = group * replication_factor % len(identities)
        members = (identities[first:] + identities[:first])[:replication_factor]
        placement = None if placement_of is None else placement_of(group)
        if placement is not None and not placement.is_satisfied_by(members):
            members = placement.choose_additions([], identities, group_counts) or members
        granting = [
            identity
            for identity in members
            if layout.grants_zone(group, zones_by_identity[identity])
        ]
        ranked = (
            (granting or members)
            if placement is None
            else sorted(members, key=placement.distance_to)
        )
        leader = next((identity for identity in ranked if identity not in leaders), ranked[0])
        group_counts.update(members)
        leaders.add(leader)
        records.append(GroupRecord(1, leader, frozenset(members)))
    return records


def _group_count_for(nodes: int) -> int:
    return max(1, min(MAX_GROUPS, nodes // NODES_PER_GROUP))


def _group_counts_by_region(nodes_by_region: Mapping[RegionName, int]) -> dict[RegionName, int]:
    """Return the number of groups of each region, at most MAX_GROUPS in total.

    With more regions than groups, the regions with the fewest nodes get none.
    """
    largest = sorted(nodes_by_region, key=lambda region: (-nodes_by_region[region], region))
    groups = {region: _group_count_for(nodes_by_region[region]) for region in largest[:MAX_GROUPS]}
    while sum(groups.values()) > MAX_GROUPS:
        groups[max(groups, key=lambda region: (groups[region], region))] -= 1
    return groups


def _divide_zones(zones: list[str], group_count: int) -> tuple[tuple[str, ...], ...]:
    """Return the zones of each group: several per group, or one zone shared by several groups."""
    if group_count <= len(zones):
        return tuple(tuple(zones[group::group_count]) for group in range(group_count))
    return tuple((zones[group % len(zones)],) for group in range(group_count))


def _zones_in(region: RegionName, topology: Topology) -> list[str]:
    return sorted(zone for zone, its in topology.region_by_zone.items() if its == region)


def _nodes_by_region(
    zones_by_identity: Mapping[str, str], topology: Topology
) -> Counter[RegionName]:
    regions = (topology.region(zone) for zone in zones_by_identity.values())
    return Counter(region for region in regions if region is not None)


def _interleave_zones(zones_by_identity: Mapping[str, str]) -> list[str]:
    """Return the disks in an order in which neighbours are in different zones."""
    by_zone: dict[str, list[str]] = {}
    for identity, zone in sorted(zones_by_identity.items()):
        by_zone.setdefault(zone, []).append(identity)
    columns: Sequence[list[str]] = [by_zone[zone] for zone in sorted(by_zone)]
    ordered = []
    for row in range(max(map(len, columns))):
        ordered += [column[row] for column in columns if row < len(column)]
    return ordered
