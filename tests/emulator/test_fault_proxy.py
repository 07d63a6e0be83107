"""Connections through the fault proxy: late, reset and unreachable ones."""

import asyncio
import os
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from wharfcart.emulator.fault_proxy import Endpoint, FaultProxy, ProxyFaults
from wharfcart.experiments.dev_fleet import free_endpoint
from wharfcart.settings.base import split_endpoint
from wharfcart.soak.peer_processes import has_connection_from

END = b"end"


class Node:
    """A node that answers each message with its length and records what it received."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.changed = asyncio.Condition()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionResetError):
            while data := await reader.read(1000):
                await self._record(data)
                writer.write(str(len(data)).encode())
        await self._record(END)
        writer.close()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with self.changed:
            await self.changed.wait_for(condition)

    async def _record(self, data: bytes) -> None:
        async with self.changed:
            self.received.append(data)
            self.changed.notify_all()


def run_scenario(scenario: Callable[[Node, FaultProxy, Endpoint], Awaitable[None]]) -> None:
    async def run() -> None:
        node = Node()
        target, listen = split_endpoint(free_endpoint()), split_endpoint(free_endpoint())
        server = await asyncio.start_server(node.serve, *target)
        proxy = FaultProxy(listen, target, 1)
        await proxy.start()
        try:
            async with asyncio.timeout(20):
                await scenario(node, proxy, listen)
        finally:
            await proxy.stop()
            server.close()

    asyncio.run(run())


async def send(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()


def test_late_bytes_arrive_in_order_after_the_sender_closed_and_used_another_connection() -> None:
    async def scenario(node: Node, proxy: FaultProxy, listen: Endpoint) -> None:
        reader, writer = await asyncio.open_connection(*listen)
        await send(writer, b"a")
        assert await reader.read(1) == b"1"
        proxy.set_faults(ProxyFaults(late=True))
        await send(writer, b"b" * 10)
        writer.close()
        await writer.wait_closed()
        reader, second = await asyncio.open_connection(*listen)
        await send(second, b"c" * 100)
        assert await reader.read(3) == b"100"
        assert node.received == [b"a", b"c" * 100]
        proxy.set_faults(ProxyFaults())
        await node.until(lambda: END in node.received)
        assert node.received == [b"a", b"c" * 100, b"b" * 10, END]
        second.close()

    run_scenario(scenario)


def test_late_connection_still_passes_answers() -> None:
    """Only one direction of a link is late."""

    async def scenario(node: Node, proxy: FaultProxy, listen: Endpoint) -> None:
        reader, writer = await asyncio.open_connection(*listen)
        await send(writer, b"a")
        await node.until(lambda: bool(node.received))
        proxy.set_faults(ProxyFaults(late=True))
        assert await reader.read(1) == b"1"
        await send(writer, b"bc")
        proxy.set_faults(ProxyFaults())
        assert await reader.read(1) == b"2"
        writer.close()

    run_scenario(scenario)


def test_late_bytes_of_a_reset_connection_do_not_arrive() -> None:
    """A host that has reset a connection repeats no lost segment of it."""

    async def scenario(node: Node, proxy: FaultProxy, listen: Endpoint) -> None:
        reader, writer = await asyncio.open_connection(*listen)
        await send(writer, b"a")
        assert await reader.read(1) == b"1"
        proxy.set_faults(ProxyFaults(late=True))
        await send(writer, b"b")
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        _, second = await asyncio.open_connection(*listen)
        await send(second, b"c")
        await node.until(lambda: b"c" in node.received)
        proxy.set_faults(ProxyFaults())
        await node.until(lambda: END in node.received)
        assert node.received == [b"a", b"c", END]
        second.close()

    run_scenario(scenario)


def test_unreachable_peer_is_stalled_and_others_are_not() -> None:
    async def scenario(node: Node, proxy: FaultProxy, listen: Endpoint) -> None:
        _, cut_off = await asyncio.open_connection(*listen)
        port = cut_off.get_extra_info("sockname")[1]
        proxy.set_unreachable_peers(lambda peer: peer[1] == port)
        await send(cut_off, b"a")
        reader, other = await asyncio.open_connection(*listen)
        await send(other, b"b")
        assert await reader.read(1) == b"1"
        assert node.received == [b"b"]
        proxy.clear_unreachable_peers()
        await node.until(lambda: b"a" in node.received)
        cut_off.close()
        other.close()

    run_scenario(scenario)


def test_the_process_at_the_other_end_is_found_by_its_port() -> None:
    async def scenario(_node: Node, _proxy: FaultProxy, listen: Endpoint) -> None:
        _, writer = await asyncio.open_connection(*listen)
        port = writer.get_extra_info("sockname")[1]
        assert has_connection_from([os.getppid(), os.getpid()], port)
        assert not has_connection_from([os.getppid()], port)
        writer.close()

    run_scenario(scenario)


# Guards against a proxy that ends connections in order where it should reset them, which no
# reader of an answer without a length can tell from its end.
def test_a_reset_reaches_the_peer_as_a_reset() -> None:
    async def scenario(_node: Node, proxy: FaultProxy, listen: Endpoint) -> None:
        reader, writer = await asyncio.open_connection(*listen)
        await send(writer, b"a")
        assert await reader.read(1) == b"1"
        proxy.set_faults(ProxyFaults(broken_connections=1))
        with pytest.raises(ConnectionResetError):
            await reader.read(1)
        writer.close()

    run_scenario(scenario)
