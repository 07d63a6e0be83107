"""``wharfcart batch``: submit, status, cancel, results."""

import asyncio
import sys
import time
from pathlib import Path
from typing import Annotated, Any

import aiohttp
import typer
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn

from wharfcart.cli.client import ApiClient
from wharfcart.cli.options import KeyOption, OutputOption, ServerOption
from wharfcart.cli.output import ExitCode, OutputFormat, fail, print_result

app = typer.Typer(help="Batch jobs.", no_args_is_help=True)

POLL_INTERVAL_S = 0.5
FINAL_STATES = ("completed", "cancelled", "failed", "expired")
JobArgument = Annotated[str, typer.Argument(help="Job id")]


@app.command()
def submit(
    file: Annotated[Path, typer.Argument(help="JSONL file", exists=True, dir_okay=False)],
    server: ServerOption,
    key: KeyOption,
    idempotency_key: Annotated[
        str | None, typer.Option(help="The same key on a repeated call is the same job.")
    ] = None,
    window: Annotated[str, typer.Option(help="Completion window, such as 24h.")] = "24h",
    wait: Annotated[bool, typer.Option(help="Wait until the job ends.")] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Upload a file and create a job of it."""
    client = ApiClient(server, key)
    uploaded = client.call(
        "POST", "/v1/files", data=file.read_bytes(), headers={"Content-Type": "application/jsonl"}
    )
    body = {"input_file_id": uploaded["id"], "completion_window": window}
    headers = {"Idempotency-Key": idempotency_key} if idempotency_key else {}
    job = client.call("POST", "/v1/batches", body, headers)
    if wait:
        job = _wait(client, job)
    _print_job(job, output)


@app.command()
def status(
    job_id: JobArgument,
    server: ServerOption,
    key: KeyOption,
    wait: Annotated[bool, typer.Option(help="Wait until the job ends.")] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show a job."""
    client = ApiClient(server, key)
    job = client.call("GET", f"/v1/batches/{job_id}")
    _print_job(_wait(client, job) if wait else job, output)


@app.command()
def cancel(
    job_id: JobArgument,
    server: ServerOption,
    key: KeyOption,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Cancel a job."""
    _print_job(ApiClient(server, key).call("POST", f"/v1/batches/{job_id}/cancel"), output)


@app.command()
def results(
    job_id: JobArgument,
    server: ServerOption,
    key: KeyOption,
    first: Annotated[int, typer.Option(help="First input row.")] = 0,
    limit: Annotated[int | None, typer.Option(help="At most so many rows.")] = None,
) -> None:
    """Write results so far to standard output, in input order."""
    path = f"/v1/batches/{job_id}/results?first={first}"
    if limit is not None:
        path += f"&limit={limit}"

    async def copy() -> None:
        async for line in ApiClient(server, key).lines(path):
            sys.stdout.buffer.write(line)

    try:
        asyncio.run(copy())
    except aiohttp.ClientError as error:
        fail(repr(error), ExitCode.UNREACHABLE)


def _wait(client: ApiClient, job: dict[str, Any]) -> dict[str, Any]:
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn())
    with Progress(*columns, transient=True) as progress:
        counts = job["item_counts"]
        task = progress.add_task(job["id"], total=counts["total"])
        while job["status"] not in FINAL_STATES:
            time.sleep(POLL_INTERVAL_S)
            job = client.call("GET", f"/v1/batches/{job['id']}")
            counts = job["item_counts"]
            ended = sum(counts[name] for name in ("completed", "failed", "unknown", "cancelled"))
            progress.update(task, completed=ended)
    return job


def _print_job(job: dict[str, Any], output: OutputFormat) -> None:
    counts = job["item_counts"]
    columns = ["job", "status", *counts]
    print_result(job, output, columns, [(job["id"], job["status"], *counts.values())])
