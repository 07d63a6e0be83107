"""Checks the operations that clients observed for linearizability.

Every object changes in one direction only (a key from absent to started to completed, an item to
one result, a job to cancelled), so linearizability reduces to three rules: each object has one
winner, no state reverts, and a read that starts after an acknowledgement reflects it.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field


@dataclass(frozen=True)
class Operation:
    """A client's operation that got an answer; times in seconds."""

    kind: str
    target: str
    started_at: float
    finished_at: float
    result: object
    value: str | None = None


@dataclass
class OperationHistory:
    """The answered operations of a run."""

    operations: list[Operation] = field(default_factory=list)
    has_leader: bool = True

    def add(self, operation: Operation) -> None:
        """Add an operation."""
        self.operations.append(operation)

    def of_kind(self, kind: str) -> list[Operation]:
        """Return the operations of one kind."""
        return [operation for operation in self.operations if operation.kind == kind]

    def check(self) -> list[str]:
        """Return a description of each violation."""
        violations: list[str] = []
        if not self.has_leader:
            violations.append("no leader after the faults ended")
        violations.extend(self._check_key_winners())
        violations.extend(self._check_key_reads())
        violations.extend(self._check_item_completions())
        violations.extend(self._check_item_reads())
        violations.extend(self._check_cancellation())
        return violations

    # ---- keys: at most once ----

    def _check_key_winners(self) -> Iterator[str]:
        """All answers about a key name the same request, and only that request's start gets ok."""
        winners: dict[str, set[str]] = {}
        for operation in self.of_kind("start"):
            code, winner, _ = _as_triple(operation.result)
            winners.setdefault(operation.target, set()).add(str(winner))
            if code == "ok" and winner != operation.value:
                yield f"{operation.target}: ok to {operation.value}, winner {winner}"
        for operation in self.of_kind("read_key"):
            if operation.result is not None:
                winner, _ = _as_pair(operation.result)
                winners.setdefault(operation.target, set()).add(str(winner))
        for key, names in winners.items():
            if len(names) > 1:
                yield f"{key}: several winners {sorted(names)}"

    def _check_key_reads(self) -> Iterator[str]:
        finished = [o for o in self.of_kind("finish") if _as_triple(o.result)[0] == "ok"]
        started = [
            o for o in self.of_kind("start") if _as_triple(o.result)[0] in ("ok", "key_known")
        ]
        yield from _stale_reads(
            started, self.of_kind("read_key"), lambda seen: seen is not None, "lost its start"
        )
        yield from _stale_reads(
            finished,
            self.of_kind("read_key"),
            lambda seen: seen is not None and _as_pair(seen)[1] == "completed",
            "lost its end",
        )

    # ---- items: exactly once ----

    def _check_item_completions(self) -> Iterator[str]:
        accepted: dict[str, list[str | None]] = {}
        for operation in self.of_kind("complete"):
            if _as_triple(operation.result)[2] == 1:
                accepted.setdefault(operation.target, []).append(operation.value)
        for row, values in accepted.items():
            if len(values) > 1:
                yield f"item {row}: completed {len(values)} times"

    def _check_item_reads(self) -> Iterator[str]:
        accepted = [o for o in self.of_kind("complete") if _as_triple(o.result)[2] == 1]
        yield from _stale_reads(
            accepted,
            self.of_kind("read_item"),
            lambda seen: seen == "COMPLETED",
            "completed, then not",
        )

        # A summarized job counts at least the completions acknowledged before the read.
        for read in self.of_kind("read_counts"):
            known = {o.target for o in accepted if o.finished_at < read.started_at}
            if not isinstance(read.result, int) or read.result < len(known):
                yield f"job: {len(known)} completions acknowledged, {read.result} counted"

    # ---- cancel ----

    def _check_cancellation(self) -> Iterator[str]:
        cancels = [o for o in self.of_kind("cancel") if _as_triple(o.result)[0] == "ok"]
        if not cancels:
            return
        first = min(operation.finished_at for operation in cancels)
        for operation in self.of_kind("lease"):
            if operation.started_at > first and _as_triple(operation.result)[0] == "ok":
                yield f"item {operation.target}: leased after the cancel was acknowledged"
        yield from _stale_reads(
            cancels, self.of_kind("read_cancelled"), lambda seen: bool(seen), "cancel was lost"
        )


def _stale_reads(
    acknowledged: list[Operation],
    reads: list[Operation],
    reflects: Callable[[object], bool],
    violation: str,
) -> Iterator[str]:
    """Yield reads that start after an acknowledgement and do not reflect it."""
    first: dict[str, float] = {}
    for operation in acknowledged:
        known = first.get(operation.target, float("inf"))
        first[operation.target] = min(known, operation.finished_at)
    for read in reads:
        if read.started_at > first.get(read.target, float("inf")) and not reflects(read.result):
            yield f"{read.target}: {violation}, read {read.result} at {read.started_at:.2f}"


def _as_triple(seen: object) -> tuple[object, object, object]:
    assert isinstance(seen, tuple) and len(seen) == 3
    return (seen[0], seen[1], seen[2])


def _as_pair(seen: object) -> tuple[object, object]:
    assert isinstance(seen, tuple) and len(seen) == 2
    return (seen[0], seen[1])
