"""Rules of the journal replica, one by one."""

import random

import pytest

from wharfcart.cluster.messages_pb2 import (
    AppendRequest,
    AppendResponse,
    LogEntry,
    ReplicaMessage,
    ReplicaSet,
    VoteRequest,
    VoteResponse,
)
from wharfcart.storage.replica import LEASE_S, NotLeaderError, Replica
from wharfcart.storage.replica_actions import ReplicaAction, Role, Send

VOTERS = ["a", "b", "c"]


def _replica(identity: str = "a") -> Replica:
    voters = ReplicaSet(voters=VOTERS, in_sync=VOTERS)
    return Replica(0, identity, random.Random(1), 0.0, voters)


def _sent(actions: list[ReplicaAction]) -> list[ReplicaMessage]:
    return [action.message for action in actions if isinstance(action, Send)]


def _leader() -> Replica:
    """Return a leader of epoch 1 with its first entry on its own disk."""
    replica = _replica()
    replica.tick(10.0)
    replica.receive(_vote("b", 1, pre_vote=True), 10.0)
    replica.receive(_vote("b", 1, pre_vote=False), 10.0)
    assert replica.role is Role.LEADER
    replica.persisted(1, 1, 10.0)
    return replica


def _vote(sender: str, epoch: int, pre_vote: bool) -> ReplicaMessage:
    response = VoteResponse(granted=True, pre_vote=pre_vote)
    return ReplicaMessage(sender=sender, target="a", epoch=epoch, vote_response=response)


def _acknowledge(replica: Replica, sender: str, index: int, now: float) -> None:
    response = AppendResponse(accepted=True, match_index=index, round=replica._round)
    replica.receive(
        ReplicaMessage(sender=sender, target="a", epoch=1, append_response=response), now
    )


def test_entry_needs_every_replica_in_sync() -> None:
    leader = _leader()
    _acknowledge(leader, "b", 1, 10.0)
    assert leader.commit_index == 0
    _acknowledge(leader, "c", 1, 10.0)
    assert leader.commit_index == 1


def test_own_disk_counts_only_once_written() -> None:
    leader = _replica()
    leader.tick(10.0)
    leader.receive(_vote("b", 1, pre_vote=True), 10.0)
    leader.receive(_vote("b", 1, pre_vote=False), 10.0)
    _acknowledge(leader, "b", 1, 10.0)
    _acknowledge(leader, "c", 1, 10.0)
    assert leader.commit_index == 0
    leader.persisted(1, 1, 10.0)
    assert leader.commit_index == 1


def test_unresponsive_replica_is_dropped_and_the_rest_commit() -> None:
    leader = _leader()
    for tenth in range(1, 13):
        _acknowledge(leader, "b", leader.last_index, 10.0 + tenth / 10)
        leader.tick(10.0 + tenth / 10)
    assert list(leader.replica_set.in_sync) == ["a", "b"]
    leader.persisted(1, leader.last_index, 11.3)
    _acknowledge(leader, "b", leader.last_index, 11.3)
    assert leader.commit_index == leader.last_index


def test_never_fewer_than_two_copies() -> None:
    leader = _leader()
    for tenth in range(1, 11):
        leader.tick(10.0 + tenth / 10)
    assert len(leader.replica_set.in_sync) == 3
    assert leader.commit_index == 0


def test_message_of_a_past_epoch_changes_nothing() -> None:
    follower = _replica("b")
    follower.epoch = 5
    entry = LogEntry(index=1, epoch=4, command=b"x")
    append = ReplicaMessage(
        sender="a", target="b", epoch=4, append_request=AppendRequest(entries=[entry])
    )
    (answer,) = _sent(follower.receive(append, 1.0))
    assert not answer.append_response.accepted
    assert answer.epoch == 5
    assert follower.last_index == 0


def test_message_for_another_identity_is_dropped() -> None:
    follower = _replica("b")
    append = ReplicaMessage(
        sender="a", target="b-old", epoch=9, append_request=AppendRequest(commit_index=0)
    )
    assert follower.receive(append, 1.0) == []
    assert follower.epoch == 0


def test_lease_starts_at_the_send_time_of_an_acknowledged_round() -> None:
    leader = _leader()
    _acknowledge(leader, "b", 1, 10.1)
    _acknowledge(leader, "c", 1, 10.1)
    assert leader.lease_valid(10.0 + LEASE_S - 0.01)
    assert not leader.lease_valid(10.0 + LEASE_S + 0.01)


def test_paused_leader_resumes_without_its_lease() -> None:
    leader = _leader()
    _acknowledge(leader, "b", 1, 10.1)
    _acknowledge(leader, "c", 1, 10.1)
    assert not leader.lease_valid(40.0)
    leader.tick(40.0)
    assert leader.role is not Role.LEADER
    with pytest.raises(NotLeaderError):
        leader.propose([b"x"], 40.0)


@pytest.mark.parametrize(("last_contact_at", "granted"), [(9.9, False), (1.0, True)])
def test_vote_is_refused_during_leader_contact(last_contact_at: float, granted: bool) -> None:
    follower = _replica("b")
    append = ReplicaMessage(sender="a", target="b", epoch=1, append_request=AppendRequest())
    follower.receive(append, last_contact_at)
    request = VoteRequest(last_index=0, last_epoch=0)
    message = ReplicaMessage(sender="c", target="b", epoch=2, vote_request=request)
    (answer,) = _sent(follower.receive(message, 10.0))
    assert answer.vote_response.granted is granted


def test_one_vote_per_epoch() -> None:
    voter = _replica("b")
    request = VoteRequest(last_index=0, last_epoch=0)
    for candidate, granted in (("a", True), ("c", False)):
        message = ReplicaMessage(sender=candidate, target="b", epoch=3, vote_request=request)
        (answer,) = _sent(voter.receive(message, 10.0))
        assert answer.vote_response.granted is granted


def test_leadership_is_transferred_at_once() -> None:
    leader = _leader()
    _acknowledge(leader, "b", 1, 10.1)
    _acknowledge(leader, "c", 1, 10.1)
    (campaign,) = _sent(leader.step_down(10.2))
    assert campaign.WhichOneof("body") == "campaign_now"
    successor = _replica(campaign.target)
    successor.epoch = 1
    requests = _sent(successor.receive(campaign, 10.2))
    assert {m.WhichOneof("body") for m in requests} == {"vote_request"}
    assert all(m.vote_request.transfer for m in requests)


def _append(first: int, last: int, commit_index: int = 0) -> ReplicaMessage:
    """Return a message of the leader of epoch 1 with some of its entries."""
    request = AppendRequest(
        previous_index=first - 1,
        previous_epoch=1 if first > 1 else 0,
        entries=[LogEntry(index=n, epoch=1, command=b"") for n in range(first, last + 1)],
        commit_index=commit_index,
    )
    return ReplicaMessage(sender="a", target="b", epoch=1, append_request=request)


def test_a_late_or_repeated_append_of_the_current_epoch_removes_nothing() -> None:
    """Guards against lost entries: an earlier message ends before the newest entry."""
    follower = _replica("b")
    follower.receive(_append(1, 3, commit_index=3), 1.0)
    for late in (_append(1, 1), _append(1, 3), _append(2, 2, commit_index=1)):
        (answer,) = _sent(follower.receive(late, 1.0))
        assert answer.append_response.accepted
    assert (follower.last_index, follower.commit_index) == (3, 3)


def test_an_append_after_a_gap_is_refused() -> None:
    follower = _replica("b")
    follower.receive(_append(1, 1), 1.0)
    (answer,) = _sent(follower.receive(_append(3, 4), 1.0))
    assert not answer.append_response.accepted
    assert follower.last_index == 1
