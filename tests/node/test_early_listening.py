"""Listening sockets that are opened before a gateway is loaded."""

import socket
from pathlib import Path

import pytest

from wharfcart.node.early_listening import LISTEN_KEYS, open_unless_peer_responds


def free_endpoint() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def write_settings(folder: Path, seeds: list[str]) -> tuple[Path, list[str]]:
    endpoints = [free_endpoint() for _ in LISTEN_KEYS]
    lines = [f'{key} = "{endpoint}"' for key, endpoint in zip(LISTEN_KEYS, endpoints, strict=True)]
    lines.append("seeds = [" + ", ".join(f'"{seed}"' for seed in seeds) + "]")
    path = folder / "gateway.toml"
    path.write_text("\n".join(lines), encoding="utf-8")
    return path, endpoints


def connect(endpoint: str) -> None:
    host, _, port = endpoint.rpartition(":")
    socket.create_connection((host, int(port)), timeout=5).close()


def test_sockets_are_opened_when_no_peer_responds(tmp_path: Path) -> None:
    path, endpoints = write_settings(tmp_path, [free_endpoint(), free_endpoint()])
    opened = open_unless_peer_responds(path, {}).by_endpoint
    try:
        assert list(opened) == endpoints
        for endpoint in endpoints:
            connect(endpoint)
    finally:
        for listener in opened.values():
            listener.close()


def test_sockets_are_not_opened_when_a_peer_responds(tmp_path: Path) -> None:
    with socket.socket() as peer:
        peer.bind(("127.0.0.1", 0))
        peer.listen()
        seed = f"127.0.0.1:{peer.getsockname()[1]}"
        path, endpoints = write_settings(tmp_path, [free_endpoint(), seed])
        assert open_unless_peer_responds(path, {}).by_endpoint == {}
        for endpoint in endpoints:
            with pytest.raises(ConnectionRefusedError):
                connect(endpoint)


def test_environment_variable_overrides_the_file(tmp_path: Path) -> None:
    path, endpoints = write_settings(tmp_path, [free_endpoint()])
    other = free_endpoint()
    opened = open_unless_peer_responds(path, {"WHARFCART_LISTEN": other}).by_endpoint
    try:
        assert list(opened) == [other, endpoints[1]]
    finally:
        for listener in opened.values():
            listener.close()


@pytest.mark.parametrize("text", ["", "seeds = []", "not TOML", 'seeds = ["nonsense"]\nlisten = 3'])
def test_incomplete_settings_open_no_sockets(tmp_path: Path, text: str) -> None:
    path = tmp_path / "gateway.toml"
    path.write_text(text, encoding="utf-8")
    assert open_unless_peer_responds(path, {}).by_endpoint == {}
    assert open_unless_peer_responds(tmp_path / "missing.toml", {}).by_endpoint == {}
