"""Loading of settings: TOML file, ``WHARFCART_*`` variables over it, flags over both.

Every finding is reported at once, each with the place the value came from.
"""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from wharfcart.errors import Finding

VARIABLE_PREFIX = "WHARFCART_"
CLIENT_PREFIX = "WHARFCART_CLI_"  # read by the client commands, no settings of a process
SETTINGS_VARIABLE = "WHARFCART_SETTINGS"  # names the file itself
NESTING_MARK = "__"

SettingsModel = TypeVar("SettingsModel", bound=BaseModel)


def load_settings(
    model: type[SettingsModel],
    path: Path,
    environment: Mapping[str, str],
    flags: Mapping[str, object] | None = None,
) -> Result[SettingsModel, list[Finding]]:
    """Read and check settings; return them, or every finding.

    Parameters
    ----------
    environment: variables; ``WHARFCART_JOURNAL__SHARDS`` sets ``journal.shards``. A value is read
        as TOML where it is one, else as text.
    flags: dotted key to value; None is passed over.
    """
    try:
        values: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Failure([Finding(str(path), "file", error.strerror or "unreadable")])
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure([Finding(str(path), "file", f"not TOML: {error}")])
    sources: dict[str, str] = {}
    for name, text in environment.items():
        if name == SETTINGS_VARIABLE or name.startswith(CLIENT_PREFIX):
            continue
        if name.startswith(VARIABLE_PREFIX):
            key = name.removeprefix(VARIABLE_PREFIX).lower().replace(NESTING_MARK, ".")
            _set(values, key, _parse(text))
            sources[key] = name
    for key, value in (flags or {}).items():
        if value is not None:
            _set(values, key, value)
            sources[key] = "--" + key.replace(".", "-").replace("_", "-")
    try:
        return Success(model.model_validate(values))
    except ValidationError as error:
        return Failure(
            [_finding(detail["loc"], detail["msg"], sources, path) for detail in error.errors()]
        )


def _finding(
    location: tuple[str | int, ...], reason: str, sources: Mapping[str, str], path: Path
) -> Finding:
    key = ".".join(str(step) for step in location)
    return Finding(sources.get(key, str(path)), key or "file", reason)


def _parse(text: str) -> object:
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def _set(values: dict[str, Any], key: str, value: object) -> None:
    *parents, last = key.split(".")
    for parent in parents:
        values = values.setdefault(parent, {})
    values[last] = value
