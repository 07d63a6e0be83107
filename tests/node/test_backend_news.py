"""Entries of back ends that start again under their id, turn bad, or come late."""

import json
from random import Random
from unittest import mock

from wharfcart.cluster.coordination import Change
from wharfcart.node.backend_news import BackendNews
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.routing.backend_selection import BackendSelector


class Node:
    """What one node knows of back ends."""

    def __init__(self) -> None:
        self.choice = BackendSelector("z", Random(1))
        self.pool = mock.Mock()
        self.log = mock.Mock(spec=DecisionLog)
        self.news = BackendNews(self.choice, self.pool, lambda: False, lambda: 0.0, self.log)
        self.revision = 0

    def take(self, name: str = "a", **entry: object) -> None:
        self.revision += 1
        fields = {"backend": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 4}
        value = json.dumps({**fields, "state": "ready", **entry}).encode()
        self.news.take(Change(f"servers/{name}", self.revision, value))

    def logged(self) -> list[Event]:
        self.news.tell()
        return [call.args[0] for call in self.log.write.call_args_list]

    def chosen(self) -> str | None:
        state = self.choice.select("s", 0.0)
        return None if state is None else state.instance.instance_id


def test_a_back_end_that_starts_again_under_its_id_begins_anew() -> None:
    node = Node()
    node.take(born=1_000)
    before = node.choice.state("a")
    assert before is not None
    node.choice.record_sent(before, 0.0)
    node.choice.record_failure(before, 0.0)
    node.take(born=5_000)
    state = node.choice.state("a")
    assert state is not None and state is not before
    assert (state.in_flight, state.failures, state.unanswered_since) == (0, 0, {})
    node.pool.drop_instance.assert_called_once_with("a")
    assert Event.BACKEND_RESTARTED in node.logged()
    assert node.chosen() == "a"


def test_an_entry_that_changes_goes_on_with_the_same_life() -> None:
    node = Node()
    node.take(born=1_000)
    before = node.choice.state("a")
    node.take(born=1_000, slots=5)
    node.take(slots=6)
    assert node.choice.state("a") is before
    assert before is not None and (before.instance.slots, before.instance.born_ms) == (6, 1_000)
    node.pool.drop_instance.assert_not_called()


def test_news_of_an_earlier_life_changes_nothing() -> None:
    node = Node()
    node.take(born=5_000)
    node.take(born=1_000, state="draining")
    state = node.choice.state("a")
    assert state is not None and state.instance.accepting
    assert state.instance.born_ms == 5_000
    assert Event.BACKEND_DRAINING not in node.logged()


def test_an_entry_that_turns_bad_takes_out_what_it_named_and_no_other() -> None:
    node = Node()
    node.take("a")
    node.take("b")
    node.take("a", slots=-1)
    assert node.choice.state("a") is None
    assert node.chosen() == "b"
    assert Event.BACKEND_ENTRY_REFUSED in node.logged()
    node.take("a")
    assert node.choice.state("a") is not None
