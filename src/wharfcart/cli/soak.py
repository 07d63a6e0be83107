"""``wharfcart soak``: real processes under random faults."""

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
    seeds: Annotated[int, typer.Option(min=1, help="Number of random seeds.")] = 3,
    seed: Annotated[list[int] | None, typer.Option(help="Run this seed; repeatable.")] = None,
    load_s: Annotated[float, typer.Option(min=5, help="Seconds of load and faults.")] = 25.0,
    gateways: Annotated[int, typer.Option(min=1, help="Number of gateways.")] = GATEWAYS,
    stores: Annotated[int, typer.Option(min=3, help="Number of storage nodes.")] = STORES,
    keep: Annotated[Path, typer.Option(help="Folder for the logs of failed runs.")] = Path(
        "soak-failures"
    ),
) -> None:
    """Run real processes under random faults and check all guarantees.

    Prints one JSON line per seed. Exits with 1 if any guarantee was violated.
    """
    chosen_seeds = seed or [random.randrange(MAX_SEED) for _ in range(seeds)]
    failed = False
    for number in chosen_seeds:
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
        "streams_begun": round(verdict.resumed_shares[0], 2),
        "resumptions_gone_on": round(verdict.resumed_shares[1], 2),
        "resumptions": verdict.resumed_shares[2],
        "seconds": verdict.duration_s,
        "logs": None if verdict.logs_folder is None else str(verdict.logs_folder),
    }
