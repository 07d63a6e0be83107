"""Order of the messages that a replica receives from its leaders."""

from typing import NamedTuple

# Messages of builds that do not number their messages have this session.
UNNUMBERED = 0
FIRST_SESSION = 1


class MessageNumber(NamedTuple):
    """Position of a message among those of one leader to one replica.

    Attributes:
        session: number of the session in the leader's epoch.
        sequence: number of the message in the session, from 1; 0 for the promise that begins it.
    """

    session: int = FIRST_SESSION
    sequence: int = 0

    def next_message(self) -> "MessageNumber":
        """Return the number of the next message in the session."""
        return MessageNumber(self.session, self.sequence + 1)

    def next_session(self) -> "MessageNumber":
        """Return the number of the promise that begins the next session."""
        return MessageNumber(self.session + 1)


class MessageOrder:
    """Admits each message of the current session once and in order.

    A message that was sent on a connection which the leader has given up may arrive after messages
    on the next one. The replica reports its states when a session begins; nothing of an earlier
    session may change them afterwards.
    """

    def __init__(self) -> None:
        self._epoch = 0
        self._last = MessageNumber(UNNUMBERED)

    def begin_session(self, epoch: int, session: int) -> None:
        """Begin a session after its promise; a repeated promise changes nothing."""
        if (epoch, session) > (self._epoch, self._last.session):
            self._epoch = epoch
            self._last = MessageNumber(session)

    def admit(self, epoch: int, number: MessageNumber) -> bool:
        """Return whether a message is the next one of the current session, and record it.

        Numbers may be skipped: messages get lost.
        """
        if number.session == UNNUMBERED:
            return True
        is_current = epoch == self._epoch and number.session == self._last.session
        if not is_current or number.sequence <= self._last.sequence:
            return False
        self._last = number
        return True
