"""Selection of a back-end instance."""

from random import Random

from wharfcart.configuration.instances import BackendInstance
from wharfcart.routing.backend_selection import SNAPSHOT_TTL_S, BackendSelector, InstanceState


def instance(
    name: str, zone: str = "z", slots: int = 10, accepting: bool = True
) -> BackendInstance:
    return BackendInstance(name, "s", "127.0.0.1", 1, zone, slots, accepting)


def make_selector(*instances: BackendInstance) -> BackendSelector:
    selector = BackendSelector("z", Random(1))
    for item in instances:
        selector.put(item)
    return selector


def selected_id(selector: BackendSelector, now: float = 0.0, **more) -> str:
    state = selector.select("s", now, **more)
    assert state is not None
    return state.instance.instance_id


def state_of(selector: BackendSelector, name: str) -> InstanceState:
    state = selector.state(name)
    assert state is not None
    return state


def test_the_least_loaded_is_chosen() -> None:
    selector = make_selector(instance("a"), instance("b"))
    for _ in range(3):
        selector.record_sent(state_of(selector, "a"), 0.0)
    assert selected_id(selector) == "b"


def test_load_of_other_nodes_counts() -> None:
    selector = make_selector(instance("a"), instance("b"))
    selector.load_received("a", 5, 0, False, 0.0)
    assert selected_id(selector, 0.1) == "b"


def test_own_requests_are_not_counted_twice() -> None:
    selector = make_selector(instance("a"))
    use = selector.record_sent(state_of(selector, "a"), 0.0)
    selector.load_received("a", 3, 0, False, 0.0)
    assert state_of(selector, "a").load(0.1) == 0.3
    selector.record_finished(state_of(selector, "a"), use)
    assert state_of(selector, "a").load(0.1) == 0.2


def test_expired_snapshot_is_ignored() -> None:
    selector = make_selector(instance("a"), instance("b"))
    selector.load_received("a", 5, 0, True, 0.0)
    assert state_of(selector, "a").load(SNAPSHOT_TTL_S) == 0
    assert not state_of(selector, "a").should_avoid(SNAPSHOT_TTL_S)


def test_unread_prompt_tokens_count_as_load() -> None:
    selector = make_selector(instance("a"), instance("b"))
    selector.record_sent(state_of(selector, "a"), 0.0, unread_tokens=20_000)
    selector.record_sent(state_of(selector, "b"), 0.0)
    selector.record_sent(state_of(selector, "b"), 0.0)
    assert selected_id(selector) == "b"


def test_draining_instance_is_not_selected() -> None:
    selector = make_selector(instance("a"), instance("b"))
    selector.put(instance("a", accepting=False))
    assert {selected_id(selector) for _ in range(20)} == {"b"}


def test_removed_instance_that_drained_is_not_selected() -> None:
    selector = make_selector(instance("a"))
    selector.put(instance("a", accepting=False))
    selector.remove("a", 0.0)
    assert selector.select("s", 0.0) is None


def test_single_vanished_instance_is_not_selected() -> None:
    selector = make_selector(instance("a"), instance("b"), instance("c"))
    selector.remove("a", 0.0)
    assert {selected_id(selector, 0.1) for _ in range(30)} == {"b", "c"}


def test_instances_are_still_used_when_most_entries_vanish() -> None:
    """Guards against refusing everything when entries lapse in an outage of discovery."""
    selector = make_selector(instance("a"), instance("b"), instance("c"))
    for name in "abc":
        selector.remove(name, 0.0, in_outage=True)
    assert {selected_id(selector, 5.0) for _ in range(50)} == {"a", "b", "c"}
    selector.put(instance("a"))
    assert {selected_id(selector, 0.2) for _ in range(50)} == {"a", "b", "c"}
    selector.put(instance("b"))
    assert {selected_id(selector, 0.3) for _ in range(50)} == {"a", "b"}


def test_vanished_instances_expire_without_a_discovery_outage() -> None:
    """Guards against sending to instances that were removed without a drain."""
    selector = make_selector(instance("a"), instance("b"), instance("c"))
    selector.remove("a", 0.0)
    selector.remove("b", 0.5)
    assert {selected_id(selector, 2.1) for _ in range(50)} == {"c"}


def test_vanished_entries_expire() -> None:
    selector = make_selector(instance("a"))
    selector.remove("a", 0.0)
    assert selector.select("s", 60.0) is None


def test_back_off_grows_with_each_failure() -> None:
    selector = make_selector(instance("a"), instance("b"))
    state = state_of(selector, "a")
    first = selector.record_failure(state, 0.0)
    assert {selected_id(selector, 0.1) for _ in range(20)} == {"b"}
    assert selector.record_failure(state, 10.0) > first
    assert not state.should_avoid(100.0)


def test_unresponsive_instance_is_avoided_until_its_first_byte() -> None:
    selector = make_selector(instance("a"), instance("b"))
    state = state_of(selector, "a")
    use = selector.record_sent(state, 0.0)
    assert state.should_avoid(2.0)
    selector.record_first_byte(state, use)
    assert not state.should_avoid(2.0)


def test_instance_avoided_by_the_granting_node_is_avoided() -> None:
    selector = make_selector(instance("a"), instance("b"))
    selector.load_received("a", 0, 0, True, 0.0)
    selector.load_received("b", 5, 0, False, 0.0)
    assert selected_id(selector, 0.1) == "b"


def test_unresponsive_instances_are_listed_until_they_answer() -> None:
    selector = make_selector(instance("a"), instance("b"))
    use = selector.record_sent(state_of(selector, "a"), 0.0)
    assert selector.unresponsive_instances(0.1) == set()
    assert selector.unresponsive_instances(1.0) == {"a"}
    selector.record_first_byte(state_of(selector, "a"), use)
    assert selector.unresponsive_instances(1.1) == set()


def test_long_prefill_does_not_count_as_unresponsive() -> None:
    selector = make_selector(instance("a"))
    state = state_of(selector, "a")
    selector.record_sent(state, 0.0, unread_tokens=30_000)
    assert not state.is_unresponsive(0.9)
    assert state.is_unresponsive(1.3)


def test_avoided_instance_is_selected_if_all_are_avoided() -> None:
    selector = make_selector(instance("a"))
    selector.record_failure(state_of(selector, "a"), 0.0)
    assert selected_id(selector, 0.1) == "a"


def test_shared_prompt_has_affinity() -> None:
    selector = make_selector(*(instance(name) for name in "abcdef"))
    assert len({selected_id(selector, affinity_key="p1") for _ in range(20)}) == 1


def test_affinity_yields_to_overload() -> None:
    selector = make_selector(*(instance(name) for name in "abcdef"))
    first = selected_id(selector, affinity_key="p1")
    for _ in range(10):
        selector.record_sent(state_of(selector, first), 0.0)
    assert selected_id(selector, affinity_key="p1") != first


def test_affinity_is_kept_if_all_are_overloaded() -> None:
    selector = make_selector(*(instance(name) for name in "abc"))
    first = selected_id(selector, affinity_key="p1")
    for name in "abc":
        for _ in range(11):
            selector.record_sent(state_of(selector, name), 0.0)
    assert selected_id(selector, affinity_key="p1") == first


def test_own_zone_is_preferred_at_equal_load() -> None:
    selector = make_selector(instance("far", zone="y"), instance("near"))
    assert {selected_id(selector) for _ in range(20)} == {"near"}


def test_nodes_with_the_same_stale_snapshot_spread_their_requests() -> None:
    instance_ids = [f"s{n}" for n in range(36)]
    loads = {name: n % 6 for n, name in enumerate(instance_ids)}
    arrivals = dict.fromkeys(instance_ids, 0)
    for node in range(76):
        selector = BackendSelector("z", Random(node))
        for name in instance_ids:
            selector.put(instance(name, slots=9))
        for name in instance_ids:
            selector.load_received(name, loads[name], 0, False, 0.0)
        selector.rates_received({"s": 90.0}, 0.0)
        arrivals[selected_id(selector, 0.8)] += 1
    assert max(arrivals[name] + loads[name] for name in instance_ids) <= 9


def test_failing_instance_is_avoided() -> None:
    selector = make_selector(instance("a"), instance("b"), instance("c"))
    for _ in range(2):
        selector.record_outcome(state_of(selector, "a"), False, 0.0)
    assert {selected_id(selector, 0.1) for _ in range(20)} == {"b", "c"}
    assert "a" in {selected_id(selector, 9.0) for _ in range(50)}


def test_no_instance_is_avoided_if_all_fail() -> None:
    selector = make_selector(*(instance(name) for name in "abcdef"))
    for name in "abcdef":
        for _ in range(3):
            selector.record_outcome(state_of(selector, name), False, 0.0)
    assert len({selected_id(selector, 0.1) for _ in range(200)}) == 6
