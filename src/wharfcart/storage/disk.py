"""Asynchronous access to a storage node's disk through one writer thread."""

import asyncio
import sqlite3
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from wharfcart.cluster.messages_pb2 import JobUpdate, PartialText
from wharfcart.configuration.instances import BackendSoftware
from wharfcart.storage.job_database import AppliedUpdates, CorruptJobError, JobDatabase
from wharfcart.storage.partial_texts import ItemKey
from wharfcart.storage.replicated_job import JobState

Answer = TypeVar("Answer")


class DiskFailedError(Exception):
    """The disk is full or broken. Callers must treat the call's writes as not written."""


class Disk:
    """A :class:`JobDatabase` whose calls don't block the event loop and run in order.

    A call whose caller is cancelled takes effect if it has begun, and is skipped if it waits.

    Attributes:
        corrected_claims: see :class:`JobDatabase`; set once the disk is open.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._executor = ThreadPoolExecutor(1, "disk")
        self._database: JobDatabase | None = None
        self.corrected_claims: Sequence[JobState] = ()

    async def open(self) -> str:
        """Open the data folder and return the disk's identity.

        Raises:
            DiskFailedError: the folder can't be opened.
        """

        def open_database() -> JobDatabase:
            return JobDatabase(self._folder)

        self._database = await self._run_on_writer(open_database)
        self.corrected_claims = self._database.corrected_claims
        return self._database.identity

    async def close(self) -> None:
        """Close the file after pending writes."""
        if self._database is not None:
            await self._run_on_writer(self._database.close)
        self._executor.shutdown(wait=False)

    async def promised_epoch(self, group: int) -> int:
        """Return the highest promised epoch; 0 for none."""
        return await self._run_on_writer(lambda: self._require_open().promised_epoch(group))

    async def promise_epoch(self, group: int, epoch: int) -> bool:
        """Refuse leaders of lower epochs; return False if a higher epoch was promised."""
        return await self._run_on_writer(lambda: self._require_open().promise_epoch(group, epoch))

    async def job_states(self, group: int) -> list[JobState]:
        """Return the state of every job of a group."""
        return await self._run_on_writer(lambda: self._require_open().job_states(group))

    async def apply_updates(
        self, group: int, epoch: int, updates: Sequence[JobUpdate]
    ) -> AppliedUpdates | None:
        """Write a leader's updates; return None if a higher epoch was promised."""
        return await self._run_on_writer(
            lambda: self._require_open().apply_updates(group, epoch, updates)
        )

    async def load_jobs(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return complete jobs; unknown ids are skipped."""
        return await self._run_on_writer(lambda: self._require_open().load_jobs(job_ids))

    async def save_partial_texts(
        self, group: int, parts: Sequence[PartialText], finished_items: Collection[ItemKey]
    ) -> list[ItemKey]:
        """Save partial texts of running items and delete those of finished items.

        Returns:
            Items with a part that does not extend what the disk has; nothing is saved of them.
        """
        return await self._run_on_writer(
            lambda: self._require_open().save_partial_texts(group, parts, finished_items)
        )

    async def load_partial_texts(self, group: int) -> list[PartialText]:
        """Return the partial texts of open jobs."""
        return await self._run_on_writer(lambda: self._require_open().load_partial_texts(group))

    async def load_software(self) -> frozenset[BackendSoftware]:
        """Return the software of back ends that was saved last."""
        return await self._run_on_writer(lambda: self._require_open().load_software())

    async def save_software(self, software: Collection[BackendSoftware]) -> None:
        """Replace the saved software of back ends."""
        await self._run_on_writer(lambda: self._require_open().save_software(software))

    def _require_open(self) -> JobDatabase:
        if self._database is None:
            raise DiskFailedError("not open")
        return self._database

    async def _run_on_writer(self, work: Callable[[], Answer]) -> Answer:
        try:
            return await asyncio.get_running_loop().run_in_executor(self._executor, work)
        except (sqlite3.Error, OSError, CorruptJobError) as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
