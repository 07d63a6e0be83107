"""How long finished jobs stay readable."""

import time

import pytest

from wharfcart.batch.job_retention import JobRetention
from wharfcart.cluster.messages_pb2 import ItemOutcome, RequestItem, RequestJob
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.replicated_job import ReplicatedJob, submission_id

KEEP_S = 180.0


def finished_job(job_id: str, accepted_ms: int = 0, number: int = 1) -> ReplicatedJob:
    job = RequestJob(job_id=job_id, accepted_ms=accepted_ms)
    return ReplicatedJob(job, 1, submission=submission_id(1, number))


def test_a_job_that_ran_longer_than_its_retention_stays_readable_after_its_end() -> None:
    """Guards against results that are deleted before their caller can read them."""
    retention = JobRetention(KEEP_S)
    accepted_ms = int((time.time() - 10 * KEEP_S) * 1000)
    jobs = [finished_job("a", accepted_ms)]
    assert retention.expired_jobs(jobs, 1000.0) == []
    assert retention.expired_jobs(jobs, 1000.0 + KEEP_S) == []
    assert retention.expired_jobs(jobs, 1000.0 + KEEP_S + 1.0) == jobs


def test_a_change_of_the_time_of_day_cuts_no_retention_short(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    retention = JobRetention(KEEP_S)
    jobs = [finished_job("a", int(time.time() * 1000))]
    retention.expired_jobs(jobs, 1000.0)
    monkeypatch.setattr(time, "time", lambda: 4e9)
    assert retention.expired_jobs(jobs, 1001.0) == []


def test_the_job_that_finished_first_is_deleted_first() -> None:
    retention = JobRetention(KEEP_S)
    first, second = finished_job("b"), finished_job("a")
    retention.expired_jobs([first], 0.0)
    retention.expired_jobs([second, first], 1.0)
    assert retention.expired_jobs([second, first], KEEP_S + 2.0) == [first, second]


def test_a_job_submitted_again_has_a_retention_of_its_own() -> None:
    """Guards against a job that is deleted at the end of the retention of an earlier one."""
    retention = JobRetention(KEEP_S)
    retention.expired_jobs([finished_job("a", number=1)], 0.0)
    assert retention.expired_jobs([finished_job("a", number=2)], KEEP_S + 1.0) == []


def test_the_retention_of_a_job_begins_with_the_commit_of_its_end() -> None:
    """Guards against a job that expires while its last result can't be read yet."""
    leadership = JobLeadership(1, 2, frozenset({"a", "b"}))
    for identity in ("a", "b"):
        leadership.add_replica(identity, [])
    leadership.accept_job(RequestJob(job_id="j", items=[RequestItem(item_id="0")]))
    assert list(leadership.finished_jobs()) == []
    leadership.append_result("j", ItemOutcome(item_id="0"))
    for identity, finished in (("a", 0), ("b", 1)):
        leadership.record_written(identity, leadership.updates_for(identity))
        assert len(list(leadership.finished_jobs())) == finished
