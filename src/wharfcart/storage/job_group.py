"""One job group on one storage node: a replica, and at times the group's leader.

A replica that loses contact with its leader claims the next epoch by compare-and-swap on the
group's record. During an outage of the coordination service leaders keep leading; a lost leader is
replaced once the service is back.
"""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace

from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import (
    CoordinationUnavailableError,
)
from wharfcart.cluster.messages_pb2 import (
    FenceGroup,
    FenceResult,
    FetchJobs,
    JobUpdates,
    ReplicateJobs,
    ReplicateResult,
)
from wharfcart.observability.decisions import Event
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.storage.group_context import CopyMismatch, GroupContext
from wharfcart.storage.group_record import GroupRecord, RecordInDoubtError
from wharfcart.storage.group_record_store import GroupRecordStore
from wharfcart.storage.group_replica import GroupReplica
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.job_residence import may_join_group
from wharfcart.storage.message_order import FIRST_SESSION
from wharfcart.storage.partial_texts import PartialTexts
from wharfcart.storage.replica_links import (
    LocalReplicaLink,
    RemoteReplicaLink,
)
from wharfcart.storage.replica_placement import ReplicaPlacement
from wharfcart.storage.replica_session import (
    ReplicaFailedError,
    ReplicaLink,
    ReplicaSession,
)
from wharfcart.storage.replica_set_changer import ReplicaSetChanger
from wharfcart.storage.replicated_job import ReplicatedJob
from wharfcart.storage.takeover import Takeover

TICK_INTERVAL_S = 0.05
# Three missed heartbeats; a pre-vote then asks the other replicas.
ELECTION_TIMEOUT_S = 0.5
ELECTION_TIMEOUT_STEP_S = 0.15
# Wait for the remaining replicas once enough have answered a pre-vote.
STRAGGLER_WAIT_S = 0.15
CONFIRMATION_VALID_S = 0.75
# Shorter than the time for which replicas elect no other leader.
READ_LEASE_S = ELECTION_TIMEOUT_S - 0.05
ELECTION_RETRY_S = 0.3
LONG_AGO = -1e9


class JobGroup:
    """A replica of one group, and its leader in the epochs that it wins."""

    def __init__(self, group: int, key: str, context: GroupContext) -> None:
        self.group = group
        self.records = GroupRecordStore(key, context.coordination, context.mirror)
        self._context = context
        self._tasks = BackgroundTasks()
        self._leader_tasks = BackgroundTasks()
        # A restarted replica has had no contact: if it claimed otherwise, pre-votes would fail.
        self._last_leader_contact_at = LONG_AGO
        self._next_election_at = LONG_AGO
        self._started_at = monotonic()
        self._known_epoch = 0
        self._epoch_seen_at = LONG_AGO
        self._promised_epoch_at_start = 0
        self._last_led_epoch = 0
        self._stopping = False
        # Whether this node has named another leader, or may have.
        self.may_have_successor = False
        self._progress = asyncio.Event()
        self.leadership: JobLeadership | None = None
        self._replica = GroupReplica(
            group, context, lambda: self.leadership is not None, self._record_leader_contact
        )
        self.sessions: dict[str, ReplicaSession] = {}
        self._next_session_by_identity: dict[str, int] = {}
        self._session_tasks: dict[str, asyncio.Task[None]] = {}
        self.on_leadership_gained: Callable[[], None] = lambda: None
        self.on_leadership_lost: Callable[[], None] = lambda: None

    # ---- views ----

    @property
    def record(self) -> GroupRecord | None:
        """Group record in this node's mirror."""
        return self.records.mirrored

    @property
    def placement(self) -> ReplicaPlacement:
        """Preferred placement of this group's replicas, by the current state of the fleet."""
        return self._context.placement_of(self.group, None)

    @property
    def is_recently_confirmed(self) -> bool:
        """Whether a quorum of replicas recently confirmed this node's leadership.

        The other replicas are then too few to elect another leader.
        """
        leadership = self.leadership
        if leadership is None:
            return False
        return self._is_confirmed_since(leadership, monotonic() - CONFIRMATION_VALID_S)

    @property
    def may_answer_reads(self) -> bool:
        """Whether no other leader can have committed anything that this node does not know.

        Replicas that confirm a leader elect no other one for :data:`ELECTION_TIMEOUT_S`. A leader
        that names its successor answers nothing from then on.
        """
        leadership = self.leadership
        if leadership is None or self.may_have_successor:
            return False
        return self._is_confirmed_since(leadership, monotonic() - READ_LEASE_S)

    @property
    def is_confirmed_since_resume(self) -> bool:
        """Whether a quorum confirmed this node's leadership since its machine last resumed.

        During a suspension another leader may have taken over. Without the check this node would
        run items twice, or run items of finished jobs.
        """
        leadership = self.leadership
        if leadership is None:
            return False
        return self._is_confirmed_since(leadership, self._context.resumed_at())

    def _is_confirmed_since(self, leadership: JobLeadership, since: float) -> bool:
        """Whether a quorum of replicas confirmed this epoch after a point in time."""
        confirming = sum(
            1
            for identity in leadership.members
            if identity == self._context.identity
            or (identity in self.sessions and self.sessions[identity].confirmed_at > since)
        )
        return confirming >= leadership.write_quorum

    @property
    def replicas_behind(self) -> int:
        """Replicas of the set that are behind; 0 on a node that does not lead."""
        leadership = self.leadership
        if leadership is None:
            return 0
        return sum(leadership.is_behind(identity) for identity in leadership.members)

    @property
    def disks(self) -> frozenset[str]:
        """Disks that receive writes: the replica set, the next set, and spares catching up."""
        leadership = self.leadership
        if leadership is None:
            return frozenset()
        return (
            leadership.members | (leadership.target_members or frozenset()) | self.sessions.keys()
        )

    def may_hold(self, identity: str) -> bool:
        """Whether a disk may join the replica set, by the residences of the group's jobs."""
        leadership = self.leadership
        if leadership is None:
            return False
        return may_join_group(
            identity,
            leadership.members,
            leadership.residences,
            self._context.configured_residences(),
            self._context.region_of,
        )

    async def wait_for_progress(self, timeout_s: float) -> bool:
        """Wait for a commit or a change of leadership; return False after the timeout."""
        event = self._progress
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            return False
        return True

    # ---- lifecycle ----

    async def start(self) -> None:
        """Start following the group."""
        # Concurrently, since a former leader can take over only once both have been read.
        self._promised_epoch_at_start, saved = await asyncio.gather(
            self._context.disk.promised_epoch(self.group), self._replica.load_partial_texts()
        )
        self._last_led_epoch = self._promised_epoch_at_start
        self._tasks.supervise(self._run)
        self._tasks.spawn(self._replica.save_partial_texts(saved))

    async def stop(self) -> None:
        """Transfer leadership and stop."""
        self._stopping = True
        await self._transfer_leadership_at_stop()
        self._step_down("stopping")
        await self._tasks.stop()

    def abort(self) -> None:
        """Stop at once without a transfer of leadership, like a killed process."""
        self._stopping = True
        self.leadership = None
        self._leader_tasks.cancel()
        self._tasks.cancel()
        self.notify_progress()

    def wake_sessions(self) -> None:
        """Wake every session to send pending writes."""
        for session in self.sessions.values():
            session.wake()

    # ---- as a replica ----

    async def handle_fence(self, message: FenceGroup) -> FenceResult:
        """Promise an epoch to its leader, or answer a pre-vote."""
        if message.ask_only:
            return FenceResult(granted=not self._has_leader_contact())
        return await self._replica.promise(message)

    async def handle_replicate(self, message: ReplicateJobs) -> ReplicateResult:
        """Write a leader's updates."""
        return await self._replica.write(message)

    async def handle_fetch(self, message: FetchJobs) -> JobUpdates:
        """Return complete jobs."""
        return JobUpdates(updates=await self._context.disk.load_jobs(list(message.job_ids)))

    @property
    def partial_texts(self) -> PartialTexts:
        """Partial texts of the group's running items."""
        return self._replica.partial_texts

    def _has_leader_contact(self) -> bool:
        if self.leadership is not None:
            return self.is_recently_confirmed
        return monotonic() - self._last_leader_contact_at < ELECTION_TIMEOUT_S

    def _record_leader_contact(self, epoch: int, leader: str) -> None:
        self._last_leader_contact_at = monotonic()
        if self.leadership is not None and epoch > self.leadership.epoch:
            self._step_down(f"epoch {epoch} of {leader}")

    # ---- elections ----

    async def _run(self) -> None:
        while True:
            record = self.record
            if record is not None:
                await self._follow_or_step_down(record)
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _follow_or_step_down(self, record: GroupRecord) -> None:
        """Follow the record; step down if an unexpected error leaves a takeover half done."""
        led_before = self.leadership
        try:
            await self._follow_record(record)
        except Exception:
            if self.leadership is not led_before:
                self._step_down("unexpected error")
            raise

    async def _follow_record(self, record: GroupRecord) -> None:
        """Take over, step down or start an election, depending on the record."""
        if record.epoch > self._known_epoch:
            self._known_epoch = record.epoch
            self._epoch_seen_at = monotonic()
        if self.leadership is not None:
            self._check_still_leading(record)
        elif record.leader == self._context.identity and record.epoch > self._last_led_epoch:
            await self._take_over(record)
        elif self._should_start_election(record):
            await self._run_election()

    def _check_still_leading(self, record: GroupRecord) -> None:
        assert self.leadership is not None
        if record.epoch > self.leadership.epoch:
            self._step_down(f"epoch {record.epoch} of {record.leader}")

    def _should_start_election(self, record: GroupRecord) -> bool:
        if self._stopping or self._context.identity not in record.members:
            return False
        now = monotonic()
        if now < self._next_election_at:
            return False
        if record.leader == self._context.identity:
            # This node led before its restart: there is no other leader to wait for.
            return now - self._last_leader_contact_at > TICK_INTERVAL_S
        # A leader that was just elected needs time for its first heartbeat.
        no_contact_s = now - max(
            self._last_leader_contact_at, self._started_at, self._epoch_seen_at
        )
        if no_contact_s <= ELECTION_TIMEOUT_S:
            return False
        # The nearest first: a leader in another region adds a round trip to each grant.
        rank = self.placement.rank_leaders(record.members).index(self._context.identity)
        return no_contact_s > ELECTION_TIMEOUT_S + ELECTION_TIMEOUT_STEP_S * rank

    async def _run_election(self) -> None:
        started_at = monotonic()
        self._next_election_at = started_at + ELECTION_RETRY_S * (1 + self._context.random.random())
        known = self.record
        if known is None:
            return
        # While the record names this node there is no other leader to replace.
        led_before = known.leader == self._context.identity
        if not led_before and not await self._run_pre_vote(known):
            return
        try:
            record = await self.records.read()
        except CoordinationUnavailableError:
            return
        if record is None or record.epoch > known.epoch:
            return  # another replica won; the mirror delivers its record
        if self._last_leader_contact_at > started_at:
            return  # another leader has made contact meanwhile
        if self._context.identity not in record.members:
            return
        claimed = replace(record, epoch=record.epoch + 1, leader=self._context.identity)
        try:
            written = await self.records.swap(claimed, record.revision)
        except RecordInDoubtError:
            return  # if the swap took effect, the mirror delivers the record
        if written is not None:
            await self._take_over(written)

    async def _run_pre_vote(self, record: GroupRecord) -> bool:
        """Return whether enough replicas answer and none of them has contact with a leader.

        Without the pre-vote, a replica that is partitioned from the others but reaches the
        coordination service would displace a working leader with an epoch that it can't lead. A
        lost leader does not answer: once enough replicas have answered, the rest get only a short
        wait.
        """
        others = sorted(record.members - {self._context.identity})
        needed = len(record.members) - self._context.write_quorum
        pending = {asyncio.create_task(self._request_pre_vote(identity)) for identity in others}
        agreed = 0
        denied = False
        while pending and not denied:
            timeout_s = STRAGGLER_WAIT_S if agreed >= needed else None
            done, pending = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            if not done:
                break
            answers = [call.result() for call in done]
            denied = False in answers
            agreed += answers.count(True)
        for call in pending:
            call.cancel()
        return agreed >= needed and not denied

    async def _request_pre_vote(self, identity: str) -> bool | None:
        link = self._link_to(identity)
        try:
            return await link.grants_pre_vote()
        except ReplicaFailedError:
            return None

    async def _take_over(self, record: GroupRecord) -> None:
        """Take over an epoch that this node has won."""
        self._last_led_epoch = record.epoch
        started_at = monotonic()
        takeover = Takeover(
            record, self._context.identity, self._context.write_quorum, self._link_to
        )
        if not await takeover.collect_promises(
            lambda: self._stopping or self._is_superseded(record)
        ):
            return
        try:
            jobs = await takeover.newest_jobs()
        except ReplicaFailedError:
            return
        self._log_corrected_claims(takeover)
        self._start_leading(record, jobs, takeover, started_at)

    def _log_corrected_claims(self, takeover: Takeover) -> None:
        for identity, states in takeover.corrected_by_identity.items():
            self._context.count_mismatch(CopyMismatch.CLAIM, len(states))
            self._context.log.write(
                Event.JOB_CLAIM_CORRECTED,
                group=self.group,
                replica=identity,
                jobs=len(states),
                job_id=states[0].job_id,
                held_epoch=states[0].epoch,
                held_version=states[0].version,
                held_submission=states[0].submission,
            )

    def _is_superseded(self, record: GroupRecord) -> bool:
        known = self.record
        return known is not None and known.epoch > record.epoch

    async def responsive_disks(self, identities: list[str]) -> list[str]:
        """Return the disks that answer a call."""
        answers = await asyncio.gather(
            *(self._request_pre_vote(identity) for identity in identities)
        )
        return [
            identity
            for identity, answer in zip(identities, answers, strict=True)
            if answer is not None
        ]

    def _start_leading(
        self,
        record: GroupRecord,
        newest_jobs: list[ReplicatedJob],
        takeover: Takeover,
        requested_at: float,
    ) -> None:
        leadership = JobLeadership(record.epoch, self._context.write_quorum, record.members)
        leadership.inherit(newest_jobs, takeover.deletions())
        states = takeover.states_by_identity
        self.leadership = leadership
        self.partial_texts.keep_submissions(
            {job_id: job.submission for job_id, job in leadership.jobs.items()}
        )
        self.partial_texts.begin_epoch(record.epoch)
        self._next_session_by_identity = {}
        self.may_have_successor = False
        for identity in sorted(record.members):
            session = self.open_session(identity)
            if session is not None and identity in states:
                session.record_promise(states[identity], requested_at)
        changer = ReplicaSetChanger(self, self._context)
        self._leader_tasks.supervise(changer.run)
        self._context.log.write(
            Event.LEADERSHIP_TAKEN,
            group=self.group,
            epoch=record.epoch,
            members=sorted(record.members),
            jobs=len(newest_jobs),
            undecided_jobs=leadership.undecided_count,
            deleted_jobs=leadership.deletion_count,
            gathering_s=round(monotonic() - requested_at, 3),
        )
        self.on_leadership_gained()
        self.notify_progress()

    # ---- as a leader ----

    def open_session(self, identity: str) -> ReplicaSession | None:
        """Open a session that keeps a replica up to date, unless there is one."""
        leadership = self.leadership
        if leadership is None:
            return None
        session = self.sessions.get(identity)
        if session is None:
            session = ReplicaSession(
                identity,
                self._link_to(identity),
                leadership,
                self._partial_texts_for(identity),
                self.notify_progress,
                lambda epoch: self._step_down(f"epoch {epoch}"),
                self._context.log,
                self._next_session_by_identity.get(identity, FIRST_SESSION),
            )
            self.sessions[identity] = session
            self._session_tasks[identity] = self._leader_tasks.supervise(session.run)
        return session

    def _partial_texts_for(self, identity: str) -> PartialTexts:
        """Return the partial texts that a replica receives: none in another region.

        Partial texts change with every event, and traffic between regions costs more than the runs
        that a leader there would have to restart.
        """
        return PartialTexts() if self.placement.in_other_region(identity) else self.partial_texts

    def close_session(self, identity: str) -> None:
        """Close the session with a disk that is no longer a replica."""
        session = self.sessions.pop(identity, None)
        if session is not None:
            self._next_session_by_identity[identity] = session.session + 1
        task = self._session_tasks.pop(identity, None)
        if task is not None:
            task.cancel()

    def notify_progress(self) -> None:
        """Wake all waiters for a commit or a change of leadership."""
        event, self._progress = self._progress, asyncio.Event()
        event.set()

    def successors(self) -> list[str]:
        """Return the other responsive replicas in order of leadership preference.

        Replicas that are nearly caught up come first: another one would fetch jobs before it leads.
        """
        leadership = self.leadership
        if leadership is None:
            return []
        now = monotonic()
        responsive = [
            identity
            for identity in leadership.members
            if identity != self._context.identity
            and identity in self.sessions
            and self.sessions[identity].unresponsive_s(now) < CONFIRMATION_VALID_S
        ]
        ranked = self.placement.rank_leaders(responsive)
        return sorted(ranked, key=lambda identity: not leadership.is_nearly_caught_up(identity))

    async def transfer_leadership(self, successor: str) -> None:
        """Name another replica as leader; this node steps down once it reads the record.

        Repeats a write in doubt until it is settled, since no reads are answered until then.
        """
        leadership = self.leadership
        while leadership is not None and self.leadership is leadership:
            record = None
            with suppress(RecordInDoubtError):
                record = await self.swap_members(leadership.members, successor)
            if record is not None or not self.may_have_successor:
                return
            await asyncio.sleep(ELECTION_RETRY_S)

    async def swap_members(self, members: frozenset[str], leader: str) -> GroupRecord | None:
        """Write another replica set, and possibly another leader, to the group's record.

        This node answers no reads while another leader may take over by this swap. See
        :meth:`GroupRecordStore.swap_members` for the result.

        Raises:
            RecordInDoubtError: the swap may or may not have taken effect.
        """
        leadership = self.leadership
        if leadership is None:
            return None
        was_in_doubt = self.may_have_successor
        self.may_have_successor = was_in_doubt or leader != self._context.identity
        record = await self.records.swap_members(leadership.epoch, members, leader)
        if record is None or record.epoch == leadership.epoch:
            self.may_have_successor = was_in_doubt
        return record

    async def _transfer_leadership_at_stop(self) -> None:
        candidates = self.successors()
        leadership = self.leadership
        if candidates and leadership is not None:
            with suppress(RecordInDoubtError):
                await self.swap_members(leadership.members, candidates[0])

    def _step_down(self, reason: str) -> None:
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        self._last_leader_contact_at = monotonic()
        self.sessions = {}
        self._session_tasks = {}
        self._leader_tasks.cancel()
        self._context.log.write(
            Event.LEADERSHIP_LOST, group=self.group, epoch=leadership.epoch, reason=reason
        )
        self.on_leadership_lost()
        self.notify_progress()

    def _link_to(self, identity: str) -> ReplicaLink:
        if identity == self._context.identity:
            return LocalReplicaLink(self.group, self._context.disk)
        return RemoteReplicaLink(
            self.group,
            self._context.identity,
            identity,
            lambda target: self._context.known_addresses().get(target),
            self._context.transport,
        )
