"""Connections have the socket options that detect dead peers."""

import asyncio
import socket

from wharfcart.cluster import transport
from wharfcart.cluster.address import Address
from wharfcart.cluster.messages_pb2 import Frame
from wharfcart.http import connection
from wharfcart.http.dead_peer_detection import KEEPALIVE_IDLE_S, MAX_KEEPALIVE_PROBES


def keepalive_options(raw: socket.socket) -> tuple[int, int, int, int]:
    return (
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
        raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
        raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
    )


def test_http_connection_detects_dead_peers() -> None:
    async def scenario() -> tuple[int, int, int, int]:
        server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        opened = await connection.HttpConnection.open(host, port, 1.0)
        found = keepalive_options(opened._transport.get_extra_info("socket"))
        opened.close()
        server.close()
        return found

    found = asyncio.run(scenario())
    assert found == (
        connection.UNACKNOWLEDGED_TIMEOUT_MS,
        1,
        KEEPALIVE_IDLE_S,
        MAX_KEEPALIVE_PROBES,
    )


def test_peer_connections_detect_dead_peers_on_both_sides() -> None:
    async def scenario() -> list[tuple[int, int, int, int]]:
        async def handle(_frame: Frame, respond: transport.Responder) -> None:
            await respond(Frame(last=True))

        nodes = [transport.Transport(handle) for _ in range(2)]
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            address = Address(*free.getsockname())
        await nodes[0].start(address)
        await nodes[1].call(address, Frame())
        (calling,) = nodes[1]._connections.values()
        (answering,) = nodes[0]._inbound_connections
        found = [
            keepalive_options(protocol.transport.get_extra_info("socket"))
            for protocol in (calling.protocol, answering)
        ]
        for node in nodes:
            await node.stop()
        return found

    both = asyncio.run(scenario())
    expected = (transport.UNACKNOWLEDGED_TIMEOUT_MS, 1, KEEPALIVE_IDLE_S, MAX_KEEPALIVE_PROBES)
    assert both == [expected, expected]
