"""Choice of items to lease, lease expiry and the states of leased items."""

from collections import Counter

from wharfcart.batch.lease_scheduler import LEASE_TERM_S, LeaseChoice, LeaseScheduler
from wharfcart.cluster.messages_pb2 import (
    UNKNOWN,
    Command,
    FileAppend,
    FileSeal,
    ItemResult,
    ItemsComplete,
    ItemsLease,
    JobCancel,
    JobCreate,
    JobRecord,
    LeaseEnd,
)
from wharfcart.storage.shard_state import BatchJob, ItemState, ShardState

SHARES = {"small": 1.0, "large": 3.0}


def _state(jobs: list[tuple[str, str, int, int]]) -> ShardState:
    """Return a shard with jobs given as (id, tenant, number of items, deadline)."""
    state = ShardState()
    for job_id, tenant, items, deadline in jobs:
        create = JobCreate(job_id=job_id, tenant=tenant, deadline_ms=deadline)
        record = JobRecord(create=create, rows=items, service_names=["s"])
        state.jobs[job_id] = BatchJob(record, bytearray(items), bytes(items))
    return state


def _scheduler(state: ShardState) -> LeaseScheduler:
    return LeaseScheduler(state, lambda tenant: SHARES.get(tenant, 1.0), lambda t, s: "model")


def _lease(state: ShardState, scheduler: LeaseScheduler, choice: LeaseChoice, name: str) -> None:
    lease = ItemsLease(lease_id=name, job_id=choice.job_id, holder="h", rows=choice.rows)
    state.apply(state.applied_index + 1, Command(at_ms=1, items_lease=lease))
    scheduler.release_reservation(choice)


def _drain(state: ShardState, chunk_count: int) -> Counter[str]:
    scheduler = _scheduler(state)
    items: Counter[str] = Counter()
    for number in range(chunk_count):
        for choice in scheduler.choose({"model"}, 64):
            items[choice.job_id] += len(choice.rows)
            _lease(state, scheduler, choice, f"l{number}")
    return items


def test_earliest_deadline_first() -> None:
    state = _state([("late", "t", 64, 900), ("soon", "t", 64, 100)])
    (choice,) = _scheduler(state).choose({"model"}, 64)
    assert choice.job_id == "soon"


def test_a_huge_job_does_not_delay_a_small_one() -> None:
    state = _state([("huge", "t", 690_000, 100), ("small", "t", 50, 900)])
    assert _drain(state, 5)["small"] == 50


def test_tenants_are_served_in_proportion_to_their_weights() -> None:
    state = _state([("a", "small", 10_000, 100), ("b", "large", 10_000, 100)])
    items = _drain(state, 80)
    assert 2.5 < items["b"] / items["a"] < 3.5


def test_reserved_items_are_not_chosen_twice() -> None:
    scheduler = _scheduler(_state([("a", "t", 100, 1)]))
    first = scheduler.choose({"model"}, 64)
    second = scheduler.choose({"model"}, 64)
    rows = [row for choice in first + second for row in choice.rows]
    assert sorted(rows) == list(range(100))


def test_only_jobs_that_the_backend_can_serve_are_chosen() -> None:
    scheduler = _scheduler(_state([("a", "t", 10, 1)]))
    assert scheduler.choose({"another model"}, 64) == []


def test_a_lease_expires_by_the_leaders_clock_unless_renewed() -> None:
    state = _state([("a", "t", 10, 1)])
    scheduler = _scheduler(state)
    _lease(state, scheduler, scheduler.choose({"model"}, 10)[0], "l")
    assert scheduler.expired_leases(0.0) == []
    scheduler.renew(["l"], 5.0)
    assert scheduler.expired_leases(LEASE_TERM_S + 1) == []
    assert scheduler.expired_leases(LEASE_TERM_S + 6) == ["l"]


def test_an_ended_lease_returns_items_that_did_not_run() -> None:
    state = _state([("a", "t", 3, 1)])
    scheduler = _scheduler(state)
    _lease(state, scheduler, scheduler.choose({"model"}, 3)[0], "l")
    result = ItemResult(row=0, body=b"r")
    done = ItemsComplete(job_id="a", lease_id="l", results=[result])
    state.apply(2, Command(at_ms=1, items_complete=done))
    end = LeaseEnd(lease_id="l", not_run=[1], repeatable=False)
    state.apply(3, Command(at_ms=1, lease_end=end))
    states = [ItemState(value) for value in state.jobs["a"].states]
    assert states == [ItemState.COMPLETED, ItemState.PENDING, ItemState.UNKNOWN]


def test_a_result_replaces_an_unknown_outcome_but_not_another_result() -> None:
    state = _state([("a", "t", 1, 1)])
    for index, end in enumerate([UNKNOWN, 0, 1], start=1):
        result = ItemResult(row=0, end=end)  # type: ignore[arg-type]
        complete = ItemsComplete(job_id="a", results=[result])
        state.apply(index, Command(at_ms=1, items_complete=complete))
    assert state.jobs["a"].states[0] == ItemState.COMPLETED
    assert state.dropped_completions == 1


def test_a_cancelled_job_leases_nothing_and_counts_every_item() -> None:
    state = _state([("a", "t", 10, 1)])
    scheduler = _scheduler(state)
    _lease(state, scheduler, scheduler.choose({"model"}, 4)[0], "l")
    state.apply(2, Command(at_ms=1, job_cancel=JobCancel(job_id="a", tenant="t")))
    assert scheduler.choose({"model"}, 64) == []
    assert scheduler.renew(["l"], 0.0) == ["l"]
    state.apply(3, Command(at_ms=1, lease_end=LeaseEnd(lease_id="l", repeatable=True)))
    view = state.jobs["a"].to_view()
    assert (view.state, view.cancelled, view.total) == ("cancelled", 10, 10)


def test_late_and_repeated_leases_and_ends_change_no_other_lease() -> None:
    """Guards against items that run twice: a late end must not return rows of a later lease."""
    state = _state([("a", "t", 2, 1)])

    def apply(**body: ItemsLease | LeaseEnd) -> str:
        command = Command(at_ms=1, **body)  # type: ignore[arg-type]
        return state.apply(state.applied_index + 1, command).code

    first = ItemsLease(lease_id="l1", job_id="a", holder="h", rows=[0, 1])
    end = LeaseEnd(lease_id="l1", not_run=[0, 1])
    second = ItemsLease(lease_id="l2", job_id="a", holder="h2", rows=[0, 1])
    assert [apply(items_lease=first) for _ in range(2)] == ["ok", "ok"]
    apply(lease_end=end)
    apply(items_lease=second)
    apply(lease_end=end)
    assert apply(items_lease=first) == "nothing_leased"
    assert apply(items_lease=ItemsLease(lease_id="l3", job_id="b", rows=[0])) == "nothing_leased"
    assert list(state.leases) == ["l2"]
    assert set(state.jobs["a"].states) == {ItemState.LEASED}


def test_a_late_or_repeated_append_to_a_file_keeps_later_rows() -> None:
    state = ShardState()

    def append(first_row: int, *lines: bytes, file_id: str = "f") -> str:
        body = FileAppend(
            file_id=file_id, tenant="t", first_row=first_row, lines=lines, classes=bytes(len(lines))
        )
        return state.apply(state.applied_index + 1, Command(at_ms=1, file_append=body)).code

    append(0, b"a", b"b")
    append(2, b"c")
    append(0, b"a", b"b")
    append(0, b"x", file_id="other")
    assert len(state.file_classes["f"]) == 3
    seal = FileSeal(file_id="f", tenant="t", rows=3)
    state.apply(state.applied_index + 1, Command(at_ms=1, file_seal=seal))
    assert append(2, b"c") == "sealed"


def test_a_late_renewal_keeps_a_lease_for_one_more_term_and_brings_no_ended_one_back() -> None:
    """Guards against a lease that a late message of its former holder keeps for ever."""
    state = _state([("j", "t", 2, 1)])
    scheduler = _scheduler(state)
    (choice,) = scheduler.choose({"model"}, 2)
    _lease(state, scheduler, choice, "l")
    assert scheduler.renew(["l"], 0.0) == []
    assert scheduler.renew(["l"], 8.0) == [], "sent before the end of the holder, arrived late"
    assert scheduler.expired_leases(8.0 + LEASE_TERM_S - 0.1) == []
    assert scheduler.expired_leases(8.0 + LEASE_TERM_S) == ["l"]
    end = LeaseEnd(lease_id="l", not_run=[0, 1])
    state.apply(state.applied_index + 1, Command(at_ms=2, lease_end=end))
    assert scheduler.renew(["l"], 20.0) == ["l"]
    assert scheduler.expired_leases(60.0) == []
