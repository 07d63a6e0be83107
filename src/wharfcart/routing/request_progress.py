"""What has happened so far to one request that is passed on."""

from dataclasses import dataclass, field

from wharfcart.routing.placement import SendResult

RETRY_AFTER_FULL_S = 0.2


@dataclass
class RequestProgress:
    """What has happened to a request so far.

    Attributes:
        tried: incarnations that it was sent to.
        placed: it has had a place before, and counts towards its tenant's limit.
        sends: how often it was sent, without those that surely did not run.
        refusals: of back ends that did not run it.
        started: its caller has the beginning of the answer.
        last_event: number of the last event that its caller has.
        first_byte_s: how long after it came its answer began.
        cause: why the last send or placement came to nothing.
        broke: how the last send that broke off did so; '' while none did.
        well: what the last back end answered speaks for it.
        told: what the last send told of its back end.
    """

    tried_instances: set[str] = field(default_factory=set)
    placed: bool = False
    sends: int = 0
    refusals: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    answer_started: bool = False
    last_event: int | None = None
    last_backend: str = ""
    first_byte_s: float | None = None
    cause: str = ""
    break_cause: str = ""
    retry_after_s: float = RETRY_AFTER_FULL_S
    answer_ok: bool = True
    send_result: SendResult = SendResult.UNKNOWN
