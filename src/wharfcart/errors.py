"""Errors and findings shared by every layer.

A :class:`Finding` is one problem in a document, with its location; findings are collected and
reported together. A :class:`ServingError` fails one request and always states its
:class:`Outcome`, because the caller must know whether the request may have taken effect.
"""

from dataclasses import dataclass
from enum import StrEnum


class Outcome(StrEnum):
    """Whether a failed request may have taken effect."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    COMPLETED = "completed"


@dataclass(frozen=True)
class Finding:
    """One problem in a document.

    Attributes:
        file: name of the document, or of the flag or variable that set the value.
        place: key path, with a line number if known.
        reason: human-readable description of the problem.
    """

    file: str
    place: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: {self.place}: {self.reason}"


class FindingsError(Exception):
    """Raised when a document is rejected; carries all of its findings."""

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class ServingError(Exception):
    """Raised when a request fails or its response is incomplete.

    Args:
        code: stable, machine-readable name of the cause.
        message: human-readable cause.
        status: HTTP status.
        outcome: whether the request may have taken effect.
        retry_after_seconds: when the caller may retry, if a retry can help.
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
