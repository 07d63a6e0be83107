"""Output of commands: tables for people, JSON for programs, errors on standard error."""

import json
import sys
from collections.abc import Iterable
from enum import IntEnum, StrEnum
from typing import Any, NoReturn, TypeVar

import typer
from returns.result import Failure, Result
from rich.console import Console
from rich.table import Table

from wharfcart.errors import Finding

_Value = TypeVar("_Value")


class ExitCode(IntEnum):
    """Exit codes of every command (docs/operations/command-line.md)."""

    OK = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    UNREACHABLE = 5
    UNKNOWN_OUTCOME = 6


class OutputFormat(StrEnum):
    """How a command prints its answer."""

    TABLE = "table"
    JSON = "json"


def print_result(
    result: Any, output: OutputFormat, columns: list[str] | None = None, rows: Any = None
) -> None:
    """Print an answer: as JSON, or its rows as a table."""
    if output is OutputFormat.JSON:
        print(json.dumps(result, indent=2))
        return
    if columns is None or rows is None:
        for key, value in result.items():
            print(f"{key}: {value}")
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    width = None if sys.stdout.isatty() else 160
    Console(width=width).print(table)


def fail(message: str, code: ExitCode) -> NoReturn:
    """Print an error and end the command."""
    print(f"error: {message}", file=sys.stderr)
    raise typer.Exit(int(code))


def unwrap_or_fail(result: Result[_Value, list[Finding]]) -> _Value:
    """Return a result's value; findings end the command."""
    if isinstance(result, Failure):
        fail_findings(result.failure())
    return result.unwrap()


def fail_findings(findings: Iterable[Finding]) -> NoReturn:
    """Print every finding and end the command."""
    for finding in findings:
        print(str(finding), file=sys.stderr)
    raise typer.Exit(int(ExitCode.FINDINGS))
