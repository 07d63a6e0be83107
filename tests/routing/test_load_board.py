"""The load board."""

import random

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


def test_sums_stay_right_over_many_reports() -> None:
    rng = random.Random(3)
    board = LoadBoard()
    last: dict[str, list[NodeLoad]] = {}
    for step in range(500):
        node = f"g{rng.randrange(6)}"
        last[node] = [
            NodeLoad(server, rng.randint(1, 4), rng.randrange(100), rng.random() < 0.1)
            for server in rng.sample("abcd", rng.randint(0, 4))
        ]
        board.report(node, last[node], step / 1000, {"lm": 1.0})
    told = board.others("g0", 0.5)
    for server in "abcd":
        others = [load for node, loads in last.items() if node != "g0" for load in loads]
        in_flight = sum(load.in_flight for load in others if load.instance_id == server)
        assert told[server].in_flight == in_flight
    assert board.others_rates("g0", 0.5) == {"lm": 5.0}
