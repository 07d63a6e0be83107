"""Decisions of the replica set policy of a shard."""

from wharfcart.cluster.messages_pb2 import ReplicaSet
from wharfcart.storage.replica_set_policy import (
    IN_SYNC_TIMEOUT_S,
    REPAIR_DELAY_S,
    LeaderView,
    Progress,
    ReplicaSetPolicy,
)

NOW = 100.0
COMMITTED = 7


def _view(voters: str, in_sync: str, responsive: str, caught_up: str = "abcdef") -> LeaderView:
    """Return the view of leader ``a`` with the given responsive and caught-up peers."""
    progress = {
        peer: Progress(
            next_index=COMMITTED + 1,
            match_index=COMMITTED if peer in caught_up else 0,
            last_contact_at=NOW if peer in responsive else NOW - 2 * IN_SYNC_TIMEOUT_S,
        )
        for peer in "bcdef"
        if peer in voters + responsive
    }
    return LeaderView(ReplicaSet(voters=voters, in_sync=in_sync), progress, COMMITTED, True)


def _policy(live: str) -> ReplicaSetPolicy:
    return ReplicaSetPolicy(live={identity: f"zone-{identity}" for identity in live})


def test_unresponsive_replica_leaves_the_in_sync_set() -> None:
    decision = _policy("ab").decide(_view("abc", "abc", "b"), NOW)
    assert decision.next_set is not None
    assert list(decision.next_set.in_sync) == ["a", "b"]


def test_the_second_copy_is_never_dropped() -> None:
    assert _policy("a").decide(_view("abc", "ab", ""), NOW).next_set is None


def test_caught_up_voter_replaces_an_unresponsive_one() -> None:
    decision = _policy("ac").decide(_view("abc", "ab", "c"), NOW)
    assert decision.next_set is not None
    assert list(decision.next_set.in_sync) == ["a", "c"]


def test_absent_voter_is_replaced_by_a_caught_up_spare() -> None:
    policy = _policy("abd")
    view = _view("abc", "ab", "bd")
    assert policy.decide(view, NOW) == policy.decide(view, NOW)
    later = NOW + REPAIR_DELAY_S + 0.1
    view.progress["b"].last_contact_at = view.progress["d"].last_contact_at = later
    assert policy.decide(view, later).learner == "d"
    removed = policy.decide(view, later)
    assert removed.next_set is not None and list(removed.next_set.voters) == ["a", "b"]
    assert removed.dropped_peers == ("c",)
    added = policy.decide(_view("ab", "ab", "bd"), NOW)
    assert added.next_set is not None and list(added.next_set.voters) == ["a", "b", "d"]


def test_restarting_voter_is_not_replaced() -> None:
    policy = _policy("abd")
    policy.leaving = {"c"}
    view = _view("abc", "ab", "bd")
    for seconds in (0.0, REPAIR_DELAY_S + 1):
        view.progress["b"].last_contact_at = NOW + seconds
        assert policy.decide(view, NOW + seconds).learner is None


def test_lost_spare_is_replaced_by_another() -> None:
    """A learner whose identity is no longer live must not block the repair."""
    policy = _policy("ax")
    assert policy.decide(_view("a", "a", ""), NOW).learner == "x"
    policy.live = {"a": "zone-a", "d": "zone-d"}
    assert policy.decide(_view("a", "a", ""), NOW).dropped_peers == ("x",)
    assert policy.decide(_view("a", "a", ""), NOW).learner == "d"


def test_spare_of_another_zone_is_preferred() -> None:
    policy = ReplicaSetPolicy(live={"a": "1", "b": "2", "d": "1", "e": "3"})
    assert policy.decide(_view("ab", "ab", "b"), NOW).learner == "e"
