"""``wharfcart experiment run``."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from wharfcart.cli.options import OutputOption
from wharfcart.cli.output import OutputFormat, print_result
from wharfcart.experiments.example_fleets import Profile

app = typer.Typer(help="Experiments over emulated fleets.", no_args_is_help=True)


class Experiment(StrEnum):
    """Experiments that can be run."""

    SCALE = "scale"
    HEAPS = "heaps"
    BURSTS = "bursts"
    FLOODING = "flooding"
    SLOW_BACKEND = "slow-backend"
    WAVES = "waves"
    LIMITS = "limits"


@app.callback()
def root() -> None:
    """Experiments over emulated fleets."""


@app.command("run")
def run(
    name: Annotated[Experiment, typer.Argument(help="Which experiment.")],
    profile: Annotated[Profile, typer.Option(help="Fleet, for all but scale.")] = (
        Profile.REGISTRATION
    ),
    nodes: Annotated[str, typer.Option(help="Sizes for scale, as 50,100.")] = "50,100,200,410",
    seed: Annotated[int, typer.Option(help="Same seed, same run.")] = 1,
    output_folder: Annotated[Path, typer.Option("--output-folder", help="Where figures go.")] = (
        Path("out")
    ),
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Run an experiment and write its figures."""
    # Imported here: numpy and matplotlib would cost every node tens of megabytes.
    from wharfcart.experiments.batch_interference import Variant, run_batch_interference
    from wharfcart.experiments.limits import run_limits
    from wharfcart.experiments.scale import run_scale
    from wharfcart.experiments.waves import run_waves

    if name in (Experiment.WAVES, Experiment.LIMITS):
        play_all = run_waves if name is Experiment.WAVES else run_limits
        found = play_all(seed, output_folder)
        print_result(found, output, ["figure", "value"], found.items())
        return
    if name is not Experiment.SCALE:
        found = run_batch_interference(profile, Variant(name.value), seed, output_folder)
        print_result(found, output, ["figure", "value"], found.items())
        return
    sizes = [int(size) for size in nodes.split(",")]
    figures = run_scale(sizes, seed, output_folder)
    columns = list(figures["sizes"][0])
    rows = [tuple(f"{value:.4g}" for value in size.values()) for size in figures["sizes"]]
    transposed = [(name, *(row[i] for row in rows)) for i, name in enumerate(columns)]
    print_result(figures, output, ["figure", *(row[0] for row in rows)], transposed)
