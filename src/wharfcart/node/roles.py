"""Runs a gateway or a storage node: settings, logs, signals, start and stop."""

import asyncio
import gc
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol, TypeVar

# Keeps libuv from using io_uring (docs/design/0001); must be set before the loop is created.
os.environ.setdefault("UV_USE_IO_URING", "0")

import uvloop

from wharfcart.errors import FindingsError
from wharfcart.node.early_listening import EarlySockets
from wharfcart.node.settings_reloader import FileStat, SettingsReloader, read_stat
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.logs import configure_logging
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.settings.serving import (
    GatewaySettings,
    ServingSettings,
    StorageSettings,
    load_serving_settings,
)

EXIT_SETTINGS = 2

Settings = TypeVar("Settings", bound=ServingSettings)


@dataclass(frozen=True)
class SettingsFile:
    """The settings file of a process.

    Attributes:
        path: its path.
        stat: its state before the settings in force were read from it.
    """

    path: Path
    stat: FileStat


class Process(Protocol):
    """A serving process."""

    def reload(self, settings: ServingSettings) -> None:
        """Apply the settings that may change at run time."""
        ...

    async def start(self) -> None:
        """Start to serve."""
        ...

    async def stop(self) -> None:
        """Stop gracefully."""
        ...


def run_gateway(path: Path, sockets: EarlySockets) -> None:
    """Run a gateway with the settings in a file.

    Args:
        path: path of the settings file.
        sockets: listening sockets that were opened early.
    """
    stat = read_stat(path)
    settings = _load_settings(GatewaySettings, path)
    uvloop.run(_run_gateway(settings, SettingsFile(path, stat), sockets))


def run_storage(path: Path) -> None:
    """Run a storage node with the settings in a file."""
    stat = read_stat(path)
    settings = _load_settings(StorageSettings, path)
    uvloop.run(_run_storage(settings, SettingsFile(path, stat)))


async def _run_gateway(
    settings: GatewaySettings, file: SettingsFile, sockets: EarlySockets
) -> None:
    from wharfcart.node.gateway_process import GatewayProcess

    log = DecisionLog(settings.node_id)
    await _run(GatewayProcess(settings, log, sockets), log, GatewaySettings, file)


async def _run_storage(settings: StorageSettings, file: SettingsFile) -> None:
    from wharfcart.node.storage_process import StorageProcess

    log = DecisionLog(settings.node_id)
    await _run(StorageProcess(settings, log), log, StorageSettings, file)


async def _run(
    process: Process, log: DecisionLog, model: type[ServingSettings], file: SettingsFile
) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    reloader = SettingsReloader(model, file.path, process.reload, log, file.stat)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await process.start()
    _enable_garbage_collection()
    log.write(Event.STARTED)
    tasks = BackgroundTasks()
    tasks.supervise(reloader.run)
    await stopping.wait()
    tasks.cancel()
    await process.stop()
    log.flush()


def _enable_garbage_collection() -> None:
    """Enable garbage collection, excluding the permanent objects created at the start."""
    gc.freeze()
    gc.enable()


def _load_settings(model: type[Settings], path: Path) -> Settings:
    try:
        settings = load_serving_settings(model, path, os.environ)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    configure_logging("info", settings.node_id)
    return settings
