"""Measures the time per event of the granting node, in microseconds, in several load states.

``--against COMMIT`` also measures an earlier commit on the same events.
"""

import argparse
import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
from collections import deque
from random import Random
from time import perf_counter

SERVERS = 45
SLOTS = 6
GATEWAYS = 50
EVENTS = 6000
SERVICE = "lm"


def measure() -> dict[str, float]:
    """Return microseconds per event by load state."""
    return {
        "calm": _measure_event_us(used_share=0.3, items=0, queued_requests=0),
        "items_everywhere": _measure_event_us(used_share=0.5, items=120, queued_requests=0),
        "full_with_items": _measure_event_us(used_share=1.0, items=60, queued_requests=0),
        "overloaded": _measure_event_us(used_share=1.0, items=0, queued_requests=60),
    }


def _measure_event_us(used_share: float, items: int, queued_requests: int) -> float:
    from wharfcart.configuration.instances import BackendInstance
    from wharfcart.routing.backend_selection import BackendSelector
    from wharfcart.slots.events import (
        Granted,
        HolderId,
        ItemOffered,
        ItemStarted,
        ItemsWaiting,
        RunResult,
        SessionKey,
        SessionOpened,
        SlotNumber,
        SlotReleased,
        SlotRequested,
    )
    from wharfcart.slots.granter import SlotGranter
    from wharfcart.slots.urgency import Urgency

    rng = Random(1)
    selector = BackendSelector("z0", rng)
    for n in range(SERVERS):
        selector.put(BackendInstance(f"i{n}", SERVICE, "127.0.0.1", 1, f"z{n % 3}", SLOTS, True))
    granter = SlotGranter(selector, lambda _instance: True)
    now = 0.0
    gateways = [SessionKey(HolderId(f"g{n}"), 1) for n in range(GATEWAYS)]
    leader = SessionKey(HolderId("leader/0"), 1)
    for n, key in enumerate([*gateways, leader]):
        granter.handle(SessionOpened(key, f"z{n % 3}"), now)
    held: deque[tuple[SessionKey, SlotNumber]] = deque()
    numbers = iter(range(1, 10**9))

    def handle_instructions(instructions: list[object]) -> None:
        for instruction in instructions:
            if isinstance(instruction, Granted):
                held.append((instruction.session, instruction.number))
            elif isinstance(instruction, ItemOffered):
                granter.handle(ItemStarted(leader, instruction.number, Urgency(15.0, 3.0)), now)

    def request_slot() -> None:
        number = SlotNumber(next(numbers))
        request = SlotRequested(rng.choice(gateways), number, SERVICE, now + 0.28, now + 2.0)
        handle_instructions(granter.handle(request, now))

    if items:
        items_waiting = ItemsWaiting(leader, SERVICE, items, 0, Urgency(15.0, 3.0))
        handle_instructions(granter.handle(items_waiting, now))
    while len(held) < SERVERS * SLOTS * used_share - items:
        request_slot()
    for _ in range(queued_requests):
        request_slot()
    started_at = perf_counter()
    for n in range(EVENTS):
        now += 0.001
        if n % 2:
            request_slot()
        elif held:
            session, number = held.popleft()
            handle_instructions(
                granter.handle(SlotReleased(session, number, RunResult.BACKEND_OK), now)
            )
        if n % 50 == 0:
            handle_instructions(granter.tick(now))
    return round((perf_counter() - started_at) / EVENTS * 1e6, 1)


def measure_commit(commit: str) -> dict[str, float]:
    """Measure an earlier commit in a separate process."""
    archive = subprocess.run(
        ["git", "archive", commit, "src"], check=True, capture_output=True
    ).stdout
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive)) as sources:
            sources.extractall(folder, filter="data")
        output = subprocess.run(
            [sys.executable, os.path.abspath(__file__)],
            check=True,
            capture_output=True,
            env=os.environ | {"PYTHONPATH": f"{folder}/src"},
        ).stdout
    return dict(json.loads(output)["microseconds_an_event"])


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--against", metavar="COMMIT")
    against = parser.parse_args().against
    figures: dict[str, object] = {"benchmark": "granting", "microseconds_an_event": measure()}
    if against:
        figures["before"] = {"commit": against, "microseconds_an_event": measure_commit(against)}
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
