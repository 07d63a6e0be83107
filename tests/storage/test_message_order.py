"""Order of a leader's messages at a replica."""

import pytest

from wharfcart.storage.message_order import MessageNumber, MessageOrder


def begun(epoch: int, session: int, *sequences: int) -> MessageOrder:
    """Return an order that has admitted some messages of a session."""
    order = MessageOrder()
    order.begin_session(epoch, session)
    for sequence in sequences:
        assert order.admit(epoch, MessageNumber(session, sequence))
    return order


@pytest.mark.parametrize(
    ("epoch", "session", "sequence"),
    [(5, 2, 3), (5, 2, 1), (5, 1, 9), (5, 3, 1), (4, 2, 4), (4, 7, 1), (6, 2, 4)],
)
def test_a_late_repeated_or_foreign_message_is_refused(
    epoch: int, session: int, sequence: int
) -> None:
    """Guards against a message of before a cut that undoes what came after it."""
    order = begun(5, 2, 1, 3)
    assert not order.admit(epoch, MessageNumber(session, sequence))
    assert order.admit(5, MessageNumber(2, 4))


def test_a_new_session_numbers_its_messages_anew() -> None:
    order = begun(5, 2, 1, 2)
    order.begin_session(5, 3)
    assert order.admit(5, MessageNumber(3, 1))


def test_a_late_promise_does_not_reopen_its_session() -> None:
    """Guards against a repeated promise after which the same messages are admitted again."""
    order = begun(5, 2, 1, 2)
    order.begin_session(5, 1)
    order.begin_session(5, 2)
    order.begin_session(4, 9)
    assert not order.admit(5, MessageNumber(2, 2))
    assert order.admit(5, MessageNumber(2, 3))


def test_a_replica_that_restarted_admits_nothing_before_a_promise() -> None:
    assert not MessageOrder().admit(5, MessageNumber(1, 4))


def test_messages_of_earlier_builds_have_no_number() -> None:
    order = begun(5, 2, 1)
    assert order.admit(5, MessageNumber(0, 0))


def test_numbers_go_on_over_messages_and_sessions() -> None:
    first = MessageNumber().next_message().next_message()
    assert first == (1, 2)
    assert first.next_session() == (2, 0)
