"""Options that several commands share."""

from typing import Annotated

import typer

from wharfcart.cli.output import OutputFormat

ServerOption = Annotated[
    str, typer.Option("--server", envvar="WHARFCART_CLI_SERVER", help="URL of any node")
]
KeyOption = Annotated[
    str, typer.Option("--key", envvar="WHARFCART_CLI_KEY", help="API key or admin key")
]
OutputOption = Annotated[OutputFormat, typer.Option("--output", "-o", help="table or json")]
