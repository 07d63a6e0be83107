"""Orphaned runs: requests at back ends whose holder lost power or its network.

A back end does not notice such a loss and keeps running the request for seconds, while its slot
looks free to the next granting node. After it begins to grant, a node therefore probes the back
ends for a limited time. Requests beyond those that sessions report count as taken slots.
"""

import asyncio
from collections.abc import Callable

from wharfcart.backends.connection_pool import ConnectionLimitError, ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import ConnectFailedError, ConnectionBrokenError
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import http_headers
from wharfcart.slots.granter import SlotGranter

# Leaves holders time to open their sessions and report their runs.
FIRST_PROBE_DELAY_S = 0.1
PROBE_INTERVAL_S = 0.2
# Longer than most batch items run.
MAX_WATCH_S = 8.0
PROBE_TIMEOUT_S = 0.3
MAX_CONCURRENT_PROBES = 16
STATUS_OK = 200


class OrphanedRuns:
    """Finds orphaned runs for the granting node of one group.

    Args:
        group: number of the group.
        pool: connections to back ends.
        connection_limit: maximum number of connections to one back end of a service.
        log: receives the numbers of orphaned runs.
        may_probe: whether requests may be sent to a back end.
    """

    def __init__(
        self,
        group: int,
        pool: ConnectionPool,
        connection_limit: Callable[[str], int],
        log: DecisionLog,
        may_probe: Callable[[BackendInstance], bool] = lambda _instance: True,
    ) -> None:
        self._may_probe = may_probe
        self._group = group
        self._pool = pool
        self._connection_limit = connection_limit
        self._log = log

    async def watch(self, granter: SlotGranter, instances: list[BackendInstance]) -> None:
        """Probe back ends until none has orphaned runs or the time limit is reached.

        Args:
            granter: receives the request count of each back end.
            instances: back ends that the granter owns.
        """
        until = monotonic() + MAX_WATCH_S
        await asyncio.sleep(FIRST_PROBE_DELAY_S)
        while instances and monotonic() < until:
            orphaned = await self._probe_all(granter, instances)
            if orphaned:
                self._log.write(
                    Event.LEFTOVER_RUNS,
                    group=self._group,
                    runs=sum(orphaned.values()),
                    backends=len(orphaned),
                )
            instances = [backend for backend in instances if backend.instance_id in orphaned]
            await asyncio.sleep(PROBE_INTERVAL_S)
        for instance in instances:
            granter.backend_reported(instance.instance_id, 0)

    async def _probe_all(
        self, granter: SlotGranter, instances: list[BackendInstance]
    ) -> dict[str, int]:
        """Return the number of orphaned runs by instance, without instances that have none."""
        limiter = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        found: dict[str, int] = {}

        async def probe(instance: BackendInstance) -> None:
            request_count = None
            if self._may_probe(instance):
                async with limiter:
                    request_count = await self._probe(instance)
            # Without an answer the back end counts as idle; the granter handles its failure.
            orphaned = granter.backend_reported(instance.instance_id, request_count or 0)
            if orphaned:
                found[instance.instance_id] = orphaned

        await asyncio.gather(*(probe(instance) for instance in instances))
        return found

    async def _probe(self, instance: BackendInstance) -> int | None:
        """Return the number of requests at a back end; None if it does not answer."""
        limit = self._connection_limit(instance.service)
        try:
            connection = await self._pool.acquire(instance, limit)
        except (ConnectFailedError, ConnectionLimitError):
            return None
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                path, headers = http_headers.load_report_request(instance)
                connection.send("GET", path, headers, b"")
                head = await connection.read_head()
                report = await connection.read_body()
        except (ConnectionBrokenError, TimeoutError):
            self._pool.discard(instance, connection)
            return None
        except BaseException:
            self._pool.discard(instance, connection)
            raise
        self._pool.release(instance, connection)
        return http_headers.parse_request_count(report) if head.status == STATUS_OK else None
