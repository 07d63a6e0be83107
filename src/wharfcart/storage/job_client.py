"""A gateway's calls to the leaders of job groups: who leads, and asking again elsewhere."""

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
from wharfcart.storage.job_residence import RegionOf, all_in, pick_group

RETRY_S = 0.1
FEWEST_CALL_S = 0.05
# Groups that have a job only if its residence was another once are asked for so long.
OTHERS_TIMEOUT_S = 0.6
# While a node is waited for, this often is looked whether another one leads now.
LEADER_CHECK_S = 0.05
# Cause of a failure: no group that may hold the data of a job is known.
OUTSIDE_RESIDENCE = "outside_residence"


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
    region_of: where it is.
    """

    def __init__(
        self,
        transport: Transport,
        groups: Callable[[], int],
        record_of: Callable[[int], GroupRecord | None],
        address_of: Callable[[str], Address | None],
        region_of: RegionOf = lambda _identity: None,
    ) -> None:
        self._transport = transport
        self._groups = groups
        self._record_of = record_of
        self._address_of = address_of
        self._region_of = region_of

    def holding_groups(self, residence: Residence) -> tuple[int, ...]:
        """Return the groups that may hold a job's data: all of their disks are where it may be."""
        groups = range(self._groups())
        if not residence.is_restricted:
            return tuple(groups)
        return tuple(
            group
            for group in groups
            if (record := self._record_of(group)) is not None
            and all_in(record.members, residence, self._region_of)
        )

    async def call(
        self,
        job_id: str,
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        try_s: float,
        residence: Residence = ANYWHERE,
    ) -> Frame | JobCallFailure:
        """Ask the leader of the group that a job goes to until one answers surely or time is over.

        Fails at once where no group may hold the job.

        Parameters
        ----------
        answer_field: the field of the answer that holds a status.
        try_s: the longest that one node is waited for, besides the round trip that was observed
            to it.
        residence: where the data of the call may be sent.
        """
        until = monotonic() + timeout_s
        if not await self._groups_known(until):
            return JobCallFailure(False, "no_groups")
        group = pick_group(job_id, self.holding_groups(residence))
        if group is None:
            return JobCallFailure(False, OUTSIDE_RESIDENCE)
        return await self.call_group(
            group, _to_group(frame, group), answer_field, until - monotonic(), try_s, residence
        )

    async def find(
        self,
        job_id: str,
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        try_s: float,
        residences: Iterable[Residence],
    ) -> Frame | JobCallFailure:
        """Ask for a job that some group may have.

        Where a job is was settled when it was taken: by its residence then, and by the groups that
        could hold it. First are asked the groups that its id gives now, one for each residence;
        where none of them has it, all others. That there is no such job is answered only if every
        group says so.

        Args:
            job_id: of the job.
            frame: the call.
            answer_field: the field of the answer that holds a status.
            timeout_s: time for the call at the groups that probably have it.
            try_s: the longest that one node is waited for.
            residences: where the data of such a job may be by the configuration in force.
        """
        until = monotonic() + timeout_s
        if not await self._groups_known(until):
            return JobCallFailure(False, "no_groups")
        known = set(residences) or {ANYWHERE}
        picks = {pick_group(job_id, self.holding_groups(residence)) for residence in known}
        likely = sorted(group for group in picks if group is not None)
        answer = await self._first_to_have(likely, frame, answer_field, until - monotonic(), try_s)
        others = [group for group in range(self._groups()) if group not in likely]
        if not others or (likely and not _is_missing(answer, answer_field)):
            return answer
        return await self._first_to_have(others, frame, answer_field, OTHERS_TIMEOUT_S, try_s)

    async def _first_to_have(
        self, groups: Sequence[int], frame: Frame, answer_field: str, timeout_s: float, try_s: float
    ) -> Frame | JobCallFailure:
        """Return the first answer of a group that has the job, a failure, or that none has it."""
        calls = [
            asyncio.create_task(
                self.call_group(group, _to_group(frame, group), answer_field, timeout_s, try_s)
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

    async def _groups_known(self, until: float) -> bool:
        """Wait until it is known how many groups there are; whether it is in time."""
        while not self._groups():
            if monotonic() > until:
                return False
            await asyncio.sleep(RETRY_S)
        return True

    async def call_group(
        self,
        group: int,
        frame: Frame,
        answer_field: str,
        timeout_s: float,
        try_s: float,
        residence: Residence = ANYWHERE,
    ) -> Frame | JobCallFailure:
        """Ask the leader of a group; the arguments are those of :meth:`call`.

        The call is sent to no node elsewhere, whoever is said to lead.
        """
        until = monotonic() + timeout_s
        sent = False
        cause = "no_leader"
        hint = ""
        while (left_s := until - monotonic()) > FEWEST_CALL_S:
            leader = self._leader(group, hint)
            if leader and not residence.allows(self._region_of(leader)):
                return JobCallFailure(sent, OUTSIDE_RESIDENCE)
            address = self._address_of(leader) if leader else None
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

    def _leader(self, group: int, hint: str) -> str:
        record = self._record_of(group)
        return hint or (record.leader if record is not None else "")


def _to_group(frame: Frame, group: int) -> Frame:
    """Return a call on a job that names the group which is asked."""
    call = Frame()
    call.CopyFrom(frame)
    body = call.WhichOneof("body")
    assert body is not None
    getattr(call, body).group = group
    return call


def _is_missing(answer: Frame | JobCallFailure, answer_field: str) -> bool:
    """Whether a group said that it has no such job."""
    if isinstance(answer, JobCallFailure):
        return False
    return bool(getattr(answer, answer_field).status == NOT_FOUND)
