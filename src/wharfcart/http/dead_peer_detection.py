"""Connections that go silent without a reset: the peer's machine is dark, or the way to it is cut.

Nothing but the socket's own timers shows it. What was sent and is not acknowledged, and probes that
nobody answers while nothing is sent, end the connection.
"""

import asyncio
import socket

# Probes begin after so long without a byte; after so many without an answer the peer is gone.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
MAX_KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, unacknowledged_timeout_ms: int
) -> None:
    """Have a connection end once its peer is silent.

    Args:
        transport: of the connection.
        unacknowledged_ms: for how long bytes may stay without an acknowledgement.
    """
    raw = transport.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_KEEPALIVE_PROBES)
