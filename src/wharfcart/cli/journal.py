"""``wharfcart journal``: what an operator does when disks are lost."""

from typing import Annotated

import typer

from wharfcart.cli.client import ApiClient
from wharfcart.cli.options import KeyOption, OutputOption, ServerOption
from wharfcart.cli.output import ExitCode, OutputFormat, fail, print_result

app = typer.Typer(help="The replicated journal.", no_args_is_help=True)


@app.callback()
def root() -> None:
    """The replicated journal."""


@app.command()
def recover(
    shard: Annotated[int, typer.Argument(help="Number of the shard.")],
    server: ServerOption,
    key: KeyOption,
    other_disks_are_lost: Annotated[
        bool, typer.Option(help="Say that the shard's other disks will never come back.")
    ] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Have the surviving node (--server) go on alone with a shard; spares are then added."""
    if not other_disks_are_lost:
        fail("say --other-disks-are-lost if no other disk can come back", ExitCode.USAGE)
    answer = ApiClient(server, key).call("POST", f"/admin/v1/journal/{shard}/recover", {})
    print_result(answer, output)
