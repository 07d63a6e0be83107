"""The order of requests that wait for a slot."""

from random import Random

from wharfcart.slots.queue import MAX_WAITING, SlotQueue, WaitingRequest


def expected(waiting: list[WaitingRequest], now: float) -> WaitingRequest:
    def order(one: WaitingRequest) -> tuple[bool, int, float, int]:
        late = now > one.start_deadline
        return late, one.priority, one.queue_deadline if late else one.start_deadline, one.number

    return min(waiting, key=order)


def test_requests_in_time_go_first_then_by_priority_and_deadline() -> None:
    for seed in range(60):
        rng = Random(seed)
        queue, present, now = SlotQueue(), [], 0.0
        for _ in range(120):
            now += rng.random() * 0.1
            if rng.random() < 0.6:
                in_time_until = now + rng.random()
                added = queue.add(
                    "s", in_time_until, in_time_until + rng.random(), rng.randrange(3)
                )
                assert added is not None
                present.append(added)
            elif present:
                first = queue.next("s", now)
                assert first == expected(present, now)
                gone = first if rng.random() < 0.5 else rng.choice(present)
                queue.remove(gone)
                present.remove(gone)
            assert queue.count("s") == len(present)


def test_queue_is_bounded_and_removal_frees_a_place() -> None:
    queue = SlotQueue()
    waiting = [queue.add("s", 1.0, 2.0, 0) for _ in range(MAX_WAITING)]
    assert queue.add("s", 1.0, 2.0, 0) is None
    assert queue.services() == ["s"] and queue.total() == MAX_WAITING
    for one in waiting:
        assert one is not None
        queue.remove(one)
    assert queue.next("s", 0.0) is None and queue.services() == []
    assert queue.add("s", 1.0, 2.0, 0) is not None
