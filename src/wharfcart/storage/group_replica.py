"""Replica of a job group on one node: promises, a leader's updates, partial texts."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import asdict

from wharfcart.cluster.messages_pb2 import (
    FenceGroup,
    FenceResult,
    ItemReference,
    ReplicateJobs,
    ReplicateResult,
)
from wharfcart.observability.decisions import Event
from wharfcart.observability.tasks import record_failure
from wharfcart.storage.disk import DiskFailedError
from wharfcart.storage.group_context import CopyMismatch, GroupContext
from wharfcart.storage.message_order import UNNUMBERED, MessageNumber, MessageOrder
from wharfcart.storage.partial_texts import PartialTexts, SentOffsets, TextMismatch
from wharfcart.storage.replica_links import state_to_message
from wharfcart.storage.replicated_job import SubmissionId

# Interval of saving partial texts; newer events are lost if all nodes lose power.
TEXT_SAVE_INTERVAL_S = 0.5


class GroupReplica:
    """Replica of one group on this node's disk, which the leaders of the group write.

    Args:
        group: number of the group.
        context: resources of the node's groups.
        is_leading: whether this node leads the group.
        on_leader_contact: called with the epoch and the identity of a leader that made contact.

    Attributes:
        partial_texts: partial texts of the group's running items.
    """

    def __init__(
        self,
        group: int,
        context: GroupContext,
        is_leading: Callable[[], bool],
        on_leader_contact: Callable[[int, str], None],
    ) -> None:
        self.group = group
        self.partial_texts = PartialTexts()
        self._context = context
        self._is_leading = is_leading
        self._on_leader_contact = on_leader_contact
        self._message_order = MessageOrder()

    async def promise(self, message: FenceGroup) -> FenceResult:
        """Promise an epoch to its leader and return the states of the jobs."""
        disk = self._context.disk
        try:
            if message.target != self._context.identity:
                return FenceResult(granted=False, epoch=0)
            if not await disk.promise_epoch(self.group, message.epoch):
                return FenceResult(granted=False, epoch=await disk.promised_epoch(self.group))
            # Before the states are read: no message of an earlier session changes them any more.
            self._message_order.begin_session(message.epoch, message.session)
            states = await disk.job_states(self.group)
        except DiskFailedError:
            return FenceResult(granted=False, epoch=0)
        self._on_leader_contact(message.epoch, message.leader)
        return FenceResult(
            granted=True,
            epoch=message.epoch,
            jobs=[state_to_message(state) for state in states if not state.is_deleted],
            deleted_jobs=[state_to_message(state) for state in states if state.is_deleted],
        )

    async def write(self, message: ReplicateJobs) -> ReplicateResult:
        """Write a leader's updates, and keep its partial texts in memory."""
        disk = self._context.disk
        try:
            if message.target != self._context.identity:
                return ReplicateResult(accepted=False, epoch=0)
            number = MessageNumber(message.session, message.sequence)
            if not self._message_order.admit(message.epoch, number):
                self._log_refused_message(message)
                return ReplicateResult(accepted=False, epoch=await disk.promised_epoch(self.group))
            updates = [*message.updates, *message.confirmed_deletions]
            applied = await disk.apply_updates(self.group, message.epoch, updates)
            if applied is None:
                return ReplicateResult(accepted=False, epoch=await disk.promised_epoch(self.group))
        except DiskFailedError:
            return ReplicateResult(accepted=False, epoch=0)
        self._on_leader_contact(message.epoch, message.leader)
        mismatches = self._apply_partial_texts(message)
        self._context.count_mismatch(CopyMismatch.JOB, len(applied.mismatches))
        self._context.count_mismatch(CopyMismatch.TEXT, len(mismatches))
        if applied.mismatches and message.session == UNNUMBERED:
            # A leader of an earlier build reads no mismatches; it then asks for the states again.
            return ReplicateResult(accepted=False, epoch=message.epoch)
        return ReplicateResult(
            accepted=True,
            epoch=message.epoch,
            mismatched_jobs=[state_to_message(state) for state in applied.mismatches] or None,
            mismatched_texts=[
                ItemReference(
                    job_id=mismatch.job_id,
                    item_id=mismatch.item_id,
                    submission=mismatch.submission,
                )
                for mismatch in mismatches
            ]
            or None,
        )

    def _log_refused_message(self, message: ReplicateJobs) -> None:
        self._context.count_mismatch(CopyMismatch.MESSAGE, 1)
        self._context.log.write(
            Event.REPLICATION_REFUSED,
            group=self.group,
            leader=message.leader,
            epoch=message.epoch,
            session=message.session,
            sequence=message.sequence,
            updates=len(message.updates),
            partial_texts=len(message.partial_texts),
        )

    def _apply_partial_texts(self, message: ReplicateJobs) -> list[TextMismatch]:
        """Apply the texts of a leader's message; return the parts that do not extend a copy."""
        if self._is_leading():
            return []  # the message of an earlier leader; the texts are this leader's own now
        for update in message.updates:
            submission = SubmissionId(update.submission)
            if update.ended or update.forgotten:
                self.partial_texts.remove_job(update.job_id)
            elif update.HasField("job"):
                self.partial_texts.remove_other_submissions(update.job_id, submission)
            for result in update.results:
                self.partial_texts.remove_item(update.job_id, result.item_id, submission)
        mismatches = self.partial_texts.apply(message.partial_texts)
        if mismatches:
            self._context.log.write(
                Event.PARTIAL_TEXT_MISMATCH,
                group=self.group,
                epoch=message.epoch,
                items=len(mismatches),
                **asdict(mismatches[0]),
            )
        return mismatches

    async def load_partial_texts(self) -> SentOffsets:
        """Load the saved partial texts; return the saved offsets by item."""
        saved = SentOffsets()
        with suppress(DiskFailedError):
            parts = await self._context.disk.load_partial_texts(self.group)
            mismatches = self.partial_texts.apply(parts)
            while self.partial_texts.take_unsent(saved):
                pass
            self._context.log.write(
                Event.PARTIAL_TEXTS_LOADED,
                group=self.group,
                items=len(saved.by_item),
                events=sum(sent.events for sent in saved.by_item.values()),
                mismatches=len(mismatches),
            )
        return saved

    async def save_partial_texts(self, saved: SentOffsets) -> None:
        """Save partial texts periodically.

        After a failed write all of them are saved again, and a text that does not extend what the
        disk has of it is saved whole.
        """
        while True:
            await asyncio.sleep(TEXT_SAVE_INTERVAL_S)
            try:
                await self._save_new_texts(saved)
            except DiskFailedError:
                saved = SentOffsets()
            except Exception as error:
                record_failure("GroupReplica.save_partial_texts", error)
                saved = SentOffsets()

    async def _save_new_texts(self, saved: SentOffsets) -> None:
        finished_items = self.partial_texts.removed_items(saved)
        parts = self.partial_texts.take_unsent(saved)
        if parts or finished_items:
            mismatched_items = await self._context.disk.save_partial_texts(
                self.group, parts, finished_items
            )
            saved.forget(mismatched_items)
