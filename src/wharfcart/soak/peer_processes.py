"""Finds the process at the other end of a loopback connection, by Linux's /proc."""

import os
from collections.abc import Iterable
from pathlib import Path

LOCAL_ADDRESS_COLUMN = 1
INODE_COLUMN = 9


def has_connection_from(pids: Iterable[int], port: int) -> bool:
    """Return whether one of some processes has a TCP connection over IPv4 with this local port."""
    links = {f"socket:[{inode}]" for inode in _inodes_of_port(port)}
    return any(_has_descriptor(pid, links) for pid in pids)


def _has_descriptor(pid: int, links: set[str]) -> bool:
    try:
        descriptors = list(os.scandir(f"/proc/{pid}/fd"))
    except OSError:
        return False  # the process has exited
    return any(_link_of(descriptor.path) in links for descriptor in descriptors)


def _inodes_of_port(port: int) -> set[str]:
    lines = Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]
    suffix = f":{port:04X}"
    rows = (line.split() for line in lines)
    return {row[INODE_COLUMN] for row in rows if row[LOCAL_ADDRESS_COLUMN].endswith(suffix)}


def _link_of(path: str) -> str:
    try:
        return os.readlink(path)
    except OSError:
        return ""  # closed meanwhile
