"""Opens a gateway's listening sockets before the rest of the program is loaded.

Loading takes most of a start. While it lasts the kernel refuses new connections, and a caller tries
another gateway, which is right as long as there is one. When the whole fleet was stopped at once
there is none: callers would use up their tries within milliseconds. Then the sockets are opened
first, the kernel keeps the connections, and they are served as soon as the program has started.

Imports the standard library only, as it runs before everything else.
"""

import selectors
import socket
import tomllib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import cast

from wharfcart.clock import monotonic

# A peer of the same region answers a connection in a few milliseconds.
PEER_CONNECT_TIMEOUT_S = 0.06
# Connections that come while the program loads; the system may allow fewer.
BACKLOG = 1024
LISTEN_KEYS = ("listen", "readiness_listen")
VARIABLE_PREFIX = "WHARFCART_"


@dataclass(frozen=True)
class EarlySockets:
    """Sockets that listen.

    Attributes:
        by_endpoint: the sockets, none if callers are to go elsewhere.
        since: monotonic time at which they were opened.
    """

    by_endpoint: dict[str, socket.socket]
    opened_at: float


def open_unless_peer_responds(path: Path, environment: Mapping[str, str]) -> EarlySockets:
    """Return listening sockets if no seed answers; none otherwise.

    Settings that can't be read are left to the check that follows, which tells every finding.

    Args:
        path: of the gateway's settings file.
        environment: variables, which go before the file.
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
        listening = _listen(endpoint) if isinstance(endpoint, str) else None
        if listening is not None:
            opened[str(endpoint)] = listening
    return EarlySockets(opened, monotonic())


def _any_accepts(endpoints: Iterable[str]) -> bool:
    """Whether a connection to one of several nodes comes up within a moment."""
    selector = selectors.DefaultSelector()
    connecting = []
    try:
        for endpoint in endpoints:
            peer = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            peer.setblocking(False)
            connecting.append(peer)
            if _start_connect(peer, endpoint):
                selector.register(peer, selectors.EVENT_WRITE)
        until = monotonic() + PEER_CONNECT_TIMEOUT_S
        while selector.get_map() and (left_s := until - monotonic()) > 0:
            for key, _ in selector.select(left_s):
                connected = cast(socket.socket, key.fileobj)
                if connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                    return True
                selector.unregister(connected)
        return False
    finally:
        for peer in connecting:
            peer.close()
        selector.close()


def _start_connect(peer: socket.socket, endpoint: str) -> bool:
    """Begin to connect; False if that fails at once."""
    host, _, port = endpoint.rpartition(":")
    try:
        peer.connect((host, int(port)))
    except BlockingIOError:
        return True
    except (OSError, ValueError):
        return False
    return True


def _listen(endpoint: str) -> socket.socket | None:
    """Listen on an endpoint; None if that fails, which the program's own attempt then tells."""
    host, _, port = endpoint.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
        listening.setblocking(False)
    except (OSError, ValueError):
        listening.close()
        return None
    return listening
