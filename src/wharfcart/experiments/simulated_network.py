"""Simulated TCP connections between storage nodes, in virtual time.

Like :mod:`wharfcart.cluster.transport`: one connection per peer, a task for each call at the
target, frames that cancel calls. Within a connection messages arrive in order. What was sent on a
connection that its caller has given up may still arrive, after messages of the next connection.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame
from wharfcart.cluster.transport import (
    CONNECT_TIMEOUT_S,
    UNACKNOWLEDGED_TIMEOUT_MS,
    PeerUnreachableError,
    TrafficClass,
)
from wharfcart.errors import Outcome, ServingError

if TYPE_CHECKING:
    import random

UNACKNOWLEDGED_TIMEOUT_S = UNACKNOWLEDGED_TIMEOUT_MS / 1000
# Bounds of the first retransmission timeout; it doubles with each retransmission.
MIN_RETRANSMISSION_S = 0.2
MAX_RETRANSMISSION_S = 0.4
# Longer than a connection lasts without an acknowledgement.
MAX_STALL_S = 3.5


class Network(Protocol):
    """What connections need to know of the network.

    Attributes:
        random: source of randomness.
        late_calls: number of calls that arrived after their callers had closed the connection.
    """

    random: "random.Random"
    late_calls: int

    def one_way_delay_s(self, source: int, target: int) -> float:
        """Record a message and return its delay."""
        ...

    def is_cut(self, source: int, target: int) -> bool:
        """Whether nothing arrives from one node at another."""
        ...

    def loses_segment(self) -> bool:
        """Whether the path of a connection loses the next segments."""
        ...


class Endpoint(Protocol):
    """A node that connections lead to."""

    number: int
    inbound: "list[Connection]"

    async def handle_call(self, frame: Frame) -> Frame | None:
        """Handle a call; return None if there is no answer."""
        ...


class _Direction:
    """One direction of a connection: delivers in order until it is aborted.

    Segments that are lost are retransmitted, also after the connection was closed. If nothing
    arrives for :data:`UNACKNOWLEDGED_TIMEOUT_S`, all that is pending is discarded.
    """

    def __init__(
        self, network: Network, source: int, target: int, on_abort: Callable[[], None]
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._on_abort = on_abort
        self._pending: deque[tuple[float, Callable[[], None]]] = deque()
        self._stalled_until = 0.0
        self._aborted = False
        self._pump: asyncio.Task[None] | None = None

    def send(self, deliver: Callable[[], None]) -> None:
        """Send a message; ``deliver`` is called when it arrives."""
        if self._aborted:
            return
        now = asyncio.get_running_loop().time()
        network = self._network
        arrives_at = now + network.one_way_delay_s(self._source, self._target)
        if network.loses_segment():
            stall_s = network.random.uniform(MIN_RETRANSMISSION_S, MAX_STALL_S)
            self._stalled_until = max(self._stalled_until, now + stall_s)
        self._pending.append((arrives_at, deliver))
        if self._pump is None:
            self._pump = asyncio.create_task(self._deliver_pending())

    def abort(self) -> None:
        """Discard what has not arrived and what is sent from now on."""
        self._aborted = True
        self._pending.clear()

    async def _deliver_pending(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending:
            arrives_at, deliver = self._pending[0]
            # What was held back arrives in one piece, or in several.
            if arrives_at > loop.time() or self._network.random.random() < 0.5:
                await asyncio.sleep(max(0.0, arrives_at - loop.time()))
            if self._is_blocked() and not await self._retransmit():
                self.abort()
                self._on_abort()
            if self._aborted:
                break
            self._pending.popleft()
            deliver()
        self._pump = None

    async def _retransmit(self) -> bool:
        """Retransmit until the path is free; return False after the timeout."""
        loop = asyncio.get_running_loop()
        gives_up_at = loop.time() + UNACKNOWLEDGED_TIMEOUT_S
        interval_s = self._network.random.uniform(MIN_RETRANSMISSION_S, MAX_RETRANSMISSION_S)
        while self._is_blocked():
            if loop.time() + interval_s > gives_up_at:
                await asyncio.sleep(gives_up_at - loop.time())
                return False
            await asyncio.sleep(interval_s)
            interval_s *= 2
        return True

    def _is_blocked(self) -> bool:
        is_stalled = asyncio.get_running_loop().time() < self._stalled_until
        return is_stalled or self._network.is_cut(self._source, self._target)


class Connection:
    """A connection from one process to another.

    Attributes:
        lost: whether the source can no longer use it.
    """

    def __init__(self, network: Network, source: int, target: Endpoint) -> None:
        self.lost = False
        self._network = network
        self._address = Address("node", target.number)
        self._target = target
        self._target_closed = False
        self._to_target = _Direction(network, source, target.number, self._lose)
        self._to_source = _Direction(network, target.number, source, self.close_target)
        self._answers: dict[int, asyncio.Future[Frame | None]] = {}
        self._handlers: dict[int, asyncio.Task[None]] = {}
        self._next_call = 1
        target.inbound.append(self)

    async def call(self, frame: Frame) -> Frame:
        """Send a call and return its answer.

        Raises:
            PeerUnreachableError: the connection is lost.
            ServingError: the handler failed.
        """
        call_id = self._next_call
        self._next_call += 1
        answer: asyncio.Future[Frame | None] = asyncio.get_running_loop().create_future()
        self._answers[call_id] = answer
        message = frame.SerializeToString()
        self._to_target.send(lambda: self._start_handler(call_id, message))
        try:
            response = await answer
        except asyncio.CancelledError:
            if not self.lost:
                self._to_target.send(lambda: self._cancel_handler(call_id))
            raise
        finally:
            del self._answers[call_id]
        if response is None:
            raise PeerUnreachableError(self._address, sent=True)
        return response

    def close(self) -> None:
        """Close the connection at the source; what was sent may still arrive."""
        if not self.lost:
            self._to_target.send(self.close_target)
            self._lose()

    def close_target(self) -> None:
        """Close the connection at the target and cancel its handlers; their writes may go on."""
        if self._target_closed:
            return
        self._target_closed = True
        self._target.inbound.remove(self)
        for handler in list(self._handlers.values()):
            handler.cancel()

    def reset_by_target(self) -> None:
        """End the connection with the target's process."""
        self.close_target()
        self._to_target.abort()
        self._to_source.send(self._lose)

    def _lose(self) -> None:
        self.lost = True
        for answer in self._answers.values():
            if not answer.done():
                answer.set_result(None)

    def _start_handler(self, call_id: int, message: bytes) -> None:
        if self._target_closed:
            return
        self._network.late_calls += self.lost
        handler = asyncio.create_task(self._handle(call_id, message))
        self._handlers[call_id] = handler
        handler.add_done_callback(lambda _: self._handlers.pop(call_id, None))

    def _cancel_handler(self, call_id: int) -> None:
        handler = self._handlers.pop(call_id, None)
        if handler is not None:
            handler.cancel()

    async def _handle(self, call_id: int, message: bytes) -> None:
        try:
            answer = await self._target.handle_call(Frame.FromString(message))
        except Exception as error:  # the transport reports every failure to the caller
            failure = ServingError("internal", str(error), 500, Outcome.UNKNOWN)
            self._to_source.send(lambda: self._fail_call(call_id, failure))
            return
        self._to_source.send(lambda: self._answer_call(call_id, answer))

    def _answer_call(self, call_id: int, answer: Frame | None) -> None:
        waiting = self._answers.get(call_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    def _fail_call(self, call_id: int, failure: ServingError) -> None:
        waiting = self._answers.get(call_id)
        if waiting is not None and not waiting.done():
            waiting.set_exception(failure)


class SimulatedTransport:
    """Transport of one process.

    Args:
        network: delays, cuts and losses.
        source: number of the node.
        endpoint_of: returns the running process of a node, or None.
    """

    def __init__(
        self, network: Network, source: int, endpoint_of: Callable[[int], Endpoint | None]
    ) -> None:
        self._network = network
        self._source = source
        self._endpoint_of = endpoint_of
        self._connections: dict[Address, Connection] = {}
        self._connect_locks: dict[Address, asyncio.Lock] = {}

    async def call(
        self, address: Address, frame: Frame, traffic: TrafficClass = TrafficClass.BULK
    ) -> Frame:
        """Send a call and return its answer."""
        connection = await self._connect(address)
        return await connection.call(frame)

    def round_trip_s(self, address: Address) -> float:
        """Return 0: round trips are not observed."""
        return 0.0

    def drop(self, address: Address) -> None:
        """Close the connection to a peer; the next call reconnects."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def abort(self) -> None:
        """Close all connections with the process."""
        for address in list(self._connections):
            self.drop(address)

    async def _connect(self, address: Address) -> Connection:
        async with self._connect_locks.setdefault(address, asyncio.Lock()):
            connection = self._connections.get(address)
            if connection is not None and not connection.lost:
                return connection
            await self._shake_hands(address)
            endpoint = self._endpoint_of(address.port)
            if endpoint is None:
                raise PeerUnreachableError(address, sent=False)
            connection = Connection(self._network, self._source, endpoint)
            self._connections[address] = connection
            return connection

    async def _shake_hands(self, address: Address) -> None:
        """Wait for a round trip; a lost segment is repeated only after the timeout.

        Raises:
            PeerUnreachableError: the timeout has passed.
        """
        there, back = (self._source, address.port), (address.port, self._source)
        for ends in (there, back):
            await asyncio.sleep(self._network.one_way_delay_s(*ends))
            if self._network.is_cut(*ends) or self._network.loses_segment():
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                raise PeerUnreachableError(address, sent=False)
