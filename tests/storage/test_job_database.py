"""The job database of a storage node."""

import shutil
import sqlite3
from pathlib import Path

import pytest

from wharfcart.cluster.messages_pb2 import (
    CONFIRMED,
    REMEMBER,
    ItemOutcome,
    JobUpdate,
    PartialText,
    RequestItem,
    RequestJob,
)
from wharfcart.storage.job_database import (
    DATABASE_NAME,
    AppliedUpdates,
    CorruptJobError,
    JobDatabase,
)
from wharfcart.storage.partial_texts import ItemKey
from wharfcart.storage.replicated_job import JobState

# Written by commit cc0e024.
SAMPLES = Path(__file__).parent / "samples"


def make_update(results: int = 0, first: int = 0, epoch: int = 1, whole: bool = True) -> JobUpdate:
    return JobUpdate(
        job_id="j",
        epoch=epoch,
        job=RequestJob(job_id="j", items=[RequestItem(item_id="0")]) if whole else None,
        from_result=first,
        results=[ItemOutcome(item_id=str(n), text=b"x") for n in range(first, first + results)],
    )


def test_writes_survive_a_restart(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    identity = database.identity
    assert database.apply_updates(0, 3, [make_update(2)])
    database.close()
    again = JobDatabase(tmp_path)
    assert again.identity == identity
    assert again.promised_epoch(0) == 3
    (loaded,) = again.load_jobs(["j"])
    assert [result.item_id for result in loaded.results] == ["0", "1"]
    again.close()


def test_an_empty_disk_has_another_identity(tmp_path: Path) -> None:
    assert JobDatabase(tmp_path / "a").identity != JobDatabase(tmp_path / "b").identity


def test_a_leader_of_a_lower_epoch_is_refused(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    assert database.promise_epoch(0, 5)
    assert not database.apply_updates(0, 4, [make_update()])
    assert database.job_states(0) == []
    assert not database.promise_epoch(0, 4)
    assert database.apply_updates(0, 5, [make_update()])


def test_results_from_a_position_on_are_replaced(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update(3)])
    database.apply_updates(0, 2, [make_update(1, first=1, epoch=2, whole=False)])
    (state,) = database.job_states(0)
    assert (state.epoch, state.version) == (2, 3)
    (loaded,) = database.load_jobs(["j"])
    assert len(loaded.results) == 2


def make_step(results: str, epoch: int, base_epoch: int = 0, first: int = 0) -> JobUpdate:
    """Return an update with one result per character; without a base it is complete."""
    update = make_update(len(results), first, epoch, whole=not base_epoch)
    update.base_epoch = base_epoch
    for result, text in zip(update.results, results, strict=True):
        result.text = text.encode()
    return update


@pytest.mark.parametrize(
    ("update", "is_accepted", "results"),
    [
        # The copy has "ab" of epoch 2.
        (make_step("c", 2, 2, first=2), True, "abc"),
        (make_step("c", 3, 2, first=2), True, "abc"),
        (make_step("x", 3, 2, first=1), True, "ax"),
        (make_step("xyz", 3), True, "xyz"),
        # Late or repeated: the copy holds these results, and more.
        (make_step("a", 2), True, "ab"),
        (make_step("ab", 2), True, "ab"),
        (make_step("", 2), True, "ab"),
        (make_step("b", 2, 1, first=1), True, "ab"),
        # Begun in an earlier session of the same epoch.
        (make_step("bc", 2, 1, first=1), True, "abc"),
        # Foreign: cut from a copy of another epoch, or with a gap.
        (make_step("c", 3, 1, first=2), False, "ab"),
        (make_step("d", 2, 2, first=3), False, "ab"),
        (make_step("x", 1), False, "ab"),
        (make_step("x", 1, 1, first=1), False, "ab"),
        (make_step("c", 1, 2, first=2), False, "ab"),
    ],
)
def test_only_an_update_of_the_same_history_extends_a_job(
    update: JobUpdate, is_accepted: bool, results: str
) -> None:
    """Guards against a copy that lacks results which it claims to hold."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_step("a", 1)])
    database.apply_updates(0, 2, [make_step("ab", 2)])
    applied = database.apply_updates(0, 3, [update])
    assert applied is not None
    assert applied.mismatches == (() if is_accepted else (JobState("j", 2, 3),))
    (held,) = database.load_jobs(["j"])
    assert b"".join(result.text for result in held.results).decode() == results
    assert [result.item_id for result in held.results] == [str(n) for n in range(len(results))]
    (state,) = database.job_states(0)
    assert state.version == 1 + len(results)


def test_a_late_update_does_not_undo_the_end_of_a_job() -> None:
    """Guards against items of a cancelled job that run again."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_step("ab", 1)])
    late = make_step("", 1, 1, first=2)
    end = make_step("", 1, 1, first=2)
    end.ended = True
    for update in (end, late, end):
        applied = database.apply_updates(0, 1, [update])
        assert applied is not None and applied.mismatches == ()
        (held,) = database.load_jobs(["j"])
        assert held.ended


def test_a_refused_update_leaves_the_others_of_its_message_written() -> None:
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_step("a", 1)])
    other = JobUpdate(job_id="k", epoch=1, job=RequestJob(job_id="k"))
    applied = database.apply_updates(0, 1, [make_step("c", 1, 1, first=2), other])
    assert applied is not None and applied.mismatches == (JobState("j", 1, 2),)
    assert [state.job_id for state in database.job_states(0)] == ["j", "k"]


def test_an_update_of_a_job_that_is_not_held_is_refused() -> None:
    """Guards against results without their job, which no restart would show."""
    database = JobDatabase(None)
    applied = database.apply_updates(0, 2, [make_step("b", 2, 1, first=1)])
    assert applied is not None and applied.mismatches == (JobState("j", 0, 0),)
    assert database.job_states(0) == []


def test_a_late_deletion_spares_a_job_that_was_submitted_again() -> None:
    """Guards against the loss of an accepted job."""
    database = JobDatabase(None)
    database.apply_updates(0, 2, [make_step("", 2)])
    database.apply_updates(0, 2, [JobUpdate(job_id="j", forgotten=True, base_epoch=1)])
    assert [state.job_id for state in database.job_states(0)] == ["j"]
    database.apply_updates(0, 2, [JobUpdate(job_id="j", forgotten=True, base_epoch=2)])
    assert database.job_states(0) == []


def test_a_forgotten_job_leaves_nothing(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update(3)])
    database.apply_updates(0, 1, [JobUpdate(job_id="j", forgotten=True)])
    assert database.job_states(0) == [] and database.load_jobs(["j"]) == []


def test_a_corrupt_record_is_detected(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update(1)])
    database.close()
    with sqlite3.connect(tmp_path / DATABASE_NAME) as connection:
        connection.execute("update result set value = x'00'")
    connection.close()
    with pytest.raises(CorruptJobError):
        JobDatabase(tmp_path).load_jobs(["j"])


def test_no_shared_memory_file_is_made(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update(1)])
    assert not list(tmp_path.glob("*-shm"))


def test_a_database_written_without_tenants_is_readable(tmp_path: Path) -> None:
    shutil.copy(SAMPLES / DATABASE_NAME, tmp_path)
    (loaded,) = JobDatabase(tmp_path).load_jobs(["job1"])
    assert (loaded.epoch, loaded.job.tenant, loaded.job.host) == (3, "", "h")
    assert [item.body for item in loaded.job.items] == [b"body 0", b"body 1"]
    assert [result.text for result in loaded.results] == [b"text 0"]


def test_a_file_that_claims_results_it_lacks_is_corrected_once(tmp_path: Path) -> None:
    """Guards against copies of earlier builds that are chosen for results which they lack."""
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 3, [make_step("abcd", 3)])
    other = JobUpdate(job_id="k", epoch=2, job=RequestJob(job_id="k"), ended=True)
    database.apply_updates(0, 3, [other])
    database.close()
    with sqlite3.connect(tmp_path / DATABASE_NAME) as connection:
        connection.execute("delete from result where position=1")
        connection.execute("update job set ended=1")
        connection.execute("pragma user_version=0")
    connection.close()
    corrected = JobDatabase(tmp_path)
    assert corrected.corrected_claims == [JobState("j", 3, 2)]
    assert sorted(corrected.job_states(0), key=lambda state: state.job_id) == [
        JobState("j", 3, 2),
        JobState("k", 2, 2),
    ]
    (held,) = corrected.load_jobs(["j"])
    assert [result.text for result in held.results] == [b"a"] and not held.ended
    corrected.close()
    assert JobDatabase(tmp_path).corrected_claims == []


def test_results_without_a_job_in_a_file_of_an_earlier_build_are_deleted(tmp_path: Path) -> None:
    """Guards against a copy that can't take a job, since results at its positions are left."""
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 3, [make_step("ab", 3)])
    database.close()
    with sqlite3.connect(tmp_path / DATABASE_NAME) as connection:
        connection.execute("delete from job")
        connection.execute("pragma user_version=0")
    connection.close()
    checked = JobDatabase(tmp_path)
    assert checked.apply_updates(0, 4, [make_step("xy", 4)]) == AppliedUpdates()
    (held,) = checked.load_jobs(["j"])
    assert [result.text for result in held.results] == [b"x", b"y"]


def make_part(item_id: str, first: int, *texts: str, job_id: str = "j") -> PartialText:
    last = first + len(texts) - 1
    return PartialText(
        job_id=job_id,
        item_id=item_id,
        from_event=first,
        last_event=last,
        texts=texts,
        epoch=1,
        base_epoch=1 if first else 0,
    )


def test_partial_texts_survive_a_loss_of_power(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update()])
    database.save_partial_texts(0, [make_part("0", 0, "a", "b"), make_part("1", 0, "x")], [])
    database.save_partial_texts(0, [make_part("0", 2, "c")], [ItemKey("j", "1")])
    again = JobDatabase(copy_folder(tmp_path))
    found = again.load_partial_texts(0)
    assert [(one.item_id, list(one.texts)) for one in found] == [("0", ["a", "b"]), ("0", ["c"])]
    assert again.load_partial_texts(1) == []
    database.close()
    again.close()


def test_a_part_that_does_not_extend_the_saved_text_is_refused() -> None:
    """Guards against a file that joins the runs of two leaders."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_update()])
    database.save_partial_texts(0, [make_part("0", 0, "a", "b"), make_part("0", 2, "c")], [])
    foreign, gap, repeated = (
        make_part("0", 3, "x"),
        make_part("0", 4, "e"),
        make_part("0", 2, "c"),
    )
    foreign.base_epoch = 2
    unknown = make_part("0", 3, "x")
    unknown.base_epoch = 0
    for part in (foreign, gap, repeated, unknown):
        assert database.save_partial_texts(0, [part], []) == [ItemKey("j", "0")]
    found = [(one.from_event, list(one.texts)) for one in database.load_partial_texts(0)]
    assert found == [(0, ["a", "b"]), (2, ["c"])]


def test_a_text_that_is_saved_whole_leaves_no_part_of_the_earlier_one() -> None:
    """Guards against the end of an earlier run that stands behind a text saved anew."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_update()])
    database.save_partial_texts(0, [make_part("0", 0, "a", "b"), make_part("0", 2, "c")], [])
    assert database.save_partial_texts(0, [make_part("0", 0, "x")], []) == []
    (found,) = database.load_partial_texts(0)
    assert (found.from_event, list(found.texts)) == (0, ["x"])


def test_failures_are_saved_without_events_and_extended_later() -> None:
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_update()])
    database.save_partial_texts(0, [make_part("0", 0, "a")], [])
    failure = PartialText(job_id="j", item_id="0", from_event=1, failed_at=["i"], base_epoch=1)
    assert database.save_partial_texts(0, [failure], []) == []
    assert database.save_partial_texts(0, [make_part("0", 1, "b")], []) == []
    found = [(one.from_event, list(one.texts)) for one in database.load_partial_texts(0)]
    assert found == [(0, ["a"]), (1, ["b"])]


def test_saved_texts_of_two_jobs_with_one_item_id_are_kept_apart() -> None:
    """Guards against a result with the text of another job, possibly of another tenant."""
    database = JobDatabase(None)
    other = JobUpdate(job_id="k", epoch=1, job=RequestJob(job_id="k"))
    database.apply_updates(0, 1, [make_update(), other])
    parts = [make_part("0", 0, "a"), make_part("0", 0, "x", job_id="k"), make_part("0", 1, "b")]
    assert database.save_partial_texts(0, parts, []) == []
    database.save_partial_texts(0, [], [ItemKey("k", "0")])
    found = [(one.job_id, list(one.texts)) for one in database.load_partial_texts(0)]
    assert found == [("j", ["a"]), ("j", ["b"])]


def copy_folder(folder: Path) -> Path:
    """Return a copy of the folder, as after a loss of power."""
    copy = folder.with_name(f"{folder.name}-copy")
    shutil.copytree(folder, copy)
    return copy


def test_partial_texts_are_deleted_with_the_result_and_with_the_job() -> None:
    database = JobDatabase(None)
    database.apply_updates(0, 1, [make_update()])
    database.save_partial_texts(0, [make_part("0", 0, "a"), make_part("1", 0, "b")], [])
    database.apply_updates(0, 1, [make_update(1)])
    assert [one.item_id for one in database.load_partial_texts(0)] == ["1"]
    ended = make_update(1)
    ended.ended = True
    database.apply_updates(0, 1, [ended])
    # Partial texts saved after the end of the job don't count.
    database.save_partial_texts(0, [make_part("1", 1, "c")], [])
    assert database.load_partial_texts(0) == []


def test_corrupt_partial_texts_are_skipped(tmp_path: Path) -> None:
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update()])
    database.save_partial_texts(0, [make_part("0", 0, "a"), make_part("0", 1, "b")], [])
    database.close()
    raw = sqlite3.connect(tmp_path / DATABASE_NAME)
    raw.execute("update item_text set checksum=checksum+1 where from_event=0")
    raw.commit()
    raw.close()
    again = JobDatabase(tmp_path)
    assert [one.from_event for one in again.load_partial_texts(0)] == [1]
    again.close()


def of_submission(update: JobUpdate, submission: int) -> JobUpdate:
    """Return an update that names a submission."""
    update.submission = submission
    return update


def test_an_update_of_another_submission_is_refused() -> None:
    """Guards against results of a deleted job that join those of the job submitted again."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [of_submission(make_update(2), 5)])
    for update in (
        of_submission(make_update(1, first=2, whole=False), 4),
        of_submission(make_update(1, first=2, whole=False), 6),
        of_submission(make_update(3), 4),
    ):
        update.base_epoch = 1
        applied = database.apply_updates(0, 1, [update])
        assert applied is not None and applied.mismatches == (JobState("j", 1, 3, 5),)
    assert database.apply_updates(0, 1, [of_submission(make_update(1), 6)]) == AppliedUpdates()
    (held,) = database.load_jobs(["j"])
    assert (held.submission, len(held.results)) == (6, 1)


def test_a_deletion_spares_a_later_submission_of_its_epoch() -> None:
    """Guards against the loss of a job that was submitted again within an epoch."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [of_submission(make_update(2), 6)])
    deletion = JobUpdate(job_id="j", forgotten=True, base_epoch=1, submission=5)
    for _ in range(2):
        assert database.apply_updates(0, 1, [deletion]) == AppliedUpdates()
        assert database.job_states(0) == [JobState("j", 1, 3, 6)]
    deletion.submission = 6
    database.apply_updates(0, 1, [deletion])
    assert database.job_states(0) == []


def test_only_the_text_of_the_held_submission_is_loaded() -> None:
    """Guards against an item that goes on with the text of a deleted job."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [of_submission(make_update(), 5)])
    old, new = make_part("0", 0, "old"), make_part("0", 0, "new")
    old.submission, new.submission = 5, 6
    database.save_partial_texts(0, [old], [])
    database.apply_updates(0, 1, [of_submission(make_update(), 6)])
    assert database.load_partial_texts(0) == []
    database.save_partial_texts(0, [new, old], [])
    assert [list(part.texts) for part in database.load_partial_texts(0)] == [["new"]]


def test_a_file_of_builds_without_submissions_keeps_its_jobs_and_texts(tmp_path: Path) -> None:
    """Guards against items that begin anew, and jobs that are sent whole, after an upgrade."""
    database = JobDatabase(tmp_path)
    database.apply_updates(0, 1, [make_update(1)])
    database.save_partial_texts(0, [make_part("0", 0, "a", "b")], [])
    database.close()
    with sqlite3.connect(tmp_path / DATABASE_NAME) as connection:
        connection.execute("alter table job drop column submission")
        connection.execute(
            "create table partial_text as select job_id, item_id, from_event, job_group, value,"
            " checksum from item_text"
        )
        connection.execute("drop table item_text")
    connection.close()
    for _ in range(2):
        upgraded = JobDatabase(tmp_path)
        assert upgraded.job_states(0) == [JobState("j", 1, 2)]
        assert [list(part.texts) for part in upgraded.load_partial_texts(0)] == [["a", "b"]]
        upgraded.close()


def test_a_deletion_is_remembered_until_it_is_confirmed() -> None:
    """Guards against a deleted job that a new leader takes from a copy of before the deletion."""
    database = JobDatabase(None)
    database.apply_updates(0, 1, [of_submission(make_update(2), 5)])
    deletion = JobUpdate(job_id="j", forgotten=True, base_epoch=1, submission=5, deletion=REMEMBER)
    for _ in range(2):
        database.apply_updates(0, 1, [deletion])
        assert database.job_states(0) == [JobState("j", 1, 0, 5, is_deleted=True)]
    assert database.load_jobs(["j"]) == []
    confirmed = JobUpdate(job_id="j", forgotten=True, submission=4, deletion=CONFIRMED)
    database.apply_updates(0, 1, [confirmed])
    assert database.job_states(0), "the confirmation of another deletion"
    confirmed.submission = 5
    database.apply_updates(0, 1, [confirmed])
    assert database.job_states(0) == []


def test_a_job_submitted_again_replaces_the_record_of_the_deletion() -> None:
    """Guards against a job that a late confirmation deletes, or a deletion that outlives it."""
    database = JobDatabase(None)
    deletion = JobUpdate(job_id="j", forgotten=True, base_epoch=1, submission=5, deletion=REMEMBER)
    confirmed = JobUpdate(job_id="j", forgotten=True, submission=5, deletion=CONFIRMED)
    database.apply_updates(0, 1, [deletion, of_submission(make_update(1), 6)])
    for late in (confirmed, deletion):
        database.apply_updates(0, 1, [late])
        assert database.job_states(0) == [JobState("j", 1, 2, 6)]
