"""A server hands out wrong bytes in one of forty answers; all batch items must be finished."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    ZONES,
    CannotRunError,
    Fleet,
    ModelServer,
    Record,
    Run,
    item,
    run_case,
)

# The site: batch jobs of at most 40 items, 0.318 a second and six times that in a burst.
JOBS = 8
ITEMS = 40
SUBMIT_INTERVAL_S = 0.55
EVENTS = 12
# `garble` of the site file: 0.35 of the servers spoil 0.02 to 0.03 of their answers.
FAULTY_SERVER = "i-0"
SPOILED_SHARE = 0.025
SPOILED_EVENT = 5
# Bytes that stand in place of the number of the event: a superscript two, and a superscript three.
WRONG_NUMBERS = ("\u00b2", "\u00b3")
# The bounds and excuses of the rule.
FINISH_S = 18.0
CALM_S = 5.0
UNFINISHED_S = 3.0
FAILED_S = 20.0
SENDER_ENDED_S = 1.0
# Until the excuse for items that failed is over too.
FOLLOW_S = FAILED_S + CALM_S + 1.0


def text_of(request_id: str) -> list[str]:
    """Return the data of the events of an item."""
    return [f"{request_id} {number}" for number in range(1, EVENTS + 1)]


class FaultySpoiler:
    """Spoils one event in a share of the answers of one server."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._answers = 0
        self.spoiled: list[str] = []

    def __call__(
        self, server: ModelServer, request_id: str, number: int, text: str
    ) -> bytes | None:
        """Return an event with wrong bytes, or None."""
        if server.instance_id != FAULTY_SERVER or number != SPOILED_EVENT:
            return None
        self._answers += 1
        if int(self._answers * SPOILED_SHARE) <= len(self.spoiled):
            return None
        wrong = WRONG_NUMBERS[len(self.spoiled) % len(WRONG_NUMBERS)]
        self.spoiled.append(request_id)
        self._record.write(
            f"server {server.instance_id} spoils {request_id}, its answer {self._answers}: "
            f"id {wrong!a}"
        )
        return f"id: {wrong}\ndata: {text}\n\n".encode()


def fleet_of(record: Record) -> Fleet:
    """Return a small deployment with three model servers."""
    fleet = Fleet(record)
    fleet.servers = [
        ModelServer(f"i-{number}", zone, record, text_of) for number, zone in enumerate(ZONES)
    ]
    return fleet


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Return whether every item of the open batch jobs is listed at the end."""
    spoiler = FaultySpoiler(fleet.record)
    if trouble:
        for server in fleet.servers:
            server.spoil = spoiler
    await fleet.start()
    jobs = {
        f"7c41e09b52d6a3f{number}": [f"e5b2907c{number:04x}{place:04x}" for place in range(ITEMS)]
        for number in range(JOBS)
    }
    for job_id, item_ids in jobs.items():
        if await fleet.submit(job_id, [item(item_id) for item_id in item_ids]) != 202:
            raise CannotRunError("a job was not accepted")
        await asyncio.sleep(SUBMIT_INTERVAL_S)
    traffic_ended_at = time.monotonic()
    listed = await _follow(fleet, jobs, FOLLOW_S)
    if trouble and not spoiler.spoiled:
        raise CannotRunError("no answer was spoiled")
    if time.monotonic() - traffic_ended_at < FINISH_S:
        raise CannotRunError("finishS is not over")
    return _judge(fleet, jobs, listed, spoiler)


async def _follow(fleet: Fleet, jobs: dict[str, list[str]], seconds: float) -> set[str]:
    """Read all results twice a second, at all nodes in turn; return the listed items."""
    listed: set[str] = set()
    deadline = time.monotonic() + seconds
    node = 0
    while time.monotonic() < deadline:
        for job_id in jobs:
            status, page = await fleet.read(job_id, 0, node, wait_ms=0)
            results = page.get("results", [])
            fleet.record.write(f"client reads {job_id}: {status}, {len(results)} listed")
            listed |= {result["id"] for result in results}
        node += 1
        await asyncio.sleep(0.5)
    return listed


def _judge(
    fleet: Fleet, jobs: dict[str, list[str]], listed: set[str], spoiler: FaultySpoiler
) -> bool:
    """Whether the rule held: no item is unlisted, or one of its excuses applies."""
    now = time.monotonic()
    record = fleet.record
    runs = [run for server in fleet.servers for run in server.runs]
    busy = [server for server in fleet.servers if server.active * 2 >= server.slots]
    last_finished_at = max((run.ended_at for run in runs if run.finished), default=0.0)
    record.write(f"no item was finished for {now - last_finished_at:.1f} s; half full: {len(busy)}")
    if busy or now - last_finished_at < UNFINISHED_S:
        return True
    held = True
    for item_id in (item_id for item_ids in jobs.values() for item_id in item_ids):
        if item_id in listed:
            continue
        its_runs = [run for run in runs if run.request_id == item_id]
        excuse = _excuse(its_runs, now)
        spoiled = "spoiled" if item_id in spoiler.spoiled else "not spoiled"
        ended = [f"{run.server} {now - (run.ended_at or now):.1f} s ago" for run in its_runs]
        record.write(f"unlisted: {item_id} ({spoiled}), runs ended {ended}, excuse: {excuse}")
        held = held and bool(excuse)
    return held


def _excuse(its_runs: list[Run], now: float) -> str:
    """Return why an unlisted item doesn't count, or ''."""
    for run in its_runs:
        ended_at = run.ended_at or now
        if ended_at - run.began_at < SENDER_ENDED_S and not run.finished and run.ended_at:
            continue  # ended by its sender within a second: neither had nor failed
        if now - ended_at < CALM_S:
            return "a server had it"
        if not run.finished and now - ended_at < FAILED_S:
            return "it failed"
    return ""


run_case(FOLDER, case, fleet_of)
