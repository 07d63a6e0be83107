"""Order in which a gateway requests a slot from the groups."""

from wharfcart.cluster.topology import Distance
from wharfcart.slots.events import RequestMode
from wharfcart.slots.group_order import REMOTE_QUEUE_PENALTY, RequestStep, order_groups_by_affinity
from wharfcart.slots.group_order import order_groups as order_by_distance
from wharfcart.slots.snapshot import ServiceCapacity


def capacity(free: int, preemptible: int = 0, waiting: int = 0, slots: int = 8) -> ServiceCapacity:
    return ServiceCapacity("s", slots, free, preemptible, waiting)


def group_order(
    capacities: dict[int, ServiceCapacity], own_zone: list[int], remote: tuple[int, ...] = ()
):
    """Return the order for a gateway with groups in its own zone and in other regions."""
    distances = dict.fromkeys(capacities, Distance.SAME_REGION)
    distances |= dict.fromkeys(own_zone, Distance.SAME_ZONE)
    distances |= dict.fromkeys(remote, Distance.OTHER_REGION)
    return order_by_distance(capacities, distances)


def test_single_group_is_requested_once_in_wait_mode() -> None:
    assert group_order({0: capacity(0)}, [0]) == [(0, RequestMode.WAIT)]
    assert group_order({}, []) == []


def test_free_slot_in_own_zone_comes_first() -> None:
    order = group_order({0: capacity(8), 1: capacity(1), 2: capacity(5)}, [1])
    assert order[:2] == [(1, RequestMode.FREE), (0, RequestMode.FREE)]


def test_free_slot_in_other_zone_comes_before_preemption() -> None:
    order = group_order({0: capacity(3), 1: capacity(0, preemptible=4)}, [1])
    assert order[:2] == [(0, RequestMode.FREE), (1, RequestMode.PREEMPT)]


def test_slots_with_waiting_requests_are_not_free() -> None:
    order = group_order({0: capacity(1, waiting=3), 1: capacity(1)}, [0])
    assert order[0] == (1, RequestMode.FREE)


def test_request_without_slot_waits_in_the_shortest_queue() -> None:
    order = group_order(
        {0: capacity(0, waiting=9), 1: capacity(0, waiting=2), 2: capacity(0, waiting=4)}, [0]
    )
    assert order == [(1, RequestMode.WAIT), (2, RequestMode.WAIT), (0, RequestMode.WAIT)]


def test_every_group_is_requested() -> None:
    order = group_order({group: capacity(group) for group in range(5)}, [0])
    assert {group for group, mode in order if mode is RequestMode.WAIT} == set(range(5))


def test_shared_prompt_goes_to_the_same_group_while_it_has_capacity() -> None:
    capacities = {group: capacity(4) for group in range(5)}
    first = order_groups_by_affinity(capacities, "prompt")[0][0]
    assert all(order_groups_by_affinity(capacities, "prompt")[0][0] == first for _ in range(3))
    capacities[first] = capacity(0, waiting=1)
    assert order_groups_by_affinity(capacities, "prompt")[0][0] != first


def test_shared_prompts_are_distributed_over_groups() -> None:
    capacities = {group: capacity(4) for group in range(5)}
    firsts = {order_groups_by_affinity(capacities, f"prompt {n}")[0][0] for n in range(100)}
    assert firsts == set(range(5))


def test_preemption_in_own_region_comes_before_free_slot_in_other_region() -> None:
    capacities = {
        0: capacity(0, preemptible=4),
        1: capacity(0, preemptible=2),
        2: capacity(8),
        3: capacity(0, preemptible=3),
    }
    order = group_order(capacities, [0], remote=(2, 3))
    assert order[:4] == [
        (0, RequestMode.PREEMPT),
        (1, RequestMode.PREEMPT),
        (2, RequestMode.FREE),
        (2, RequestMode.PREEMPT),
    ]


def test_request_waits_in_own_region_unless_its_queue_is_much_longer() -> None:
    shorter = {0: capacity(0, waiting=1), 1: capacity(0, waiting=0)}
    assert wait_groups(group_order(shorter, [0], remote=(1,))) == [0, 1]
    much_shorter = {
        0: capacity(0, waiting=int(8 * REMOTE_QUEUE_PENALTY) + 1),
        1: capacity(0, waiting=0),
    }
    assert wait_groups(group_order(much_shorter, [0], remote=(1,))) == [1, 0]


def wait_groups(order: list[RequestStep]) -> list[int]:
    return [group for group, mode in order if mode is RequestMode.WAIT]


def test_shared_prompt_stays_in_own_region_until_it_is_full() -> None:
    capacities = {group: capacity(4) for group in range(6)}
    for n in range(20):
        remote = dict.fromkeys(range(3, 6), Distance.OTHER_REGION)
        distances = dict.fromkeys(range(3), Distance.SAME_REGION) | remote
        first = order_groups_by_affinity(capacities, f"prompt {n}", distances)[0][0]
        assert first < 3
    full = capacities | {group: capacity(0, waiting=1) for group in range(3)}
    assert order_groups_by_affinity(full, "prompt", distances)[0][0] >= 3
