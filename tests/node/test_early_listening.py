"""Sockets that listen before a gateway is loaded."""

import socket
from pathlib import Path

import pytest

from wharfcart.node.early_listening import LISTEN_KEYS, open_if_alone


def free_endpoint() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def settings(folder: Path, seeds: list[str]) -> tuple[Path, list[str]]:
    endpoints = [free_endpoint() for _ in LISTEN_KEYS]
    lines = [f'{key} = "{endpoint}"' for key, endpoint in zip(LISTEN_KEYS, endpoints, strict=True)]
    lines.append("seeds = [" + ", ".join(f'"{seed}"' for seed in seeds) + "]")
    path = folder / "gateway.toml"
    path.write_text("\n".join(lines), encoding="utf-8")
    return path, endpoints


def connect(endpoint: str) -> None:
    host, _, port = endpoint.rpartition(":")
    socket.create_connection((host, int(port)), timeout=5).close()


def test_a_gateway_that_finds_nobody_keeps_callers_until_it_serves(tmp_path: Path) -> None:
    path, endpoints = settings(tmp_path, [free_endpoint(), free_endpoint()])
    opened = open_if_alone(path, {}).by_endpoint
    try:
        assert list(opened) == endpoints
        for endpoint in endpoints:
            connect(endpoint)
    finally:
        for listening in opened.values():
            listening.close()


def test_callers_go_elsewhere_while_a_single_gateway_starts(tmp_path: Path) -> None:
    with socket.socket() as peer:
        peer.bind(("127.0.0.1", 0))
        peer.listen()
        seed = f"127.0.0.1:{peer.getsockname()[1]}"
        path, endpoints = settings(tmp_path, [free_endpoint(), seed])
        assert open_if_alone(path, {}).by_endpoint == {}
        for endpoint in endpoints:
            with pytest.raises(ConnectionRefusedError):
                connect(endpoint)


def test_a_variable_goes_before_the_file(tmp_path: Path) -> None:
    path, endpoints = settings(tmp_path, [free_endpoint()])
    other = free_endpoint()
    opened = open_if_alone(path, {"WHARFCART_LISTEN": other}).by_endpoint
    try:
        assert list(opened) == [other, endpoints[1]]
    finally:
        for listening in opened.values():
            listening.close()


@pytest.mark.parametrize("text", ["", "seeds = []", "not TOML", 'seeds = ["nonsense"]\nlisten = 3'])
def test_settings_that_do_not_tell_enough_open_nothing(tmp_path: Path, text: str) -> None:
    path = tmp_path / "gateway.toml"
    path.write_text(text, encoding="utf-8")
    assert open_if_alone(path, {}).by_endpoint == {}
    assert open_if_alone(tmp_path / "missing.toml", {}).by_endpoint == {}
