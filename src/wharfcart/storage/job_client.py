"""A gateway's calls to the leaders of job groups: who leads, and asking again elsewhere."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

import xxhash

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import NOT_LEADING, UNSURE, Frame
from wharfcart.cluster.transport import PeerUnreachableError, Transport
from wharfcart.errors import ServingError
from wharfcart.storage.group_record import GroupRecord

RETRY_S = 0.1
FEWEST_CALL_S = 0.05
# While a node is waited for, this often is looked whether another one leads now.
LEADER_CHECK_S = 0.05


@dataclass(frozen=True)
class JobCallFailure:
    """No leader answered in time.

    ``sent`` tells whether some node may have acted on the call.
    """

    sent: bool
    cause: str


class JobClient:
    """Calls to job groups.

    Parameters
    ----------
    record_of: the record of a group as this node knows it.
    address_of: where the disk of an identity is reached.
    """

    def __init__(
        self,
        transport: Transport,
        groups: Callable[[], int],
        record_of: Callable[[int], GroupRecord | None],
        address_of: Callable[[str], Address | None],
    ) -> None:
        self._transport = transport
        self._groups = groups
        self._record_of = record_of
        self._address_of = address_of

    async def call(
        self, job_id: str, frame: Frame, answer_field: str, timeout_s: float, try_s: float
    ) -> Frame | JobCallFailure:
        """Ask the leader of a job's group until one answers surely or the time is over.

        Parameters
        ----------
        answer_field: the field of the answer that holds a status.
        try_s: the longest that one node is waited for, besides the round trip that was observed
            to it.
        """
        until = monotonic() + timeout_s
        while not (groups := self._groups()):
            if monotonic() > until:
                return JobCallFailure(False, "no_groups")
            await asyncio.sleep(RETRY_S)
        return await self.call_group(
            group_of(job_id, groups), frame, answer_field, until - monotonic(), try_s
        )

    async def call_group(
        self, group: int, frame: Frame, answer_field: str, timeout_s: float, try_s: float
    ) -> Frame | JobCallFailure:
        """Ask the leader of a group; the arguments are those of :meth:`call`."""
        until = monotonic() + timeout_s
        sent = False
        cause = "no_leader"
        hint = ""
        while (left_s := until - monotonic()) > FEWEST_CALL_S:
            address = self._leader_address(group, hint)
            hint = ""
            if address is not None:
                answer, cause, may_have_acted = await self._ask(
                    group, address, frame, answer_field, min(left_s, try_s)
                )
                sent = sent or may_have_acted
                if answer is not None:
                    status = getattr(answer, answer_field).status
                    if status not in (NOT_LEADING, UNSURE):
                        return answer
                    hint = getattr(answer, answer_field).leader
                    sent = sent or status == UNSURE
                    cause = "not_leading" if status == NOT_LEADING else "unsure"
            await asyncio.sleep(min(RETRY_S, max(0.0, until - monotonic())))
        return JobCallFailure(sent, cause)

    async def _ask(
        self, group: int, address: Address, frame: Frame, answer_field: str, timeout_s: float
    ) -> tuple[Frame | None, str, bool]:
        """Ask one node; return its answer or None, the cause, and whether it may have acted.

        A node that falls silent is left as soon as another one leads.
        """
        request = Frame()
        request.CopyFrom(frame)
        epoch = self._epoch(group)
        until = monotonic() + timeout_s + self._transport.round_trip_s(address)
        call = asyncio.create_task(self._transport.call(address, request))
        try:
            while not call.done() and self._epoch(group) == epoch:
                left_s = until - monotonic()
                if left_s <= 0:
                    self._transport.drop(address)
                    return None, "timeout", True
                await asyncio.wait((call,), timeout=min(LEADER_CHECK_S, left_s))
            if not call.done():
                return None, "leader_changed", True
            answer = call.result()
        except PeerUnreachableError as error:
            return None, "unreachable", error.sent
        except ServingError as error:
            return None, error.code, True
        finally:
            call.cancel()
        if answer.WhichOneof("body") != answer_field:
            return None, "odd_answer", True
        return answer, "", False

    def _epoch(self, group: int) -> int:
        record = self._record_of(group)
        return 0 if record is None else record.epoch

    def _leader_address(self, group: int, hint: str) -> Address | None:
        record = self._record_of(group)
        leader = hint or (record.leader if record is not None else "")
        return self._address_of(leader) if leader else None


def group_of(job_id: str, groups: int) -> int:
    """Return the group that a job belongs to, of one group or more."""
    return xxhash.xxh64_intdigest(job_id.encode()) % max(1, groups)
