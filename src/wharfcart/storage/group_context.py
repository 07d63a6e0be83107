"""Resources shared by the job groups of one storage node."""

import math
from collections.abc import Callable, Collection
from enum import StrEnum

from wharfcart.cluster.address import Address
from wharfcart.cluster.coordination import CoordinationService
from wharfcart.cluster.mirror import Mirror
from wharfcart.cluster.randomness import RandomSource
from wharfcart.cluster.transport import Transport
from wharfcart.configuration.residence import Residence
from wharfcart.observability.decisions import DecisionLog
from wharfcart.storage.disk import Disk
from wharfcart.storage.job_residence import RegionOf
from wharfcart.storage.layout import Layout
from wharfcart.storage.replica_placement import ReplicaPlacement


class CopyMismatch(StrEnum):
    """What did not fit a replica's copy.

    Attributes:
        MESSAGE: a message that arrived late or twice, or before a promise.
        JOB: an update that does not extend the job.
        TEXT: a part that does not extend the partial text.
        CLAIM: a job of which the replica holds another state than it reported.
    """

    MESSAGE = "message"
    JOB = "job"
    TEXT = "text"
    CLAIM = "claim"


class GroupContext:
    """Resources shared by all groups of a node.

    Args:
        identity: identity of this node's disk.
        known_addresses: addresses of the known storage nodes, by identity of their disk.
        retiring: identities of disks that groups must leave.
        write_quorum: replicas that must have a write before it is committed.
        placement_of: placement of a group's replicas; its preferred zones are those of a layout,
            or of the current layout if None is given.
        region_of: region of a storage node's disk.
        configured_residences: residences in the current configuration that new jobs may have.
        count_mismatch: counts what was refused since it does not extend a replica's copy.
        resumed_at: monotonic time at which the machine's last suspension ended; -inf if none did.
    """

    def __init__(
        self,
        identity: str,
        disk: Disk,
        transport: Transport,
        coordination: CoordinationService,
        mirror: Mirror,
        known_addresses: Callable[[], dict[str, Address]],
        retiring: Callable[[], set[str]],
        write_quorum: int,
        log: DecisionLog,
        random: RandomSource,
        placement_of: Callable[[int, Layout | None], ReplicaPlacement],
        region_of: RegionOf = lambda _identity: None,
        configured_residences: Callable[[], Collection[Residence]] = lambda: (),
        resumed_at: Callable[[], float] = lambda: -math.inf,
        count_mismatch: Callable[[CopyMismatch, int], None] = lambda _kind, _count: None,
    ) -> None:
        self.identity = identity
        self.disk = disk
        self.transport = transport
        self.coordination = coordination
        self.mirror = mirror
        self.known_addresses = known_addresses
        self.retiring = retiring
        self.write_quorum = write_quorum
        self.log = log
        self.random = random
        self.placement_of = placement_of
        self.region_of = region_of
        self.configured_residences = configured_residences
        self.resumed_at = resumed_at
        self.count_mismatch = count_mismatch

    @property
    def replication_factor(self) -> int:
        """Replicas of a group if there are enough disks; tolerated failures leave a quorum."""
        return 2 * self.write_quorum - 1
