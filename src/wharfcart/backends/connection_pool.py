"""Kept connections to back ends: bounded a back end, the most recently used first."""

from collections import deque
from collections.abc import Collection

from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import HttpConnection

CONNECT_TIMEOUT_S = 0.4
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A peer that closes an idle connection as the next request leaves makes its outcome unknown.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_BACKEND = 24


class ConnectionLimitError(Exception):
    """This node already has its share of the connections that the back end takes."""


class ConnectionPool:
    """Connections of one node, by incarnation of back end."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[HttpConnection]] = {}
        self._open_count: dict[str, int] = {}

    async def acquire(
        self, instance: BackendInstance, limit: int, force_new: bool = False
    ) -> HttpConnection:
        """Return a kept connection, or a new one within the limit.

        Raises
        ------
        ConnectFailedError, ConnectionLimitError
        """
        if not force_new:
            kept = self._pop_idle(instance.instance_id)
            if kept is not None:
                return kept
        if self._open_count.get(instance.instance_id, 0) >= limit:
            raise ConnectionLimitError
        self._open_count[instance.instance_id] = self._open_count.get(instance.instance_id, 0) + 1
        try:
            return await HttpConnection.open(instance.host, instance.port, CONNECT_TIMEOUT_S)
        except BaseException:
            self._decrement_open(instance.instance_id)
            raise

    def idle_instances(self) -> Collection[str]:
        """Return the incarnations to which a connection is kept that nobody uses now."""
        return [instance_id for instance_id, idle in self._idle.items() if idle]

    def release(self, instance: BackendInstance, connection: HttpConnection) -> None:
        """Keep a connection whose answer is whole, or close it."""
        idle = self._idle.setdefault(instance.instance_id, deque())
        if connection.finish(monotonic()) and len(idle) < MAX_IDLE_PER_BACKEND:
            idle.append(connection)
            return
        self.discard(instance, connection)

    def discard(self, instance: BackendInstance, connection: HttpConnection) -> None:
        """Close a connection in use."""
        connection.close()
        self._decrement_open(instance.instance_id)

    def drop_instance(self, instance_id: str) -> None:
        """Close the idle connections to a back end that is gone."""
        for connection in self._idle.pop(instance_id, deque()):
            connection.close()
            self._decrement_open(instance_id)

    def close(self) -> None:
        """Close every idle connection."""
        for instance_id in list(self._idle):
            self.drop_instance(instance_id)

    def _pop_idle(self, instance_id: str) -> HttpConnection | None:
        idle = self._idle.get(instance_id)
        now = monotonic()
        while idle:
            connection = idle.pop()
            limit_s = connection.idle_limit_s or DEFAULT_IDLE_TIMEOUT_S
            rested_s = now - connection.idle_since
            if connection.reusable and rested_s < max(0.5, limit_s - IDLE_MARGIN_S):
                return connection
            connection.close()
            self._decrement_open(instance_id)
        return None

    def _decrement_open(self, instance_id: str) -> None:
        left = self._open_count.get(instance_id, 0) - 1
        if left > 0:
            self._open_count[instance_id] = left
        else:
            self._open_count.pop(instance_id, None)
