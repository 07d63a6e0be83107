"""The disk of a storage node, off the event loop: one writer thread, one failure type."""

import asyncio
import sqlite3
from collections.abc import Callable, Collection, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from wharfcart.cluster.messages_pb2 import JobUpdate, PartialText
from wharfcart.storage.job_database import CorruptJobError, JobDatabase
from wharfcart.storage.replicated_job import JobState

Answer = TypeVar("Answer")


class DiskFailedError(Exception):
    """The disk refused: it is full, or broken. Nothing of the call is taken to be written."""


class Disk:
    """A :class:`JobDatabase` whose calls don't hold up the event loop."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._executor = ThreadPoolExecutor(1, "disk")
        self._database: JobDatabase | None = None

    async def open(self) -> str:
        """Open the data folder and return the disk's identity.

        Raises
        ------
        DiskFailedError
        """

        def open_database() -> JobDatabase:
            return JobDatabase(self._folder)

        self._database = await self._run_on_writer(open_database)
        return self._database.identity

    async def close(self) -> None:
        """Close the file once what was begun is written."""
        if self._database is not None:
            await self._run_on_writer(self._database.close)
        self._executor.shutdown(wait=False)

    async def promised_epoch(self, group: int) -> int:
        """Return the highest epoch that was promised."""
        return await self._run_on_writer(lambda: self._require_open().promised_epoch(group))

    async def promise_epoch(self, group: int, epoch: int) -> bool:
        """Obey no leader of a lower epoch."""
        return await self._run_on_writer(lambda: self._require_open().promise_epoch(group, epoch))

    async def job_states(self, group: int) -> list[JobState]:
        """Return the state of every job of a group."""
        return await self._run_on_writer(lambda: self._require_open().job_states(group))

    async def apply_updates(self, group: int, epoch: int, updates: Sequence[JobUpdate]) -> bool:
        """Write a leader's updates."""
        return await self._run_on_writer(
            lambda: self._require_open().apply_updates(group, epoch, updates)
        )

    async def load_jobs(self, job_ids: Sequence[str]) -> list[JobUpdate]:
        """Return whole records."""
        return await self._run_on_writer(lambda: self._require_open().load_jobs(job_ids))

    async def save_partial_texts(
        self, group: int, parts: Sequence[PartialText], finished_item_ids: Collection[str]
    ) -> None:
        """Add events of items that still run; forget items that run no more."""
        await self._run_on_writer(
            lambda: self._require_open().save_partial_texts(group, parts, finished_item_ids)
        )

    async def load_partial_texts(self, group: int) -> list[PartialText]:
        """Return the events of items of open jobs."""
        return await self._run_on_writer(lambda: self._require_open().load_partial_texts(group))

    def _require_open(self) -> JobDatabase:
        if self._database is None:
            raise DiskFailedError("not open")
        return self._database

    async def _run_on_writer(self, work: Callable[[], Answer]) -> Answer:
        try:
            return await asyncio.get_running_loop().run_in_executor(self._executor, work)
        except (sqlite3.Error, OSError, CorruptJobError) as error:
            raise DiskFailedError(f"{type(error).__name__}: {error}") from error
