"""Changes of the configuration: differences between two sets of entries, and their history."""

import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, Field

from wharfcart.configuration.schema import DocumentItem, join_entries
from wharfcart.configuration.validation import check_document
from wharfcart.errors import Finding


class ChangeKind(StrEnum):
    """Kind of change of an entry."""

    ADD = "add"
    UPDATE = "update"
    DELETE = "delete"


class EntryChange(BaseModel):
    """Change of one entry, with its JSON values before and after."""

    kind: ChangeKind
    key: str
    before: dict[str, object] | None = None
    after: dict[str, object] | None = None


class ChangeRecord(BaseModel):
    """History record of one accepted change."""

    revision: int
    operation_id: str
    author: str = ""
    reason: str = ""
    at: Annotated[str, Field(description="time of acceptance, ISO 8601, UTC")] = ""
    changes: list[EntryChange] = Field(default_factory=list)


@dataclass(frozen=True)
class ChangePlan:
    """Changes that applying a document would make."""

    changes: list[EntryChange]

    def entries(self) -> dict[str, bytes | None]:
        """Return the new value of each changed key; None deletes the entry."""
        return {
            change.key: None
            if change.after is None
            else json.dumps(change.after, separators=(",", ":")).encode()
            for change in self.changes
        }


def plan_changes(
    current: dict[str, bytes], wanted: dict[str, bytes], replace_all: bool
) -> ChangePlan:
    """Return the changes that turn ``current`` into ``wanted``.

    Args:
        current: existing entries.
        wanted: entries to add or update.
        replace_all: whether to delete entries that are not in ``wanted``.
    """
    changes: list[EntryChange] = []
    for key, value in sorted(wanted.items()):
        before = json.loads(current[key]) if key in current else None
        after = json.loads(value)
        if before is None:
            changes.append(EntryChange(kind=ChangeKind.ADD, key=key, after=after))
        elif before != after:
            changes.append(EntryChange(kind=ChangeKind.UPDATE, key=key, before=before, after=after))
    if replace_all:
        for key in sorted(current.keys() - wanted.keys()):
            before = json.loads(current[key])
            changes.append(EntryChange(kind=ChangeKind.DELETE, key=key, before=before))
    return ChangePlan(changes)


def plan_rollback(current: dict[str, bytes], records: list[ChangeRecord]) -> ChangePlan:
    """Return one change that undoes ``records``, newest first."""
    target: dict[str, dict[str, object] | None] = {}
    for record in sorted(records, key=lambda record: -record.revision):
        for change in record.changes:
            target[change.key] = change.before
    changes: list[EntryChange] = []
    for key, after in sorted(target.items()):
        before = json.loads(current[key]) if key in current else None
        if before == after:
            continue
        kind = ChangeKind.UPDATE
        if before is None:
            kind = ChangeKind.ADD
        elif after is None:
            kind = ChangeKind.DELETE
        changes.append(EntryChange(kind=kind, key=key, before=before, after=after))
    return ChangePlan(changes)


def check_result(current: dict[str, bytes], plan: ChangePlan, file: str) -> list[Finding]:
    """Return findings of the whole configuration after ``plan`` is applied."""
    result = dict(current)
    for key, value in plan.entries().items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = value
    document = join_entries(result)
    sections: dict[str, Sequence[DocumentItem]] = {
        "tenants": document.tenants,
        "models": document.models,
        "templates": document.templates,
        "deployments": document.deployments,
    }
    findings = []
    for location, reason in check_document(document):
        section, position, *rest = location
        item = sections[str(section)][int(position)]
        place = ".".join([str(section), item.name, *(str(step) for step in rest)])
        findings.append(Finding(file, place, reason))
    return findings
