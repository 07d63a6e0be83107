"""Client of the job groups: finds the leader of a group and retries at another node."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import NOT_FOUND, NOT_LEADING, UNSURE, Frame
from wharfcart.cluster.transport import PeerUnreachableError, Transport
from wharfcart.configuration.residence import ANYWHERE, Residence
from wharfcart.errors import ServingError
from wharfcart.storage.group_record import GroupRecord
from wharfcart.storage.job_residence import RegionOf, all_in_residence, pick_group

RETRY_DELAY_S = 0.1
MIN_CALL_S = 0.05
# Timeout at groups that hold a job only if its residence has changed since it was accepted.
FALLBACK_TIMEOUT_S = 0.6
# Interval of the check for a new leader during a call.
LEADER_CHECK_INTERVAL_S = 0.05
# Cause of a failure: no known group may hold the job's data.
OUTSIDE_RESIDENCE = "outside_residence"


@dataclass(frozen=True)
class JobCallFailure:
    """A call that no leader answered in time.

    Attributes:
        may_have_executed: whether some node may have acted on the call.
        cause: why the call failed, as a short code.
    """

    may_have_executed: bool
    cause: str


class JobClient:
    """Calls to job groups.

    Args:
        transport: connections to the nodes.
        group_count: number of job groups; 0 while that is unknown.
        record_of: the record of a group as this node knows it.
        address_of: address of the node that has the disk with an identity.
        region_of: region of that disk.
    """

    def __init__(
        self,
        transport: Transport,
        group_count: Callable[[], int],
        record_of: Callable[[int], GroupRecord | None],
        address_of: Callable[[str], Address | None],
        region_of: RegionOf = lambda _identity: None,
    ) -> None:
        self._transport = transport
        self._group_count = group_count
        self._record_of = record_of
        self._address_of = address_of
        self._region_of = region_of

    def eligible_groups(self, residence: Residence) -> tuple[int, ...]:
        """Return the groups that may hold a job's data: those with all disks in its residence."""
        groups = range(self._group_count())
        if not residence.is_restricted:
            return tuple(groups)
        return tuple(
            group
            for group in groups
            if (record := self._record_of(group)) is not None
            and all_in_residence(record.members, residence, self._region_of)
        )

    async def call(
        self,
        job_id: str,
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        attempt_timeout_s: float,
        residence: Residence = ANYWHERE,
    ) -> Frame | JobCallFailure:
        """Call the leader of a new job's group until it answers definitely or the timeout ends.

        Fails at once if no group may hold the job.

        Args:
            job_id: id of the job; its hash picks the group.
            frame: the call.
            answer_field: field of the answer that holds a status.
            timeout_s: timeout of the whole call.
            attempt_timeout_s: timeout of one attempt, on top of the observed round trip.
            residence: regions that the data of the call may be sent to.
        """
        deadline = monotonic() + timeout_s
        if not await self._wait_for_groups(deadline):
            return JobCallFailure(False, "no_groups")
        group = pick_group(job_id, self.eligible_groups(residence))
        if group is None:
            return JobCallFailure(False, OUTSIDE_RESIDENCE)
        return await self.call_group(
            group,
            _with_group(frame, group),
            answer_field,
            deadline - monotonic(),
            attempt_timeout_s,
            residence,
        )

    async def find(
        self,
        job_id: str,
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        attempt_timeout_s: float,
        residences: Iterable[Residence],
    ) -> Frame | JobCallFailure:
        """Call the group that has a job, whichever it is.

        A job's group depends on its residence and the eligible groups at the time of its
        submission, and both may have changed since. The client first calls the groups that the id
        hashes to now, one for each residence, and then all others. The answer is NOT_FOUND only if
        every group returns it.

        Args:
            job_id: id of the job.
            frame: the call.
            answer_field: field of the answer that holds a status.
            timeout_s: timeout of the call at the groups that probably have the job.
            attempt_timeout_s: timeout of one attempt at one node.
            residences: residences that the current configuration allows for such a job.
        """
        deadline = monotonic() + timeout_s
        if not await self._wait_for_groups(deadline):
            return JobCallFailure(False, "no_groups")
        known = set(residences) or {ANYWHERE}
        picks = {pick_group(job_id, self.eligible_groups(residence)) for residence in known}
        likely = sorted(group for group in picks if group is not None)
        answer = await self._find_in_groups(
            likely, frame, answer_field, deadline - monotonic(), attempt_timeout_s
        )
        others = [group for group in range(self._group_count()) if group not in likely]
        if not others or (likely and not _is_missing(answer, answer_field)):
            return answer
        return await self._find_in_groups(
            others, frame, answer_field, FALLBACK_TIMEOUT_S, attempt_timeout_s
        )

    async def _find_in_groups(
        self,
        groups: Sequence[int],
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        attempt_timeout_s: float,
    ) -> Frame | JobCallFailure:
        """Return the first answer of a group that has the job, else a failure, else NOT_FOUND."""
        calls = [
            asyncio.create_task(
                self.call_group(
                    group, _with_group(frame, group), answer_field, timeout_s, attempt_timeout_s
                )
            )
            for group in groups
        ]
        missing: Frame | JobCallFailure = JobCallFailure(False, "no_groups")
        failure: JobCallFailure | None = None
        try:
            for call in asyncio.as_completed(calls):
                answer = await call
                if isinstance(answer, JobCallFailure):
                    failure = answer
                elif not _is_missing(answer, answer_field):
                    return answer
                else:
                    missing = answer
        finally:
            for task in calls:
                task.cancel()
        return failure or missing

    async def _wait_for_groups(self, deadline: float) -> bool:
        """Wait for the number of groups to be known; return False once the deadline is over."""
        while not self._group_count():
            if monotonic() > deadline:
                return False
            await asyncio.sleep(RETRY_DELAY_S)
        return True

    async def call_group(
        self,
        group: int,
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        attempt_timeout_s: float,
        residence: Residence = ANYWHERE,
    ) -> Frame | JobCallFailure:
        """Call the leader of a group; the arguments are those of :meth:`call`.

        The call goes to no node outside the residence, even if a hint names one as the leader.
        """
        deadline = monotonic() + timeout_s
        may_have_executed = False
        cause = "no_leader"
        hint = ""
        while (left_s := deadline - monotonic()) > MIN_CALL_S:
            leader = self._leader_of(group, hint)
            if leader and not residence.allows(self._region_of(leader)):
                return JobCallFailure(may_have_executed, OUTSIDE_RESIDENCE)
            address = self._address_of(leader) if leader else None
            hint = ""
            if address is not None:
                answer, cause, attempt_may_have_executed = await self._call_node(
                    group, address, frame, answer_field, min(left_s, attempt_timeout_s)
                )
                may_have_executed = may_have_executed or attempt_may_have_executed
                if answer is not None:
                    status = getattr(answer, answer_field).status
                    if status not in (NOT_LEADING, UNSURE):
                        return answer
                    hint = getattr(answer, answer_field).leader
                    may_have_executed = may_have_executed or status == UNSURE
                    cause = "not_leading" if status == NOT_LEADING else "unsure"
            await asyncio.sleep(min(RETRY_DELAY_S, max(0.0, deadline - monotonic())))
        return JobCallFailure(may_have_executed, cause)

    async def _call_node(
        self, group: int, address: Address, frame: Frame, answer_field: str, timeout_s: float
    ) -> tuple[Frame | None, str, bool]:
        """Call one node; return its answer or None, the cause, and whether it may have executed.

        Gives up on an unresponsive node as soon as the group has another leader.
        """
        request = Frame()
        request.CopyFrom(frame)
        epoch = self._epoch_of(group)
        deadline = monotonic() + timeout_s + self._transport.round_trip_s(address)
        call = asyncio.create_task(self._transport.call(address, request))
        try:
            while not call.done() and self._epoch_of(group) == epoch:
                left_s = deadline - monotonic()
                if left_s <= 0:
                    self._transport.drop(address)
                    return None, "timeout", True
                await asyncio.wait((call,), timeout=min(LEADER_CHECK_INTERVAL_S, left_s))
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

    def _epoch_of(self, group: int) -> int:
        record = self._record_of(group)
        return 0 if record is None else record.epoch

    def _leader_of(self, group: int, hint: str) -> str:
        record = self._record_of(group)
        return hint or (record.leader if record is not None else "")


def _with_group(frame: Frame, group: int) -> Frame:
    """Return a copy of a call with its group field set."""
    call = Frame()
    call.CopyFrom(frame)
    body = call.WhichOneof("body")
    assert body is not None
    getattr(call, body).group = group
    return call


def _is_missing(answer: Frame | JobCallFailure, answer_field: str) -> bool:
    """Whether a group answered that it does not have the job."""
    if isinstance(answer, JobCallFailure):
        return False
    return bool(getattr(answer, answer_field).status == NOT_FOUND)
