"""Garbage collection is disabled during the start of a process and enabled afterwards."""

import gc
import os
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from wharfcart.node import process, roles
from wharfcart.observability.decisions import DecisionLog
from wharfcart.settings.serving import ServingSettings


@pytest.fixture(autouse=True)
def collecting() -> Iterator[None]:
    yield
    gc.enable()
    gc.unfreeze()


class StopsAfterStart:
    """A process that receives SIGTERM as soon as it has started."""

    def __init__(self) -> None:
        self.collected_in_start = True
        self.collected_after = False

    def reload(self, settings: ServingSettings) -> None:
        pass

    async def start(self) -> None:
        self.collected_in_start = gc.isenabled()
        os.kill(os.getpid(), signal.SIGTERM)

    async def stop(self) -> None:
        self.collected_after = gc.isenabled()


def test_garbage_collection_is_enabled_after_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stopping_process = StopsAfterStart()

    def run_gateway(path: Path) -> None:
        file = roles.SettingsFile(path, (0, 0))
        roles.uvloop.run(roles._run(stopping_process, DecisionLog("n"), ServingSettings, file))

    monkeypatch.setattr(process, "run_gateway", run_gateway)
    monkeypatch.setattr(process.sys, "argv", ["process", "gateway"])
    monkeypatch.setenv(process.SETTINGS_VARIABLE, str(tmp_path / "gateway.toml"))
    process.main()
    assert not stopping_process.collected_in_start
    assert stopping_process.collected_after
    assert gc.get_freeze_count() > 0
