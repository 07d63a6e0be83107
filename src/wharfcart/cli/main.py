"""The ``wharfcart`` command."""

from typing import Annotated

import typer

import wharfcart
from wharfcart.cli import batch, config, experiment, explain, journal, processes, soak
from wharfcart.cli.client import ApiClient
from wharfcart.cli.options import KeyOption, OutputOption, ServerOption
from wharfcart.cli.output import OutputFormat, print_result

app = typer.Typer(
    help="Online and batch inference on one shared fleet.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(config.app, name="config")
app.add_typer(batch.app, name="batch")
app.add_typer(journal.app, name="journal")
app.add_typer(experiment.app, name="experiment")
app.command()(processes.node)
app.command()(processes.emulator)
app.command()(processes.dev)
app.command()(processes.demo)
app.command()(processes.gateway)
app.command()(processes.storage)
app.command()(explain.explain)
app.command()(soak.soak)


@app.command()
def status(server: ServerOption, key: KeyOption, output: OutputOption = OutputFormat.TABLE) -> None:
    """Show every live node: revision in force, shards led, back ends owned."""
    answer = ApiClient(server, key).call("GET", "/admin/v1/status")
    rows = [
        (
            node["node_id"],
            node["zone"],
            "yes" if node["storage"] else "",
            "yes" if node["answers"] else "NO",
            node.get("configuration_revision", ""),
            node.get("led_shards", ""),
            sum(owned["online_in_flight"] for owned in node.get("owned", [])),
            sum(owned["batch_in_flight"] for owned in node.get("owned", [])),
        )
        for node in answer["nodes"]
    ]
    columns = ["node", "zone", "stores", "answers", "revision", "leads", "online", "batch"]
    print_result(answer, output, columns, rows)


@app.callback(invoke_without_command=True)
def root(
    version: Annotated[bool, typer.Option("--version", help="Print the version.")] = False,
) -> None:
    """Online and batch inference on one shared fleet."""
    if version:
        print(wharfcart.__version__)
        raise typer.Exit()


def main() -> None:
    """Run the command."""
    app()
