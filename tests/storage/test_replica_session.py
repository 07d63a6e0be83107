"""A leader's session with a replica that refuses messages, updates or texts."""

import asyncio
from collections.abc import Sequence

from wharfcart.cluster.messages_pb2 import (
    ItemOutcome,
    JobUpdate,
    PartialText,
    RequestItem,
    RequestJob,
)
from wharfcart.experiments.job_group_simulation import simulated_clock
from wharfcart.experiments.virtual_time import run_in_virtual_time
from wharfcart.observability.decisions import DecisionLog
from wharfcart.storage.job_leadership import JobLeadership
from wharfcart.storage.message_order import MessageNumber
from wharfcart.storage.partial_texts import ItemKey, PartialTexts
from wharfcart.storage.replica_session import Mismatches, ReplicaFailedError, ReplicaSession
from wharfcart.storage.replicated_job import JobState, submission_id

EPOCH = 3


class FakeLink:
    """A replica that gives the listed answers in turn, then accepts everything."""

    def __init__(self, *answers: Mismatches | Exception, states: Sequence[JobState] = ()) -> None:
        self.answers = list(answers)
        self.states = list(states)
        self.fences: list[int] = []
        self.numbers: list[MessageNumber] = []
        self.updates: list[list[JobUpdate]] = []
        self.texts: list[list[PartialText]] = []
        self.always: Mismatches | None = None

    async def fence(self, epoch: int, session: int) -> list[JobState]:
        self.fences.append(session)
        return self.states

    async def replicate(
        self,
        epoch: int,
        number: MessageNumber,
        updates: Sequence[JobUpdate],
        partial_texts: Sequence[PartialText],
    ) -> Mismatches:
        self.numbers.append(number)
        self.updates.append(list(updates))
        self.texts.append(list(partial_texts))
        await asyncio.sleep(0.001)
        answer = self.answers.pop(0) if self.answers else self.always or Mismatches()
        if isinstance(answer, Exception):
            raise answer
        return answer

    def round_trip_s(self) -> float:
        return 0.0

    def drop_connection(self) -> None:
        return


# The first submission that the leader of the epoch accepts.
SUBMISSION = submission_id(EPOCH, 1)


def make_leadership(results: int) -> JobLeadership:
    """Return the leadership of a group whose write quorum is this one replica."""
    leadership = JobLeadership(EPOCH, 1, frozenset({"b"}))
    leadership.accept_job(
        RequestJob(job_id="j", items=[RequestItem(item_id=str(n)) for n in range(9)])
    )
    for number in range(results):
        assert leadership.append_result("j", ItemOutcome(item_id=str(number)))
    return leadership


def run_session(link: FakeLink, leadership: JobLeadership, texts: PartialTexts, s: float) -> None:
    """Run a session for some virtual seconds."""

    async def scenario() -> None:
        session = ReplicaSession(
            "b",
            link,  # type: ignore[arg-type]
            leadership,
            texts,
            lambda: None,
            lambda _epoch: None,
            DecisionLog("a"),
        )
        task = asyncio.create_task(session.run())
        await asyncio.sleep(s)
        task.cancel()

    with simulated_clock():
        run_in_virtual_time(scenario())


def test_a_refused_update_is_not_committed_and_the_rest_is_sent_from_what_is_held() -> None:
    """Guards against an acknowledgement of results that no replica holds."""
    leadership = make_leadership(results=4)
    link = FakeLink(
        Mismatches(jobs=(JobState("j", EPOCH, 2, SUBMISSION),)),
        states=[JobState("j", EPOCH, 4, SUBMISSION)],
    )
    committed: list[int] = []
    replicate = link.replicate

    async def record_and_replicate(*arguments) -> Mismatches:
        committed.append(leadership.committed_version("j"))
        return await replicate(*arguments)

    link.replicate = record_and_replicate  # type: ignore[method-assign]
    run_session(link, leadership, PartialTexts(), 0.1)
    first, second = link.updates[0][0], link.updates[1][0]
    assert (first.from_result, len(first.results)) == (3, 1)
    assert (second.from_result, len(second.results), second.base_epoch) == (1, 3, EPOCH)
    assert committed[1] == 4, "what the promise told counts; the refused result doesn't"
    assert leadership.committed_version("j") == 5


def test_a_job_that_the_replica_lacks_is_sent_whole() -> None:
    """Guards against a replica that refuses the same update for ever."""
    leadership = make_leadership(results=2)
    link = FakeLink(
        Mismatches(jobs=(JobState("j", 0, 0),)), states=[JobState("j", EPOCH, 2, SUBMISSION)]
    )
    run_session(link, leadership, PartialTexts(), 0.1)
    assert not link.updates[0][0].HasField("job")
    assert link.updates[1][0].HasField("job") and len(link.updates[1][0].results) == 2
    assert not leadership.is_behind("b")


def test_the_same_refusal_again_costs_no_busy_loop() -> None:
    """Guards against a processor and a log that are used up by one job."""
    link = FakeLink(states=[JobState("j", EPOCH, 2, SUBMISSION)])
    link.always = Mismatches(jobs=(JobState("j", 1, 1),))
    run_session(link, make_leadership(results=2), PartialTexts(), 5.0)
    assert 10 < len(link.numbers) < 30


def test_a_refused_text_is_sent_whole() -> None:
    """Guards against a copy that never gets the beginning that it lacks."""
    texts = PartialTexts(leader_epoch=EPOCH)
    text = texts.get_or_create("j", "0")
    text.add_event(0, "a")
    link = FakeLink(
        Mismatches(),
        Mismatches(text_items=(ItemKey("j", "0"),)),
        states=[JobState("j", EPOCH, 1, SUBMISSION)],
    )
    replicate = link.replicate

    async def add_event_and_replicate(*arguments) -> Mismatches:
        answer = await replicate(*arguments)
        if len(text.texts) == 1:
            text.add_event(1, "b")
        return answer

    link.replicate = add_event_and_replicate  # type: ignore[method-assign]
    run_session(link, make_leadership(results=0), texts, 1.0)
    sent = [(part.from_event, list(part.texts)) for parts in link.texts for part in parts]
    assert sent == [(0, ["a"]), (1, ["b"]), (0, ["a", "b"])]


def test_a_session_after_a_failure_has_a_higher_number() -> None:
    """Guards against late messages that a replica can't tell from those of the next session."""
    link = FakeLink(
        Mismatches(), ReplicaFailedError("lost"), states=[JobState("j", EPOCH, 1, SUBMISSION)]
    )
    run_session(link, make_leadership(results=0), PartialTexts(), 1.0)
    assert link.fences == [1, 2]
    assert link.numbers[:3] == [(1, 1), (1, 2), (2, 1)]
