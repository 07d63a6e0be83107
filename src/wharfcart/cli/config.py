"""``wharfcart config``: check, plan, apply, get, history, rollback."""

import uuid
from pathlib import Path
from typing import Annotated, Any

import typer

from wharfcart.cli.client import ApiClient
from wharfcart.cli.options import KeyOption, OutputOption, ServerOption
from wharfcart.cli.output import ExitCode, OutputFormat, fail, print_result, unwrap_or_fail
from wharfcart.configuration.validation import load_document

app = typer.Typer(help="Templates, deployments and tenants.", no_args_is_help=True)

FileArgument = Annotated[Path, typer.Argument(help="YAML document", exists=True, dir_okay=False)]
ReplaceOption = Annotated[bool, typer.Option(help="Delete what the document lacks.")]
API_ROOT = "/admin/v1/configuration"


@app.command()
def check(file: FileArgument, output: OutputOption = OutputFormat.TABLE) -> None:
    """Check a whole document without a server; print every finding."""
    try:
        text = file.read_text(encoding="utf-8")
    except UnicodeDecodeError:
        fail(f"{file}: not UTF-8", ExitCode.FINDINGS)
    document = unwrap_or_fail(load_document(text, str(file)))
    counts = {
        "tenants": len(document.tenants),
        "models": len(document.models),
        "templates": len(document.templates),
        "deployments": len(document.deployments),
    }
    print_result(counts, output)


@app.command()
def plan(
    file: FileArgument,
    server: ServerOption,
    key: KeyOption,
    replace: ReplaceOption = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Show what applying a document would change."""
    body = _request_body(file, replace)
    answer = ApiClient(server, key).call("POST", f"{API_ROOT}/plan", body)
    _print_changes(answer, output)


@app.command()
def apply(
    file: FileArgument,
    server: ServerOption,
    key: KeyOption,
    replace: ReplaceOption = False,
    author: Annotated[str, typer.Option(help="Who changes it.")] = "",
    reason: Annotated[str, typer.Option(help="Why.")] = "",
    revision: Annotated[int | None, typer.Option(help="Refuse unless this is newest.")] = None,
    wait: Annotated[bool, typer.Option(help="Return once in force everywhere.")] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Apply a document."""
    body = _request_body(file, replace) | {"author": author, "reason": reason, "wait": wait}
    _submit_change(ApiClient(server, key), API_ROOT, body, revision, output)


@app.command()
def rollback(
    to_revision: Annotated[int, typer.Argument(help="Undo everything after this revision.")],
    server: ServerOption,
    key: KeyOption,
    author: Annotated[str, typer.Option(help="Who changes it.")] = "",
    reason: Annotated[str, typer.Option(help="Why.")] = "",
    wait: Annotated[bool, typer.Option(help="Return once in force everywhere.")] = False,
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Undo changes as one new revision."""
    body = {"to_revision": to_revision, "author": author, "reason": reason, "wait": wait}
    _submit_change(ApiClient(server, key), f"{API_ROOT}/rollback", body, None, output)


@app.command()
def get(server: ServerOption, key: KeyOption, output: OutputOption = OutputFormat.TABLE) -> None:
    """Print the configuration in force."""
    answer = ApiClient(server, key).call("GET", API_ROOT)
    if output is OutputFormat.JSON:
        print_result(answer, output)
        return
    print(f"# revision {answer['revision']}")
    print(answer["document"], end="")


@app.command()
def history(
    server: ServerOption, key: KeyOption, output: OutputOption = OutputFormat.TABLE
) -> None:
    """Print accepted changes, newest first."""
    answer = ApiClient(server, key).call("GET", f"{API_ROOT}/history")
    rows = [
        (r["revision"], r["at"], r["author"], r["reason"], len(r["changes"]))
        for r in answer["records"]
    ]
    print_result(answer, output, ["revision", "at", "author", "reason", "changes"], rows)


def _request_body(file: Path, replace: bool) -> dict[str, Any]:
    document = file.read_text(encoding="utf-8")
    return {"document": document, "file": str(file), "replace": replace}


def _submit_change(
    client: ApiClient, path: str, body: dict[str, Any], revision: int | None, output: OutputFormat
) -> None:
    # The same id on a repeated call is the same change, also when an answer was lost.
    body["operation_id"] = uuid.uuid4().hex
    headers = {"If-Match": f'"{revision}"'} if revision is not None else {}
    answer = client.call("POST", path, body, headers)
    _print_changes(answer, output)
    if answer.get("lagging_nodes"):
        fail(f"accepted, but not yet in force on {answer['lagging_nodes']}", ExitCode.FAILED)


def _print_changes(answer: dict[str, Any], output: OutputFormat) -> None:
    rows = [(change["kind"], change["key"]) for change in answer["changes"]]
    if output is OutputFormat.TABLE:
        print(f"revision {answer['revision']}, {len(rows)} changes")
    print_result(answer, output, ["change", "entry"], rows)
