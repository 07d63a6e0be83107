"""Opens a gateway's listening sockets before the rest of the program is loaded.

Loading takes most of the start-up time. Meanwhile the kernel refuses connections, and callers retry
at another gateway. If the whole fleet was stopped, there is no other gateway, and callers would
exhaust their retries within milliseconds. In that case the sockets are opened first, so that the
kernel queues the connections until the program serves them.

Imports only the standard library, because it runs before everything else.
"""

import selectors
import socket
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import cast

from wharfcart.clock import monotonic

# Longer than a connection within a region takes, which is a few milliseconds.
PEER_CONNECT_TIMEOUT_S = 0.06
BACKLOG = 1024  # connections queued while the program loads; the system may allow fewer
LISTEN_KEYS = ("listen", "readiness_listen")
VARIABLE_PREFIX = "WHARFCART_"


@dataclass(frozen=True)
class EarlySockets:
    """Listening sockets that were opened early.

    Attributes:
        by_endpoint: the sockets by endpoint; empty if callers should use another gateway.
        opened_at: monotonic time at which they were opened.
    """

    by_endpoint: dict[str, socket.socket]
    opened_at: float


def open_unless_peer_responds(path: Path, environment: Mapping[str, str]) -> EarlySockets:
    """Open listening sockets unless a seed accepts a connection.

    Invalid settings open no sockets; the check of the settings reports the findings later.

    Args:
        path: path of the gateway's settings file.
        environment: environment variables, which override the file.
    """
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError):
        return EarlySockets({}, monotonic())
    endpoints = [
        environment.get(VARIABLE_PREFIX + key.upper(), values.get(key)) for key in LISTEN_KEYS
    ]
    seeds = values.get("seeds")
    if not isinstance(seeds, list) or not seeds or _any_accepts(map(str, seeds)):
        return EarlySockets({}, monotonic())
    opened = {}
    for endpoint in endpoints:
        listener = _listen(endpoint) if isinstance(endpoint, str) else None
        if listener is not None:
            opened[str(endpoint)] = listener
    return EarlySockets(opened, monotonic())


def _any_accepts(endpoints: Iterable[str]) -> bool:
    """Whether any of several nodes accepts a connection in time."""
    selector = selectors.DefaultSelector()
    sockets = []
    try:
        for endpoint in endpoints:
            peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            peer.setblocking(False)
            sockets.append(peer)
            if _start_connect(peer, endpoint):
                selector.register(peer, selectors.EVENT_WRITE)
        deadline = monotonic() + PEER_CONNECT_TIMEOUT_S
        while selector.get_map() and (remaining_s := deadline - monotonic()) > 0:
            for key, _ in selector.select(remaining_s):
                connected = cast(socket.socket, key.fileobj)
                if connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                    return True
                selector.unregister(connected)
        return False
    finally:
        for peer in sockets:
            peer.close()
        selector.close()


def _start_connect(peer: socket.socket, endpoint: str) -> bool:
    """Start to connect; False if that fails immediately."""
    host, _, port = endpoint.rpartition(":")
    try:
        peer.connect((host, int(port)))
    except BlockingIOError:
        return True
    except (OSError, ValueError):
        return False
    return True


def _listen(endpoint: str) -> socket.socket | None:
    """Listen on an endpoint; None on failure, which the regular start reports later."""
    host, _, port = endpoint.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError):
        listener.close()
        return None
    return listener
