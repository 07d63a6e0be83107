"""Record of a job group in the coordination service: its leader and its replica set."""

import json
from dataclasses import dataclass


class RecordInDoubtError(Exception):
    """A change of the group's record may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """State of a group, changed only by compare-and-swap.

    Attributes:
        epoch: number that grows with each change of leader.
        leader: identity of the leader's disk.
        members: identities of the disks in the replica set.
        revision: revision of the record in the coordination service.
    """

    epoch: int
    leader: str
    members: frozenset[str]
    revision: int = 0

    def to_bytes(self) -> bytes:
        """Encode the record without its revision, which the coordination service assigns."""
        body = {"epoch": self.epoch, "leader": self.leader, "members": sorted(self.members)}
        return json.dumps(body).encode()


def group_record_from(value: bytes | None, revision: int) -> GroupRecord | None:
    """Decode a record; return None if there is none."""
    if value is None:
        return None
    body = json.loads(value)
    return GroupRecord(
        int(body["epoch"]), str(body["leader"]), frozenset(body["members"]), revision
    )
