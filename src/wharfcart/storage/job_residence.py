"""Job residence core: which job groups may hold the data of a job, and which disks may join one.

A job's body, partial texts and results are stored on the disks of its group only. A job that is
bound to regions goes to a group with all of its disks in these regions; a hash of the job's id
picks one of the eligible groups. A group that holds such a job admits no disk outside the regions.

Pure: no sockets, clock, files.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

import xxhash

from wharfcart.cluster.topology import RegionName
from wharfcart.configuration.residence import Residence

# Region of a disk by its identity; None if unknown.
RegionOf = Callable[[str], RegionName | None]


def hash_to_group(key: str, groups: int) -> int:
    """Return the group of a job or tenant by the hash of its key."""
    return xxhash.xxh64_intdigest(key.encode()) % max(1, groups)


def pick_group(job_id: str, groups: Sequence[int]) -> int | None:
    """Return the group that a new job goes to, or None if no group may hold it."""
    if not groups:
        return None
    return groups[hash_to_group(job_id, len(groups))]


def all_in_residence(disks: Iterable[str], residence: Residence, region_of: RegionOf) -> bool:
    """Whether all of some disks are in the regions of a residence."""
    return not residence.is_restricted or all(residence.allows(region_of(disk)) for disk in disks)


def may_join_group(
    disk: str,
    members: Collection[str],
    job_residences: Iterable[Residence],
    configured_residences: Iterable[Residence],
    region_of: RegionOf,
) -> bool:
    """Whether a disk may join a group's replica set.

    The disk must be in the residence of every job of the group. It must also leave the group able
    to hold jobs of each configured residence that it can hold now: otherwise all further
    submissions with that residence would be refused.

    Args:
        disk: identity of the disk that would join.
        members: current members of the set.
        job_residences: residences of the group's jobs.
        configured_residences: residences in the configuration that new jobs may have.
        region_of: region of each disk.
    """
    region = region_of(disk)
    if not all(residence.allows(region) for residence in job_residences):
        return False
    return all(
        residence.allows(region)
        for residence in configured_residences
        if all_in_residence(members, residence, region_of)
    )
