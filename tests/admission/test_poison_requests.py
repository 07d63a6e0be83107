"""Quarantine of requests that crash back ends."""

from random import Random

import pytest

from wharfcart.admission.poison_requests import (
    EVIDENCE_TTL_S,
    FIRST_QUARANTINE_S,
    MAX_EARLY_CRASH_S,
    MAX_FINGERPRINTS,
    PARTIAL_ANSWER_WEIGHT,
    UNANSWERED_WEIGHT,
    BackendCrash,
    PoisonEvidence,
    PoisonRequests,
    crash_weight,
)
from wharfcart.admission.request_fingerprint import RequestFingerprint, fingerprint_of

FINGERPRINT = RequestFingerprint("c")
OTHER_FINGERPRINT = RequestFingerprint("o")


def seconds_left(
    poison_requests: PoisonRequests, now: float, fingerprint: RequestFingerprint = FINGERPRINT
) -> float:
    return poison_requests.quarantine_left_s(lambda: fingerprint, now)


def crash(
    poison_requests: PoisonRequests, *instances: str, at: float = 0.0, weight: float = 1.0
) -> None:
    for instance in instances:
        poison_requests.record_crash(FINGERPRINT, instance, weight, at)


def test_one_crash_does_not_quarantine() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a")
    assert seconds_left(poison_requests, 0.0) == 0.0


def test_several_runs_at_one_crash_count_once() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "a", "a")
    assert seconds_left(poison_requests, 0.0) == 0.0


def test_a_popular_request_is_not_quarantined_for_crashes_that_poison_requests_explain() -> None:
    """Two poison requests crash four back ends, each of which had begun to answer a third one."""
    poison_requests = PoisonRequests()
    others = (RequestFingerprint("poison-1"), RequestFingerprint("poison-2"))
    for n, at in enumerate((0.0, 0.33, 0.9, 1.23)):
        poison_requests.record_crash(others[n % 2], str(n), UNANSWERED_WEIGHT, at)
        crash(poison_requests, str(n), at=at, weight=PARTIAL_ANSWER_WEIGHT)
    assert all(seconds_left(poison_requests, 1.3, other) > 0.0 for other in others)
    assert seconds_left(poison_requests, 1.3) == 0.0


def test_quarantine_grows_with_the_number_of_crashes() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "b")
    assert seconds_left(poison_requests, 1.0) == FIRST_QUARANTINE_S - 1.0
    assert seconds_left(poison_requests, FIRST_QUARANTINE_S) == 0.0, "released for another run"
    crash(poison_requests, "c", at=FIRST_QUARANTINE_S)
    assert seconds_left(poison_requests, FIRST_QUARANTINE_S) == EVIDENCE_TTL_S


def test_nodes_release_a_fingerprint_at_different_times() -> None:
    first, second = PoisonRequests(), PoisonRequests(release_jitter_s=2.0)
    for poison_requests in (first, second):
        crash(poison_requests, "a", "b")
    assert seconds_left(first, FIRST_QUARANTINE_S) == 0.0 < seconds_left(second, FIRST_QUARANTINE_S)
    second.record_crash(FINGERPRINT, "c", 1.0, FIRST_QUARANTINE_S + 0.5)
    assert seconds_left(second, FIRST_QUARANTINE_S + 2.5) > FIRST_QUARANTINE_S
    third = PoisonRequests(release_jitter_s=2.0)
    crash(third, "a")
    assert seconds_left(third, 0.0) == 0.0, "jitter does not quarantine after one crash"


def test_other_fingerprints_are_not_quarantined() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "b", "c")
    assert seconds_left(poison_requests, 0.0, OTHER_FINGERPRINT) == 0.0


def test_crash_weight_depends_on_answer_and_duration() -> None:
    assert crash_weight(False, 60.0) == UNANSWERED_WEIGHT
    assert crash_weight(True, MAX_EARLY_CRASH_S / 2) == PARTIAL_ANSWER_WEIGHT
    assert crash_weight(True, MAX_EARLY_CRASH_S) == 0.0
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "b", "c", weight=PARTIAL_ANSWER_WEIGHT)
    assert seconds_left(poison_requests, 0.0) == 0.0
    crash(poison_requests, "d", weight=PARTIAL_ANSWER_WEIGHT)
    assert seconds_left(poison_requests, 0.0) == FIRST_QUARANTINE_S


def test_answer_clears_the_evidence() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "b")
    poison_requests.record_answer(lambda: FINGERPRINT)
    assert seconds_left(poison_requests, 0.0) == 0.0
    crash(poison_requests, "c")
    assert seconds_left(poison_requests, 0.0) == 0.0


def test_peer_clock_ahead_does_not_extend_the_quarantine() -> None:
    ahead = PoisonRequests()
    crash(ahead, "a", "b", at=5000.0)
    here = PoisonRequests()
    here.apply_shared(FINGERPRINT, ahead.evidence(FINGERPRINT).clamped_to(100.0))
    assert seconds_left(here, 100.0) == FIRST_QUARANTINE_S
    assert seconds_left(here, 100.0 + FIRST_QUARANTINE_S) == 0.0


def test_quarantine_is_bounded() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, *(f"b{number}" for number in range(2000)))
    assert seconds_left(poison_requests, 0.0) == EVIDENCE_TTL_S


def test_evidence_of_two_nodes_adds_up() -> None:
    here, there = PoisonRequests(), PoisonRequests()
    crash(here, "a")
    crash(there, "b")
    here.apply_shared(FINGERPRINT, there.unpublished(9)[FINGERPRINT])
    assert seconds_left(here, 0.0) == FIRST_QUARANTINE_S
    assert set(here.unpublished(9)[FINGERPRINT].crashes_by_key) == {"a", "b"}


def test_shared_evidence_is_not_published_again() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a")
    to_publish = poison_requests.unpublished(9)
    poison_requests.apply_shared(FINGERPRINT, to_publish[FINGERPRINT])
    assert not poison_requests.unpublished(9)
    assert len(poison_requests) == 1


def test_answer_removes_shared_evidence() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "b")
    poison_requests.apply_shared(FINGERPRINT, poison_requests.unpublished(9)[FINGERPRINT])
    poison_requests.record_answer(lambda: FINGERPRINT)
    assert poison_requests.removable(0.0, 9) == [FINGERPRINT]
    poison_requests.mark_removed([FINGERPRINT])
    poison_requests.apply_shared(FINGERPRINT, None)
    assert not len(poison_requests) and not poison_requests.removable(0.0, 9)


def test_evidence_received_after_an_answer_is_kept() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a")
    poison_requests.record_answer(lambda: FINGERPRINT)
    other = PoisonRequests()
    crash(other, "b")
    poison_requests.record_peer_evidence(FINGERPRINT, other.evidence(FINGERPRINT))
    poison_requests.mark_published(poison_requests.unpublished(9))
    assert poison_requests.removable(0.0, 9) == []


def test_expired_evidence_is_removable_and_does_not_quarantine() -> None:
    poison_requests = PoisonRequests()
    crash(poison_requests, "a", "b", "c")
    poison_requests.apply_shared(FINGERPRINT, poison_requests.unpublished(9)[FINGERPRINT])
    assert seconds_left(poison_requests, EVIDENCE_TTL_S + 1.0) == 0.0
    assert poison_requests.removable(EVIDENCE_TTL_S + 1.0, 9) == [FINGERPRINT]


def test_number_of_fingerprints_is_bounded() -> None:
    poison_requests = PoisonRequests()
    for number in range(MAX_FINGERPRINTS + 50):
        poison_requests.record_crash(RequestFingerprint(f"{number}"), "a", 1.0, float(number))
    assert len(poison_requests) == MAX_FINGERPRINTS
    assert not len(poison_requests.evidence(RequestFingerprint("0")).crashes_by_key)


def test_fingerprint_is_computed_only_if_evidence_exists() -> None:
    def never() -> RequestFingerprint:
        raise AssertionError("computed a fingerprint without any evidence")

    poison_requests = PoisonRequests()
    assert poison_requests.quarantine_left_s(never, 0.0) == 0.0
    poison_requests.record_answer(never)


@pytest.mark.parametrize("seed", range(20))
def test_only_the_poison_request_is_quarantined(
    seed: int,
) -> None:
    """Callers retry interrupted requests; only the poison request never gets an answer."""
    rng = Random(seed)
    poison_requests = PoisonRequests()
    others = [RequestFingerprint(f"o{number}") for number in range(40)]
    poison_runs = 0
    now = 0.0
    for number in range(60):
        now += rng.uniform(0.2, 2.0)
        bystanders = rng.sample(others, 14)
        if seconds_left(poison_requests, now) == 0.0:
            poison_runs += 1
            poison_requests.record_crash(FINGERPRINT, f"b{number}", 1.0, now)
            for fingerprint in bystanders:
                answer_begun = rng.random() < 0.95
                ran_s = rng.uniform(0.0, 1.5)
                weight = crash_weight(answer_begun, ran_s)
                if weight:
                    poison_requests.record_crash(fingerprint, f"b{number}", weight, now)
        for fingerprint in rng.sample(others, 14):
            if seconds_left(poison_requests, now, fingerprint) == 0.0:
                poison_requests.record_answer(lambda fingerprint=fingerprint: fingerprint)
    assert poison_runs <= 3
    assert all(seconds_left(poison_requests, now, fingerprint) == 0.0 for fingerprint in others)


def test_fingerprint_depends_on_tenant_path_and_body() -> None:
    one = fingerprint_of("h", "POST", "/p", "t", b"body")
    assert one == fingerprint_of("h", "POST", "/p", "t", b"body")
    assert one != fingerprint_of("h", "POST", "/p", "u", b"body")
    assert one != fingerprint_of("h", "POST", "/q", "t", b"body")
    assert one != fingerprint_of("h", "POST", "/p", "t", b"bodies")
    assert fingerprint_of("h", "POST", "/pt", "", b"") != fingerprint_of(
        "h", "POST", "/p", "t", b""
    )


def test_each_crash_of_a_restarted_back_end_counts() -> None:
    """Guards against a later crash replacing the evidence of an earlier one of the same id."""
    poison_requests = PoisonRequests()
    for number in range(3):
        crash(poison_requests, "a", at=number * 3.1)
    assert poison_requests.evidence(FINGERPRINT).total_weight() == 3.0
    assert seconds_left(poison_requests, 6.2) > FIRST_QUARANTINE_S


def test_crash_seen_by_several_nodes_counts_once() -> None:
    here, there = PoisonRequests(), PoisonRequests()
    crash(here, "a", at=10.0)
    crash(there, "a", at=10.3)
    crash(there, "a", at=13.4)
    here.record_peer_evidence(FINGERPRINT, there.evidence(FINGERPRINT))
    there.record_peer_evidence(FINGERPRINT, here.evidence(FINGERPRINT))
    for poison_requests in (here, there):
        assert poison_requests.evidence(FINGERPRINT).total_weight() == 2.0
        assert poison_requests.evidence(FINGERPRINT).covers(
            PoisonEvidence({"a": BackendCrash(13.2, 1.0)})
        )
        assert not poison_requests.evidence(FINGERPRINT).covers(
            PoisonEvidence({"a": BackendCrash(20.0, 1.0)})
        )


def test_crashes_of_one_id_stay_distinct_when_a_peer_clock_is_ahead() -> None:
    ahead = PoisonRequests()
    crash(ahead, "a", at=100.0)
    crash(ahead, "a", at=103.0)
    here = PoisonRequests()
    here.record_peer_evidence(FINGERPRINT, ahead.evidence(FINGERPRINT).clamped_to(5.0))
    crash(here, "b", at=5.0, weight=PARTIAL_ANSWER_WEIGHT)
    assert here.evidence(FINGERPRINT).total_weight() == 2.0 + PARTIAL_ANSWER_WEIGHT
    assert here.evidence(FINGERPRINT).last_crash_at() == 5.0


def test_smallest_weight_counts_among_runs_at_one_crash() -> None:
    """Guards against quarantining a popular request of which some answers had begun."""
    poison_requests = PoisonRequests()
    for number, instance in enumerate("abc"):
        crash(poison_requests, instance, at=number * 0.4, weight=PARTIAL_ANSWER_WEIGHT)
        crash(poison_requests, instance, at=number * 0.4 + 0.01, weight=UNANSWERED_WEIGHT)
    assert poison_requests.evidence(FINGERPRINT).total_weight() == 3 * PARTIAL_ANSWER_WEIGHT
    assert seconds_left(poison_requests, 1.0) == 0.0


def test_a_crash_that_no_suspected_request_explains_counts() -> None:
    """Guards against a poison request that answers first and hides behind bystanders."""
    poison_requests = PoisonRequests()
    for n in range(4):
        crash(poison_requests, str(n), at=float(n), weight=PARTIAL_ANSWER_WEIGHT)
        bystander = RequestFingerprint(f"bystander-{n}")
        poison_requests.record_crash(bystander, str(n), UNANSWERED_WEIGHT, float(n))
    assert seconds_left(poison_requests, 3.0) > 0.0


def test_a_suspected_request_explains_only_crashes_at_which_it_ran() -> None:
    """Guards against a poison request that another one frees, also after a restart of one id."""
    poison_requests = PoisonRequests()
    for at in (0.0, 5.0):
        poison_requests.record_crash(OTHER_FINGERPRINT, "a", UNANSWERED_WEIGHT, at)
    for at in (0.0, 10.0, 20.0, 30.0):
        crash(poison_requests, "a", at=at, weight=PARTIAL_ANSWER_WEIGHT)
    assert seconds_left(poison_requests, 30.0) == 0.0
    crash(poison_requests, "a", at=40.0, weight=PARTIAL_ANSWER_WEIGHT)
    assert seconds_left(poison_requests, 40.0) > 0.0


def test_two_requests_without_an_answer_do_not_explain_each_other() -> None:
    """Guards against two poison requests that are sent together and both run on."""
    poison_requests = PoisonRequests()
    for instance in ("a", "b"):
        crash(poison_requests, instance)
        poison_requests.record_crash(OTHER_FINGERPRINT, instance, UNANSWERED_WEIGHT, 0.0)
    assert seconds_left(poison_requests, 0.0) > 0.0
    assert seconds_left(poison_requests, 0.0, OTHER_FINGERPRINT) > 0.0


def test_a_crash_counts_again_once_the_request_that_explained_it_is_answered() -> None:
    """Guards against evidence that stays explained by a request that turned out harmless."""
    poison_requests = PoisonRequests()
    for n in range(4):
        crash(poison_requests, str(n), weight=PARTIAL_ANSWER_WEIGHT)
        poison_requests.record_crash(OTHER_FINGERPRINT, str(n), UNANSWERED_WEIGHT, 0.0)
    assert seconds_left(poison_requests, 0.0) == 0.0
    poison_requests.record_answer(lambda: OTHER_FINGERPRINT)
    assert seconds_left(poison_requests, 0.0) > 0.0
