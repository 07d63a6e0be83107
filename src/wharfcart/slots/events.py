"""What the granting of slots is told, and what it answers: typed events and instructions.

A *holder* is a gateway, or the leader of a job group: whoever sends work to back ends. It has a
*session* with the node that grants the slots of some back ends. Within a session every slot has a
number: of one that was asked for, drawn by the holder; of one that was offered to a batch item,
drawn by the granting node.
"""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.slots.urgency import Urgency

HolderId = NewType("HolderId", str)
SlotNumber = NewType("SlotNumber", int)


@dataclass(frozen=True, slots=True)
class SessionKey:
    """One session of a holder; each that it opens has another number."""

    holder: HolderId
    number: int


class RequestMode(Enum):
    """How far a request for a slot goes.

    Attributes:
        FREE: takes a slot that nobody has.
        PREEMPT: takes one that a batch item gives up, too.
        WAIT: waits for one.
    """

    FREE = 1
    PREEMPT = 2
    WAIT = 3


class RunResult(Enum):
    """What a run told about its back end."""

    UNKNOWN = 0
    BACKEND_OK = 1
    BACKEND_FAILED = 2


class RefusalCause(Enum):
    """Why a request that waited for a slot is refused."""

    QUEUE_FULL = "queue_full"
    TIMED_OUT = "waited"


class PreemptionCause(Enum):
    """Why a batch item must leave its slot."""

    GRANTED = "granted"
    OVERCOMMITTED = "overfull"


@dataclass(frozen=True, slots=True)
class SlotUse:
    """A slot that a holder has taken.

    Attributes:
        unread_tokens: of a prompt that the back end must probably read first.
        item: how the batch item stands that runs there; None for an online request.
    """

    number: SlotNumber
    instance_id: str
    unread_tokens: int = 0
    item: Urgency | None = None


# ---- events ----


@dataclass(frozen=True, slots=True)
class SessionOpened:
    """A holder begins a session and tells every slot that it has taken."""

    session: SessionKey
    zone: str
    uses: tuple[SlotUse, ...] = ()


@dataclass(frozen=True, slots=True)
class SessionClosed:
    """A holder's session has ended, and what it had taken is free."""

    session: SessionKey


@dataclass(frozen=True, slots=True)
class SlotRequested:
    """A gateway asks for a slot.

    Attributes:
        affinity_key: names a long shared prompt that goes where it was read before; '' for none.
        excluded: incarnations that the request was already sent to.
        connected: incarnations that the gateway keeps a connection to.
        in_time_until: monotonic time until which a slot lets it answer in time.
        leave_at: monotonic time at which it is given up.
        priority: 0 is the most urgent.
        request_id: its caller's id.
        residence: where its data may be.
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


@dataclass(frozen=True, slots=True)
class SlotTaken:
    """A holder sends to a back end of its own choice."""

    session: SessionKey
    use: SlotUse


@dataclass(frozen=True, slots=True)
class SlotReleased:
    """A holder needs a slot no longer, or no longer waits for one."""

    session: SessionKey
    number: SlotNumber
    result: RunResult = RunResult.UNKNOWN


@dataclass(frozen=True, slots=True)
class ResponsivenessChanged:
    """A back end has become silent to a holder, or speaks again."""

    session: SessionKey
    instance_id: str
    unresponsive: bool


@dataclass(frozen=True, slots=True)
class BackendFailureReported:
    """A back end was at fault for a run that had ended before."""

    session: SessionKey
    instance_id: str


@dataclass(frozen=True, slots=True)
class ItemsWaiting:
    """Batch items of a holder wait for slots of a service.

    Attributes:
        count: how many.
        urgent: how many of them are done in time only if they run from now on.
        first: how the one stands that goes first.
        excluded: incarnations that none of them takes.
        offers_seen: slots that were offered to such items in this session before.
        residence: where the data of each of them may be.
    """

    session: SessionKey
    service: str
    count: int
    urgent_count: int
    first_urgency: Urgency
    excluded: frozenset[str] = frozenset()
    offers_seen: int = 0
    residence: Residence = ANYWHERE


@dataclass(frozen=True, slots=True)
class ItemStarted:
    """An item runs in a slot that was offered."""

    session: SessionKey
    number: SlotNumber
    urgency: Urgency


@dataclass(frozen=True, slots=True)
class SentWithoutPermit:
    """A holder has sent a tenant's request without a permit."""

    session: SessionKey
    tenant: str


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
)

# ---- instructions ----


@dataclass(frozen=True, slots=True)
class Granted:
    """A request has its slot."""

    session: SessionKey
    number: SlotNumber
    instance_id: str


@dataclass(frozen=True, slots=True)
class NoSlot:
    """There is no slot in the manner asked for, or no back end at all."""

    session: SessionKey
    number: SlotNumber


@dataclass(frozen=True, slots=True)
class Refused:
    """A request has waited long enough, or too many wait.

    Attributes:
        retry_after_s: when a slot is likely to be free.
        waiting: requests that wait beside it.
        slots: of the service, at the back ends that are granted here.
    """

    session: SessionKey
    number: SlotNumber
    cause: RefusalCause
    retry_after_s: float
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class ItemOffered:
    """A slot is kept for a batch item of a residence, whichever its leader chooses."""

    session: SessionKey
    number: SlotNumber
    service: str
    instance_id: str
    residence: Residence = ANYWHERE


@dataclass(frozen=True, slots=True)
class ItemPreempted:
    """A batch item gives its slot up."""

    session: SessionKey
    number: SlotNumber
    cause: PreemptionCause


SlotInstruction = Granted | NoSlot | Refused | ItemOffered | ItemPreempted
