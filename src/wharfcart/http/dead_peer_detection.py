"""Detection of unresponsive peers on TCP connections.

A peer whose machine or network fails sends no reset. The kernel closes the connection when sent
data stays unacknowledged too long, or when an idle connection's keep-alive probes get no response.
"""

import asyncio
import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
MAX_KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, unacknowledged_timeout_ms: int
) -> None:
    """Configure a connection to fail when its peer is unresponsive.

    Args:
        transport: transport of the connection.
        unacknowledged_timeout_ms: how long sent data may stay unacknowledged.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
