"""History checker: what clients saw, judged against what must always hold.

Every object here only moves forward (a key from nothing to started to completed, an item to one
end, a job to cancelled), so linearizability comes down to three rules: one winner, no way back, and
a read that begins after an acknowledgement shows at least what was acknowledged.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Operation:
    """One answered operation of a client."""

    kind: str
    target: str
    begun: float
    ended: float
    seen: object
    value: str | None = None


@dataclass
class History:
    """All answered operations of a run."""

    operations: list[Operation] = field(default_factory=list)
    has_leader: bool = True

    def add(self, operation: Operation) -> None:
        """Add an operation."""
        self.operations.append(operation)

    def of(self, kind: str) -> list[Operation]:
        """Return the operations of one kind."""
        return [operation for operation in self.operations if operation.kind == kind]

    def check(self) -> list[str]:
        """Return every violation found."""
        found: list[str] = []
        if not self.has_leader:
            found.append("no leader after the faults ended")
        found.extend(self._check_key_winners())
        found.extend(self._check_key_reads())
        found.extend(self._check_item_ends())
        found.extend(self._check_item_reads())
        found.extend(self._check_cancel())
        return found

    # ---- keys: at most once ----

    def _check_key_winners(self) -> Iterator[str]:
        """All answers about a key name the same request; only its own start is told ok."""
        winners: dict[str, set[str]] = {}
        for operation in self.of("start"):
            code, winner, _ = _parts(operation.seen)
            winners.setdefault(operation.target, set()).add(str(winner))
            if code == "ok" and winner != operation.value:
                yield f"{operation.target}: ok to {operation.value}, winner {winner}"
        for operation in self.of("read_key"):
            if operation.seen is not None:
                winner, _ = _pair(operation.seen)
                winners.setdefault(operation.target, set()).add(str(winner))
        for key, names in winners.items():
            if len(names) > 1:
                yield f"{key}: several winners {sorted(names)}"

    def _check_key_reads(self) -> Iterator[str]:
        finished = [o for o in self.of("finish") if _parts(o.seen)[0] == "ok"]
        started = [o for o in self.of("start") if _parts(o.seen)[0] in ("ok", "key_known")]
        yield from _stale(
            started, self.of("read_key"), lambda seen: seen is not None, "lost its start"
        )
        yield from _stale(
            finished,
            self.of("read_key"),
            lambda seen: seen is not None and _pair(seen)[1] == "completed",
            "lost its end",
        )

    # ---- items: exactly once ----

    def _check_item_ends(self) -> Iterator[str]:
        accepted: dict[str, list[str | None]] = {}
        for operation in self.of("complete"):
            if _parts(operation.seen)[2] == 1:
                accepted.setdefault(operation.target, []).append(operation.value)
        for row, values in accepted.items():
            if len(values) > 1:
                yield f"item {row}: completed {len(values)} times"

    def _check_item_reads(self) -> Iterator[str]:
        accepted = [o for o in self.of("complete") if _parts(o.seen)[2] == 1]
        yield from _stale(
            accepted,
            self.of("read_item"),
            lambda seen: seen == "COMPLETED",
            "completed, then not",
        )

        # A job that ended shows counts: at least what was acknowledged as completed before.
        for read in self.of("read_counts"):
            known = {o.target for o in accepted if o.ended < read.begun}
            if not isinstance(read.seen, int) or read.seen < len(known):
                yield f"job: {len(known)} completions acknowledged, {read.seen} counted"

    # ---- cancel ----

    def _check_cancel(self) -> Iterator[str]:
        cancels = [o for o in self.of("cancel") if _parts(o.seen)[0] == "ok"]
        if not cancels:
            return
        first = min(operation.ended for operation in cancels)
        for operation in self.of("lease"):
            if operation.begun > first and _parts(operation.seen)[0] == "ok":
                yield f"item {operation.target}: leased after the cancel was acknowledged"
        yield from _stale(
            cancels, self.of("read_cancelled"), lambda seen: bool(seen), "cancel was lost"
        )


def _stale(
    acknowledged: list[Operation],
    reads: list[Operation],
    shows: Callable[[object], bool],
    what: str,
) -> Iterator[str]:
    """Yield reads that began after an acknowledgement and do not show it."""
    first: dict[str, float] = {}
    for operation in acknowledged:
        known = first.get(operation.target, float("inf"))
        first[operation.target] = min(known, operation.ended)
    for read in reads:
        if read.begun > first.get(read.target, float("inf")) and not shows(read.seen):
            yield f"{read.target}: {what}, read {read.seen} at {read.begun:.2f}"


def _parts(seen: object) -> tuple[object, object, object]:
    assert isinstance(seen, tuple) and len(seen) == 3
    return (seen[0], seen[1], seen[2])


def _pair(seen: object) -> tuple[object, object]:
    assert isinstance(seen, tuple) and len(seen) == 2
    return (seen[0], seen[1])
