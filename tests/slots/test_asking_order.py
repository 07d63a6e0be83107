"""Whom a gateway asks for a slot."""

from wharfcart.cluster.topology import Distance
from wharfcart.slots.asking_order import REMOTE_QUEUE_PENALTY, RequestStep, order_groups_by_affinity
from wharfcart.slots.asking_order import order_groups as order_by_distance
from wharfcart.slots.events import RequestMode
from wharfcart.slots.picture import ServiceCapacity


def room(free: int, yielding: int = 0, waiting: int = 0, slots: int = 8) -> ServiceCapacity:
    return ServiceCapacity("s", slots, free, yielding, waiting)


def asking_order(rooms: dict[int, ServiceCapacity], own: list[int], far: tuple[int, ...] = ()):
    """The order of a gateway whose zone has the own groups, with some in other regions."""
    distances = dict.fromkeys(rooms, Distance.SAME_REGION)
    distances |= dict.fromkeys(own, Distance.SAME_ZONE)
    distances |= dict.fromkeys(far, Distance.OTHER_REGION)
    return order_by_distance(rooms, distances)


def test_the_only_node_is_asked_once_and_waited_for() -> None:
    assert asking_order({0: room(0)}, [0]) == [(0, RequestMode.WAIT)]
    assert asking_order({}, []) == []


def test_a_free_slot_in_the_own_zone_comes_first() -> None:
    order = asking_order({0: room(8), 1: room(1), 2: room(5)}, [1])
    assert order[:2] == [(1, RequestMode.FREE), (0, RequestMode.FREE)]


def test_a_free_slot_elsewhere_comes_before_one_that_an_item_gives_up() -> None:
    order = asking_order({0: room(3), 1: room(0, yielding=4)}, [1])
    assert order[:2] == [(0, RequestMode.FREE), (1, RequestMode.PREEMPT)]


def test_slots_that_others_wait_for_are_no_room() -> None:
    order = asking_order({0: room(1, waiting=3), 1: room(1)}, [0])
    assert order[0] == (1, RequestMode.FREE)


def test_who_finds_nothing_waits_where_the_queue_is_shortest() -> None:
    order = asking_order({0: room(0, waiting=9), 1: room(0, waiting=2), 2: room(0, waiting=4)}, [0])
    assert order == [(1, RequestMode.WAIT), (2, RequestMode.WAIT), (0, RequestMode.WAIT)]


def test_every_node_is_asked_in_the_end() -> None:
    order = asking_order({group: room(group) for group in range(5)}, [0])
    assert {group for group, manner in order if manner is RequestMode.WAIT} == set(range(5))


def test_a_shared_prompt_goes_to_the_same_node_as_long_as_that_has_room() -> None:
    rooms = {group: room(4) for group in range(5)}
    first = order_groups_by_affinity(rooms, "prompt")[0][0]
    assert all(order_groups_by_affinity(rooms, "prompt")[0][0] == first for _ in range(3))
    rooms[first] = room(0, waiting=1)
    assert order_groups_by_affinity(rooms, "prompt")[0][0] != first


def test_shared_prompts_are_spread_over_the_nodes() -> None:
    rooms = {group: room(4) for group in range(5)}
    firsts = {order_groups_by_affinity(rooms, f"prompt {n}")[0][0] for n in range(100)}
    assert firsts == set(range(5))


def test_an_item_of_the_own_region_leaves_before_a_free_slot_of_another_one_is_asked_for() -> None:
    rooms = {0: room(0, yielding=4), 1: room(0, yielding=2), 2: room(8), 3: room(0, yielding=3)}
    order = asking_order(rooms, [0], far=(2, 3))
    assert order[:4] == [
        (0, RequestMode.PREEMPT),
        (1, RequestMode.PREEMPT),
        (2, RequestMode.FREE),
        (2, RequestMode.PREEMPT),
    ]


def test_who_waits_does_so_in_the_own_region_unless_its_line_is_much_longer() -> None:
    shorter = {0: room(0, waiting=1), 1: room(0, waiting=0)}
    assert waits(asking_order(shorter, [0], far=(1,))) == [0, 1]
    much_shorter = {0: room(0, waiting=int(8 * REMOTE_QUEUE_PENALTY) + 1), 1: room(0, waiting=0)}
    assert waits(asking_order(much_shorter, [0], far=(1,))) == [1, 0]


def waits(order: list[RequestStep]) -> list[int]:
    return [group for group, manner in order if manner is RequestMode.WAIT]


def test_each_region_reads_a_shared_prompt_for_itself_until_it_is_full() -> None:
    rooms = {group: room(4) for group in range(6)}
    for n in range(20):
        far = dict.fromkeys(range(3, 6), Distance.OTHER_REGION)
        distances = dict.fromkeys(range(3), Distance.SAME_REGION) | far
        first = order_groups_by_affinity(rooms, f"prompt {n}", distances)[0][0]
        assert first < 3
    full = rooms | {group: room(0, waiting=1) for group in range(3)}
    assert order_groups_by_affinity(full, "prompt", distances)[0][0] >= 3
