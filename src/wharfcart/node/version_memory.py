"""Software versions that a storage node has seen recently, kept on its disk.

After a restart of all nodes nobody else could tell that a version, whose streams callers still
resume, served until shortly before.
"""

import asyncio
import math

from wharfcart.clock import monotonic
from wharfcart.configuration.instances import BackendSoftware
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.routing.backend_selection import BackendSelector
from wharfcart.storage.disk import Disk, DiskFailedError

SAVE_INTERVAL_S = 0.25
# Interval of saving that a version has expired; in between, only changes are looked at.
EXPIRY_INTERVAL_S = 30.0


class VersionMemory:
    """Loads and saves the software that a node's back ends run or ran recently.

    Args:
        selector: the node's state of the back ends.
        disk: the node's disk.
        log: receives what was loaded, and failed writes.
    """

    def __init__(self, selector: BackendSelector, disk: Disk, log: DecisionLog) -> None:
        self._selector = selector
        self._disk = disk
        self._log = log
        self._saved: frozenset[BackendSoftware] = frozenset()
        self._saved_changes = -1
        self._saved_at = -math.inf
        self._failing = False

    async def load(self) -> None:
        """Take the saved software for listed until now: how long ago it was isn't known."""
        try:
            self._saved = await self._disk.load_software()
        except DiskFailedError as error:
            self._log.write(Event.DEPENDENCY_LOST, dependency="disk", reason=str(error))
            return
        for software in self._saved:
            self._selector.remember_software(software, monotonic())
        self._log.write(Event.VERSIONS_LOADED, software=sorted(self._saved))

    async def run(self) -> None:
        """Save changes until cancelled."""
        while True:
            await self.save_changes()
            await asyncio.sleep(SAVE_INTERVAL_S)

    async def save_changes(self) -> None:
        """Save the software if it has changed; a failed write is tried again."""
        now, changes = monotonic(), self._selector.software_changes
        if changes == self._saved_changes and now - self._saved_at < EXPIRY_INTERVAL_S:
            return
        current = self._selector.recent_software(now)
        if current != self._saved and not await self._save(current):
            return
        self._saved_changes, self._saved_at = changes, now

    async def _save(self, current: frozenset[BackendSoftware]) -> bool:
        try:
            await self._disk.save_software(current)
        except DiskFailedError as error:
            if not self._failing:
                self._log.write(Event.DEPENDENCY_LOST, dependency="disk", reason=str(error))
            self._failing = True
            return False
        self._failing = False
        self._saved = current
        return True
