"""Typed events and instructions of slot granting.

A *holder* sends work to back ends: a gateway, or the leader of a job group. It has a *session* with
each node that grants slots of back ends. Within a session every slot has a number. The holder
assigns the numbers of slots that it requests, the granting node those of slots that it offers to
batch items.
"""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.routing.stream_origins import StreamOrigin
from wharfcart.slots.urgency import Urgency

HolderId = NewType("HolderId", str)
SlotNumber = NewType("SlotNumber", int)


# Low bits of a session's number, which count the sessions of one process.
SESSION_COUNT_BITS = 20
# High bits, which a process chooses at random.
SESSION_ORIGIN_BITS = 43


def session_number(origin: int, count: int) -> int:
    """Return the number of a process's session.

    Args:
        origin: random number of the process.
        count: how many sessions the process has opened.
    """
    return (origin << SESSION_COUNT_BITS) + count


@dataclass(frozen=True, slots=True)
class SessionKey:
    """Key of one session of a holder; every session has its own number."""

    holder: HolderId
    number: int

    def precedes(self, other: "SessionKey") -> bool:
        """Whether the same process of a holder opened this session before another one.

        Sessions of different processes have no order: an earlier process's connections close soon.
        """
        is_same_process = self.number >> SESSION_COUNT_BITS == other.number >> SESSION_COUNT_BITS
        return self.holder == other.holder and is_same_process and self.number < other.number


class RequestMode(Enum):
    """What the granting node may do to serve a slot request.

    Attributes:
        FREE: grant a free slot only.
        PREEMPT: also preempt a batch item.
        WAIT: also queue the request until a slot is free.
    """

    FREE = 1
    PREEMPT = 2
    WAIT = 3


class RunResult(Enum):
    """What a run shows about its back end."""

    UNKNOWN = 0
    BACKEND_OK = 1
    BACKEND_FAILED = 2


class RefusalCause(Enum):
    """Why a slot request is refused."""

    QUEUE_FULL = "queue_full"
    TIMED_OUT = "waited"


class PreemptionCause(Enum):
    """Why a batch item is preempted."""

    GRANTED = "granted"
    OVERCOMMITTED = "overfull"


@dataclass(frozen=True, slots=True)
class SlotUse:
    """A slot that a holder has taken.

    Attributes:
        unread_tokens: prompt tokens that the back end probably has to prefill.
        item: urgency of the batch item in the slot; None for an online request.
    """

    number: SlotNumber
    instance_id: str
    unread_tokens: int = 0
    item: Urgency | None = None


# ---- events ----


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A holder opens a session and reports every slot that it has taken.

    Attributes:
        origins: origins of recent streams, with their ages in seconds.
    """

    session: SessionKey
    zone: str
    uses: tuple[SlotUse, ...] = ()
    origins: tuple[tuple[float, StreamOrigin], ...] = ()


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A holder's session is closed; its slots become free."""

    session: SessionKey


@dataclass(frozen=True, slots=True)
class SlotRequested:
    """A gateway requests a slot.

    Attributes:
        start_deadline: latest monotonic time to start and still answer in time.
        queue_deadline: monotonic time at which the request stops waiting.
        affinity_key: key of a long shared prompt, which goes to the back end that has it cached; ''
            for none.
        excluded: instances that the request was already sent to.
        connected: instances that the gateway has an open connection to.
        unread_tokens: prompt tokens that the back end probably has to prefill.
        priority: 0 is the most urgent.
        request_id: the caller's id of the request.
        residence: regions where the request's data may be processed.
        version: software version that began its answer; None for a new answer.
        origin_sequence: sequence of the origin to record with the grant; 0 if the answer is no
            stream that can be resumed.
    """

    session: SessionKey
    number: SlotNumber
    service: str
    start_deadline: float
    queue_deadline: float
    mode: RequestMode = RequestMode.WAIT
    affinity_key: str = ""
    excluded: frozenset[str] = frozenset()
    connected: frozenset[str] = frozenset()
    unread_tokens: int = 0
    priority: int = 0
    request_id: str = ""
    residence: Residence = ANYWHERE
    version: SoftwareVersion | None = None
    origin_sequence: int = 0


@dataclass(frozen=True, slots=True)
class SlotTaken:
    """A holder sends to a back end that it selected without a grant."""

    session: SessionKey
    use: SlotUse


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """A holder gives a slot back, or withdraws a request for one."""

    session: SessionKey
    number: SlotNumber
    result: RunResult = RunResult.UNKNOWN


@dataclass(frozen=True, slots=True)
class ResponsivenessChanged:
    """A back end stops responding to a holder, or responds again."""

    session: SessionKey
    instance_id: str
    unresponsive: bool


@dataclass(frozen=True, slots=True)
class BackendFailureReported:
    """A back end caused the failure of a run that was already released."""

    session: SessionKey
    instance_id: str


@dataclass(frozen=True, slots=True)
class ItemsWaiting:
    """Batch items of a holder wait for slots of a service.

    Attributes:
        count: number of waiting items.
        urgent_count: items that finish in time only if they start now.
        first_urgency: urgency of the item that runs next.
        excluded: instances that none of the items can use.
        offers_seen: offers for such items that the holder received earlier in this session.
        residence: regions where the items' data may be processed.
        version: software version that began their texts; None for items without a text.
    """

    session: SessionKey
    service: str
    count: int
    urgent_count: int
    first_urgency: Urgency
    excluded: frozenset[str] = frozenset()
    offers_seen: int = 0
    residence: Residence = ANYWHERE
    version: SoftwareVersion | None = None


@dataclass(frozen=True, slots=True)
class ItemStarted:
    """A batch item runs in an offered slot."""

    session: SessionKey
    number: SlotNumber
    urgency: Urgency


@dataclass(frozen=True, slots=True)
class SentWithoutPermit:
    """A holder sent a tenant's request without a permit."""

    session: SessionKey
    tenant: str


@dataclass(frozen=True, slots=True)
class StreamBegun:
    """A stream began at software that the granting node did not grant."""

    session: SessionKey
    origin: StreamOrigin


SlotEvent = (
    SessionOpened
    | SessionClosed
    | SlotRequested
    | SlotTaken
    | SlotReleased
    | ResponsivenessChanged
    | BackendFailureReported
    | ItemsWaiting
    | ItemStarted
    | SentWithoutPermit
    | StreamBegun
)

# ---- instructions ----


@dataclass(frozen=True, slots=True)
class Granted:
    """A request gets a slot."""

    session: SessionKey
    number: SlotNumber
    instance_id: str


@dataclass(frozen=True, slots=True)
class NoSlot:
    """No slot is available in the requested mode, or there is no usable back end."""

    session: SessionKey
    number: SlotNumber


@dataclass(frozen=True, slots=True)
class Refused:
    """A request has waited until its deadline, or the queue is full.

    Attributes:
        retry_after_s: seconds until a slot is likely to be free.
        waiting: other requests in the queue.
        slots: slots of the service that this node grants.
    """

    session: SessionKey
    number: SlotNumber
    cause: RefusalCause
    retry_after_s: float
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ItemOffered:
    """A slot is reserved for a batch item of a residence and version; the leader chooses it."""

    session: SessionKey
    number: SlotNumber
    service: str
    instance_id: str
    residence: Residence = ANYWHERE
    version: SoftwareVersion | None = None


@dataclass(frozen=True, slots=True)
class ItemPreempted:
    """A batch item must stop and release its slot."""

    session: SessionKey
    number: SlotNumber
    cause: PreemptionCause


SlotInstruction = Granted | NoSlot | Refused | ItemOffered | ItemPreempted
