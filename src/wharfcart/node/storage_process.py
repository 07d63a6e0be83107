"""A storage node: keeps batch jobs on its disk and, as a group's leader, runs their items."""

import asyncio
from time import monotonic

from wharfcart.batch.item_run import ItemRunner
from wharfcart.batch.job_execution import JobExecution
from wharfcart.batch.job_service import JobService
from wharfcart.cluster.address import Address
from wharfcart.cluster.coordination import (
    ConditionFailedError,
    CoordinationUnavailableError,
    Transaction,
)
from wharfcart.cluster.messages_pb2 import Frame, LoadSummary, SlotGrant, SlotRequest
from wharfcart.cluster.transport import Responder
from wharfcart.node.fleet_keys import GROUP_PREFIX, LOAD_BOARD_GROUP, NodeEntry, NodeKind
from wharfcart.node.load_reports import LoadBoardKeeper
from wharfcart.node.serving_node import ServingNode
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import documents, names
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.serving import ServingSettings, StorageSettings
from wharfcart.storage.disk import Disk, DiskFailedError
from wharfcart.storage.group_context import GroupContext
from wharfcart.storage.job_client import group_of
from wharfcart.storage.job_group import JobGroup

OPEN_RETRY_S = 0.5
RETIRE_PERIOD_S = 0.3
STOP_LINGER_S = 0.3


class StorageProcess:
    """One storage node from start to stop."""

    def __init__(self, settings: StorageSettings, log: DecisionLog) -> None:
        self._settings = settings
        self._log = log
        self._node = ServingNode(settings, log)
        self._node.handle_other = self._handle
        self._disk = Disk(settings.data_folder)
        self._groups: list[JobGroup] = []
        self._services: list[JobService] = []
        self._board: LoadBoardKeeper | None = None

    async def start(self) -> None:
        """Open the disk, join the fleet, follow the groups."""
        identity = await self._open_disk()
        await self._node.start()
        host, port = split_endpoint(self._settings.cluster_address)
        entry = NodeEntry(
            self._settings.node_id,
            NodeKind.STORAGE.value,
            host,
            port,
            self._settings.zone,
            identity,
        )
        self._node.tasks.spawn(self._node.announce(entry))
        context = GroupContext(
            identity,
            self._disk,
            self._node.transport,
            self._node.coordination,
            self._node.mirror,
            self._identities,
            self._retiring,
            self._settings.tolerance.storage_nodes + 1,
            self._log,
            self._node.random,
        )
        runner = ItemRunner(self._node.choice, self._node.pool, self._node.connection_limit)
        for number in range(self._settings.job_groups):
            self._add_group(number, context, runner)
        for group in self._groups:
            await group.start()
        self._node.tasks.spawn(self._report_retirements())

    def reload(self, settings: ServingSettings) -> None:
        """Take changed settings."""
        self._node.reload(settings)

    async def stop(self) -> None:
        """Hand leaderships over and leave."""
        self._log.write(Event.STOPPING, leading=sum(g.leadership is not None for g in self._groups))
        began_at = monotonic()
        for group in self._groups:
            await group.stop()
        await asyncio.sleep(max(0.0, STOP_LINGER_S - (monotonic() - began_at)))
        await self._node.stop()
        await self._disk.close()
        self._log.write(Event.STOPPED)

    def _add_group(self, number: int, context: GroupContext, runner: ItemRunner) -> None:
        group = JobGroup(number, f"{GROUP_PREFIX}{number}", context)
        execution = JobExecution(
            group,
            runner,
            self._node.choice,
            lambda: self._node.configuration,
            self._settings.keep_jobs_s,
            self._log,
            self._node.metrics,
        )
        if number == LOAD_BOARD_GROUP:
            self._board = LoadBoardKeeper(
                self._settings.node_id,
                self._node.choice,
                self._batch_services,
                execution,
                self._log,
                self._node.metrics.requests_waiting,
            )
            execution.online_waiting = self._board.slots.waiting
            execution.on_slot_freed = self._board.slots.slots_changed
        self._groups.append(group)
        self._services.append(
            JobService(
                group,
                execution,
                lambda: self._node.configuration,
                self._settings.job_groups,
                self._log,
            )
        )

    def _batch_services(self) -> frozenset[str]:
        """Return the services that run batch items beside online requests."""
        configuration = self._node.configuration
        if configuration is None:
            return frozenset()
        return configuration.batch_services

    async def _open_disk(self) -> str:
        while True:
            try:
                return await self._disk.open()
            except DiskFailedError as error:
                self._log.write(Event.DEPENDENCY_LOST, dependency="disk", reason=str(error))
                await asyncio.sleep(OPEN_RETRY_S)

    # ---- views of the fleet ----

    def _identities(self) -> dict[str, Address]:
        return {
            entry.identity: entry.address
            for entry in self._node.nodes.values()
            if entry.kind == NodeKind.STORAGE and entry.identity
        }

    def _retiring(self) -> set[str]:
        ordered = {
            change.key.removeprefix(names.RETIRE_PREFIX)
            for change in self._node.mirror.under(names.RETIRE_PREFIX)
        }
        return {entry.identity for entry in self._node.nodes.values() if entry.node_id in ordered}

    # ---- calls of other nodes ----

    async def _handle(self, frame: Frame, respond: Responder) -> None:
        if frame.WhichOneof("body") == "slot_request":
            await self._grant_slot(frame.slot_request, respond)
            return
        answer = await self._answer(frame)
        if answer is not None:
            answer.last = True
            await respond(answer)

    async def _answer(self, frame: Frame) -> Frame | None:
        match frame.WhichOneof("body"):
            case "fence_group":
                fence = frame.fence_group
                return Frame(fence_result=await self._groups[fence.group].answer_fence(fence))
            case "replicate_jobs":
                write = frame.replicate_jobs
                result = await self._groups[write.group].answer_replicate(write)
                return Frame(replicate_result=result)
            case "fetch_jobs":
                fetch = frame.fetch_jobs
                return Frame(job_updates=await self._groups[fetch.group].answer_fetch(fetch))
            case "load_report":
                board = self._led_board()
                summary = LoadSummary() if board is None else board.take(frame.load_report)
                return Frame(load_summary=summary)
            case "submit_job":
                service = self._service(frame.submit_job.job.job_id)
                return Frame(job_answer=await service.submit(frame.submit_job))
            case "read_results":
                service = self._service(frame.read_results.job_id)
                return Frame(result_page=await service.read(frame.read_results))
            case "read_item_body":
                service = self._service(frame.read_item_body.job_id)
                return Frame(item_body=await service.read_body(frame.read_item_body))
            case "end_job":
                service = self._service(frame.end_job.job_id)
                return Frame(job_answer=await service.end(frame.end_job))
        return None

    async def _grant_slot(self, request: SlotRequest, respond: Responder) -> None:
        async def give(grant: SlotGrant) -> None:
            await respond(Frame(slot_grant=grant, last=not grant.waiting))

        board = self._led_board()
        if board is None:
            await give(SlotGrant())
        else:
            await board.slots.serve(request, give)

    def _led_board(self) -> LoadBoardKeeper | None:
        """Return the load board while this node keeps it."""
        leads = self._groups[LOAD_BOARD_GROUP].leadership is not None
        return self._board if leads else None

    def _service(self, job_id: str) -> JobService:
        return self._services[group_of(job_id, len(self._services))]

    # ---- emptied nodes ----

    async def _report_retirements(self) -> None:
        """As leader of the first group, tell the operator how far each emptying has come."""
        while True:
            await asyncio.sleep(RETIRE_PERIOD_S)
            if self._groups[0].leadership is None:
                continue
            for order in self._node.mirror.under(names.RETIRE_PREFIX):
                await self._report_one(order.key.removeprefix(names.RETIRE_PREFIX))

    async def _report_one(self, node_id: str) -> None:
        entry = self._node.nodes.get(node_id)
        records = [group.record for group in self._groups]
        holds = entry is not None and any(
            record is None or entry.identity in record.members for record in records
        )
        state = documents.RETIRE_RUNNING if holds else documents.RETIRE_DONE
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
        if not holds:
            self._log.write(Event.STORAGE_RETIRED, retired=node_id)
