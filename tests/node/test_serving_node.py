"""What a node believes of back ends, and what it logs when that changes."""

import json
from time import monotonic
from typing import Any

from wharfcart.cluster.coordination import Change, Changes
from wharfcart.configuration.serving import ColdLimit
from wharfcart.node.serving_node import ServingNode
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import names
from wharfcart.settings.serving import ServingSettings


class RecordingLog(DecisionLog):
    def __init__(self) -> None:
        super().__init__("n")
        self.lines: list[tuple[Event, dict[str, Any]]] = []

    def write(self, event: Event, **fields: object) -> None:
        self.lines.append((event, fields))


def entry(revision: int, state: str, instance_id: str = "i-1") -> Change:
    value = {"backend": "lm", "address": "127.0.0.1:1", "zone": "z", "slots": 4, "state": state}
    return Change(names.SERVER_PREFIX + instance_id, revision, json.dumps(value).encode())


def node_and_log() -> tuple[ServingNode, RecordingLog]:
    log = RecordingLog()
    settings = ServingSettings(
        node_id="n", zone="z", coordination="127.0.0.1:1", cluster_listen="127.0.0.1:2"
    )
    return ServingNode(settings, log), log


def test_a_back_end_that_is_seen_drains_and_leaves_is_logged_at_each_step() -> None:
    """Incident inc-1cac: no line told that a back end drained."""
    node, log = node_and_log()
    node._on_changes([entry(1, "ready")])
    node._on_changes([entry(2, "draining")])
    node._on_changes([Change(names.SERVER_PREFIX + "i-1", 3, None)])
    assert [event for event, _ in log.lines] == [
        Event.BACKEND_SEEN,
        Event.BACKEND_DRAINING,
        Event.BACKEND_GONE,
    ]
    assert [fields["revision"] for _, fields in log.lines] == [1, 2, 3]


def test_many_back_ends_that_change_at_once_are_told_in_one_line() -> None:
    node, log = node_and_log()
    node._on_changes([entry(n, "ready", f"i-{n}") for n in range(1, 85)])
    assert len(log.lines) == 1
    event, fields = log.lines[0]
    assert event is Event.BACKEND_SEEN
    assert fields["backends"] == [f"i-{n}" for n in range(1, 85)]


def test_a_back_end_that_left_unseen_after_a_drain_is_told_from_one_that_lapsed() -> None:
    for last, drained in ((b'{"state": "draining"}', False), (entry(2, "draining").value, True)):
        node, log = node_and_log()
        node._on_changes([entry(1, "ready")])
        node._on_changes([Change(names.SERVER_PREFIX + "i-1", 3, None, last)])
        assert log.lines[-1][1]["drained"] is drained


def test_a_region_that_no_zone_is_in_is_told_with_its_place() -> None:
    log = RecordingLog()
    settings = ServingSettings(
        node_id="n",
        zone="z",
        coordination="127.0.0.1:1",
        cluster_listen="127.0.0.1:2",
        regions_by_zone={"z": "west", "y": "east"},
    )
    node = ServingNode(settings, log)
    route = {
        "hostname": "h",
        "pathPrefix": "/a/",
        "kind": "safe",
        "backend": "lm",
        "timeoutMs": 1000,
    }
    routes = [
        route | {"name": "good", "allowedRegions": ["west"]},
        route | {"name": "bad", "pathPrefix": "/b/", "allowedRegions": ["west", "wset"]},
    ]
    tenants = [{"name": "t", "apiKeys": [], "allowedRegions": ["north"]}]
    body = {"version": 3, "routes": routes, "services": [], "tenants": tenants}
    node._on_changes([Change(names.CONFIGURATION_KEY, 9, json.dumps(body).encode())])
    findings = [fields for event, fields in log.lines if event is Event.CONFIGURATION_FINDING]
    assert [(line["version"], line["place"]) for line in findings] == [
        (3, "routes.bad.residence"),
        (3, "tenants.t.residence"),
    ]
    assert "'wset'" in findings[0]["reason"]


def order(zone: str, revision: int, given_back: bool = False) -> Change:
    return Change(names.EVACUATE_PREFIX + zone, revision, None if given_back else b"{}")


def in_zone(revision: int, zone: str, instance_id: str, cold_ms: int = 0) -> Change:
    value = {
        "backend": "lm",
        "address": "127.0.0.1:1",
        "slots": 4,
        "state": "ready",
        "zone": zone,
        "warmupLeftMs": cold_ms,
    }
    return Change(names.SERVER_PREFIX + instance_id, revision, json.dumps(value).encode())


def accepting(node: ServingNode) -> list[str]:
    return [
        state.instance.instance_id for state in node.choice.accepting_instances("lm", monotonic())
    ]


def test_a_zone_is_emptied_in_the_step_in_which_the_order_comes_until_it_is_taken_back() -> None:
    node, log = node_and_log()
    node._on_changes([in_zone(1, "a", "i-a"), in_zone(2, "b", "i-b")])
    node._on_changes([order("a", 3)])
    assert accepting(node) == ["i-b"]
    node._on_changes([order("b", 4), order("a", 5, given_back=True)])
    assert accepting(node) == ["i-a"]
    events = [event for event, _ in log.lines if event.name.startswith("EVACUATION")]
    assert events == [Event.EVACUATION_BEGUN, Event.EVACUATION_BEGUN, Event.EVACUATION_ENDED]


def test_a_node_that_starts_while_a_zone_is_emptied_knows_it_with_its_first_back_ends() -> None:
    node, _ = node_and_log()
    listing = Changes((in_zone(1, "a", "i-a"), order("a", 2)), at=3, complete=True)
    node._on_changes(node.mirror.apply(listing))
    assert accepting(node) == []


def test_an_order_that_was_taken_back_while_the_node_was_cut_off_ends_with_the_next_listing() -> (
    None
):
    node, _ = node_and_log()
    node.choice.cold.limits = {"lm": ColdLimit(4.0, 3.0)}
    node._on_changes(node.mirror.apply(Changes((in_zone(1, "a", "i-a"), order("a", 2)), at=3)))
    listing = Changes((in_zone(1, "a", "i-a"),), at=9, complete=True)
    node._on_changes(node.mirror.apply(listing))
    assert accepting(node) == ["i-a"]
    # It may have turned cold before: its entry is older than the order's end.
    assert len(node.choice.cold_instances(monotonic())) == 1
    node._on_changes([in_zone(10, "a", "i-a")])
    assert not node.choice.cold_instances(monotonic())


def test_an_emptied_zone_is_told_to_be_quiet_once_nothing_of_this_node_runs_there() -> None:
    node, log = node_and_log()
    node._on_changes([in_zone(1, "a", "i-a")])
    state = node.choice.state("i-a")
    assert state is not None
    use = node.choice.record_sent(state, monotonic())
    node._on_changes([order("a", 2)])
    node._evacuations.look(monotonic())
    assert b'in_flight{zone="a"} 1.0' in node.metrics.render()
    node.choice.record_finished(state, use)
    for _ in range(2):
        node._evacuations.look(monotonic())
    assert [event for event, _ in log.lines].count(Event.EVACUATION_QUIET) == 1
    assert b'in_flight{zone="a"} 0.0' in node.metrics.render()


def test_a_back_end_that_tells_it_is_cold_is_logged_and_warm_again_when_it_says_so() -> None:
    node, log = node_and_log()
    node.choice.cold.limits = {"lm": ColdLimit(4.0, 3.0)}
    node._on_changes([in_zone(1, "a", "i-a", cold_ms=60_000)])
    assert log.lines[-1][0] is Event.BACKEND_COLD
    assert len(node.choice.cold_instances(monotonic())) == 1
    node._on_changes([in_zone(2, "a", "i-a")])
    assert not node.choice.cold_instances(monotonic())
