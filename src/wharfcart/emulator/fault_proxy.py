"""Fault-injecting proxy between nodes, for TCP and UDP on one address.

Peers reach a node only through its proxy if its ``cluster_advertise`` is the proxy's address.
``POST /control/proxies/{name}`` on the control address sets the faults (:class:`ProxyFaults`).
"""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import cast

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wharfcart.emulator.answer_shapes import ConnectionEnd, end_connection
from wharfcart.emulator.web_server import WebServer
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.schema import ProxySettings

READ_BUFFER_BYTES = 64 * 1024
# Reads of a peer's bytes that a stalled connection holds; the peer's kernel holds the rest.
MAX_HELD_READS = 16
# Longest pause between the reads of a late connection: lost segments are repeated in turn.
MAX_LATE_PAUSE_S = 0.02
Endpoint = tuple[str, int]


class ProxyFaults(BaseModel):
    """Faults of the traffic to one node."""

    model_config = ConfigDict(extra="forbid")

    cut: bool = Field(default=False, description="drop datagrams, stall and refuse connections")
    silent: bool = Field(default=False, description="connections open, no byte passes either way")
    one_way: bool = Field(default=False, description="bytes pass to the node, none from it")
    delay_seconds: float = Field(default=0.0, ge=0, description="added each way, with jitter")
    datagram_loss: float = Field(default=0.0, ge=0, le=1, description="part of datagrams dropped")
    datagram_repeat: float = Field(default=0.0, ge=0, le=1, description="part sent twice")
    late: bool = Field(
        default=False,
        description="bytes to the node on connections open at the start of the fault arrive at its "
        "end, also if the peer has closed these and uses others",
    )
    broken_connections: int = Field(default=0, ge=0, description="so many connections are reset")


class _EndedInOrderError(Exception):
    """The node closed the connection."""


class _Connection:
    """A peer's connection to the node.

    Attributes:
        received: bytes of the peer that the node has not got yet; b"" is the end.
        has_ended: whether the peer has closed or reset the connection.
        is_reset: whether the peer has reset it; the network then repeats no lost segment.
        is_unreachable: whether nothing passes between the peer and the node.
        is_late: whether bytes to the node wait for the end of the fault.
        was_late: whether bytes to the node have waited for the end of the fault.
    """

    def __init__(
        self, peer_writer: asyncio.StreamWriter, node_writer: asyncio.StreamWriter
    ) -> None:
        self.peer_writer = peer_writer
        self.node_writer = node_writer
        self.received: asyncio.Queue[bytes] = asyncio.Queue(MAX_HELD_READS)
        self.has_ended = False
        self.is_reset = False
        self.is_unreachable = False
        self.is_late = False
        self.was_late = False

    @property
    def peer(self) -> Endpoint:
        """Address of the peer."""
        return cast(Endpoint, self.peer_writer.get_extra_info("peername"))


class FaultProxy:
    """Proxy in front of one node."""

    def __init__(self, listen: Endpoint, target: Endpoint, seed: int) -> None:
        self.faults = ProxyFaults()
        self._listen = listen
        self._target = target
        self._random = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._connections: set[_Connection] = set()
        self._is_unreachable: Callable[[Endpoint], bool] = _is_never_unreachable
        self._change = asyncio.Event()  # set and replaced when faults change

    async def start(self) -> None:
        """Start to listen on TCP and UDP."""
        self._server = await asyncio.start_server(self._on_connection, *self._listen)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ForwardProtocol(self), local_addr=self._listen
        )
        self._datagram_transport = transport

    async def stop(self) -> None:
        """Close the listeners and all connections."""
        if self._server is not None:
            self._server.close()
        if self._datagram_transport is not None:
            self._datagram_transport.close()
        for writer in self._writers():
            writer.close()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Replace the faults and apply them to open connections."""
        self.faults = faults
        for connection in self._connections:
            connection.is_late = faults.late
            connection.was_late |= faults.late
        for writer in self._writers()[: faults.broken_connections]:
            end_connection(writer.transport, ConnectionEnd.RESET)
        self._signal_change()

    def set_unreachable_peers(self, is_unreachable: Callable[[Endpoint], bool]) -> None:
        """Choose the peers whose connections pass nothing either way, by their address."""
        self._is_unreachable = is_unreachable
        for connection in self._connections:
            connection.is_unreachable = is_unreachable(connection.peer)
        self._signal_change()

    def clear_unreachable_peers(self) -> None:
        """Let the node exchange bytes with all peers again."""
        self.set_unreachable_peers(_is_never_unreachable)

    def _signal_change(self) -> None:
        self._change.set()
        self._change = asyncio.Event()

    def _writers(self) -> list[asyncio.StreamWriter]:
        return [
            writer
            for connection in self._connections
            for writer in (connection.peer_writer, connection.node_writer)
        ]

    # ---- TCP ----

    async def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        connection = _Connection(writer, upstream_writer)
        connection.is_unreachable = self._is_unreachable(connection.peer)
        self._connections.add(connection)
        end = ConnectionEnd.IN_ORDER
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._receive(reader, connection))
                group.create_task(self._forward(connection))
                group.create_task(self._return(upstream_reader, connection))
        except* _EndedInOrderError:
            pass
        except* OSError:
            end = ConnectionEnd.RESET
        finally:
            self._connections.discard(connection)
            for one in (writer, upstream_writer):
                end_connection(one.transport, end)

    async def _receive(self, reader: asyncio.StreamReader, connection: _Connection) -> None:
        """Read the peer's bytes, so that the end of the connection is seen at once."""
        try:
            while data := await reader.read(READ_BUFFER_BYTES):
                await connection.received.put(data)
        except OSError:
            connection.is_reset = True
        connection.has_ended = True
        await connection.received.put(b"")

    async def _forward(self, connection: _Connection) -> None:
        """Pass the peer's bytes and the end of the connection to the node."""
        while True:
            data = await connection.received.get()
            await self._wait_until_open(connection, to_node=True)
            if connection.is_reset:
                raise ConnectionResetError
            if not data:
                break
            if connection.was_late:
                await asyncio.sleep(self._random.uniform(0, MAX_LATE_PAUSE_S))
            if self.faults.delay_seconds:
                await asyncio.sleep(self.random_delay_s())
            connection.node_writer.write(data)
            await connection.node_writer.drain()
        connection.node_writer.write_eof()

    async def _return(self, reader: asyncio.StreamReader, connection: _Connection) -> None:
        """Pass the node's bytes to the peer, until the node ends the connection."""
        while data := await reader.read(READ_BUFFER_BYTES):
            await self._wait_until_open(connection, to_node=False)
            if connection.has_ended:
                continue
            if self.faults.delay_seconds:
                await asyncio.sleep(self.random_delay_s())
            connection.peer_writer.write(data)
            # The peer may end the connection meanwhile; what it sent before is still in flight.
            with suppress(OSError):
                await connection.peer_writer.drain()
        # Ends the task group, which closes both connections.
        raise _EndedInOrderError

    async def _wait_until_open(self, connection: _Connection, *, to_node: bool) -> None:
        """Wait while the link is stalled; it buffers bytes and keeps both ends open."""
        while self._is_stalled(connection, to_node):
            await self._change.wait()

    def _is_stalled(self, connection: _Connection, to_node: bool) -> bool:
        if self.faults.cut or self.faults.silent or connection.is_unreachable:
            return True
        return connection.is_late if to_node else self.faults.one_way

    # ---- UDP ----

    def random_delay_s(self) -> float:
        """Return a random delay around the configured one."""
        return self.faults.delay_seconds * (0.5 + self._random.random())

    def forward_datagram(
        self, transport: asyncio.DatagramTransport, data: bytes, destination: Endpoint
    ) -> None:
        """Send a datagram to its destination, subject to the faults."""
        if self.faults.cut or self._random.random() < self.faults.datagram_loss:
            return
        copies = 2 if self._random.random() < self.faults.datagram_repeat else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            loop.call_later(self.random_delay_s(), _send_datagram, transport, data, destination)

    async def open_upstream(self, client: Endpoint) -> asyncio.DatagramTransport:
        """Open a socket to the target; its datagrams are returned to ``client``."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ReverseProtocol(self, client), local_addr=(self._listen[0], 0)
        )
        return transport

    @property
    def target(self) -> Endpoint:
        """Return the node's own address."""
        return self._target

    @property
    def datagram_transport(self) -> asyncio.DatagramTransport | None:
        """Return the socket that peers send to, or None before the start."""
        return self._datagram_transport


def _is_never_unreachable(_peer: Endpoint) -> bool:
    return False


def _send_datagram(
    transport: asyncio.DatagramTransport, data: bytes, destination: Endpoint
) -> None:
    if not transport.is_closing():
        transport.sendto(data, destination)


class _ForwardProtocol(asyncio.DatagramProtocol):
    """Forwards datagrams from peers to the node, with one upstream socket per peer."""

    def __init__(self, proxy: FaultProxy) -> None:
        self._proxy = proxy
        self._upstream_by_peer: dict[Endpoint, asyncio.Task[asyncio.DatagramTransport]] = {}

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        loop = asyncio.get_running_loop()
        if addr not in self._upstream_by_peer:
            self._upstream_by_peer[addr] = loop.create_task(self._proxy.open_upstream(addr))
        self._upstream_by_peer[addr].add_done_callback(
            lambda done: self._proxy.forward_datagram(done.result(), data, self._proxy.target)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        for task in self._upstream_by_peer.values():
            if task.done():
                task.result().close()


class _ReverseProtocol(asyncio.DatagramProtocol):
    """Returns datagrams of the node to one peer."""

    def __init__(self, proxy: FaultProxy, client: Endpoint) -> None:
        self._proxy = proxy
        self._client = client

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        if self._proxy.datagram_transport is not None:
            self._proxy.forward_datagram(self._proxy.datagram_transport, data, self._client)


class ProxyGroup:
    """All proxies of an emulator, with their control API."""

    def __init__(self, settings: list[ProxySettings], seed: int) -> None:
        self.proxies = {
            entry.name: FaultProxy(
                split_endpoint(entry.listen), split_endpoint(entry.target), seed + number
            )
            for number, entry in enumerate(settings)
        }
        app = web.Application()
        app.router.add_post("/control/proxies/{name}", self._set_faults)
        self.server = WebServer(app)

    async def start(self, host: str, port: int) -> None:
        """Start the control API and every proxy."""
        await self.server.start(host, port)
        for proxy in self.proxies.values():
            await proxy.start()

    async def stop(self) -> None:
        """Stop the control API and every proxy."""
        await self.server.stop()
        for proxy in self.proxies.values():
            await proxy.stop()

    async def _set_faults(self, request: web.Request) -> web.Response:
        proxy = self.proxies.get(request.match_info["name"])
        if proxy is None:
            return web.json_response({"error": "no such proxy"}, status=404)
        try:
            proxy.set_faults(ProxyFaults.model_validate(cast(object, await request.json())))
        except ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(proxy.faults.model_dump())
