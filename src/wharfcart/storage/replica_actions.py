"""What a journal replica asks its driver to do."""

from dataclasses import dataclass
from enum import StrEnum

from wharfcart.cluster.messages_pb2 import LogEntry, ReplicaMessage


class Role(StrEnum):
    """Role of a replica in its shard."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True)
class HardState:
    """What must be on disk before a message that rests on it is sent."""

    epoch: int
    voted_for: str


@dataclass(frozen=True)
class Persist:
    """Action: write hard state and entries; entries replace everything from their first index."""

    hard_state: HardState
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Send:
    """Action: send a message, after everything persisted so far is on disk if so told."""

    message: ReplicaMessage
    after_persist: bool = False


@dataclass(frozen=True)
class Apply:
    """Action: hand committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True)
class StartSnapshot:
    """Action: stream the state machine's rows to a replica whose log is too far behind."""

    target: str


@dataclass(frozen=True)
class CompactLog:
    """Action: entries up to and including this index are no longer needed on disk."""

    index: int


@dataclass(frozen=True)
class RoleChanged:
    """Action: tell the driver the new role."""

    role: Role


ReplicaAction = Persist | Send | Apply | StartSnapshot | CompactLog | RoleChanged
