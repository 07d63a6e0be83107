"""Uploaded batch files: checks lines as they arrive and writes them to the journal in chunks."""

import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from wharfcart.backends.requests import CHAT_PATH, COMPLETIONS_PATH, SERVICES_PREFIX
from wharfcart.batch.ids import FILE_PREFIX, new_id
from wharfcart.batch.lines import now_ms, service_name_of
from wharfcart.cluster.messages_pb2 import Command, FileAppend, FileRecord, FileSeal
from wharfcart.configuration.schema import TemplateKind
from wharfcart.configuration.services import Service
from wharfcart.storage.journal_client import JournalClient

MAX_LINES_PER_APPEND = 256
MAX_BYTES_PER_APPEND = 1024 * 1024
MAX_SERVICES_PER_FILE = 255
MAX_FINDINGS = 20
ENGINE_PATHS = (CHAT_PATH, COMPLETIONS_PATH)

FindService = Callable[[str, str], Service | None]


class InvalidLinesError(Exception):
    """Lines of a batch file are invalid.

    Attributes:
        findings: line numbers, starting at 1, with reasons.
    """

    def __init__(self, findings: list[tuple[int, str]]) -> None:
        super().__init__("; ".join(f"line {row}: {reason}" for row, reason in findings))
        self.findings = findings


@dataclass
class LineChecker:
    """Checks the lines of a batch file and determines their services.

    Attributes:
        tenant: owner of the file.
        find_service: returns a tenant's service by name, or None.
        service_names: services in the order of their first use.
        findings: line numbers, starting at 1, with reasons.
        rows: number of checked lines.
    """

    tenant: str
    find_service: FindService
    service_names: list[str] = field(default_factory=list)
    findings: list[tuple[int, str]] = field(default_factory=list)
    rows: int = 0
    _custom_ids: set[int] = field(default_factory=set)

    def check(self, line: bytes) -> int:
        """Check one line; return the index of its service, or 0 if the line is invalid."""
        self.rows += 1
        reason, class_ = self._validate(line)
        if reason is not None and len(self.findings) < MAX_FINDINGS:
            self.findings.append((self.rows, reason))
        return class_

    def record_too_long(self, max_bytes: int) -> None:
        """Record that the next line exceeds the length limit."""
        self.findings.append((self.rows + 1, f"longer than {max_bytes} bytes"))

    def _validate(self, line: bytes) -> tuple[str | None, int]:
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
        # Keeps hashes instead of ids to limit memory: a file may have hundreds of thousands.
        if hash(custom_id) in self._custom_ids:
            return f"custom_id {custom_id!r} stands twice", 0
        self._custom_ids.add(hash(custom_id))
        return self._validate_target(item)

    def _validate_target(self, item: dict[str, object]) -> tuple[str | None, int]:
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
        return self._service_index(name)

    def _service_index(self, name: str) -> tuple[str | None, int]:
        if name not in self.service_names:
            if len(self.service_names) >= MAX_SERVICES_PER_FILE:
                return f"more than {MAX_SERVICES_PER_FILE} services in one file", 0
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
    """Writes one uploaded file to the journal, buffering one chunk of lines.

    Args:
        journal: client of the shards' leaders.
        tenant: owner of the file.
        shard: shard that stores the file.
        checker: checks the lines.
        max_line_bytes: length limit of a line.
    """

    def __init__(
        self,
        journal: JournalClient,
        tenant: str,
        shard: int,
        checker: LineChecker,
        max_line_bytes: int,
    ) -> None:
        self.file_id = new_id(FILE_PREFIX, shard)
        self._journal = journal
        self._tenant = tenant
        self._shard = shard
        self._checker = checker
        self._max_line_bytes = max_line_bytes
        self._buffer = bytearray()
        self._lines: list[bytes] = []
        self._classes = bytearray()
        self._first_row = 0
        self._bytes = 0
        self._digest = hashlib.sha256()

    async def write(self, data: bytes) -> None:
        """Process the next bytes of the file.

        Raises:
            InvalidLinesError: a line is too long, or ``MAX_FINDINGS`` lines are invalid.
            ServingError: the journal did not accept the lines.
        """
        self._bytes += len(data)
        self._digest.update(data)
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            self._add_line(bytes(line))
        if len(self._buffer) > self._max_line_bytes:
            self._checker.record_too_long(self._max_line_bytes)
        if self._checker.findings and (
            len(self._buffer) > self._max_line_bytes or len(self._checker.findings) >= MAX_FINDINGS
        ):
            raise InvalidLinesError(self._checker.findings)
        if (
            len(self._lines) >= MAX_LINES_PER_APPEND
            or self._pending_bytes() >= MAX_BYTES_PER_APPEND
        ):
            await self._append()

    async def finish(self, filename: str) -> FileRecord:
        """Write the remaining lines, seal the file and return its record.

        Raises:
            InvalidLinesError: a line is invalid.
            ServingError: the journal did not accept the lines.
        """
        if self._buffer.strip():
            self._add_line(bytes(self._buffer))
        if self._checker.findings:
            raise InvalidLinesError(self._checker.findings)
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

    def _add_line(self, line: bytes) -> None:
        line = line.rstrip(b"\r")
        if not line.strip():
            return
        if len(line) > self._max_line_bytes:
            self._checker.record_too_long(self._max_line_bytes)
            return
        self._classes.append(self._checker.check(line))
        self._lines.append(line)

    def _pending_bytes(self) -> int:
        return sum(len(line) for line in self._lines)

    async def _append(self) -> None:
        for start in range(0, len(self._lines), MAX_LINES_PER_APPEND):
            lines = self._lines[start : start + MAX_LINES_PER_APPEND]
            append = FileAppend(
                file_id=self.file_id,
                tenant=self._tenant,
                first_row=self._first_row,
                lines=lines,
                classes=bytes(self._classes[start : start + MAX_LINES_PER_APPEND]),
                service_names=self._checker.service_names,
            )
            command = Command(at_ms=now_ms(), file_append=append)
            await self._journal.propose(self._shard, command)
            self._first_row += len(lines)
        self._lines.clear()
        self._classes.clear()
