"""Entries of back ends that restart under the same id, become invalid, or arrive late."""

import json
from random import Random
from unittest import mock

from wharfcart.cluster.coordination import KeyChange
from wharfcart.node.backend_updates import BackendUpdates
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.routing.backend_selection import BackendSelector


class Node:
    """One node's state of the back ends."""

    def __init__(self) -> None:
        self.selector = BackendSelector("z", Random(1))
        self.pool = mock.Mock()
        self.log = mock.Mock(spec=DecisionLog)
        self.updates = BackendUpdates(
            self.selector, self.pool, lambda: False, lambda: 0.0, self.log
        )
        self.revision = 0

    def apply(self, name: str = "a", **entry: object) -> None:
        self.revision += 1
        fields = {"backend": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 4}
        value = json.dumps({**fields, "state": "ready", **entry}).encode()
        self.updates.apply(KeyChange(f"servers/{name}", self.revision, value))

    def logged_events(self) -> list[Event]:
        self.updates.log_pending()
        return [call.args[0] for call in self.log.write.call_args_list]

    def chosen_instance(self) -> str | None:
        state = self.selector.select("s", 0.0)
        return None if state is None else state.instance.instance_id


def test_restarted_back_end_starts_with_fresh_state() -> None:
    node = Node()
    node.apply(born=1_000)
    before = node.selector.state("a")
    assert before is not None
    node.selector.record_sent(before, 0.0)
    node.selector.record_failure(before, 0.0)
    node.apply(born=5_000)
    state = node.selector.state("a")
    assert state is not None and state is not before
    assert (state.in_flight, state.failures, state.unanswered_since) == (0, 0, {})
    node.pool.drop_instance.assert_called_once_with("a")
    assert Event.BACKEND_RESTARTED in node.logged_events()
    assert node.chosen_instance() == "a"


def test_changed_entry_keeps_the_same_instance() -> None:
    node = Node()
    node.apply(born=1_000)
    before = node.selector.state("a")
    node.apply(born=1_000, slots=5)
    node.apply(slots=6)
    assert node.selector.state("a") is before
    assert before is not None and (before.instance.slots, before.instance.started_at_ms) == (
        6,
        1_000,
    )
    node.pool.drop_instance.assert_not_called()


def test_late_entry_of_an_earlier_instance_is_ignored() -> None:
    node = Node()
    node.apply(born=5_000)
    node.apply(born=1_000, state="draining")
    state = node.selector.state("a")
    assert state is not None and state.instance.accepting
    assert state.instance.started_at_ms == 5_000
    assert Event.BACKEND_DRAINING not in node.logged_events()


def test_invalid_entry_removes_only_its_own_back_end() -> None:
    node = Node()
    node.apply("a")
    node.apply("b")
    node.apply("a", slots=-1)
    assert node.selector.state("a") is None
    assert node.chosen_instance() == "b"
    assert Event.BACKEND_ENTRY_REFUSED in node.logged_events()
    node.apply("a")
    assert node.selector.state("a") is not None


def test_a_load_report_of_an_earlier_instance_does_not_count_for_the_next() -> None:
    """Guards against a wrong choice: an answer may arrive after the restart is known."""
    node = Node()
    node.apply(born=1_000)
    before = node.selector.state("a")
    assert before is not None
    node.apply(born=5_000)
    node.selector.record_reported_load(before, 8, 8, 0.0)
    state = node.selector.state("a")
    assert state is not None
    assert state.load(0.0) == 0
