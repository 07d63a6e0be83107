"""Files and jobs of the batch API; any node serves any of them."""

import asyncio
import hashlib
import logging
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass

from wharfcart.batch.files import FileWriter, FindService, LineChecker
from wharfcart.batch.ids import JOB_PREFIX, new_id, shard_of_id
from wharfcart.batch.lines import error_line, now_ms
from wharfcart.cluster.messages_pb2 import (
    COMPLETED,
    Command,
    FileRecord,
    Frame,
    ItemResult,
    JobCancel,
    JobCreate,
    JobQuery,
    JobView,
    KeyStart,
    ProposeResult,
    ReadFile,
)
from wharfcart.cluster.rendezvous import shard_of
from wharfcart.configuration.schema import Tenant
from wharfcart.errors import Outcome, ServingError
from wharfcart.storage.journal_client import CALL_TIMEOUT_S, JournalClient
from wharfcart.storage.shard_state import RowKind

logger = logging.getLogger(__name__)


@dataclass(frozen=True)
class NewJob:
    """Parameters of a job to create.

    Attributes:
        file_id: input file.
        endpoint: API path of the items.
        window_seconds: completion window.
        metadata: metadata of the caller, stored as it is.
        idempotency_key: key that identifies repeated requests, or None.
    """

    file_id: str
    endpoint: str
    window_seconds: float
    metadata: bytes
    idempotency_key: str | None


class BatchApiService:
    """Files and jobs of all tenants.

    Args:
        journal: client of the shards' leaders.
        find_service: returns a tenant's service by name, or None.
        max_line_bytes: length limit of a line of a file.
    """

    def __init__(
        self, journal: JournalClient, find_service: FindService, max_line_bytes: int
    ) -> None:
        self._journal = journal
        self._find_service = find_service
        self._max_line_bytes = max_line_bytes

    # ---- files ----

    def new_file(self, tenant: str) -> FileWriter:
        """Return a writer for a new file on a random shard.

        Raises:
            ServingError: the number of shards is not known yet.
        """
        shard = random.randrange(self._journal.shard_count)
        checker = LineChecker(tenant, self._find_service)
        return FileWriter(self._journal, tenant, shard, checker, self._max_line_bytes)

    async def find_file(self, tenant: str, file_id: str) -> FileRecord:
        """Return a sealed file of the tenant.

        Raises:
            ServingError: ``file_not_found`` if the tenant has no such file.
        """
        shard = self._checked_shard(file_id, "file")
        frame = Frame(read_file=ReadFile(shard=shard, file_id=file_id))
        answer = await self._journal.ask_leader(shard, frame, CALL_TIMEOUT_S)
        record = answer.file_record
        if not record.sealed or record.tenant != tenant:
            raise self._not_found("file", file_id)
        return record

    async def file_lines(self, record: FileRecord) -> AsyncIterator[bytes]:
        """Yield the lines of a file."""
        shard = self._checked_shard(record.file_id, "file")
        rows = self._journal.iterate_rows(shard, RowKind.LINE, record.file_id)
        async for row in rows:
            yield row.value

    # ---- jobs ----

    async def create(self, tenant: Tenant, new_job: NewJob) -> JobView:
        """Create a job, or return the one created before with the same idempotency key.

        Raises:
            ServingError: ``key_conflict`` (422) if the key belongs to a different job;
                ``too_many_jobs`` (429) if the tenant has reached its limit.
        """
        source = await self.find_file(tenant.name, new_job.file_id)
        job_id = new_id(JOB_PREFIX, self._checked_shard(new_job.file_id, "file"))
        file_id = new_job.file_id
        if new_job.idempotency_key is not None:
            claimed = await self._claim_idempotency_key(tenant.name, new_job, source, job_id)
            job_id, file_id = claimed.request_id, claimed.target
        if file_id == new_job.file_id:  # otherwise the job already exists, from an earlier upload
            await self._check_job_limit(tenant, job_id)
        create = JobCreate(
            job_id=job_id,
            tenant=tenant.name,
            file_id=file_id,
            endpoint=new_job.endpoint,
            deadline_ms=now_ms() + int(self._window_seconds(tenant.name, source, new_job) * 1000),
            metadata=new_job.metadata,
            input_digest=source.digest,
        )
        command = Command(at_ms=now_ms(), job_create=create)
        result = await self._journal.propose(self._checked_shard(job_id, "batch"), command)
        if result.code != "ok":
            raise self._not_found("file", file_id)
        return result.job

    def _window_seconds(self, tenant: str, source: FileRecord, new_job: NewJob) -> float:
        services = [self._find_service(tenant, name) for name in source.service_names]
        windows = [s.batch_deadline_seconds for s in services if s is not None]
        return min([new_job.window_seconds, *windows])

    async def _claim_idempotency_key(
        self, tenant: str, new_job: NewJob, source: FileRecord, job_id: str
    ) -> KeyStart:
        """Bind the idempotency key to a job id on the key's shard; return the stored binding."""
        key = f"job/{tenant}/{new_job.idempotency_key}"
        content = f"{source.digest}\0{new_job.endpoint}\0".encode() + new_job.metadata
        digest = hashlib.sha256(content).hexdigest()
        start = KeyStart(key=key, digest=digest, request_id=job_id, target=new_job.file_id)
        command = Command(at_ms=now_ms(), key_start=start)
        shard = shard_of(key, self._journal.shard_count)
        result: ProposeResult = await self._journal.propose(shard, command)
        if result.code == "key_conflict":
            raise ServingError(
                "key_conflict", "this Idempotency-Key stands for another request", 422
            )
        return result.key_record.start

    async def _check_job_limit(self, tenant: Tenant, job_id: str) -> None:
        jobs = await self.list(tenant.name)
        running = [job for job in jobs if job.state == "in_progress" and job.job_id != job_id]
        if len(running) >= tenant.limits.concurrent_jobs:
            raise ServingError(
                "too_many_jobs",
                "the tenant's limit of jobs is reached",
                429,
                retry_after_seconds=30,
            )

    async def find(self, tenant: str, job_id: str) -> JobView:
        """Return a job of the tenant.

        Raises:
            ServingError: ``batch_not_found`` if the tenant has no such job.
        """
        query = JobQuery(shard=self._checked_shard(job_id, "batch"), tenant=tenant, job_id=job_id)
        found = await self._journal.query_jobs(query)
        if not found:
            raise self._not_found("batch", job_id)
        return found[0]

    async def list(self, tenant: str, max_jobs: int = 100) -> list[JobView]:
        """Return the tenant's jobs, newest first."""
        queries = [
            JobQuery(shard=shard, tenant=tenant, most=max_jobs)
            for shard in range(self._journal.shard_count)
        ]
        found = await asyncio.gather(*(self._journal.query_jobs(query) for query in queries))
        jobs = [job for part in found for job in part]
        return sorted(jobs, key=lambda job: -job.created_ms)[:max_jobs]

    async def cancel(self, tenant: str, job_id: str) -> JobView:
        """Cancel a job and return it.

        Raises:
            ServingError: ``batch_not_found`` if the tenant has no such job.
        """
        shard = self._checked_shard(job_id, "batch")
        cancel = JobCancel(job_id=job_id, tenant=tenant)
        command = Command(at_ms=now_ms(), job_cancel=cancel)
        result = await self._journal.propose(shard, command)
        if result.code != "ok":
            raise self._not_found("batch", job_id)
        return result.job

    async def results(
        self, job: JobView, completed: bool | None, first: int = 0, end: int | None = None
    ) -> AsyncIterator[bytes]:
        """Yield the output lines of finished items in input order.

        Args:
            job: the job.
            completed: yield only completed items if True, only others if False, all if None.
            first: first row.
            end: row at which to stop, or None for no bound.
        """
        shard = self._checked_shard(job.job_id, "batch")
        async for row in self._journal.iterate_rows(shard, RowKind.RESULT, job.job_id, first, end):
            result = ItemResult.FromString(row.value)
            if completed is None or (result.end == COMPLETED) == completed:
                yield result.body or await self._unknown_outcome_line(shard, job, row.number)

    async def _unknown_outcome_line(self, shard: int, job: JobView, row: int) -> bytes:
        """Return the output line of an item whose lease ended without a result."""
        lines = await self._journal.read_rows(shard, RowKind.LINE, job.file_id, row, limit=1)
        line = lines[0].value if lines else b"{}"
        return error_line(line, f"{job.job_id}-{row}", "unknown", Outcome.UNKNOWN)

    def _checked_shard(self, id_: str, kind: str) -> int:
        shard = shard_of_id(id_)
        if shard is None or shard >= self._journal.shard_count:
            raise self._not_found(kind, id_)
        return shard

    def _not_found(self, kind: str, id_: str) -> ServingError:
        """Return the error for a missing record; logs the shards known to this node."""
        known_shards = sorted(self._journal.placement.shards)
        details = {"what": kind, "id": id_, "shard": shard_of_id(id_), "known_shards": known_shards}
        logger.info("record not found", extra=details)
        return ServingError(f"{kind}_not_found", f"no {kind} {id_!r}", 404)
