"""Faults of the wall clock and the disk inside one process of a soak.

The soak puts this folder on the Python path of the processes that it starts; the programs know
nothing of it. ``SOAK_CONTROL`` names a JSON file with ``clock_step_s`` (seconds added to the wall
clock) and ``disk`` (``""``, ``"full"``, ``"slow"`` or ``"hang"``), which the soak rewrites while
the process runs.
"""

import json
import os
import sqlite3
import time
from typing import Any

CONTROL_VARIABLE = "SOAK_CONTROL"
RELOAD_INTERVAL_S = 0.05
SLOW_WRITE_DELAY_S = 0.25
HANG_POLL_INTERVAL_S = 0.02
WRITE_STATEMENTS = ("insert", "update", "delete", "begin", "commit", "create")

_wall_clock = time.time
_connect = sqlite3.connect


class _ControlFile:
    """The control file, read anew at most every :data:`REREAD_S`."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._loaded_at = -1e9
        self._values: dict[str, Any] = {}

    def get(self, name: str, default: Any) -> Any:
        """Return one value of the file."""
        now = time.monotonic()
        if now - self._loaded_at > RELOAD_INTERVAL_S:
            self._loaded_at = now
            try:
                with open(self._path, encoding="utf-8") as file:
                    self._values = json.load(file)
            except (OSError, ValueError):
                pass  # being rewritten: the last values hold
        return self._values.get(name, default)


class FaultyConnection(sqlite3.Connection):
    """A database connection whose disk can be full, slow or hanging."""

    def execute(self, statement: str, *parameters: Any) -> sqlite3.Cursor:
        """Execute a statement, or fail."""
        if statement.lstrip().lower().startswith(WRITE_STATEMENTS):
            _apply_disk_fault()
        return super().execute(statement, *parameters)

    def executemany(self, statement: str, *parameters: Any) -> sqlite3.Cursor:
        """Execute a statement with many rows, or fail."""
        _apply_disk_fault()
        return super().executemany(statement, *parameters)


def _apply_disk_fault() -> None:
    while _control.get("disk", "") == "hang":
        time.sleep(HANG_POLL_INTERVAL_S)
    if _control.get("disk", "") == "slow":
        time.sleep(SLOW_WRITE_DELAY_S)
    if _control.get("disk", "") == "full":
        raise sqlite3.OperationalError("database or disk is full")


def _faulty_connect(*arguments: Any, **options: Any) -> sqlite3.Connection:
    options.setdefault("factory", FaultyConnection)
    connection: sqlite3.Connection = _connect(*arguments, **options)
    return connection


if CONTROL_VARIABLE in os.environ:
    _control = _ControlFile(os.environ[CONTROL_VARIABLE])
    time.time = lambda: _wall_clock() + _control.get("clock_step_s", 0.0)
    setattr(sqlite3, "connect", _faulty_connect)  # noqa: B010 - mypy refuses the overloads
