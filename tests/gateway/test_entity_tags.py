"""Entity tags of batch jobs."""

import pytest

from wharfcart.gateway.entity_tags import BadEntityTagError, entity_tag, submission_from
from wharfcart.storage.replicated_job import NO_SUBMISSION, submission_id


def test_a_caller_names_the_submission_by_the_tag_that_it_was_given() -> None:
    submission = submission_id(7, 12)
    assert submission_from(entity_tag(submission)) == submission


@pytest.mark.parametrize("if_match", [None, "*", " * "])
def test_no_tag_stands_for_any_submission(if_match: str | None) -> None:
    assert submission_from(if_match) == NO_SUBMISSION


@pytest.mark.parametrize("if_match", ["", '""', "7", '"x"', 'W/"7"', '"7", "8"', '"-7"', '"0"'])
def test_a_malformed_tag_is_refused(if_match: str) -> None:
    """Guards against a tag that is read as another submission, or as none."""
    with pytest.raises(BadEntityTagError):
        submission_from(if_match)
