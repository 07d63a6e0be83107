"""The load board."""

from wharfcart.routing.load_board import (
    MOST_LOADS_A_SUMMARY,
    MOST_REPORTS_A_SECOND,
    LoadBoard,
    NodeLoad,
    report_kept_s,
    report_period_s,
)


def test_each_node_is_told_the_sum_of_the_others() -> None:
    board = LoadBoard()
    board.report("g1", [NodeLoad("a", 2, 10)], 0.0)
    board.report("g2", [NodeLoad("a", 3, 5), NodeLoad("b", 1, 0)], 0.0)
    board.report("g3", [NodeLoad("a", 4, 0)], 0.0)
    assert board.others("g1", 0.0) == {"a": NodeLoad("a", 7, 5), "b": NodeLoad("b", 1, 0)}


def test_a_report_replaces_the_last_one_and_expires() -> None:
    board = LoadBoard()
    board.report("g1", [NodeLoad("a", 2, 0)], 0.0)
    board.report("g1", [NodeLoad("a", 1, 0)], 0.1)
    assert board.others("g2", 0.2)["a"].in_flight == 1
    assert board.others("g2", 5.0) == {}
    assert board.nodes(5.0) == 0


def test_the_rate_of_reports_at_the_board_is_bounded() -> None:
    for nodes in (1, 10, 100, 410, 5000):
        assert nodes / report_period_s(nodes) <= MOST_REPORTS_A_SECOND + 0.001
        assert report_kept_s(nodes) > 3 * report_period_s(nodes)


def test_reports_of_a_large_fleet_count_until_the_next_one() -> None:
    board = LoadBoard()
    for number in range(400):
        board.report(f"g{number}", [NodeLoad("a", 1, 0)], 0.0)
    assert board.others("me", report_period_s(400))["a"].in_flight == 400


def test_a_summary_is_bounded_and_names_the_most_loaded() -> None:
    board = LoadBoard()
    board.report("g", [NodeLoad(f"i{number}", number, 0) for number in range(1000)], 0.0)
    summary = board.summary_for("me", 0.0)
    assert len(summary) == MOST_LOADS_A_SUMMARY
    assert summary[0].in_flight == 999
