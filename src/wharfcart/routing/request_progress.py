"""Progress of one request that is being forwarded."""

from dataclasses import dataclass, field

from wharfcart.admission.crashing_parts import Suspicion
from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.http.answer_end import AnswerEnd
from wharfcart.http.connection import Framing
from wharfcart.platform.http_headers import RequestMetadata
from wharfcart.routing.placement import SendResult

RETRY_AFTER_FULL_S = 0.2


@dataclass
class RequestProgress:
    """State of a request over its sends.

    Attributes:
        tried_instances: ids of instances that it was sent to.
        placed: whether it was placed before and so counts towards its tenant's limit.
        placements: number of placements.
        sends: number of sends, without those that provably did not run.
        refusals: number of refusals by back ends that did not run it.
        connect_failures: number of failed connects.
        may_have_run: whether a back end may have run it.
        answer_started: whether the caller has received the start of the answer.
        last_event: number of the last event that the caller has received.
        version: software version that began the answer; None while none has.
        last_backend: id of the instance of the last send.
        first_byte_s: seconds from the arrival of the request to the first byte of the answer.
        cause: why the last send or placement failed.
        framing: how the last answer tells where it ends; None while none has begun.
        end: whether the last answer is known to be whole.
        inside_event: whether the last stream ended inside an event.
        answer_bytes: bytes of the last answer's body.
        body_began_at: monotonic time of the first bytes of the last answer's body; None before.
        break_cause: why the last interrupted send broke; '' if none did.
        suspicion: the parts of its prompt that quarantine it, if they do.
        retry_after_s: retry time for the caller in case of a refusal.
        answer_ok: whether the last answer shows a working back end.
        send_result: what the last send showed about its back end.
    """

    tried_instances: set[str] = field(default_factory=set)
    placed: bool = False
    placements: int = 0
    sends: int = 0
    refusals: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    answer_started: bool = False
    last_event: int | None = None
    version: SoftwareVersion | None = None
    last_backend: str = ""
    first_byte_s: float | None = None
    cause: str = ""
    framing: Framing | None = None
    end: AnswerEnd = AnswerEnd.UNKNOWN
    inside_event: bool = False
    answer_bytes: int = 0
    body_began_at: float | None = None
    break_cause: str = ""
    suspicion: Suspicion | None = None
    retry_after_s: float = RETRY_AFTER_FULL_S
    answer_ok: bool = True
    send_result: SendResult = SendResult.UNKNOWN

    def last_received_event(self, facts: RequestMetadata) -> int | None:
        """Return the number of the last event that the caller has, also from an earlier request.

        Args:
            facts: fields read from the request's headers.
        """
        return facts.resume_after if self.last_event is None else self.last_event
