"""Takes changed settings while a process runs: on SIGHUP, and when the file is seen to differ."""

import asyncio
import os
from collections.abc import Callable
from pathlib import Path

from wharfcart.errors import FindingsError
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.settings.serving import ServingSettings, load_serving_settings

POLL_INTERVAL_S = 2.0


class SettingsReloader:
    """Reads a settings file anew; one with findings is passed over and told."""

    def __init__(
        self,
        model: type[ServingSettings],
        path: Path,
        apply: Callable[[ServingSettings], None],
        log: DecisionLog,
    ) -> None:
        self._model = model
        self._path = path
        self._apply = apply
        self._log = log
        self._last_stat = self._read_stat()

    async def run(self) -> None:
        """Look at the file now and then until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._read_stat() != self._last_stat:
                self.reload()

    def reload(self) -> None:
        """Read the file and hand the settings on."""
        self._last_stat = self._read_stat()
        try:
            settings = load_serving_settings(self._model, self._path, os.environ)
        except FindingsError as error:
            findings = [str(finding) for finding in error.findings]
            self._log.write(Event.RELOADED, outcome="refused", findings=findings)
            return
        self._apply(settings)
        self._log.write(Event.RELOADED, outcome="taken")

    def _read_stat(self) -> tuple[int, int]:
        try:
            found = self._path.stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)
