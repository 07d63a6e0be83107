"""Measures the throughput of the replicated journal against a single-copy SQLite baseline.

Three journals run in one process and exchange messages directly, so one core does the work of three
nodes. Prints JSON: committed items/s of 1 kB results, the ratio to the baseline, p50 and p99 of
commit rounds, disk bytes and processor time per item, memory of a large job.
"""

import asyncio
import json
import resource
import shutil
import sqlite3
import tempfile
import time
from pathlib import Path

import uvloop

from wharfcart.cluster.messages_pb2 import (
    Command,
    FileAppend,
    FileSeal,
    ItemResult,
    ItemsComplete,
    JobCreate,
    ReplicaMessage,
)
from wharfcart.storage.journal import Journal
from wharfcart.storage.journal_database import Database

RESULT_BYTES = 1000
ITEMS_PER_ENTRY = 64
IN_FLIGHT = 24
DURATION_S = 6.0
LARGE_JOB_ITEMS = 690_000
LINE = b"x" * 200


class InProcessCluster:
    def __init__(self, folder: Path) -> None:
        self.journals: dict[str, Journal] = {}
        self.folder = folder

    async def start(self) -> Journal:
        for number in range(3):
            database = await asyncio.to_thread(Database, self.folder / f"n{number}")
            journal = Journal(database, self.send, lambda placement: None, lambda s, leads: None)
            self.journals[journal.identity] = journal
        for journal in self.journals.values():
            await journal.start()
            journal.create_shard(0, list(self.journals))
        while True:
            await asyncio.sleep(0.05)
            for journal in self.journals.values():
                if journal.shards[0].replica.lease_valid(asyncio.get_running_loop().time()):
                    return journal

    def send(self, target: str, messages: list[ReplicaMessage]) -> None:
        # Encodes and decodes as on the wire; delivers in a later iteration of the loop.
        data = [message.SerializeToString() for message in messages]
        loop = asyncio.get_running_loop()
        loop.call_soon(self.deliver, target, data)

    def deliver(self, target: str, data: list[bytes]) -> None:
        self.journals[target].receive([ReplicaMessage.FromString(blob) for blob in data])

    async def stop(self) -> None:
        for journal in self.journals.values():
            await journal.stop()


def measure_sqlite_baseline(folder: Path) -> float:
    connection = sqlite3.connect(folder / "single.sqlite", isolation_level=None)
    connection.execute("pragma locking_mode=exclusive")
    connection.execute("pragma journal_mode=wal")
    connection.execute("pragma synchronous=full")
    connection.execute("create table result (id integer primary key, value blob)")
    value = b"r" * RESULT_BYTES
    started_at, rows = time.perf_counter(), 0
    while time.perf_counter() - started_at < DURATION_S / 2:
        connection.execute("begin")
        connection.executemany(
            "insert into result values (?, ?)",
            [(rows + offset, value) for offset in range(ITEMS_PER_ENTRY)],
        )
        connection.execute("commit")
        rows += ITEMS_PER_ENTRY
    return rows / (time.perf_counter() - started_at)


async def create_job(leader: Journal, name: str, rows: int) -> None:
    for first in range(0, rows, 5000):
        count = min(5000, rows - first)
        append = FileAppend(
            file_id=name,
            tenant="t",
            first_row=first,
            lines=[LINE] * count,
            classes=bytes(count),
            service_names=["s"],
        )
        await leader.propose(0, Command(at_ms=1, file_append=append))
    seal = FileSeal(file_id=name, tenant="t", rows=rows)
    await leader.propose(0, Command(at_ms=1, file_seal=seal))
    create = JobCreate(job_id=f"job-{name}", tenant="t", file_id=name)
    await leader.propose(0, Command(at_ms=1, job_create=create))


async def complete_items(leader: Journal, job_id: str, rows: int) -> tuple[int, list[float]]:
    """Complete items with several entries in flight; return their number and the round times."""
    body = b"r" * RESULT_BYTES
    next_row = 0
    rounds: list[float] = []
    end = time.perf_counter() + DURATION_S

    async def worker() -> None:
        nonlocal next_row
        while time.perf_counter() < end and next_row + ITEMS_PER_ENTRY <= rows:
            first, next_row = next_row, next_row + ITEMS_PER_ENTRY
            results = [ItemResult(row=first + n, body=body) for n in range(ITEMS_PER_ENTRY)]
            complete = ItemsComplete(job_id=job_id, results=results)
            started_at = time.perf_counter()
            await leader.propose(0, Command(at_ms=1, items_complete=complete))
            rounds.append(time.perf_counter() - started_at)

    await asyncio.gather(*(worker() for _ in range(IN_FLIGHT)))
    return next_row, sorted(rounds)


async def sequential_rounds(leader: Journal) -> list[float]:
    """Return the times of commit rounds with one small entry each, one after another."""
    rounds = []
    for number in range(300):
        complete = ItemsComplete(
            job_id="job-small", results=[ItemResult(row=number, body=b"r" * RESULT_BYTES)]
        )
        started_at = time.perf_counter()
        await leader.propose(0, Command(at_ms=1, items_complete=complete))
        rounds.append(time.perf_counter() - started_at)
    return sorted(rounds)


def resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


async def main() -> None:
    folder = Path(tempfile.mkdtemp(prefix="wharfcart-bench-"))
    try:
        baseline = await asyncio.to_thread(measure_sqlite_baseline, folder)
        cluster = InProcessCluster(folder)
        leader = await cluster.start()
        await create_job(leader, "small", 300)
        sequential = await sequential_rounds(leader)
        await create_job(leader, "bench", 200_000)
        before = sum(p.stat().st_size for p in folder.glob("n*/*"))
        cpu_begun, started_at = time.process_time(), time.perf_counter()
        items, rounds = await complete_items(leader, "job-bench", 200_000)
        seconds, cpu = time.perf_counter() - started_at, time.process_time() - cpu_begun
        after = sum(p.stat().st_size for p in folder.glob("n*/*"))
        memory = resident_bytes()
        await create_job(leader, "large", LARGE_JOB_ITEMS)
        growth = resident_bytes() - memory
        figures = {
            "benchmark": "journal_throughput",
            "items_per_second": round(items / seconds),
            "baseline_rows_per_second": round(baseline),
            "ratio_to_baseline": round(items / seconds / baseline, 3),
            "single_round_p50_ms": round(sequential[len(sequential) // 2] * 1000, 2),
            "single_round_p99_ms": round(sequential[int(len(sequential) * 0.99)] * 1000, 2),
            "loaded_round_p50_ms": round(rounds[len(rounds) // 2] * 1000, 2),
            "loaded_round_p99_ms": round(rounds[int(len(rounds) * 0.99)] * 1000, 2),
            "cpu_microseconds_per_item_three_replicas": round(cpu / items * 1e6, 1),
            "disk_bytes_per_item_and_replica": round((after - before) / items / 3),
            "memory_growth_of_a_690000_item_job_bytes_three_replicas": growth,
        }
        print(json.dumps(figures, indent=2))
        await cluster.stop()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    uvloop.run(main())
