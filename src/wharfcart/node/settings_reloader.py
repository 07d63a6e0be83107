"""Reloads settings at run time, on SIGHUP and when the file has changed."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from wharfcart.errors import FindingsError
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.settings.serving import ServingSettings, load_serving_settings

POLL_INTERVAL_S = 2.0

# Time of the last change in nanoseconds, and size in bytes.
FileStat = tuple[int, int]


class SettingsReloader:
    """Reloads a settings file; invalid settings are logged and ignored.

    Args:
        model: class of the settings.
        path: path of the settings file.
        apply: called with valid new settings.
        log: receives the outcome of each reload.
        loaded_stat: state of the file before the settings in force were read from it.
    """

    def __init__(
        self,
        model: type[ServingSettings],
        path: Path,
        apply: Callable[[ServingSettings], None],
        log: DecisionLog,
        loaded_stat: FileStat,
    ) -> None:
        self._model = model
        self._path = path
        self._apply = apply
        self._log = log
        self._last_stat = loaded_stat

    async def run(self) -> None:
        """Check the file for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if read_stat(self._path) != self._last_stat:
                self.reload()

    def reload(self) -> None:
        """Read the file and apply the settings."""
        self._last_stat = read_stat(self._path)
        try:
            settings = load_serving_settings(self._model, self._path, os.environ)
        except FindingsError as error:
            findings = [str(finding) for finding in error.findings]
            self._log.write(Event.RELOADED, outcome="refused", findings=findings)
            return
        self._apply(settings)
        self._log.write(Event.RELOADED, outcome="taken")


def read_stat(path: Path) -> FileStat:
    """Return what tells whether a file has changed; zeros if it can't be read."""
    try:
        file_stat = path.stat()
    except OSError:
        return (0, 0)
    return (file_stat.st_mtime_ns, file_stat.st_size)
