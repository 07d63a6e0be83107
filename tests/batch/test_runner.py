"""Leases that are revoked before or while their items run."""

import asyncio
import json
from typing import cast

import pytest

from wharfcart.admission.backend_gate import BackendGate
from wharfcart.backends.interface import BackendClient, BackendPart, BackendRequest
from wharfcart.batch.runner import STOP_TIMEOUT_S, BatchRunner
from wharfcart.cluster.messages_pb2 import (
    Command,
    Frame,
    GrantedLease,
    Lease,
    LeaseGrant,
    ProposeResult,
)
from wharfcart.cluster.placement_map import PlacementMap
from wharfcart.configuration.schema import PreemptionPolicy
from wharfcart.configuration.services import Service
from wharfcart.errors import ServingError
from wharfcart.experiments.virtual_time import run_in_virtual_time
from wharfcart.observability.metrics import Metrics
from wharfcart.routing.owner import APPLICATION_CAPACITY, BackendOwner, OwnedBackend
from wharfcart.routing.router import Backend, BackendKind
from wharfcart.storage.journal_client import JournalClient

ROWS = [0, 1, 2]


class _FakeJournal:
    """Grants one lease when the test allows it and records proposed commands."""

    def __init__(self) -> None:
        self.placement = PlacementMap()
        self.granted = asyncio.Event()
        self.polled = asyncio.Event()
        self.proposed: list[Command] = []
        self._lease: GrantedLease | None = _granted_lease()

    async def ask_leader(self, _shard: int, _frame: Frame, _timeout_s: float) -> Frame:
        self.polled.set()
        await self.granted.wait()
        lease, self._lease = self._lease, None
        return Frame(lease_grant=LeaseGrant(leases=[] if lease is None else [lease]))

    async def propose(
        self, _shard: int, command: Command, _timeout_s: float = 0.0
    ) -> ProposeResult:
        self.proposed.append(command)
        return ProposeResult(code="ok")


class _FakeOwner:
    """Records the ids of requests and never answers them."""

    def __init__(self) -> None:
        self.started_ids: list[str] = []

    async def run_batch(self, _owned: OwnedBackend, request: BackendRequest) -> BackendPart:
        self.started_ids.append(request.request_id)
        await asyncio.Event().wait()
        raise AssertionError


def _granted_lease() -> GrantedLease:
    line = json.dumps({"method": "GET", "url": "/v1/services/status/1", "body": {}}).encode()
    return GrantedLease(
        lease=Lease(lease_id="lease", job_id="job", holder="node", rows=ROWS),
        tenant="tenant",
        lines=[line for _ in ROWS],
        previous_backends=["" for _ in ROWS],
    )


def _service(_tenant: str, _name: str) -> Service | None:
    return cast(Service, _FakeService())


class _FakeService:
    repeatable = False


class _SlowToStopOwner(_FakeOwner):
    """Confirms a stop only when the test allows it."""

    def __init__(self) -> None:
        super().__init__()
        self.stopping = 0
        self.stop_confirmed = asyncio.Event()

    async def run_batch(self, _owned: OwnedBackend, request: BackendRequest) -> BackendPart:
        self.started_ids.append(request.request_id)
        try:
            await asyncio.Event().wait()
        finally:
            self.stopping += 1
            await asyncio.shield(self.stop_confirmed.wait())
        raise AssertionError


def _runner(
    journal: _FakeJournal,
    owner: _FakeOwner,
    monkeypatch: pytest.MonkeyPatch,
    kind: BackendKind = BackendKind.APPLICATION,
) -> BatchRunner:
    monkeypatch.setattr(
        "wharfcart.batch.runner.build_batch_request",
        lambda _service, _line, request_id: BackendRequest(request_id, "GET", "/", {}, b"", False),
    )
    backend = Backend("backend", kind, "127.0.0.1:1", "zone", frozenset({"t"}))
    gate = BackendGate("backend", APPLICATION_CAPACITY, PreemptionPolicy.TAIL)
    owned = OwnedBackend(backend, gate, cast(BackendClient, None))
    return BatchRunner(
        "node", owned, cast(BackendOwner, owner), cast(JournalClient, journal), _service, Metrics()
    )


def test_a_lease_revoked_before_its_grant_arrives_runs_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> tuple[list[Command], list[str]]:
        journal, owner = _FakeJournal(), _FakeOwner()
        runner = _runner(journal, owner, monkeypatch)
        polling = asyncio.create_task(runner._poll_shard(0))
        await journal.polled.wait()
        runner.revoke(["lease"])
        journal.granted.set()
        await polling
        await _settle()
        return journal.proposed, owner.started_ids

    proposed, run = asyncio.run(scenario())
    (command,) = proposed
    assert command.lease_end.lease_id == "lease"
    assert list(command.lease_end.not_run) == ROWS
    assert not run


def test_waiting_items_of_a_revoked_lease_are_returned_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> list[Command]:
        journal, owner = _FakeJournal(), _FakeOwner()
        runner = _runner(journal, owner, monkeypatch)
        journal.granted.set()
        await runner._poll_shard(0)
        runner.revoke(["lease"])
        # A slot becomes free before the lease is wound down.
        if runner._waiting:
            runner._start(runner._waiting.popleft())
        await _settle()
        return journal.proposed

    (command,) = asyncio.run(scenario())
    assert list(command.lease_end.not_run) == ROWS


def test_a_slow_engine_does_not_delay_the_end_of_a_revoked_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against waiting for every stop confirmation before the lease of a job ends."""

    async def scenario() -> None:
        journal, owner = _FakeJournal(), _SlowToStopOwner()
        runner = _runner(journal, owner, monkeypatch, BackendKind.ENGINE)
        journal.granted.set()
        await runner._poll_shard(0)
        while runner._waiting:
            runner._start(runner._waiting.popleft())
        await _settle()
        assert len(owner.started_ids) == len(ROWS)
        began_at = asyncio.get_running_loop().time()
        runner.revoke(["lease"])
        async with asyncio.timeout(2 * STOP_TIMEOUT_S):
            while not journal.proposed:
                await asyncio.sleep(0.01)
        assert asyncio.get_running_loop().time() - began_at < STOP_TIMEOUT_S + 0.1
        (command,) = journal.proposed
        assert command.lease_end.lease_id == "lease"
        assert not command.lease_end.not_run  # all items had started
        # Every item was stopped and keeps its slot until the engine confirms the stop.
        assert owner.stopping == len(runner._running) == len(ROWS)
        owner.stop_confirmed.set()
        await _settle()
        assert not runner._running
        assert len(journal.proposed) == 1  # no results are committed

    run_in_virtual_time(scenario())


async def _settle() -> None:
    """Let all ready tasks run."""
    for _ in range(20):
        await asyncio.sleep(0)


def test_a_shard_whose_answer_was_lost_is_polled_next(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against items that stay with a lost grant until its term ends."""

    class _UnavailableJournal(_FakeJournal):
        async def ask_leader(self, _shard: int, _frame: Frame, _timeout_s: float) -> Frame:
            raise ServingError("journal_unavailable", "no answer", 503)

    async def scenario() -> None:
        journal = _UnavailableJournal()
        journal.placement.merge([], 64)
        runner = _runner(journal, _FakeOwner(), monkeypatch)
        assert await runner._poll_shard(63) == 0
        for _ in range(20):
            assert runner._shards_to_poll()[0] == 63

    asyncio.run(scenario())
