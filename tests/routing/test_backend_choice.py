"""Choice of a back end."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.backend_choice import PICTURE_KEPT_S, BackendChoice, InstanceState


def instance(
    name: str, zone: str = "z", slots: int = 10, accepting: bool = True
) -> BackendInstance:
    return BackendInstance(name, "s", "127.0.0.1", 1, zone, slots, accepting)


def choice(*instances: BackendInstance) -> BackendChoice:
    made = BackendChoice("z", Random(1))
    for item in instances:
        made.put(item)
    return made


def chosen(made: BackendChoice, now: float = 0.0, **more) -> str:
    state = made.choose("s", now, **more)
    assert state is not None
    return state.instance.instance_id


def state_of(made: BackendChoice, name: str) -> InstanceState:
    state = made.state(name)
    assert state is not None
    return state


def test_the_least_loaded_is_chosen() -> None:
    made = choice(instance("a"), instance("b"))
    for _ in range(3):
        made.sent(state_of(made, "a"), 0.0)
    assert chosen(made) == "b"


def test_load_that_other_nodes_have_there_counts() -> None:
    made = choice(instance("a"), instance("b"))
    made.load_told("a", 5, 0, False, 0.0)
    assert chosen(made, 0.1) == "b"


def test_own_requests_are_not_counted_twice() -> None:
    made = choice(instance("a"))
    use = made.sent(state_of(made, "a"), 0.0)
    made.load_told("a", 3, 0, False, 0.0)
    assert state_of(made, "a").load(0.1) == 0.3
    made.ended(state_of(made, "a"), use)
    assert state_of(made, "a").load(0.1) == 0.2


def test_an_old_picture_no_longer_counts() -> None:
    made = choice(instance("a"), instance("b"))
    made.load_told("a", 5, 0, True, 0.0)
    assert state_of(made, "a").load(PICTURE_KEPT_S) == 0
    assert not state_of(made, "a").avoided(PICTURE_KEPT_S)


def test_prompts_that_wait_to_be_read_count() -> None:
    made = choice(instance("a"), instance("b"))
    made.sent(state_of(made, "a"), 0.0, unread_tokens=20_000)
    made.sent(state_of(made, "b"), 0.0)
    made.sent(state_of(made, "b"), 0.0)
    assert chosen(made) == "b"


def test_one_that_drains_is_not_chosen() -> None:
    made = choice(instance("a"), instance("b"))
    made.put(instance("a", accepting=False))
    assert {chosen(made) for _ in range(20)} == {"b"}


def test_one_that_drained_and_is_gone_is_forgotten() -> None:
    made = choice(instance("a"))
    made.put(instance("a", accepting=False))
    made.remove("a", 0.0)
    assert made.choose("s", 0.0) is None


def test_one_of_several_that_vanishes_gets_nothing_more() -> None:
    made = choice(instance("a"), instance("b"), instance("c"))
    made.remove("a", 0.0)
    assert {chosen(made, 0.1) for _ in range(30)} == {"b", "c"}


def test_when_most_entries_vanish_at_once_the_back_ends_are_still_used() -> None:
    """Incident inc-9857: entries lapsed in an outage of discovery, and everything was refused."""
    made = choice(instance("a"), instance("b"), instance("c"))
    for name in "abc":
        made.remove(name, 0.0, in_outage=True)
    assert {chosen(made, 5.0) for _ in range(50)} == {"a", "b", "c"}
    made.put(instance("a"))
    assert {chosen(made, 0.2) for _ in range(50)} == {"a", "b", "c"}
    made.put(instance("b"))
    assert {chosen(made, 0.3) for _ in range(50)} == {"a", "b"}


def test_most_of_a_service_that_leaves_unannounced_gets_nothing_after_its_time() -> None:
    """Hunt, tulegen mix --seed 214331804298: two of three servers left without a drain."""
    made = choice(instance("a"), instance("b"), instance("c"))
    made.remove("a", 0.0)
    made.remove("b", 0.5)
    assert {chosen(made, 2.1) for _ in range(50)} == {"c"}


def test_vanished_entries_do_not_count_for_ever() -> None:
    made = choice(instance("a"))
    made.remove("a", 0.0)
    assert made.choose("s", 60.0) is None


def test_a_failure_is_avoided_for_a_while_and_longer_each_time() -> None:
    made = choice(instance("a"), instance("b"))
    state = state_of(made, "a")
    first = made.failed(state, 0.0)
    assert {chosen(made, 0.1) for _ in range(20)} == {"b"}
    assert made.failed(state, 10.0) > first
    assert not state.avoided(100.0)


def test_silence_is_avoided_until_a_byte_comes() -> None:
    made = choice(instance("a"), instance("b"))
    state = state_of(made, "a")
    use = made.sent(state, 0.0)
    assert state.avoided(2.0)
    made.answered(state, use)
    assert not state.avoided(2.0)


def test_what_the_granting_node_avoids_is_avoided() -> None:
    made = choice(instance("a"), instance("b"))
    made.load_told("a", 0, 0, True, 0.0)
    made.load_told("b", 5, 0, False, 0.0)
    assert chosen(made, 0.1) == "b"


def test_silence_is_told_as_long_as_it_lasts() -> None:
    made = choice(instance("a"), instance("b"))
    use = made.sent(state_of(made, "a"), 0.0)
    assert made.silent_instances(0.1) == set()
    assert made.silent_instances(1.0) == {"a"}
    made.answered(state_of(made, "a"), use)
    assert made.silent_instances(1.1) == set()


def test_reading_a_long_prompt_is_no_silence() -> None:
    made = choice(instance("a"))
    state = state_of(made, "a")
    made.sent(state, 0.0, unread_tokens=30_000)
    assert not state.silent(0.9)
    assert state.silent(1.3)


def test_if_all_are_avoided_one_is_tried_all_the_same() -> None:
    made = choice(instance("a"))
    made.failed(state_of(made, "a"), 0.0)
    assert chosen(made, 0.1) == "a"


def test_a_shared_prompt_goes_where_it_went_before() -> None:
    made = choice(*(instance(name) for name in "abcdef"))
    assert len({chosen(made, affinity_key="p1") for _ in range(20)}) == 1


def test_a_shared_prompt_moves_on_when_its_place_is_full() -> None:
    made = choice(*(instance(name) for name in "abcdef"))
    first = chosen(made, affinity_key="p1")
    for _ in range(10):
        made.sent(state_of(made, first), 0.0)
    assert chosen(made, affinity_key="p1") != first


def test_a_shared_prompt_stays_where_all_places_are_full() -> None:
    made = choice(*(instance(name) for name in "abc"))
    first = chosen(made, affinity_key="p1")
    for name in "abc":
        for _ in range(11):
            made.sent(state_of(made, name), 0.0)
    assert chosen(made, affinity_key="p1") == first


def test_the_own_zone_is_preferred_at_equal_load() -> None:
    made = choice(instance("far", zone="y"), instance("near"))
    assert {chosen(made) for _ in range(20)} == {"near"}


def test_nodes_with_the_same_old_picture_do_not_all_choose_the_same_back_end() -> None:
    servers = [f"s{n}" for n in range(36)]
    loads = {name: n % 6 for n, name in enumerate(servers)}
    arrivals = dict.fromkeys(servers, 0)
    for node in range(76):
        made = BackendChoice("z", Random(node))
        for name in servers:
            made.put(instance(name, slots=9))
        for name in servers:
            made.load_told(name, loads[name], 0, False, 0.0)
        made.rates_told({"s": 90.0}, 0.0)
        arrivals[chosen(made, 0.8)] += 1
    assert max(arrivals[name] + loads[name] for name in servers) <= 9


def test_a_back_end_that_fails_at_once_is_left() -> None:
    made = choice(instance("a"), instance("b"), instance("c"))
    for _ in range(2):
        made.turned_out(state_of(made, "a"), False, 0.0)
    assert {chosen(made, 0.1) for _ in range(20)} == {"b", "c"}
    assert "a" in {chosen(made, 9.0) for _ in range(50)}


def test_where_everything_fails_nothing_is_left_out() -> None:
    made = choice(*(instance(name) for name in "abcdef"))
    for name in "abcdef":
        for _ in range(3):
            made.turned_out(state_of(made, name), False, 0.0)
    assert len({chosen(made, 0.1) for _ in range(200)}) == 6
