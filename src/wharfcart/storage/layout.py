"""Layout core: how many job groups a fleet has, and which back ends' slots each of them grants.

Decided once, when a fleet starts for the first time, and kept in the coordination service: jobs are
spread over the groups by their ids, so that the number of groups can't change. A group grants the
slots of the back ends of its zones. A small fleet has one group for everything; a large one has
several, so that no node grants all slots, and the loss of one costs a part of them.

Pure.
"""

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from wharfcart.cluster.topology import Topology
from wharfcart.configuration.instances import BackendInstance
from wharfcart.configuration.residence import Residence
from wharfcart.storage.group_record import GroupRecord

# So many storage nodes come to one group: five replicas that bear the loss of two, and a spare.
NODES_A_GROUP = 6
# Each leader and each gateway holds a session with every group's granting node.
MOST_GROUPS = 16


@dataclass(frozen=True)
class Layout:
    """The groups of a fleet.

    Attributes:
        zones_by_group: for each group, the zones whose back ends' slots it grants; several groups
            may share a zone.
    """

    zones_by_group: tuple[tuple[str, ...], ...]

    @property
    def groups(self) -> int:
        """Number of groups."""
        return len(self.zones_by_group)

    def group_of(self, instance: BackendInstance) -> int:
        """Return the group that grants a back end's slots.

        Those of a zone are spread over the groups that share it; those of a zone that no group has,
        over all groups.
        """
        sharing = [
            group for group, zones in enumerate(self.zones_by_group) if instance.zone in zones
        ]
        if len(sharing) == 1:
            return sharing[0]
        sharing = sharing or list(range(self.groups))
        return sharing[xxhash.xxh64_intdigest(instance.instance_id.encode()) % len(sharing)]

    def grants_in(self, group: int, residence: Residence, topology: Topology) -> bool:
        """Whether a group may grant slots of back ends in the regions of a residence.

        Those of a zone that no group names may belong to any group.
        """
        if not residence.is_bound:
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

    def to_bytes(self) -> bytes:
        """Write the layout."""
        return json.dumps({"zones_by_group": self.zones_by_group}).encode()


def layout_from(value: bytes) -> Layout:
    """Read a layout."""
    return Layout(tuple(tuple(zones) for zones in json.loads(value)["zones_by_group"]))


def plan_layout(zones_by_identity: Mapping[str, str]) -> Layout:
    """Return the layout of a fleet with these disks.

    Args:
        zones_by_identity: zone of each storage node, by its disk's identity.
    """
    zones = sorted(set(zones_by_identity.values()))
    groups = max(1, min(MOST_GROUPS, len(zones_by_identity) // NODES_A_GROUP))
    if groups <= len(zones):
        return Layout(tuple(tuple(zones[group::groups]) for group in range(groups)))
    return Layout(tuple((zones[group % len(zones)],) for group in range(groups)))


def plan_records(
    layout: Layout, zones_by_identity: Mapping[str, str], full_size: int
) -> list[GroupRecord]:
    """Return the first record of each group: its disks, spread over the fleet, and its leader.

    Args:
        layout: the groups.
        zones_by_identity: zone of each storage node, by its disk's identity.
        full_size: replicas that a group has if there are enough disks.
    """
    identities = _over_all_zones(zones_by_identity)
    records = []
    for group in range(layout.groups):
        first = group * full_size % len(identities)
        members = (identities[first:] + identities[:first])[:full_size]
        own = [
            identity for identity in members if layout.is_own(group, zones_by_identity[identity])
        ]
        leader = (own or members)[0]
        records.append(GroupRecord(1, leader, frozenset(members)))
    return records


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
