"""Loading of settings with a pydantic schema; reports all findings with their sources."""

from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError
from returns.result import Failure, Result, Success

from wharfcart.errors import Finding, FindingsError
from wharfcart.settings.sources import read_raw_settings

SettingsModel = TypeVar("SettingsModel", bound=BaseModel)


def load_settings(
    model: type[SettingsModel],
    path: Path,
    environment: Mapping[str, str],
    flags: Mapping[str, object] | None = None,
) -> Result[SettingsModel, list[Finding]]:
    """Read and validate settings; return them, or all findings.

    Args:
        model: schema of the settings.
        path: path of the settings file.
        environment: environment variables; they override the file.
        flags: values by dotted key; they override both. None values are ignored.
    """
    try:
        given = read_raw_settings(path, environment, flags)
    except FindingsError as error:
        return Failure(error.findings)
    try:
        return Success(model.model_validate(given.values))
    except ValidationError as error:
        return Failure(
            [
                given.finding(".".join(map(str, detail["loc"])), detail["msg"])
                for detail in error.errors()
            ]
        )
