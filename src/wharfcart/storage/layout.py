"""Layout core: how many job groups a fleet has, and which back ends' slots each of them grants.

Decided once, when a fleet starts for the first time, and kept in the coordination service: jobs are
spread over the groups by their ids, so that the number of groups can't change. A group grants the
slots of the back ends of its zones. A small fleet has one group for everything; a large one has
several, so that no node grants all slots, and the loss of one costs a part of them.

In a fleet over several regions each region with enough storage nodes has groups of its own: a slot
that is granted in another region costs a round trip between the regions with each request.

Pure.
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
from wharfcart.storage.replica_spread import ReplicaSpread

# So many storage nodes come to one group: five replicas that bear the loss of two, and a spare.
NODES_A_GROUP = 6
# Each leader and each gateway holds a session with every group's granting node.
MOST_GROUPS = 16
NO_REGIONS = Topology()


@dataclass(frozen=True)
class Layout:
    """The groups of a fleet.

    Attributes:
        zones_by_group: for each group, the zones whose back ends' slots it grants; several groups
            may share a zone.
        region_by_group: for each group, the region that its replicas belong to; empty where groups
            belong to the whole fleet.
    """

    zones_by_group: tuple[tuple[str, ...], ...]
    region_by_group: tuple[RegionName, ...] = ()

    @property
    def groups(self) -> int:
        """Number of groups."""
        return len(self.zones_by_group)

    def group_of(self, instance: BackendInstance, topology: Topology = NO_REGIONS) -> int:
        """Return the group that grants a back end's slots.

        Those of a zone are spread over the groups that share it; those of a zone that no group has,
        over the groups of its region, or over all where there is none.
        """
        sharing = [
            group for group, zones in enumerate(self.zones_by_group) if instance.zone in zones
        ]
        if not sharing:
            region = topology.region(instance.zone)
            sharing = [
                group
                for group in range(self.groups)
                if region is not None and region == self.region(group)
            ]
        if len(sharing) == 1:
            return sharing[0]
        sharing = sharing or list(range(self.groups))
        return sharing[xxhash.xxh64_intdigest(instance.instance_id.encode()) % len(sharing)]

    def grants_in(self, group: int, residence: Residence, topology: Topology) -> bool:
        """Whether a group may grant slots of back ends in the regions of a residence.

        Those of a zone that no group names may belong to any group.
        """
        if not residence.is_restricted:
            return True
        named = {zone for zones in self.zones_by_group for zone in zones}
        unnamed = topology.region_by_zone.keys() - named
        return any(
            residence.allows(topology.region(zone))
            for zone in (*self.zones_by_group[group], *unnamed)
        )

    def is_own(self, group: int, zone: str) -> bool:
        """Whether a group grants slots of a zone."""
        return zone in self.zones_by_group[group]

    def distance(self, group: int, zone: str, topology: Topology) -> Distance:
        """Return how far a zone is from the nearest back ends of a group."""
        zones = self.zones_by_group[group]
        return min(topology.distance(zone, own) for own in zones)

    def region(self, group: int) -> RegionName | None:
        """Return the region that a group's replicas belong to, or None for the whole fleet."""
        return self.region_by_group[group] if self.region_by_group else None

    def home_zones(self, group: int, topology: Topology) -> tuple[str, ...]:
        """Return the zones that a group's replicas should be near."""
        zones = self.zones_by_group[group]
        region = self.region(group)
        return tuple(zone for zone in zones if region in (None, topology.region(zone)))

    def to_bytes(self) -> bytes:
        """Write the layout."""
        body: dict[str, object] = {"zones_by_group": self.zones_by_group}
        if self.region_by_group:
            body["region_by_group"] = self.region_by_group
        return json.dumps(body).encode()


def layout_from(value: bytes) -> Layout:
    """Read a layout; one that was written before groups had regions has none."""
    body = json.loads(value)
    return Layout(
        tuple(tuple(zones) for zones in body["zones_by_group"]),
        tuple(RegionName(region) for region in body.get("region_by_group", ())),
    )


def plan_layout(
    zones_by_identity: Mapping[str, str], topology: Topology = NO_REGIONS, copies: int = 1
) -> Layout:
    """Return the layout of a fleet with these disks.

    Args:
        zones_by_identity: zone of each storage node, by its disk's identity.
        topology: regions of the fleet's zones.
        copies: replicas that must have a write; a region with fewer disks has no group.
    """
    nodes_by_region = _nodes_by_region(zones_by_identity, topology)
    hosting = {region for region, nodes in nodes_by_region.items() if nodes >= copies}
    if len(set(topology.region_by_zone.values())) < 2 or not hosting:
        zones = sorted(set(zones_by_identity.values()))
        return Layout(_share_zones(zones, _groups_for(len(zones_by_identity))))
    zones_by_group: list[tuple[str, ...]] = []
    region_by_group: list[RegionName] = []
    groups_by_region = _groups_by_region({region: nodes_by_region[region] for region in hosting})
    for region, groups in sorted(groups_by_region.items()):
        zones_by_group += _share_zones(_zones_in(region, topology), groups)
        region_by_group += [region] * groups
    for region in sorted(set(topology.region_by_zone.values()) - groups_by_region.keys()):
        least = min(range(len(zones_by_group)), key=lambda group: len(zones_by_group[group]))
        zones_by_group[least] += tuple(_zones_in(region, topology))
    return Layout(tuple(zones_by_group), tuple(region_by_group))


def plan_records(
    layout: Layout,
    zones_by_identity: Mapping[str, str],
    full_size: int,
    spread_of: Callable[[int], ReplicaSpread] | None = None,
) -> list[GroupRecord]:
    """Return the first record of each group: its disks, spread over the fleet, and its leader.

    Args:
        layout: the groups.
        zones_by_identity: zone of each storage node, by its disk's identity.
        full_size: replicas that a group has if there are enough disks.
        spread_of: where a group's replicas should be; None where only the zones are known.
    """
    identities = _over_all_zones(zones_by_identity)
    uses: Counter[str] = Counter()
    leaders: set[str] = set()
    records = []
    for group in range(layout.groups):
        first = group * full_size % len(identities)
        members = (identities[first:] + identities[:first])[:full_size]
        spread = None if spread_of is None else spread_of(group)
        if spread is not None and not spread.is_well_spread(members):
            members = spread.additions([], identities, uses) or members
        own = [
            identity for identity in members if layout.is_own(group, zones_by_identity[identity])
        ]
        ranked = (own or members) if spread is None else sorted(members, key=spread.distance)
        leader = next((identity for identity in ranked if identity not in leaders), ranked[0])
        uses.update(members)
        leaders.add(leader)
        records.append(GroupRecord(1, leader, frozenset(members)))
    return records


def _groups_for(nodes: int) -> int:
    return max(1, min(MOST_GROUPS, nodes // NODES_A_GROUP))


def _groups_by_region(nodes_by_region: Mapping[RegionName, int]) -> dict[RegionName, int]:
    """Return the number of groups of each region, all regions together within the bound.

    Where there are more regions than groups, those with fewest nodes have none.
    """
    largest = sorted(nodes_by_region, key=lambda region: (-nodes_by_region[region], region))
    groups = {region: _groups_for(nodes_by_region[region]) for region in largest[:MOST_GROUPS]}
    while sum(groups.values()) > MOST_GROUPS:
        groups[max(groups, key=lambda region: (groups[region], region))] -= 1
    return groups


def _share_zones(zones: list[str], groups: int) -> tuple[tuple[str, ...], ...]:
    """Return the zones of each group: some for each, or one that several groups share."""
    if groups <= len(zones):
        return tuple(tuple(zones[group::groups]) for group in range(groups))
    return tuple((zones[group % len(zones)],) for group in range(groups))


def _zones_in(region: RegionName, topology: Topology) -> list[str]:
    return sorted(zone for zone, its in topology.region_by_zone.items() if its == region)


def _nodes_by_region(
    zones_by_identity: Mapping[str, str], topology: Topology
) -> Counter[RegionName]:
    regions = (topology.region(zone) for zone in zones_by_identity.values())
    return Counter(region for region in regions if region is not None)


def _over_all_zones(zones_by_identity: Mapping[str, str]) -> list[str]:
    """Return the disks such that neighbours are in different zones."""
    by_zone: dict[str, list[str]] = {}
    for identity, zone in sorted(zones_by_identity.items()):
        by_zone.setdefault(zone, []).append(identity)
    columns: Sequence[list[str]] = [by_zone[zone] for zone in sorted(by_zone)]
    ordered = []
    for row in range(max(map(len, columns))):
        ordered += [column[row] for column in columns if row < len(column)]
    return ordered
