"""The data folder: writes survive a restart, and a corrupt database is moved aside."""

import sqlite3
from pathlib import Path

import pytest

from wharfcart.cluster.messages_pb2 import Command, LogEntry, Noop, ReplicaSet, Row
from wharfcart.storage.journal_database import (
    DATABASE_NAME,
    CorruptRecordError,
    Database,
    open_database,
)
from wharfcart.storage.replica_actions import HardState
from wharfcart.storage.shard_writes import InstalledBase, ShardWrites

VOTERS = ReplicaSet(voters=["a", "b"], in_sync=["a", "b"])


def _entries(first: int, last: int, epoch: int = 1) -> list[LogEntry]:
    command = Command(noop=Noop()).SerializeToString()
    return [LogEntry(index=n, epoch=epoch, command=command) for n in range(first, last + 1)]


def _database(folder: Path) -> Database:
    database = Database(folder)
    database.create_shard(0, VOTERS)
    rows = [Row(kind="line", id="f", number=n, value=b"x" * 1000) for n in range(5)]
    writes = ShardWrites(HardState(3, "a"), _entries(1, 10), rows, applied_index=8)
    database.write({0: writes})
    return database


def test_writes_survive_a_restart(tmp_path: Path) -> None:
    first = _database(tmp_path)
    first.close()
    again = open_database(tmp_path)
    record = again.load(0)
    assert again.identity == first.identity
    assert record.hard_state == HardState(3, "a")
    assert [entry.index for entry in record.log] == list(range(1, 11))
    assert record.applied_index == 8
    assert len(again.read_rows(0, "line", "f", 1, 3, 10**6)) == 3


def test_no_shared_memory_file(tmp_path: Path) -> None:
    database = _database(tmp_path)
    assert not list(tmp_path.glob("*-shm"))
    database.close()


def test_entries_replace_everything_from_their_first_index(tmp_path: Path) -> None:
    database = _database(tmp_path)
    database.write({0: ShardWrites(entries=_entries(6, 7, epoch=2))})
    log = database.load(0).log
    assert [(entry.index, entry.epoch) for entry in log[4:]] == [(5, 1), (6, 2), (7, 2)]


def test_only_applied_entries_leave_the_log(tmp_path: Path) -> None:
    database = _database(tmp_path)
    database.write({0: ShardWrites(compact_to=10)})
    record = database.load(0)
    assert (record.base_index, record.base_epoch) == (8, 1)
    assert [entry.index for entry in record.log] == [9, 10]


def test_install_empties_a_replica_and_keeps_its_vote(tmp_path: Path) -> None:
    database = _database(tmp_path)
    database.write({0: ShardWrites(begin_install=True)})
    record = database.load(0)
    assert record.installing and not record.log and record.applied_index == 0
    assert record.hard_state == HardState(3, "a")
    row = Row(kind="key", id="k", value=b"v")
    base = InstalledBase(50, 4, VOTERS)
    database.write({0: ShardWrites(rows=[row], end_install=base)})
    record = database.load(0)
    assert (record.base_index, record.applied_index, record.installing) == (50, 50, False)


def test_failed_write_leaves_nothing_behind(tmp_path: Path) -> None:
    database = _database(tmp_path)
    bad = ShardWrites(entries=_entries(11, 11), rows=[Row(kind="key", id="k")])
    bad.rows.append(None)  # type: ignore[arg-type]
    with pytest.raises(AttributeError):
        database.write({0: bad})
    assert database.load(0).log[-1].index == 10


def _corrupt(folder: Path, statement: str) -> None:
    connection = sqlite3.connect(folder / DATABASE_NAME)
    connection.execute(statement)
    connection.commit()
    connection.close()


def test_corrupt_log_is_moved_aside_and_the_identity_changes(tmp_path: Path) -> None:
    first = _database(tmp_path)
    first.close()
    _corrupt(tmp_path, "update log set command = x'00' where number = 4")
    again = open_database(tmp_path)
    assert again.identity != first.identity
    assert again.shards() == []
    assert (tmp_path / f"corrupt-{DATABASE_NAME}").exists()


def test_corrupt_row_is_detected_on_read_and_the_next_start_is_empty(tmp_path: Path) -> None:
    first = _database(tmp_path)
    first.close()
    _corrupt(tmp_path, "update record set value = x'00' where number = 2")
    again = open_database(tmp_path)
    assert again.identity == first.identity  # a start does not read bulk rows
    with pytest.raises(CorruptRecordError):
        again.read_rows(0, "line", "f", 0, 10, 10**6)
    again.mark_corrupt()
    again.close()
    assert open_database(tmp_path).identity != first.identity


def test_file_that_is_no_database_is_moved_aside(tmp_path: Path) -> None:
    (tmp_path / DATABASE_NAME).write_bytes(b"garbage" * 1000)
    assert open_database(tmp_path).shards() == []
