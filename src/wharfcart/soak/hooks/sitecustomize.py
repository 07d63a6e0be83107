"""Fault injection into the wall clock and the disk of one process of a soak.

The soak adds this folder to the Python path of the processes it starts, which load this module at
startup without any change to the program. The variable ``SOAK_CONTROL`` names a JSON file with
``clock_step_s`` (seconds added to the wall clock) and ``disk`` (``""``, ``"full"``, ``"slow"`` or
``"hang"``). The soak rewrites the file while the process runs.
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
    """The control file, read again at most every :data:`RELOAD_INTERVAL_S` seconds."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._loaded_at = -1e9
        self._values: dict[str, Any] = {}

    def get(self, name: str, default: Any) -> Any:
        """Return a value of the file, or the default."""
        now = time.monotonic()
        if now - self._loaded_at > RELOAD_INTERVAL_S:
            self._loaded_at = now
            try:
                with open(self._path, encoding="utf-8") as file:
                    self._values = json.load(file)
            except (OSError, ValueError):
                pass  # absent or invalid: the last values stay in force
        return self._values.get(name, default)


class FaultyConnection(sqlite3.Connection):
    """A database connection with an emulated full, slow or unresponsive disk."""

    def execute(self, statement: str, *parameters: Any) -> sqlite3.Cursor:
        """Execute a statement; apply the disk fault if it writes."""
        if statement.lstrip().lower().startswith(WRITE_STATEMENTS):
            _apply_disk_fault()
        return super().execute(statement, *parameters)

    def executemany(self, statement: str, *parameters: Any) -> sqlite3.Cursor:
        """Apply the disk fault, then execute a statement with many rows."""
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
