"""Order and bounds of the queue of waiting requests."""

from random import Random

from wharfcart.slots.queue import MAX_WAITING, SlotQueue, WaitingRequest


def expected(waiting: list[WaitingRequest], now: float) -> WaitingRequest:
    def order(request: WaitingRequest) -> tuple[bool, int, float, int]:
        late = now > request.start_deadline
        return (
            late,
            request.priority,
            request.queue_deadline if late else request.start_deadline,
            request.number,
        )

    return min(waiting, key=order)


def test_requests_in_time_go_first_then_by_priority_and_deadline() -> None:
    for seed in range(60):
        rng = Random(seed)
        queue, present, now = SlotQueue(), [], 0.0
        for _ in range(120):
            now += rng.random() * 0.1
            if rng.random() < 0.6:
                start_deadline = now + rng.random()
                added = queue.add(
                    "s", start_deadline, start_deadline + rng.random(), rng.randrange(3)
                )
                assert added is not None
                present.append(added)
            elif present:
                first = queue.next("s", now)
                assert first == expected(present, now)
                removed = first if rng.random() < 0.5 else rng.choice(present)
                queue.remove(removed)
                present.remove(removed)
            assert queue.count("s") == len(present)


def test_queue_is_bounded_and_removal_frees_a_place() -> None:
    queue = SlotQueue()
    waiting = [queue.add("s", 1.0, 2.0, 0) for _ in range(MAX_WAITING)]
    assert queue.add("s", 1.0, 2.0, 0) is None
    assert queue.services() == ["s"] and queue.total() == MAX_WAITING
    for request in waiting:
        assert request is not None
        queue.remove(request)
    assert queue.next("s", 0.0) is None and queue.services() == []
    assert queue.add("s", 1.0, 2.0, 0) is not None
