"""Runs that nobody knows of: left at back ends by a leader that lost its power.

A back end does not notice that the machine it answers is dark, and works on for seconds. Nobody
else knows: to the next granting node its slots look free. So that node asks the back ends
themselves for a while; what they have beyond what sessions tell is counted as taken.
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

# Most holders have opened their session by then: what they run is no leftover.
FIRST_PROBE_DELAY_S = 0.1
PROBE_INTERVAL_S = 0.2
# Longer than batch items run; a run that outlasts this is one of many.
MAX_WATCH_S = 8.0
PROBE_TIMEOUT_S = 0.3
MAX_CONCURRENT_PROBES = 16
STATUS_OK = 200


class OrphanedRuns:
    """Finds leftover runs for the granting node of one group.

    Args:
        group: number of the group.
        pool: connections to back ends.
        connection_limit: of one back end, by service.
        log: tells what was found.
        may_ask: whether anything may be sent to a back end.
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
        """Ask back ends until none has runs that no session tells of.

        Args:
            granter: is told of what they have.
            instances: the back ends that it grants.
        """
        until = monotonic() + MAX_WATCH_S
        await asyncio.sleep(FIRST_PROBE_DELAY_S)
        while instances and monotonic() < until:
            leftover = await self._probe_all(granter, instances)
            if leftover:
                self._log.write(
                    Event.LEFTOVER_RUNS,
                    group=self._group,
                    runs=sum(leftover.values()),
                    backends=len(leftover),
                )
            instances = [one for one in instances if one.instance_id in leftover]
            await asyncio.sleep(PROBE_INTERVAL_S)
        for instance in instances:
            granter.backend_reported(instance.instance_id, 0)

    async def _probe_all(
        self, granter: SlotGranter, instances: list[BackendInstance]
    ) -> dict[str, int]:
        """Return the leftover runs by back end that has any."""
        limiter = asyncio.Semaphore(MAX_CONCURRENT_PROBES)
        found: dict[str, int] = {}

        async def ask(instance: BackendInstance) -> None:
            present = None
            if self._may_probe(instance):
                async with limiter:
                    present = await self._probe(instance)
            # A back end that does not answer takes nothing for now: it is left to the granter.
            leftover = granter.backend_reported(instance.instance_id, present or 0)
            if leftover:
                found[instance.instance_id] = leftover

        await asyncio.gather(*(ask(instance) for instance in instances))
        return found

    async def _probe(self, instance: BackendInstance) -> int | None:
        """Return how many requests a back end has; None if it does not tell."""
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
