"""Fault-injecting proxy between nodes, for TCP and UDP on one address.

A node whose ``cluster_advertise`` names a proxy is reached by its peers only through it. Faults are
switched by ``POST /control/proxies/{name}`` on the control address (:class:`ProxyFaults`).
"""

import asyncio
import random
from typing import cast

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wharfcart.emulator.web_server import WebServer
from wharfcart.settings.base import split_endpoint
from wharfcart.settings.schema import ProxySettings

READ_BUFFER_BYTES = 64 * 1024
Endpoint = tuple[str, int]


class ProxyFaults(BaseModel):
    """Faults of the traffic towards one node."""

    model_config = ConfigDict(extra="forbid")

    cut: bool = Field(default=False, description="drop datagrams, stall and refuse connections")
    silent: bool = Field(default=False, description="connections open, no byte passes either way")
    one_way: bool = Field(default=False, description="bytes pass to the node, none from it")
    delay_seconds: float = Field(default=0.0, ge=0, description="added each way, with jitter")
    datagram_loss: float = Field(default=0.0, ge=0, le=1, description="part of datagrams dropped")
    datagram_repeat: float = Field(default=0.0, ge=0, le=1, description="part sent twice")
    broken_connections: int = Field(default=0, ge=0, description="so many connections are reset")


class FaultProxy:
    """The way to one node."""

    def __init__(self, listen: Endpoint, target: Endpoint, seed: int) -> None:
        self.faults = ProxyFaults()
        self._listen = listen
        self._target = target
        self._random = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._datagram_transport: asyncio.DatagramTransport | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._forward_open = asyncio.Event()
        self._reverse_open = asyncio.Event()
        self._forward_open.set()
        self._reverse_open.set()

    async def start(self) -> None:
        """Listen for TCP and UDP."""
        self._server = await asyncio.start_server(self._on_connection, *self._listen)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ForwardProtocol(self), local_addr=self._listen
        )
        self._datagram_transport = transport

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        if self._datagram_transport is not None:
            self._datagram_transport.close()
        for writer in list(self._writers):
            writer.close()

    def set_faults(self, faults: ProxyFaults) -> None:
        """Switch faults."""
        self.faults = faults
        _set_event(self._forward_open, not (faults.cut or faults.silent))
        _set_event(self._reverse_open, not (faults.cut or faults.silent or faults.one_way))
        for writer in list(self._writers)[: faults.broken_connections]:
            writer.transport.abort()

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
        pair = (writer, upstream_writer)
        self._writers.update(pair)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, upstream_writer, self._forward_open))
                group.create_task(self._copy(upstream_reader, writer, self._reverse_open))
        except* OSError:
            pass
        finally:
            self._writers.difference_update(pair)
            for each in pair:
                each.close()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link_open: asyncio.Event
    ) -> None:
        while data := await reader.read(READ_BUFFER_BYTES):
            await link_open.wait()  # a cut link holds bytes back; nothing is told to the ends
            if self.faults.delay_seconds:
                await asyncio.sleep(self.random_delay_s())
            writer.write(data)
            await writer.drain()
        # One end closed: so does the other.
        raise ConnectionResetError

    # ---- UDP ----

    def random_delay_s(self) -> float:
        """Draw a delay."""
        return self.faults.delay_seconds * (0.5 + self._random.random())

    def forward_datagram(
        self, transport: asyncio.DatagramTransport, data: bytes, destination: Endpoint
    ) -> None:
        """Send a datagram on, as the faults allow."""
        if self.faults.cut or self._random.random() < self.faults.datagram_loss:
            return
        copies = 2 if self._random.random() < self.faults.datagram_repeat else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            loop.call_later(self.random_delay_s(), _send_datagram, transport, data, destination)

    async def open_upstream(self, client: Endpoint) -> asyncio.DatagramTransport:
        """Return a socket towards the target whose answers go back to ``client``."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _ReverseProtocol(self, client), local_addr=(self._listen[0], 0)
        )
        return transport

    @property
    def target(self) -> Endpoint:
        """Where the node listens."""
        return self._target

    @property
    def datagram_transport(self) -> asyncio.DatagramTransport | None:
        """Socket that peers send to."""
        return self._datagram_transport


def _set_event(event: asyncio.Event, value: bool) -> None:
    if value:
        event.set()
    else:
        event.clear()


def _send_datagram(
    transport: asyncio.DatagramTransport, data: bytes, destination: Endpoint
) -> None:
    if not transport.is_closing():
        transport.sendto(data, destination)


class _ForwardProtocol(asyncio.DatagramProtocol):
    """From peers to the node, each peer by a socket of its own."""

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
    """Answers of the node back to one peer."""

    def __init__(self, proxy: FaultProxy, client: Endpoint) -> None:
        self._proxy = proxy
        self._client = client

    def datagram_received(self, data: bytes, addr: Endpoint) -> None:
        if self._proxy.datagram_transport is not None:
            self._proxy.forward_datagram(self._proxy.datagram_transport, data, self._client)


class ProxyGroup:
    """All proxies of an emulator and their control address."""

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
        """Start every proxy and the control address."""
        await self.server.start(host, port)
        for proxy in self.proxies.values():
            await proxy.start()

    async def stop(self) -> None:
        """Stop everything."""
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
