"""The record of a job group in the coordination service: who leads it, which disks hold it."""

import json
from dataclasses import dataclass


class RecordInDoubtError(Exception):
    """Whether a change of the group's record took effect is not known."""


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """One state of a group, changed only by compare-and-swap.

    Parameters
    ----------
    epoch: grows with each change of leader.
    leader: identity of the leader's disk.
    members: identities of the disks that hold the group.
    revision: of the record in the coordination service.
    """

    epoch: int
    leader: str
    members: frozenset[str]
    revision: int = 0

    def to_bytes(self) -> bytes:
        """Write the record; the revision is the service's own."""
        body = {"epoch": self.epoch, "leader": self.leader, "members": sorted(self.members)}
        return json.dumps(body).encode()


def group_record_from(value: bytes | None, revision: int) -> GroupRecord | None:
    """Read a record; None if there is none."""
    if value is None:
        return None
    body = json.loads(value)
    return GroupRecord(
        int(body["epoch"]), str(body["leader"]), frozenset(body["members"]), revision
    )
