"""``wharfcart explain``: what became of a request, a job or an item, and why."""

import dataclasses
import json
from pathlib import Path
from typing import Annotated

import typer

from wharfcart.cli.options import OutputOption
from wharfcart.cli.output import ExitCode, OutputFormat
from wharfcart.observability.timeline import LogLine, Timeline, build_timeline


def explain(
    wanted: Annotated[str, typer.Argument(metavar="ID", help="Id of a request, job or item.")],
    files: Annotated[list[Path], typer.Argument(help="Standard output of the processes.")],
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Gather every decision about an id over the logs of all processes, in order of time."""
    texts = (line for path in files for line in path.open(encoding="utf-8", errors="replace"))
    timeline = build_timeline(wanted, texts)
    if output is OutputFormat.JSON:
        typer.echo(json.dumps(dataclasses.asdict(timeline) | {"verdict": timeline.verdict}))
    else:
        _print(timeline)
    if not timeline.lines:
        raise typer.Exit(int(ExitCode.FAILED))


def _print(timeline: Timeline) -> None:
    typer.echo(f"{timeline.wanted}: {timeline.verdict}")
    if not timeline.lines:
        return
    began = timeline.lines[0].time
    for line in timeline.lines:
        typer.echo(_row(line, began))


def _row(line: LogLine, began: float) -> str:
    mark = "*" if line.direct else " "
    fields = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if value not in (None, "")
    )
    return f"{mark} {line.time - began:8.3f} s  {line.node:<20} {line.event:<20} {fields}"
