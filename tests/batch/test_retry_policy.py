"""When an item is given up."""

from wharfcart.batch.retry_policy import has_failed_permanently


def test_an_item_that_fails_at_back_ends_that_do_well_is_given_up_at_once() -> None:
    assert not has_failed_permanently(2, 2, 2, 3)
    assert has_failed_permanently(3, 3, 3, 3)


def test_an_item_that_failed_where_much_fails_is_tried_more_often() -> None:
    assert not has_failed_permanently(3, 3, 1, 3)
    assert not has_failed_permanently(5, 5, 2, 3)
    assert has_failed_permanently(6, 6, 2, 3)


def test_where_there_are_too_few_back_ends_the_route_decides() -> None:
    assert has_failed_permanently(3, 1, 0, 3)
