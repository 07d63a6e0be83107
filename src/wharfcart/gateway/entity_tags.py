"""Entity tags of batch jobs: the submission that a caller's position or cancellation refers to.

A job id may be submitted again after its job was deleted. Answers about a job carry its ``ETag``; a
caller that sends it back in ``If-Match`` gets 412 once the id stands for another submission.
"""

import re

from wharfcart.storage.replicated_job import NO_SUBMISSION, SubmissionId

ANY = "*"
# At most 64 bits, as in the messages between nodes.
_TAG = re.compile(r'"([1-9a-f][0-9a-f]{0,15})"')


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
    found = _TAG.fullmatch(if_match.strip())
    if found is None:
        raise BadEntityTagError(if_match)
    return SubmissionId(int(found[1], 16))
