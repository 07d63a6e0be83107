"""The command ``wharfcart soak``."""

import asyncio
import json
import random
from pathlib import Path
from typing import Annotated

import typer

from wharfcart.cli.output import ExitCode
from wharfcart.soak.run import GATEWAYS, STORES, SoakRun, Verdict

MAX_SEED = 10**9


def soak(
    seeds: Annotated[int, typer.Option(min=1, help="How many fresh seeds.")] = 3,
    seed: Annotated[list[int] | None, typer.Option(help="Play this seed; repeatable.")] = None,
    load_s: Annotated[float, typer.Option(min=5, help="Seconds of load and faults.")] = 25.0,
    gateways: Annotated[int, typer.Option(min=1, help="How many gateways.")] = GATEWAYS,
    stores: Annotated[int, typer.Option(min=3, help="How many storage nodes.")] = STORES,
    keep: Annotated[Path, typer.Option(help="Takes the logs of runs that failed.")] = Path(
        "soak-failures"
    ),
) -> None:
    """Run real processes under random faults and check every promise.

    Prints a JSON line a seed. Exits with 1 if any promise was broken.
    """
    chosen = seed or [random.randrange(MAX_SEED) for _ in range(seeds)]
    failed = False
    for number in chosen:
        typer.echo(f"seed {number}", err=True)
        run = SoakRun(number, load_s, keep, gateways=gateways, stores=stores)
        verdict = asyncio.run(run.execute())
        failed = failed or bool(verdict.violations)
        print(json.dumps(_summary(verdict)), flush=True)
    raise typer.Exit(int(ExitCode.FAILED if failed else ExitCode.OK))


def _summary(verdict: Verdict) -> dict[str, object]:
    return {
        "seed": verdict.seed,
        "passed": not verdict.violations,
        "violations": verdict.violations[:20],
        "faults": len(verdict.plan),
        "requests": verdict.request_count,
        "answered": verdict.success_count,
        "jobs": verdict.job_count,
        "seconds": verdict.duration_s,
        "logs": None if verdict.logs_folder is None else str(verdict.logs_folder),
    }
