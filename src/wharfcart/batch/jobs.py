"""Files and jobs as the gateway sees them: any node can serve any of them."""

import asyncio
import hashlib
import json
import random
import uuid
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

from wharfcart.backends.requests import CHAT_PATH, COMPLETIONS_PATH, SERVICES_PREFIX
from wharfcart.batch.lines import now_ms, service_name_of
from wharfcart.cluster.messages_pb2 import (
    COMPLETED,
    Command,
    FileAppend,
    FileRecord,
    FileSeal,
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
from wharfcart.cluster.ownership import shard_of
from wharfcart.configuration.schema import TemplateKind, Tenant
from wharfcart.configuration.services import Service
from wharfcart.errors import Outcome, ServingError
from wharfcart.storage.client import CALL_TIMEOUT_S, JournalClient
from wharfcart.storage.shard_state import RowKind

LINES_AN_APPEND = 256
BYTES_AN_APPEND = 1024 * 1024
MOST_SERVICES_A_FILE = 255
MOST_FINDINGS = 20
SHARD_DIGITS = 4
FILE_PREFIX = "file-"
JOB_PREFIX = "batch_"
ENGINE_PATHS = (CHAT_PATH, COMPLETIONS_PATH)

FindService = Callable[[str, str], Service | None]


class BadLinesError(Exception):
    """Some lines of a file cannot be items; carries row numbers (from 1) and reasons."""

    def __init__(self, findings: list[tuple[int, str]]) -> None:
        super().__init__("; ".join(f"line {row}: {reason}" for row, reason in findings))
        self.findings = findings


@dataclass(frozen=True)
class NewJob:
    """What a caller asks for."""

    file_id: str
    endpoint: str
    window_seconds: float
    metadata: bytes
    idempotency_key: str | None


def shard_of_id(id_: str) -> int | None:
    """Return the shard that an id of a file or job names, or None if it is none of ours."""
    for prefix in (FILE_PREFIX, JOB_PREFIX):
        if id_.startswith(prefix):
            digits = id_.removeprefix(prefix)[:SHARD_DIGITS]
            try:
                return int(digits, 16)
            except ValueError:
                return None
    return None


def _new_id(prefix: str, shard: int) -> str:
    return f"{prefix}{shard:0{SHARD_DIGITS}x}{uuid.uuid4().hex[:20]}"


@dataclass
class LineChecker:
    """Checks lines of a batch file and tells each one's service."""

    tenant: str
    find_service: FindService
    service_names: list[str] = field(default_factory=list)
    findings: list[tuple[int, str]] = field(default_factory=list)
    rows: int = 0
    _custom_ids: set[int] = field(default_factory=set)

    def check(self, line: bytes) -> int:
        """Check one line; return the index of its service, 0 if it is bad."""
        self.rows += 1
        reason, class_ = self._judge(line)
        if reason is not None and len(self.findings) < MOST_FINDINGS:
            self.findings.append((self.rows, reason))
        return class_

    def too_long(self, most_bytes: int) -> None:
        """Note a line longer than allowed."""
        self.findings.append((self.rows + 1, f"longer than {most_bytes} bytes"))

    def _judge(self, line: bytes) -> tuple[str | None, int]:
        try:
            item = json.loads(line)
        except UnicodeDecodeError:
            return "not UTF-8", 0
        except ValueError as error:
            return f"not JSON: {error}", 0
        except RecursionError:
            return "nested too deeply", 0
        if not isinstance(item, dict):
            return "not an object", 0
        custom_id = item.get("custom_id")
        if not isinstance(custom_id, str):
            return "custom_id is missing or no string", 0
        # Hashes, not the ids themselves: a file may hold 690,000 of them.
        if hash(custom_id) in self._custom_ids:
            return f"custom_id {custom_id!r} stands twice", 0
        self._custom_ids.add(hash(custom_id))
        return self._judge_target(item)

    def _judge_target(self, item: dict[str, object]) -> tuple[str | None, int]:
        url = item.get("url")
        if not isinstance(url, str):
            return "url is missing or no string", 0
        if not isinstance(item.get("body", {}), dict):
            return "body is not an object", 0
        name = service_name_of(item)
        service = self.find_service(self.tenant, name)
        if service is None:
            return f"no service {name!r}", 0
        wanted = TemplateKind.MODEL if url in ENGINE_PATHS else TemplateKind.APPLICATION
        known_path = url in ENGINE_PATHS or url.startswith(SERVICES_PREFIX)
        if not known_path or service.kind is not wanted:
            return f"url {url!r} does not fit service {name!r}", 0
        body = item.get("body")
        if url == CHAT_PATH and not _has_messages(body):
            return "body.messages is missing or not a list of objects", 0
        return self._class_of(name)

    def _class_of(self, name: str) -> tuple[str | None, int]:
        if name not in self.service_names:
            if len(self.service_names) >= MOST_SERVICES_A_FILE:
                return f"more than {MOST_SERVICES_A_FILE} services in one file", 0
            self.service_names.append(name)
        return None, self.service_names.index(name)


def _has_messages(body: object) -> bool:
    messages = body.get("messages") if isinstance(body, dict) else None
    return (
        isinstance(messages, list)
        and bool(messages)
        and all(isinstance(message, dict) for message in messages)
    )


class FileWriter:
    """Writes one uploaded file to the journal, line by line, holding a chunk at a time."""

    def __init__(
        self, journal: JournalClient, tenant: str, shard: int, checker: LineChecker, most_line: int
    ) -> None:
        self.file_id = _new_id(FILE_PREFIX, shard)
        self._journal = journal
        self._tenant = tenant
        self._shard = shard
        self._checker = checker
        self._most_line = most_line
        self._buffer = bytearray()
        self._lines: list[bytes] = []
        self._classes = bytearray()
        self._first_row = 0
        self._bytes = 0
        self._digest = hashlib.sha256()

    async def write(self, data: bytes) -> None:
        """Take the next bytes of the file.

        Raises
        ------
        BadLinesError
            Once a line is longer than allowed or enough findings have gathered.
        ServingError
        """
        self._bytes += len(data)
        self._digest.update(data)
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            self._take(bytes(line))
        if len(self._buffer) > self._most_line:
            self._checker.too_long(self._most_line)
        if self._checker.findings and (
            len(self._buffer) > self._most_line or len(self._checker.findings) >= MOST_FINDINGS
        ):
            raise BadLinesError(self._checker.findings)
        if len(self._lines) >= LINES_AN_APPEND or self._pending_bytes() >= BYTES_AN_APPEND:
            await self._append()

    async def finish(self, filename: str) -> FileRecord:
        """Seal the file.

        Raises
        ------
        BadLinesError, ServingError
        """
        if self._buffer.strip():
            self._take(bytes(self._buffer))
        if self._checker.findings:
            raise BadLinesError(self._checker.findings)
        await self._append()
        seal = FileSeal(
            file_id=self.file_id,
            tenant=self._tenant,
            rows=self._first_row,
            bytes=self._bytes,
            digest=self._digest.hexdigest(),
            filename=filename,
        )
        command = Command(at_ms=now_ms(), file_seal=seal)
        return (await self._journal.propose(self._shard, command)).file

    def _take(self, line: bytes) -> None:
        line = line.rstrip(b"\r")
        if not line.strip():
            return
        if len(line) > self._most_line:
            self._checker.too_long(self._most_line)
            return
        self._classes.append(self._checker.check(line))
        self._lines.append(line)

    def _pending_bytes(self) -> int:
        return sum(len(line) for line in self._lines)

    async def _append(self) -> None:
        for start in range(0, len(self._lines), LINES_AN_APPEND):
            lines = self._lines[start : start + LINES_AN_APPEND]
            append = FileAppend(
                file_id=self.file_id,
                tenant=self._tenant,
                first_row=self._first_row,
                lines=lines,
                classes=bytes(self._classes[start : start + LINES_AN_APPEND]),
                service_names=self._checker.service_names,
            )
            command = Command(at_ms=now_ms(), file_append=append)
            await self._journal.propose(self._shard, command)
            self._first_row += len(lines)
        self._lines.clear()
        self._classes.clear()


class JobService:
    """Files and jobs of all tenants."""

    def __init__(
        self, journal: JournalClient, find_service: FindService, most_line_bytes: int
    ) -> None:
        self._journal = journal
        self._find_service = find_service
        self._most_line_bytes = most_line_bytes

    # ---- files ----

    def new_file(self, tenant: str) -> FileWriter:
        """Begin a file on a random shard.

        Raises
        ------
        ServingError
        """
        count = self._journal.placement.shard_count
        if count == 0:
            raise ServingError("journal_unavailable", "no journal yet", 503, retry_after_seconds=1)
        checker = LineChecker(tenant, self._find_service)
        shard = random.randrange(count)
        return FileWriter(self._journal, tenant, shard, checker, self._most_line_bytes)

    async def find_file(self, tenant: str, file_id: str) -> FileRecord:
        """Return a sealed file of the tenant.

        Raises
        ------
        ServingError
            ``file_not_found``.
        """
        shard = self._checked_shard(file_id, "file")
        frame = Frame(read_file=ReadFile(shard=shard, file_id=file_id))
        answer = await self._journal.ask_leader(shard, frame, CALL_TIMEOUT_S)
        record = answer.file_record
        if not record.sealed or record.tenant != tenant:
            raise _not_found("file", file_id)
        return record

    async def file_lines(self, record: FileRecord) -> AsyncIterator[bytes]:
        """Yield the lines of a file."""
        shard = self._checked_shard(record.file_id, "file")
        rows = self._journal.iterate_rows(shard, RowKind.LINE, record.file_id)
        async for row in rows:
            yield row.value

    # ---- jobs ----

    async def create(self, tenant: Tenant, new: NewJob) -> JobView:
        """Create a job, or return the one that the same key made before.

        Raises
        ------
        ServingError
            ``key_conflict`` (422) if the key stands for another job.
        """
        source = await self.find_file(tenant.name, new.file_id)
        job_id = _new_id(JOB_PREFIX, self._checked_shard(new.file_id, "file"))
        file_id = new.file_id
        if new.idempotency_key is not None:
            claimed = await self._claim(tenant.name, new, source, job_id)
            job_id, file_id = claimed.request_id, claimed.target
        if job_id.startswith(JOB_PREFIX) and file_id == new.file_id:
            await self._check_job_limit(tenant, job_id)
        create = JobCreate(
            job_id=job_id,
            tenant=tenant.name,
            file_id=file_id,
            endpoint=new.endpoint,
            deadline_ms=now_ms() + int(self._window_seconds(tenant.name, source, new) * 1000),
            metadata=new.metadata,
            input_digest=source.digest,
        )
        command = Command(at_ms=now_ms(), job_create=create)
        result = await self._journal.propose(self._checked_shard(job_id, "batch"), command)
        if result.code != "ok":
            raise _not_found("file", file_id)
        return result.job

    def _window_seconds(self, tenant: str, source: FileRecord, new: NewJob) -> float:
        services = [self._find_service(tenant, name) for name in source.service_names]
        windows = [s.batch_deadline_seconds for s in services if s is not None]
        return min([new.window_seconds, *windows])

    async def _claim(self, tenant: str, new: NewJob, source: FileRecord, job_id: str) -> KeyStart:
        """Let the key's shard decide which job the key stands for."""
        key = f"job/{tenant}/{new.idempotency_key}"
        content = f"{source.digest}\0{new.endpoint}\0".encode() + new.metadata
        digest = hashlib.sha256(content).hexdigest()
        start = KeyStart(key=key, digest=digest, request_id=job_id, target=new.file_id)
        command = Command(at_ms=now_ms(), key_start=start)
        shard = shard_of(key, self._journal.placement.shard_count)
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

        Raises
        ------
        ServingError
            ``batch_not_found``.
        """
        query = JobQuery(shard=self._checked_shard(job_id, "batch"), tenant=tenant, job_id=job_id)
        found = await self._journal.query_jobs(query)
        if not found:
            raise _not_found("batch", job_id)
        return found[0]

    async def list(self, tenant: str, most: int = 100) -> list[JobView]:
        """Return the tenant's jobs, newest first."""
        queries = [
            JobQuery(shard=shard, tenant=tenant, most=most)
            for shard in range(self._journal.placement.shard_count)
        ]
        found = await asyncio.gather(*(self._journal.query_jobs(query) for query in queries))
        jobs = [job for part in found for job in part]
        return sorted(jobs, key=lambda job: -job.created_ms)[:most]

    async def cancel(self, tenant: str, job_id: str) -> JobView:
        """Cancel a job.

        Raises
        ------
        ServingError
            ``batch_not_found``.
        """
        shard = self._checked_shard(job_id, "batch")
        cancel = JobCancel(job_id=job_id, tenant=tenant)
        command = Command(at_ms=now_ms(), job_cancel=cancel)
        result = await self._journal.propose(shard, command)
        if result.code != "ok":
            raise _not_found("batch", job_id)
        return result.job

    async def results(
        self, job_id: str, completed: bool | None, first: int = 0, end: int | None = None
    ) -> AsyncIterator[bytes]:
        """Yield output lines in input order, so far as items ended.

        Parameters
        ----------
        completed: only completed items if True, only others if False, all if None.
        """
        shard = self._checked_shard(job_id, "batch")
        async for row in self._journal.iterate_rows(shard, RowKind.RESULT, job_id, first, end):
            result = ItemResult.FromString(row.value)
            if completed is None or (result.end == COMPLETED) == completed:
                yield result.body or _unknown_line(job_id, row.number)

    def _checked_shard(self, id_: str, what: str) -> int:
        shard = shard_of_id(id_)
        if shard is None or shard >= self._journal.placement.shard_count:
            raise _not_found(what, id_)
        return shard


def _unknown_line(job_id: str, row: int) -> bytes:
    output = {
        "id": f"{job_id}-{row}",
        "custom_id": None,
        "row": row,
        "response": None,
        "error": {"code": "unknown", "outcome": Outcome.UNKNOWN.value},
    }
    return json.dumps(output).encode()


def _not_found(what: str, id_: str) -> ServingError:
    return ServingError(f"{what}_not_found", f"no {what} {id_!r}", 404)
