"""Operators' HTTP interface: configuration, history, status.

``GET /admin/v1/configuration`` returns the revision as an ETag, which a change sends back in
``If-Match``. If a newer revision exists, the change is refused with 412 and the newer changes.
"""

import asyncio
import uuid
from collections.abc import Awaitable
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure
from sanic import Request
from sanic.response import HTTPResponse, json

from wharfcart.admin.configuration_store import (
    ConfigurationStore,
    Proposal,
    RevisionConflictError,
    record_entries,
)
from wharfcart.admin.interface import AdminContext, NodeStatus
from wharfcart.clock import monotonic
from wharfcart.configuration.changes import (
    ChangePlan,
    check_result,
    plan_changes,
    plan_rollback,
)
from wharfcart.configuration.schema import document_entries, join_entries
from wharfcart.configuration.validation import load_document
from wharfcart.errors import FindingsError, Outcome, ServingError
from wharfcart.gateway.interface import HttpRoute
from wharfcart.gateway.online import parse_json
from wharfcart.gateway.responses import bad_request, error_body, validation_error
from wharfcart.http.grammar import parse_whole_number
from wharfcart.platform.key_value import KeyValueUnavailableError

IN_FORCE_POLL_INTERVAL_S = 0.05
IN_FORCE_TIMEOUT_S = 10.0
MAX_HISTORY_RECORDS = 100

_Body = TypeVar("_Body", bound=BaseModel)
_Value = TypeVar("_Value")


class ChangeRequest(BaseModel):
    """Request body of plan and apply."""

    model_config = ConfigDict(extra="forbid")

    document: str = Field(description="YAML text")
    file: str = Field(default="document", description="name for findings")
    replace: bool = Field(default=False, description="delete what the document lacks")
    author: str = Field(default="", max_length=200)
    reason: str = Field(default="", max_length=2000)
    operation_id: str = Field(default="", max_length=100)
    wait: bool = Field(default=False, description="answer once in force on every live node")


class RollbackRequest(BaseModel):
    """Request body of rollback, which undoes all changes after a revision as one new revision."""

    model_config = ConfigDict(extra="forbid")

    to_revision: int = Field(ge=0)
    author: str = Field(default="", max_length=200)
    reason: str = Field(default="", max_length=2000)
    operation_id: str = Field(default="", max_length=100)
    wait: bool = False


class AdminHandlers:
    """Handlers of the operators' HTTP interface."""

    def __init__(self, context: AdminContext, store: ConfigurationStore) -> None:
        self._context = context
        self._store = store

    def routes(self) -> list[HttpRoute]:
        """Return the handlers with their paths and methods."""
        root = "/admin/v1"
        return [
            HttpRoute(self.get, f"{root}/configuration", "GET"),
            HttpRoute(self.plan, f"{root}/configuration/plan", "POST"),
            HttpRoute(self.apply, f"{root}/configuration", "POST"),
            HttpRoute(self.rollback, f"{root}/configuration/rollback", "POST"),
            HttpRoute(self.history, f"{root}/configuration/history", "GET"),
            HttpRoute(self.status, f"{root}/status", "GET"),
            HttpRoute(self.recover, f"{root}/journal/<shard:int>/recover", "POST"),
        ]

    # ---- reading ----

    async def get(self, request: Request) -> HTTPResponse:
        """Return the configuration in force at this node."""
        entries = self._context.configuration
        document = join_entries(entries.live_values())
        text = yaml.safe_dump(
            document.model_dump(mode="json", exclude_defaults=True), sort_keys=False
        )
        body = {"revision": entries.revision, "document": text}
        return json(body, headers={"ETag": f'"{entries.revision}"'})

    async def history(self, request: Request) -> HTTPResponse:
        """Return the accepted changes, newest first."""
        since = parse_whole_number(request.args.get("since", "0"))
        if since is None:
            raise bad_request("since must be a revision")
        records = await _await_store(self._store.read_history(since))
        newest = sorted(records, key=lambda record: -record.revision)[:MAX_HISTORY_RECORDS]
        return json({"records": [record.model_dump(mode="json") for record in newest]})

    async def status(self, request: Request) -> HTTPResponse:
        """Return the status of every live node and the replicas of every shard."""
        nodes = await self._context.node_statuses()
        replicas = self._context.shard_replicas()
        return json(
            {
                "configuration_revision": self._context.configuration.revision,
                "nodes": [_status_object(node) for node in nodes],
                "shards": [
                    {"shard": shard, "replicas": identities}
                    for shard, identities in sorted(replicas.items())
                ],
            }
        )

    async def recover(self, request: Request, shard: int) -> HTTPResponse:
        """Continue a shard with this node's replica only, after its other disks are lost."""
        self._context.recover_shard(shard)
        return json({"shard": shard, "recovering": True})

    # ---- changing ----

    async def plan(self, request: Request) -> HTTPResponse:
        """Return the changes that applying a document would make."""
        change_request = _parse(ChangeRequest, request)
        plan = self._plan(change_request)
        changes = [change.model_dump(mode="json") for change in plan.changes]
        return json({"revision": self._context.configuration.revision, "changes": changes})

    async def apply(self, request: Request) -> HTTPResponse:
        """Apply a document and return the accepted changes."""
        change_request = _parse(ChangeRequest, request)
        await self._catch_up()
        plan = self._plan(change_request)
        return await self._propose(request, plan, change_request)

    async def rollback(self, request: Request) -> HTTPResponse:
        """Undo all changes after a revision."""
        change_request = _parse(RollbackRequest, request)
        await self._catch_up()
        records = await _await_store(self._store.read_history(change_request.to_revision))
        plan = plan_rollback(self._context.configuration.live_values(), records)
        self._raise_findings(plan, "rollback")
        return await self._propose(request, plan, change_request)

    def _plan(self, change_request: ChangeRequest) -> ChangePlan:
        # A partial document may refer to entries in force; _raise_findings checks the references.
        parsed = load_document(change_request.document, change_request.file, check_references=False)
        if isinstance(parsed, Failure):
            raise FindingsError(parsed.failure())
        entries = document_entries(parsed.unwrap())
        current = self._context.configuration.live_values()
        plan = plan_changes(current, entries, change_request.replace)
        self._raise_findings(plan, change_request.file)
        return plan

    def _raise_findings(self, plan: ChangePlan, file: str) -> None:
        findings = check_result(self._context.configuration.live_values(), plan, file)
        if findings:
            raise FindingsError(findings)

    async def _catch_up(self) -> None:
        """Apply changes accepted at other nodes: a plan must be based on the newest revision."""
        head = await _await_store(self._store.read_head())
        known = self._context.configuration.revision
        if head.revision > known:
            entries = await _await_store(self._store.read_entries(known))
            self._context.apply_entries(entries, head.revision)

    async def _propose(
        self, request: Request, plan: ChangePlan, change_request: ChangeRequest | RollbackRequest
    ) -> HTTPResponse:
        configuration = self._context.configuration
        expected = _if_match_revision(request)
        if expected is not None and expected < configuration.revision:
            records = await _await_store(self._store.read_history(expected))
            return _conflict_response(RevisionConflictError(configuration.revision, records))
        if not plan.changes:
            return json({"revision": configuration.revision, "changes": [], "in_force": True})
        proposal = Proposal(
            plan=plan,
            current=dict(configuration.entries),
            expected_revision=configuration.revision,
            operation_id=change_request.operation_id or uuid.uuid4().hex,
            author=change_request.author,
            reason=change_request.reason,
        )
        try:
            record = await self._store.propose(proposal)
        except RevisionConflictError as error:
            return _conflict_response(error)
        self._context.apply_entries(record_entries(record), record.revision)
        lagging = await self._wait_in_force(record.revision) if change_request.wait else None
        return json(
            {
                "revision": record.revision,
                "operation_id": record.operation_id,
                "changes": [change.model_dump(mode="json") for change in record.changes],
                "in_force": lagging == [] if lagging is not None else None,
                "lagging_nodes": lagging,
            },
            headers={"ETag": f'"{record.revision}"'},
        )

    async def _wait_in_force(self, revision: int) -> list[str]:
        """Wait until every live node has a revision and return the nodes that don't in time."""
        deadline = monotonic() + IN_FORCE_TIMEOUT_S
        while True:
            nodes = await self._context.node_statuses()
            lagging = [
                node.node_id
                for node in nodes
                if node.view is None or node.view.configuration_revision < revision
            ]
            if not lagging or monotonic() >= deadline:
                return lagging
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL_S)


def _parse(model: type[_Body], request: Request) -> _Body:
    try:
        return model.model_validate(parse_json(request.body))
    except ValidationError as error:
        raise validation_error(error) from None


def _if_match_revision(request: Request) -> int | None:
    text = request.headers.get("If-Match")
    if text is None:
        return None
    revision = parse_whole_number(text.strip().strip('"'))
    if revision is None:
        raise bad_request("If-Match must hold a revision")
    return revision


def _conflict_response(conflict: RevisionConflictError) -> HTTPResponse:
    error = ServingError("revision_conflict", str(conflict), 412)
    body = error_body(error)
    body["revision"] = conflict.revision
    body["changed"] = [record.model_dump(mode="json") for record in conflict.records]
    return json(body, 412, {"X-Wharfcart-Outcome": Outcome.NOT_RUN.value})


def _status_object(node: NodeStatus) -> dict[str, Any]:
    view = node.view
    status: dict[str, Any] = {
        "node_id": node.node_id,
        "zone": node.zone,
        "storage": bool(node.storage_identity),
        "storage_identity": node.storage_identity,
        "answers": view is not None,
    }
    if view is not None:
        status["configuration_revision"] = view.configuration_revision
        status["led_shards"] = view.led_shards
        status["owned"] = [
            {
                "backend_id": owned.backend_id,
                "state": owned.state,
                "online_in_flight": owned.online_in_flight,
                "batch_in_flight": owned.batch_in_flight,
                "completed": owned.completed,
                "batch_stopped": owned.batch_cancelled,
            }
            for owned in view.owned
        ]
    return status


async def _await_store(call: Awaitable[_Value]) -> _Value:
    try:
        return await call
    except KeyValueUnavailableError as error:
        raise ServingError(
            "key_value_unavailable",
            f"the key-value service does not answer: {error}",
            503,
            retry_after_seconds=5,
        ) from error
