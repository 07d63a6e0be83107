"""Journal client: finds a shard's leader and calls it, from any node.

The ids in commands make them idempotent, so the client retries a proposal whose answer was lost. An
error has outcome ``not_run`` only if no attempt can have reached a leader.
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
ATTEMPT_TIMEOUT_S = 6.0
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.5
ROWS_PER_READ = 256
BYTES_PER_READ = 2 * 1024 * 1024
REDIRECT_CODES = ("not_leader", "no_replica")


class JournalClient:
    """Client of all shards of the journal."""

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

        Raises:
            ServingError: ``journal_unavailable`` if this node does not know all shards yet. It then
                can't tell which shard a key belongs to, nor whether the shard in an id exists.
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

        Raises:
            ServingError: the shard refused the command, or no leader answered in time.
        """
        frame = Frame(propose=Propose(shard=shard, command=command))
        answer = await self._ask_leader(shard, frame, timeout_seconds)
        return answer.propose_result

    async def read_rows(
        self, shard: int, kind: str, id_: str, first: int, limit: int = ROWS_PER_READ
    ) -> list[Row]:
        """Return rows of one id from ``first`` on."""
        read = ReadRows(
            shard=shard, kind=kind, id=id_, first=first, most=limit, most_bytes=BYTES_PER_READ
        )
        answer = await self._ask_leader(shard, Frame(read_rows=read), CALL_TIMEOUT_S)
        return list(answer.rows.rows)

    async def iterate_rows(
        self, shard: int, kind: str, id_: str, first: int = 0, end: int | None = None
    ) -> AsyncIterator[Row]:
        """Yield rows of one id in order, fetched in chunks."""
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
        """Return an idempotency key's record without its response; empty if there is none."""
        frame = Frame(read_key=ReadKey(shard=shard, key=key))
        return (await self._ask_leader(shard, frame, CALL_TIMEOUT_S)).key_record

    async def query_jobs(self, query: JobQuery) -> list[JobView]:
        """Return jobs of one shard."""
        answer = await self._ask_leader(query.shard, Frame(job_query=query), CALL_TIMEOUT_S)
        return list(answer.job_views.jobs)

    async def ask_leader(
        self, shard: int, frame: Frame | Callable[[], Frame], timeout_seconds: float
    ) -> Frame:
        """Send a frame to a shard's leader and return the answer.

        Args:
            shard: number of the shard.
            frame: the frame, or a function that returns the frame of the next attempt.
            timeout_seconds: timeout of all attempts.
        """
        return await self._ask_leader(shard, frame, timeout_seconds)

    async def _ask_leader(
        self, shard: int, frame: Frame | Callable[[], Frame], timeout_seconds: float
    ) -> Frame:
        deadline = monotonic() + timeout_seconds
        delay = RETRY_DELAY_S
        may_have_run = False
        tried: list[str] = []
        while True:
            identity = self._next_candidate(shard, tried)
            if identity is not None:
                tried.append(identity)
                try:
                    attempt = frame if isinstance(frame, Frame) else frame()
                    return await self._ask(identity, shard, attempt, deadline - monotonic())
                except PeerUnreachableError as error:
                    may_have_run = may_have_run or error.sent
                except TimeoutError:
                    may_have_run = True
                except ServingError as error:
                    if not self._is_retryable(error):
                        raise
                    may_have_run = may_have_run or error.outcome is not Outcome.NOT_RUN
                    self._follow_hint(shard, error, tried)
            if monotonic() + delay >= deadline:
                raise _unavailable(may_have_run)
            if identity is None or self._leaders.get(shard) is None:
                await asyncio.sleep(delay)
                delay = min(MAX_RETRY_DELAY_S, delay * 1.5)

    async def _ask(self, identity: str, shard: int, frame: Frame, seconds: float) -> Frame:
        address = self._address_of_storage(identity)
        if address is None:
            self._leaders.pop(shard, None)
            raise PeerUnreachableError(Address(identity, 0), sent=False)
        try:
            async with asyncio.timeout(min(ATTEMPT_TIMEOUT_S, seconds)):
                answer = await self._transport.call(address, frame)
        except (PeerUnreachableError, TimeoutError):
            self._leaders.pop(shard, None)
            raise
        self._leaders[shard] = identity
        return answer

    def _next_candidate(self, shard: int, tried: list[str]) -> str | None:
        known = self._leaders.get(shard)
        if known is not None:
            return known
        replicas = self.placement.replicas(shard)
        if not replicas:
            return None
        return replicas[len(tried) % len(replicas)]

    def _is_retryable(self, error: ServingError) -> bool:
        return error.code in (*REDIRECT_CODES, "lost_leadership", "journal_timeout", "internal")

    def _follow_hint(self, shard: int, error: ServingError, tried: list[str]) -> None:
        self._leaders.pop(shard, None)
        hints: list[str] = getattr(error, "__notes__", [])
        # A hint to a replica that was just tried would make the client loop without a delay.
        if error.code in REDIRECT_CODES and hints and hints[0] not in tried[-2:]:
            self._leaders[shard] = hints[0]


def _unavailable(may_have_run: bool) -> ServingError:
    outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
    return ServingError(
        "journal_unavailable", "the journal has no leader now", 503, outcome, retry_after_seconds=1
    )
