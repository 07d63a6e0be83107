"""Reloading of settings at run time."""

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from wharfcart.node import settings_reloader
from wharfcart.node.roles import EXIT_SETTINGS
from wharfcart.node.settings_reloader import SettingsReloader, read_stat
from wharfcart.observability.decisions import DecisionLog
from wharfcart.settings.serving import ServingSettings

TEXT = """
node_id = "n"
zone = "z"
coordination = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
seeds = ["127.0.0.1:3"]
"""


def test_changed_settings_are_applied_and_invalid_ones_rejected(tmp_path: Path, capfd) -> None:
    path = tmp_path / "s.toml"
    path.write_text(TEXT)
    applied: list[ServingSettings] = []
    log = DecisionLog("n")
    reloader = SettingsReloader(ServingSettings, path, applied.append, log, read_stat(path))
    path.write_text(TEXT.replace(":3", ":4"))
    reloader.reload()
    assert applied[-1].seeds == ["127.0.0.1:4"]
    path.write_text("zone = 3\nunknown = 1")
    reloader.reload()
    assert len(applied) == 1
    log.flush()
    assert '"outcome": "refused"' in capfd.readouterr().out


# Guards against a change that is never applied, as it came between the load and the first check.
def test_a_change_during_the_start_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> list[ServingSettings]:
        path = tmp_path / "s.toml"
        path.write_text(TEXT)
        loaded_stat = read_stat(path)
        path.write_text(TEXT.replace(":3", ":44"))
        applied: list[ServingSettings] = []
        reloader = SettingsReloader(
            ServingSettings, path, applied.append, DecisionLog("n"), loaded_stat
        )
        task = asyncio.create_task(reloader.run())
        async with asyncio.timeout(5):
            while not applied:
                await asyncio.sleep(0.001)
        task.cancel()
        return applied

    monkeypatch.setattr(settings_reloader, "POLL_INTERVAL_S", 0.001)
    assert asyncio.run(scenario())[0].seeds == ["127.0.0.1:44"]


# Guards against a process that a SIGHUP ends while it reads its settings.
def test_a_sighup_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "wharfcart.node.process", "storage"],
        env=os.environ | {"WHARFCART_SETTINGS": str(path)},
        stderr=subprocess.PIPE,
    )
    # The process has opened the file and waits for its content.
    with path.open("w") as file:
        process.send_signal(signal.SIGHUP)
        file.write("unknown = 1\n")
    assert process.wait(30) == EXIT_SETTINGS
    assert process.stderr is not None
    process.stderr.close()
