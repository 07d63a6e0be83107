"""Rules of a job group's leadership, one by one."""

import pytest

from wharfcart.cluster.messages_pb2 import (
    CONFIRMED,
    DISCARD,
    REMEMBER,
    ItemOutcome,
    RequestItem,
    RequestJob,
)
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.replicated_job import JobState, ReplicatedJob, submission_id

MEMBERS = frozenset({"a", "b", "c"})


def job(job_id: str = "j", items: int = 5) -> RequestJob:
    return RequestJob(job_id=job_id, items=[RequestItem(item_id=str(n)) for n in range(items)])


def outcome(item: str, text: bytes = b"t") -> ItemOutcome:
    return ItemOutcome(item_id=item, succeeded=True, text=text)


def make_leadership(epoch: int = 1) -> JobLeadership:
    leadership = JobLeadership(epoch, 2, MEMBERS)
    for identity in MEMBERS:
        leadership.add_replica(identity, [])
    return leadership


def write(leadership: JobLeadership, identity: str) -> None:
    leadership.record_written(identity, leadership.updates_for(identity))


def test_a_job_is_committed_on_two_disks() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    write(leadership, "a")
    assert leadership.committed_version("j") == 0
    write(leadership, "b")
    assert leadership.committed_version("j") == 1


def test_a_result_is_visible_only_once_committed() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    write(leadership, "a")
    write(leadership, "b")
    leadership.append_result("j", outcome("0"))
    write(leadership, "a")
    assert leadership.committed_results("j") == []
    write(leadership, "c")
    assert len(leadership.committed_results("j")) == 0 or leadership.committed_version("j") == 2
    assert [result.item_id for result in leadership.committed_results("j")] == ["0"]


def test_an_item_has_one_result() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    assert leadership.append_result("j", outcome("0"))
    assert not leadership.append_result("j", outcome("0", b"other"))


def test_an_ended_job_accepts_no_result() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    leadership.end_job("j")
    assert not leadership.append_result("j", outcome("0"))


def test_the_same_job_is_accepted_once() -> None:
    leadership = make_leadership()
    first = leadership.accept_job(job())
    assert leadership.accept_job(job(items=2)) is first


def inherited_leadership(state: JobState) -> JobLeadership:
    """Return a leadership of epoch 4 that has inherited one job with results."""
    leadership = JobLeadership(4, 2, MEMBERS)
    results = [outcome(str(n)) for n in range(state.version - 1)]
    leadership.inherit([ReplicatedJob(job(), state.epoch, results)])
    return leadership


def test_a_state_that_a_quorum_reports_of_one_epoch_is_committed_at_once() -> None:
    """Guards against accepted jobs that can't be read until a new leader wrote them again."""
    leadership = inherited_leadership(JobState("j", 2, 3))
    leadership.add_replica("b", [JobState("j", 2, 3)])
    assert leadership.committed_version("j") == 0
    leadership.add_replica("c", [JobState("j", 2, 3)])
    assert leadership.committed_version("j") == 3
    assert [result.item_id for result in leadership.committed_results("j")] == ["0", "1"]
    assert leadership.is_behind("b"), "the replicas still receive the new epoch"


def test_a_job_is_not_read_short_of_what_an_earlier_leader_may_have_exposed() -> None:
    """Guards against results that were read and are missing until a new leader wrote them again."""
    leadership = inherited_leadership(JobState("j", 2, 3))
    leadership.add_replica("b", [JobState("j", 2, 3)])
    leadership.add_replica("c", [JobState("j", 2, 2)])
    # The replica that did not promise may hold the second result, too.
    assert leadership.committed_version("j") == 0
    write(leadership, "b")
    assert leadership.committed_version("j") == 0
    write(leadership, "c")
    assert leadership.committed_version("j") == 3
    assert [result.item_id for result in leadership.committed_results("j")] == ["0", "1"]


def test_a_refused_update_is_cut_from_what_the_replica_holds() -> None:
    """Guards against a replica that never catches up, and against counting what it lacks."""
    leadership = inherited_leadership(JobState("j", 2, 3))
    leadership.add_replica("b", [JobState("j", 2, 3)])
    leadership.add_replica("c", [JobState("j", 2, 3)])
    leadership.append_result("j", outcome("4"))
    write(leadership, "b")
    assert leadership.committed_version("j") == 3
    for held, whole, first in (
        (JobState("j", 2, 2), False, 1),
        (JobState("j", 1, 3), True, 0),
        (JobState("j", 0, 0), True, 0),
    ):
        leadership.record_mismatches("b", [held])
        assert leadership.is_behind("b")
        (update,) = leadership.updates_for("b")
        assert (update.HasField("job"), update.from_result) == (whole, first)
        assert update.base_epoch == (0 if whole else held.epoch)
    write(leadership, "c")
    assert leadership.committed_version("j") == 3, "what the replica was thought to hold counts"
    write(leadership, "b")
    assert leadership.committed_version("j") == 4
    assert not leadership.is_behind("b")


def test_an_update_of_a_deleted_job_does_not_count_for_one_submitted_again() -> None:
    """Guards against a result that counts as committed although no replica holds it."""
    leadership = make_leadership()
    leadership.accept_job(job())
    leadership.append_result("j", outcome("0", b"old"))
    in_flight = {identity: leadership.updates_for(identity) for identity in ("a", "b")}
    leadership.delete_job("j")
    leadership.accept_job(job())
    leadership.append_result("j", outcome("0", b"new"))
    for identity, updates in in_flight.items():
        leadership.record_written(identity, updates)
    assert leadership.committed_version("j") == 0
    deletion, update = leadership.updates_for("a")
    assert deletion.forgotten and update.HasField("job")
    write(leadership, "a")
    write(leadership, "b")
    assert [result.text for result in leadership.committed_results("j")] == [b"new"]


def test_a_replica_that_missed_a_deletion_does_not_count_for_a_job_submitted_again() -> None:
    """Guards against results of the deleted job that return with a replica that was away."""
    leadership = make_leadership()
    leadership.accept_job(job())
    leadership.append_result("j", outcome("0", b"old"))
    for identity in MEMBERS:
        write(leadership, identity)
    leadership.remove_replica("c")
    leadership.delete_job("j")
    leadership.accept_job(job())
    write(leadership, "a")
    leadership.add_replica("c", [JobState("j", 1, 2)])
    assert leadership.committed_version("j") == 0
    assert leadership.is_behind("c")


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param(JobState("j", 3, 2), JobState("j", 2, 2), id="of two epochs"),
        pytest.param(JobState("j", 3, 2), JobState("j", 4, 2), id="of this epoch and another"),
        pytest.param(JobState("j", 2, 2), JobState("j", 2, 2), id="older than the inherited state"),
    ],
)
def test_other_inherited_states_are_committed_only_in_the_new_epoch(
    first: JobState, second: JobState
) -> None:
    """Such states may still lose to a newer epoch on an unreachable replica (Raft, figure 8)."""
    leadership = inherited_leadership(JobState("j", 3, 2))
    leadership.add_replica("b", [first])
    leadership.add_replica("c", [second])
    assert leadership.committed_version("j") == 0
    write(leadership, "b")
    if second.epoch != 4:
        assert leadership.committed_version("j") == 0
        write(leadership, "c")
    assert leadership.committed_version("j") == 2


def test_a_state_on_a_disk_that_joins_later_does_not_count_as_committed_before() -> None:
    leadership = inherited_leadership(JobState("j", 2, 2))
    leadership.add_replica("b", [JobState("j", 2, 2)])
    leadership.begin_set_change(frozenset({"a", "b", "d"}))
    leadership.add_replica("d", [JobState("j", 2, 2)])
    assert leadership.committed_version("j") == 0


def test_changed_jobs_are_written_before_the_backlog() -> None:
    """Guards against callers' writes that wait until a new leader wrote every job again."""
    leadership = JobLeadership(4, 2, MEMBERS)
    leadership.inherit([ReplicatedJob(job(f"j{n}"), 2) for n in range(1000)])
    leadership.add_replica("b", [JobState(f"j{n}", 2, 1) for n in range(1000)])
    leadership.accept_job(job("new"))
    leadership.append_result("j999", outcome("0"))
    updates = leadership.updates_for("b")
    assert [update.job_id for update in updates[:2]] == ["new", "j999"]


def test_the_backlog_is_written_while_more_jobs_change_than_one_message_carries() -> None:
    leadership = JobLeadership(4, 2, MEMBERS)
    leadership.inherit([ReplicatedJob(job(f"j{n}"), 2) for n in range(1000)])
    leadership.add_replica("b", [JobState(f"j{n}", 2, 1) for n in range(1000)])
    written = set()
    for message in range(4):
        for n in range(100):
            leadership.accept_job(job(f"new-{message}-{n}"))
        written |= {update.job_id for update in leadership.updates_for("b")}
        write(leadership, "b")
    assert written >= {f"j{n}" for n in range(1000)}


def test_jobs_that_cannot_be_read_yet_are_first_in_the_backlog() -> None:
    leadership = JobLeadership(4, 2, MEMBERS)
    leadership.inherit([ReplicatedJob(job(f"j{n}"), 2) for n in range(1000)])
    leadership.add_replica("b", [JobState(f"j{n}", 2, 1) for n in range(1000)])
    leadership.add_replica("c", [JobState(f"j{n}", 2, 1) for n in range(999)])
    assert leadership.committed_version("j998") == 1
    assert leadership.committed_version("j999") == 0
    assert leadership.updates_for("c")[0].job_id == "j999"


def test_a_replica_of_another_epoch_gets_the_whole_job() -> None:
    leadership = JobLeadership(4, 2, MEMBERS)
    leadership.inherit([ReplicatedJob(job(), 3, [outcome("0", b"right")])])
    leadership.add_replica("b", [JobState("j", 2, 4)])
    (update,) = leadership.updates_for("b")
    assert update.from_result == 0 and update.HasField("job")
    assert [result.text for result in update.results] == [b"right"]


def test_a_longer_state_of_the_same_epoch_is_truncated() -> None:
    leadership = JobLeadership(4, 2, MEMBERS)
    leadership.inherit([ReplicatedJob(job(), 3, [outcome("0")])])
    leadership.add_replica("b", [JobState("j", 3, 4)])
    (update,) = leadership.updates_for("b")
    assert update.from_result == 1 and not update.results


def test_an_uncommitted_job_is_deleted_from_a_replica() -> None:
    leadership = make_leadership()
    leadership.add_replica("c", [JobState("ghost", 1, 3)])
    (update,) = leadership.updates_for("c")
    assert update.job_id == "ghost" and update.forgotten


def test_during_a_set_change_both_sets_need_a_quorum() -> None:
    leadership = make_leadership()
    leadership.begin_set_change(frozenset({"c", "d"}))
    leadership.add_replica("d", [])
    leadership.accept_job(job())
    write(leadership, "a")
    write(leadership, "b")
    assert leadership.committed_version("j") == 0
    write(leadership, "c")
    write(leadership, "d")
    assert leadership.committed_version("j") == 1
    assert leadership.is_set_change_safe()


def test_a_set_change_waits_until_the_new_set_has_everything_committed() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    write(leadership, "a")
    write(leadership, "b")
    assert leadership.committed_version("j") == 1
    leadership.begin_set_change(frozenset({"c", "d"}))
    leadership.add_replica("d", [])
    write(leadership, "c")
    assert not leadership.is_set_change_safe()
    write(leadership, "d")
    assert leadership.is_set_change_safe()


def test_a_set_change_waits_until_the_new_set_has_everything_inherited() -> None:
    """An earlier leader may have exposed an inherited state that is not known to be committed."""
    leadership = inherited_leadership(JobState("j", 2, 3))
    leadership.add_replica("b", [JobState("j", 2, 3)])
    leadership.begin_set_change(frozenset({"b", "c"}))
    leadership.add_replica("c", [])
    assert leadership.committed_version("j") == 0
    write(leadership, "b")
    assert not leadership.is_set_change_safe()
    write(leadership, "c")
    assert leadership.is_set_change_safe()


def test_a_set_change_does_not_wait_for_a_write_that_nobody_has_read() -> None:
    """Guards against a change that never ends while jobs change: one write is always under way."""
    leadership = make_leadership()
    leadership.begin_set_change(frozenset({"a", "b", "d"}))
    leadership.add_replica("d", [])
    leadership.accept_job(job())
    write(leadership, "a")
    assert leadership.is_set_change_safe()
    write(leadership, "c")
    assert leadership.committed_version("j") == 0


def test_a_removed_replica_no_longer_counts_for_a_set_change() -> None:
    leadership = make_leadership()
    leadership.begin_set_change(frozenset({"a", "b"}))
    leadership.accept_job(job())
    write(leadership, "a")
    write(leadership, "b")
    leadership.remove_replica("b")
    assert not leadership.is_set_change_safe()
    assert leadership.committed_version("j") == 1, "a committed version stays committed"


def test_promises_required_for_a_takeover() -> None:
    assert JobLeadership(1, 2, MEMBERS).required_promises == 2
    assert JobLeadership(1, 2, frozenset({"a", "b"})).required_promises == 1
    assert JobLeadership(1, 3, frozenset("abcde")).required_promises == 3


def test_tokens_wait_until_their_item_has_a_result_or_the_job_ends() -> None:
    leadership = make_leadership()
    items = [RequestItem(item_id=str(n), tokens=10) for n in range(3)]
    leadership.accept_job(RequestJob(job_id="j", items=items))
    leadership.append_result("j", outcome("0"))
    leadership.append_result("j", outcome("0"))
    assert leadership.jobs["j"].waiting_tokens == 20
    leadership.end_job("j")
    assert leadership.jobs["j"].waiting_tokens == 0


def test_a_new_leader_knows_the_waiting_tokens() -> None:
    record = ReplicatedJob(
        RequestJob(job_id="j", items=[RequestItem(item_id=str(n), tokens=10) for n in range(3)]), 1
    )
    assert record.append_result(outcome("2"))
    leadership = JobLeadership(2, 2, MEMBERS)
    leadership.inherit([record])
    assert leadership.jobs["j"].waiting_tokens == 20
    leadership.append_result("j", outcome("1"))
    assert leadership.jobs["j"].waiting_tokens == 10


def test_a_result_appended_during_an_update_is_sent_next() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    write(leadership, "a")
    leadership.append_result("j", outcome("0"))
    under_way = leadership.updates_for("a")
    leadership.append_result("j", outcome("1"))
    leadership.record_written("a", under_way)
    assert leadership.is_behind("a")
    (update,) = leadership.updates_for("a")
    assert [result.item_id for result in update.results] == ["1"]
    leadership.record_written("a", [update])
    assert not leadership.is_behind("a") and not leadership.updates_for("a")


def test_a_result_of_an_unknown_item_is_rejected() -> None:
    leadership = make_leadership()
    leadership.accept_job(job())
    assert not leadership.append_result("j", outcome("elsewhere"))


def test_the_cost_of_a_result_is_independent_of_other_jobs_and_results(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leadership = make_leadership()
    for number in range(500):
        leadership.accept_job(job(f"j{number}"))
    leadership.accept_job(job("large", items=3000))
    for item in range(2000):
        leadership.append_result("large", outcome(str(item)))
    for identity in MEMBERS:
        while leadership.is_behind(identity):
            write(leadership, identity)
    version_reads = []
    version = ReplicatedJob.version.fget
    assert version is not None
    monkeypatch.setattr(
        ReplicatedJob, "version", property(lambda self: version_reads.append(1) or version(self))
    )
    leadership.append_result("large", outcome("2000"))
    for identity in MEMBERS:
        write(leadership, identity)
        leadership.is_behind(identity)
    assert leadership.committed_version("large") == 2002
    assert len(version_reads) <= 10


def test_a_late_deletion_of_an_earlier_submission_does_not_confirm_the_next_one() -> None:
    """Guards against a replica that keeps the second of two deleted jobs of one id."""
    leadership = make_leadership()
    leadership.accept_job(job())
    leadership.delete_job("j")
    in_flight = leadership.updates_for("a")
    leadership.accept_job(job())
    leadership.delete_job("j")
    leadership.record_written("a", in_flight)
    (deletion,) = leadership.updates_for("a")
    assert deletion.forgotten
    assert deletion.submission > in_flight[0].submission


def test_a_deletion_is_confirmed_once_every_replica_of_the_set_has_written_it() -> None:
    """Guards against a replica that was away, whose copy outlives the record of the deletion."""
    leadership = make_leadership()
    leadership.accept_job(job())
    for identity in MEMBERS:
        write(leadership, identity)
    leadership.remove_replica("c")
    leadership.delete_job("j")
    for identity in ("a", "b"):
        write(leadership, identity)
        assert leadership.updates_for(identity) == []
    leadership.add_replica("c", [JobState("j", 1, 1, submission_id(1, 1))])
    (deletion,) = leadership.updates_for("c")
    assert deletion.deletion == REMEMBER
    leadership.record_written("c", [deletion])
    for identity in MEMBERS:
        (confirmation,) = leadership.updates_for(identity)
        assert confirmation.deletion == CONFIRMED
        leadership.record_written(identity, [confirmation])
        assert leadership.updates_for(identity) == []


def test_a_new_leader_has_an_inherited_deletion_written_again() -> None:
    """Guards against the record of an older epoch, which a copy of a later epoch would follow."""
    leadership = JobLeadership(4, 2, MEMBERS)
    deletion = JobState("j", 2, 0, submission_id(1, 1), is_deleted=True)
    leadership.inherit([], [deletion])
    for identity in MEMBERS:
        leadership.add_replica(identity, [deletion])
        (update,) = leadership.updates_for(identity)
        assert (update.deletion, update.base_epoch) == (REMEMBER, 4)


def test_the_replica_set_changes_only_to_one_that_remembers_each_deletion() -> None:
    """Guards against a set whose quorum lacks a deletion that a member missed."""
    leadership = make_leadership()
    leadership.accept_job(job())
    for identity in MEMBERS:
        write(leadership, identity)
    leadership.delete_job("j")
    leadership.begin_set_change(frozenset({"b", "c", "d"}))
    assert not leadership.is_set_change_safe(), "the joining replica was never reached"
    leadership.add_replica("d", [])
    write(leadership, "b")
    assert not leadership.is_set_change_safe(), "one record is no quorum"
    write(leadership, "d")
    assert leadership.is_set_change_safe()


def test_a_discarded_copy_does_not_count_as_a_remembered_deletion() -> None:
    """Guards against a record that is dropped although one replica never wrote it."""
    leadership = make_leadership()
    submission = submission_id(0, 1)
    leadership.add_replica("a", [JobState("j", 0, 2, submission)])
    discarding = leadership.updates_for("a")
    assert [update.deletion for update in discarding] == [DISCARD]
    leadership.add_replica("b", [JobState("j", 0, 0, submission, is_deleted=True)])
    leadership.record_written("a", discarding)
    assert [update.deletion for update in leadership.updates_for("a")] == [REMEMBER]


def test_a_deletion_is_confirmed_once_a_change_of_the_set_is_cancelled() -> None:
    """Guards against records that stay for a replica that did not join."""
    leadership = make_leadership()
    leadership.accept_job(job())
    leadership.begin_set_change(frozenset({"a", "b", "d"}))
    leadership.delete_job("j")
    for identity in MEMBERS:
        write(leadership, identity)
        assert leadership.updates_for(identity) == []
    leadership.begin_set_change(None)
    assert [update.deletion for update in leadership.updates_for("a")] == [CONFIRMED]
