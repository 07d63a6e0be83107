"""Configuration store: each change is one compare-and-swap in the key-value service.

A change is accepted when its transaction commits at one revision. The transaction writes the head,
the pages with the changed entries and the history record together. If its response is lost, the
history shows by operation id whether the transaction committed.

Entries are stored in a fixed number of pages, because the service limits the operations of a
transaction (etcd: 128). A change of any number of entries therefore fits into one transaction.
"""

import asyncio
import json
from dataclasses import dataclass
from datetime import UTC, datetime

import xxhash

from wharfcart.cluster.messages_pb2 import Entry
from wharfcart.configuration.changes import ChangePlan, ChangeRecord
from wharfcart.errors import Outcome, ServingError
from wharfcart.platform.key_value import KeyValueStore, KeyValueUnavailableError

KEY_ROOT = "wharfcart/configuration/"
HEAD_KEY = KEY_ROOT + "head"
PAGE_PREFIX = KEY_ROOT + "page/"
PAGE_COUNT = 64
MAX_CHANGE_BYTES = 1_000_000  # etcd refuses requests above 1.5 MB
HISTORY_PREFIX = KEY_ROOT + "history/"
MAX_RESOLVE_ATTEMPTS = 4
RESOLVE_RETRY_DELAY_S = 0.3


@dataclass(frozen=True)
class Head:
    """Newest revision in the key-value service."""

    revision: int
    mod_revision: int


@dataclass(frozen=True)
class Proposal:
    """A change that is not accepted yet.

    Attributes:
        current: All entries at the expected revision, deleted ones included.
        expected_revision: Revision that the change is based on.
    """

    plan: ChangePlan
    current: dict[str, Entry]
    expected_revision: int
    operation_id: str
    author: str
    reason: str


class RevisionConflictError(Exception):
    """The configuration is no longer at the expected revision.

    Attributes:
        revision: Newest revision.
        records: Changes since the expected revision.
    """

    def __init__(self, revision: int, records: list[ChangeRecord]) -> None:
        super().__init__(f"now at revision {revision}")
        self.revision = revision
        self.records = records


class ConfigurationStore:
    """Configuration in the key-value service."""

    def __init__(self, key_value: KeyValueStore) -> None:
        self._key_value = key_value

    async def read_head(self) -> Head:
        """Return the newest revision.

        Raises:
            KeyValueUnavailableError: The key-value service does not respond.
        """
        found = await self._key_value.get(HEAD_KEY)
        if found is None:
            return Head(0, 0)
        return Head(int(json.loads(found.value)["revision"]), found.mod_revision)

    async def read_entries(self, since_revision: int) -> list[Entry]:
        """Return the entries changed after a revision, deletions included.

        Raises:
            KeyValueUnavailableError: The key-value service does not respond.
        """
        min_mod_revision = 0
        if since_revision:
            record = await self._key_value.get(_history_key(since_revision))
            min_mod_revision = record.mod_revision if record is not None else 0
        pages = await self._key_value.get_prefix(PAGE_PREFIX, min_mod_revision)
        entries = [entry for page in pages for entry in _parse_page(page.value)]
        return [entry for entry in entries if entry.revision > since_revision]

    async def read_history(self, since_revision: int) -> list[ChangeRecord]:
        """Return the accepted changes after a revision, oldest first.

        Raises:
            KeyValueUnavailableError: The key-value service does not respond.
        """
        found = await self._key_value.get_prefix(HISTORY_PREFIX)
        records = [ChangeRecord.model_validate_json(value.value) for value in found]
        return [record for record in records if record.revision > since_revision]

    async def propose(self, proposal: Proposal) -> ChangeRecord:
        """Write a change and return its record; a repeated operation id returns the same record.

        Raises:
            RevisionConflictError: Another change was accepted first.
            ServingError: ``key_value_unavailable`` with the outcome, or ``change_too_large``.
        """
        try:
            known = await self._find_operation(proposal)
            if known is not None:
                return known
            head = await self.read_head()
            if head.revision != proposal.expected_revision:
                raise await self._conflict_error(proposal)
        except KeyValueUnavailableError as error:
            raise _unavailable_error(error, Outcome.NOT_RUN) from error
        record = _change_record(proposal)
        puts = _transaction_puts(proposal, record)
        if sum(len(value) for value in puts.values()) > MAX_CHANGE_BYTES:
            raise ServingError("change_too_large", "split the change into several", 413)
        try:
            taken = await self._key_value.compare_and_put(HEAD_KEY, head.mod_revision, puts)
        except KeyValueUnavailableError as error:
            if not error.may_have_taken_effect:
                raise _unavailable_error(error, Outcome.NOT_RUN) from error
            return await self._resolve_outcome(proposal, error)
        if taken:
            return record
        try:
            raise await self._conflict_error(proposal)
        except KeyValueUnavailableError as error:
            raise _unavailable_error(error, Outcome.NOT_RUN) from error

    async def _resolve_outcome(
        self, proposal: Proposal, cause: KeyValueUnavailableError
    ) -> ChangeRecord:
        """Find out whether a transaction whose response was lost committed."""
        for attempt in range(1, MAX_RESOLVE_ATTEMPTS + 1):
            await asyncio.sleep(RESOLVE_RETRY_DELAY_S * attempt)
            try:
                record = await self._find_operation(proposal)
                head = await self.read_head()
                if record is not None:
                    return record
                if head.revision != proposal.expected_revision:
                    # Another change has the revision: this one can no longer commit.
                    raise await self._conflict_error(proposal)
            except KeyValueUnavailableError:
                continue
        raise _unavailable_error(cause, Outcome.UNKNOWN) from cause

    async def _find_operation(self, proposal: Proposal) -> ChangeRecord | None:
        for record in await self.read_history(proposal.expected_revision):
            if record.operation_id == proposal.operation_id:
                return record
        return None

    async def _conflict_error(self, proposal: Proposal) -> RevisionConflictError:
        head = await self.read_head()
        records = await self.read_history(proposal.expected_revision)
        return RevisionConflictError(head.revision, records)


def _change_record(proposal: Proposal) -> ChangeRecord:
    return ChangeRecord(
        revision=proposal.expected_revision + 1,
        operation_id=proposal.operation_id,
        author=proposal.author,
        reason=proposal.reason,
        at=datetime.now(UTC).isoformat(timespec="seconds"),
        changes=proposal.plan.changes,
    )


def _transaction_puts(proposal: Proposal, record: ChangeRecord) -> dict[str, bytes]:
    puts = {
        HEAD_KEY: json.dumps(
            {"revision": record.revision, "operation_id": record.operation_id}
        ).encode(),
        _history_key(record.revision): record.model_dump_json().encode(),
    }
    changed = {entry.key: entry for entry in record_entries(record)}
    touched = {_page_of(key) for key in changed}
    pages: dict[int, list[Entry]] = {page: [] for page in touched}
    for entry in (proposal.current | changed).values():
        page = _page_of(entry.key)
        if page in touched:
            pages[page].append(entry)
    for page, entries in pages.items():
        puts[f"{PAGE_PREFIX}{page:03d}"] = _format_page(entries)
    return puts


def _page_of(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % PAGE_COUNT


def _format_page(entries: list[Entry]) -> bytes:
    page = {
        entry.key: {
            "revision": entry.revision,
            "value": None if entry.deleted else json.loads(entry.value),
        }
        for entry in sorted(entries, key=lambda entry: entry.key)
    }
    return json.dumps(page, separators=(",", ":")).encode()


def _parse_page(text: bytes) -> list[Entry]:
    return [
        Entry(
            key=key,
            value=b"" if stored["value"] is None else _compact_json(stored["value"]),
            deleted=stored["value"] is None,
            revision=stored["revision"],
        )
        for key, stored in json.loads(text).items()
    ]


def _compact_json(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def record_entries(record: ChangeRecord) -> list[Entry]:
    """Return the entries that an accepted change wrote."""
    plan = ChangePlan(record.changes)
    return [
        Entry(key=key, value=value or b"", deleted=value is None, revision=record.revision)
        for key, value in plan.entries().items()
    ]


def _history_key(revision: int) -> str:
    return f"{HISTORY_PREFIX}{revision:012d}"


def _unavailable_error(error: KeyValueUnavailableError, outcome: Outcome) -> ServingError:
    return ServingError(
        "key_value_unavailable",
        f"the key-value service does not answer: {error}",
        503,
        outcome,
        retry_after_seconds=5,
    )
