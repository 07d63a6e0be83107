"""Why items wait: counted by reason, and logged for items that wait for long.

The code that decides whether an item may run names the reason; this module only reports it.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics

REPORT_INTERVAL_S = 1.0
# Log lines of one item come after this time and then after each doubling of it.
FIRST_LINE_AFTER_S = 4.0
# Log lines of one report; the items that have waited the longest come first.
MAX_LINES = 8


class WaitReason(StrEnum):
    """Why an item is not being run.

    Attributes:
        UNCONFIRMED: another node may lead its job by now.
        NO_ROUTE: no route matches its job.
        BACKOFF: the delay after its last run is not over.
        NO_BACKEND: its service has no back end that accepts items and may process its data.
        VERSION: it waits for the software version that began its text.
        NO_SLOT: it waits for a slot.
    """

    UNCONFIRMED = "leadership_unconfirmed"
    NO_ROUTE = "no_route"
    BACKOFF = "backoff"
    NO_BACKEND = "no_backend"
    VERSION = "version"
    NO_SLOT = "no_slot"


@dataclass(frozen=True, slots=True)
class ItemWait:
    """An item that waits.

    Attributes:
        job_id: its job.
        item_id: the item.
        reason: why it waits.
        waited_s: seconds since it was accepted, taken over or last ran.
        attempts: its runs under this leader.
        last_instance_id: back end of the last run, or ''.
        usable_backends: back ends of its service that accept items and seem well.
        offered_s_ago: seconds since a slot of its service was last offered; None if none was.
    """

    job_id: str
    item_id: str
    reason: WaitReason
    waited_s: float
    attempts: int
    last_instance_id: str
    usable_backends: int
    offered_s_ago: float | None

    @property
    def is_notable(self) -> bool:
        """Whether the wait is more than that of a new item for a slot."""
        return self.reason is not WaitReason.NO_SLOT or self.attempts > 0


class ItemWaitReport:
    """Reports the waiting items of one leader.

    Args:
        log: receives a line for items that wait for long.
        metrics: receives the number of waiting items and the longest wait by reason.
    """

    def __init__(self, log: DecisionLog, metrics: ServingMetrics) -> None:
        self._log = log
        self._metrics = metrics
        self._next_line_after_s: dict[tuple[str, str], float] = {}  # by job and item

    def report(self, waits: Iterable[ItemWait]) -> None:
        """Report all waiting items that were looked at."""
        found = list(waits)
        counts = Counter(wait.reason for wait in found)
        for reason in WaitReason:
            longest_s = max((wait.waited_s for wait in found if wait.reason is reason), default=0.0)
            self._metrics.items_waiting.labels(reason.value).set(counts[reason])
            self._metrics.longest_item_wait.labels(reason.value).set(longest_s)
        self._log_long_waits(found)

    def _log_long_waits(self, found: list[ItemWait]) -> None:
        waiting = {(wait.job_id, wait.item_id) for wait in found}
        for key in self._next_line_after_s.keys() - waiting:
            del self._next_line_after_s[key]
        due = [wait for wait in found if wait.is_notable and self._is_line_due(wait)]
        due.sort(key=lambda wait: wait.waited_s, reverse=True)
        for wait in due[:MAX_LINES]:
            self._next_line_after_s[wait.job_id, wait.item_id] = 2 * wait.waited_s
            self._write_line(wait)

    def _is_line_due(self, wait: ItemWait) -> bool:
        after_s = self._next_line_after_s.get((wait.job_id, wait.item_id), FIRST_LINE_AFTER_S)
        return wait.waited_s >= after_s

    def _write_line(self, wait: ItemWait) -> None:
        offered_s_ago = wait.offered_s_ago
        self._log.write(
            Event.ITEM_WAITS,
            item=wait.item_id,
            job=wait.job_id,
            reason=wait.reason.value,
            waited_s=round(wait.waited_s, 1),
            attempts=wait.attempts,
            backend=wait.last_instance_id,
            usable=wait.usable_backends,
            offered_s_ago=None if offered_s_ago is None else round(offered_s_ago, 1),
        )
