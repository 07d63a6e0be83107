"""Readers of foreign values use the grammar, not Python's wider notions of digits and lines."""

import ast
from pathlib import Path

import pytest

SOURCES = Path(__file__).parents[2] / "src" / "wharfcart"
# Methods that are true for more than a conversion takes, or split at more than a format ends.
WIDE_METHODS = {"isdigit", "isnumeric", "isdecimal", "splitlines"}
# These serve no callers.
TOOLS = {"experiments", "soak", "emulator"}
# Instance ids with a start time in keys of this product's own; nothing is converted.
ALLOWED = {("admission/crashing_parts.py", "isdigit"), ("admission/poison_requests.py", "isdigit")}


def wide_calls(source: str) -> set[str]:
    """Return the wide methods that a module calls."""
    calls = (node for node in ast.walk(ast.parse(source)) if isinstance(node, ast.Call))
    functions = {call.func.attr for call in calls if isinstance(call.func, ast.Attribute)}
    return functions & WIDE_METHODS


# Guards against a check that doesn't match the conversion after it, anywhere in the product.
def test_no_module_checks_digits_or_splits_lines_by_wider_notions() -> None:
    found = {
        (path.relative_to(SOURCES).as_posix(), method)
        for path in SOURCES.rglob("*.py")
        if not path.name.endswith("_pb2.py") and not TOOLS & set(path.parts)
        for method in wide_calls(path.read_text())
    }
    assert found == ALLOWED


@pytest.mark.parametrize("method", sorted(WIDE_METHODS))
def test_a_planted_call_is_found(method: str) -> None:
    assert wide_calls(f"if value.strip().{method}():\n    number = int(value)\n") == {method}
