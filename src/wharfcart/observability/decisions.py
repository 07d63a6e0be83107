"""Decision log: one JSON line on standard output for each decision of a process.

The log never blocks its callers. A bounded buffer holds the lines, and a thread writes them
periodically. Lines over the bound or the rate limit are dropped, and their count is logged.
"""

import asyncio
import json
import os
import sys
from collections import deque
from enum import StrEnum
from time import time
from typing import Protocol

MAX_PENDING_LINES = 2000
MAX_LINES_PER_SECOND = 200
FLUSH_INTERVAL_S = 0.5
STDOUT_FD = 1


class Counter(Protocol):
    """A counter with one label."""

    def add(self, label: str) -> None:
        """Increment the counter of a label."""
        ...


class Event(StrEnum):
    """Types of log lines; docs/operations/decision-log.md lists the fields of each."""

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    RELOADED = "reloaded"
    MACHINE_RESUMED = "machine_resumed"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_REGAINED = "dependency_regained"
    CONFIGURATION_TAKEN = "configuration_taken"
    CONFIGURATION_FINDING = "configuration_finding"
    BACKEND_SEEN = "backend_seen"
    BACKEND_DRAINING = "backend_draining"
    BACKEND_GONE = "backend_gone"
    BACKEND_ENDED = "backend_ended"
    ANSWER_END = "answer_end"
    ENTRY_REFUSED = "entry_refused"
    BACKEND_ENTRY_REFUSED = "backend_entry_refused"
    BACKEND_RESTARTED = "backend_restarted"
    BACKEND_COLD = "backend_cold"
    EVACUATION_BEGUN = "evacuation_begun"
    EVACUATION_QUIET = "evacuation_quiet"
    EVACUATION_ENDED = "evacuation_ended"
    BACKEND_AVOIDED = "backend_avoided"
    REQUEST_PLACED = "request_placed"
    REQUEST_ENDED = "request_ended"
    REQUEST_REFUSED = "request_refused"
    REQUEST_RETRIED = "request_retried"
    REQUEST_SUSPECTED = "request_suspected"
    REQUEST_LIMITED = "request_limited"
    SLOT_REFUSED = "slot_refused"
    GRANTING_BEGUN = "granting_begun"
    LEFTOVER_RUNS = "leftover_runs"
    GRANTING_ENDED = "granting_ended"
    GRANTER_FOUND = "granter_found"
    GRANTER_LOST = "granter_lost"
    STREAM_RESUMED = "stream_resumed"
    STREAM_ORIGIN = "stream_origin"
    VERSIONS_LOADED = "versions_loaded"
    FLEET_FOUNDED = "fleet_founded"
    LEADERSHIP_TAKEN = "leadership_taken"
    LEADERSHIP_LOST = "leadership_lost"
    REPLICA_SET_CHANGED = "replica_set_changed"
    TOLERANCE_SHORT = "tolerance_short"
    REPLICA_SYNCED = "replica_synced"
    REPLICA_FAILED = "replica_failed"
    REPLICATION_REFUSED = "replication_refused"
    JOB_CLAIM_CORRECTED = "job_claim_corrected"
    JOB_COPY_MISMATCH = "job_copy_mismatch"
    PARTIAL_TEXTS_LOADED = "partial_texts_loaded"
    PARTIAL_TEXT_MISMATCH = "partial_text_mismatch"
    JOB_ACCEPTED = "job_accepted"
    JOB_REFUSED = "job_refused"
    JOB_ENDED = "job_ended"
    JOB_CLOSED = "job_closed"
    JOB_DELETED = "job_deleted"
    ITEM_STARTED = "item_started"
    ITEM_FINISHED = "item_finished"
    ITEM_RETRIED = "item_retried"
    ITEM_GIVEN_UP = "item_given_up"
    ITEM_YIELDED = "item_yielded"
    ITEM_WAITS = "item_waits"
    STORAGE_RETIRED = "storage_retired"
    LINES_DROPPED = "lines_dropped"


class DecisionLog:
    """Decision log of one process."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._pending_lines: deque[str] = deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_this_second = 0

    def write(self, event: Event, **fields: object) -> None:
        """Log one decision without blocking.

        Args:
            event: type of the line.
            fields: plain values: ids, the inputs of the decision with their age or version, and
                the outcome.
        """
        now = time()
        if not self._admit_line(int(now)):
            self._dropped += 1
            return
        line = {"time": round(now, 3), "node": self._node_id, "event": event.value, **fields}
        self._pending_lines.append(json.dumps(line, default=str))

    async def run(self) -> None:
        """Write pending lines periodically until cancelled; never blocks the event loop."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            if self._pending_lines:
                data = self._drain_pending_lines()
                await asyncio.get_running_loop().run_in_executor(None, _write_all, data)

    def flush(self) -> None:
        """Write all pending lines, before the process exits."""
        if self._pending_lines:
            _write_all(self._drain_pending_lines())

    def _admit_line(self, second: int) -> bool:
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        within_rate = self._lines_this_second <= MAX_LINES_PER_SECOND
        return within_rate and len(self._pending_lines) < MAX_PENDING_LINES

    def _drain_pending_lines(self) -> bytes:
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self._current_second = 0
            self.write(Event.LINES_DROPPED, count=dropped)
        data = ("\n".join(self._pending_lines) + "\n").encode()
        self._pending_lines.clear()
        return data


def _write_all(data: bytes) -> None:
    try:
        while data:
            data = data[os.write(STDOUT_FD, data) :]
    except OSError as error:
        print(f"decision log: {error}", file=sys.stderr)
