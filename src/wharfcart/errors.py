"""Errors and findings shared by every layer.

Two kinds exist. A :class:`Finding` is one thing wrong with a document and its place; findings are
collected and reported together. A :class:`ServingError` ends one request and always states its
:class:`Outcome`, because a caller must know whether the effect may have happened.
"""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """What is known of the effect of a request that ended in an error."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


@dataclass(frozen=True)
class Finding:
    """One thing wrong with a document.

    Parameters
    ----------
    file: name of the document, or of the flag or variable that set the value.
    place: key path, with a line number where one is known.
    reason: what is wrong, for a person.
    """

    file: str
    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.place}: {self.reason}"


class FindingsError(Exception):
    """A document was refused; carries every finding in it."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ServingError(Exception):
    """One request ended without a whole answer.

    Parameters
    ----------
    code: stable name of the cause, for programs.
    message: the cause, for a person.
    status: HTTP status.
    outcome: whether the effect may have happened.
    retry_after_seconds: when the caller may come back, if that helps.
    """

    def __init__(
        self,
        code: str,
        message: str,
        status: int,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message
        self.status = status
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds
