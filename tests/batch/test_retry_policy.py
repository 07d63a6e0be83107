"""Attempts after which a failing item is given up."""

from wharfcart.batch.retry_policy import has_failed_permanently


def test_an_item_that_fails_on_healthy_backends_is_given_up_at_the_limit() -> None:
    assert not has_failed_permanently(2, 2, 2, 3)
    assert has_failed_permanently(3, 3, 3, 3)


def test_an_item_that_fails_on_failing_backends_gets_more_attempts() -> None:
    assert not has_failed_permanently(3, 3, 1, 3)
    assert not has_failed_permanently(5, 5, 2, 3)
    assert has_failed_permanently(6, 6, 2, 3)


def test_with_too_few_backends_the_limit_of_the_route_applies() -> None:
    assert has_failed_permanently(3, 1, 0, 3)
