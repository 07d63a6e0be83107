"""Records of idempotency keys: attempts of one request, late and repeated commands."""

from wharfcart.cluster.messages_pb2 import Command, KeyFinish, KeyRecord, KeyStart, ProposeResult
from wharfcart.storage.shard_state import KeyState, ShardState

KEY = "request/t/k"


class Keys:
    """A shard whose commands take effect at once."""

    def __init__(self) -> None:
        self._state = ShardState()

    @property
    def record(self) -> KeyRecord:
        return self._state.keys[KEY]

    def start(self, request_id: str, target: str, attempt: int) -> ProposeResult:
        start = KeyStart(key=KEY, digest="d", request_id=request_id, target=target, attempt=attempt)
        return self._apply(Command(at_ms=1, key_start=start))

    def finish(self, request_id: str, state: KeyState, attempt: int) -> ProposeResult:
        finish = KeyFinish(key=KEY, request_id=request_id, state=state, attempt=attempt)
        return self._apply(Command(at_ms=2, key_finish=finish))

    def _apply(self, command: Command) -> ProposeResult:
        return self._state.apply(self._state.applied_index + 1, command)


def test_a_late_claim_does_not_name_an_earlier_back_end() -> None:
    """Guards against a second run: the earlier back end would answer that nothing ran."""
    keys = Keys()
    keys.start("r", "a", 1)
    keys.start("r", "b", 2)
    assert keys.start("r", "a", 1).code == "key_known"
    assert (keys.record.start.target, keys.record.start.attempt) == ("b", 2)


def test_a_late_outcome_of_an_earlier_attempt_does_not_end_the_next_one() -> None:
    """Guards against a second run: a repeated request starts if the record says "not run"."""
    keys = Keys()
    keys.start("r", "a", 1)
    keys.start("r", "b", 2)
    for state in (KeyState.NOT_RUN, KeyState.UNKNOWN):
        assert keys.finish("r", state, 1).code == "key_known"
    assert keys.record.state == KeyState.STARTED
    assert keys.start("other", "c", 1).code == "key_known"


def test_a_late_claim_does_not_start_a_request_that_has_ended() -> None:
    """Guards against a key that stays taken although nothing runs."""
    keys = Keys()
    keys.start("r", "a", 1)
    keys.finish("r", KeyState.NOT_RUN, 2)  # the second claim got no answer
    assert keys.start("r", "b", 2).code == "key_known"
    assert keys.record.state == KeyState.NOT_RUN
    assert keys.start("next", "b", 1).code == "ok"


def test_a_repeated_claim_or_outcome_changes_nothing() -> None:
    keys = Keys()
    for _ in range(2):
        assert keys.start("r", "a", 1).code == "ok"
    for code in ("ok", "key_known"):
        assert keys.finish("r", KeyState.COMPLETED, 1).code == code
    assert keys.start("r", "a", 1).code == "key_known"
    assert keys.record.state == KeyState.COMPLETED


def test_a_response_of_an_earlier_attempt_is_kept() -> None:
    keys = Keys()
    keys.start("r", "a", 1)
    keys.start("r", "b", 2)
    assert keys.finish("r", KeyState.COMPLETED, 1).code == "ok"
    assert keys.finish("r", KeyState.NOT_RUN, 2).code == "key_known"
    assert keys.record.state == KeyState.COMPLETED


def test_outcomes_and_claims_of_other_requests_change_nothing() -> None:
    keys = Keys()
    keys.start("r", "a", 1)
    keys.finish("r", KeyState.NOT_RUN, 1)
    keys.start("next", "b", 1)
    assert keys.finish("r", KeyState.NOT_RUN, 1).code == "key_not_found"
    assert keys.start("r", "a", 1).code == "key_known"
    assert (keys.record.start.request_id, keys.record.state) == ("next", KeyState.STARTED)


def test_unnumbered_attempts_of_earlier_builds_are_admitted() -> None:
    keys = Keys()
    keys.start("r", "a", 0)
    keys.start("r", "b", 0)
    assert keys.record.start.target == "b"
    assert keys.finish("r", KeyState.NOT_RUN, 0).code == "ok"
