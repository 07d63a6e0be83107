"""Journal client: finds a shard's leader and asks it, from any node.

Commands are idempotent by the ids in them, so that a proposal whose answer was lost is simply made
again. An error says ``not_run`` only if no attempt can have reached a leader.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from wharfcart.clock import monotonic
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import (
    Command,
    Frame,
    JobQuery,
    JobView,
    KeyRecord,
    Propose,
    ProposeResult,
    ReadKey,
    ReadRows,
    Row,
)
from wharfcart.cluster.placement_map import PlacementMap
from wharfcart.cluster.transport import PeerUnreachableError, Transport
from wharfcart.errors import Outcome, ServingError

CALL_TIMEOUT_S = 8.0
TRY_TIMEOUT_S = 6.0
RETRY_DELAY_S = 0.05
RETRY_DELAY_MOST_S = 0.5
ROWS_A_READ = 256
BYTES_A_READ = 2 * 1024 * 1024
WHERE_CODES = ("not_leader", "no_replica")


class JournalClient:
    """Access to all shards."""

    def __init__(
        self,
        placement: PlacementMap,
        transport: Transport,
        address_of_storage: Callable[[str], Address | None],
    ) -> None:
        self.placement = placement
        self._transport = transport
        self._address_of_storage = address_of_storage
        self._leaders: dict[int, str] = {}

    @property
    def shard_count(self) -> int:
        """Number of shards of the journal.

        Raises
        ------
        ServingError
            ``journal_unavailable`` if this node does not know all shards yet. It can't tell then
            which shard decides a key, nor whether the one that an id names exists.
        """
        count = self.placement.shard_count
        if count == 0:
            raise ServingError(
                "journal_unavailable",
                "this node does not know the journal's shards yet",
                503,
                retry_after_seconds=1,
            )
        return count

    async def propose(
        self, shard: int, command: Command, timeout_seconds: float = CALL_TIMEOUT_S
    ) -> ProposeResult:
        """Commit a command and return its result.

        Raises
        ------
        ServingError
        """
        frame = Frame(propose=Propose(shard=shard, command=command))
        answer = await self._ask_leader(shard, frame, timeout_seconds)
        return answer.propose_result

    async def read_rows(
        self, shard: int, kind: str, id_: str, first: int, most: int = ROWS_A_READ
    ) -> list[Row]:
        """Return rows of one id from ``first`` on."""
        read = ReadRows(
            shard=shard, kind=kind, id=id_, first=first, most=most, most_bytes=BYTES_A_READ
        )
        answer = await self._ask_leader(shard, Frame(read_rows=read), CALL_TIMEOUT_S)
        return list(answer.rows.rows)

    async def iterate_rows(
        self, shard: int, kind: str, id_: str, first: int = 0, end: int | None = None
    ) -> AsyncIterator[Row]:
        """Yield rows of one id in order, holding a few hundred at a time."""
        while True:
            rows = await self.read_rows(shard, kind, id_, first)
            for row in rows:
                if end is not None and row.number >= end:
                    return
                yield row
            if not rows:
                return
            first = rows[-1].number + 1

    async def read_key(self, shard: int, key: str) -> KeyRecord:
        """Return an idempotency key's record without its answer; empty if there is none."""
        frame = Frame(read_key=ReadKey(shard=shard, key=key))
        return (await self._ask_leader(shard, frame, CALL_TIMEOUT_S)).key_record

    async def query_jobs(self, query: JobQuery) -> list[JobView]:
        """Return jobs of one shard."""
        answer = await self._ask_leader(query.shard, Frame(job_query=query), CALL_TIMEOUT_S)
        return list(answer.job_views.jobs)

    async def ask_leader(self, shard: int, frame: Frame, timeout_seconds: float) -> Frame:
        """Send any frame that a shard's leader answers."""
        return await self._ask_leader(shard, frame, timeout_seconds)

    async def _ask_leader(self, shard: int, frame: Frame, timeout_seconds: float) -> Frame:
        deadline = monotonic() + timeout_seconds
        delay = RETRY_DELAY_S
        may_have_run = False
        tried: list[str] = []
        while True:
            identity = self._next_identity(shard, tried)
            if identity is not None:
                tried.append(identity)
                try:
                    return await self._ask(identity, shard, frame, deadline - monotonic())
                except PeerUnreachableError as error:
                    may_have_run = may_have_run or error.sent
                except TimeoutError:
                    may_have_run = True
                except ServingError as error:
                    if not self._worth_another_try(error):
                        raise
                    may_have_run = may_have_run or error.outcome is not Outcome.NOT_RUN
                    self._follow_hint(shard, error, tried)
            if monotonic() + delay >= deadline:
                raise _unavailable(may_have_run)
            if identity is None or self._leaders.get(shard) is None:
                await asyncio.sleep(delay)
                delay = min(RETRY_DELAY_MOST_S, delay * 1.5)

    async def _ask(self, identity: str, shard: int, frame: Frame, seconds: float) -> Frame:
        address = self._address_of_storage(identity)
        if address is None:
            self._leaders.pop(shard, None)
            raise PeerUnreachableError(Address(identity, 0), sent=False)
        try:
            async with asyncio.timeout(min(TRY_TIMEOUT_S, seconds)):
                answer = await self._transport.call(address, frame)
        except (PeerUnreachableError, TimeoutError):
            self._leaders.pop(shard, None)
            raise
        self._leaders[shard] = identity
        return answer

    def _next_identity(self, shard: int, tried: list[str]) -> str | None:
        known = self._leaders.get(shard)
        if known is not None:
            return known
        replicas = self.placement.replicas(shard)
        if not replicas:
            return None
        return replicas[len(tried) % len(replicas)]

    def _worth_another_try(self, error: ServingError) -> bool:
        return error.code in (*WHERE_CODES, "lost_leadership", "journal_timeout", "internal")

    def _follow_hint(self, shard: int, error: ServingError, tried: list[str]) -> None:
        self._leaders.pop(shard, None)
        hints: list[str] = getattr(error, "__notes__", [])
        # A hint that leads back to where we just were would go round without a pause.
        if error.code in WHERE_CODES and hints and hints[0] not in tried[-2:]:
            self._leaders[shard] = hints[0]


def _unavailable(may_have_run: bool) -> ServingError:
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return ServingError(
        "journal_unavailable", "the journal has no leader now", 503, outcome, retry_after_seconds=1
    )
