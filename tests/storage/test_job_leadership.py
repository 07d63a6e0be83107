"""Rules of a job group's leadership, one by one."""

import pytest

from wharfcart.cluster.messages_pb2 import ItemOutcome, RequestItem, RequestJob
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.replicated_job import JobState, ReplicatedJob

MEMBERS = frozenset({"a", "b", "c"})


def job(job_id: str = "j", items: int = 5) -> RequestJob:
    return RequestJob(job_id=job_id, items=[RequestItem(item_id=str(n)) for n in range(items)])


def outcome(item: str, text: bytes = b"t") -> ItemOutcome:
    return ItemOutcome(item_id=item, succeeded=True, text=text)


def make_leadership(epoch: int = 1) -> JobLeadership:
    made = JobLeadership(epoch, 2, MEMBERS)
    for identity in MEMBERS:
        made.add_replica(identity, [])
    return made


def write(made: JobLeadership, identity: str) -> None:
    made.record_written(identity, made.updates_for(identity))


def test_a_job_is_committed_on_two_disks() -> None:
    made = make_leadership()
    made.accept_job(job())
    write(made, "a")
    assert made.committed_version("j") == 0
    write(made, "b")
    assert made.committed_version("j") == 1


def test_a_result_is_visible_only_once_committed() -> None:
    made = make_leadership()
    made.accept_job(job())
    write(made, "a")
    write(made, "b")
    made.append_result("j", outcome("0"))
    write(made, "a")
    assert made.committed_results("j") == []
    write(made, "c")
    assert len(made.committed_results("j")) == 0 or made.committed_version("j") == 2
    assert [result.item_id for result in made.committed_results("j")] == ["0"]


def test_an_item_has_one_result() -> None:
    made = make_leadership()
    made.accept_job(job())
    assert made.append_result("j", outcome("0"))
    assert not made.append_result("j", outcome("0", b"other"))


def test_an_ended_job_takes_no_result() -> None:
    made = make_leadership()
    made.accept_job(job())
    made.end_job("j")
    assert not made.append_result("j", outcome("0"))


def test_the_same_job_is_taken_once() -> None:
    made = make_leadership()
    first = made.accept_job(job())
    assert made.accept_job(job(items=2)) is first


def test_an_inherited_state_is_committed_only_in_the_new_epoch() -> None:
    """Otherwise a state on enough disks may yet lose against a newer epoch's (Raft, figure 8)."""
    made = JobLeadership(4, 2, MEMBERS)
    made.inherit([ReplicatedJob(job(), 2, [outcome("0")])])
    made.add_replica("b", [JobState("j", 2, 2)])
    made.add_replica("c", [JobState("j", 2, 2)])
    assert made.committed_version("j") == 0
    write(made, "b")
    write(made, "c")
    assert made.committed_version("j") == 2


def test_a_replica_of_another_epoch_gets_the_whole_job() -> None:
    made = JobLeadership(4, 2, MEMBERS)
    made.inherit([ReplicatedJob(job(), 3, [outcome("0", b"right")])])
    made.add_replica("b", [JobState("j", 2, 4)])
    (update,) = made.updates_for("b")
    assert update.from_result == 0 and update.HasField("job")
    assert [result.text for result in update.results] == [b"right"]


def test_a_longer_state_of_the_same_epoch_is_cut_back() -> None:
    made = JobLeadership(4, 2, MEMBERS)
    made.inherit([ReplicatedJob(job(), 3, [outcome("0")])])
    made.add_replica("b", [JobState("j", 3, 4)])
    (update,) = made.updates_for("b")
    assert update.from_result == 1 and not update.results


def test_an_uncommitted_job_is_deleted_from_a_replica() -> None:
    made = make_leadership()
    made.add_replica("c", [JobState("ghost", 1, 3)])
    (update,) = made.updates_for("c")
    assert update.job_id == "ghost" and update.forgotten


def test_during_a_set_change_both_sets_need_a_quorum() -> None:
    made = make_leadership()
    made.begin_set_change(frozenset({"c", "d"}))
    made.add_replica("d", [])
    made.accept_job(job())
    write(made, "a")
    write(made, "b")
    assert made.committed_version("j") == 0
    assert not made.is_set_change_safe()
    write(made, "c")
    write(made, "d")
    assert made.committed_version("j") == 1
    assert made.is_set_change_safe()


def test_a_removed_replica_no_longer_counts_for_a_set_change() -> None:
    made = make_leadership()
    made.begin_set_change(frozenset({"a", "b"}))
    made.accept_job(job())
    write(made, "a")
    write(made, "b")
    made.remove_replica("b")
    assert not made.is_set_change_safe()
    assert made.committed_version("j") == 1, "what counted once stays"


def test_promises_required_for_a_takeover() -> None:
    assert JobLeadership(1, 2, MEMBERS).required_promises == 2
    assert JobLeadership(1, 2, frozenset({"a", "b"})).required_promises == 1
    assert JobLeadership(1, 3, frozenset("abcde")).required_promises == 3


def test_tokens_wait_until_their_item_has_a_result_or_the_job_ends() -> None:
    made = make_leadership()
    items = [RequestItem(item_id=str(n), tokens=10) for n in range(3)]
    made.accept_job(RequestJob(job_id="j", items=items))
    made.append_result("j", outcome("0"))
    made.append_result("j", outcome("0"))
    assert made.jobs["j"].waiting_tokens == 20
    made.end_job("j")
    assert made.jobs["j"].waiting_tokens == 0


def test_a_new_leader_knows_the_waiting_tokens() -> None:
    record = ReplicatedJob(
        RequestJob(job_id="j", items=[RequestItem(item_id=str(n), tokens=10) for n in range(3)]), 1
    )
    assert record.append_result(outcome("2"))
    made = JobLeadership(2, 2, MEMBERS)
    made.inherit([record])
    assert made.jobs["j"].waiting_tokens == 20
    made.append_result("j", outcome("1"))
    assert made.jobs["j"].waiting_tokens == 10


def test_a_result_that_comes_while_an_update_is_under_way_is_sent_next() -> None:
    made = make_leadership()
    made.accept_job(job())
    write(made, "a")
    made.append_result("j", outcome("0"))
    under_way = made.updates_for("a")
    made.append_result("j", outcome("1"))
    made.record_written("a", under_way)
    assert made.is_behind("a")
    (update,) = made.updates_for("a")
    assert [result.item_id for result in update.results] == ["1"]
    made.record_written("a", [update])
    assert not made.is_behind("a") and not made.updates_for("a")


def test_a_result_of_an_item_that_the_job_does_not_have_is_not_taken() -> None:
    made = make_leadership()
    made.accept_job(job())
    assert not made.append_result("j", outcome("elsewhere"))


def test_one_result_costs_the_same_however_many_jobs_and_results_there_are(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = make_leadership()
    for number in range(500):
        made.accept_job(job(f"j{number}"))
    made.accept_job(job("large", items=3000))
    for item in range(2000):
        made.append_result("large", outcome(str(item)))
    for identity in MEMBERS:
        while made.is_behind(identity):
            write(made, identity)
    looked_at = []
    version = ReplicatedJob.version.fget
    assert version is not None
    monkeypatch.setattr(
        ReplicatedJob, "version", property(lambda self: looked_at.append(1) or version(self))
    )
    made.append_result("large", outcome("2000"))
    for identity in MEMBERS:
        write(made, identity)
        made.is_behind(identity)
    assert made.committed_version("large") == 2002
    assert len(looked_at) <= 10
