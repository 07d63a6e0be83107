"""Job residence core: which job groups may hold the data of a job, and which disks may join one.

A job's body, partial texts and results are on the disks of its group, and on no other. A job that
is bound to regions goes to a group all of whose disks are there: which one is drawn by its id, of
those that may hold it. A group that holds such a job takes no disk elsewhere.

Pure.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

import xxhash

from wharfcart.cluster.topology import RegionName
from wharfcart.configuration.residence import Residence

# Region of a disk by its identity; None where that is not known.
RegionOf = Callable[[str], RegionName | None]


def group_of(key: str, groups: int) -> int:
    """Return the group that a job or tenant belongs to, of one group or more."""
    return xxhash.xxh64_intdigest(key.encode()) % max(1, groups)


def pick_group(job_id: str, groups: Sequence[int]) -> int | None:
    """Return the group that a new job goes to, or None where none may hold it."""
    if not groups:
        return None
    return groups[group_of(job_id, len(groups))]


def all_in(disks: Iterable[str], residence: Residence, region_of: RegionOf) -> bool:
    """Whether all of some disks are in the regions of a residence."""
    return not residence.is_restricted or all(residence.allows(region_of(disk)) for disk in disks)


def may_join(
    disk: str,
    members: Collection[str],
    held: Iterable[Residence],
    wanted: Iterable[Residence],
    region_of: RegionOf,
) -> bool:
    """Whether a disk may join a group's replica set.

    It must be where every job of the group may be. And a group that can hold jobs of a residence
    which the configuration names stays able to: a disk elsewhere would have all further
    submissions refused.

    Args:
        disk: that would join.
        members: of the set now.
        held: residences of the group's jobs.
        wanted: residences that jobs may come with.
        region_of: region of each disk.
    """
    region = region_of(disk)
    if not all(residence.allows(region) for residence in held):
        return False
    return all(
        residence.allows(region) for residence in wanted if all_in(members, residence, region_of)
    )
