"""Actions that a journal replica requests from its driver."""

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
    """Raft's persistent state, which must be on disk before messages that depend on it are sent."""

    epoch: int
    voted_for: str


@dataclass(frozen=True)
class Persist:
    """Action: write hard state and entries; entries replace the log from their first index on."""

    hard_state: HardState
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True)
class Send:
    """Action: send a message, either at once or after all preceding writes are on disk."""

    message: ReplicaMessage
    after_persist: bool = False


@dataclass(frozen=True)
class Apply:
    """Action: apply committed entries to the state machine, in order."""

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
    """Action: notify the driver of a new role."""

    role: Role


ReplicaAction = Persist | Send | Apply | StartSnapshot | CompactLog | RoleChanged
