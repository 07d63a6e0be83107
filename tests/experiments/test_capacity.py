"""The capacity page matches the committed figures."""

from pathlib import Path

from wharfcart.experiments.capacity import (
    compute_rows,
    load_figures,
    render_table,
    replace_table,
)

ROOT = Path(__file__).parents[2]


def test_page_and_figures_agree() -> None:
    page = (ROOT / "docs/CAPACITY.md").read_text(encoding="utf-8")
    table = render_table(compute_rows(load_figures(ROOT / "docs/figures")))
    assert replace_table(page, table) == page


def test_no_figure_exceeds_its_limit() -> None:
    rows = compute_rows(load_figures(ROOT / "docs/figures"))
    over = {(row.role, row.figure) for row in rows if row.verdict == "OVER"}
    assert over == set()
