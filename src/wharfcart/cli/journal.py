"""``wharfcart journal``: recovery after the loss of disks."""

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
        bool, typer.Option(help="Confirm that the shard's other disks are lost for good.")
    ] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Continue a shard on the surviving node (--server) only; spare replicas are added later."""
    if not other_disks_are_lost:
        fail(
            "pass --other-disks-are-lost if no other disk of the shard can be recovered",
            ExitCode.USAGE,
        )
    answer = ApiClient(server, key).call("POST", f"/admin/v1/journal/{shard}/recover", {})
    print_result(answer, output)
