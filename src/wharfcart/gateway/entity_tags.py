"""Entity tags of batch jobs: the submission that a caller's position or cancellation refers to.

A job id may be submitted again after its job was deleted. Answers about a job carry its ``ETag``; a
caller that sends it back in ``If-Match`` gets 412 once the id stands for another submission.
"""

from wharfcart.storage.replicated_job import NO_SUBMISSION, SubmissionId

ANY = "*"


class BadEntityTagError(Exception):
    """The text is no entity tag of a job."""


def entity_tag(submission: int) -> str:
    """Return the entity tag of a submission."""
    return f'"{submission:x}"'


def submission_from(if_match: str | None) -> SubmissionId:
    """Return the submission that a caller names.

    Args:
        if_match: value of the ``If-Match`` header, or None.

    Returns:
        The submission, or NO_SUBMISSION if the caller names none.

    Raises:
        BadEntityTagError: the value is not a single entity tag of a job.
    """
    if if_match is None or if_match.strip() == ANY:
        return NO_SUBMISSION
    try:
        submission = SubmissionId(int(if_match.strip().strip('"'), 16))
    except ValueError as error:
        raise BadEntityTagError(if_match) from error
    if submission <= NO_SUBMISSION or entity_tag(submission) != if_match.strip():
        raise BadEntityTagError(if_match)
    return submission
