"""A node's state of back ends and zones, and the log lines when it changes."""

import json
from time import monotonic
from typing import Any

import pytest

from wharfcart.cluster.coordination import ChangeBatch, KeyChange
from wharfcart.configuration.serving import ColdLimit
from wharfcart.node.fleet_keys import GROUP_PREFIX, LAYOUT_KEY, NODE_PREFIX
from wharfcart.node.serving_node import ServingNode
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.tasks import failures_by_task
from wharfcart.platform import names
from wharfcart.settings.serving import ServingSettings


class RecordingLog(DecisionLog):
    def __init__(self) -> None:
        super().__init__("n")
        self.lines: list[tuple[Event, dict[str, Any]]] = []

    def write(self, event: Event, **fields: object) -> None:
        self.lines.append((event, fields))


def entry(revision: int, state: str, instance_id: str = "i-1") -> KeyChange:
    value = {"backend": "lm", "address": "127.0.0.1:1", "zone": "z", "slots": 4, "state": state}
    return KeyChange(names.SERVER_PREFIX + instance_id, revision, json.dumps(value).encode())


def node_and_log() -> tuple[ServingNode, RecordingLog]:
    log = RecordingLog()
    settings = ServingSettings(
        node_id="n", zone="z", coordination="127.0.0.1:1", cluster_listen="127.0.0.1:2"
    )
    return ServingNode(settings, log), log


def test_each_lifecycle_step_of_a_back_end_is_logged() -> None:
    """Each step must be logged, including the start of a drain."""
    node, log = node_and_log()
    node._apply_changes([entry(1, "ready")])
    node._apply_changes([entry(2, "draining")])
    node._apply_changes([KeyChange(names.SERVER_PREFIX + "i-1", 3, None)])
    assert [event for event, _ in log.lines] == [
        Event.BACKEND_SEEN,
        Event.BACKEND_DRAINING,
        Event.BACKEND_GONE,
    ]
    assert [fields["revision"] for _, fields in log.lines] == [1, 2, 3]


def test_simultaneous_changes_share_one_log_line() -> None:
    node, log = node_and_log()
    node._apply_changes([entry(n, "ready", f"i-{n}") for n in range(1, 85)])
    assert len(log.lines) == 1
    event, fields = log.lines[0]
    assert event is Event.BACKEND_SEEN
    assert fields["backends"] == [f"i-{n}" for n in range(1, 85)]


def test_removal_after_a_missed_drain_is_logged_as_drained() -> None:
    for last, drained in ((b'{"state": "draining"}', False), (entry(2, "draining").value, True)):
        node, log = node_and_log()
        node._apply_changes([entry(1, "ready")])
        node._apply_changes([KeyChange(names.SERVER_PREFIX + "i-1", 3, None, last)])
        assert log.lines[-1][1]["drained"] is drained


def test_unknown_region_is_logged_as_a_finding() -> None:
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
    node._apply_changes([KeyChange(names.CONFIGURATION_KEY, 9, json.dumps(body).encode())])
    findings = [fields for event, fields in log.lines if event is Event.CONFIGURATION_FINDING]
    assert [(line["version"], line["place"]) for line in findings] == [
        (3, "routes.bad.residence"),
        (3, "tenants.t.residence"),
    ]
    assert "'wset'" in findings[0]["reason"]


def evacuation_order(zone: str, revision: int, withdrawn: bool = False) -> KeyChange:
    return KeyChange(names.EVACUATE_PREFIX + zone, revision, None if withdrawn else b"{}")


def entry_in_zone(revision: int, zone: str, instance_id: str, cold_ms: int = 0) -> KeyChange:
    value = {
        "backend": "lm",
        "address": "127.0.0.1:1",
        "slots": 4,
        "state": "ready",
        "zone": zone,
        "warmupLeftMs": cold_ms,
    }
    return KeyChange(names.SERVER_PREFIX + instance_id, revision, json.dumps(value).encode())


def accepting_ids(node: ServingNode) -> list[str]:
    return [
        state.instance.instance_id for state in node.selector.accepting_instances("lm", monotonic())
    ]


def test_evacuation_takes_effect_at_once_and_ends_when_withdrawn() -> None:
    node, log = node_and_log()
    node._apply_changes([entry_in_zone(1, "a", "i-a"), entry_in_zone(2, "b", "i-b")])
    node._apply_changes([evacuation_order("a", 3)])
    assert accepting_ids(node) == ["i-b"]
    node._apply_changes([evacuation_order("b", 4), evacuation_order("a", 5, withdrawn=True)])
    assert accepting_ids(node) == ["i-a"]
    events = [event for event, _ in log.lines if event.name.startswith("EVACUATION")]
    assert events == [Event.EVACUATION_BEGUN, Event.EVACUATION_BEGUN, Event.EVACUATION_ENDED]


def test_first_listing_applies_a_running_evacuation() -> None:
    node, _ = node_and_log()
    listing = ChangeBatch(
        (entry_in_zone(1, "a", "i-a"), evacuation_order("a", 2)), last_revision=3, complete=True
    )
    node._apply_changes(node.mirror.apply(listing))
    assert accepting_ids(node) == []


def test_listing_without_the_order_ends_an_evacuation() -> None:
    node, _ = node_and_log()
    node.selector.cold.limits = {"lm": ColdLimit(4.0, 3.0)}
    node._apply_changes(
        node.mirror.apply(
            ChangeBatch((entry_in_zone(1, "a", "i-a"), evacuation_order("a", 2)), last_revision=3)
        )
    )
    listing = ChangeBatch((entry_in_zone(1, "a", "i-a"),), last_revision=9, complete=True)
    node._apply_changes(node.mirror.apply(listing))
    assert accepting_ids(node) == ["i-a"]
    # The entry is older than the end of the evacuation, so the back end may be cold.
    assert len(node.selector.cold_instances(monotonic())) == 1
    node._apply_changes([entry_in_zone(10, "a", "i-a")])
    assert not node.selector.cold_instances(monotonic())


def test_evacuated_zone_is_logged_as_quiet_once_nothing_is_in_flight() -> None:
    node, log = node_and_log()
    node._apply_changes([entry_in_zone(1, "a", "i-a")])
    state = node.selector.state("i-a")
    assert state is not None
    use = node.selector.record_sent(state, monotonic())
    node._apply_changes([evacuation_order("a", 2)])
    node._evacuations.check_in_flight(monotonic())
    assert b'in_flight{zone="a"} 1.0' in node.metrics.render()
    node.selector.record_finished(state, use)
    for _ in range(2):
        node._evacuations.check_in_flight(monotonic())
    assert [event for event, _ in log.lines].count(Event.EVACUATION_QUIET) == 1
    assert b'in_flight{zone="a"} 0.0' in node.metrics.render()


def test_cold_back_end_is_logged_and_becomes_warm() -> None:
    node, log = node_and_log()
    node.selector.cold.limits = {"lm": ColdLimit(4.0, 3.0)}
    node._apply_changes([entry_in_zone(1, "a", "i-a", cold_ms=60_000)])
    assert log.lines[-1][0] is Event.BACKEND_COLD
    assert len(node.selector.cold_instances(monotonic())) == 1
    node._apply_changes([entry_in_zone(2, "a", "i-a")])
    assert not node.selector.cold_instances(monotonic())


CONFIGURATION = {"version": 7, "routes": [], "services": []}
MALFORMED_CHANGES = [
    (names.CONFIGURATION_KEY, b"{"),
    (names.CONFIGURATION_KEY, b"[]"),
    (names.CONFIGURATION_KEY, b'{"version": 1e999, "routes": [], "services": []}'),
    (names.CONFIGURATION_KEY, b'{"version": ' + b"7" * 5000 + b"}"),
    (names.CONFIGURATION_KEY, b"[" * 100_000),
    (names.CONFIGURATION_KEY, b'{"version": 9, "routes": [7], "services": []}'),
    (names.SERVER_PREFIX + "i-9", b"[" * 100_000),
    (GROUP_PREFIX + "\u00b2", b"{}"),
    (GROUP_PREFIX + "0", b'{"epoch": "x"}'),
    (NODE_PREFIX + "n-9", b'{"no": "node"}'),
    (LAYOUT_KEY, b"7"),
    (names.EVACUATE_PREFIX + "z\udc80", b"\xff"),
]


# Guards against changes that are lost for good beside one that is malformed.
@pytest.mark.parametrize("place", [0, 1, 2])
@pytest.mark.parametrize(("key", "value"), MALFORMED_CHANGES)
def test_a_malformed_change_leaves_the_others_and_what_was_known_in_force(
    key: str, value: bytes, place: int
) -> None:
    node, _ = node_and_log()
    document = json.dumps(CONFIGURATION).encode()
    node._apply_changes([KeyChange(names.CONFIGURATION_KEY, 1, document)])
    changes = [entry(3, "ready", "i-1"), entry(4, "ready", "i-2")]
    changes.insert(place, KeyChange(key, 2, value))
    node._apply_changes(changes)
    known = {state.instance.instance_id for state in node.selector.states()}
    assert known == {"i-1", "i-2"}
    assert node.configuration is not None
    assert node.configuration.version == 7


def test_a_refused_change_is_logged_and_counted() -> None:
    node, log = node_and_log()
    before = failures_by_task["ServingNode._apply_change"]
    node._apply_changes([KeyChange(names.CONFIGURATION_KEY, 2, b"{")])
    ((event, fields),) = log.lines
    assert (event, fields["key"], fields["revision"]) == (Event.ENTRY_REFUSED, "op/config", 2)
    assert failures_by_task["ServingNode._apply_change"] == before + 1
