"""Storage node process: stores batch jobs on disk and, as a group's leader, runs their items."""

import asyncio
from collections.abc import Sequence
from functools import partial

from wharfcart.batch.item_run import ItemRunner
from wharfcart.batch.job_service import JobGroupService
from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationUnavailableError,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import EndJob, Frame, ReadItemBody, ReadResults, SubmitJob
from wharfcart.cluster.transport import Responder
from wharfcart.configuration.residence import Residence
from wharfcart.errors import ServingError
from wharfcart.node.fleet_keys import LAYOUT_KEY, NodeEntry, NodeKind, group_key
from wharfcart.node.group_placement import GroupPlacement
from wharfcart.node.hosted_group import GroupParts, HostedGroup
from wharfcart.node.serving_node import ServingNode
from wharfcart.node.version_memory import VersionMemory
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import documents, names
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.serving import ServingSettings, StorageSettings
from wharfcart.storage.disk import Disk, DiskFailedError
from wharfcart.storage.group_context import CopyMismatch, GroupContext
from wharfcart.storage.job_client import JobClient
from wharfcart.storage.job_residence import hash_to_group
from wharfcart.storage.layout_bootstrap import LayoutBootstrap
from wharfcart.storage.replicated_job import JobState

LAYOUT_POLL_INTERVAL_S = 0.02
DISK_OPEN_RETRY_S = 0.5
RETIREMENT_REPORT_INTERVAL_S = 0.3
STOP_LINGER_S = 0.3


class StorageProcess:
    """Lifecycle of one storage node.

    Args:
        settings: settings of the storage node.
        log: the decision log.
    """

    def __init__(self, settings: StorageSettings, log: DecisionLog) -> None:
        self._settings = settings
        self._log = log
        self._node = ServingNode(settings, log)
        self._node.role_handler = self._handle_call
        self._disk = Disk(settings.data_folder)
        self._groups: list[HostedGroup] = []
        self._opened: list[HostedGroup] = []
        self._unopened: list[HostedGroup] | None = None

    async def start(self) -> None:
        """Open the disk, join the fleet and start the replicas of the job groups."""
        identity = await self._open_disk()
        versions = VersionMemory(self._node.selector, self._disk, self._log)
        await versions.load()
        await self._node.start()
        self._node.tasks.supervise(versions.run)
        self._node.tasks.supervise(self._node.version_records.run)
        host, port = split_endpoint(self._settings.cluster_address)
        entry = NodeEntry(
            self._settings.node_id,
            NodeKind.STORAGE.value,
            host,
            port,
            self._settings.zone,
            identity,
        )
        self._node.tasks.supervise(partial(self._node.announce, entry))
        context = GroupContext(
            identity,
            self._disk,
            self._node.transport,
            self._node.coordination,
            self._node.mirror,
            self._addresses_by_identity,
            self._retiring_identities,
            self._settings.tolerance.storage_nodes + 1,
            self._log,
            self._node.random,
            GroupPlacement(self._node, self._settings.tolerance),
            self._node.storage_region,
            self._batch_residences,
            self._node.suspension_detector.resumed_at,
            lambda kind, count: self._node.metrics.copy_mismatches.add(kind.value, count),
        )
        layout_bootstrap = LayoutBootstrap(
            context, LAYOUT_KEY, group_key, self._zones_by_identity, self._node.topology
        )
        self._node.tasks.supervise(layout_bootstrap.run)
        self._node.tasks.supervise(partial(self._open_groups, context))
        self._node.tasks.supervise(self._report_retirements)

    def reload(self, settings: ServingSettings) -> None:
        """Apply changed settings."""
        self._node.reload(settings)

    async def stop(self) -> None:
        """Hand over leaderships and stop."""
        self._log.write(Event.STOPPING, leading=sum(group.is_leader for group in self._groups))
        started_at = monotonic()
        await asyncio.gather(*(group.replica.stop() for group in self._groups))
        await asyncio.sleep(max(0.0, STOP_LINGER_S - (monotonic() - started_at)))
        await self._node.stop()
        await self._disk.close()
        self._log.write(Event.STOPPED)

    async def _open_groups(self, context: GroupContext) -> None:
        """Start the replicas of all groups once the layout is known.

        Called again after an error of a disk, it goes on with the group that failed.
        """
        while self._node.layout is None:
            await asyncio.sleep(LAYOUT_POLL_INTERVAL_S)
        if self._unopened is None:
            self._unopened = self._new_groups(context)
        while self._unopened:
            await self._unopened[0].replica.start()
            self._opened.append(self._unopened.pop(0))
        self._groups = self._opened

    def _new_groups(self, context: GroupContext) -> list[HostedGroup]:
        node = self._node
        parts = GroupParts(
            node,
            context,
            ItemRunner(node.selector, node.pool, node.connection_limit, node.crash_detector),
            JobClient(
                node.transport,
                lambda: node.group_count,
                node.records_by_group.get,
                node.storage_address,
                node.storage_region,
            ),
            self._settings.keep_jobs_s,
        )
        return [HostedGroup(number, parts) for number in range(node.group_count)]

    async def _open_disk(self) -> str:
        while True:
            try:
                identity = await self._disk.open()
            except DiskFailedError as error:
                self._log.write(Event.DEPENDENCY_LOST, dependency="disk", reason=str(error))
                await asyncio.sleep(DISK_OPEN_RETRY_S)
                continue
            self._log_corrected_claims(identity, self._disk.corrected_claims)
            return identity

    def _log_corrected_claims(self, identity: str, states: Sequence[JobState]) -> None:
        if states:
            self._node.metrics.copy_mismatches.add(CopyMismatch.CLAIM.value, len(states))
            self._log.write(
                Event.JOB_CLAIM_CORRECTED,
                replica=identity,
                jobs=len(states),
                job_id=states[0].job_id,
                held_epoch=states[0].epoch,
                held_version=states[0].version,
            )

    # ---- views of the fleet ----

    def _addresses_by_identity(self) -> dict[str, Address]:
        nodes = self._node.storage_by_identity
        return {identity: entry.address for identity, entry in nodes.items()}

    def _zones_by_identity(self) -> dict[str, str]:
        nodes = self._node.storage_by_identity
        return {identity: entry.zone for identity, entry in nodes.items()}

    def _batch_residences(self) -> frozenset[Residence]:
        configuration = self._node.configuration
        return frozenset() if configuration is None else configuration.batch_residences

    def _retiring_identities(self) -> set[str]:
        retiring_ids = {
            change.key.removeprefix(names.RETIRE_PREFIX)
            for change in self._node.mirror.with_prefix(names.RETIRE_PREFIX)
        }
        return {
            entry.identity for entry in self._node.nodes.values() if entry.node_id in retiring_ids
        }

    # ---- calls from other nodes ----

    async def _handle_call(self, frame: Frame, respond: Responder) -> None:
        match frame.WhichOneof("body"):
            case "slot_events":
                self._group(frame.slot_events.group).slots.handle_events(frame.slot_events)
            case "slot_request":
                request = frame.slot_request
                await self._group(request.group).slots.serve_request(request, respond)
            case "permit_request":
                permit = frame.permit_request
                await self._group(permit.group).slots.serve_permit(permit, respond)
            case "report_stream_origin":
                report = frame.report_stream_origin
                self._group(report.group).slots.record_origin(report)
            case "find_stream_origin":
                lookup = frame.find_stream_origin
                await self._group(lookup.group).slots.serve_find_origin(lookup, respond)
            case "open_slot_session":
                session = frame.open_slot_session
                await self._group(session.group).slots.serve_session(session, respond)
            case _:
                answer = await self._answer(frame)
                if answer is not None:
                    answer.last = True
                    await respond(answer)

    async def _answer(self, frame: Frame) -> Frame | None:
        match frame.WhichOneof("body"):
            case "fence_group":
                fence = frame.fence_group
                result = await self._group(fence.group).replica.handle_fence(fence)
                return Frame(fence_result=result)
            case "replicate_jobs":
                write = frame.replicate_jobs
                written = await self._group(write.group).replica.handle_replicate(write)
                return Frame(replicate_result=written)
            case "fetch_jobs":
                fetch = frame.fetch_jobs
                updates = await self._group(fetch.group).replica.handle_fetch(fetch)
                return Frame(job_updates=updates)
            case "submit_job":
                service = self._service_of(frame.submit_job, frame.submit_job.job.job_id)
                return Frame(job_answer=await service.submit(frame.submit_job))
            case "read_results":
                service = self._service_of(frame.read_results, frame.read_results.job_id)
                return Frame(result_page=await service.read_results(frame.read_results))
            case "read_item_body":
                service = self._service_of(frame.read_item_body, frame.read_item_body.job_id)
                return Frame(item_body=await service.read_item_body(frame.read_item_body))
            case "end_job":
                service = self._service_of(frame.end_job, frame.end_job.job_id)
                return Frame(job_answer=await service.cancel(frame.end_job))
            case "count_waiting_tokens":
                count = frame.count_waiting_tokens
                return Frame(
                    waiting_tokens=self._group(count.group).service.count_waiting_tokens(count)
                )
        return None

    def _group(self, number: int) -> HostedGroup:
        """Return a group by its number.

        Raises:
            ServingError: this node does not know the fleet's groups yet.
        """
        if number >= len(self._groups):
            raise ServingError("starting", "the groups are not known yet", 503)
        return self._groups[number]

    def _service_of(
        self, call: SubmitJob | ReadResults | ReadItemBody | EndJob, job_id: str
    ) -> JobGroupService:
        """Return the service of the group to which a call about a job belongs.

        Raises:
            ServingError: this node does not know the fleet's groups yet.
        """
        number = call.group if call.HasField("group") else hash_to_group(job_id, len(self._groups))
        return self._group(number).service

    # ---- retired nodes ----

    async def _report_retirements(self) -> None:
        """Report the progress of each retirement while this node leads the first group."""
        while True:
            await asyncio.sleep(RETIREMENT_REPORT_INTERVAL_S)
            if not self._groups or not self._groups[0].is_leader:
                continue
            for order in self._node.mirror.with_prefix(names.RETIRE_PREFIX):
                await self._report_retirement(order.key.removeprefix(names.RETIRE_PREFIX))

    async def _report_retirement(self, node_id: str) -> None:
        entry = self._node.nodes.get(node_id)
        records = [group.replica.record for group in self._groups]
        holds_replicas = entry is not None and any(
            record is None or entry.identity in record.members for record in records
        )
        state = documents.RETIRE_RUNNING if holds_replicas else documents.RETIRE_DONE
        key = names.RETIRE_STATUS_PREFIX + node_id
        known = self._node.mirror.get(key)
        if known is not None and known.value in (state, documents.RETIRE_DONE):
            return
        try:
            await self._node.coordination.commit(
                Transaction({key: 0 if known is None else known.revision}, {key: state})
            )
        except (CoordinationUnavailableError, ConditionFailedError):
            return
        if not holds_replicas:
            self._log.write(Event.STORAGE_RETIRED, retired=node_id)
