"""Choice of a back end."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.backend_selection import SNAPSHOT_TTL_S, BackendSelector, InstanceState


def instance(
    name: str, zone: str = "z", slots: int = 10, accepting: bool = True
) -> BackendInstance:
    return BackendInstance(name, "s", "127.0.0.1", 1, zone, slots, accepting)


def make_selector(*instances: BackendInstance) -> BackendSelector:
    made = BackendSelector("z", Random(1))
    for item in instances:
        made.put(item)
    return made


def selected_id(selector: BackendSelector, now: float = 0.0, **more) -> str:
    state = selector.select("s", now, **more)
    assert state is not None
    return state.instance.instance_id


def state_of(selector: BackendSelector, name: str) -> InstanceState:
    state = selector.state(name)
    assert state is not None
    return state


def test_the_least_loaded_is_chosen() -> None:
    made = make_selector(instance("a"), instance("b"))
    for _ in range(3):
        made.record_sent(state_of(made, "a"), 0.0)
    assert selected_id(made) == "b"


def test_load_of_other_nodes_counts() -> None:
    made = make_selector(instance("a"), instance("b"))
    made.load_received("a", 5, 0, False, 0.0)
    assert selected_id(made, 0.1) == "b"


def test_own_requests_are_not_counted_twice() -> None:
    made = make_selector(instance("a"))
    use = made.record_sent(state_of(made, "a"), 0.0)
    made.load_received("a", 3, 0, False, 0.0)
    assert state_of(made, "a").load(0.1) == 0.3
    made.record_finished(state_of(made, "a"), use)
    assert state_of(made, "a").load(0.1) == 0.2


def test_expired_snapshot_is_ignored() -> None:
    made = make_selector(instance("a"), instance("b"))
    made.load_received("a", 5, 0, True, 0.0)
    assert state_of(made, "a").load(SNAPSHOT_TTL_S) == 0
    assert not state_of(made, "a").should_avoid(SNAPSHOT_TTL_S)


def test_unread_prompt_tokens_count_as_load() -> None:
    made = make_selector(instance("a"), instance("b"))
    made.record_sent(state_of(made, "a"), 0.0, unread_tokens=20_000)
    made.record_sent(state_of(made, "b"), 0.0)
    made.record_sent(state_of(made, "b"), 0.0)
    assert selected_id(made) == "b"


def test_draining_instance_is_not_selected() -> None:
    made = make_selector(instance("a"), instance("b"))
    made.put(instance("a", accepting=False))
    assert {selected_id(made) for _ in range(20)} == {"b"}


def test_removed_instance_that_drained_is_not_selected() -> None:
    made = make_selector(instance("a"))
    made.put(instance("a", accepting=False))
    made.remove("a", 0.0)
    assert made.select("s", 0.0) is None


def test_single_vanished_instance_is_not_selected() -> None:
    made = make_selector(instance("a"), instance("b"), instance("c"))
    made.remove("a", 0.0)
    assert {selected_id(made, 0.1) for _ in range(30)} == {"b", "c"}


def test_instances_are_still_used_when_most_entries_vanish() -> None:
    """Incident inc-9857: entries lapsed in an outage of discovery, and everything was refused."""
    made = make_selector(instance("a"), instance("b"), instance("c"))
    for name in "abc":
        made.remove(name, 0.0, in_outage=True)
    assert {selected_id(made, 5.0) for _ in range(50)} == {"a", "b", "c"}
    made.put(instance("a"))
    assert {selected_id(made, 0.2) for _ in range(50)} == {"a", "b", "c"}
    made.put(instance("b"))
    assert {selected_id(made, 0.3) for _ in range(50)} == {"a", "b"}


def test_vanished_instances_expire_without_a_discovery_outage() -> None:
    """Hunt, tulegen mix --seed 214331804298: two of three servers left without a drain."""
    made = make_selector(instance("a"), instance("b"), instance("c"))
    made.remove("a", 0.0)
    made.remove("b", 0.5)
    assert {selected_id(made, 2.1) for _ in range(50)} == {"c"}


def test_vanished_entries_expire() -> None:
    made = make_selector(instance("a"))
    made.remove("a", 0.0)
    assert made.select("s", 60.0) is None


def test_back_off_grows_with_each_failure() -> None:
    made = make_selector(instance("a"), instance("b"))
    state = state_of(made, "a")
    first = made.record_failure(state, 0.0)
    assert {selected_id(made, 0.1) for _ in range(20)} == {"b"}
    assert made.record_failure(state, 10.0) > first
    assert not state.should_avoid(100.0)


def test_unresponsive_instance_is_avoided_until_its_first_byte() -> None:
    made = make_selector(instance("a"), instance("b"))
    state = state_of(made, "a")
    use = made.record_sent(state, 0.0)
    assert state.should_avoid(2.0)
    made.record_first_byte(state, use)
    assert not state.should_avoid(2.0)


def test_instance_avoided_by_the_granting_node_is_avoided() -> None:
    made = make_selector(instance("a"), instance("b"))
    made.load_received("a", 0, 0, True, 0.0)
    made.load_received("b", 5, 0, False, 0.0)
    assert selected_id(made, 0.1) == "b"


def test_unresponsive_instances_are_listed_until_they_answer() -> None:
    made = make_selector(instance("a"), instance("b"))
    use = made.record_sent(state_of(made, "a"), 0.0)
    assert made.unresponsive_instances(0.1) == set()
    assert made.unresponsive_instances(1.0) == {"a"}
    made.record_first_byte(state_of(made, "a"), use)
    assert made.unresponsive_instances(1.1) == set()


def test_long_prefill_does_not_count_as_unresponsive() -> None:
    made = make_selector(instance("a"))
    state = state_of(made, "a")
    made.record_sent(state, 0.0, unread_tokens=30_000)
    assert not state.is_unresponsive(0.9)
    assert state.is_unresponsive(1.3)


def test_avoided_instance_is_selected_if_all_are_avoided() -> None:
    made = make_selector(instance("a"))
    made.record_failure(state_of(made, "a"), 0.0)
    assert selected_id(made, 0.1) == "a"


def test_shared_prompt_has_affinity() -> None:
    made = make_selector(*(instance(name) for name in "abcdef"))
    assert len({selected_id(made, affinity_key="p1") for _ in range(20)}) == 1


def test_affinity_yields_to_overload() -> None:
    made = make_selector(*(instance(name) for name in "abcdef"))
    first = selected_id(made, affinity_key="p1")
    for _ in range(10):
        made.record_sent(state_of(made, first), 0.0)
    assert selected_id(made, affinity_key="p1") != first


def test_affinity_is_kept_if_all_are_overloaded() -> None:
    made = make_selector(*(instance(name) for name in "abc"))
    first = selected_id(made, affinity_key="p1")
    for name in "abc":
        for _ in range(11):
            made.record_sent(state_of(made, name), 0.0)
    assert selected_id(made, affinity_key="p1") == first


def test_own_zone_is_preferred_at_equal_load() -> None:
    made = make_selector(instance("far", zone="y"), instance("near"))
    assert {selected_id(made) for _ in range(20)} == {"near"}


def test_nodes_with_the_same_stale_snapshot_spread_their_requests() -> None:
    servers = [f"s{n}" for n in range(36)]
    loads = {name: n % 6 for n, name in enumerate(servers)}
    arrivals = dict.fromkeys(servers, 0)
    for node in range(76):
        made = BackendSelector("z", Random(node))
        for name in servers:
            made.put(instance(name, slots=9))
        for name in servers:
            made.load_received(name, loads[name], 0, False, 0.0)
        made.rates_received({"s": 90.0}, 0.0)
        arrivals[selected_id(made, 0.8)] += 1
    assert max(arrivals[name] + loads[name] for name in servers) <= 9


def test_failing_instance_is_avoided() -> None:
    made = make_selector(instance("a"), instance("b"), instance("c"))
    for _ in range(2):
        made.record_outcome(state_of(made, "a"), False, 0.0)
    assert {selected_id(made, 0.1) for _ in range(20)} == {"b", "c"}
    assert "a" in {selected_id(made, 9.0) for _ in range(50)}


def test_no_instance_is_avoided_if_all_fail() -> None:
    made = make_selector(*(instance(name) for name in "abcdef"))
    for name in "abcdef":
        for _ in range(3):
            made.record_outcome(state_of(made, name), False, 0.0)
    assert len({selected_id(made, 0.1) for _ in range(200)}) == 6
