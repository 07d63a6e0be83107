"""A server hands out wrong bytes in three events of batch items; all items must be finished."""

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
    item,
    run_case,
)

ITEMS = 24
EVENTS = 12
FAULTY_SERVER = "i-0"
SPOILED_EVENT = 5
# What stands in place of the number of an event: a superscript digit, or far too many digits.
WRONG_NUMBERS = ("\u00b2", "5" * 5000, "\u00b3")
# Longer than `finishS` (18 s), and than the 20 s for which an item that failed doesn't count.
FOLLOW_S = 26.0
CALM_S = 5.0
UNFINISHED_S = 3.0
JOB = "7c41e09b52d6a3f8"


def text_of(request_id: str) -> list[str]:
    """Return the data of the events of an item."""
    return [f"{request_id} {number}" for number in range(1, EVENTS + 1)]


class FaultySpoiler:
    """Spoils one event in the first answers of one server."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.spoiled: list[str] = []

    def __call__(
        self, server: ModelServer, request_id: str, number: int, text: str
    ) -> bytes | None:
        """Return an event with wrong bytes, or None."""
        is_due = server.instance_id == FAULTY_SERVER and number == SPOILED_EVENT
        if not is_due or len(self.spoiled) >= len(WRONG_NUMBERS) or request_id in self.spoiled:
            return None
        wrong = WRONG_NUMBERS[len(self.spoiled)]
        self.spoiled.append(request_id)
        shown = wrong[:4] + ("..." if len(wrong) > 4 else "")
        self._record.write(f"server {server.instance_id} spoils {request_id}: id {shown!a}")
        return f"id: {wrong}\ndata: {text}\n\n".encode()


def fleet_of(record: Record) -> Fleet:
    """Return a small deployment with three model servers."""
    fleet = Fleet(record)
    fleet.servers = [
        ModelServer(f"i-{number}", zone, record, text_of) for number, zone in enumerate(ZONES)
    ]
    return fleet


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Return whether every item of an open batch job is listed at the end."""
    spoiler = FaultySpoiler(fleet.record)
    if trouble:
        for server in fleet.servers:
            server.spoil = spoiler
    await fleet.start()
    items = [item(f"e5b2907c14da{place:04x}") for place in range(ITEMS)]
    if await fleet.submit(JOB, items) != 202:
        raise CannotRunError("the job was not accepted")
    if trouble:
        await fleet.until(lambda: len(spoiler.spoiled) == len(WRONG_NUMBERS), 10.0, "none spoiled")
    listed_at = await _follow(fleet, FOLLOW_S)
    return _judge(fleet, [entry["id"] for entry in items], listed_at, spoiler)


async def _follow(fleet: Fleet, seconds: float) -> dict[str, float]:
    """Read results twice a second; return when each item was first seen as listed."""
    listed_at: dict[str, float] = {}
    deadline = time.monotonic() + seconds
    node = 0
    while time.monotonic() < deadline:
        status, page = await fleet.read(JOB, 0, node)
        for result in page.get("results", []):
            if result["id"] not in listed_at:
                listed_at[result["id"]] = time.monotonic()
                fleet.record.write(f"client reads {result['id']}: {result['state']}")
        fleet.record.write(f"client reads at node {node % 3}: {status}, {len(listed_at)} listed")
        node += 1
        await asyncio.sleep(0.5)
    return listed_at


def _judge(
    fleet: Fleet, item_ids: list[str], listed_at: dict[str, float], spoiler: FaultySpoiler
) -> bool:
    now = time.monotonic()
    unlisted = [item_id for item_id in item_ids if item_id not in listed_at]
    if not unlisted:
        return True
    runs = [run for server in fleet.servers for run in server.runs if run.request_id in unlisted]
    for item_id in unlisted:
        seen = [f"{run.server} from event {run.after + 1}" for run in runs]
        spoiled = "spoiled" if item_id in spoiler.spoiled else "not spoiled"
        fleet.record.write(f"unlisted: {item_id} ({spoiled}); runs of unlisted items: {seen}")
    last_had = max((run.ended_at or now for run in runs), default=0.0)
    last_finished = max(listed_at.values(), default=0.0)
    fleet.record.write(
        f"no server has had an unlisted item for {now - last_had:.1f} s, "
        f"no item was finished for {now - last_finished:.1f} s, "
        f"{sum(server.active for server in fleet.servers)} runs are under way"
    )
    # The rule's own excuses: a server had one lately, or items were still being finished.
    return now - last_had < CALM_S or now - last_finished < UNFINISHED_S


run_case(FOLDER, case, fleet_of)
