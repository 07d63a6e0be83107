"""Dispatches calls from other nodes to the components that answer them."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing

from wharfcart.admission.limiter import Limiter
from wharfcart.batch.leader import BatchLeader
from wharfcart.cluster.messages_pb2 import (
    Dispatch,
    FleetView,
    Frame,
    JobViews,
    KeyRecord,
    Propose,
    ReadFile,
    ReadKey,
    ReadRows,
)
from wharfcart.cluster.transport import Responder
from wharfcart.errors import Outcome, ServingError
from wharfcart.node.fleet import FleetDriver
from wharfcart.node.propagation import PropagationDriver
from wharfcart.routing.dispatcher import message_from_part, request_from_message
from wharfcart.routing.owner import BackendOwner
from wharfcart.routing.router import Router
from wharfcart.storage.journal import Journal, not_leader

MAX_ROWS = 1024


class CallHandler:
    """Answers calls from a node's peers.

    Attributes:
        active_dispatches: number of dispatched requests that are running.
    """

    def __init__(
        self,
        propagation: PropagationDriver,
        owner: BackendOwner,
        router: Router,
        limiter: Limiter,
        fleet: FleetDriver,
        view: Callable[[], FleetView],
        journal: Journal | None,
        batch_leader: BatchLeader | None,
    ) -> None:
        self._propagation = propagation
        self._owner = owner
        self._router = router
        self._limiter = limiter
        self._fleet = fleet
        self._view = view
        self._journal = journal
        self._batch_leader = batch_leader
        self.active_dispatches = 0

    async def handle(self, frame: Frame, respond: Responder) -> None:
        """Answer one call.

        Raises:
            ServingError: the call fails; the transport sends the error to the caller.
        """
        kind = frame.WhichOneof("body")
        if kind == "dispatch":
            await self._dispatch(frame.dispatch, respond)
            return
        if kind == "replica_batch":
            if self._journal is not None:
                self._journal.receive(list(frame.replica_batch.messages))
            return
        if kind == "revoke_leases":
            self._fleet.revoke(list(frame.revoke_leases.lease_ids))
            return
        answer = await self._answer(kind, frame)
        answer.last = True
        await respond(answer)

    async def _answer(self, kind: str | None, frame: Frame) -> Frame:
        if kind == "pull_entries":
            return Frame(entries=self._propagation.serve_pull(frame.pull_entries))
        if kind == "pull_placement":
            return Frame(placement=self._propagation.placement.to_message())
        if kind == "take_tokens":
            return Frame(tokens_taken=self._limiter.grant(frame.take_tokens))
        if kind == "read_fleet":
            return Frame(fleet_view=self._view())
        if self._journal is None or self._batch_leader is None:
            raise not_leader("")
        if kind == "propose":
            return await self._propose(frame.propose)
        if kind == "read_rows":
            return await self._read_rows(frame.read_rows)
        if kind == "read_key":
            return self._read_key(frame.read_key)
        if kind == "read_file":
            return self._read_file(frame.read_file)
        if kind == "lease_poll":
            return Frame(lease_grant=await self._batch_leader.poll(frame.lease_poll))
        if kind == "job_query":
            views = self._batch_leader.query_jobs(frame.job_query)
            return Frame(job_views=JobViews(jobs=views))
        raise ServingError("unknown_call", f"no call {kind!r}", 400)

    # ---- journal ----

    async def _propose(self, propose: Propose) -> Frame:
        assert self._journal is not None and self._batch_leader is not None
        result = await self._journal.propose(propose.shard, propose.command)
        if propose.command.WhichOneof("body") == "job_cancel" and result.code == "ok":
            self._batch_leader.revoke_leases(propose.shard, propose.command.job_cancel.job_id)
        return Frame(propose_result=result)

    async def _read_rows(self, read: ReadRows) -> Frame:
        assert self._journal is not None
        rows = await self._journal.read_rows(
            read.shard, read.kind, read.id, read.first, min(read.most, MAX_ROWS), read.most_bytes
        )
        return Frame(rows=rows)

    def _read_key(self, read: ReadKey) -> Frame:
        assert self._journal is not None
        shard = self._journal.leading_shard(read.shard)
        return Frame(key_record=shard.state.keys.get(read.key, KeyRecord()))

    def _read_file(self, read: ReadFile) -> Frame:
        assert self._journal is not None
        shard = self._journal.leading_shard(read.shard)
        record = shard.state.files.get(read.file_id)
        if record is None:
            raise ServingError("file_not_found", f"no file {read.file_id!r}", 404)
        return Frame(file_record=record)

    # ---- dispatch ----

    async def _dispatch(self, dispatch: Dispatch, respond: Responder) -> None:
        backend = self._router.backends.get(dispatch.backend_id)
        if backend is None:
            raise ServingError("no_backend", f"no back end {dispatch.backend_id!r}", 503)
        owned = self._owner.backends.get(dispatch.backend_id) or self._owner.create_temporary(
            backend
        )
        request = request_from_message(dispatch)
        self.active_dispatches += 1
        try:
            async with asyncio.timeout(dispatch.deadline_ms / 1000):
                sequence = 0
                async with aclosing(self._owner.run_online(owned, request)) as parts:
                    async for part in parts:
                        message = message_from_part(part, sequence, len(owned.gate.online))
                        await respond(Frame(dispatch_part=message, last=part.is_last))
                        sequence += 1
        except TimeoutError:
            raise ServingError(
                "deadline_exceeded", "the deadline passed", 504, Outcome.UNKNOWN
            ) from None
        finally:
            self.active_dispatches -= 1
